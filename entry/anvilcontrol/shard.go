package anvilcontrol

import (
	"slices"

	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilshard"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// States of the shard chart that the code refers to.
const (
	shardForeign   = "foreign"
	shardClaiming  = "claiming"
	shardFencing   = "fencing"
	shardServing   = "serving"
	shardReleasing = "releasing"
)

// shard is the state of a group of workers as this instance knows it. The fields after epoch are set while the instance
// owns the shard.
type shard struct {
	name       string
	machine    anvilchart.Machine
	epoch      int64
	acquiredAt anvilclock.Millis
	workers    map[string]*worker
	// callsInFlight counts the starts of service requests that workers haven't answered.
	callsInFlight int
	// acceptedTasks holds the accepted tasks that the table lists for the shard, until every worker has reported its
	// runs. Meanwhile adoptedRuns holds the runs that workers have reported, by task, and formerEnds the ends of runs that
	// they have reported, also of runs that were adopted before.
	acceptedTasks map[string]anvilrow.Task
	tasksRead     bool
	readingTasks  bool
	adoptedRuns   map[string][]*run
	formerEnds    map[string][]formerEnd
	reconciled    bool
	// escrowReady is set when the shard's allocations of team limits may be used: a fence was tried at every worker,
	// and the allocations were read after the shard was acquired.
	escrowReady bool
	// recordGap is the Unix time up to which records of ended tasks may be lost; it is stored in the shard's row.
	recordGap       anvilclock.Millis
	updatingMembers bool
}

func (s *shard) owned() bool {
	state := s.machine.State()
	return state != shardForeign && state != shardClaiming
}

// open reports whether tasks may be started in the shard.
func (s *shard) open() bool {
	state := s.machine.State()
	return state == shardFencing || state == shardServing
}

// unknownUse returns the capacity of the workers at which the epoch isn't installed yet. They may run tasks of an
// earlier owner that aren't accounted for here.
func (s *shard) unknownUse() anvilsize.Size {
	var sum anvilsize.Size
	if s.reconciled {
		return sum
	}
	for _, w := range s.workers {
		if w.machine.State() == workerUnfenced {
			sum = sum.Add(w.resources.Capacity())
		}
	}
	return sum
}

func (l *Loop) bindShard() *anvilchart.Binding[*shard] {
	return anvilchart.NewBinding(map[string]func(*shard){
		"claim":   l.claimShard,
		"acquire": l.acquireShard,
		"drop":    l.dropShard,
		"close":   l.closeShard,
		"release": l.releaseShard,
	}, nil)
}

func (l *Loop) shard(name string) *shard {
	s := l.shards[name]
	if s == nil {
		s = &shard{name: name, machine: l.charts.shard.NewMachine()}
		l.shards[name] = s
	}
	return s
}

// putShard applies a row of a shard, and fires the event of the shard chart that the row's owner implies.
func (l *Loop) putShard(row anvilshard.Shard) {
	l.directory.PutShard(row)
	if _, ok := l.poolKnownSince[row.Pool()]; !ok {
		l.poolKnownSince[row.Pool()] = max(1, l.clock.Now())
	}
	row, _ = l.directory.Shard(row.Name())
	s := l.shard(row.Name())
	switch {
	case row.Owner() != l.self.instance:
		if s.owned() {
			l.log.Record(anvilevent.ShardLost, "shard", s.name, "epoch", row.Epoch(), "owner", row.Owner())
		}
		if s.machine.State() != shardClaiming || row.Epoch() > s.epoch {
			l.fireShard(s, "lost")
		}
	case s.machine.State() == shardForeign || s.machine.State() == shardClaiming:
		s.epoch = row.Epoch()
		l.fireShard(s, "won")
	default:
		l.updateWorkers(s)
	}
}

func (l *Loop) planOwnership() {
	now := l.sessionTime()
	if l.instance.machine.State() == stateServing {
		for _, row := range l.directory.Claims(now) {
			l.fireShard(l.shard(row.Name()), "claim")
		}
		for _, row := range l.directory.Releases(now) {
			l.fireShard(l.shard(row.Name()), "give")
		}
	}
	for _, s := range l.shards {
		if s.owned() {
			l.advanceShard(s)
		}
	}
}

// advanceShard takes the next steps of acquiring or releasing a shard, as far as they are possible now.
func (l *Loop) advanceShard(s *shard) {
	if !s.tasksRead && !s.readingTasks {
		l.readTasks(s)
	}
	if !s.escrowReady && l.escrowFeed().readAt > s.acquiredAt && s.allFencesTried() {
		l.startEscrow(s)
	}
	if !s.reconciled && s.tasksRead && l.allFenced(s) {
		s.reconciled = true
		l.reconcile(s)
		l.fireShard(s, "fenced")
	}
	l.updateMembers(s)
	if s.callsInFlight == 0 {
		l.fireShard(s, "idle")
	}
}

// allFencesTried reports whether a fence was tried at every worker. The whole capacity of a worker that did not answer
// counts as used; see unknownUse.
func (s *shard) allFencesTried() bool {
	for _, w := range s.workers {
		if w.machine.State() == workerUnfenced && !w.fenceTried {
			return false
		}
	}
	return true
}

// startEscrow begins to use the shard's allocations, and charges the runs found at its workers to them.
func (l *Loop) startEscrow(s *shard) {
	s.escrowReady = true
	l.ledger.AddShard(s.name)
	for _, w := range s.workers {
		for _, r := range w.runs {
			l.chargeAllocation(r)
		}
	}
	l.passDue = true
}

func (l *Loop) allFenced(s *shard) bool {
	for _, w := range s.workers {
		if w.machine.State() == workerUnfenced {
			return false
		}
	}
	return true
}

func (l *Loop) claimShard(s *shard) {
	row, ok := l.directory.Shard(s.name)
	if !ok {
		return
	}
	s.epoch = row.Epoch()
	if row.RowVersion() == 0 {
		row = anvilshard.NewShard(row.Name(), row.Domain(), row.Region(), row.Pool(), l.homeStart(row.Pool()))
	}
	next := row.WithOwner(l.self.instance, row.Epoch()+1, row.RowVersion())
	key := anvilrow.ShardPrefix + s.name
	l.log.Record(anvilevent.ShardClaimed, "shard", s.name, "epoch", next.Epoch(), "before", row.Owner())
	l.commit(newCommit(anviltask.NewID(), []Check{checkRow(key, row.RowVersion())},
		[]anvilrow.Row{anvilrow.New(key, anvilrow.NewShard(next))}, nil), ownerCall{shard: s, row: next})
}

// ownerCall waits for the commit that claims or releases a shard.
type ownerCall struct {
	shard *shard
	row   anvilshard.Shard
}

func (c ownerCall) committed(l *Loop, m Committed) {
	switch {
	case m.err != nil:
		// After a lost answer, the next read of the row shows whether the commit took effect.
		l.fireShard(c.shard, "fail")
	case !m.ok:
		l.log.Record(anvilevent.ClaimRefused, "shard", c.shard.name, "epoch", c.row.Epoch())
		if v, ok := m.conflict.Value().(anvilrow.Shard); ok {
			l.putShard(v.Shard())
		}
		l.fireShard(c.shard, "fail")
	default:
		if c.row.Owner() == "" {
			l.log.Record(anvilevent.ShardReleased, "shard", c.shard.name, "epoch", c.row.Epoch())
		}
		l.putShard(c.row.WithOwner(c.row.Owner(), c.row.Epoch(), m.version))
	}
}

// acquireShard resets the shard's state and begins to install the epoch at every member and registered worker.
func (l *Loop) acquireShard(s *shard) {
	s.acquiredAt = l.clock.Now()
	s.workers = map[string]*worker{}
	s.acceptedTasks = map[string]anvilrow.Task{}
	s.adoptedRuns = map[string][]*run{}
	s.formerEnds = map[string][]formerEnd{}
	s.tasksRead, s.readingTasks, s.reconciled, s.callsInFlight = false, false, false, 0
	s.updatingMembers = false
	row, _ := l.directory.Shard(s.name)
	s.recordGap = row.GapUntil()
	l.record.AddGap(s.name, s.recordGap)
	s.escrowReady = false
	l.log.Record(anvilevent.ShardAcquired, "shard", s.name, "epoch", s.epoch, "members", len(row.Members()))
	for _, m := range row.Members() {
		l.addMember(s, row, m)
	}
	for _, reg := range l.registeredByShard[s.name] {
		if s.workers[reg.id] == nil {
			l.addWorker(s, reg)
		}
	}
}

// taskReadCall waits for the read of the accepted tasks of a shard that was acquired.
type taskReadCall struct {
	shard *shard
	epoch int64
}

func (l *Loop) readTasks(s *shard) {
	s.readingTasks = true
	l.read(anvilrow.TaskPrefix+s.name+"/", 0, taskReadCall{shard: s, epoch: s.epoch})
}

func (c taskReadCall) read(_ *Loop, m RowsRead) {
	s := c.shard
	if !s.owned() || s.epoch != c.epoch {
		return
	}
	s.readingTasks = false
	if m.err != nil {
		return
	}
	for _, r := range m.rows {
		if v, ok := r.Value().(anvilrow.Task); ok && !r.Deleted() {
			s.acceptedTasks[v.Task().ID()] = v
		}
	}
	s.tasksRead = true
}

// dropShard removes the state of a shard that another instance owns now. Starts of service requests that are in flight
// still deliver their answer.
func (l *Loop) dropShard(s *shard) {
	for _, w := range s.workers {
		l.fireWorker(w, "lost")
	}
	l.ledger.RemoveShard(s.name)
	l.record.Forget(s.name)
	for _, j := range l.jobs {
		if j.task.Shard() == s.name {
			l.detachJob(j)
		}
	}
	s.workers, s.acceptedTasks, s.adoptedRuns, s.formerEnds = nil, nil, nil, nil
	l.passDue = true
}

// closeShard stops the shard's workers from taking new tasks. Batch tasks stay in the table for the next owner.
func (l *Loop) closeShard(s *shard) {
	l.updateWorkers(s)
}

func (l *Loop) releaseShard(s *shard) {
	row, _ := l.directory.Shard(s.name)
	next := row.WithOwner("", row.Epoch(), row.RowVersion())
	key := anvilrow.ShardPrefix + s.name
	l.commit(newCommit(anviltask.NewID(), []Check{checkRow(key, row.RowVersion())},
		[]anvilrow.Row{anvilrow.New(key, anvilrow.NewShard(next))}, nil), ownerCall{shard: s, row: next})
}

func (l *Loop) releaseAll() {
	for _, s := range l.shards {
		if s.owned() {
			l.fireShard(s, "give")
			l.advanceShard(s)
		}
	}
}

// A shard that is added to a pool is a home only for ids whose time is at least homeDelay after the addition. Every
// instance that routes by id has read the shards within maxShardReadAge, so that all agree on the home of an id.
const (
	homeDelay       = anvilclock.Millis(10_000)
	maxShardReadAge = anvilclock.Millis(5_000)
	minPoolAge      = anvilclock.Millis(2_000)
)

// homeStart returns the earliest time of the ids for which a new shard of a pool can be the home. The first shards of a
// pool are homes for all ids; see homesKnown.
func (l *Loop) homeStart(pool string) anvilclock.Millis {
	if l.poolKnownSince[pool] > 0 {
		return l.clock.Unix() + homeDelay
	}
	return 0
}

// homesKnown reports whether the shards of a pool have been known for minPoolAge, so that all shards created together
// with the first one are known, and whether they were read within maxShardReadAge. During an outage of the table no
// shard can be added, so the age of the last read doesn't matter.
func (l *Loop) homesKnown(pool string) bool {
	now := l.clock.Now()
	first, ok := l.poolKnownSince[pool]
	if !ok || now-first < minPoolAge {
		return false
	}
	return now-l.shardFeed().readAt < maxShardReadAge || l.config.machine.State() == configOutage
}

// homeOf returns the home shard of an id by rendezvous hashing. The home of a service request depends on nothing else,
// so that every instance finds the same record of ids. The home of other work is the first shard in hash order whose
// registered workers are large enough for it; a claim row keeps the id from being accepted in two shards.
func (l *Loop) homeOf(t *anviltask.Task) (anvilshard.Shard, *anvilerror.Error) {
	if !l.homesKnown(t.Pool()) {
		return anvilshard.Shard{}, anvilerror.Refuse(anvilerror.NoOwner, "the shards of pool "+t.Pool()+" have not been known for long enough",
			anvilerror.WithRetry(ownerRetryDelay))
	}
	at := anviltask.IDTime(t.ID())
	known := slices.DeleteFunc(l.directory.Shards(), func(s anvilshard.Shard) bool { return s.RowVersion() == 0 })
	if t.Kind() == anviltask.Call {
		if s, ok := l.directory.Shard(anvilshard.Home(known, t.Pool(), t.ID(), at)); ok {
			return s, nil
		}
		known = nil
	}
	for _, s := range anvilshard.Rank(known, t.Pool(), t.ID(), at) {
		if l.shardFits(s.Name(), t) {
			return s, nil
		}
	}
	return anvilshard.Shard{}, anvilerror.Refuse(anvilerror.NoOwner, "no shard of pool "+t.Pool()+" can accept the task now",
		anvilerror.WithRetry(ownerRetryDelay))
}

// shardFits reports whether a task would fit on the registered workers of a shard if nothing ran on them.
func (l *Loop) shardFits(name string, t *anviltask.Task) bool {
	fits := int64(0)
	for _, size := range l.capacities(name) {
		if t.Count() == 1 && t.Size().Fits(size) {
			return true
		}
		fits += countFitting(size, t.Size())
	}
	return t.Count() > 1 && fits >= int64(t.Count())
}

// countFitting returns how many times size fits into capacity.
func countFitting(capacity, size anvilsize.Size) int64 {
	n := int64(1 << 32)
	for _, d := range anvilsize.Dimensions() {
		if size.In(d) > 0 {
			n = min(n, capacity.In(d)/size.In(d))
		}
	}
	return n
}
