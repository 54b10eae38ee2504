package anvilcontrol

import (
	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anviltask"
)

// Limits and delays of tasks.
const (
	maxTries        = 8  // starts of a task that isn't accepted
	maxFailures     = 3  // of an accepted task, after which it has failed
	maxDecisions    = 32 // decisions kept of a task
	maxEndedJobs    = 20_000
	jobRetention    = anvilclock.Millis(600_000)
	ownerRetryDelay = anvilclock.Millis(1000)
	queueRetryDelay = anvilclock.Millis(500)
	preemptDelay    = anvilclock.Millis(300)  // wait after which an urgent task preempts others
	preemptInterval = anvilclock.Millis(2000) // time between two preemptions for the same task
)

// job is a task, or a gang job, at the owner of its home shard. A service request without a home shard is a job at the
// instance that places it.
type job struct {
	task         *anviltask.Task
	machine      anvilchart.Machine
	replies      []chan<- Result
	admitted     bool // counted among the team's requests in flight
	recorded     bool // the id is in the at-most-once record
	accepted     bool // the task's row is in the table
	receivedAt   anvilclock.Millis
	deadline     anvilclock.Millis // 0: none
	plan         []*worker
	runs         []*run
	goSent       bool    // capacity was held for all tasks, and the go was sent
	abortOutcome outcome // why all runs of the job are being stopped; empty if they aren't
	tries        int
	failures     int
	checkpoint   string
	lastPreempt  anvilclock.Millis
	waitCode     anvilerror.Code // why the job could not be placed the last time
	code         anvilerror.Code
	reason       string
	answer       []byte
	endedAt      anvilclock.Millis
	decisions    []Decision
}

func (l *Loop) newJob(t *anviltask.Task) *job {
	now := l.clock.Now()
	j := &job{task: t, machine: l.charts.task.NewMachine(), receivedAt: now}
	if t.MaxWait() > 0 {
		j.deadline = now + t.MaxWait()
	}
	l.jobs[t.ID()] = j
	return j
}

// recordDecision logs a decision on a task, and keeps the first maxDecisions for queries.
func (l *Loop) recordDecision(j *job, id anvilevent.ID, worker, reason string) {
	now := l.clock.Now()
	t := j.task
	l.meter.Count(id.Name())
	l.log.Record(id, "task", t.ID(), "team", t.Team(), "kind", string(t.Kind()), "pool", t.Pool(), "worker", worker,
		"owner", l.self.instance, "version", l.configStore.Snapshot().Version(), "reason", reason, "ms", int64(now-j.receivedAt))
	if len(j.decisions) < maxDecisions {
		text := id.Name()
		if worker != "" {
			text += " " + worker
		}
		if reason != "" {
			text += ": " + reason
		}
		j.decisions = append(j.decisions, NewDecision(l.clock.Unix(), int(id), text))
	}
}

func (l *Loop) bindTask() *anvilchart.Binding[*job] {
	return anvilchart.NewBinding(map[string]func(*job){
		"launch":    l.launch,
		"requeue":   l.requeue,
		"finish":    l.endDone,
		"fail":      l.endFailed,
		"refuse":    l.endRefused,
		"unknown":   l.endUnknown,
		"cancelled": l.endCancelled,
		"expired":   l.endExpired,
		"halt":      l.stopCancelled,
	}, map[string]func(*job) bool{
		"retry":   func(j *job) bool { return j.accepted && !j.task.NonIdempotent() && j.failures < maxFailures },
		"timely":  l.mayStartAgain,
		"restart": func(j *job) bool { return j.accepted && !j.task.NonIdempotent() },
		"call":    func(j *job) bool { return j.task.Kind() == anviltask.Call },
	})
}

// mayStartAgain reports whether a task whose start was refused is tried again here. An accepted task always is.
func (l *Loop) mayStartAgain(j *job) bool {
	if j.accepted {
		return true
	}
	return j.tries < maxTries && (j.deadline == 0 || l.clock.Now() < j.deadline)
}

// launch starts the task at the workers that place chose. A job that was attached to the runs of an earlier owner has
// no chosen workers, and nothing is started.
func (l *Loop) launch(j *job) {
	plan := j.plan
	j.plan = nil
	if len(plan) == 0 {
		return
	}
	if j.tries == 0 {
		l.meter.Observe("wait."+string(j.task.Kind()), (l.clock.Now() - j.receivedAt).Duration())
	}
	j.runs, j.goSent, j.abortOutcome = nil, false, ""
	j.tries++
	if j.tries == 1 {
		// A retry must not earn the next one.
		l.retryBudget.RecordStart(l.clock.Now())
	}
	for i, w := range plan {
		l.recordDecision(j, anvilevent.TaskPlaced, w.resources.ID(), "")
		l.startRun(j, i, w)
	}
}

// sendGoWhenAllHeld sends the go of a gang job once capacity is held for all of its tasks.
func (l *Loop) sendGoWhenAllHeld(r *run) {
	j := r.job
	if j == nil || j.abortOutcome != "" {
		return
	}
	for _, other := range j.runs {
		if other.machine.State() != runHeld {
			return
		}
	}
	j.goSent = true
	for _, other := range j.runs {
		l.fireRun(other, "go")
	}
}

// handleRunEnd handles the end of a run of a job. If a task of a gang job doesn't end as done, the others are stopped.
func (l *Loop) handleRunEnd(r *run) {
	j := r.job
	j.code, j.reason = anvilerror.Code(r.code), r.reason
	if r.outcome == outcomeFailed {
		j.failures++
	}
	if len(j.runs) == 1 {
		j.answer = r.answer
		if r.outcome == outcomeCheckpointed {
			j.checkpoint = checkpointOf(r.id)
		}
		l.fireTask(j, string(r.outcome))
		return
	}
	if r.outcome != outcomeDone && j.abortOutcome == "" {
		j.abortOutcome = r.outcome
		l.stopRuns(j)
	}
	l.handleGangEnd(j)
}

// handleGangEnd ends a gang job once all of its runs have ended.
func (l *Loop) handleGangEnd(j *job) {
	for _, r := range j.runs {
		if !r.machine.Final() {
			return
		}
	}
	o := outcomeDone
	if j.abortOutcome != "" {
		o = j.abortOutcome
	}
	if !j.goSent && o != outcomeDone {
		o = outcomeNotRun
	}
	l.fireTask(j, string(o))
}

func (l *Loop) stopRuns(j *job) {
	for _, r := range j.runs {
		if !r.machine.Final() && r.machine.State() != runUnconfirmed {
			l.fireRun(r, "stop")
		}
	}
}

// stopCancelled stops the runs of a task that its caller cancelled.
func (l *Loop) stopCancelled(j *job) {
	if j.abortOutcome == "" {
		j.abortOutcome = outcomeStopped
	}
	l.stopRuns(j)
}

// requeue puts a task back into the queue. An accepted task is parked while the retry budget is used up.
func (l *Loop) requeue(j *job) {
	l.recordDecision(j, anvilevent.TaskRequeued, "", string(j.code)+" "+j.reason)
	if j.accepted && j.checkpoint != "" {
		l.writeRow(j, anvilrow.Accepted)
	}
	if j.code != "" && j.accepted && !l.retryBudget.TryRetry(l.clock.Now()) {
		l.writer.parked = append(l.writer.parked, j)
		return
	}
	l.enqueue(j)
}

// enqueue puts a job into the queue. If the queue is full, an accepted task is parked, because it must not be dropped;
// other tasks are refused.
func (l *Loop) enqueue(j *job) {
	now := l.clock.Now()
	t := j.task
	if j.deadline > 0 {
		t = t.With(anviltask.WithMaxWait(max(1, j.deadline-now)))
	}
	if err := l.queue.Push(t, now); err != nil {
		if j.accepted {
			l.writer.parked = append(l.writer.parked, j)
			return
		}
		j.code, j.reason = err.Code(), err.Reason()
		l.fireTask(j, "expire")
		return
	}
	l.passDue = true
}

// retryParked puts parked tasks back into the queue as far as the retry budget and the queue allow.
func (l *Loop) retryParked() {
	parked := l.writer.parked
	l.writer.parked = nil
	for _, j := range parked {
		if j.machine.State() != taskQueued {
			continue
		}
		if j.code != "" && !l.retryBudget.TryRetry(l.clock.Now()) {
			l.writer.parked = append(l.writer.parked, j)
			continue
		}
		l.enqueue(j)
	}
}

// taskQueued is the state of the task chart in which a job waits in the queue or is parked.
const taskQueued = "queued"

// answerCallers sends the result to every waiting caller.
func (l *Loop) answerCallers(j *job, r Result) {
	for _, reply := range j.replies {
		select {
		case reply <- r:
		default:
		}
	}
	j.replies = nil
	if j.admitted {
		j.admitted = false
		l.admission.Done(j.task.Team())
	}
}

// endJob records the end of a task: in the at-most-once record, in its row and for queries.
func (l *Loop) endJob(j *job, id anvilevent.ID, o anvilerror.Outcome, state anvilrow.TaskState) {
	l.recordDecision(j, id, "", string(j.code)+" "+j.reason)
	j.endedAt = l.clock.Now()
	l.backfill.Forget(j.task.ID(), j.task.Pool())
	if j.task.Kind() == anviltask.Call {
		l.headroom.CallEnded(j.task.Pool(), j.task.Size(), j.endedAt)
	}
	if j.recorded {
		l.record.Finish(recordKey(j.task.Team(), j.task.ID()), o, j.code, j.answer, l.clock.Unix())
	}
	if j.accepted {
		l.writeRow(j, state)
	}
	l.endedJobs = append(l.endedJobs, j)
}

func (l *Loop) endDone(j *job) {
	j.code, j.reason = "", ""
	l.endJob(j, anvilevent.TaskDone, anvilerror.Done, anvilrow.Done)
	l.answerCallers(j, NewAnswer(j.answer))
}

func (l *Loop) endFailed(j *job) {
	if j.code == "" {
		j.code = anvilerror.Failed
	}
	if j.reason == "" {
		j.reason = "the task ran and failed"
	}
	l.endJob(j, anvilevent.TaskFailed, anvilerror.Done, anvilrow.Failed)
	l.answerCallers(j, NewFailure(anvilerror.New(anvilerror.Done, anvilerror.Failed, j.reason)))
}

func (l *Loop) endRefused(j *job) {
	if j.code == "" {
		j.code = anvilerror.NoCapacity
	}
	l.endJob(j, anvilevent.TaskRefused, anvilerror.NotRun, anvilrow.Failed)
	l.answerCallers(j, NewFailure(anvilerror.Refuse(j.code, j.reason, anvilerror.WithRetry(queueRetryDelay))))
}

func (l *Loop) endUnknown(j *job) {
	if j.code == "" {
		j.code = anvilerror.Lost
	}
	if j.reason == "" {
		j.reason = "the worker did not report how the task ended"
	}
	l.endJob(j, anvilevent.TaskUnknown, anvilerror.Unknown, anvilrow.Unknown)
	l.answerCallers(j, NewFailure(anvilerror.UnknownOutcome(j.code, j.reason)))
}

func (l *Loop) endCancelled(j *job) {
	o := anvilerror.NotRun
	if len(j.runs) > 0 && j.goSent || j.anyRunStarted() {
		o = anvilerror.Done
	}
	l.queue.Remove(j.task.ID())
	j.code, j.reason = anvilerror.Cancelled, "the caller cancelled the task"
	l.endJob(j, anvilevent.TaskStopped, o, anvilrow.Stopped)
	l.answerCallers(j, NewFailure(anvilerror.New(o, anvilerror.Cancelled, j.reason)))
}

// anyRunStarted reports whether some run of the job may have started its work.
func (j *job) anyRunStarted() bool {
	for _, r := range j.runs {
		if r.outcome != outcomeNotRun {
			return true
		}
	}
	return false
}

func (l *Loop) endExpired(j *job) {
	l.queue.Remove(j.task.ID())
	switch {
	case j.waitCode == anvilerror.OverLimit:
		j.code, j.reason = anvilerror.OverLimit, "the team's limit left no capacity within the deadline"
	case j.code == "" || j.code == anvilerror.NoCapacity:
		j.code, j.reason = anvilerror.Deadline, "no worker had free capacity within the deadline"
	}
	l.endRefused(j)
}

// checkpointOf returns the name of the object to which a worker writes the checkpoint of a run.
func checkpointOf(runID string) string { return "checkpoint/" + runID }

// detachJob removes a task of a shard that this instance no longer owns. An accepted task continues under the next
// owner. The caller of a service request that is still in the queue gets the answer that it did not run.
func (l *Loop) detachJob(j *job) {
	if j.machine.State() == taskQueued && len(j.replies) > 0 && !j.accepted {
		j.code, j.reason = anvilerror.NoOwner, "the shard's owner has changed"
		l.fireTask(j, "expire")
		return
	}
	if j.accepted {
		l.queue.Remove(j.task.ID())
		j.accepted = false
		delete(l.jobs, j.task.ID())
	}
}

// sweepJobs removes tasks that ended more than jobRetention ago, and the oldest ones beyond maxEndedJobs, together
// with their rows. It also retries parked tasks.
func (l *Loop) sweepJobs() {
	l.retryParked()
	l.checkAdopted()
	now := l.clock.Now()
	n := 0
	for _, j := range l.endedJobs {
		if now-j.endedAt < jobRetention && len(l.endedJobs)-n <= maxEndedJobs {
			break
		}
		if l.jobs[j.task.ID()] == j {
			delete(l.jobs, j.task.ID())
		}
		if j.accepted {
			l.deleteRow(j.task)
		}
		n++
	}
	l.endedJobs = append(l.endedJobs[:0:0], l.endedJobs[n:]...)
}
