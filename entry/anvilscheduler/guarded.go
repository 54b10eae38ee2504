package anvilscheduler

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
)

// The leader finds guards for the workers at which a start may arrive although its run isn't bound there any more. The end of the run is
// acknowledged once they have answered, or after guardPatience without them.

const (
	// guardsPerWorker is the number of guards of a worker, in addition to the leader.
	guardsPerWorker = 2
	// maxGuardTries is the number of instances that are asked for one worker.
	maxGuardTries = 4
	// guardPatience is how long an acknowledgement waits for guards. The platform accepts acknowledgements after 5 s.
	guardPatience = anvilclock.Millis(1500)
	// guardRetryDelay is the time after which guards are sought again if too few have answered.
	guardRetryDelay = anvilclock.Millis(1000)
	// guardTimeout bounds a request to a guard.
	guardTimeout = anvilclock.Millis(600)
	// guardMargin is how much longer than needed a worker is guarded, so that not each start asks for guards anew.
	guardMargin = anvilclock.Millis(3000)
)

// workerGuards is what the leader knows of the guards of a worker.
type workerGuards struct {
	// round numbers the requests; answers to earlier ones don't count.
	round int
	// token and until are what the guards of the round were asked for, askedAt is when.
	token   int64
	until   anvilclock.Millis
	askedAt anvilclock.Millis
	// peers are the addresses of the instances to ask, the next one first; open is the number of requests without an answer.
	peers []string
	open  int
	// wanted is the number of guards that the round needs, confirmed the number of those that have answered.
	wanted    int
	confirmed int
}

func (g *workerGuards) complete() bool { return g.confirmed >= g.wanted }

// guardedUntil returns the local time until which the worker needs guards: while a start of this leader may arrive there although its
// run isn't bound to it any more, or one because of which the former leader has named the worker. Other starts of former leaders don't
// count: this leader has seen no answer to any of them, so that each worker would need guards after a takeover.
func (w *worker) guardedUntil(now anvilclock.Millis) anvilclock.Millis {
	until := anvilclock.Millis(0)
	if w.exposedByFormer(now) {
		until = w.loop.leadership.leadingSince + lateOrderWindow
	}
	for key, s := range w.lateStarts {
		if (key.task.worker != w || key.task.run != key.run) && w.lacksAnswer(key, now) {
			until = max(until, s.at+lateOrderWindow)
		}
	}
	return until
}

// lacksAnswer reports whether an attempt of a start that this leader has sent may still arrive, and has had no answer for so long that it
// isn't merely on its way.
func (w *worker) lacksAnswer(key startKey, now anvilclock.Millis) bool {
	return w.sentOpen(key, now) && now-w.lateStarts[key].at >= secondStartDelay
}

// reviewGuards asks for guards of the exposed workers that need others than they have.
func (l *Loop) reviewGuards(now anvilclock.Millis) {
	if l.peers == nil {
		return
	}
	for _, w := range l.fleet.byID {
		if len(w.lateStarts) == 0 && !w.exposedByFormer(now) {
			continue
		}
		if until := w.guardedUntil(now); until > now {
			l.guardWorker(w, until, now)
		}
	}
}

// guardWorker asks instances to guard a worker until a local time, unless they do.
func (l *Loop) guardWorker(w *worker, until, now anvilclock.Millis) {
	g := &w.guards
	if w.registration.addr == "" || w.machine.State() == workerEnded || !l.mayOrder(now) {
		return
	}
	sought := g.round > 0 && g.token >= w.fence && g.until >= until
	if sought && (g.complete() || g.open > 0 || now-g.askedAt < guardRetryDelay) {
		return
	}
	peers := l.guardPeers(w)
	if len(peers) == 0 {
		return
	}
	*g = workerGuards{
		round: g.round + 1, token: w.fence, until: until + guardMargin, askedAt: now, peers: peers, wanted: min(len(peers), guardsPerWorker),
	}
	for range g.wanted {
		l.askGuard(w, now)
	}
}

// guardPeers returns the addresses of the instances to ask for a worker: those of its failure domain first, whose holds cross no link
// between domains, in an order that differs by worker.
func (l *Loop) guardPeers(w *worker) []string {
	type rankedPeer struct {
		instance anvilstorage.Instance
		far      int
		rank     uint64
	}
	var ranked []rankedPeer
	for _, p := range l.proxies.byName {
		if p.self {
			continue
		}
		far := 0
		if p.instance.Domain() != w.registration.domain {
			far = 1
		}
		ranked = append(ranked, rankedPeer{p.instance, far, xxhash.Sum64String(w.id() + "/" + p.instance.Name())})
	}
	slices.SortFunc(ranked, func(a, b rankedPeer) int { return cmp.Or(cmp.Compare(a.far, b.far), cmp.Compare(a.rank, b.rank)) })
	var out []string
	for _, p := range ranked[:min(len(ranked), maxGuardTries)] {
		out = append(out, p.instance.Addr())
	}
	return out
}

// askGuard asks the next instance on a traffic goroutine.
func (l *Loop) askGuard(w *worker, now anvilclock.Millis) {
	g := &w.guards
	addr := g.peers[0]
	g.peers = g.peers[1:]
	g.open++
	l.meter.Count("guard.asked")
	m := guardAnswered{token: l.leadership.token, worker: w, round: g.round}
	r := NewGuardRequest(w.target(), g.token, g.until-now)
	ctx, peers := l.leadershipContext(), l.peers
	l.spawn(func() {
		ctx, cancel := withTimeout(ctx, guardTimeout)
		defer cancel()
		m.err = peers.Guard(ctx, addr, r)
		l.post(m)
	})
}

// guardAnswered is the answer of an instance that was asked to guard a worker.
type guardAnswered struct {
	token  int64
	worker *worker
	round  int
	err    error
}

func (m guardAnswered) deliver(l *Loop) {
	g := &m.worker.guards
	if m.token != l.leadership.token || m.round != g.round {
		return
	}
	g.open--
	if m.err != nil {
		l.meter.Count("guard.failed")
		if len(g.peers) > 0 {
			l.askGuard(m.worker, l.clock.Now())
		}
		return
	}
	if g.confirmed++; g.complete() {
		l.releaseAcks()
		l.holdIfDue(m.worker, l.clock.Now())
	}
}

// awaitGuards asks for guards against the open starts of an end that could be acknowledged otherwise, and reports whether the
// acknowledgement has to wait for them.
func (l *Loop) awaitGuards(a *ack, now anvilclock.Millis) bool {
	if l.peers == nil || !a.open(now) {
		return false
	}
	if a.releasable == 0 {
		a.releasable = now
	}
	waits := false
	for _, s := range a.starts {
		w := s.worker
		if !w.startOpen(s.key, now) || w.machine.State() == workerEnded {
			continue
		}
		if !w.lacksAnswer(s.key, now) {
			waits = true
			continue
		}
		l.guardWorker(w, w.lateStarts[s.key].at+lateOrderWindow, now)
		if g := &w.guards; g.round > 0 && (g.token <= w.lateStarts[s.key].fence || !g.complete()) {
			waits = true
		}
	}
	return waits && now-a.releasable < guardPatience
}
