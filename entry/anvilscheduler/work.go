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
	// cancels holds cancellations of jobs whose submission has not been read yet.
	cancels map[string]bool
	// usage is what each team has bound.
	usage map[string]anvilsize.Size
	// shares measures how many jobs each team sends.
	shares map[string]*share
	// former holds the queues as they last were, for the jobs of a queue that was removed.
	former map[string]*anvilpolicy.Queue
	// dirty says that something has changed since the last pass.
	dirty  bool
	passed anvilclock.Millis
	// pause is the least time until the next pass.
	pause anvilclock.Millis
	// spent are ended jobs whose submissions have not been removed yet; cleaning says that some are being.
	spent    []string
	cleaning bool
	cleaned  anvilclock.Millis
	// summarized is when the last summary was logged.
	summarized anvilclock.Millis
	// storeOffset is the store's clock less the loop's clock.
	storeOffset anvilclock.Millis
}

func newWork() work {
	return work{
		jobs: map[string]*job{}, ready: map[*stage]bool{}, timed: map[*job]bool{}, cancels: map[string]bool{},
		usage: map[string]anvilsize.Size{}, former: map[string]*anvilpolicy.Queue{},
		shares: map[string]*share{},
	}
}

// job is an accepted job that has not ended, or whose last runs are being stopped.
type job struct {
	loop    *Loop
	sub     *anviljob.Submission
	machine anvilchart.Machine
	stages  []*stage
	// due is the number of occurrences that have been laid out.
	due int
	// arrived is the time of the loop's clock at which the job was accepted.
	arrived anvilclock.Millis
	// bound is the number of runs that may be under way.
	bound     int
	cancelled bool
	// excess says that the team had sent more than its share when it sent the job.
	excess bool
	// marked says that the record waits to be stored, as entry mark of the journal.
	marked bool
	mark   int64
	closed bool
	stored anviljob.State
	// objective is the time in which the job should be done, by the configuration of objectiveOf.
	objective   anvilclock.Millis
	objectiveOf *anvilpolicy.Queue
	// placed holds the tasks whose binding is not in a commit yet.
	placed []*task
}

func (j *job) id() string { return j.sub.ID() }

// over reports whether the job has ended for its caller.
func (j *job) over() bool { return j.machine.Final() }

// stage is a step of one occurrence of a job.
type stage struct {
	job        *job
	step       *anviljob.Step
	occurrence int
	index      int
	tasks      []*task
	// open is the number of tasks that wait, done of those that have ended with success.
	open int
	done int
	// begins is when the stage became ready.
	begins anvilclock.Millis
	ready  bool
	// tail is the estimate of the longest chain of work that begins with the stage, depth its number of
	// steps.
	tail  anvilclock.Millis
	depth int
	// perWorker counts the tasks at each worker.
	perWorker map[*worker]int
	tickets   tickets
	// saved are the workers that the stage keeps free for itself until the next pass.
	saved []*worker
	// failures and failedRun count for a gang, whose tasks fail together.
	failures  int
	failedRun int
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
	// adopted names the worker of a run that a former leader has bound; empty once it was heard of.
	adopted     string
	incarnation int64
	run         int
	// failures counts failed runs, of which failedRun is the newest.
	failures   int
	failedRun  int
	checkpoint string
	ticket     ticket
	// sent is when the start was first sent, confirmed when the worker confirmed the last order.
	sent      anvilclock.Millis
	confirmed anvilclock.Millis
	began     anvilclock.Millis
	stopped   anvilclock.Millis
	percent   int
	moved     anvilclock.Millis
	load      int64
	pace      int
	pacing    bool
	// inflight says that a start is on its way, doubtful that an earlier sending got no answer.
	inflight    bool
	unconfirmed bool
	// settled says that a former run has ended with success, and the bound one is being stopped.
	settled bool
	avoid   *worker
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

// wake has the waiting stages looked at again.
func (l *Loop) wake() { l.work.dirty = true }

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
			if t.settled {
				phase, worker = anvilstorage.Done, ""
			}
			failures, failed := t.failures, t.failedRun
			if s.step.Gang() {
				failures, failed = s.failures, s.failedRun
			}
			run := anvilstorage.NewRun(s.occurrence, s.index, t.id.Index(), phase, t.run)
			out = append(out, run.WithFailures(failures, failed).WithWorker(worker, incarnation).WithCheckpoint(t.checkpoint))
		}
	}
	return out
}

// admit takes a submission that was read from the store.
func (l *Loop) admit(sub *anviljob.Submission) *job {
	now := l.clock.Now()
	j := &job{
		loop: l, sub: sub, machine: l.charts.job.NewMachine(), stored: anviljob.Queued,
		arrived: min(sub.At()-l.work.storeOffset, now),
	}
	l.work.jobs[sub.ID()] = j
	j.excess = !l.withinShare(sub.Team(), j.arrived)
	if sub.Spec().Repeat().Timed() {
		l.work.timed[j] = true
	} else {
		l.layOut(j)
	}
	return j
}

// layOut makes the stages of the next occurrence.
func (l *Loop) layOut(j *job) {
	spec := j.sub.Spec()
	tails, depths := spec.CriticalPaths(0), spec.Depths()
	for i := range spec.Steps() {
		s := &stage{
			job: j, step: spec.Step(i), occurrence: j.due, index: i, open: spec.Step(i).Count(), tail: tails[i],
			depth:     depths[i],
			perWorker: map[*worker]int{},
		}
		for n := range s.step.Count() {
			s.tasks = append(s.tasks, &task{
				stage: s, id: anviljob.NewTaskID(j.id(), j.due, i, n), machine: l.charts.task.NewMachine(), pace: 100,
			})
		}
		j.stages = append(j.stages, s)
	}
	j.due++
}

// offer makes ready the stages of a job whose predecessors are done.
func (l *Loop) offer(j *job) {
	if j.over() {
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
			s.ready, s.begins = true, l.clock.Now()
			l.work.ready[s] = true
			l.wake()
		}
	}
}

func (m intakeRead) deliver(l *Loop) {
	if m.token != l.leadership.token {
		return
	}
	l.takeIntake(m.page)
}

// takeIntake works off submissions and cancellations.
func (l *Loop) takeIntake(page anvilstorage.Page) {
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
		l.offer(j)
		if l.work.cancels[j.id()] {
			delete(l.work.cancels, j.id())
			l.cancel(j.id())
		}
	}
}

func (l *Loop) cancel(id string) {
	j := l.work.jobs[id]
	if j == nil {
		if s, ok := l.directory.Find(id); !ok || !s.State().Ended() {
			l.work.cancels[id] = true
		}
		return
	}
	if j.cancelled {
		return
	}
	j.cancelled = true
	l.log.Record(anvilevent.JobCancelled, "job", id, "bound", j.bound, "state", j.machine.State())
	l.fireJob(j, "cancel")
	l.mark(j)
}

// forget removes a job that has ended and whose records are gone.
func (l *Loop) forget(j *job) {
	delete(l.work.jobs, j.id())
	delete(l.work.timed, j)
	for _, s := range j.stages {
		delete(l.work.ready, s)
	}
}

// tickWork lays out occurrences that are due and sends stops again that have shown no end.
func (l *Loop) tickWork(now anvilclock.Millis) {
	if len(l.work.ready) > 0 && now-l.work.passed >= passMost {
		l.wake()
	}
	for j := range l.work.timed {
		l.checkDue(j)
	}
	for _, w := range l.fleet.byID {
		for t := range w.tasks {
			switch {
			case t.machine.State() == taskStopping && now-t.stopped >= retryStop && w.machine.State() == workerReady:
				l.stopTask(t, now)
			case t.machine.State() == taskStarting && t.adopted == "" && !t.inflight && t.confirmed == 0 &&
				now-t.moved >= orderRetry && w.machine.State() == workerReady && l.valid(now):
				l.sendStart(t, now)
			}
		}
	}
}

func (l *Loop) checkDue(j *job) {
	repeat := j.sub.Spec().Repeat()
	if j.over() || j.due >= repeat.Count() {
		delete(l.work.timed, j)
		return
	}
	if l.wall.now(l.clock) >= repeat.Due(j.due) {
		l.layOut(j)
		l.offer(j)
	}
}

// clean removes the submissions of jobs that have ended, and the states of jobs that ended long ago. What
// fails is done again with the next cleaning.
func (l *Loop) clean(now anvilclock.Millis) {
	if now-l.work.cleaned < cleanEvery || l.work.cleaning {
		return
	}
	l.work.cleaned = now
	calls, fleet := anvilstorage.NewTx(anvilstorage.CallsPartition), anvilstorage.NewTx(anvilstorage.FleetPartition)
	for _, s := range l.directory.Ended() {
		if l.storeNow(now)-s.Ended() > keepEnded && l.work.jobs[s.ID()] == nil && fleet.Len() < cleanMost {
			calls.Delete(anvilstorage.States, s.ID())
			fleet.Delete(anvilstorage.States, s.ID())
		}
	}
	for _, name := range l.asking.former {
		if calls.Len() < cleanMost {
			calls.Delete(anvilstorage.Instances, name)
		}
	}
	l.asking.former = nil
	n := min(len(l.work.spent), cleanMost)
	spent := l.work.spent[:n]
	for _, id := range spent {
		calls.Delete(anvilstorage.Intake, id)
		calls.Delete(anvilstorage.Intake, anvilstorage.CancelKey(id))
	}
	if calls.Len() == 0 {
		return
	}
	l.work.spent = l.work.spent[n:]
	l.work.cleaning = true
	m := cleaned{token: l.leadership.token, spent: spent}
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

func (m cleaned) deliver(l *Loop) {
	if m.token != l.leadership.token {
		return
	}
	l.work.cleaning = false
	if m.err != nil {
		l.work.spent = append(l.work.spent, m.spent...)
		l.log.Record(anvilevent.StoreFailed, "during", "clean", "error", m.err.Error())
	}
}
