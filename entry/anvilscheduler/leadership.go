package anvilscheduler

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
)

// leadership is what this instance knows of who schedules.
type leadership struct {
	machine anvilchart.Machine
	// current and row are the newest row that was seen.
	current anvilstorage.Leadership
	row     int64
	// unchangedSince is when the row was first seen unchanged, looked when it was last looked at.
	unchangedSince anvilclock.Millis
	lastRead       anvilclock.Millis
	// endedToken is the token of the newest leadership whose leader says that it is over, gone that of the newest one whose
	// leader's process seems to be gone. Their rows are still there.
	endedToken  int64
	exitedToken int64
	// roundTrip is the shortest round trip to the store that was seen.
	minRoundTrip anvilclock.Millis
	// maxPeerCPU is the largest processor that another instance has, in millicores.
	maxPeerCPU int64
	// token is this instance's fencing token; 0 while it neither loads nor schedules.
	token int64
	// lastRenewed is when the last applied commit was sent.
	lastRenewed anvilclock.Millis
	// leadingSince is when this instance began to schedule.
	leadingSince anvilclock.Millis
	// ctx and cancel end the effects of this leadership.
	ctx       context.Context
	cancel    context.CancelFunc
	releasing bool
}

// States of the chart that the code asks for.
const (
	stateFollowing = "following"
	stateLeading   = "holding"
)

// leading reports whether this instance schedules.
func (l *Loop) leading() bool { return l.leadership.machine.State() == stateLeading }

// leadershipValid reports whether no other instance can be the leader yet.
func (l *Loop) leadershipValid(now anvilclock.Millis) bool {
	return l.leading() && now-l.leadership.lastRenewed < leadershipValidity
}

// mayExtendLeases reports whether leases may still be extended. A successor waits for this long.
func (l *Loop) mayExtendLeases(now anvilclock.Millis) bool {
	return l.leading() && now-l.leadership.lastRenewed < leaseGrace
}

func (l *Loop) bindLeadership() *anvilchart.Binding[*Loop] {
	return anvilchart.NewBinding(map[string]func(*Loop){
		"claim":   func(l *Loop) { l.claim() },
		"load":    func(l *Loop) { l.load() },
		"begin":   func(l *Loop) { l.startLeading() },
		"drop":    func(l *Loop) { l.resetLeadership() },
		"release": func(l *Loop) { l.release() },
	}, nil)
}

func (m leadershipRead) deliver(l *Loop) {
	t := &l.leadership
	if m.err != nil || t.machine.State() != stateFollowing {
		return
	}
	roundTrip := l.clock.Now() - m.since
	if t.minRoundTrip == 0 || roundTrip < t.minRoundTrip {
		t.minRoundTrip = roundTrip
	}
	current := anvilstorage.Leadership{}
	if m.row.Version() != 0 {
		var err error
		if current, err = anvilstorage.ParseLeadership(m.row); err != nil {
			l.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.Leaderships))
		}
	}
	newObservation := m.row.Version() != t.row || t.lastRead == 0 || m.since-t.lastRead > maxPollGap
	if newObservation {
		changed := t.current.Addr() != current.Addr()
		t.row, t.current, t.unchangedSince = m.row.Version(), current, m.since
		if changed {
			l.publish()
		}
	}
	t.lastRead = m.since
	if l.config.policy == nil {
		// Whoever schedules must know the queues.
		return
	}
	delay := t.minRoundTrip * distanceFactor
	switch {
	case l.machineName != "" && strings.HasPrefix(current.Leader(), l.machineName+"-"):
		// The leader was an earlier process of this machine, which is gone.
		delay = 0
	case t.endedToken != 0 && t.endedToken >= current.Token():
		// The nearest instances come first.
		delay = t.minRoundTrip * distanceFactor / 2
	case t.exitedToken != 0 && t.exitedToken >= current.Token():
		delay = exitedVacantAfter + t.minRoundTrip*distanceFactor/2
	case t.row == 0:
		// Nobody has scheduled yet, so there is time to let an instance near the store come first.
		delay = firstClaimDelay + delay*firstDistanceFactor
	case current.Leader() != "":
		// A slow store delays the leader's commits as it does this look.
		delay = vacantAfter + max(roundTrip, t.minRoundTrip)*distanceFactor
	}
	remaining := delay + l.cpuDelay() - (m.since - t.unchangedSince)
	switch {
	case remaining <= 0:
		l.fireLeadership("vacant")
	case remaining < anvilclock.Millis(l.pollInterval.Load()):
		l.after(remaining, l.pollLeadershipNow)
	}
}

// cpuDelay delays the claim of an instance that has less processor than another one: whoever schedules
// does most of the work of all instances.
func (l *Loop) cpuDelay() anvilclock.Millis {
	own, best := l.self.MilliCPU(), l.leadership.maxPeerCPU
	if own == 0 || best <= own {
		return 0
	}
	return maxCPUDelay * anvilclock.Millis(best-own) / anvilclock.Millis(best)
}

func (m peersRead) deliver(l *Loop) {
	l.leadership.maxPeerCPU = m.maxCPU
	interval := pollInterval
	if l.cpuDelay() >= maxCPUDelay/2 {
		interval = weakPollInterval
	}
	l.pollInterval.Store(int64(interval))
	l.peerCount.Store(int64(m.count))
	l.peersKnownOnce.Do(func() { close(l.peersKnown) })
}

// claim asks the store for the leadership. The claim fails when the leader has committed meanwhile.
func (l *Loop) claim() {
	t := &l.leadership
	next := anvilstorage.NewLeadership(l.self.Name(), l.self.Addr(), t.current.Token()+1, 0)
	row, err := anvilstorage.LeadershipRow(next)
	if err != nil {
		l.log.Fault(anvilevent.RowUnreadable, err)
		return
	}
	tx := anvilstorage.NewTx(anvilstorage.FleetPartition)
	tx.Expect(anvilstorage.Leaderships, anvilstorage.LeadershipKey, t.row)
	tx.Set(row)
	l.log.Record(anvilevent.LeadershipClaimed, "token", next.Token(), "from", t.current.Leader(), "unchanged", int64(l.clock.Now()-t.unchangedSince))
	ctx := l.ctx
	l.spawn(func() {
		since := l.clock.Now()
		receipt, err := commitWithin(ctx, l.store, tx)
		l.post(claimAnswered{leadership: next, since: since, row: receipt.Version(), err: err})
	})
}

func (m claimAnswered) deliver(l *Loop) {
	t := &l.leadership
	if m.err != nil {
		// A claim without an answer may still be carried out; then the row names this instance as a leader
		// that never renews, and the leadership becomes vacant again.
		l.log.Record(anvilevent.LeadershipDenied, "token", m.leadership.Token(), "reason", m.err.Error())
		t.lastRead = 0
		l.fireLeadership("denied")
		return
	}
	t.token, t.current, t.row, t.lastRenewed = m.leadership.Token(), m.leadership, m.row, m.since
	l.fireLeadership("granted")
}

// load reads everything that a leader must know.
func (l *Loop) load() {
	l.resetLeaderState()
	ctx, cancel := context.WithCancel(l.ctx)
	l.leadership.ctx, l.leadership.cancel = ctx, cancel
	token := l.leadership.token
	l.spawn(func() { l.post(l.readAll(ctx, token)) })
}

// resetLeadership forgets everything that only a leader knows.
func (l *Loop) resetLeadership() {
	t := &l.leadership
	l.log.Record(anvilevent.LeadershipLost, "token", t.token)
	if t.cancel != nil {
		t.cancel()
	}
	t.token, t.lastRead = 0, 0
	l.scheduling.Store(false)
	l.resetLeaderState()
}

func (m loadAnswered) deliver(l *Loop) {
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
	l.adoptInstances(m.instances)
	l.adoptWorkers(m.workers)
	l.resumeJobs(cancels)
	l.fireLeadership("loaded")
	l.log.Record(anvilevent.LeadershipGranted, "token", m.token, "jobs", len(l.work.jobs), "workers", len(l.fleet.byID),
		"took", int64(l.clock.Now()-l.leadership.lastRenewed))
	l.watchAsLeader(m)
}

func (l *Loop) startLeading() {
	now := l.clock.Now()
	l.leadership.leadingSince = now
	l.scheduling.Store(true)
	l.publish()
	l.work.passRequested = true
	l.commits.count = l.leadership.current.Count()
	for _, w := range l.fleet.byID {
		l.holdIfDue(w, now)
	}
}

// checkLeadership gives up a leadership that could not be renewed for longer than a successor waits.
func (l *Loop) checkLeadership(now anvilclock.Millis) {
	if !l.mayExtendLeases(now) {
		l.stepDown("the leadership could not be renewed")
		return
	}
	if now-l.leadership.leadingSince > minLeadTime && l.proxies.hasCPU(l.self.MilliCPU()*yieldCPUFactor, now) {
		l.fireLeadership("yield")
	}
}

// stepDown ends the leadership because another instance holds it, or may.
func (l *Loop) stepDown(reason string) {
	if l.leadership.token == 0 {
		return
	}
	l.log.Record(anvilevent.LeadershipDeposed, "token", l.leadership.token, "reason", reason)
	l.fireLeadership("deposed")
}

// leavePartitioned ends the leadership of an instance that is partitioned from the store, and tells others, which reach it. What it
// has sent to the store may still be carried out; a claim fails then and is made again.
func (l *Loop) leavePartitioned(peers []string) {
	token := l.leadership.token
	peers = slices.Clone(peers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, addr := range peers[:min(len(peers), maxEndNotices)] {
		l.peers.NotifyLeadershipEnded(addr, token)
	}
	l.stepDown("this instance does not reach the store; others do")
}

// LeadershipEnded takes the news that the leadership with a token is over.
func (l *Loop) LeadershipEnded(token int64) { l.post(leadershipEnded{token: token}) }

// leadershipEnded says that the leader with a token no longer schedules.
type leadershipEnded struct{ token int64 }

func (m leadershipEnded) deliver(l *Loop) {
	if t := &l.leadership; m.token > t.endedToken {
		t.endedToken = m.token
		l.handleLeadershipEnd(m.token, "yielded")
	}
}

// leaderExited says that the process of the instance at an address, which schedules, seems to be gone.
type leaderExited struct{ addr string }

func (m leaderExited) deliver(l *Loop) {
	if t := &l.leadership; t.current.Addr() == m.addr && t.current.Leader() != "" && t.current.Token() > t.exitedToken {
		t.exitedToken = t.current.Token()
		l.handleLeadershipEnd(t.exitedToken, "gone")
	}
}

func (l *Loop) handleLeadershipEnd(token int64, reason string) {
	l.log.Record(anvilevent.LeadershipOver, "token", token, "holder", l.leadership.current.Leader(), "reason", reason)
	l.pollLeadershipNow()
}

// release gives up the leadership, so that another instance claims it at its next look.
func (l *Loop) release() {
	t := &l.leadership
	t.releasing = true
	tx := anvilstorage.NewTx(anvilstorage.FleetPartition)
	tx.Expect(anvilstorage.Leaderships, anvilstorage.LeadershipKey, t.row)
	row, err := anvilstorage.LeadershipRow(anvilstorage.NewLeadership("", "", t.token, 0))
	if err != nil {
		l.log.Fault(anvilevent.RowUnreadable, err)
	}
	tx.Set(row)
	l.log.Record(anvilevent.LeadershipReleased, "token", t.token)
	inflight := l.commits.inflight
	relays := l.proxies.relays(l.clock.Now())
	ctx := l.ctx
	l.spawn(func() {
		if inflight != nil {
			// The row's version is known only after the commit that is on its way.
			<-inflight.done
			if v := inflight.row.Load(); v != 0 {
				tx = anvilstorage.NewTx(anvilstorage.FleetPartition)
				tx.Expect(anvilstorage.Leaderships, anvilstorage.LeadershipKey, v)
				tx.Set(row)
			}
		}
		receipt, err := commitWithin(ctx, l.store, tx)
		if err != nil {
			l.log.Fault(anvilevent.StoreFailed, err, "during", "release")
			l.post(released{})
			return
		}
		vacated := anvilstorage.ReadRow(row.Table(), row.Key(), row.Value(), receipt.Version(), false)
		for addr, others := range relays {
			l.notifier.Notify(addr, others, vacated)
		}
		l.post(released{})
	})
}

// released says that the leadership was given up, or could not be.
type released struct{}

func (released) deliver(l *Loop) {
	l.leadership.releasing = false
	l.completeShutdown()
}

// pollLeadershipNow has the row of the leadership looked at without the usual pause.
func (l *Loop) pollLeadershipNow() {
	select {
	case l.pollRequests <- struct{}{}:
	default:
	}
}
