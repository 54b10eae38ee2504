package anvilcontrol

import (
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anviltask"
)

// Limits of the group commits of task rows.
const (
	maxCommitTasks     = 60 // the table takes 128 rows in a commit, and a task that is accepted has two
	maxCommitsInFlight = 4
	maxAcceptWait      = anvilclock.Millis(5000)
	writeBackoff       = anvilclock.Millis(500)
)

// writer collects writes of task rows for group commits.
type writer struct {
	writes   []*rowWrite
	accepts  map[string]*pendingAccept
	inFlight int
	retryAt  anvilclock.Millis
	parked   []*job // accepted tasks that wait for the retry budget or for space in the queue
}

// pendingAccept is a task that is being accepted: its row is not known to be committed.
type pendingAccept struct {
	req            *request
	job            *job
	receivedAt     anvilclock.Millis
	outcomeUnknown bool // a commit of the row got no answer, so the task may be accepted
	answered       bool // the caller was told that the outcome is unknown
}

// rowWrite is a task row to write or to delete.
type rowWrite struct {
	key      string
	shard    string
	row      anvilrow.Row
	isDelete bool
	accept   *pendingAccept
	claim    string // key of the claim row that is written or deleted as well; empty for none
}

func taskKey(t *anviltask.Task) string { return anvilrow.TaskPrefix + t.Shard() + "/" + t.ID() }

func claimKey(id string) string { return anvilrow.ClaimPrefix + id }

// submitBatch accepts a batch task or a gang job if this instance owns its home shard, and forwards it otherwise.
func (l *Loop) submitBatch(req *request) {
	home, err := l.homeOf(req.task)
	if err != nil {
		l.refuse(req, err)
		return
	}
	req.task = req.task.With(anviltask.WithShard(home.Name()))
	if home.Owner() != l.self.instance {
		l.forwardHome(req, home.Owner())
		return
	}
	s := l.shard(home.Name())
	if !s.open() {
		l.refuse(req, anvilerror.Refuse(anvilerror.NoOwner, "shard "+s.name+" is being handed over", anvilerror.WithRetry(ownerRetryDelay)))
		return
	}
	id := req.task.ID()
	if l.isAccepted(s, id) {
		l.deliver(req, NewAccepted(anviltask.ShardID(s.name, id)))
		return
	}
	if !s.reconciled {
		l.refuse(req, anvilerror.Refuse(anvilerror.NoOwner, "the new owner of shard "+s.name+" has not taken over yet", anvilerror.WithRetry(ownerRetryDelay)))
		return
	}
	if l.queue.Len()+len(l.writer.accepts) >= l.settings.maxQueue {
		l.refuse(req, anvilerror.Refuse(anvilerror.QueueFull, "the queue is full", anvilerror.WithRetry(queueRetryDelay)))
		return
	}
	l.acceptTask(req)
}

// isAccepted reports whether a task with the id was accepted before.
func (l *Loop) isAccepted(s *shard, id string) bool {
	if j := l.jobs[id]; j != nil {
		return j.accepted
	}
	_, ok := s.acceptedTasks[id]
	return ok
}

func (l *Loop) acceptTask(req *request) {
	t := req.task
	if l.writer.accepts == nil {
		l.writer.accepts = map[string]*pendingAccept{}
	}
	if l.writer.accepts[t.ID()] != nil {
		l.refuse(req, anvilerror.UnknownOutcome(anvilerror.Duplicate, "an earlier request with the id is being accepted", anvilerror.WithRetry(ownerRetryDelay)))
		return
	}
	j := &job{task: t, machine: l.charts.task.NewMachine(), receivedAt: l.clock.Now()}
	if t.MaxWait() > 0 {
		j.deadline = j.receivedAt + t.MaxWait()
	}
	a := &pendingAccept{req: req, job: j, receivedAt: j.receivedAt}
	l.writer.accepts[t.ID()] = a
	l.writer.writes = append(l.writer.writes, &rowWrite{
		key: taskKey(t), shard: t.Shard(), row: l.taskRow(j, anvilrow.Accepted), accept: a, claim: claimKey(t.ID()),
	})
}

func (l *Loop) taskRow(j *job, state anvilrow.TaskState) anvilrow.Row {
	return anvilrow.New(taskKey(j.task), anvilrow.NewTask(j.task, state, string(j.code), l.clock.Unix(), j.checkpoint))
}

func (l *Loop) writeRow(j *job, state anvilrow.TaskState) {
	l.writer.writes = append(l.writer.writes, &rowWrite{key: taskKey(j.task), shard: j.task.Shard(), row: l.taskRow(j, state)})
}

func (l *Loop) deleteRow(t *anviltask.Task) {
	if s := l.shards[t.Shard()]; s != nil {
		delete(s.acceptedTasks, t.ID())
	}
	l.writer.writes = append(l.writer.writes, &rowWrite{key: taskKey(t), shard: t.Shard(), isDelete: true, claim: claimKey(t.ID())})
}

// flushRows commits the collected writes. Each commit checks the rows of the shards concerned, so that an instance
// that has lost a shard without knowing it can't write the shard's tasks.
func (l *Loop) flushRows(now anvilclock.Millis) {
	l.answerOverdue(now)
	for len(l.writer.writes) > 0 && l.writer.inFlight < maxCommitsInFlight && now >= l.writer.retryAt {
		n := min(len(l.writer.writes), maxCommitTasks)
		group := l.writer.writes[:n:n]
		l.writer.writes = l.writer.writes[n:]
		l.commitRows(group)
	}
}

func (l *Loop) commitRows(group []*rowWrite) {
	var checks []Check
	var puts []anvilrow.Row
	var deletes []string
	var kept []*rowWrite
	checked := map[string]bool{}
	for _, w := range group {
		row, ok := l.directory.Shard(w.shard)
		if !ok || row.Owner() != l.self.instance || !l.shard(w.shard).owned() {
			l.dropWrite(w)
			continue
		}
		if !checked[w.shard] {
			checked[w.shard] = true
			checks = append(checks, checkRow(anvilrow.ShardPrefix+w.shard, row.RowVersion()))
		}
		switch {
		case w.isDelete:
			deletes = append(deletes, w.key, w.claim)
		case w.accept != nil:
			checks = append(checks, checkRow(w.claim, 0))
			puts = append(puts, w.row, anvilrow.New(w.claim, anvilrow.NewClaim(w.shard)))
		default:
			puts = append(puts, w.row)
		}
		kept = append(kept, w)
	}
	if len(kept) == 0 {
		return
	}
	l.writer.inFlight++
	l.commit(newCommit(anviltask.NewID(), checks, puts, deletes), rowsCall{group: kept})
}

// dropWrite drops a write because another instance owns the shard now. The worker reports the state of the task to that
// instance. A task that was being accepted is refused.
func (l *Loop) dropWrite(w *rowWrite) {
	if w.accept == nil {
		return
	}
	delete(l.writer.accepts, w.accept.job.task.ID())
	err := anvilerror.Refuse(anvilerror.NoOwner, "the shard's owner has changed", anvilerror.WithRetry(ownerRetryDelay))
	if w.accept.outcomeUnknown {
		err = anvilerror.UnknownOutcome(anvilerror.NoOwner, "the shard's owner has changed while the task was being accepted")
	}
	l.refuse(w.accept.req, err)
}

// rowsCall waits for a group commit.
type rowsCall struct {
	group []*rowWrite
}

func (c rowsCall) committed(l *Loop, m Committed) {
	l.writer.inFlight--
	switch {
	case m.err != nil:
		l.writesFailed(c.group, m.err)
	case !m.ok:
		if v, ok := m.conflict.Value().(anvilrow.Shard); ok {
			l.putShard(v.Shard())
		}
		l.writer.writes = append(l.resolveClaim(c.group, m.conflict), l.writer.writes...)
	default:
		for _, w := range c.group {
			if w.accept != nil {
				l.taskAccepted(w.accept)
			}
		}
	}
}

// resolveClaim handles a conflict with a claim row, which means that the id was accepted before: it removes the write
// of that id from the group. A claim of the same shard comes from an earlier commit whose answer was lost.
func (l *Loop) resolveClaim(group []*rowWrite, conflict anvilrow.Row) []*rowWrite {
	v, ok := conflict.Value().(anvilrow.Claim)
	if !ok {
		return group
	}
	var keep []*rowWrite
	for _, w := range group {
		switch {
		case w.accept == nil || w.claim != conflict.Key():
			keep = append(keep, w)
		case v.Shard() == w.shard:
			l.taskAccepted(w.accept)
		default:
			delete(l.writer.accepts, w.accept.job.task.ID())
			l.deliver(w.accept.req, NewAccepted(anviltask.ShardID(v.Shard(), w.accept.job.task.ID())))
		}
	}
	return keep
}

// writesFailed keeps writes for a later commit. A task that is being accepted is refused if its row was certainly not
// written; after a lost answer the same row is written again.
func (l *Loop) writesFailed(group []*rowWrite, err *anvilerror.Error) {
	l.log.Record(anvilevent.TableFailed, "write", "task", "rows", len(group), "code", err.Code())
	l.writer.retryAt = l.clock.Now() + writeBackoff
	var keep []*rowWrite
	for _, w := range group {
		if w.accept != nil && err.Outcome() == anvilerror.NotRun && !w.accept.outcomeUnknown {
			delete(l.writer.accepts, w.accept.job.task.ID())
			l.refuse(w.accept.req, anvilerror.Refuse(anvilerror.NoTable, "the table did not take the task", anvilerror.WithRetry(ownerRetryDelay)))
			continue
		}
		if w.accept != nil {
			w.accept.outcomeUnknown = true
		}
		keep = append(keep, w)
	}
	l.writer.writes = append(keep, l.writer.writes...)
}

// answerOverdue tells callers that it is unknown whether their task was accepted, once they have waited for
// maxAcceptWait.
func (l *Loop) answerOverdue(now anvilclock.Millis) {
	for _, a := range l.writer.accepts {
		if a.outcomeUnknown && !a.answered && now-a.receivedAt > maxAcceptWait {
			a.answered = true
			l.deliver(a.req, NewFailure(anvilerror.UnknownOutcome(anvilerror.NoTable, "the table did not answer whether it stored the task")))
		}
	}
}

func (l *Loop) taskAccepted(a *pendingAccept) {
	j := a.job
	delete(l.writer.accepts, j.task.ID())
	j.accepted = true
	l.jobs[j.task.ID()] = j
	l.recordDecision(j, anvilevent.TaskAccepted, "", j.task.Shard())
	if !a.answered {
		l.deliver(a.req, NewAccepted(anviltask.ShardID(j.task.Shard(), j.task.ID())))
	}
	l.enqueue(j)
}

// reconcile decides what happens to each accepted task of a shard that was taken over. By then every worker of the
// shard has reported its runs, or its lease has expired.
func (l *Loop) reconcile(s *shard) {
	for id, row := range s.acceptedTasks {
		if row.State() != anvilrow.Accepted || l.jobs[id] != nil {
			continue
		}
		j := &job{task: row.Task(), machine: l.charts.task.NewMachine(), receivedAt: l.clock.Now(), accepted: true, checkpoint: row.Checkpoint()}
		l.jobs[id] = j
		delete(s.acceptedTasks, id)
		l.resumeJob(s, j)
	}
	s.adoptedRuns, s.formerEnds = nil, nil
}

func (l *Loop) resumeJob(s *shard, j *job) {
	id := j.task.ID()
	if runs := s.adoptedRuns[id]; len(runs) > 0 {
		l.attachRuns(j, runs, s.doneMembers(id, startOf(runs[0].id)))
		return
	}
	e, ended := s.lastEnd(id)
	switch {
	case ended && j.task.Count() == 1 && (e.outcome == outcomeDone || e.outcome == outcomeFailed):
		j.code = anvilerror.Code(e.code)
		l.fireTask(j, "place")
		l.fireTask(j, string(e.outcome))
	case ended && j.task.Count() > 1 && s.doneMembers(id, startOf(e.run)) == j.task.Count():
		l.fireTask(j, "place")
		l.fireTask(j, string(outcomeDone))
	case j.task.NonIdempotent() && (ended && e.outcome != outcomeNotRun || l.mayHaveRun(s, j)):
		j.code, j.reason = anvilerror.Lost, "an earlier owner may have started the task"
		l.fireTask(j, "place")
		l.fireTask(j, string(outcomeLost))
	default:
		if e.outcome == outcomeCheckpointed && j.task.Count() == 1 {
			j.checkpoint = checkpointOf(e.run)
		}
		l.enqueue(j)
	}
}

// mayHaveRun reports whether the task may have run at a worker whose records of ended tasks are lost.
func (l *Loop) mayHaveRun(s *shard, j *job) bool {
	return anviltask.IDTime(j.task.ID()) <= s.recordGap
}

// attachRuns connects a job with the runs that an earlier owner started. Done is the number of other tasks of the same
// gang that have ended as done. A gang job with missing runs is stopped as a whole.
func (l *Loop) attachRuns(j *job, runs []*run, done int) {
	j.runs = slices.Clone(runs)
	l.adoptedJobs[j.task.ID()] = j
	l.fireTask(j, "place")
	for _, r := range runs {
		r.job, r.workspace = j, ""
	}
	if j.task.Count() == 1 {
		l.fireTask(j, "running")
		return
	}
	j.goSent = done > 0 || slices.ContainsFunc(runs, func(r *run) bool { return r.machine.State() != runHeld })
	if len(runs)+done < j.task.Count() {
		j.abortOutcome = outcomeStopped
		l.stopRuns(j)
		return
	}
	j.goSent = true
	for _, r := range runs {
		l.fireRun(r, "go")
	}
	l.fireTask(j, "running")
}

// rowStatus returns the row of a task that ended under an earlier owner.
func (l *Loop) rowStatus(name, id string) (anvilrow.Task, bool) {
	s := l.shards[name]
	if s == nil || s.acceptedTasks == nil {
		return anvilrow.Task{}, false
	}
	v, ok := s.acceptedTasks[id]
	return v, ok
}
