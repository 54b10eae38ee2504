package anvilplatformapi

import (
	"encoding/json"
	"io"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"

	"anvilhold.org/standin/anvilplatformworker"
)

type traceLine struct {
	At     int64  `json:"at"` // milliseconds since 1970
	Worker string `json:"worker"`
	Kind   string `json:"kind"`
	Task   string `json:"task,omitempty"`
	Run    int    `json:"run,omitempty"`
	Token  int64  `json:"token,omitempty"`
	Cause  string `json:"cause,omitempty"`
	Number int64  `json:"number,omitempty"`
	Left   int64  `json:"left,omitempty"` // milliseconds from At until the lease ends
	Text   string `json:"text,omitempty"`
}

// Tracer writes the events of a worker as lines of JSON. Each line is a single write, so that a killed process leaves
// only whole lines.
type Tracer struct {
	out    io.Writer
	worker string
	clock  anvilclock.Clock
}

// NewTracer returns a tracer that writes the events of a worker to out. The clock is that of the worker.
func NewTracer(out io.Writer, worker string, clock anvilclock.Clock) *Tracer {
	return &Tracer{out: out, worker: worker, clock: clock}
}

// Trace writes an event with the current time.
func (t *Tracer) Trace(e anvilplatformworker.Event) {
	line := traceLine{
		At: int64(t.clock.Unix()), Worker: t.worker, Kind: string(e.Kind()), Run: e.Run(), Token: e.Token(), Cause: e.Cause(),
		Number: e.Number(), Text: e.Text(),
	}
	if e.Task() != (anviljob.TaskID{}) {
		line.Task = e.Task().String()
	}
	if e.Until() != 0 {
		line.Left = int64(e.Until() - t.clock.Now())
	}
	text, err := json.Marshal(line)
	if err != nil {
		// Strings and numbers always marshal.
		return
	}
	// The error is ignored: the reader of the trace notices that the stream has ended.
	_, _ = t.out.Write(append(text, '\n'))
}

// TraceEvent is an event that was read from the trace of a worker, with the worker and the time.
type TraceEvent struct {
	event  anvilplatformworker.Event
	worker string
	at     anvilclock.Millis
}

// NewTraceEvent returns an event of a worker at a time in milliseconds since 1970.
func NewTraceEvent(worker string, at anvilclock.Millis, e anvilplatformworker.Event) TraceEvent {
	return TraceEvent{event: e, worker: worker, at: at}
}

// Event returns the event. Unlike in the worker, its Until is in milliseconds since 1970.
func (t TraceEvent) Event() anvilplatformworker.Event { return t.event }

// Worker returns the id of the worker.
func (t TraceEvent) Worker() string { return t.worker }

// At returns the time of the event in milliseconds since 1970.
func (t TraceEvent) At() anvilclock.Millis { return t.at }

// ParseTrace parses a line that a Tracer wrote.
func ParseTrace(text []byte) (TraceEvent, error) {
	var in traceLine
	if err := json.Unmarshal(text, &in); err != nil {
		return TraceEvent{}, err
	}
	var task anviljob.TaskID
	if in.Task != "" {
		var err error
		if task, err = anviljob.ParseTaskID(in.Task); err != nil {
			return TraceEvent{}, err
		}
	}
	e := anvilplatformworker.NewEvent(anvilplatformworker.Kind(in.Kind), task, in.Run, anvilplatformworker.WithToken(in.Token),
		anvilplatformworker.WithEnd(in.Number, in.Cause), anvilplatformworker.WithUntil(anvilclock.Millis(in.At+in.Left)), anvilplatformworker.WithText(in.Text))
	return NewTraceEvent(in.Worker, anvilclock.Millis(in.At), e), nil
}
