package anvilcontrol

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilrecord"
	"anvilhold.org/lib/anviltask"
)

// maxHops bounds the entry instances that a task goes through: the one that received it, the owner to which it was
// forwarded, and the next owner if the owner has changed in the meantime.
const maxHops = 3

// maxOwners bounds the owners that are tried for one service request.
const maxOwners = 3

// submit handles a task from a caller or from another entry instance.
func (l *Loop) submit(m Submit) {
	t := m.forward.task
	req := &request{task: t, hops: m.forward.hops, reply: m.reply}
	if err := l.checkSubmit(req, m.forward.version); err != nil {
		l.refuse(req, err)
		return
	}
	switch {
	case t.Kind() != anviltask.Call:
		l.submitBatch(req)
	case t.NonIdempotent():
		l.submitOnce(req)
	default:
		l.submitCall(req)
	}
}

// request is a submitted task, with the caller that waits for its result.
type request struct {
	task     *anviltask.Task
	hops     int
	reply    chan<- Result
	admitted bool
	tried    []string
}

func (l *Loop) refuse(req *request, err *anvilerror.Error) {
	t := req.task
	// A request that is sent again may have run the first time, which only the owner of its home shard knows.
	if t.NonIdempotent() && !t.FirstAttempt() && err.Outcome() == anvilerror.NotRun {
		err = anvilerror.UnknownOutcome(err.Code(), err.Reason(), anvilerror.WithRetry(err.Retry()))
	}
	l.log.Record(anvilevent.TaskRefused, "task", t.ID(), "team", t.Team(), "kind", string(t.Kind()), "pool", t.Pool(),
		"owner", l.self.instance, "version", l.configStore.Snapshot().Version(), "reason", string(err.Code()))
	l.deliver(req, NewFailure(err))
}

func (l *Loop) deliver(req *request, r Result) {
	if req.admitted {
		req.admitted = false
		l.admission.Done(req.task.Team())
	}
	select {
	case req.reply <- r:
	default:
	}
}

// checkSubmit refuses a task if the instance doesn't serve requests, the task was forwarded too often, the team's
// contract doesn't allow it, or no worker is large enough for it.
func (l *Loop) checkSubmit(req *request, version int64) *anvilerror.Error {
	t := req.task
	if state := l.instance.machine.State(); state != stateServing && state != stateLeaving {
		return anvilerror.Refuse(anvilerror.Leaving, "the entry instance is "+state, anvilerror.WithRetry(ownerRetryDelay))
	}
	if req.hops >= maxHops {
		return anvilerror.Refuse(anvilerror.NoOwner, "the owner of the shard is changing", anvilerror.WithRetry(ownerRetryDelay))
	}
	if t.Team() != "" {
		if err := l.checkTeam(req, version); err != nil {
			return err
		}
	}
	return l.checkPool(t)
}

func (l *Loop) checkTeam(req *request, version int64) *anvilerror.Error {
	t := req.task
	if !l.confirmed() {
		return anvilerror.Refuse(anvilerror.Unconfirmed, "the configuration can't be confirmed", anvilerror.WithRetry(ownerRetryDelay))
	}
	snap := l.configStore.Snapshot()
	c, ok := snap.Contract(t.Team())
	switch {
	case !ok && version > snap.Version():
		return anvilerror.Refuse(anvilerror.Unconfirmed, "the configuration is older than that of the key", anvilerror.WithRetry(ownerRetryDelay))
	case !ok:
		return anvilerror.Refuse(anvilerror.Forbidden, "team "+t.Team()+" has no contract")
	case !c.Allows(t.Pool()):
		return anvilerror.Refuse(anvilerror.Forbidden, "the contract of team "+t.Team()+" has no access to pool "+t.Pool())
	case !t.Total().Fits(c.Limit()):
		d, _ := t.Total().Exceeds(c.Limit())
		return anvilerror.Refuse(anvilerror.Never, "the limit of team "+t.Team()+" is "+c.Limit().String()+", which is too little "+d.String())
	}
	if largest := l.ledger.LargestAllocation(t.Team()); !t.Total().Fits(largest) {
		return anvilerror.Refuse(anvilerror.Never, "one shard can get at most "+largest.String()+" of the limit of team "+t.Team())
	}
	if req.hops > 0 {
		return nil
	}
	if err := l.admission.Admit(t.Team(), c.Rate(), c.MaxInFlight(), l.clock.Now()); err != nil {
		return err
	}
	req.admitted = true
	return nil
}

// submitCall places a service request here, forwards it to an owner with free capacity, or queues it.
func (l *Loop) submitCall(req *request) {
	if earlier := l.jobs[req.task.ID()]; earlier != nil && !earlier.machine.Final() {
		l.joinPending(req)
		return
	}
	j := l.newCallJob(req, req.task)
	switch l.place(j) {
	case placed:
		return
	case noCapacity, overLimit:
	}
	if l.jobs[j.task.ID()] != j {
		return
	}
	if req.hops == 0 && l.routeJob(j, req) {
		return
	}
	l.queueCall(j)
}

// newCallJob creates the job of a request whose caller waits here.
func (l *Loop) newCallJob(req *request, t *anviltask.Task) *job {
	if t.MaxWait() == 0 {
		t = t.With(anviltask.WithMaxWait(l.settings.maxWait))
	}
	j := l.newJob(t)
	l.headroom.CallArrived(t.Pool(), t.Size(), l.clock.Now())
	j.replies = append(j.replies, req.reply)
	j.admitted = req.admitted
	return j
}

// queueCall queues a service request if this instance owns a schedulable worker of the pool, and refuses it otherwise.
func (l *Loop) queueCall(j *job) {
	schedulable, _, _, _ := l.index.Pool(j.task.Pool())
	if schedulable == 0 {
		j.code, j.reason = anvilerror.NoOwner, "this entry instance owns no schedulable worker of the pool"
		l.fireTask(j, "expire")
		return
	}
	j.code, j.reason = anvilerror.NoCapacity, "no worker has free capacity"
	l.recordDecision(j, anvilevent.TaskQueued, "", "")
	l.enqueue(j)
}

// routeJob forwards a request that can't be placed here to another owner. It reports false if there is none.
func (l *Loop) routeJob(j *job, req *request) bool {
	to, ok := l.routes.Choose(j.task.Pool(), j.task.Team(), j.task.Size(), req.tried, l.clock.Now())
	if !ok {
		return false
	}
	if !l.forward(req, to) {
		return false
	}
	delete(l.jobs, j.task.ID())
	l.headroom.CallEnded(j.task.Pool(), j.task.Size(), l.clock.Now())
	return true
}

// reroute forwards queued service requests to other owners when this instance leaves.
func (l *Loop) reroute() {
	for id, j := range l.jobs {
		if j.machine.State() != taskQueued || j.accepted || j.recorded || len(j.replies) != 1 {
			continue
		}
		req := &request{task: j.task, reply: j.replies[0], admitted: j.admitted}
		if l.routeJob(j, req) {
			l.queue.Remove(id)
		}
	}
}

// submitOnce handles a non-idempotent request, which must run at most once. It goes to the owner of its home shard,
// which has the record of the ids that were accepted.
func (l *Loop) submitOnce(req *request) {
	home, err := l.homeOf(req.task)
	if err != nil {
		l.refuse(req, err)
		return
	}
	t := req.task.With(anviltask.WithShard(home.Name()))
	req.task = t
	if home.Owner() != l.self.instance {
		l.forwardHome(req, home.Owner())
		return
	}
	s := l.shard(home.Name())
	if !s.open() || !s.reconciled {
		l.refuse(req, anvilerror.Refuse(anvilerror.NoOwner, "the new owner of shard "+s.name+" has not taken over yet", anvilerror.WithRetry(ownerRetryDelay)))
		return
	}
	l.admitOnce(req, s)
}

// admitOnce accepts a non-idempotent request unless the record already has its id.
func (l *Loop) admitOnce(req *request, s *shard) {
	t := req.task
	v := l.record.Admit(recordKey(t.Team(), t.ID()), anviltask.IDTime(t.ID()), s.name, l.clock.Unix())
	switch v.Kind() {
	case anvilrecord.Fresh:
		j := l.newCallJob(req, t)
		j.recorded = true
		if l.place(j) != placed && l.jobs[t.ID()] == j && j.machine.State() == taskQueued {
			l.queueCall(j)
		}
		return
	case anvilrecord.Pending:
		l.joinPending(req)
	case anvilrecord.Ended:
		l.log.Record(anvilevent.DuplicateServed, "task", t.ID(), "team", t.Team(), "outcome", string(v.Outcome()))
		l.deliver(req, recordedResult(v))
	case anvilrecord.Full:
		l.refuse(req, anvilerror.Refuse(anvilerror.QueueFull, "the record of non-idempotent requests is full", anvilerror.WithRetry(ownerRetryDelay)))
	case anvilrecord.Early:
		l.refuse(req, anvilerror.Refuse(anvilerror.BadInput, "the time in the id is ahead of this instance's clock"))
	case anvilrecord.Expired:
		l.deliver(req, NewFailure(anvilerror.UnknownOutcome(anvilerror.Expired, "the id is older than the time for which ids are remembered")))
	case anvilrecord.OutcomeUnknown:
		l.deliver(req, NewFailure(anvilerror.UnknownOutcome(anvilerror.Lost, "an earlier request with the id may have run")))
	}
}

func recordedResult(v anvilrecord.Verdict) Result {
	if v.Outcome() == anvilerror.Done && v.Code() == "" {
		return NewAnswer(v.Answer())
	}
	return NewFailure(anvilerror.New(v.Outcome(), v.Code(), "the outcome recorded for the id"))
}

// joinPending makes a second request with the same id wait for the answer to the first one.
func (l *Loop) joinPending(req *request) {
	j := l.jobs[req.task.ID()]
	if j == nil || j.machine.Final() || j.task.Team() != req.task.Team() || j.accepted {
		l.deliver(req, NewFailure(anvilerror.UnknownOutcome(anvilerror.Duplicate, "an earlier request with the id is in progress", anvilerror.WithRetry(ownerRetryDelay))))
		return
	}
	j.replies = append(j.replies, req.reply)
	if req.admitted {
		l.admission.Done(req.task.Team())
	}
}

// recordKey returns the key of an id in the record. It contains the team, so that no team gets the answer to another
// team's request.
func recordKey(team, id string) string { return team + "/" + id }

func (l *Loop) recordRunning(s *shard, team, id string) {
	l.record.Adopt(s.name, recordKey(team, id), anvilrecord.Running, nil, l.clock.Unix())
}

var recordStates = map[string]anvilrecord.State{
	reportDone: anvilrecord.Done, reportFailed: anvilrecord.Failed, reportStopped: anvilrecord.Stopped,
	reportCheckpointed: anvilrecord.Stopped, reportNotRun: anvilrecord.NotRun,
}

func (l *Loop) recordEnded(s *shard, e EndedTask) {
	state, ok := recordStates[e.state]
	if !ok {
		state = anvilrecord.Lost
	}
	l.record.Adopt(s.name, recordKey(e.team, taskID(e.id)), state, e.answer, l.clock.Unix())
}

// recordOrphan records the end of a non-idempotent request that an earlier owner started.
func (l *Loop) recordOrphan(r *run) {
	o := anvilerror.Unknown
	switch r.outcome {
	case outcomeDone, outcomeFailed:
		o = anvilerror.Done
	case outcomeNotRun:
		o = anvilerror.NotRun
	default:
	}
	l.record.Finish(recordKey(r.team, taskID(r.id)), o, anvilerror.Code(r.code), r.answer, l.clock.Unix())
}

// placeResult is the result of an attempt to place a job.
type placeResult int

const (
	placed placeResult = iota
	noCapacity
	overLimit
)

// allocationFilter admits the workers of a task's home shard, or of any shard if it has none, in which the team's
// allocation has capacity for the task.
type allocationFilter struct {
	loop    *Loop
	task    *anviltask.Task
	allowed map[*shard]bool
	atLimit []*shard
}

// Allow implements anvilplacement.Filter.
func (f *allocationFilter) Allow(w workerResources) bool {
	worker := f.loop.workers[w.ID()]
	return worker != nil && f.AllowGroup(worker.shard.name)
}

// AllowGroup implements anvilplacement.GroupFilter; a group is a shard.
func (f *allocationFilter) AllowGroup(name string) bool {
	s := f.loop.shards[name]
	if s == nil {
		return false
	}
	ok, known := f.allowed[s]
	if !known {
		ok = f.check(s)
		f.allowed[s] = ok
	}
	return ok
}

func (f *allocationFilter) check(s *shard) bool {
	if home := f.task.Shard(); home != "" && home != s.name {
		return false
	}
	if f.task.Team() == "" {
		return true
	}
	if !s.escrowReady {
		return false
	}
	free := f.loop.ledger.Account(s.name, f.task.Team()).Available().Sub(s.unknownUse())
	if !f.task.Total().Fits(free) {
		f.atLimit = append(f.atLimit, s)
		return false
	}
	return true
}

// demandKey identifies a team in a shard.
type demandKey struct {
	shard string
	team  string
}

// requestAllocation records the demand of a task that the team's allocations have no capacity for.
func (l *Loop) requestAllocation(j *job, atLimit []*shard, now anvilclock.Millis) {
	// Only one shard requests capacity. If all of them did, the team's limit would be spread over shards of which the
	// task can use one. Between two transfers a shard requests at most half of what is free, so that other shards with
	// demand get some before this one has drained its queue.
	key := demandKey{shard: atLimit[0].name, team: j.task.Team()}
	sum := l.demand[key].Add(j.task.Total())
	if !l.demand[key].IsZero() && !sum.Fits(l.ledger.Free(key.team).Ratio(1, 2)) {
		return
	}
	l.demand[key] = sum
	l.ledger.RecordDemand(key.shard, key.team, j.task.Total(), now)
}
