package anvilscheduler

import (
	"cmp"
	"slices"
	"strings"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
)

// workload is the leader's state of jobs that have not ended.
type workload struct {
	jobs map[string]*job
	// ready holds the stages that have waiting tasks and whose predecessors are done.
	ready map[*stage]bool
	// timed holds the jobs that have occurrences at set times which are not due yet.
	timed map[*job]bool
	// pendingCancels holds cancellations of jobs whose submission has not been read yet, by the ids of the jobs.
	pendingCancels map[string][]pendingCancel
	// usage holds, for each team, the sum of the sizes of its bound tasks.
	usage map[string]anvilsize.Size
	// leaving is the part of usage whose tasks are being stopped because their teams are above their maximum.
	leaving map[string]anvilsize.Size
	// shareBuckets holds the token bucket of each team.
	shareBuckets map[string]*shareBucket
	// lastBacklog is when the shortages of the pools were last looked for.
	lastBacklog anvilclock.Millis
	// strays holds the starts that were open when their task was unbound.
	strays map[*task][]openStart
	// runLengths holds the measured length of the runs of each queue.
	runLengths map[string]*runLength
	// lastQueues holds the newest configuration of each used queue, for the jobs of a queue that was removed.
	lastQueues map[queueKey]*anvilpolicy.Queue
	// reservationRound is the number of the round in which each stage without a reservation tries once to reserve.
	reservationRound int
	// passRequested means that a pass is to run once passInterval has passed since the last one.
	passRequested bool
	lastPass      anvilclock.Millis
	// passInterval is the least time between the last pass and the next one.
	passInterval anvilclock.Millis
	live         liveSet
	cleaning     cleaning
	lastSummary  anvilclock.Millis
	// storeOffset is the store's clock less the loop's clock.
	storeOffset anvilclock.Millis
}

func newWorkload() workload {
	return workload{
		jobs: map[string]*job{}, ready: map[*stage]bool{}, timed: map[*job]bool{}, pendingCancels: map[string][]pendingCancel{},
		strays:   map[*task][]openStart{},
		live:     newLiveSet(),
		cleaning: cleaning{removed: map[string]anvilclock.Millis{}},
		usage:    map[string]anvilsize.Size{}, leaving: map[string]anvilsize.Size{}, lastQueues: map[queueKey]*anvilpolicy.Queue{},
		shareBuckets: map[string]*shareBucket{}, runLengths: map[string]*runLength{}, reservationRound: 1,
	}
}

// job is an accepted job that has not ended, or whose last runs are being stopped.
type job struct {
	loop    *Loop
	sub     *anviljob.Submission
	machine anvilchart.Machine
	// live holds the occurrences whose stages exist, in their order, ended those in which all tasks have succeeded. All
	// occurrences before next are in one of them.
	live  []*occurrence
	ended anviljob.Occurrences
	next  int
	// held is what the job holds of the live set, parkedCost what it will hold, both in bytes.
	held, parkedCost int64
	// unbegun is the number of live occurrences of which no task has had a run.
	unbegun int
	// arrived is the time of the loop's clock at which the job was accepted.
	arrived anvilclock.Millis
	// bound is the number of tasks that are bound to a worker, whose runs may be in progress.
	bound     int
	cancelled bool
	// overShare means that the team had exceeded its share of jobs when the job arrived.
	overShare bool
	// changed means that the record is in the commit queue, under the sequence number seq.
	changed bool
	seq     int64
	// recordDeleted means that the newest commit deletes the rest of the progress record, because the job has ended and no
	// run is left.
	recordDeleted bool
	// committedState is the state that was last added to a commit.
	committedState anviljob.State
	record         progressRecord
	// objective is the time in which the job should be done, by the configuration objectiveQueue.
	objective      anvilclock.Millis
	objectiveQueue *anvilpolicy.Queue
	// queue is the result of queueOf by the configuration queuePolicy; nil before the first one.
	queue       *anvilpolicy.Queue
	queuePolicy *anvilpolicy.Policy
	// acceptedBy is the configuration of the job's queue when the job was accepted; nil when that isn't known.
	acceptedBy *anvilpolicy.Queue
	// unstoredBindings holds the tasks whose binding must be in the next commit before they start.
	unstoredBindings []*task
}

func (j *job) id() string { return j.sub.ID() }

// final reports whether the job's state is final. Its runs may still be in progress, until they have been stopped.
func (j *job) final() bool { return j.machine.Final() }

// stage is one step in one occurrence of a job.
type stage struct {
	job        *job
	step       *anviljob.Step
	occurrence *occurrence
	index      int
	// offset is the number of tasks in the stages before this one in the occurrence.
	offset int
	// tasks holds the tasks that exist, by their indexes: one is made when it is used first. It is nil before the first one.
	tasks []*task
	// waiting is the number of tasks in state waiting, done of those that have succeeded.
	waiting int
	done    int
	// readyAt is when the predecessors of the stage were done; 0 while the stage is not ready.
	readyAt anvilclock.Millis
	ready   bool
	// criticalPath is the estimated time of the critical path that begins with the stage, depth the number of its steps.
	criticalPath anvilclock.Millis
	depth        int
	// perWorker counts the tasks that are bound to each worker.
	perWorker map[*worker]int
	tickets   tickets
	near      nearWait
	// reservation is of capacity for tasks that can't start yet.
	reservation stageReservation
	// failures and lastFailedRun are used for a gang, whose tasks fail together.
	failures      int
	lastFailedRun int
	// checkpoint is the newest checkpoint of any task of the stage. A gang resumes from it.
	checkpoint string
}

func (s *stage) name() string {
	return anviljob.NewTaskID(s.job.id(), s.occurrence.number, s.index, 0).StepID()
}

// task is one task of a stage, with its newest run.
type task struct {
	stage   *stage
	segment *segment
	id      anviljob.TaskID
	machine anvilchart.Machine
	worker  *worker
	// adoptedFrom is the id of the worker to which a former leader, or a former incarnation of the worker, had bound the
	// run; empty once the worker has reported the run.
	adoptedFrom string
	// incarnation is the incarnation of the worker to which the run is or was bound.
	incarnation int64
	// run is the number of the newest run; 0 before the first.
	run int
	// failures counts failed runs, of which lastFailedRun is the newest.
	failures      int
	lastFailedRun int
	checkpoint    string
	ticket        ticket
	// startSent is when the start was first sent, confirmedAt when the worker confirmed the start or a stop of the run; 0
	// before that.
	startSent   anvilclock.Millis
	confirmedAt anvilclock.Millis
	startedAt   anvilclock.Millis
	// stopSent is when the last stop was sent.
	stopSent anvilclock.Millis
	// percent is the progress that the worker has reported, lastProgress when it last changed or a start was sent.
	percent      int
	lastProgress anvilclock.Millis
	// load is the load in the newest report; NewActive describes it.
	load int64
	// pace is the share of its speed, in percent, at which the task may work.
	pace         int
	paceInFlight bool
	// attempts is the state of the newest start. unconfirmed means that an attempt to start the run at a former process of the
	// worker may not have arrived yet.
	attempts    startAttempts
	unconfirmed bool
	// lastStart is when the newest start was sent; 0 once an answer has shown that no incarnation of the worker which the
	// leader doesn't know can have carried it out.
	lastStart anvilclock.Millis
	// leaving means that the run is being stopped because the team is above its maximum.
	leaving bool
	// formerDone means that an earlier run has succeeded, and the bound one is being stopped.
	formerDone bool
	// avoidWorker is the worker where the last run failed, stalled or was refused.
	avoidWorker *worker
}

// States of the task chart that the code refers to.
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

// requestPass makes the loop run a scheduling pass soon.
func (l *Loop) requestPass() { l.workload.passRequested = true }

// findTask returns a task by its id; nil when the job is not known, or has no such task.
func (l *Loop) findTask(id anviljob.TaskID) *task {
	j := l.workload.jobs[id.Job()]
	if j == nil {
		return nil
	}
	// The id may come from a report or a record of another writer, with any numbers.
	o := j.occurrence(id.Occurrence())
	if o == nil || id.Step() < 0 || id.Step() >= len(o.stages) {
		return nil
	}
	if s := o.stages[id.Step()]; id.Index() >= 0 && id.Index() < s.size() {
		return s.task(id.Index())
	}
	return nil
}

// admit adds the job of a submission that was read from the store. It is parked if there is no space for it, unless it must be
// live.
func (l *Loop) admit(sub *anviljob.Submission, queue *anvilpolicy.Queue, mustLive bool) *job {
	now := l.clock.Now()
	j := &job{
		loop: l, sub: sub, machine: l.charts.job.NewMachine(), committedState: anviljob.Queued,
		arrived: min(sub.At()-l.workload.storeOffset, now), acceptedBy: queue,
	}
	l.workload.jobs[sub.ID()] = j
	j.overShare = !l.withinShare(sub.Team(), j.arrived)
	if mustLive || (sub.Spec() != nil && len(l.workload.live.parked[j.owner()]) == 0 && l.admitsLive(j.owner(), liveCost(sub))) {
		l.enliven(j)
	} else {
		l.park(j)
	}
	return j
}

func (m intakeRead) deliver(l *Loop) {
	if m.token != l.leadership.token {
		return
	}
	l.processIntake(m.page)
}

// processIntake applies new submissions and cancellations. Known ones are ignored.
func (l *Loop) processIntake(page anvilstorage.Page) {
	for _, r := range page.Rows() {
		if r.Deleted() {
			continue
		}
		if c, ok := anvilstorage.ParseCancellation(r); ok {
			l.cancel(c)
			continue
		}
		if l.workload.jobs[r.Key()] != nil {
			continue
		}
		if s, ok := l.directory.Find(r.Key()); ok && s.State().Ended() {
			// The job has ended. Its submission is removed later, and the feed may lag behind that.
			continue
		}
		if _, ok := l.workload.cleaning.removed[r.Key()]; ok {
			continue
		}
		sub, err := anvilstorage.ParseSubmission(r)
		if err != nil {
			l.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.Intake), "key", r.Key())
			continue
		}
		j := l.admit(sub, anvilstorage.ParseSubmittedQueue(r), false)
		l.log.Record(anvilevent.JobRead, "job", j.id(), "queue", sub.Queue(), "team", sub.Team(),
			"age", int64(l.clock.Now()-j.arrived), "steps", sub.Spec().Steps())
		l.markLiveReady(j)
		for _, p := range l.workload.pendingCancels[j.id()] {
			l.cancel(p.cancellation)
		}
		delete(l.workload.pendingCancels, j.id())
	}
}

// pendingCancel is a cancellation that was read at a local time, before the submission of its job.
type pendingCancel struct {
	cancellation anvilstorage.Cancellation
	readAt       anvilclock.Millis
}

// cancel cancels a job. The cancellation is kept if the job is not known yet.
func (l *Loop) cancel(c anvilstorage.Cancellation) {
	j := l.workload.jobs[c.ID()]
	if j == nil {
		l.keepCancel(c)
		return
	}
	if j.cancelled || !c.Covers(j.sub) {
		return
	}
	j.cancelled = true
	l.log.Record(anvilevent.JobCancelled, "job", j.id(), "bound", j.bound, "state", j.machine.State())
	l.fireJob(j, "cancel")
	l.markChanged(j)
}

// keepCancel keeps a cancellation for a job that isn't known, unless the job has ended.
func (l *Loop) keepCancel(c anvilstorage.Cancellation) {
	if s, ok := l.directory.Find(c.ID()); ok && s.State().Ended() {
		return
	}
	known := l.workload.pendingCancels[c.ID()]
	if !slices.ContainsFunc(known, func(p pendingCancel) bool { return p.cancellation == c }) {
		l.workload.pendingCancels[c.ID()] = append(known, pendingCancel{cancellation: c, readAt: l.clock.Now()})
	}
}

// forgetJob drops a job that has ended and whose progress record was deleted.
func (l *Loop) forgetJob(j *job) {
	delete(l.workload.jobs, j.id())
	delete(l.workload.timed, j)
	l.hold(j, -j.held)
	if j.parked() {
		l.unpark(j)
	}
	for s := range j.stages() {
		delete(l.workload.ready, s)
	}
}

// tickWorkload requests a pass when stages have waited for maxPassInterval or shortages may be over, adds occurrences that are due, and repeats
// starts that got no answer and stops that had no effect.
func (l *Loop) tickWorkload(now anvilclock.Millis) {
	if len(l.workload.ready) > 0 && now-l.workload.lastPass >= maxPassInterval {
		l.requestPass()
	}
	if !l.state.backlog.Empty() && now-l.workload.lastBacklog >= backlogInterval {
		// No stage may be left that would cause a pass, and the shortages would be kept.
		l.requestPass()
	}
	l.addDueOccurrences()
	l.resumeParked(now)
	for _, w := range l.fleet.byID {
		for t := range w.tasks {
			if t.machine.State() == taskStopping && now-t.stopSent >= stopRetryDelay && w.machine.State() == workerReady {
				l.stopTask(t, now)
			}
			l.repeatStart(t, now)
		}
	}
}
