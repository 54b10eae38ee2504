package anvilscheduler

import (
	"context"
	"slices"
	"sync"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
)

// Witnesses asks other instances for confirmations.
type Witnesses interface {
	// ConfirmOutage asks the instance at an address to account for extensions of leases by the leader with a token for
	// outageConfirmation in case it becomes leader itself. It fails when the instance doesn't answer.
	ConfirmOutage(ctx context.Context, addr string, token int64) (confirmed bool, err error)
}

// Timing of confirmations.
const (
	// outageConfirmation is how long a confirmation allows the leader to extend leases, from its request.
	outageConfirmation = anvilclock.Millis(1500)
	// confirmAhead is how long before a confirmation ends the next one is requested.
	confirmAhead = anvilclock.Millis(1000)
	// witnessInterval is the time between two searches for witnesses, to which each other instance adds
	// witnessIntervalPerPeer.
	witnessInterval        = anvilclock.Millis(2000)
	witnessIntervalPerPeer = anvilclock.Millis(50)
	// witnessReadTimeout bounds the read of the stored witnesses before a claim.
	witnessReadTimeout = anvilclock.Millis(1000)
)

// witness is this instance's part in confirmations. It is safe for concurrent use.
type witness struct {
	mu sync.Mutex
	// seen is the token of the newest leadership row that was read, claimed that of this instance's newest claim unless it
	// can't be applied any more.
	seen, claimed int64
	// until is the local time until which this instance, or an earlier process at its address, may have confirmed
	// extensions.
	until anvilclock.Millis
}

// confirm confirms extensions by the leader with a token from now on, unless another may be leader.
func (w *witness) confirm(token int64, now anvilclock.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if token == 0 || token != w.seen || w.claimed > token {
		return false
	}
	w.until = max(w.until, now+outageConfirmation)
	return true
}

// observe records the token of a leadership row that was read.
func (w *witness) observe(token int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen = max(w.seen, token)
}

// claim records a claim of the leadership, and returns the local time until which this instance has confirmed extensions.
func (w *witness) claim(token int64) anvilclock.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.claimed = token
	return w.until
}

// dropClaim records that a claim can't be applied any more.
func (w *witness) dropClaim() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.claimed = 0
}

// ConfirmOutage answers the leader with a token that can't reach the store. When it returns true, this instance accounts for
// leases that the leader extends within outageConfirmation from now. It is safe for concurrent use.
func (l *Loop) ConfirmOutage(token int64) bool { return l.witness.confirm(token, l.clock.Now()) }

// witnessRequest holds the instances whose confirmation the leader with a token needs, and the local time until which
// it has one.
type witnessRequest struct {
	token int64
	addrs []string
	until anvilclock.Millis
}

// publishWitnesses updates the request that traffic goroutines read. Both the stored witnesses and those in flight have
// to confirm, because the outcome of the commit may not be known.
func (l *Loop) publishWitnesses() {
	e := &l.leadership.extension
	if !l.leading() || e.stored == nil {
		l.witnessRequest.Store(nil)
		return
	}
	addrs := slices.Concat(e.stored, e.sending)
	slices.Sort(addrs)
	l.witnessRequest.Store(&witnessRequest{token: l.leadership.token, addrs: slices.Compact(addrs), until: e.confirmedUntil})
}

// addWitnesses adds the witnesses to a commit if they have changed.
func (l *Loop) addWitnesses(b *batch) error {
	e := &l.leadership.extension
	if !l.leading() || e.found == nil || (e.stored != nil && slices.Equal(e.found, e.stored)) {
		return nil
	}
	// The leader may claim the leadership again, when the next leader hasn't stored its own witnesses yet.
	addrs := append(slices.Clone(e.found), l.self.Addr())
	row, err := anvilstorage.WitnessRow(anvilstorage.NewWitnesses(l.leadership.token, addrs))
	if err != nil {
		return err
	}
	b.tx.Set(row)
	b.witnesses, e.sending = e.found, e.found
	l.publishWitnesses()
	return nil
}

// addWitness makes an instance that has joined a witness before it has been asked, so that it is one when it claims the leadership.
func (l *Loop) addWitness(in anvilstorage.Instance) {
	e := &l.leadership.extension
	if e.found != nil && in.Addr() != l.self.Addr() && !slices.Contains(e.found, in.Addr()) {
		e.found = slices.Sorted(slices.Values(append(slices.Clone(e.found), in.Addr())))
	}
}

// publishPeers publishes the addresses of the other instances, which the leader knows from the store's feed.
func (l *Loop) publishPeers() {
	addrs := []string{}
	for _, p := range l.proxies.byName {
		if !p.self {
			addrs = append(addrs, p.instance.Addr())
		}
	}
	l.peerAddrs.Store(&addrs)
}

// witnessesFound holds the addresses of the other instances that answer, in order.
type witnessesFound struct {
	token int64
	addrs []string
}

func (m witnessesFound) deliver(l *Loop) {
	if m.token == l.leadership.token && l.leading() {
		l.leadership.extension.found = m.addrs
	}
}

// outageConfirmed means that all witnesses have confirmed extensions until a local time.
type outageConfirmed struct {
	request *witnessRequest
	until   anvilclock.Millis
}

func (m outageConfirmed) deliver(l *Loop) {
	e := &l.leadership.extension
	if r := l.witnessRequest.Load(); r == nil || r.token != m.request.token || !slices.Equal(r.addrs, m.request.addrs) {
		return
	}
	if e.confirmedUntil < l.clock.Now() {
		l.log.Record(anvilevent.OutageConfirmed, "token", m.request.token, "witnesses", len(m.request.addrs))
	}
	e.confirmedUntil = max(e.confirmedUntil, m.until)
	l.publishWitnesses()
}

// watchWitnesses finds the instances that can be witnesses while this instance is the leader.
func (l *Loop) watchWitnesses(ctx context.Context) {
	for interval := witnessInterval; sleep(ctx, interval); {
		peers := l.peerAddrs.Load()
		if peers == nil || !l.isLeader.Load() {
			interval = witnessInterval
			continue
		}
		interval = witnessInterval + witnessIntervalPerPeer*anvilclock.Millis(len(*peers))
		token := l.leaderToken.Load()
		answered := make([]bool, len(*peers))
		l.askWitnesses(ctx, *peers, 0, func(i int, _ bool) { answered[i] = true })
		m := witnessesFound{token: token, addrs: []string{}}
		for i, addr := range *peers {
			if answered[i] {
				m.addrs = append(m.addrs, addr)
			}
		}
		slices.Sort(m.addrs)
		l.post(m)
	}
}

// askWitnesses asks instances in parallel, and calls answered for those that answer, on other goroutines. It returns when all
// have answered or peerQueryTimeout has passed.
func (l *Loop) askWitnesses(ctx context.Context, addrs []string, token int64, answered func(i int, confirmed bool)) {
	ctx, cancel := withTimeout(ctx, peerQueryTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() {
			if confirmed, err := l.witnesses.ConfirmOutage(ctx, addr, token); err == nil {
				answered(i, confirmed)
			}
		})
	}
	wg.Wait()
}

// confirmOutage asks the witnesses of the leader for a confirmation, if it hasn't renewed the leadership for leaderSuspectAfter and
// the last confirmation ends soon. Reads may still be answered when commits aren't.
func (l *Loop) confirmOutage(ctx context.Context) {
	r := l.witnessRequest.Load()
	sent := l.clock.Now()
	if l.witnesses == nil || r == nil || r.until-sent > confirmAhead || sent-anvilclock.Millis(l.renewedAt.Load()) < leaderSuspectAfter {
		return
	}
	confirmed := make([]bool, len(r.addrs))
	l.askWitnesses(ctx, r.addrs, r.token, func(i int, ok bool) { confirmed[i] = ok })
	if !slices.Contains(confirmed, false) {
		l.post(outageConfirmed{request: r, until: sent + outageConfirmation})
	}
}
