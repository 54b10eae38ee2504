package anvilsoak

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilsize"

	"anvilhold.org/standin/anvilplatformapi"
	"anvilhold.org/standin/anvilplatformworker"
)

// Bounds of the promises.
const (
	// cancelBound is how long after the acknowledgement of a cancellation a task may start: 3 s, 4 s more while
	// whoever schedules is out of touch, and what a worker carries out late.
	cancelBound = anvilclock.Millis(9500)
	// revokeBound is how long a key that was taken away may work.
	revokeBound = anvilclock.Millis(5000)
	// visibleBound is how long an accepted job may be unknown.
	visibleBound = anvilclock.Millis(3000)
	// limitFresh is how long a former limit of a team counts.
	limitFresh = anvilclock.Millis(10_000)
	// clockSlack is how much longer than it says a worker may hold runs, in parts of 100: clocks are slow.
	clockSlack = 3
	// settleTime is how long events are kept until those of all workers can be put in order.
	settleTime = 400 * time.Millisecond
)

// runState is a run that has begun at a worker and is not known to have ended.
type runState struct {
	worker string
	run    int
	size   anvilsize.Size
	team   string
}

// doneEnd is an end with success.
type doneEnd struct {
	worker      string
	incarnation int
	number      int64
	at          anvilclock.Millis
	// later says that a run has begun after the end.
	later bool
	noted bool
}

// jobState is what clients know of a job.
type jobState struct {
	job       *jobPlan
	attempts  int
	refused   int
	accepted  anvilclock.Millis
	cancelled anvilclock.Millis
	asked     bool
	state     string
	started   bool
	dones     map[anviljob.TaskID][]*doneEnd
	fails     map[anviljob.TaskID]int
}

func newJobState(j *jobPlan) *jobState {
	return &jobState{job: j, dones: map[anviljob.TaskID][]*doneEnd{}, fails: map[anviljob.TaskID]int{}}
}

type limitAt struct {
	at    anvilclock.Millis
	limit anvilsize.Size
}

// audit checks the promises against what workers and clients see. One goroutine owns it.
type audit struct {
	jobs map[string]*jobState
	live map[anviljob.TaskID][]*runState
	held map[string]anvilclock.Millis
	// lapsed is when a worker's lease has last run out, by its own clock.
	lapsed       map[string]anvilclock.Millis
	until        map[string]anvilclock.Millis
	incarnations map[string]int
	limits       map[string][]limitAt
	pending      []anvilplatformapi.Traced
	violations   []string
	starts       int
	inbox        chan func(a *audit)
	closed       chan struct{}
}

func newAudit() *audit {
	a := &audit{
		jobs: map[string]*jobState{}, live: map[anviljob.TaskID][]*runState{}, held: map[string]anvilclock.Millis{},
		lapsed: map[string]anvilclock.Millis{}, until: map[string]anvilclock.Millis{},
		incarnations: map[string]int{}, limits: map[string][]limitAt{}, inbox: make(chan func(*audit), 1024), closed: make(chan struct{}),
	}
	go a.run()
	return a
}

func (a *audit) run() {
	ticker := time.NewTicker(settleTime / 4)
	defer ticker.Stop()
	for {
		select {
		case f := <-a.inbox:
			f(a)
		case <-ticker.C:
			a.settle(nowMillis() - anvilclock.FromDuration(settleTime))
		case <-a.closed:
			return
		}
	}
}

// do has the owning goroutine do something.
func (a *audit) do(f func(a *audit)) { a.inbox <- f }

// ask has the owning goroutine do something and waits for it.
func (a *audit) ask(f func(a *audit)) {
	done := make(chan struct{})
	a.do(func(a *audit) { f(a); close(done) })
	<-done
}

func nowMillis() anvilclock.Millis { return anvilclock.Millis(time.Now().UnixMilli()) }

func (a *audit) violate(rule, format string, args ...any) {
	a.violations = append(a.violations, rule+": "+fmt.Sprintf(format, args...))
}

// settle works off the events up to a time in their order.
func (a *audit) settle(until anvilclock.Millis) {
	slices.SortStableFunc(a.pending, func(x, y anvilplatformapi.Traced) int { return cmp.Compare(x.At(), y.At()) })
	n := 0
	for n < len(a.pending) && a.pending[n].At() <= until {
		a.take(a.pending[n])
		n++
	}
	a.pending = append([]anvilplatformapi.Traced(nil), a.pending[n:]...)
}

func (a *audit) take(t anvilplatformapi.Traced) {
	e := t.Event()
	switch e.Kind() {
	case anvilplatformworker.LeaseExtended:
		a.checkLapse(t.Worker(), t.At())
		a.until[t.Worker()] = e.Until()
		a.held[t.Worker()] = t.At() + (e.Until()-t.At())*(100+clockSlack)/100
	case anvilplatformworker.Started:
		a.begin(t)
	case anvilplatformworker.Ended:
		a.end(t)
	case anvilplatformworker.Acknowledged:
		a.checkLapse(t.Worker(), t.At())
		a.note(t.Worker(), e.Number())
	case anvilplatformworker.Overcommitted:
		a.violate("LIMIT", "worker %s has %s", t.Worker(), e.Text())
	}
}

// checkLapse notes that a worker's lease has run out before a time.
func (a *audit) checkLapse(worker string, at anvilclock.Millis) {
	if until, ok := a.until[worker]; ok && at > until {
		a.lapsed[worker] = until
	}
}

// crashed ends all runs of an incarnation of a worker.
func (a *audit) crashed(worker string) {
	a.settle(nowMillis())
	a.incarnations[worker]++
	delete(a.held, worker)
	delete(a.until, worker)
	for task, runs := range a.live {
		a.live[task] = slices.DeleteFunc(runs, func(r *runState) bool { return r.worker == worker })
	}
}

// begin checks the start of a run.
func (a *audit) begin(t anvilplatformapi.Traced) {
	e, at := t.Event(), t.At()
	task := e.Task()
	a.starts++
	j := a.jobs[task.Job()]
	if j == nil || task.Step() >= len(j.job.steps) || task.Index() >= j.job.steps[task.Step()].count {
		a.violate("UNASKED", "%s was started at %s and never asked for", task, t.Worker())
		return
	}
	j.started = true
	if e.Text() != j.job.payload {
		a.violate("UNASKED", "%s was started with another payload", task)
	}
	if j.cancelled != 0 && at > j.cancelled+cancelBound {
		a.violate("UNASKED", "%s was started %s after its job was cancelled", task, at-j.cancelled)
	}
	for _, r := range a.live[task] {
		if at < a.held[r.worker] {
			a.violate("TWICE", "%s run %d starts at %s while run %d is at %s", task, e.Run(), t.Worker(), r.run, r.worker)
		}
	}
	for _, d := range j.dones[task] {
		d.later = true
		if d.noted && !j.job.lasts {
			a.violate("TWICE", "%s run %d starts at %s after its end with success was taken note of", task, e.Run(), t.Worker())
		}
	}
	a.checkOrder(j, task)
	step := j.job.steps[task.Step()]
	a.live[task] = append(a.live[task], &runState{
		worker: t.Worker(), run: e.Run(), size: step.size, team: j.job.team,
	})
	a.checkLimit(j.job.team, step.size, at)
}

func (a *audit) checkOrder(j *jobState, task anviljob.TaskID) {
	for _, before := range j.job.steps[task.Step()].after {
		if done, count := j.done(before), j.job.steps[before].count; done < count {
			a.violate("ORDER", "%s starts when %d of %d tasks of step %d are done", task, done, count, before)
		}
	}
}

// done returns how many tasks of a step have ended with success. One end represents a gang, whose other members
// may be paused.
func (j *jobState) done(step int) int {
	n := 0
	for i := range j.job.steps[step].count {
		if len(j.dones[anviljob.NewTaskID(j.job.id, 0, step, i)]) > 0 {
			n++
		}
	}
	if n > 0 && j.job.steps[step].gang {
		return j.job.steps[step].count
	}
	return n
}

// checkLimit checks what a team has running, with a tenth and one task of grace.
func (a *audit) checkLimit(team string, size anvilsize.Size, at anvilclock.Millis) {
	var sum, most anvilsize.Size
	for _, runs := range a.live {
		for _, r := range runs {
			if r.team == team && at < a.held[r.worker] {
				sum = sum.Add(r.size)
			}
		}
	}
	limits := a.limits[team]
	for i, l := range limits {
		if i == len(limits)-1 || at-limits[i+1].at < limitFresh {
			most = most.Max(l.limit)
		}
	}
	if !sum.Fits(most.Ratio(110, 100).Add(size)) {
		a.violate("QUOTA", "team %s has %s running, its limit is %s", team, sum, most)
	}
}

func (a *audit) end(t anvilplatformapi.Traced) {
	e := t.Event()
	task := e.Task()
	a.live[task] = slices.DeleteFunc(a.live[task], func(r *runState) bool { return r.worker == t.Worker() && r.run == e.Run() })
	j := a.jobs[task.Job()]
	if j == nil {
		return
	}
	switch e.Cause() {
	case "done":
		j.dones[task] = append(j.dones[task], &doneEnd{worker: t.Worker(), incarnation: a.incarnations[t.Worker()], number: e.Number(), at: t.At()})
	case "failed":
		j.fails[task]++
	}
}

// note marks the ends of a worker that the scheduler has taken note of. One that was listed before the worker's
// lease lapsed counts for nothing: after the lapse the task may have been started elsewhere.
func (a *audit) note(worker string, number int64) {
	for _, j := range a.jobs {
		for task, dones := range j.dones {
			for _, d := range dones {
				if d.worker != worker || d.incarnation != a.incarnations[worker] || d.number > number || d.noted || d.at <= a.lapsed[worker] {
					continue
				}
				d.noted = true
				if d.later && !j.job.lasts {
					a.violate("TWICE", "%s was started again before its end with success was taken note of", task)
				}
			}
		}
	}
}

// answered notes the answer to a submission.
func (a *audit) answered(id string, status int, sent anvilclock.Millis, revoked anvilclock.Millis) {
	j := a.jobs[id]
	switch {
	case status/100 == 2:
		if j.accepted == 0 {
			j.accepted = nowMillis()
		}
		if revoked != 0 && sent > revoked+revokeBound {
			a.violate("CONFIG", "job %s was accepted %s after its key was taken away", id, sent-revoked)
		}
	case status == 429 || status == 503:
		j.refused++
	}
}

// seen notes a state that a client was told.
func (a *audit) seen(id string, status int, state string, sent anvilclock.Millis) {
	j := a.jobs[id]
	if j.accepted == 0 {
		return
	}
	switch {
	case status == 410 && sent > j.accepted+visibleBound:
		a.violate("LOST", "accepted job %s is unknown", id)
	case status/100 != 2:
		return
	case state == "cancelled" && !j.asked:
		a.violate("LOST", "job %s is shown as cancelled", id)
	case state == "failed":
		a.checkFailed(j)
	}
	if status/100 == 2 && j.state == "completed" && state != "completed" {
		a.violate("MIXED", "job %s was completed and is shown as %s", id, state)
	}
	if status/100 == 2 {
		j.state = state
	}
}

func (a *audit) checkFailed(j *jobState) {
	a.settle(nowMillis())
	for _, n := range j.fails {
		if n >= j.job.attempts {
			return
		}
	}
	a.violate("LOST", "job %s is shown as failed without cause", j.job.id)
}

// finish checks the whole run and returns the violations.
func (a *audit) finish() []string {
	a.settle(nowMillis())
	for id, j := range a.jobs {
		if j.started && j.accepted == 0 && j.attempts > 0 && j.refused == j.attempts {
			a.violate("REFUSED", "job %s was refused and has run", id)
		}
		if j.accepted == 0 || j.asked {
			continue
		}
		switch {
		case j.job.lasts || j.state == "failed":
		case j.state != "completed":
			a.violate("LOST", "accepted job %s ends as %q", id, j.state)
		default:
			a.checkDone(j)
		}
	}
	return a.violations
}

func (a *audit) checkDone(j *jobState) {
	for s, step := range j.job.steps {
		if done := j.done(s); done < step.count {
			a.violate("MIXED", "job %s is completed with %d of %d tasks of step %d done", j.job.id, done, step.count, s)
		}
	}
}
