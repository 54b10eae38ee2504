package anvilstorage

import (
	"encoding/json"
	"fmt"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// JobState is what callers learn of a job.
type JobState struct {
	id    string
	queue string
	team  string
	state anviljob.State
	ended anvilclock.Millis
}

// NewJobState returns the state of a job; ended is the store's time at its end, 0 before.
func NewJobState(id, queue, team string, state anviljob.State, ended anvilclock.Millis) JobState {
	return JobState{id: id, queue: queue, team: team, state: state, ended: ended}
}

// ID returns the job.
func (s JobState) ID() string { return s.id }

// Queue returns the job's queue.
func (s JobState) Queue() string { return s.queue }

// Team returns the job's team.
func (s JobState) Team() string { return s.team }

// State returns the state.
func (s JobState) State() anviljob.State { return s.state }

// Ended returns the store's time at the job's end; 0 before.
func (s JobState) Ended() anvilclock.Millis { return s.ended }

type stateRow struct {
	Queue string `json:"q"`
	Team  string `json:"t,omitempty"`
	State string `json:"s"`
	Ended int64  `json:"e,omitempty"`
}

// StateRow returns the row of a job's state.
func StateRow(s JobState) (Row, error) {
	value, err := json.Marshal(stateRow{Queue: s.queue, Team: s.team, State: string(s.state), Ended: int64(s.ended)})
	if err != nil {
		return Row{}, fmt.Errorf("state of %s: %w", s.id, err)
	}
	return NewRow(States, s.id, value), nil
}

// ParseState reads the row of a job's state.
func ParseState(r Row) (JobState, error) {
	var in stateRow
	if err := json.Unmarshal(r.value, &in); err != nil {
		return JobState{}, fmt.Errorf("state of %s: %w", r.key, err)
	}
	return NewJobState(r.key, in.Queue, in.Team, anviljob.State(in.State), anvilclock.Millis(in.Ended)), nil
}
