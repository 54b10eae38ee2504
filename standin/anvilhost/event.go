package anvilhost

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// The kinds of events in the trace.
const (
	EventBoot   = "boot"
	EventStart  = "start"
	EventEnd    = "end"
	EventHold   = "hold"
	EventGo     = "go"
	EventRefuse = "refuse"
)

// Event is a change of a task that the trace records. A held task begins with EventGo in place of
// EventStart.
type Event struct {
	kind  string
	at    anvilclock.Millis
	order *Order
	state string
	code  string
}

// Kind returns the kind of the event.
func (e Event) Kind() string { return e.kind }

// At returns the Unix time of the event.
func (e Event) At() anvilclock.Millis { return e.at }

// Task returns the id of the task.
func (e Event) Task() string { return e.order.id }

// Job returns the job of the task.
func (e Event) Job() string { return e.order.job }

// Team returns the team of the task.
func (e Event) Team() string { return e.order.team }

// Size returns the place that the task takes.
func (e Event) Size() anvilsize.Size { return e.order.size }

// Epoch returns the epoch under which the task was started.
func (e Event) Epoch() int64 { return e.order.epoch }

// Shard returns the shard of the task.
func (e Event) Shard() string { return e.order.shard }

// Once reports whether the task is non-idempotent.
func (e Event) Once() bool { return e.order.once }

// Call reports whether a caller waits for the answer of the task.
func (e Event) Call() bool { return e.order.kind == kindCall }

// State returns the state after the event.
func (e Event) State() string { return e.state }

// Code returns the reason code.
func (e Event) Code() string { return e.code }
