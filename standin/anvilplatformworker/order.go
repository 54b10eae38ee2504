package anvilplatformworker

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// Refusal tells why an order was not carried out.
type Refusal string

// The refusals.
const (
	None    Refusal = ""
	Fenced  Refusal = "fence"  // the worker has seen a newer token
	Old     Refusal = "old"    // this run, or a newer one, was stopped or has ended here
	Late    Refusal = "late"   // the lease in the order has passed
	Ticket  Refusal = "ticket" // the ticket is not valid
	Invalid Refusal = "invalid"
)

// Advisor checks tickets.
type Advisor interface {
	Valid(ticket, step, worker string) bool
}

// StartOrder starts a run.
type StartOrder struct {
	task       anviljob.TaskID
	run        int
	payload    string
	until      anvilclock.Millis
	token      int64
	checkpoint string
}

// NewStartOrder returns an order that holds what runs up to a time of the worker's clock.
func NewStartOrder(task anviljob.TaskID, run int, payload string, until anvilclock.Millis, token int64, checkpoint string) StartOrder {
	return StartOrder{task: task, run: run, payload: payload, until: until, token: token, checkpoint: checkpoint}
}

// fence ends what has lapsed and checks the token that comes with an order.
func (c *Worker) fence(token int64) Refusal {
	c.Tick()
	if token < c.token {
		return Fenced
	}
	c.token = token
	return None
}

func (c *Worker) hold(until anvilclock.Millis) {
	if until > c.until {
		c.until = until
		c.trace.Trace(Event{kind: LeaseExtended, until: until})
	}
}

// Start begins a run. A run that is there already is confirmed.
func (c *Worker) Start(o StartOrder) Refusal {
	if refusal := c.fence(o.token); refusal != None {
		return refusal
	}
	if o.until <= c.Now() {
		return Late
	}
	if r := c.runs[o.task]; r != nil && r.number == o.run {
		c.hold(o.until)
		return None
	}
	if o.run <= c.floor[o.task] || c.runs[o.task] != nil {
		c.hold(o.until)
		return Old
	}
	w, err := parseWork(o.payload, o.task, o.run, o.checkpoint)
	if err != nil {
		return Invalid
	}
	c.hold(o.until)
	now := c.Now()
	r := &run{worker: c, task: o.task, number: o.run, work: w, machine: c.chart.NewMachine(), began: now, due: now + w.total - w.done}
	if w.fails {
		r.due = now + (w.total-w.done)/2
	}
	c.runs[o.task] = r
	if w.members > 1 {
		r.due = now + aloneAfter
		c.fire(r, "gather")
		c.gangs.Join(o.task, o.run, w.members)
	}
	c.trace.Trace(Event{kind: Started, task: o.task, run: o.run, token: o.token, text: o.payload})
	if used := c.used(); !used.Fits(c.capacity) {
		c.trace.Trace(Event{kind: Overcommitted, task: o.task, run: o.run, token: o.token, text: used.String() + " of " + c.capacity.String()})
	}
	return None
}

// Present begins the work of a gang of which all members are present, in a time from now on. What one member
// has heard holds for all that are here, and they end together.
func (c *Worker) Present(task anviljob.TaskID, number int, in anvilclock.Millis) {
	for _, r := range c.runs {
		if r.task.StepName() != task.StepName() || r.number != number || r.machine.State() != stateGathering {
			continue
		}
		r.began = c.Now() + in
		r.due = c.Now() + (in+r.work.total-r.work.done)*(100-c.slow)/100
		c.fire(r, "present")
	}
}

// stopTime is how long a stop takes.
const stopTime = anvilclock.Millis(100)

// Stop ends a run. A run that is not there can't begin afterwards.
func (c *Worker) Stop(task anviljob.TaskID, number int, token int64) Refusal {
	if refusal := c.fence(token); refusal != None {
		return refusal
	}
	if r := c.runs[task]; r != nil && r.number == number {
		if r.ending(c.Now()) {
			c.fire(r, "finish")
			c.wakeWaiters()
			return None
		}
		r.due = c.Now() + stopTime
		c.fire(r, "stop")
		return None
	}
	if c.runs[task] == nil {
		c.floor[task] = max(c.floor[task], number)
	}
	return None
}

// Active is a run that goes on.
type Active struct {
	task       anviljob.TaskID
	run        int
	checkpoint string
	percent    int
}

// Task returns the task.
func (a Active) Task() anviljob.TaskID { return a.task }

// Run returns the number of the run.
func (a Active) Run() int { return a.run }

// Checkpoint returns where the task can resume.
func (a Active) Checkpoint() string { return a.checkpoint }

// Percent returns how much of the work is done.
func (a Active) Percent() int { return a.percent }

// Report is the answer to a hold.
type Report struct {
	refusal Refusal
	clock   anvilclock.Millis
	active  []Active
	runEnds []RunEnd
}

// Refusal returns why the order was not carried out.
func (r Report) Refusal() Refusal { return r.refusal }

// Clock returns the worker's clock.
func (r Report) Clock() anvilclock.Millis { return r.clock }

// Active returns the runs that go on.
func (r Report) Active() []Active { return r.active }

// RunEnds returns the ends that were not taken note of.
func (r Report) RunEnds() []RunEnd { return r.runEnds }

// waiter is a hold that waits for an end.
type waiter struct {
	until anvilclock.Millis
	reply chan<- Report
}

func (w *waiter) wake(c *Worker) { w.reply <- c.report() }

// Hold forgets the ends up to seen, holds what runs up to a time unless that is 0, and answers at the next
// end or after wait. The reply channel must have room for one report.
func (c *Worker) Hold(token, seen int64, until, wait anvilclock.Millis, reply chan<- Report) {
	if refusal := c.fence(token); refusal != None {
		reply <- Report{refusal: refusal, clock: c.Now()}
		return
	}
	c.note(seen)
	if until != 0 {
		c.hold(until)
	}
	if wait > 0 && len(c.ends) == 0 {
		c.waiters = append(c.waiters, &waiter{until: c.Now() + wait, reply: reply})
		return
	}
	reply <- c.report()
}

func (c *Worker) note(seen int64) {
	n := 0
	for n < len(c.ends) && c.ends[n].number <= seen {
		n++
	}
	if n > 0 {
		c.ends = append([]RunEnd(nil), c.ends[n:]...)
		c.trace.Trace(Event{kind: Acknowledged, number: seen})
	}
}

func (c *Worker) report() Report {
	now := c.Now()
	out := Report{clock: now, runEnds: append([]RunEnd(nil), c.ends...)}
	for _, r := range c.sorted() {
		a := Active{task: r.task, run: r.number, percent: r.work.percent(now - r.began)}
		if r.machine.State() == stateGathering {
			a.percent = 0
		}
		if r.work.saves {
			a.checkpoint = r.work.checkpoint(now - r.began)
		}
		out.active = append(out.active, a)
	}
	return out
}
