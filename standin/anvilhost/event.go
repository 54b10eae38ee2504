package anvilhost

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Kinds of events in the trace.
const (
	EventBoot   = "boot"
	EventStart  = "start"
	EventEnd    = "end"
	EventHold   = "hold"
	EventGo     = "go"
	EventRefuse = "refuse"
)

// Event describes a change of a task or a refused start for the trace. A task that was held or that resumes from a
// checkpoint starts to run with EventGo in place of EventStart.
type Event struct {
	kind  string
	at    anvilclock.Millis
	req   *StartRequest
	state string
	code  string
}

// Kind returns one of the Event constants.
func (e Event) Kind() string { return e.kind }

// At returns the Unix time of the event in milliseconds.
func (e Event) At() anvilclock.Millis { return e.at }

// Task returns the task's id.
func (e Event) Task() string { return e.req.id }

// Job returns the id of the job, empty for a task outside of a job.
func (e Event) Job() string { return e.req.job }

// Team returns the team that the task counts against, empty for an id that was stopped before its start.
func (e Event) Team() string { return e.req.team }

// Size returns the capacity that the task reserves.
func (e Event) Size() anvilsize.Size { return e.req.size }

// Epoch returns the shard's epoch in the start request.
func (e Event) Epoch() int64 { return e.req.epoch }

// Shard returns the shard that started the task.
func (e Event) Shard() string { return e.req.shard }

// Once reports whether the task is non-idempotent, so that it must not be started again after it may have run.
func (e Event) Once() bool { return e.req.once }

// Call reports whether the task is a call, whose caller waits for the answer.
func (e Event) Call() bool { return e.req.kind == kindCall }

// State returns the task's state after the event.
func (e Event) State() string { return e.state }

// Code returns the reason code of a refusal or of an end, empty when there is none.
func (e Event) Code() string { return e.code }
