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
	// since is when the row was first seen unchanged, looked when it was last looked at.
	since  anvilclock.Millis
	looked anvilclock.Millis
	// over is the token of the newest leadership whose leader says that it is over, gone that of the newest one whose
	// leader's process seems to be gone. Their rows are still there.
	over int64
	gone int64
	// trip is the shortest round trip to the store that was seen.
	trip anvilclock.Millis
	// strongest is the largest processor that another instance has, in millicores.
	strongest int64
	// token is this instance's fencing token; 0 while it neither loads nor schedules.
	token int64
	// renewed is when the last applied commit was sent.
	renewed anvilclock.Millis
	// began is when this instance began to schedule.
	began anvilclock.Millis
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

// valid reports whether no other instance can be the leader yet.
func (l *Loop) valid(now anvilclock.Millis) bool {
	return l.leading() && now-l.leadership.renewed < validity
}

// mayExtendLeases reports whether leases may still be extended. A successor waits for this long.
func (l *Loop) mayExtendLeases(now anvilclock.Millis) bool {
	return l.leading() && now-l.leadership.renewed < leaseGrace
}

func (l *Loop) bindLeadership() *anvilchart.Binding[*Loop] {
	return anvilchart.NewBinding(map[string]func(*Loop){
		"claim":   func(l *Loop) { l.claim() },
		"load":    func(l *Loop) { l.load() },
		"begin":   func(l *Loop) { l.begin() },
		"drop":    func(l *Loop) { l.dropLeadership() },
		"release": func(l *Loop) { l.release() },
	}, nil)
}

func (m leadershipRead) deliver(l *Loop) {
	t := &l.leadership
	if m.err != nil || t.machine.State() != stateFollowing {
		return
	}
	trip := l.clock.Now() - m.since
	if t.trip == 0 || trip < t.trip {
		t.trip = trip
	}
	current := anvilstorage.Leadership{}
	if m.row.Version() != 0 {
		var err error
		if current, err = anvilstorage.ParseLeadership(m.row); err != nil {
			l.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.Leaderships))
		}
	}
	fresh := m.row.Version() != t.row || t.looked == 0 || m.since-t.looked > watchGap
	if fresh {
		changed := t.current.Addr() != current.Addr()
		t.row, t.current, t.since = m.row.Version(), current, m.since
		if changed {
			l.publish()
		}
	}
	t.looked = m.since
	if l.config.policy == nil {
		// Whoever schedules must know the queues.
		return
	}
	wait := t.trip * distanceFactor
	switch {
	case l.machine != "" && strings.HasPrefix(current.Leader(), l.machine+"-"):
		// The leader was an earlier process of this machine, which is gone.
		wait = 0
	case t.over != 0 && t.over >= current.Token():
		// The nearest instances come first.
		wait = t.trip * distanceFactor / 2
	case t.gone != 0 && t.gone >= current.Token():
		wait = goneAfter + t.trip*distanceFactor/2
	case t.row == 0:
		// Nobody has scheduled yet, so there is time to let an instance near the store come first.
		wait = firstClaim + wait*firstFactor
	case current.Leader() != "":
		// A slow store delays the leader's commits as it does this look.
		wait = vacantAfter + max(trip, t.trip)*distanceFactor
	}
	left := wait + l.handicap() - (m.since - t.since)
	switch {
	case left <= 0:
		l.fireLeadership("vacant")
	case left < anvilclock.Millis(l.watchPause.Load()):
		l.later(left, l.lookNow)
	}
}

// handicap delays the claim of an instance that has less processor than another one: whoever schedules
// does most of the work of all instances.
func (l *Loop) handicap() anvilclock.Millis {
	own, best := l.self.MilliCPU(), l.leadership.strongest
	if own == 0 || best <= own {
		return 0
	}
	return weakDelay * anvilclock.Millis(best-own) / anvilclock.Millis(best)
}

func (m peersRead) deliver(l *Loop) {
	l.leadership.strongest = m.strongest
	pause := watchEvery
	if l.handicap() >= weakDelay/2 {
		pause = weakWatchEvery
	}
	l.watchPause.Store(int64(pause))
	l.peerCount.Store(int64(m.count))
	l.counted.Do(func() { close(l.listed) })
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
	l.log.Record(anvilevent.LeadershipClaimed, "token", next.Token(), "from", t.current.Leader(), "unchanged", int64(l.clock.Now()-t.since))
	ctx := l.ctx
	l.spawn(func() {
		since := l.clock.Now()
		receipt, err := commitWithin(ctx, l.store, tx)
		l.post(claimed{leadership: next, since: since, row: receipt.Version(), err: err})
	})
}

func (m claimed) deliver(l *Loop) {
	t := &l.leadership
	if m.err != nil {
		// A claim without an answer may still be carried out; then the row names this instance as a leader
		// that never renews, and the leadership becomes vacant again.
		l.log.Record(anvilevent.LeadershipDenied, "token", m.leadership.Token(), "reason", m.err.Error())
		t.looked = 0
		l.fireLeadership("denied")
		return
	}
	t.token, t.current, t.row, t.renewed = m.leadership.Token(), m.leadership, m.row, m.since
	l.fireLeadership("granted")
}

// load reads everything that a leader must know.
func (l *Loop) load() {
	l.clear()
	ctx, cancel := context.WithCancel(l.ctx)
	l.leadership.ctx, l.leadership.cancel = ctx, cancel
	token := l.leadership.token
	l.spawn(func() { l.post(l.readAll(ctx, token)) })
}

// dropLeadership forgets everything that only a leader knows.
func (l *Loop) dropLeadership() {
	t := &l.leadership
	l.log.Record(anvilevent.LeadershipLost, "token", t.token)
	if t.cancel != nil {
		t.cancel()
	}
	t.token, t.looked = 0, 0
	l.scheduling.Store(false)
	l.clear()
}

func (m loaded) deliver(l *Loop) {
	if m.token != l.leadership.token {
		return
	}
	if m.err != nil {
		l.log.Fault(anvilevent.StoreFailed, m.err, "during", "load")
		l.fireLeadership("deposed")
		return
	}
	for _, r := range m.states.Rows() {
		l.learnState(r)
	}
	cancels := l.adoptJobs(m.intake, m.progress)
	l.adoptInstances(m.instances)
	l.adoptWorkers(m.workers)
	l.resumeJobs(cancels)
	l.fireLeadership("loaded")
	l.log.Record(anvilevent.LeadershipGranted, "token", m.token, "jobs", len(l.work.jobs), "workers", len(l.fleet.byID),
		"took", int64(l.clock.Now()-l.leadership.renewed))
	l.watchAsLeader(m)
}

func (l *Loop) begin() {
	now := l.clock.Now()
	l.leadership.began = now
	l.scheduling.Store(true)
	l.publish()
	l.work.dirty = true
	l.journal.count = l.leadership.current.Count()
	for _, w := range l.fleet.byID {
		l.probe(w, now)
	}
}

// checkLeadership gives up a leadership that could not be renewed for longer than a successor waits.
func (l *Loop) checkLeadership(now anvilclock.Millis) {
	if !l.mayExtendLeases(now) {
		l.depose("the leadership could not be renewed")
		return
	}
	if now-l.leadership.began > yieldAfter && l.asking.stronger(l.self.MilliCPU()*yieldFactor, now) {
		l.fireLeadership("yield")
	}
}

// depose ends the leadership because another instance holds it, or may.
func (l *Loop) depose(reason string) {
	if l.leadership.token == 0 {
		return
	}
	l.log.Record(anvilevent.LeadershipDeposed, "token", l.leadership.token, "reason", reason)
	l.fireLeadership("deposed")
}

// abandon ends the leadership of an instance that is partitioned from the store, and tells others, which reach it. What it
// has sent to the store may still be carried out; a claim fails then and is made again.
func (l *Loop) abandon(peers []string) {
	token := l.leadership.token
	peers = slices.Clone(peers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, addr := range peers[:min(len(peers), yieldMost)] {
		l.peers.NotifyLeadershipEnded(addr, token)
	}
	l.depose("this instance does not reach the store; others do")
}

// LeadershipEnded takes the news that the leadership with a token is over.
func (l *Loop) LeadershipEnded(token int64) { l.post(leadershipEnded{token: token}) }

// leadershipEnded says that the leader with a token no longer schedules.
type leadershipEnded struct{ token int64 }

func (m leadershipEnded) deliver(l *Loop) {
	if t := &l.leadership; m.token > t.over {
		t.over = m.token
		l.noteOver(m.token, "yielded")
	}
}

// leaderExited says that the process of the instance at an address, which schedules, seems to be gone.
type leaderExited struct{ addr string }

func (m leaderExited) deliver(l *Loop) {
	if t := &l.leadership; t.current.Addr() == m.addr && t.current.Leader() != "" && t.current.Token() > t.gone {
		t.gone = t.current.Token()
		l.noteOver(t.gone, "gone")
	}
}

func (l *Loop) noteOver(token int64, reason string) {
	l.log.Record(anvilevent.LeadershipOver, "token", token, "holder", l.leadership.current.Leader(), "reason", reason)
	l.lookNow()
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
	inflight := l.journal.inflight
	relays := l.asking.relays(l.clock.Now())
	ctx := l.ctx
	l.spawn(func() {
		if inflight != nil {
			// The row's version is known only after the commit that is on its way.
			<-inflight.settled
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
		news := anvilstorage.ReadRow(row.Table(), row.Key(), row.Value(), receipt.Version(), false)
		for addr, others := range relays {
			l.notifier.Notify(addr, others, news)
		}
		l.post(released{})
	})
}

// released says that the leadership was given up, or could not be.
type released struct{}

func (released) deliver(l *Loop) {
	l.leadership.releasing = false
	l.finish()
}

// lookNow has the row of the leadership looked at without the usual pause.
func (l *Loop) lookNow() {
	select {
	case l.nudge <- struct{}{}:
	default:
	}
}
