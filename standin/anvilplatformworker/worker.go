// Package anvilplatformworker is the control state of a worker of the users' platform: fencing token, leases, runs
// and their ends. It decides on a clock and does no I/O; one goroutine owns it.
//
// Every order first ends what ran longer than it was held, so that a process that was paused and continued
// takes no step for a lapsed run.
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

// Tracer is told what happens at the worker.
type Tracer interface {
	Trace(e Event)
}

// Kind is a kind of event of the trace.
type Kind string

// The kinds.
const (
	Started       Kind = "started" // a run has begun
	Ended         Kind = "ended"   // a run has ended, for a cause
	Acknowledged  Kind = "noted"   // the scheduler has taken note of the ends up to a number
	LeaseExtended Kind = "held"    // runs are held up to a time
	Overcommitted Kind = "over"    // more runs than the worker has room for
)

// Event is a line of the trace.
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

// EventOption sets an optional part of an Event.
type EventOption func(*Event)

// WithToken sets the fencing token of the order.
func WithToken(n int64) EventOption { return func(e *Event) { e.token = n } }

// WithEnd sets the number of an end and what caused it.
func WithEnd(n int64, cause string) EventOption {
	return func(e *Event) { e.number, e.cause = n, cause }
}

// WithUntil sets the time up to which runs are held.
func WithUntil(at anvilclock.Millis) EventOption { return func(e *Event) { e.until = at } }

// WithText sets the payload or a line for people.
func WithText(text string) EventOption { return func(e *Event) { e.text = text } }

// Kind returns the kind.
func (e Event) Kind() Kind { return e.kind }

// Task returns the task.
func (e Event) Task() anviljob.TaskID { return e.task }

// Run returns the number of the run.
func (e Event) Run() int { return e.run }

// Token returns the fencing token of the order.
func (e Event) Token() int64 { return e.token }

// Cause tells how a run ended.
func (e Event) Cause() string { return e.cause }

// Number returns the number of an end.
func (e Event) Number() int64 { return e.number }

// Until returns the time of the worker's clock up to which runs are held.
func (e Event) Until() anvilclock.Millis { return e.until }

// Text returns the payload of a start, or a line for people.
func (e Event) Text() string { return e.text }

// Causes of an end.
const (
	causeDone    = "done"
	causeFailed  = "failed"
	causeStopped = "stopped"
	causeLapsed  = "lapsed"
	causeAlone   = "alone"
)

// States of the chart that the code asks for.
const (
	stateWorking   = "working"
	stateGathering = "gathering"
	stateStopping  = "stopping"
)

// aloneAfter is how long a member of a gang waits for the others.
const aloneAfter = anvilclock.Millis(3000)

// Gangs brings the members of a gang together. Join does not wait; Worker.Present takes the answer.
type Gangs interface {
	Join(task anviljob.TaskID, run, members int)
}

// RunEnd is the end of a run that the scheduler has not taken note of.
type RunEnd struct {
	number     int64
	task       anviljob.TaskID
	run        int
	cause      string
	checkpoint string
}

// Number returns the number of the end.
func (e RunEnd) Number() int64 { return e.number }

// Task returns the task.
func (e RunEnd) Task() anviljob.TaskID { return e.task }

// Run returns the number of the run.
func (e RunEnd) Run() int { return e.run }

// Cause tells how the run ended.
func (e RunEnd) Cause() string { return e.cause }

// Checkpoint returns where the task can resume.
func (e RunEnd) Checkpoint() string { return e.checkpoint }

// run is a run of a task.
type run struct {
	worker  *Worker
	task    anviljob.TaskID
	number  int
	work    work
	machine anvilchart.Machine
	began   anvilclock.Millis
	// due is when the run finishes or breaks, or when a stop is complete.
	due anvilclock.Millis
}

// Worker is the control state of a worker.
type Worker struct {
	id       string
	clock    anvilclock.Clock
	capacity anvilsize.Size
	trace    Tracer
	gangs    Gangs
	// slow is how much the clock lags, in percent.
	slow    anvilclock.Millis
	chart   *anvilchart.Chart
	binding *anvilchart.Binding[*run]

	token int64
	until anvilclock.Millis
	runs  map[anviljob.TaskID]*run
	// floor holds the highest run of each task that was stopped or has ended.
	floor  map[anviljob.TaskID]int
	ends   []RunEnd
	number int64
	// waiters are holds that wait for an end.
	waiters []*waiter
}

// Option sets an optional part of a Worker.
type Option func(*Worker)

// WithSlowClock tells that the clock lags, in percent. The members of a gang end together nevertheless.
func WithSlowClock(percent int) Option {
	return func(c *Worker) { c.slow = anvilclock.Millis(percent) }
}

// New returns a worker without runs.
func New(id string, capacity anvilsize.Size, clock anvilclock.Clock, trace Tracer, gangs Gangs, opts ...Option) (*Worker, error) {
	c := &Worker{
		id: id, clock: clock, capacity: capacity, trace: trace, gangs: gangs,
		runs: map[anviljob.TaskID]*run{}, floor: map[anviljob.TaskID]int{},
	}
	for _, opt := range opts {
		opt(c)
	}
	end := func(cause string) func(*run) { return func(r *run) { c.end(r, cause) } }
	c.binding = anvilchart.NewBinding(map[string]func(*run){
		"done": end(causeDone), "failed": end(causeFailed), "stopped": end(causeStopped), "lapsed": end(causeLapsed),
		"alone": end(causeAlone),
	}, nil)
	chart, err := anvilchart.Load("charts/run.toml", runChart, c.binding)
	c.chart = chart
	return c, err
}

// Now returns the worker's clock.
func (c *Worker) Now() anvilclock.Millis { return c.clock.Now() }

func (c *Worker) fire(r *run, event string) {
	// The chart was loaded with its binding and ignores what does not apply, so it refuses nothing.
	_ = anvilchart.Fire(&r.machine, c.binding, event, r)
}

// end lists the end of a run and gives its room back.
func (c *Worker) end(r *run, cause string) {
	delete(c.runs, r.task)
	c.floor[r.task] = max(c.floor[r.task], r.number)
	c.number++
	checkpoint := ""
	if r.work.saves {
		checkpoint = r.work.checkpoint(c.Now() - r.began)
	}
	c.ends = append(c.ends, RunEnd{number: c.number, task: r.task, run: r.number, cause: cause, checkpoint: checkpoint})
	c.trace.Trace(Event{kind: Ended, task: r.task, run: r.number, cause: cause, number: c.number})
}

// wakeWaiters answers the holds that wait for an end. It is called when all that ends at a moment has ended: a
// report must not show a gang of which only one member has.
func (c *Worker) wakeWaiters() {
	if len(c.ends) == 0 {
		return
	}
	for _, w := range c.waiters {
		w.wake(c)
	}
	c.waiters = nil
}

// used returns the room that all runs take. Members of a gang that are about to end count as ended, as another
// one of them may have.
func (c *Worker) used() anvilsize.Size {
	var sum anvilsize.Size
	for _, r := range c.runs {
		if !r.ending(c.Now()) {
			sum = sum.Add(r.work.size)
		}
	}
	return sum
}

// togetherWithin is how far apart the members of a gang may end here, who should end at the same moment: times
// are whole milliseconds of several clocks.
const togetherWithin = anvilclock.Millis(20)

// ending reports whether a run is a member of a gang whose others may have ended already.
func (r *run) ending(now anvilclock.Millis) bool {
	return r.work.members > 1 && r.machine.State() == stateWorking && r.due-now <= togetherWithin
}

// sorted returns the runs in the order in which they are due.
func (c *Worker) sorted() []*run {
	return slices.SortedFunc(maps.Values(c.runs), func(a, b *run) int { return int(a.due - b.due) })
}

// Next returns the time until the next change that comes by itself.
func (c *Worker) Next() (anvilclock.Millis, bool) {
	now := c.Now()
	next, found := anvilclock.Millis(0), false
	earlier := func(at anvilclock.Millis) {
		if d := max(at-now, 1); !found || d < next {
			next, found = d, true
		}
	}
	for _, r := range c.runs {
		if !r.work.lasts || r.machine.State() == stateStopping {
			earlier(r.due)
		}
	}
	if len(c.runs) > 0 {
		earlier(c.until)
	}
	for _, w := range c.waiters {
		earlier(w.until)
	}
	return next, found
}

// Tick ends the runs that are due and answers the holds that have waited long enough.
func (c *Worker) Tick() {
	now := c.Now()
	if len(c.runs) > 0 && now >= c.until {
		// What was due meanwhile counts as lapsed too: the process may have been paused since.
		for _, r := range c.sorted() {
			c.fire(r, "lapse")
		}
	}
	for _, r := range c.sorted() {
		switch {
		case now < r.due:
		case r.machine.State() == stateStopping:
			c.fire(r, "stopped")
		case r.machine.State() == stateGathering:
			c.fire(r, "alone")
		case r.work.lasts:
		case r.work.fails:
			c.fire(r, "break")
		default:
			c.fire(r, "finish")
		}
	}
	c.wakeWaiters()
	kept := c.waiters[:0]
	for _, w := range c.waiters {
		if now >= w.until {
			w.wake(c)
			continue
		}
		kept = append(kept, w)
	}
	c.waiters = kept
}
