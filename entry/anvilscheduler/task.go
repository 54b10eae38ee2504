package anvilscheduler

import (
	"context"
	"errors"
	"math"

	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilpolicy"
)

func (l *Loop) bindTask() *anvilchart.Binding[*task] {
	return anvilchart.NewBinding(map[string]func(*task){
		"bind":   func(t *task) { l.bind(t) },
		"unbind": func(t *task) { l.unbind(t) },
		"send":   func(t *task) { l.sendFirst(t) },
		"note": func(t *task) {
			t.startedAt = l.clock.Now()
			l.meter.Observe("task.start", (t.startedAt - t.startSent).Duration())
			l.confirmRun(t)
		},
		"stop":   func(t *task) { l.stopTask(t, l.clock.Now()) },
		"settle": func(t *task) { t.formerDone = true },
		"finish": func(t *task) { l.finishTask(t) },
		"fail":   func(t *task) { l.failJob(t) },
	}, map[string]func(*task) bool{
		"lasting": func(t *task) bool { return t.stage.step.LongRunning() },
		"spent":   func(t *task) bool { return t.attemptsExhausted() },
		"over":    func(t *task) bool { return t.stage.job.final() && !t.formerDone },
		"settled": func(t *task) bool { return t.formerDone },
	})
}

func (l *Loop) bindJob() *anvilchart.Binding[*job] {
	return anvilchart.NewBinding(map[string]func(*job){
		"publish": func(j *job) {
			l.log.Record(anvilevent.JobStateChanged, "job", j.id(), "state", j.machine.State(), "queue", j.sub.Queue(),
				"team", j.sub.Team(), "age", int64(l.clock.Now()-j.arrived))
			l.meter.Count("job." + j.machine.State())
			l.markChanged(j)
		},
		"halt": func(j *job) {
			for _, t := range j.tasks() {
				l.fireTask(t, "cancel")
			}
			for s := range j.stages() {
				delete(l.workload.ready, s)
			}
		},
	}, nil)
}

// attemptsExhausted reports whether the task has failed as often as its queue allows. Long-running tasks have no limit.
func (t *task) attemptsExhausted() bool {
	s := t.stage
	if s.step.LongRunning() {
		return false
	}
	failures := t.failures
	if s.step.Gang() {
		failures = s.failures
	}
	return failures >= s.job.loop.maxAttempts(s.job)
}

// maxAttempts returns the number of failed runs of a task after which its job fails. There is no limit while the queue
// is not known.
func (l *Loop) maxAttempts(j *job) int {
	if q, ok := l.queueOf(j); ok {
		return q.Attempts()
	}
	return math.MaxInt
}

// queueKey identifies the queue that accepted a job: by its address, and by its name in rows of earlier versions.
type queueKey struct{ address, name string }

func (j *job) queueKey() queueKey {
	if j.sub.Address() != "" {
		return queueKey{address: j.sub.Address()}
	}
	return queueKey{name: j.sub.Queue()}
}

// queueOf returns the configuration of a job's queue. If the queue was removed, it is the last one that this leader knows, or
// that under which the job was accepted. The latter also holds while a queue of another name is at the address: its pool need not be
// one for the job.
func (l *Loop) queueOf(j *job) (*anvilpolicy.Queue, bool) {
	if j.queue != nil && j.queuePolicy == l.state.policy {
		return j.queue, true
	}
	key := j.queueKey()
	if p := l.state.policy; p != nil {
		if q, ok := p.QueueOfJob(j.sub.Address(), j.sub.Queue()); ok {
			if q.Name() != j.sub.Queue() && j.acceptedBy != nil {
				if _, ok := p.Pool(j.acceptedBy.Pool()); ok {
					q = j.acceptedBy
				}
			}
			l.workload.lastQueues[key] = q
			j.queue, j.queuePolicy = q, p
			return q, true
		}
	}
	if q, ok := l.workload.lastQueues[key]; ok {
		return q, true
	}
	return j.acceptedBy, j.acceptedBy != nil
}

// bind binds the task to its chosen worker: it allocates the capacity and counts the task in the team's usage. The run
// of an adopted task keeps its number; any other binding starts a new run and has to be stored.
func (l *Loop) bind(t *task) {
	s, j := t.stage, t.stage.job
	if t.adoptedFrom == "" {
		t.run++
		t.incarnation = t.worker.registration.incarnation
		j.unstoredBindings = append(j.unstoredBindings, t)
		l.markRunChanged(t)
	}
	t.startSent, t.confirmedAt, t.percent, t.load, t.pace, t.paceInFlight = 0, 0, 0, 0, 100, false
	t.attempts.settle()
	t.unconfirmed, t.lastStart = false, 0
	t.lastProgress = l.clock.Now()
	t.allocate()
	s.waiting--
	s.occurrence.begin()
	j.bound++
	l.workload.usage[j.sub.Team()] = l.workload.usage[j.sub.Team()].Add(s.step.Size())
	if s.waiting == 0 {
		delete(l.workload.ready, s)
	}
}

// allocate adds a task and its reservation to its worker.
func (t *task) allocate() {
	w, s := t.worker, t.stage
	w.tasks[t] = true
	w.used = w.used.Add(s.step.Reservation())
	s.perWorker[w]++
}

// deallocate removes a task and its reservation from its worker.
func (l *Loop) deallocate(t *task) {
	w, s := t.worker, t.stage
	delete(w.tasks, t)
	w.used = w.used.Sub(s.step.Reservation())
	l.check.Check(!w.used.Negative(), "worker.used", "worker %s: %s", w.id(), w.used)
	if s.perWorker[w]--; s.perWorker[w] == 0 {
		delete(s.perWorker, w)
	}
}

// unbind undoes bind. If the task waits for another run, its stage becomes ready, and the rest of its gang is stopped.
func (l *Loop) unbind(t *task) {
	s, j := t.stage, t.stage.job
	l.barLateStart(t)
	l.noteStray(t)
	l.deallocate(t)
	j.bound--
	l.workload.usage[j.sub.Team()] = l.workload.usage[j.sub.Team()].Sub(s.step.Size())
	if t.leaving {
		t.leaving = false
		l.workload.leaving[j.sub.Team()] = l.workload.leaving[j.sub.Team()].Sub(s.step.Size())
	}
	t.worker, t.adoptedFrom = nil, ""
	l.markRunChanged(t)
	l.requestPass()
	if t.machine.State() != taskWaiting {
		return
	}
	s.waiting++
	if !j.final() && s.ready {
		l.workload.ready[s] = true
	}
	if s.step.Gang() {
		l.stopGang(s)
	}
}

// stopGang stops the other tasks of a gang after the run of one of them has ended.
func (l *Loop) stopGang(s *stage) {
	for t := range s.existing() {
		if t.machine.State() == taskPlaced || t.machine.State() == taskStarting || t.machine.State() == taskRunning {
			l.fireTask(t, "halt")
		}
	}
}

// finishTask counts a task that has succeeded, and completes the stage and the job with the last one.
func (l *Loop) finishTask(t *task) {
	s, j := t.stage, t.stage.job
	l.recountWaiting(s)
	s.done++
	l.markRunChanged(t)
	if s.done < s.size() {
		return
	}
	delete(l.workload.ready, s)
	l.markReady(s.occurrence)
	if s.occurrence.done() {
		l.endOccurrence(s.occurrence)
		l.checkFinished(j)
	}
}

// recountWaiting sets the number of waiting tasks of a stage from their states.
func (l *Loop) recountWaiting(s *stage) {
	s.waiting = 0
	for i := range s.size() {
		if s.waits(i) {
			s.waiting++
		}
	}
	if s.waiting == 0 {
		delete(l.workload.ready, s)
	}
}

func (l *Loop) failJob(t *task) {
	l.log.Record(anvilevent.TaskAttemptsExhausted, "task", t.id.String(), "failures", t.failures)
	l.fireJob(t.stage.job, "fail")
}

// sendFirst sends the first start of a run. An adopted run gets none, because a former leader has started it.
func (l *Loop) sendFirst(t *task) {
	if t.adoptedFrom != "" {
		return
	}
	now := l.clock.Now()
	t.startSent = now
	l.log.Record(anvilevent.RunPlaced, "task", t.id.String(), "run", t.run, "worker", t.worker.id(),
		"room", t.stage.step.Reservation().String(), "free", t.worker.free().String(), "waited", int64(now-t.stage.readyAt),
		"resumed", t.checkpoint != "")
	l.meter.Observe("task.wait", (now - t.stage.readyAt).Duration())
	l.sendStart(t, now)
}

// sendStart sends a start. It may be sent repeatedly, because a worker starts a run only once.
func (l *Loop) sendStart(t *task, now anvilclock.Millis) {
	t.attempts.begin(now)
	l.sendAttempt(t, now)
	t.confirmedAt = 0
}

// sendAttempt sends one attempt of a start on a traffic goroutine.
func (l *Loop) sendAttempt(t *task, now anvilclock.Millis) {
	w, key := t.worker, startKey{t, t.run}
	o := StartOrder{
		task: t.id, run: t.run, payload: t.stage.job.sub.Spec().Payload(), token: w.fence,
		until: w.leaseUntil(now), checkpoint: t.resumeFrom(), ticket: t.ticket.text,
	}
	w.extendLease(now)
	t.lastProgress, t.lastStart = now, now
	t.attempts.sent++
	t.attempts.inFlight++
	w.unverified[key] = now
	w.recordAttempt(key, now)
	m := startAnswered{
		token: l.leadership.token, fence: o.token, worker: w, task: t, run: t.run, round: t.attempts.round, sent: now,
		timeout: t.attempts.timeout(now), earliestClock: w.earliestClock(now),
	}
	ctx, workers, to := l.leadershipContext(), l.workers, w.target()
	l.spawn(func() {
		ctx, cancel := withTimeout(ctx, m.timeout)
		defer cancel()
		m.clock, m.err = workers.Start(ctx, to, o)
		l.post(m)
	})
}

// unansweredExpiry returns the local time until which the run may last although the worker's leases have expired: the worker
// may have restarted before it got the start, so that its clock counts anew. It is 0 when the start was answered.
func (t *task) unansweredExpiry() anvilclock.Millis {
	if t.lastStart == 0 {
		return 0
	}
	l := t.stage.job.loop
	return t.lastStart + l.leaseExpiryAfter(l.limits.maxLease)
}

// resumeFrom returns the checkpoint that a start carries, the same for all tasks of a gang; empty for none.
func (t *task) resumeFrom() string {
	if t.stage.step.Gang() {
		return t.stage.checkpoint
	}
	return t.checkpoint
}

func (m startAnswered) deliver(l *Loop) {
	t, w := m.task, m.worker
	if m.token != l.leadership.token {
		return
	}
	now, key, verified := l.clock.Now(), startKey{t, m.run}, m.verified()
	if verified {
		delete(w.unverified, key)
	}
	if m.unanswered() {
		w.recordNoAnswer(key, now)
	} else {
		w.recordAnswer(key)
	}
	if t.worker != w || t.run != m.run {
		return
	}
	if m.err == nil {
		t.attempts.settle()
		w.failures = 0
		if verified {
			t.lastStart = 0
		} else {
			w.recordRestart(m.sent)
		}
		w.recordReply(m.clock, now)
		t.confirmedAt = now
		l.fireTask(t, "started")
		l.holdIfDue(w, now)
		return
	}
	if m.round != t.attempts.round {
		return
	}
	if t.attempts.inFlight--; m.unanswered() && t.attempts.inFlight > 0 {
		return
	}
	t.attempts.settle()
	e := asOrderError(m.err)
	l.log.Record(anvilevent.StartRefused, "task", t.id.String(), "run", t.run, "worker", w.id(), "fault", string(e.fault), "error", e.Error())
	l.meter.Count("start." + string(e.fault))
	l.handleOrderError(w, m.fence, m.err, now)
	if t.worker != w || t.run != m.run || t.machine.State() != taskStarting {
		return
	}
	switch e.fault {
	case FaultNoReply, FaultFenced, FaultReplaced:
		// tickWorkload sends the start again, unless the leadership or the worker's incarnation ends.
	case FaultExpired:
		// The estimate of the worker's clock was too old, and the answer has replaced it. tickWorkload sends the start again.
		if now-t.startSent > lateStartWindow {
			l.refuseStart(t, e.fault)
		}
	case FaultUnavailable:
		// The other tasks of a gang would be stopped, so its start is sent again for a while.
		if !t.stage.step.Gang() || now-t.startSent > gangStartWindow {
			l.refuseStart(t, e.fault)
		}
	case FaultOutdated:
		t.confirmedAt = now
	default:
		l.refuseStart(t, e.fault)
	}
}

// verified reports whether the answer shows that the incarnation that the leader knows got the start, and not a later one,
// whose clock counts anew. An answer without a clock, which the worker gives when it has done nothing, shows it too.
func (m startAnswered) verified() bool {
	if m.err == nil {
		return m.clock >= m.earliestClock
	}
	e := asOrderError(m.err)
	return !m.unanswered() && (e.clock == 0 || e.clock >= m.earliestClock)
}

// unanswered reports whether the attempt got no answer, so that the worker may still carry it out.
func (m startAnswered) unanswered() bool {
	return m.err != nil && asOrderError(m.err).fault == FaultNoReply
}

// refuseStart unbinds a task whose start was refused.
func (l *Loop) refuseStart(t *task, f Fault) {
	if f == FaultTicket {
		t.stage.tickets.invalidate(t.worker)
	}
	t.avoidWorker = t.worker
	l.withdrawStart(t)
}

// withdrawStart unbinds a task whose start is not sent again. When an attempt got no answer, the worker may still process it,
// so the run has to be stopped first.
func (l *Loop) withdrawStart(t *task) {
	if t.startMayArrive(l.clock.Now()) {
		l.fireTask(t, "halt")
		return
	}
	l.fireTask(t, "refused")
}

// stopTask sends a stop of a task's run, and records the time so that tickWorkload can repeat it.
func (l *Loop) stopTask(t *task, now anvilclock.Millis) {
	t.stopSent = now
	l.log.Record(anvilevent.RunStopped, "task", t.id.String(), "run", t.run, "worker", t.worker.id())
	l.sendStop(t.worker, t, StopOrder{task: t.id, run: t.run, token: t.worker.fence}, now)
}

// sendStop sends a stop on a traffic goroutine; t is nil for a run that is bound to no task.
func (l *Loop) sendStop(w *worker, t *task, o StopOrder, now anvilclock.Millis) {
	if w.registration.addr == "" || !l.mayOrder(now) {
		return
	}
	m := stopAnswered{token: l.leadership.token, fence: o.token, worker: w, task: t, run: o.run}
	m.timeout = orderTimeout
	if t != nil && w.patientStops < maxPatientStops {
		// The task stays bound until the stop is confirmed, so a late answer is used, too.
		w.patientStops++
		m.patient, m.timeout = true, m.timeout+lateAnswerWindow
	}
	ctx, workers, to := l.leadershipContext(), l.workers, w.target()
	l.spawn(func() {
		ctx, cancel := withTimeout(ctx, m.timeout)
		defer cancel()
		m.clock, m.err = workers.Stop(ctx, to, o)
		l.post(m)
	})
}

func (m stopAnswered) deliver(l *Loop) {
	if m.token != l.leadership.token {
		return
	}
	now := l.clock.Now()
	if m.patient {
		m.worker.patientStops--
	}
	if m.err != nil {
		// A stop may take so long that its time-out says nothing new. Holds show sooner that the worker doesn't answer.
		if !m.patient || !errors.Is(m.err, context.DeadlineExceeded) {
			l.handleOrderError(m.worker, m.fence, m.err, now)
		}
		return
	}
	m.worker.recordLaterReply(m.clock, now)
	// Only the first confirmation sets the time. The answer to a hold shows that the run has ended only if the hold was
	// sent after that time. If repeated stops moved the time, the holds in flight would always be too old.
	if m.task != nil && m.task.worker == m.worker && m.task.run == m.run && m.task.confirmedAt == 0 {
		m.task.confirmedAt = now
	}
	l.holdIfDue(m.worker, now)
}

// updateRun updates a task from the report of its active run, in the answer to a hold that was sent at a local time.
func (l *Loop) updateRun(t *task, a Active, sent, now anvilclock.Millis) {
	if t.lastStart <= sent || t.adoptedFrom != "" {
		t.lastStart = 0
	}
	t.adoptedFrom = ""
	if t.confirmedAt == 0 {
		t.confirmedAt = now
	}
	if a.checkpoint != "" {
		t.checkpoint = a.checkpoint
		t.stage.checkpoint = a.checkpoint
	}
	if a.percent != t.percent {
		t.percent, t.lastProgress = a.percent, now
	}
	t.load = a.load
	if t.machine.State() == taskStarting {
		l.fireTask(t, "started")
	}
	l.confirmRun(t)
}

// processRunEnd processes the end of a run that a worker has reported.
func (l *Loop) processRunEnd(w *worker, e RunEnd) {
	t := l.findTask(e.task)
	l.recordRunEnd(w, t, e)
	if t == nil {
		return
	}
	l.meter.Count("run." + string(e.cause))
	if e.checkpoint != "" {
		t.checkpoint, t.stage.checkpoint = e.checkpoint, e.checkpoint
	}
	if e.cause.showsBegin() {
		l.beginJob(t.stage.job)
	}
	if t.run != e.run || t.worker != w {
		l.processFormerRunEnd(t, e)
		return
	}
	t.adoptedFrom = ""
	now := l.clock.Now()
	ran := t.stage.step.Estimate()
	if t.startSent != 0 {
		ran = now - t.startSent
	}
	w.health.recordEnd(e.cause, ran, t.stage.step.Estimate(), now)
	if e.cause == CauseDone && t.startSent != 0 {
		l.runLengthOf(t.stage.job.sub.Queue()).record(ran, t.stage.step.Estimate())
	}
	switch e.cause {
	case CauseDone:
		l.completeTask(t)
	case CauseFailed:
		t.avoidWorker = w
		l.countFailure(t, e.run)
		l.fireTask(t, "failed")
	default:
		l.fireTask(t, "ended")
	}
}

// completeTask ends a task, or all tasks of its gang, with success.
func (l *Loop) completeTask(t *task) {
	if !t.stage.step.Gang() {
		l.fireTask(t, "done")
		return
	}
	for _, member := range t.stage.all() {
		l.fireTask(member, "done")
	}
}

// countFailure counts a failed run, unless it was counted before. In a gang, the failures of several members in one run
// count once.
func (l *Loop) countFailure(t *task, run int) {
	s := t.stage
	if s.step.LongRunning() {
		return
	}
	if run > t.lastFailedRun {
		t.lastFailedRun = run
		t.failures++
	}
	if run > s.lastFailedRun {
		s.lastFailedRun = run
		s.failures++
	}
	l.markRunChanged(t)
}

// processFormerRunEnd processes the late end of a run that was treated as lost.
func (l *Loop) processFormerRunEnd(t *task, e RunEnd) {
	if e.run > t.run || t.stage.step.LongRunning() || t.machine.Final() {
		return
	}
	switch e.cause {
	case CauseDone:
		if !t.stage.step.Gang() {
			l.fireTask(t, "settled")
			return
		}
		for _, member := range t.stage.all() {
			l.fireTask(member, "settled")
		}
	case CauseFailed:
		l.countFailure(t, e.run)
		if t.machine.State() == taskWaiting && t.attemptsExhausted() {
			l.failJob(t)
		}
	default:
	}
}

// leadershipContext returns a context that is cancelled when the leadership ends.
func (l *Loop) leadershipContext() context.Context { return l.leadership.ctx }
