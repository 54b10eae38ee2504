// Package anvilplatformworker holds the control state of a worker of the users' platform: the fencing token, the lease,
// the runs, and the run ends that the scheduler has not acknowledged. It reads time from a clock and does no I/O. It is
// not safe for concurrent use: one goroutine owns each Worker.
//
// Every order first ends the runs whose lease has expired, so that a process that was paused and resumed does nothing
// more for such a run.
package anvilplatformworker

import (
	_ "embed"
	"maps"
	"slices"

	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilsize"
)

//go:embed charts/run.toml
var runChart string

// Tracer receives the events of a worker. Trace is called on the goroutine that owns the worker, in the order of the
// events.
type Tracer interface {
	Trace(e Event)
}

// Kind is the kind of a trace event, as it is written to the trace.
type Kind string

// Kinds of trace events.
const (
	Started       Kind = "started" // a run has started
	Ended         Kind = "ended"   // a run has ended; Cause says how
	Acknowledged  Kind = "noted"   // the scheduler has acknowledged the run ends up to Number
	LeaseExtended Kind = "held"    // the lease of all runs now ends at Until
	Overcommitted Kind = "over"    // the runs together need more than the capacity
)

// Event is one event of the trace. Fields that its kind does not use are zero.
type Event struct {
	kind   Kind
	task   anviljob.TaskID
	run    int
	token  int64
	cause  string
	number int64
	until  anvilclock.Millis
	text   string
}

// NewEvent returns an event about a run of a task.
func NewEvent(kind Kind, task anviljob.TaskID, run int, opts ...EventOption) Event {
	e := Event{kind: kind, task: task, run: run}
	for _, opt := range opts {
		opt(&e)
	}
	return e
}

// EventOption sets an optional field of an Event.
type EventOption func(*Event)

// WithToken sets the fencing token of the order that caused the event.
func WithToken(n int64) EventOption { return func(e *Event) { e.token = n } }

// WithEnd sets the number and the cause of a run end.
func WithEnd(n int64, cause string) EventOption {
	return func(e *Event) { e.number, e.cause = n, cause }
}

// WithUntil sets the time on the worker's clock at which the lease ends.
func WithUntil(at anvilclock.Millis) EventOption { return func(e *Event) { e.until = at } }

// WithText sets the payload of a started run, or a description for human readers.
func WithText(text string) EventOption { return func(e *Event) { e.text = text } }

// Kind returns the kind of the event, which says which other fields are set.
func (e Event) Kind() Kind { return e.kind }

// Task returns the task that the event is about; the zero TaskID if it is about the whole worker.
func (e Event) Task() anviljob.TaskID { return e.task }

// Run returns the number of the run among the runs of its task; 0 if the event is about the whole worker.
func (e Event) Run() int { return e.run }

// Token returns the fencing token of the order that caused the event; 0 if the event has none.
func (e Event) Token() int64 { return e.token }

// Cause returns how the run ended, for example "done"; empty unless the kind is Ended.
func (e Event) Cause() string { return e.cause }

// Number returns the number of the run end, or of the newest acknowledged one; 0 for other kinds.
func (e Event) Number() int64 { return e.number }

// Until returns the time on the worker's clock at which the lease ends; 0 for kinds other than LeaseExtended.
func (e Event) Until() anvilclock.Millis { return e.until }

// Text returns the payload of a started run, or used and total capacity for an overcommit.
func (e Event) Text() string { return e.text }

// Causes of a run end, as reported to the scheduler.
const (
	causeDone        = "done"
	causeFailed      = "failed"
	causeStopped     = "stopped"
	causeExpired     = "lapsed"
	causeNotGathered = "alone"
)

// States of the chart that the code compares with. Their names are those in charts/run.toml.
const (
	stateWorking   = "working"
	stateGathering = "gathering"
	stateStopping  = "stopping"
)

// gatherTimeout is how long a member of a gang waits for the other members before its run ends.
const gatherTimeout = anvilclock.Millis(3000)

// Gangs waits until all members of a gang are present. Join reports a member as present and returns at once; the start
// of the work is reported through Worker.BeginGang.
type Gangs interface {
	Join(task anviljob.TaskID, run, members int)
}

// RunEnd is the end of a run that the scheduler has not acknowledged yet.
type RunEnd struct {
	number     int64
	task       anviljob.TaskID
	run        int
	cause      string
	checkpoint string
}

// Number returns the position of the end among all run ends of this process, from 1. The scheduler acknowledges run
// ends by this number.
func (e RunEnd) Number() int64 { return e.number }

// Task returns the task whose run ended.
func (e RunEnd) Task() anviljob.TaskID { return e.task }

// Run returns the number of the run among the runs of its task.
func (e RunEnd) Run() int { return e.run }

// Cause returns how the run ended, for example "done".
func (e RunEnd) Cause() string { return e.cause }

// Checkpoint returns the checkpoint from which a later run can resume; empty if the task saves none.
func (e RunEnd) Checkpoint() string { return e.checkpoint }

type run struct {
	worker  *Worker
	task    anviljob.TaskID
	number  int
	work    work
	machine anvilchart.Machine
	began   anvilclock.Millis
	// due is the time of the next change of state that needs no order: the run ends by itself, a stop is complete, or
	// the wait for the other members of a gang times out.
	due anvilclock.Millis
}

// Worker is the control state of one worker process. Its methods must be called from one goroutine.
type Worker struct {
	id       string
	clock    anvilclock.Clock
	capacity anvilsize.Size
	tracer   Tracer
	gangs    Gangs
	// lagPPM is by how many parts per million the clock runs slow.
	lagPPM  anvilclock.Millis
	chart   *anvilchart.Chart
	binding *anvilchart.Binding[*run]

	// token is the highest fencing token that an order had.
	token int64
	// leaseUntil is when the lease of all runs ends, at most maxLease after it was granted; 0 means no limit.
	leaseUntil anvilclock.Millis
	maxLease   anvilclock.Millis
	runs       map[anviljob.TaskID]*run
	// highestEnded is, for each task, the highest number of a run that was stopped or has ended. That run and older ones
	// can't start.
	highestEnded map[anviljob.TaskID]int
	// runEnds are the run ends that are not acknowledged, oldest first; lastEnd is the number of the newest run end.
	runEnds []RunEnd
	lastEnd int64
	// pendingHolds are the hold calls that wait for a run end.
	pendingHolds []*pendingHold
}

// Option sets an optional property of a Worker.
type Option func(*Worker)

// WithSlowClock declares that the clock given to New runs slow by some parts per million. The worker corrects the running
// time of gangs for it, so that their members end together.
func WithSlowClock(ppm int) Option {
	return func(w *Worker) { w.lagPPM = anvilclock.Millis(ppm) }
}

// WithMaxLease sets the longest lease that the worker grants, to which it shortens longer ones. There is no limit by
// default.
func WithMaxLease(d anvilclock.Millis) Option { return func(w *Worker) { w.maxLease = d } }

// New returns a worker without runs. It fails only if the embedded chart does not match the code.
func New(id string, capacity anvilsize.Size, clock anvilclock.Clock, tracer Tracer, gangs Gangs, opts ...Option) (*Worker, error) {
	w := &Worker{
		id: id, clock: clock, capacity: capacity, tracer: tracer, gangs: gangs,
		runs: map[anviljob.TaskID]*run{}, highestEnded: map[anviljob.TaskID]int{},
	}
	for _, opt := range opts {
		opt(w)
	}
	end := func(cause string) func(*run) { return func(r *run) { w.end(r, cause) } }
	w.binding = anvilchart.NewBinding(map[string]func(*run){
		"done": end(causeDone), "failed": end(causeFailed), "stopped": end(causeStopped), "lapsed": end(causeExpired),
		"alone": end(causeNotGathered),
	}, nil)
	chart, err := anvilchart.Load("charts/run.toml", runChart, w.binding)
	w.chart = chart
	return w, err
}

// Now returns the time on the worker's clock, which may run slow.
func (w *Worker) Now() anvilclock.Millis { return w.clock.Now() }

func (w *Worker) fire(r *run, event string) {
	// Every state of the chart that is not final handles or ignores every event, so Fire can't fail.
	_ = anvilchart.Fire(&r.machine, w.binding, event, r)
}

// end adds a run end and releases the capacity of the run.
func (w *Worker) end(r *run, cause string) {
	delete(w.runs, r.task)
	w.highestEnded[r.task] = max(w.highestEnded[r.task], r.number)
	w.lastEnd++
	checkpoint := ""
	if r.work.checkpoints {
		checkpoint = r.work.checkpoint(w.Now() - r.began)
	}
	w.runEnds = append(w.runEnds, RunEnd{number: w.lastEnd, task: r.task, run: r.number, cause: cause, checkpoint: checkpoint})
	w.tracer.Trace(Event{kind: Ended, task: r.task, run: r.number, cause: cause, number: w.lastEnd})
}

// answerHolds answers the pending holds if there are run ends to report. It is called after all runs that are due at the
// same time have ended, because a report must not show a gang of which only one member has ended.
func (w *Worker) answerHolds() {
	if len(w.runEnds) == 0 {
		return
	}
	for _, h := range w.pendingHolds {
		h.answer(w)
	}
	w.pendingHolds = nil
}

// used returns the capacity that all runs need together. It leaves out gang members that are about to end, because another
// member of their gang may have been reported as ended already.
func (w *Worker) used() anvilsize.Size {
	var sum anvilsize.Size
	for _, r := range w.runs {
		if !r.gangMayHaveEnded(w.Now()) {
			sum = sum.Add(r.work.size)
		}
	}
	return sum
}

// gangEndTolerance is how far apart members of a gang may end although all should end at the same time. Their times
// differ by rounding, as each is computed in whole milliseconds on another clock.
const gangEndTolerance = anvilclock.Millis(20)

// gangMayHaveEnded reports whether the run is a member of a gang of which other members may have ended already.
func (r *run) gangMayHaveEnded(now anvilclock.Millis) bool {
	return r.work.members > 1 && r.machine.State() == stateWorking && r.due-now <= gangEndTolerance
}

// runsByDue returns the runs ordered by due time.
func (w *Worker) runsByDue() []*run {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *run) int { return int(a.due - b.due) })
}

// Next returns the time until Tick must be called, at least 1 ms, or false if nothing will change without an order.
func (w *Worker) Next() (anvilclock.Millis, bool) {
	now := w.Now()
	next, found := anvilclock.Millis(0), false
	consider := func(at anvilclock.Millis) {
		if d := max(at-now, 1); !found || d < next {
			next, found = d, true
		}
	}
	for _, r := range w.runs {
		if !r.work.longRunning || r.machine.State() == stateStopping {
			consider(r.due)
		}
	}
	if len(w.runs) > 0 {
		consider(w.leaseUntil)
	}
	for _, h := range w.pendingHolds {
		consider(h.until)
	}
	return next, found
}

// Tick ends the runs that are due or whose lease has expired, and answers the holds whose wait has expired.
func (w *Worker) Tick() {
	now := w.Now()
	if len(w.runs) > 0 && now >= w.leaseUntil {
		// Runs that were due before the expiry also end with cause "lapsed": the process may have been paused when they were
		// due, and the scheduler may have restarted them elsewhere since.
		for _, r := range w.runsByDue() {
			w.fire(r, "lapse")
		}
	}
	for _, r := range w.runsByDue() {
		switch {
		case now < r.due:
		case r.machine.State() == stateStopping:
			w.fire(r, "stopped")
		case r.machine.State() == stateGathering:
			w.fire(r, "alone")
		case r.work.longRunning:
		case r.work.fails:
			w.fire(r, "break")
		default:
			w.fire(r, "finish")
		}
	}
	w.answerHolds()
	kept := w.pendingHolds[:0]
	for _, h := range w.pendingHolds {
		if now >= h.until {
			h.answer(w)
			continue
		}
		kept = append(kept, h)
	}
	w.pendingHolds = kept
}
