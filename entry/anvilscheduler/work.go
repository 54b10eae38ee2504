package anvilscheduler

import (
	"cmp"
	"strings"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
)

// work is what the leader knows of jobs that have not ended.
type work struct {
	jobs map[string]*job
	// ready holds the stages that have tasks to start.
	ready map[*stage]bool
	// timed holds the jobs with occurrences that are not due yet.
	timed map[*job]bool
	// pendingCancels holds cancellations of jobs whose submission has not been read yet.
	pendingCancels map[string]bool
	// usage is what each team has bound.
	usage map[string]anvilsize.Size
	// shareBuckets measures how many jobs each team sends.
	shareBuckets map[string]*shareBucket
	// lastQueues holds the queues as they last were, for the jobs of a queue that was removed.
	lastQueues map[string]*anvilpolicy.Queue
	// passRequested says that something has changed since the last pass.
	passRequested bool
	lastPass      anvilclock.Millis
	// passInterval is the least time until the next pass.
	passInterval anvilclock.Millis
	// endedJobs are ended jobs whose submissions have not been removed yet; cleaning says that some are being.
	endedJobs     []string
	cleanInFlight bool
	lastClean     anvilclock.Millis
	// lastSummary is when the last summary was logged.
	lastSummary anvilclock.Millis
	// storeOffset is the store's clock less the loop's clock.
	storeOffset anvilclock.Millis
}

func newWork() work {
	return work{
		jobs: map[string]*job{}, ready: map[*stage]bool{}, timed: map[*job]bool{}, pendingCancels: map[string]bool{},
		usage: map[string]anvilsize.Size{}, lastQueues: map[string]*anvilpolicy.Queue{},
		shareBuckets: map[string]*shareBucket{},
	}
}

// job is an accepted job that has not ended, or whose last runs are being stopped.
type job struct {
	loop    *Loop
	sub     *anviljob.Submission
	machine anvilchart.Machine
	stages  []*stage
	// laidOut is the number of occurrences that have been laid out.
	laidOut int
	// arrived is the time of the loop's clock at which the job was accepted.
	arrived anvilclock.Millis
	// bound is the number of runs that may be under way.
	bound     int
	cancelled bool
	// overShare says that the team had sent more than its share when it sent the job.
	overShare bool
	// changed says that the record waits to be stored, as entry mark of the journal.
	changed       bool
	seq           int64
	recordDeleted bool
	storedState   anviljob.State
	// objective is the time in which the job should be done, by the configuration of objectiveOf.
	objective      anvilclock.Millis
	objectiveQueue *anvilpolicy.Queue
	// unstoredBindings holds the tasks whose binding is not in a commit yet.
	unstoredBindings []*task
}

func (j *job) id() string { return j.sub.ID() }

// ended reports whether the job has ended for its caller.
func (j *job) ended() bool { return j.machine.Final() }

// stage is a step of one occurrence of a job.
type stage struct {
	job        *job
	step       *anviljob.Step
	occurrence int
	index      int
	tasks      []*task
	// waiting is the number of tasks that wait, done of those that have ended with success.
	waiting int
	done    int
	// readyAt is when the stage became ready.
	readyAt anvilclock.Millis
	ready   bool
	// criticalPath is the estimate of the longest chain of work that begins with the stage, depth its number of
	// steps.
	criticalPath anvilclock.Millis
	depth        int
	// perWorker counts the tasks at each worker.
	perWorker map[*worker]int
	tickets   tickets
	// reserved are the workers that the stage keeps free for itself until the next pass.
	reserved []*worker
	// failures and failedRun count for a gang, whose tasks fail together.
	failures      int
	lastFailedRun int
	// checkpoint is the newest one of a gang.
	checkpoint string
}

func (s *stage) name() string {
	return anviljob.NewTaskID(s.job.id(), s.occurrence, s.index, 0).StepName()
}

// task is one task of a stage.
type task struct {
	stage   *stage
	id      anviljob.TaskID
	machine anvilchart.Machine
	worker  *worker
	// adoptedFrom names the worker of a run that a former leader has bound; empty once it was heard of.
	adoptedFrom string
	incarnation int64
	run         int
	// failures counts failed runs, of which failedRun is the newest.
	failures      int
	lastFailedRun int
	checkpoint    string
	ticket        ticket
	// startSent is when the start was first sent, confirmed when the worker confirmed the last order.
	startSent    anvilclock.Millis
	confirmedAt  anvilclock.Millis
	startedAt    anvilclock.Millis
	stopSent     anvilclock.Millis
	percent      int
	lastProgress anvilclock.Millis
	load         int64
	pace         int
	paceInFlight bool
	// startInFlight says that a start is on its way, doubtful that an earlier sending got no answer.
	startInFlight bool
	unconfirmed   bool
	// formerDone says that a former run has ended with success, and the bound one is being stopped.
	formerDone  bool
	avoidWorker *worker
}

// States of the task chart that the code asks for.
const (
	taskWaiting  = "waiting"
	taskPlaced   = "placed"
	taskStarting = "starting"
	taskRunning  = "running"
	taskStopping = "stopping"
	taskDone     = "done"
)

func compareTasks(a, b *task) int {
	return cmp.Or(strings.Compare(a.id.Job(), b.id.Job()), cmp.Compare(a.id.Occurrence(), b.id.Occurrence()),
		cmp.Compare(a.id.Step(), b.id.Step()), cmp.Compare(a.id.Index(), b.id.Index()))
}

// requestPass has the waiting stages looked at again.
func (l *Loop) requestPass() { l.work.passRequested = true }

// findTask returns the task with a name; nil when its job has ended or never was.
func (l *Loop) findTask(id anviljob.TaskID) *task {
	j := l.work.jobs[id.Job()]
	if j == nil {
		return nil
	}
	at := id.Occurrence()*j.sub.Spec().Steps() + id.Step()
	if id.Step() >= j.sub.Spec().Steps() || at >= len(j.stages) || id.Index() >= len(j.stages[at].tasks) {
		return nil
	}
	return j.stages[at].tasks[id.Index()]
}

func (j *job) tasks() []*task {
	var out []*task
	for _, s := range j.stages {
		out = append(out, s.tasks...)
	}
	return out
}

// runs returns the record of the job's tasks.
func (j *job) runs() []anvilstorage.Run {
	var out []anvilstorage.Run
	for _, s := range j.stages {
		for _, t := range s.tasks {
			if t.run == 0 {
				continue
			}
			phase, worker, incarnation := anvilstorage.Bound, "", t.incarnation
			switch t.machine.State() {
			case taskWaiting, "failed", "dropped":
				phase = anvilstorage.Waiting
			case taskDone:
				phase = anvilstorage.Done
			default:
				worker = t.worker.id()
			}
			if t.formerDone {
				phase, worker = anvilstorage.Done, ""
			}
			failures, failed := t.failures, t.lastFailedRun
			if s.step.Gang() {
				failures, failed = s.failures, s.lastFailedRun
			}
			run := anvilstorage.NewRun(s.occurrence, s.index, t.id.Index(), phase, t.run)
			out = append(out, run.Failing(failures, failed).At(worker, incarnation).Saved(t.checkpoint))
		}
	}
	return out
}

// admit takes a submission that was read from the store.
func (l *Loop) admit(sub *anviljob.Submission) *job {
	now := l.clock.Now()
	j := &job{
		loop: l, sub: sub, machine: l.charts.job.NewMachine(), storedState: anviljob.Queued,
		arrived: min(sub.At()-l.work.storeOffset, now),
	}
	l.work.jobs[sub.ID()] = j
	j.overShare = !l.withinShare(sub.Team(), j.arrived)
	if sub.Spec().Repeat().Timed() {
		l.work.timed[j] = true
	} else {
		l.layOutNext(j)
	}
	return j
}

// layOutNext makes the stages of the next occurrence.
func (l *Loop) layOutNext(j *job) {
	spec := j.sub.Spec()
	tails, depths := spec.CriticalPaths(0), spec.Depths()
	for i := range spec.Steps() {
		s := &stage{
			job: j, step: spec.Step(i), occurrence: j.laidOut, index: i, waiting: spec.Step(i).Count(), criticalPath: tails[i],
			depth:     depths[i],
			perWorker: map[*worker]int{},
		}
		for n := range s.step.Count() {
			s.tasks = append(s.tasks, &task{
				stage: s, id: anviljob.NewTaskID(j.id(), j.laidOut, i, n), machine: l.charts.task.NewMachine(), pace: 100,
			})
		}
		j.stages = append(j.stages, s)
	}
	j.laidOut++
}

// markReady makes ready the stages of a job whose predecessors are done.
func (l *Loop) markReady(j *job) {
	if j.ended() {
		return
	}
	steps := j.sub.Spec().Steps()
	for _, s := range j.stages {
		if s.ready || s.done == len(s.tasks) {
			continue
		}
		ok := true
		for _, a := range s.step.After() {
			before := j.stages[s.occurrence*steps+a]
			ok = ok && before.done == len(before.tasks)
		}
		if ok {
			s.ready, s.readyAt = true, l.clock.Now()
			l.work.ready[s] = true
			l.requestPass()
		}
	}
}

func (m intakeRead) deliver(l *Loop) {
	if m.token != l.leadership.token {
		return
	}
	l.processIntake(m.page)
}

// processIntake works off submissions and cancellations.
func (l *Loop) processIntake(page anvilstorage.Page) {
	for _, r := range page.Rows() {
		if r.Deleted() {
			continue
		}
		if id, ok := anvilstorage.CancelledID(r.Key()); ok {
			l.cancel(id)
			continue
		}
		if l.work.jobs[r.Key()] != nil {
			continue
		}
		if s, ok := l.directory.Find(r.Key()); ok && s.State().Ended() {
			// The row is older than the job's end: it is removed later, and the feed may lag.
			continue
		}
		sub, err := anvilstorage.ParseSubmission(r)
		if err != nil {
			l.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.Intake), "key", r.Key())
			continue
		}
		j := l.admit(sub)
		l.log.Record(anvilevent.JobTaken, "job", j.id(), "queue", sub.Queue(), "team", sub.Team(),
			"age", int64(l.clock.Now()-j.arrived), "steps", sub.Spec().Steps())
		l.markReady(j)
		if l.work.pendingCancels[j.id()] {
			delete(l.work.pendingCancels, j.id())
			l.cancel(j.id())
		}
	}
}

func (l *Loop) cancel(id string) {
	j := l.work.jobs[id]
	if j == nil {
		if s, ok := l.directory.Find(id); !ok || !s.State().Ended() {
			l.work.pendingCancels[id] = true
		}
		return
	}
	if j.cancelled {
		return
	}
	j.cancelled = true
	l.log.Record(anvilevent.JobCancelled, "job", id, "bound", j.bound, "state", j.machine.State())
	l.fireJob(j, "cancel")
	l.markChanged(j)
}

// forgetJob removes a job that has ended and whose records are gone.
func (l *Loop) forgetJob(j *job) {
	delete(l.work.jobs, j.id())
	delete(l.work.timed, j)
	for _, s := range j.stages {
		delete(l.work.ready, s)
	}
}

// tickWork lays out occurrences that are due and sends stops again that have shown no end.
func (l *Loop) tickWork(now anvilclock.Millis) {
	if len(l.work.ready) > 0 && now-l.work.lastPass >= maxPassInterval {
		l.requestPass()
	}
	for j := range l.work.timed {
		l.layOutDue(j)
	}
	for _, w := range l.fleet.byID {
		for t := range w.tasks {
			switch {
			case t.machine.State() == taskStopping && now-t.stopSent >= stopRetry && w.machine.State() == workerReady:
				l.stopTask(t, now)
			case t.machine.State() == taskStarting && t.adoptedFrom == "" && !t.startInFlight && t.confirmedAt == 0 &&
				now-t.lastProgress >= orderRetry && w.machine.State() == workerReady && l.leadershipValid(now):
				l.sendStart(t, now)
			}
		}
	}
}

func (l *Loop) layOutDue(j *job) {
	repeat := j.sub.Spec().Repeat()
	if j.ended() || j.laidOut >= repeat.Count() {
		delete(l.work.timed, j)
		return
	}
	if l.wall.now(l.clock) >= repeat.Due(j.laidOut) {
		l.layOutNext(j)
		l.markReady(j)
	}
}

// cleanRows removes the submissions of jobs that have ended, and the states of jobs that ended long ago. What
// fails is done again with the next cleaning.
func (l *Loop) cleanRows(now anvilclock.Millis) {
	if now-l.work.lastClean < cleanInterval || l.work.cleanInFlight {
		return
	}
	l.work.lastClean = now
	calls, fleet := anvilstorage.NewTx(anvilstorage.CallsPartition), anvilstorage.NewTx(anvilstorage.FleetPartition)
	for _, s := range l.directory.Ended() {
		if l.storeNow(now)-s.Ended() > endedRetention && l.work.jobs[s.ID()] == nil && fleet.Len() < maxCleanJobs {
			calls.Delete(anvilstorage.States, s.ID())
			fleet.Delete(anvilstorage.States, s.ID())
		}
	}
	for _, name := range l.proxies.superseded {
		if calls.Len() < maxCleanJobs {
			calls.Delete(anvilstorage.Instances, name)
		}
	}
	l.proxies.superseded = nil
	n := min(len(l.work.endedJobs), maxCleanJobs)
	spent := l.work.endedJobs[:n]
	for _, id := range spent {
		calls.Delete(anvilstorage.Intake, id)
		calls.Delete(anvilstorage.Intake, anvilstorage.CancelKey(id))
	}
	if calls.Len() == 0 {
		return
	}
	l.work.endedJobs = l.work.endedJobs[n:]
	l.work.cleanInFlight = true
	m := cleanAnswered{token: l.leadership.token, jobs: spent}
	ctx, store := l.leadershipContext(), l.store
	l.spawn(func() {
		for _, tx := range []*anvilstorage.Tx{calls, fleet} {
			if tx.Len() > 0 && m.err == nil {
				_, m.err = commitWithin(ctx, store, tx)
			}
		}
		l.post(m)
	})
}

func (m cleanAnswered) deliver(l *Loop) {
	if m.token != l.leadership.token {
		return
	}
	l.work.cleanInFlight = false
	if m.err != nil {
		l.work.endedJobs = append(l.work.endedJobs, m.jobs...)
		l.log.Record(anvilevent.StoreFailed, "during", "clean", "error", m.err.Error())
	}
}
