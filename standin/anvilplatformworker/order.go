package anvilplatformworker

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// Refusal is the reason why an order was not carried out, as sent to the scheduler.
type Refusal string

// Reasons for a refusal.
const (
	None          Refusal = ""        // the order was carried out
	Fenced        Refusal = "fence"   // the worker has received a higher fencing token
	StaleRun      Refusal = "old"     // this run or a newer one was stopped or has ended, or another one is active
	LeaseExpired  Refusal = "late"    // the lease in the order has expired
	InvalidTicket Refusal = "ticket"  // the advisor's ticket has expired or is for another step or worker
	Invalid       Refusal = "invalid" // the payload or the checkpoint can't be parsed
)

// Advisor checks whether a ticket allows a worker to run a step.
type Advisor interface {
	Valid(ticket, step, worker string) bool
}

// StartOrder is an order to start a run of a task.
type StartOrder struct {
	task       anviljob.TaskID
	run        int
	payload    string
	leaseUntil anvilclock.Millis
	token      int64
	checkpoint string
}

// NewStartOrder returns an order that also extends the lease of all runs to leaseUntil, a time on the worker's clock.
// The checkpoint is empty for work that starts from the beginning.
func NewStartOrder(task anviljob.TaskID, run int, payload string, leaseUntil anvilclock.Millis, token int64, checkpoint string) StartOrder {
	return StartOrder{task: task, run: run, payload: payload, leaseUntil: leaseUntil, token: token, checkpoint: checkpoint}
}

// fence ends the runs whose lease has expired and checks the fencing token of an order.
func (w *Worker) fence(token int64) Refusal {
	w.Tick()
	if token < w.token {
		return Fenced
	}
	w.token = token
	return None
}

func (w *Worker) extendLease(until anvilclock.Millis) {
	if w.maxLease > 0 {
		until = min(until, w.Now()+w.maxLease)
	}
	if until > w.leaseUntil {
		w.leaseUntil = until
		w.tracer.Trace(Event{kind: LeaseExtended, until: until})
	}
}

// Start starts a run. It returns None if the same run is active already, so that an order can be repeated.
func (w *Worker) Start(o StartOrder) Refusal {
	if refusal := w.fence(o.token); refusal != None {
		return refusal
	}
	if o.leaseUntil <= w.Now() {
		return LeaseExpired
	}
	if r := w.runs[o.task]; r != nil && r.number == o.run {
		w.extendLease(o.leaseUntil)
		return None
	}
	if o.run <= w.highestEnded[o.task] || w.runs[o.task] != nil {
		w.extendLease(o.leaseUntil)
		return StaleRun
	}
	wk, err := parseWork(o.payload, o.task, o.run, o.checkpoint)
	if err != nil {
		return Invalid
	}
	w.extendLease(o.leaseUntil)
	now := w.Now()
	r := &run{worker: w, task: o.task, number: o.run, work: wk, machine: w.chart.NewMachine(), began: now, due: now + wk.total - wk.doneBefore}
	if wk.fails {
		r.due = now + (wk.total-wk.doneBefore)/2
	}
	w.runs[o.task] = r
	if wk.members > 1 {
		r.due = now + gatherTimeout
		w.fire(r, "gather")
		w.gangs.Join(o.task, o.run, wk.members)
	}
	w.tracer.Trace(Event{kind: Started, task: o.task, run: o.run, token: o.token, text: o.payload})
	if used := w.used(); !used.Fits(w.capacity) {
		w.tracer.Trace(Event{kind: Overcommitted, task: o.task, run: o.run, token: o.token, text: used.String() + " of " + w.capacity.String()})
	}
	return None
}

// BeginGang starts the work of a gang after a delay, once all its members are present. It applies to all members at this
// worker, also when only one of them received the reply, so that they end together.
func (w *Worker) BeginGang(task anviljob.TaskID, number int, delay anvilclock.Millis) {
	for _, r := range w.runs {
		if r.task.StepID() != task.StepID() || r.number != number || r.machine.State() != stateGathering {
			continue
		}
		r.began = w.Now() + delay
		r.due = w.Now() + (delay+r.work.total-r.work.doneBefore)*(1_000_000-w.lagPPM)/1_000_000
		w.fire(r, "present")
	}
}

// stopDuration is the time from a stop order to the end of the run.
const stopDuration = anvilclock.Millis(100)

// Stop stops a run, which ends stopDuration later. If another member of the run's gang may have ended as done already, the
// run ends as done at once. A run that is not active here can't start afterwards.
func (w *Worker) Stop(task anviljob.TaskID, number int, token int64) Refusal {
	if refusal := w.fence(token); refusal != None {
		return refusal
	}
	if r := w.runs[task]; r != nil && r.number == number {
		if r.gangMayHaveEnded(w.Now()) {
			w.fire(r, "finish")
			w.answerHolds()
			return None
		}
		r.due = w.Now() + stopDuration
		w.fire(r, "stop")
		return None
	}
	if w.runs[task] == nil {
		w.highestEnded[task] = max(w.highestEnded[task], number)
	}
	return None
}

// Active describes a run that has not ended.
type Active struct {
	task       anviljob.TaskID
	run        int
	checkpoint string
	percent    int
}

// Task returns the task that the run executes.
func (a Active) Task() anviljob.TaskID { return a.task }

// Run returns the number of the run among the runs of its task.
func (a Active) Run() int { return a.run }

// Checkpoint returns the checkpoint from which a later run can resume; empty if the task saves none.
func (a Active) Checkpoint() string { return a.checkpoint }

// Percent returns the progress of the work, from 0 to 100. It is 0 while a gang gathers and 100 for long-running work.
func (a Active) Percent() int { return a.percent }

// Report is the reply to a hold call.
type Report struct {
	refusal Refusal
	clock   anvilclock.Millis
	active  []Active
	runEnds []RunEnd
}

// Refusal returns why the hold was refused, or None. If it was refused, the clock is the only other field that is set.
func (r Report) Refusal() Refusal { return r.refusal }

// Clock returns the time on the worker's clock when the report was made.
func (r Report) Clock() anvilclock.Millis { return r.clock }

// Active returns the runs that have not ended, ordered by due time.
func (r Report) Active() []Active { return r.active }

// RunEnds returns the run ends that the scheduler has not acknowledged, oldest first.
func (r Report) RunEnds() []RunEnd { return r.runEnds }

// pendingHold is a hold call that waits for a run end, at most until a time on the worker's clock.
type pendingHold struct {
	until anvilclock.Millis
	reply chan<- Report
}

func (h *pendingHold) answer(w *Worker) { h.reply <- w.report() }

// Hold drops the run ends up to the number acked and extends the lease of all runs to until, unless that is 0. It replies
// at once if other run ends are pending, and otherwise at the next run end or after wait. The reply channel must have a
// buffer of at least one.
func (w *Worker) Hold(token, acked int64, until, wait anvilclock.Millis, reply chan<- Report) {
	if refusal := w.fence(token); refusal != None {
		reply <- Report{refusal: refusal, clock: w.Now()}
		return
	}
	w.acknowledge(acked)
	if until != 0 {
		w.extendLease(until)
	}
	if wait > 0 && len(w.runEnds) == 0 {
		w.pendingHolds = append(w.pendingHolds, &pendingHold{until: w.Now() + wait, reply: reply})
		return
	}
	reply <- w.report()
}

func (w *Worker) acknowledge(number int64) {
	n := 0
	for n < len(w.runEnds) && w.runEnds[n].number <= number {
		n++
	}
	if n > 0 {
		w.runEnds = append([]RunEnd(nil), w.runEnds[n:]...)
		w.tracer.Trace(Event{kind: Acknowledged, number: number})
	}
}

func (w *Worker) report() Report {
	now := w.Now()
	out := Report{clock: now, runEnds: append([]RunEnd(nil), w.runEnds...)}
	for _, r := range w.runsByDue() {
		a := Active{task: r.task, run: r.number, percent: r.work.percent(now - r.began)}
		if r.machine.State() == stateGathering {
			a.percent = 0
		}
		if r.work.checkpoints {
			a.checkpoint = r.work.checkpoint(now - r.began)
		}
		out.active = append(out.active, a)
	}
	return out
}
