package anvilcontrol

import (
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilroute"
	"anvilhold.org/lib/anvilshard"
)

// forwarded is a request that another entry instance works on.
type forwarded struct {
	req  *request
	to   string
	home bool
}

func (l *Loop) session(instance string) (anvilshard.Session, bool) {
	return l.directory.Session(instance, l.sessionTime())
}

// forward passes a request to an owner. It reports false when the owner has no session.
func (l *Loop) forward(req *request, to string) bool {
	s, ok := l.session(to)
	if !ok {
		return false
	}
	l.sendForward(&forwarded{req: req, to: to}, s)
	return true
}

// forwardHome passes a request to the owner of its home shard.
func (l *Loop) forwardHome(req *request, owner string) {
	s, ok := l.session(owner)
	if !ok {
		l.refuse(req, anvilerror.Refuse(anvilerror.NoOwner, "shard "+req.task.Shard()+" has no owner now", anvilerror.WithRetry(ownerRetryDelay)))
		return
	}
	l.sendForward(&forwarded{req: req, to: owner, home: true}, s)
}

func (l *Loop) sendForward(f *forwarded, s anvilshard.Session) {
	t := f.req.task
	f.req.tried = append(f.req.tried, f.to)
	l.log.Record(anvilevent.TaskRouted, "task", t.ID(), "team", t.Team(), "kind", string(t.Kind()), "pool", t.Pool(),
		"owner", f.to, "version", l.configStore.Snapshot().Version(), "reason", t.Shard())
	ref := l.calls.ref()
	l.calls.submits[ref] = f
	l.peers.Submit(ref, s.Addr(), NewForward(t, f.req.hops+1, l.configStore.Snapshot().Version()))
}

// retryElsewhere lists the codes after which another owner may still have room.
var retryElsewhere = []anvilerror.Code{
	anvilerror.NoRoom, anvilerror.QueueFull, anvilerror.OverLimit, anvilerror.Leaving, anvilerror.NoOwner, anvilerror.Unconfirmed,
	anvilerror.Lost,
}

// submitted takes the outcome at another entry instance. Only a request that surely did not run is
// passed on to a further owner.
func (l *Loop) submitted(m Submitted) {
	f, ok := popCall(l.calls.submits, m.ref)
	if !ok {
		return
	}
	err := m.result.err
	again := err != nil && err.Outcome() == anvilerror.NotRun && slices.Contains(retryElsewhere, err.Code())
	if again && f.home {
		// The refusal may not come from the owner of the home shard, which has the record of ids.
		l.refuse(f.req, err)
		return
	}
	if !again || len(f.req.tried) >= maxOwners {
		l.deliver(f.req, m.result)
		return
	}
	t := f.req.task
	if to, ok := l.routes.Choose(t.Pool(), t.Team(), t.Size(), f.req.tried, l.clock.Now()); ok && l.forward(f.req, to) {
		return
	}
	l.deliver(f.req, m.result)
}

// exchangeSummaries swaps summaries with every entry instance whose session row exists.
func (l *Loop) exchangeSummaries(now anvilclock.Millis) {
	summary := l.summary(now).WithIntroduction(l.self.addr, !l.instance.introduction.Done())
	for _, name := range l.sessionPeers() {
		ref := l.calls.ref()
		l.calls.exchanges[ref] = exchangeCall{instance: name, sent: now}
		l.peers.Exchange(ref, l.config.peerAddrs[name], summary)
	}
}

// summary describes this instance to its peers.
func (l *Loop) summary(now anvilclock.Millis) Summary {
	type key struct{ pool, domain string }
	sums := map[key]PoolSummary{}
	var order []key
	for _, w := range l.workers {
		if !w.spec.Schedulable() {
			continue
		}
		k := key{w.spec.Pool(), w.spec.Domain()}
		p, ok := sums[k]
		if !ok {
			order = append(order, k)
			p = PoolSummary{pool: k.pool, domain: k.domain, queued: l.queue.LenPool(k.pool)}
		}
		p.free = p.free.Add(w.spec.Free())
		p.largest = p.largest.Max(w.spec.Free())
		p.workers++
		sums[k] = p
	}
	pools := make([]PoolSummary, 0, len(order))
	for _, k := range order {
		pools = append(pools, sums[k])
	}
	confirmed := NeverConfirmed
	if l.configFeed().complete {
		confirmed = now - l.configFeed().readAt
	}
	state := l.instance.machine.State()
	return NewSummary(l.self.instance, l.configStore.Snapshot().Version(), confirmed, pools, l.teamsAtLimit(),
		state != stateServing && state != stateJoining, nil)
}

// fullTeams lists the teams without room in the parts held here.
func (l *Loop) teamsAtLimit() []string {
	var full []string
	for _, team := range l.ledger.Teams() {
		room := l.ledger.Part(team).Sub(l.ledger.Used(team))
		if room.CPU() <= 0 || room.Memory() <= 0 {
			full = append(full, team)
		}
	}
	return full
}

// answerExchange takes a peer's summary and answers with the own one, and with the configuration when the
// peer's is older.
func (l *Loop) answerExchange(m ExchangeRequest) {
	now := l.clock.Now()
	name := m.summary.instance
	if m.summary.hello && !l.config.deletedPeers[name] {
		l.config.confirmation.PeerIntroduced(name, now)
		l.config.peerAddrs[name] = m.summary.addr
	}
	// An instance whose session this one doesn't know, or has tried to delete, must not take the
	// answer for a proof that nobody reaches the table.
	if _, ok := l.config.peerAddrs[name]; !ok || l.config.deletedPeers[name] {
		m.reply <- Summary{instance: l.self.instance, version: refusedVersion}
		return
	}
	l.applySummary(m.summary, now)
	s := l.summary(now).WithIntroduction(l.self.addr, false)
	if m.summary.version < s.version {
		s.rows = l.configRows()
	}
	m.reply <- s
}

func (l *Loop) applySummary(s Summary, now anvilclock.Millis) {
	session, ok := l.session(s.instance)
	if !ok {
		return
	}
	opts := []anvilroute.PeerOption{anvilroute.WithTeamsAtLimit(s.teamsAtLimit...), anvilroute.WithLeaving(s.leaving)}
	for _, p := range s.pools {
		opts = append(opts, anvilroute.WithPool(p.pool, p.domain, p.free, p.largest, p.queued, p.workers))
	}
	l.routes.Put(anvilroute.NewPeer(s.instance, session.Domain(), session.Region(), opts...), now)
}

// exchanged takes a peer's answer: its summary and what it knows of the configuration.
func (l *Loop) exchanged(m Exchanged) {
	call, ok := popCall(l.calls.exchanges, m.ref)
	if !ok {
		return
	}
	now := l.clock.Now()
	if m.err != nil {
		// A refused connection means that the process has gone, and a process that has gone accepts no
		// change. A peer that doesn't answer may reach the table.
		if m.err.Code() == anvilerror.NoOwner {
			l.config.confirmation.PeerTableFailed(call.instance, call.sent)
			l.instance.introduction.Reached(call.instance)
			return
		}
		l.config.confirmation.PeerUnanswered(call.instance, now)
		return
	}
	s := m.summary
	switch {
	case s.instance != call.instance:
		// Another process listens at the address, so the one that was asked has gone.
		l.config.confirmation.PeerTableFailed(call.instance, call.sent)
		l.instance.introduction.Reached(call.instance)
		return
	case s.version == refusedVersion:
		l.config.confirmation.PeerUnanswered(call.instance, now)
		return
	}
	l.instance.introduction.Reached(s.instance)
	l.applySummary(s, now)
	if len(s.rows) > 0 {
		l.applyConfig(s.rows)
	}
	// The peer's confirmation is at least as old as it said when the question was sent.
	at := call.sent - s.confirmationAge
	switch {
	case s.version > l.configStore.Snapshot().Version():
		l.config.confirmation.PeerUnanswered(call.instance, now)
	case s.confirmationAge == NeverConfirmed || s.confirmationAge > maxPeerConfirmationAge:
		l.config.confirmation.PeerTableFailed(call.instance, call.sent)
	default:
		l.config.confirmation.PeerConfirmed(call.instance, at)
	}
}

// refusedVersion marks the summary of an instance that doesn't know the session of the one that asks.
const refusedVersion = -1

// peerFresh is the age up to which a peer's own confirmation is passed on.
const maxPeerConfirmationAge = anvilclock.Millis(1000)
