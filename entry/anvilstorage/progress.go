package anvilstorage

import (
	"encoding/json"
	"fmt"
)

// Phase is how far a task has come, as far as a successor must know it.
type Phase int

// The phases. A task that has never been placed has no entry in its job's record.
const (
	Waiting Phase = iota // no run of the task can be under way
	Bound                // a run may be under way at the worker
	Done                 // the task has ended with success
)

// Run is the record of a task: its newest run and what is left of the earlier ones.
type Run struct {
	occurrence  int
	step        int
	index       int
	phase       Phase
	number      int
	failures    int
	failed      int
	worker      string
	incarnation int64
	checkpoint  string
}

// NewRun returns the record of a task whose newest run has a number.
func NewRun(occurrence, step, index int, phase Phase, number int) Run {
	return Run{occurrence: occurrence, step: step, index: index, phase: phase, number: number}
}

// Failing returns the record with the number of failed runs, and the newest of them: workers list an end
// again to a successor, which must not count it twice.
func (r Run) Failing(failures, newest int) Run {
	r.failures, r.failed = failures, newest
	return r
}

// At returns the record with the worker, and the incarnation of it, at which the newest run is bound.
func (r Run) At(worker string, incarnation int64) Run {
	r.worker, r.incarnation = worker, incarnation
	return r
}

// Saved returns the record with the newest checkpoint.
func (r Run) Saved(checkpoint string) Run {
	r.checkpoint = checkpoint
	return r
}

// Occurrence returns the occurrence of the job.
func (r Run) Occurrence() int { return r.occurrence }

// Step returns the step.
func (r Run) Step() int { return r.step }

// Index returns the number of the task in its step.
func (r Run) Index() int { return r.index }

// Phase returns how far the task has come.
func (r Run) Phase() Phase { return r.phase }

// Number returns the number of the newest run.
func (r Run) Number() int { return r.number }

// Failures returns how many runs have failed.
func (r Run) Failures() int { return r.failures }

// Failed returns the number of the newest run that has failed; 0 for none.
func (r Run) Failed() int { return r.failed }

// Worker returns the worker at which the run is bound.
func (r Run) Worker() string { return r.worker }

// Incarnation returns the start of the worker's process at which the run is bound.
func (r Run) Incarnation() int64 { return r.incarnation }

// Checkpoint returns the newest checkpoint of the task; empty for none.
func (r Run) Checkpoint() string { return r.checkpoint }

type runRow struct {
	Task        [3]int `json:"t"`
	Phase       int    `json:"p"`
	Number      int    `json:"n"`
	Fails       int    `json:"f,omitempty"`
	Failed      int    `json:"k,omitempty"`
	Worker      string `json:"w,omitempty"`
	Incarnation int64  `json:"l,omitempty"`
	Saved       string `json:"c,omitempty"`
}

// ProgressRow returns the progress row of a job.
func ProgressRow(id string, runs []Run) (Row, error) {
	out := make([]runRow, 0, len(runs))
	for _, r := range runs {
		out = append(out, runRow{
			Task: [3]int{r.occurrence, r.step, r.index}, Phase: int(r.phase), Number: r.number, Fails: r.failures, Failed: r.failed,
			Worker: r.worker, Incarnation: r.incarnation, Saved: r.checkpoint,
		})
	}
	value, err := json.Marshal(out)
	if err != nil {
		return Row{}, fmt.Errorf("progress of %s: %w", id, err)
	}
	return NewRow(Progress, id, value), nil
}

// ParseProgress reads a progress row.
func ParseProgress(r Row) ([]Run, error) {
	var in []runRow
	if err := json.Unmarshal(r.value, &in); err != nil {
		return nil, fmt.Errorf("progress of %s: %w", r.key, err)
	}
	out := make([]Run, 0, len(in))
	for _, v := range in {
		if v.Phase < int(Waiting) || v.Phase > int(Done) {
			return nil, fmt.Errorf("progress of %s: unknown phase %d", r.key, v.Phase)
		}
		run := NewRun(v.Task[0], v.Task[1], v.Task[2], Phase(v.Phase), v.Number)
		out = append(out, run.Failing(v.Fails, v.Failed).At(v.Worker, v.Incarnation).Saved(v.Saved))
	}
	return out, nil
}
