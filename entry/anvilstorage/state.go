package anvilstorage

import (
	"encoding/json"
	"fmt"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// JobState is the state of a job as callers see it.
type JobState struct {
	id      string
	queue   string
	address string
	team    string
	state   anviljob.State
	ended   anvilclock.Millis
}

// NewJobState returns the state of a job. ended is the time on the store's clock at which the job ended, 0 before that.
func NewJobState(id, queue, team string, state anviljob.State, ended anvilclock.Millis) JobState {
	return JobState{id: id, queue: queue, team: team, state: state, ended: ended}
}

// WithAddress returns the state with the address of the queue that accepted the job.
func (s JobState) WithAddress(address string) JobState {
	s.address = address
	return s
}

// ID returns the job's id, which is also the key of the row.
func (s JobState) ID() string { return s.id }

// Queue returns the name of the queue that the job was submitted to.
func (s JobState) Queue() string { return s.queue }

// Address returns the address of the queue that accepted the job; empty in rows of earlier versions.
func (s JobState) Address() string { return s.address }

// Team returns the name of the team that submitted the job; empty for an anonymous submission.
func (s JobState) Team() string { return s.team }

// State returns the stored state, which can be older than what the leader knows.
func (s JobState) State() anviljob.State { return s.state }

// Ended returns the time on the store's clock at which the job ended; 0 before that.
func (s JobState) Ended() anvilclock.Millis { return s.ended }

type stateRow struct {
	Queue   string `json:"q"`
	Address string `json:"a,omitempty"`
	Team    string `json:"t,omitempty"`
	State   string `json:"s"`
	Ended   int64  `json:"e,omitempty"`
}

// StateRow returns the row that stores a job's state.
func StateRow(s JobState) (Row, error) {
	value, err := json.Marshal(stateRow{Queue: s.queue, Address: s.address, Team: s.team, State: string(s.state), Ended: int64(s.ended)})
	if err != nil {
		return Row{}, fmt.Errorf("state of %s: %w", s.id, err)
	}
	return NewRow(States, s.id, value), nil
}

// ParseState decodes the row of a job's state. It does not check that the state is a known one.
func ParseState(r Row) (JobState, error) {
	var in stateRow
	if err := json.Unmarshal(r.value, &in); err != nil {
		return JobState{}, fmt.Errorf("state of %s: %w", r.key, err)
	}
	return NewJobState(r.key, in.Queue, in.Team, anviljob.State(in.State), anvilclock.Millis(in.Ended)).WithAddress(in.Address), nil
}
