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

// Time bounds that the checks apply.
const (
	// cancelBound is how long after the acknowledgement of a cancellation a task may still start: 3 s, 4 s more
	// while the leader is partitioned from the store, and the delay with which a worker carries out orders.
	cancelBound = anvilclock.Millis(9500)
	// revokeBound is how long a key may still be accepted after its revocation.
	revokeBound = anvilclock.Millis(5000)
	// visibleBound is how long after its acceptance a job may be unknown to an instance.
	visibleBound = anvilclock.Millis(3000)
	// limitChangeBound is how long the previous limit of a team may still apply after a change.
	limitChangeBound = anvilclock.Millis(10_000)
	// reorderDelay is how long events are kept before they are checked, so that the events of all workers arrive
	// in time to be sorted.
	reorderDelay = 400 * time.Millisecond
)

// runState is a run that has started on a worker and has not been reported as ended.
type runState struct {
	worker string
	run    int
	size   anvilsize.Size
	team   string
}

// successfulEnd is an end of a run with success.
type successfulEnd struct {
	worker      string
	incarnation int
	number      int64
	at          anvilclock.Millis
	// restarted is set when another run of the task has started after this end.
	restarted bool
	acked     bool
}

// jobState is what the audit knows about a job, from the answers to its client and from the events of workers.
type jobState struct {
	job             *jobPlan
	attempts        int
	refused         int
	accepted        anvilclock.Millis
	cancelled       anvilclock.Millis
	cancelRequested bool
	state           string
	started         bool
	successes       map[anviljob.TaskID][]*successfulEnd
	// absences holds the tasks that have run and have no run now.
	absences map[anviljob.TaskID]absence
	failures map[anviljob.TaskID]int
}

func newJobState(j *jobPlan) *jobState {
	return &jobState{job: j, successes: map[anviljob.TaskID][]*successfulEnd{}, failures: map[anviljob.TaskID]int{}, absences: map[anviljob.TaskID]absence{}}
}

type limitChange struct {
	at    anvilclock.Millis
	limit anvilsize.Size
}

// audit checks what workers and clients observe against the promises. The goroutine that run starts owns all
// fields; others use post and call.
type audit struct {
	jobs    map[string]*jobState
	running map[anviljob.TaskID][]*runState
	// leaseEnd is when the lease of a worker ends and leaseExpired when it last expired, both in the audit's time:
	// lagPPM is by how many parts per million the worker's clock is slow.
	leaseEnd     map[string]anvilclock.Millis
	leaseExpired map[string]anvilclock.Millis
	lagPPM       map[string]int
	incarnations map[string]int
	limits       map[string][]limitChange
	disruptions  []*disruption
	evacuations  []*evacuation
	// domains holds the failure domains of workers.
	domains    map[string]string
	pending    []anvilplatformapi.TraceEvent
	violations []string
	starts     int
	inbox      chan func(a *audit)
	closed     chan struct{}
}

func newAudit() *audit {
	a := &audit{
		jobs: map[string]*jobState{}, running: map[anviljob.TaskID][]*runState{}, leaseEnd: map[string]anvilclock.Millis{},
		domains:      map[string]string{},
		leaseExpired: map[string]anvilclock.Millis{}, lagPPM: map[string]int{},
		incarnations: map[string]int{}, limits: map[string][]limitChange{}, inbox: make(chan func(*audit), 1024), closed: make(chan struct{}),
	}
	go a.run()
	return a
}

func (a *audit) run() {
	ticker := time.NewTicker(reorderDelay / 4)
	defer ticker.Stop()
	for {
		select {
		case f := <-a.inbox:
			f(a)
		case <-ticker.C:
			a.processUntil(nowMillis() - anvilclock.FromDuration(reorderDelay))
		case <-a.closed:
			return
		}
	}
}

// post queues f for the owning goroutine and does not wait for it.
func (a *audit) post(f func(a *audit)) { a.inbox <- f }

// call runs f on the owning goroutine and waits until it has returned.
func (a *audit) call(f func(a *audit)) {
	done := make(chan struct{})
	a.post(func(a *audit) { f(a); close(done) })
	<-done
}

func nowMillis() anvilclock.Millis { return anvilclock.Millis(time.Now().UnixMilli()) }

func (a *audit) violate(rule, format string, args ...any) {
	a.violations = append(a.violations, rule+": "+fmt.Sprintf(format, args...))
}

// processUntil processes the pending events up to a time, sorted by time.
func (a *audit) processUntil(until anvilclock.Millis) {
	slices.SortStableFunc(a.pending, func(x, y anvilplatformapi.TraceEvent) int { return cmp.Compare(x.At(), y.At()) })
	n := 0
	for n < len(a.pending) && a.pending[n].At() <= until {
		a.process(a.pending[n])
		n++
	}
	a.pending = append([]anvilplatformapi.TraceEvent(nil), a.pending[n:]...)
}

func (a *audit) process(t anvilplatformapi.TraceEvent) {
	e := t.Event()
	switch e.Kind() {
	case anvilplatformworker.LeaseExtended:
		a.recordLeaseExpiry(t.Worker(), t.At())
		a.leaseEnd[t.Worker()] = t.At() + (e.Until()-t.At())*1_000_000/anvilclock.Millis(1_000_000-a.lagPPM[t.Worker()])
	case anvilplatformworker.Started:
		a.recordStart(t)
	case anvilplatformworker.Ended:
		a.recordEnd(t)
	case anvilplatformworker.Acknowledged:
		a.recordLeaseExpiry(t.Worker(), t.At())
		a.recordAck(t.Worker(), e.Number())
	case anvilplatformworker.Overcommitted:
		a.violate("LIMIT", "worker %s has %s", t.Worker(), e.Text())
	case exited:
		a.endIncarnation(t.Worker(), t.At())
	}
}

// exited is the kind of the event that the audit inserts when the process of a worker has exited.
const exited anvilplatformworker.Kind = "exited"

// recordLeaseExpiry records the expiry of a worker's lease if the lease ended before the given time.
func (a *audit) recordLeaseExpiry(worker string, at anvilclock.Millis) {
	if until, ok := a.leaseEnd[worker]; ok && at > until {
		a.leaseExpired[worker] = until
	}
}

// recordExit records that the process of a worker has exited. It takes effect in the order of the events, because those
// of other workers may not have arrived yet.
func (a *audit) recordExit(worker string) {
	a.pending = append(a.pending, anvilplatformapi.NewTraceEvent(worker, nowMillis(), anvilplatformworker.NewEvent(exited, anviljob.TaskID{}, 0)))
}

// endIncarnation ends all runs of the current incarnation of a worker.
func (a *audit) endIncarnation(worker string, at anvilclock.Millis) {
	a.incarnations[worker]++
	delete(a.leaseEnd, worker)
	for task, runs := range a.running {
		for _, r := range runs {
			if r.worker == worker {
				a.removeRun(task, worker, r.run, at, "with its worker")
			}
		}
	}
}

// recordStart records the start of a run and checks whether the task may start at this time.
func (a *audit) recordStart(t anvilplatformapi.TraceEvent) {
	e, at := t.Event(), t.At()
	task := e.Task()
	a.starts++
	j := a.jobs[task.Job()]
	if j == nil || task.Step() >= len(j.job.steps) || task.Index() >= j.job.steps[task.Step()].count || task.Occurrence() >= j.job.occurrences {
		a.violate("UNASKED", "%s was started at %s but never submitted", task, t.Worker())
		return
	}
	j.started = true
	if e.Text() != j.job.payload {
		a.violate("UNASKED", "%s was started with a payload that differs from the submitted one", task)
	}
	if j.cancelled != 0 && at > j.cancelled+cancelBound {
		a.violate("UNASKED", "%s was started %s after its job was cancelled", task, at-j.cancelled)
	}
	for _, r := range a.running[task] {
		if at < a.leaseEnd[r.worker] {
			a.violate("TWICE", "%s run %d starts on %s at %d while run %d is on %s with a lease until %d", task, e.Run(), t.Worker(), at, r.run, r.worker, a.leaseEnd[r.worker])
		}
	}
	for _, end := range j.successes[task] {
		end.restarted = true
		if end.acked && !j.job.longRunning {
			a.violate("TWICE", "%s run %d starts on %s at %d after its success on %s at %d was acknowledged", task, e.Run(), t.Worker(), at, end.worker, end.at)
		}
	}
	a.checkOrder(j, task)
	a.checkEvacuated(task, t.Worker(), at)
	a.endAbsence(j, task, at)
	step := j.job.steps[task.Step()]
	a.running[task] = append(a.running[task], &runState{
		worker: t.Worker(), run: e.Run(), size: step.size, team: j.job.team,
	})
	a.checkLimit(j.job.team, step.size, at)
}

func (a *audit) checkOrder(j *jobState, task anviljob.TaskID) {
	for _, before := range j.job.steps[task.Step()].after {
		if done, count := j.doneTasks(task.Occurrence(), before), j.job.steps[before].count; done < count {
			a.violate("ORDER", "%s starts when only %d of %d tasks of step %d are done", task, done, count, before)
		}
	}
}

// doneTasks returns how many tasks of a step have ended with success in an occurrence of the job. A single such end counts for all members
// of a gang, because the workers of the others may be paused.
func (j *jobState) doneTasks(occurrence, step int) int {
	n := 0
	for i := range j.job.steps[step].count {
		if len(j.successes[anviljob.NewTaskID(j.job.id, occurrence, step, i)]) > 0 {
			n++
		}
	}
	if n > 0 && j.job.steps[step].gang {
		return j.job.steps[step].count
	}
	return n
}

// checkLimit compares the total size of a team's runs with the largest limit that may apply. It tolerates a tenth
// of the limit and one task more.
func (a *audit) checkLimit(team string, size anvilsize.Size, at anvilclock.Millis) {
	var sum, maxLimit anvilsize.Size
	for _, runs := range a.running {
		for _, r := range runs {
			if r.team == team && at < a.leaseEnd[r.worker] {
				sum = sum.Add(r.size)
			}
		}
	}
	limits := a.limits[team]
	for i, l := range limits {
		if i == len(limits)-1 || at-limits[i+1].at < limitChangeBound {
			maxLimit = maxLimit.Max(l.limit)
		}
	}
	if !sum.Fits(maxLimit.Ratio(110, 100).Add(size)) {
		a.violate("QUOTA", "team %s has %s running, its limit is %s", team, sum, maxLimit)
	}
}

func (a *audit) recordEnd(t anvilplatformapi.TraceEvent) {
	e := t.Event()
	task := e.Task()
	a.removeRun(task, t.Worker(), e.Run(), t.At(), e.Cause())
	j := a.jobs[task.Job()]
	if j == nil {
		return
	}
	switch e.Cause() {
	case "done":
		j.successes[task] = append(j.successes[task], &successfulEnd{worker: t.Worker(), incarnation: a.incarnations[t.Worker()], number: e.Number(), at: t.At()})
	case "failed":
		j.failures[task]++
	}
}

// recordAck marks the ends of a worker up to a number as acknowledged by the scheduler. An end that was
// reported before the lease of the worker expired is not marked: after the expiry the task may have been
// started elsewhere.
func (a *audit) recordAck(worker string, number int64) {
	for _, j := range a.jobs {
		for task, ends := range j.successes {
			for _, end := range ends {
				if end.worker != worker || end.incarnation != a.incarnations[worker] || end.number > number || end.acked || end.at <= a.leaseExpired[worker] {
					continue
				}
				end.acked = true
				if end.restarted && !j.job.longRunning {
					a.violate("TWICE", "%s was started again after its success on %s at %d, which was acknowledged later", task, worker, end.at)
				}
			}
		}
	}
}

// recordSubmission records the answer to a submission. revoked is when the key was revoked, 0 if it was not.
func (a *audit) recordSubmission(id string, status int, sent anvilclock.Millis, revoked anvilclock.Millis) {
	j := a.jobs[id]
	switch {
	case status/100 == 2:
		if j.accepted == 0 {
			j.accepted = nowMillis()
		}
		if revoked != 0 && sent > revoked+revokeBound {
			a.violate("CONFIG", "job %s was accepted %s after its key was revoked", id, sent-revoked)
		}
	case status == 429 || status == 503:
		j.refused++
	}
}

// recordState checks and records the state of a job that an instance reported to a client. sent is when the
// client sent its request.
func (a *audit) recordState(id string, status int, state string, sent anvilclock.Millis) {
	j := a.jobs[id]
	if j.accepted == 0 {
		return
	}
	switch {
	case status == 410 && sent > j.accepted+visibleBound:
		a.violate("LOST", "accepted job %s is unknown", id)
	case status/100 != 2:
		return
	case state == "cancelled" && !j.cancelRequested:
		a.violate("LOST", "job %s is shown as cancelled but no client cancelled it", id)
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
	a.processUntil(nowMillis())
	for _, n := range j.failures {
		if n >= j.job.attempts {
			return
		}
	}
	a.violate("LOST", "job %s is shown as failed but no task of it has used up its attempts", j.job.id)
}

// finish checks how all jobs have ended and returns the violations of the whole run.
func (a *audit) finish() []string {
	a.processUntil(nowMillis())
	for id, j := range a.jobs {
		if j.started && j.accepted == 0 && j.attempts > 0 && j.refused == j.attempts {
			a.violate("REFUSED", "job %s was refused at every attempt but has run", id)
		}
		if j.accepted == 0 || j.cancelRequested {
			continue
		}
		switch {
		case j.job.longRunning:
			a.checkAbsences(j, nowMillis())
		case j.state == "failed":
		case j.state != "completed":
			a.violate("LOST", "accepted job %s is in state %q at the end of the run", id, j.state)
		default:
			a.checkDone(j)
		}
	}
	return a.violations
}

func (a *audit) checkDone(j *jobState) {
	for k := range j.job.occurrences {
		for s, step := range j.job.steps {
			if done := j.doneTasks(k, s); done < step.count {
				a.violate("MIXED", "job %s is completed with only %d of %d tasks of step %d of occurrence %d done", j.job.id, done, step.count, s, k)
			}
		}
	}
}
