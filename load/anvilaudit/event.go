package anvilaudit

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// EventKind is the kind of an event, as it is written in the trace.
type EventKind string

// The kinds of events.
const (
	Boot   EventKind = "boot"   // the worker's process started
	Start  EventKind = "start"  // a task started
	End    EventKind = "end"    // a task ended, or a reservation was released
	Hold   EventKind = "hold"   // capacity for a gang task was reserved
	Go     EventKind = "go"     // a gang task with reserved capacity started
	Refuse EventKind = "refuse" // the worker refused a start
)

// Event is one line of a worker's trace.
type Event struct {
	at     anvilclock.Millis
	kind   EventKind
	task   string
	job    string
	team   string
	size   anvilsize.Size
	worker string
	boot   string
	once   bool
	state  string
}

// EventOption sets an optional field of an Event.
type EventOption func(*Event)

// WithTeam sets the team that the task counts against.
func WithTeam(team string) EventOption { return func(e *Event) { e.team = team } }

// WithJob sets the gang job that the task belongs to.
func WithJob(job string) EventOption { return func(e *Event) { e.job = baseID(job) } }

// WithSize sets the size of the task, or of the worker in a boot event.
func WithSize(s anvilsize.Size) EventOption { return func(e *Event) { e.size = s } }

// WithNonIdempotent marks the task as non-idempotent.
func WithNonIdempotent() EventOption { return func(e *Event) { e.once = true } }

// WithState sets the state in which a task ended, as the worker reported it.
func WithState(state string) EventOption { return func(e *Event) { e.state = state } }

// NewEvent returns an event. Task and job ids are kept without their home shard. boot identifies the
// incarnation of the worker.
func NewEvent(at anvilclock.Millis, kind EventKind, worker, boot, task string, opts ...EventOption) Event {
	e := Event{at: at, kind: kind, worker: worker, boot: boot, task: baseID(task)}
	for _, opt := range opts {
		opt(&e)
	}
	return e
}

// At returns the Unix time of the event in milliseconds.
func (e Event) At() anvilclock.Millis { return e.at }

// Kind returns the kind, which determines what the other values mean.
func (e Event) Kind() EventKind { return e.kind }

// Task returns the id of the task without its home shard; it is empty for a boot event.
func (e Event) Task() string { return e.task }

// Worker returns the worker's id.
func (e Event) Worker() string { return e.worker }

// baseID returns an id without the prefix for the home shard and the suffix that distinguishes several starts
// of one task.
func baseID(id string) string {
	_, uid := anviltask.SplitID(id)
	task, _, _ := strings.Cut(uid, "/")
	return task
}

type traceLine struct {
	At     int64  `json:"at"`
	Kind   string `json:"kind"`
	Task   string `json:"task"`
	Job    string `json:"job"`
	Team   string `json:"team"`
	Size   string `json:"size"`
	Worker string `json:"worker"`
	Boot   string `json:"boot"`
	Once   bool   `json:"once"`
	State  string `json:"state"`
}

// maxLine is the maximum length of a line of a trace in bytes.
const maxLine = 1 << 20

// ReadTrace reads a worker's trace. It ignores an incomplete last line, which a killed worker can leave; any
// other malformed line is an error.
func ReadTrace(r io.Reader) ([]Event, error) {
	var events []Event
	b := bufio.NewReaderSize(r, maxLine)
	for n := 1; ; n++ {
		text, err := b.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return nil, fmt.Errorf("trace line %d: %w", n, err)
		}
		e, err := parseLine(text)
		if err != nil {
			return nil, fmt.Errorf("trace line %d: %w", n, err)
		}
		events = append(events, e)
	}
}

func parseLine(text []byte) (Event, error) {
	var l traceLine
	if err := json.Unmarshal(text, &l); err != nil {
		return Event{}, err
	}
	kind := EventKind(l.Kind)
	switch kind {
	case Boot, Start, End, Hold, Go, Refuse:
	default:
		return Event{}, fmt.Errorf("unknown kind %q", l.Kind)
	}
	opts := []EventOption{WithTeam(l.Team), WithJob(l.Job), WithState(l.State)}
	if l.Size != "" {
		s, err := anvilsize.Parse(l.Size)
		if err != nil {
			return Event{}, err
		}
		opts = append(opts, WithSize(s))
	}
	if l.Once {
		opts = append(opts, WithNonIdempotent())
	}
	return NewEvent(anvilclock.Millis(l.At), kind, l.Worker, l.Boot, l.Task, opts...), nil
}
