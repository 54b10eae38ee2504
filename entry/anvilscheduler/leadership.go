package anvilscheduler

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
)

// leadership is this instance's state in the leader election.
type leadership struct {
	machine anvilchart.Machine
	// current and rowVersion are the content and the version of the newest leadership row that was read or written.
	current    anvilstorage.Leadership
	rowVersion int64
	// unchangedSince is when the row was first read in its present version, lastRead when it was last read. With a
	// lastRead of 0, the next read starts a new observation.
	unchangedSince anvilclock.Millis
	lastRead       anvilclock.Millis
	// endedToken is the token of the newest leadership whose leader has announced its end, exitedToken that of the newest
	// one whose leader's process seems to have exited. The row still names these leaders.
	endedToken  int64
	exitedToken int64
	// minRoundTrip is the shortest measured round trip to the store; 0 while unknown.
	minRoundTrip anvilclock.Millis
	// maxPeerCPU is the most CPU of another instance, in millicores.
	maxPeerCPU int64
	// token is this instance's fencing token; 0 while it is neither loading nor leader. fence is the highest that it has stored since
	// and may use, requiredFence the highest that a worker has to accept.
	token         int64
	fence         int64
	requiredFence int64
	// claimedVersion is the version of the row that the last claim replaces.
	claimedVersion int64
	// deferredVersion is the version of the row whose replacement this instance has left to the witnesses once: they needn't wait for
	// the whole grace.
	deferredVersion int64
	// claimedAt is when the claim that was granted last was sent.
	claimedAt anvilclock.Millis
	// lastRenewed is when the last applied commit was sent.
	lastRenewed anvilclock.Millis
	extension   extension
	// formerExposed holds the workers at which a start of a former leader may arrive although its run has ended, by the row that the
	// claim has replaced.
	formerExposed map[string]bool
	// leadingSince is when this instance became leader.
	leadingSince anvilclock.Millis
	// ctx is done once this leadership has ended; the leader's calls use it.
	ctx    context.Context
	cancel context.CancelFunc
	// releasing means that the release of the leadership is in flight.
	releasing bool
}

// States of the tenure chart that the code refers to.
const (
	stateFollowing = "following"
	stateLoading   = "loading"
	stateLeading   = "holding"
)

// leading reports whether this instance is the leader.
func (l *Loop) leading() bool { return l.leadership.machine.State() == stateLeading }

// loading reports whether this instance has claimed the leadership and reads the state that a leader needs. It renews the
// leadership meanwhile: reading large tables takes longer than the row may stay unchanged.
func (l *Loop) loading() bool { return l.leadership.machine.State() == stateLoading }

// leadershipValid reports whether this instance is the leader and no other instance can be leader yet. Starts may be
// sent only then.
func (l *Loop) leadershipValid(now anvilclock.Millis) bool {
	return l.leading() && now-l.leadership.lastRenewed < leadershipValidity && l.mayExtendLeases(now)
}

// mayOrder reports whether the leader may still give orders that don't extend leases.
func (l *Loop) mayOrder(now anvilclock.Millis) bool {
	return l.leading() && now-l.leadership.lastRenewed < leaseGrace
}

func (l *Loop) bindLeadership() *anvilchart.Binding[*Loop] {
	return anvilchart.NewBinding(map[string]func(*Loop){
		"claim":   func(l *Loop) { l.claimLeadership() },
		"load":    func(l *Loop) { l.loadLeaderState() },
		"begin":   func(l *Loop) { l.startLeading() },
		"drop":    func(l *Loop) { l.resetLeadership() },
		"release": func(l *Loop) { l.releaseLeadership() },
	}, nil)
}

func (m leadershipRead) deliver(l *Loop) {
	ls := &l.leadership
	if m.err != nil || ls.machine.State() != stateFollowing {
		return
	}
	l.storeTime.observe(m.since, l.clock.Now(), m.now)
	roundTrip := l.clock.Now() - m.since
	if ls.minRoundTrip == 0 || roundTrip < ls.minRoundTrip {
		ls.minRoundTrip = roundTrip
	}
	current := anvilstorage.Leadership{}
	if m.row.Version() != 0 {
		var err error
		if current, err = anvilstorage.ParseLeadership(m.row); err != nil {
			l.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.Leaderships))
		}
	}
	l.witness.observe(current.First())
	if m.row.Version() != ls.claimedVersion {
		l.witness.dropClaim()
	}
	newObservation := m.row.Version() != ls.rowVersion || ls.lastRead == 0 || m.since-ls.lastRead > anvilclock.Millis(l.pollInterval.Load())+maxPollDelay
	if newObservation {
		changed := l.applyBacklog(current.Backlog(), m.since) || ls.current.Addr() != current.Addr()
		ls.rowVersion, ls.current, ls.unchangedSince = m.row.Version(), current, m.since
		if changed {
			l.publish()
		}
	}
	ls.lastRead = m.since
	if l.state.policy == nil {
		// A leader must know the queues.
		return
	}
	delay := ls.minRoundTrip * distanceFactor
	switch {
	case l.machineName != "" && strings.HasPrefix(current.Leader(), l.machineName+"-"):
		// The leader was an earlier process of this machine, which has exited.
		delay = 0
	case ls.endedToken != 0 && ls.endedToken >= current.Token():
		// The leader has announced the end, so the row needn't stay unchanged. Instances near the store claim first.
		delay = ls.minRoundTrip * distanceFactor / 2
	case ls.exitedToken != 0 && ls.exitedToken >= current.Token():
		delay = exitedVacantAfter + ls.minRoundTrip*distanceFactor/2
	case ls.rowVersion == 0:
		// There was no leader yet, so nothing runs, and an instance near the store can be given time to claim first.
		delay = firstClaimDelay + delay*firstDistanceFactor
	case current.Leader() != "":
		// A slow store delays the leader's commits as it does this read.
		delay = vacantAfter + max(roundTrip, ls.minRoundTrip)*distanceFactor
	}
	remaining := delay + l.cpuDelay() - (m.since - ls.unchangedSince)
	switch {
	case remaining <= 0:
		l.fireLeadership("vacant")
	case remaining < anvilclock.Millis(l.pollInterval.Load()):
		l.after(remaining, l.pollLeadershipNow)
	}
}

// cpuDelay returns how much later this instance claims because another one has more CPU: the leader does most of the
// work of all instances.
func (l *Loop) cpuDelay() anvilclock.Millis {
	own, best := l.self.MilliCPU(), l.leadership.maxPeerCPU
	if own == 0 || best <= own {
		return 0
	}
	return maxCPUDelay * anvilclock.Millis(best-own) / anvilclock.Millis(best)
}

func (m peersRead) deliver(l *Loop) {
	l.leadership.maxPeerCPU = m.maxCPU
	l.pollInterval.Store(int64(l.pollIntervalFor(m.count)))
	l.peerCount.Store(int64(m.count))
	l.peersKnownOnce.Do(func() { close(l.peersKnown) })
}

// pollIntervalFor returns the pause between two reads of the leadership row for a number of other instances. The reads of
// all instances together are as frequent as those of pollPeers of them, because each is charged for.
func (l *Loop) pollIntervalFor(peers int) anvilclock.Millis {
	if l.cpuDelay() >= maxCPUDelay/2 {
		return maxPollInterval
	}
	return min(max(pollInterval*anvilclock.Millis(peers)/pollPeers, pollInterval), maxPollInterval)
}

var errDeferred = errors.New("the witnesses of the former leader may claim first")

// claimLeadership writes the leadership row with the next fencing token. The commit fails when the row has changed
// meanwhile.
func (l *Loop) claimLeadership() {
	ls := &l.leadership
	next := anvilstorage.NewLeadership(l.self.Name(), l.self.Addr(), ls.current.Token()+1, 0).WithExposed(ls.current.Exposed())
	c := claim{
		former: ls.current, vacant: ls.rowVersion == 0, next: next, addr: l.self.Addr(), clock: l.storeTime,
		deferred: ls.deferredVersion == ls.rowVersion,
	}
	c.confirmedUntil, ls.claimedVersion = l.witness.claim(next.Token()), ls.rowVersion
	tx := anvilstorage.NewTx(anvilstorage.FleetPartition)
	tx.Expect(anvilstorage.Leaderships, anvilstorage.LeadershipKey, ls.rowVersion)
	l.log.Record(anvilevent.LeadershipClaimed, "token", next.Token(), "from", ls.current.Leader(),
		"unchanged", int64(l.clock.Now()-ls.unchangedSince))
	ctx := l.ctx
	l.spawn(func() {
		m := claimAnswered{leadership: next}
		witnesses, err := readWitnesses(ctx, l.store)
		if err != nil {
			m.err = anvilstorage.NewError(anvilstorage.Refused, err)
			l.post(m)
			return
		}
		if m.deferred = c.isNoWitness(witnesses) && !c.deferred; m.deferred {
			m.err = anvilstorage.NewError(anvilstorage.Refused, errDeferred)
			l.post(m)
			return
		}
		m.since = l.clock.Now()
		m.extension = c.inherit(m.since, witnesses)
		m.extension.until = m.since + extensionValidity
		row, err := extensionRow(next, c.clock, m.extension.until, m.extension)
		if err != nil {
			m.err = anvilstorage.NewError(anvilstorage.Refused, err)
			l.post(m)
			return
		}
		tx.Set(row)
		receipt, err := commitWithTimeout(ctx, l.store, tx)
		m.rowVersion, m.now, m.err = receipt.Version(), receipt.Now(), err
		l.post(m)
	})
}

func (m claimAnswered) deliver(l *Loop) {
	ls := &l.leadership
	if m.err != nil {
		// A claim with an unknown outcome may still be applied. Then the row names this instance as a leader that never
		// renews, and the leadership becomes vacant again.
		l.log.Record(anvilevent.LeadershipDenied, "token", m.leadership.Token(), "reason", m.err.Error())
		ls.lastRead = 0
		if m.deferred {
			ls.deferredVersion = ls.claimedVersion
		}
		if e := anvilstorage.As(m.err); e.Kind() != anvilstorage.Unknown {
			// An earlier claim of this instance may have been applied late.
			if row := e.Row(anvilstorage.Leaderships, anvilstorage.LeadershipKey); row.Version() != 0 {
				if current, err := anvilstorage.ParseLeadership(row); err == nil {
					l.witness.observe(current.First())
				}
			}
			l.witness.dropClaim()
		}
		l.fireLeadership("denied")
		return
	}
	ls.token, ls.current, ls.rowVersion, ls.lastRenewed = m.leadership.Token(), m.leadership, m.rowVersion, m.since
	ls.fence, ls.requiredFence = ls.token, ls.token
	ls.claimedAt, ls.extension = m.since, m.extension
	ls.formerExposed = map[string]bool{}
	for _, id := range m.leadership.Exposed() {
		ls.formerExposed[id] = true
	}
	l.storeTime.observe(m.since, l.clock.Now(), m.now)
	l.fireLeadership("granted")
}

// loadLeaderState reads the tables that a leader needs, on a traffic goroutine.
func (l *Loop) loadLeaderState() {
	l.clear()
	ctx, cancel := context.WithCancel(l.ctx)
	l.leadership.ctx, l.leadership.cancel = ctx, cancel
	token := l.leadership.token
	l.spawn(func() { l.post(l.readAll(ctx, token)) })
}

// resetLeadership cancels the leader's calls and drops the state that only a leader has.
func (l *Loop) resetLeadership() {
	ls := &l.leadership
	l.log.Record(anvilevent.LeadershipLost, "token", ls.token)
	if ls.cancel != nil {
		ls.cancel()
	}
	ls.token, ls.lastRead = 0, 0
	l.isLeader.Store(false)
	l.leaderToken.Store(0)
	l.clear()
	l.publishWitnesses()
}

func (m leaderStateRead) deliver(l *Loop) {
	if m.token != l.leadership.token {
		return
	}
	if m.err != nil {
		l.log.Fault(anvilevent.StoreFailed, m.err, "during", "load")
		l.fireLeadership("deposed")
		return
	}
	for _, r := range m.states.Rows() {
		l.applyState(r)
	}
	cancels := l.adoptJobs(m.intake, m.progress)
	l.applyInstances(m.instances)
	l.adoptWorkers(m.workers)
	l.adoptBounds(m.leases)
	l.resumeJobs(cancels)
	l.fireLeadership("loaded")
	l.log.Record(anvilevent.LeadershipGranted, append([]any{"token", m.token, "jobs", len(l.workload.jobs), "workers", len(l.fleet.byID),
		"took", int64(l.clock.Now() - l.leadership.claimedAt), "extended", int64(l.leadership.extension.formerEnd - l.clock.Now())},
		l.adoptedFields()...)...)
	l.watchAsLeader(m)
}

// startLeading makes this instance the leader, once it has loaded the state.
func (l *Loop) startLeading() {
	now := l.clock.Now()
	l.leadership.leadingSince = now
	l.isLeader.Store(true)
	l.leaderToken.Store(l.leadership.token)
	l.renewedAt.Store(int64(l.leadership.lastRenewed))
	l.publish()
	l.workload.passRequested = true
	for _, w := range l.fleet.byID {
		l.holdIfDue(w, now)
	}
}

// checkLeadership steps down when the leadership could not be renewed for leaseGrace, and yields to an instance with
// more CPU.
func (l *Loop) checkLeadership(now anvilclock.Millis) {
	if !l.mayOrder(now) {
		l.stepDown("the leadership could not be renewed")
		return
	}
	if now-l.leadership.leadingSince > minLeadTime && l.proxies.anyWithCPU(l.self.MilliCPU()*yieldCPUFactor, now) {
		l.fireLeadership("yield")
	}
}

// stepDown ends the leadership because another instance is the leader, or may be. It does nothing at a follower.
func (l *Loop) stepDown(reason string) {
	if l.leadership.token == 0 {
		return
	}
	l.log.Record(anvilevent.LeadershipDeposed, append([]any{"token", l.leadership.token, "reason", reason}, l.endFields()...)...)
	l.fireLeadership("deposed")
}

// stepDownPartitioned ends the leadership of an instance that is partitioned from the store, and notifies some of
// peers, which may claim it at once. A commit that is still in flight may be applied later; a concurrent claim fails
// then and is repeated.
func (l *Loop) stepDownPartitioned(peers []string) {
	token := l.leadership.fence
	peers = slices.Clone(peers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, addr := range peers[:min(len(peers), maxEndNotices)] {
		l.peers.NotifyLeadershipEnded(addr, token)
	}
	l.stepDown("this instance does not reach the store; others do")
}

// LeadershipEnded receives the notification that the leadership with a token has ended. It is safe for concurrent use.
func (l *Loop) LeadershipEnded(token int64) { l.post(leadershipEndNotice{token: token}) }

// leadershipEndNotice is the notification that the leadership with a token has ended.
type leadershipEndNotice struct{ token int64 }

func (m leadershipEndNotice) deliver(l *Loop) {
	if ls := &l.leadership; m.token > ls.endedToken {
		ls.endedToken = m.token
		l.handleLeadershipEnd(m.token, "yielded")
	}
}

// leaderExited means that the process at an address, which was the leader's, seems to have exited.
type leaderExited struct{ addr string }

func (m leaderExited) deliver(l *Loop) {
	if ls := &l.leadership; ls.current.Addr() == m.addr && ls.current.Leader() != "" && ls.current.Token() > ls.exitedToken {
		ls.exitedToken = ls.current.Token()
		l.handleLeadershipEnd(ls.exitedToken, "gone")
	}
}

// handleLeadershipEnd logs that a leadership has ended, or has probably ended, and requests a read of the leadership row,
// after which this instance may claim the leadership.
func (l *Loop) handleLeadershipEnd(token int64, reason string) {
	l.log.Record(anvilevent.LeadershipEnded, "token", token, "holder", l.leadership.current.Leader(), "reason", reason)
	l.pollLeadershipNow()
}

// releaseLeadership writes a leadership row without a leader, so that another instance claims the leadership at its
// next read, and notifies the others of it.
func (l *Loop) releaseLeadership() {
	ls := &l.leadership
	ls.releasing = true
	row, err := l.leadershipRow("", "", 0, l.clock.Now())
	if err != nil {
		l.log.Fault(anvilevent.RowUnreadable, err)
	}
	tx := l.lastChanges(row)
	l.log.Record(anvilevent.LeadershipReleased, append([]any{"token", ls.token}, l.endFields()...)...)
	inflight := l.commits.inflight
	relays := l.proxies.relays(l.clock.Now())
	ctx := l.ctx
	l.spawn(func() {
		if inflight != nil {
			// The row's version is known only after the commit in flight.
			<-inflight.done
			if v := inflight.rowVersion.Load(); v != 0 {
				tx = tx.ReplaceExpected(anvilstorage.Leaderships, anvilstorage.LeadershipKey, v)
			}
		}
		receipt, err := commitWithTimeout(ctx, l.store, tx)
		if err != nil {
			l.log.Fault(anvilevent.StoreFailed, err, "during", "release")
			l.post(releaseDone{})
			return
		}
		released := anvilstorage.ReadRow(row.Table(), row.Key(), row.Value(), receipt.Version(), false)
		for addr, others := range relays {
			l.notifier.Notify(addr, others, released)
		}
		l.post(releaseDone{})
	})
}

// lastChanges returns a transaction that writes a leadership row and the changes that aren't in a commit yet, as many as fit: a worker may
// leave before a successor has asked it for the ends that this leader has processed. Runs whose start wasn't sent are unbound.
func (l *Loop) lastChanges(row anvilstorage.Row) *anvilstorage.Tx {
	for _, w := range l.fleet.byID {
		for _, t := range w.boundTasks() {
			if t.machine.State() == taskPlaced {
				l.fireTask(t, "refused")
			}
		}
	}
	b, err := l.nextBatch(l.clock.Now())
	if err != nil {
		l.log.Fault(anvilevent.RowUnreadable, err, "during", "release")
		tx := anvilstorage.NewTx(anvilstorage.FleetPartition)
		tx.Expect(anvilstorage.Leaderships, anvilstorage.LeadershipKey, l.leadership.rowVersion)
		tx.Set(row)
		return tx
	}
	return b.tx.Replace(row)
}

// releaseDone means that the attempt to release the leadership has ended, with or without success.
type releaseDone struct{}

func (releaseDone) deliver(l *Loop) {
	l.leadership.releasing = false
	l.completeShutdown()
}

// pollLeadershipNow ends the pause of watchLeadership, so that it reads the row at once. It does not block.
func (l *Loop) pollLeadershipNow() {
	select {
	case l.pollRequests <- struct{}{}:
	default:
	}
}
