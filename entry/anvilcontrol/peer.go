package anvilcontrol

import (
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilroute"
	"anvilhold.org/lib/anvilshard"
)

// forwardCall is a request that was forwarded to another entry instance and has no result yet.
type forwardCall struct {
	req  *request
	to   string
	home bool // to is the owner of the home shard, which must handle the request
}

func (l *Loop) session(instance string) (anvilshard.Session, bool) {
	return l.directory.Session(instance, l.sessionTime())
}

// forward sends a request to an owner. It reports false if the owner has no live session.
func (l *Loop) forward(req *request, to string) bool {
	s, ok := l.session(to)
	if !ok {
		return false
	}
	l.sendForward(&forwardCall{req: req, to: to}, s)
	return true
}

// forwardHome sends a request to the owner of its home shard, or refuses it if that owner has no live session.
func (l *Loop) forwardHome(req *request, owner string) {
	s, ok := l.session(owner)
	if !ok {
		l.refuse(req, anvilerror.Refuse(anvilerror.NoOwner, "shard "+req.task.Shard()+" has no owner now", anvilerror.WithRetry(ownerRetryDelay)))
		return
	}
	l.sendForward(&forwardCall{req: req, to: owner, home: true}, s)
}

func (l *Loop) sendForward(f *forwardCall, s anvilshard.Session) {
	t := f.req.task
	f.req.tried = append(f.req.tried, f.to)
	l.log.Record(anvilevent.TaskRouted, "task", t.ID(), "team", t.Team(), "kind", string(t.Kind()), "pool", t.Pool(),
		"owner", f.to, "version", l.configStore.Snapshot().Version(), "reason", t.Shard())
	ref := l.calls.ref()
	l.calls.forwards[ref] = f
	l.peers.Submit(ref, s.Addr(), NewForward(t, f.req.hops+1, l.configStore.Snapshot().Version()))
}

// retryElsewhere lists the codes after which another owner may still be able to take the task.
var retryElsewhere = []anvilerror.Code{
	anvilerror.NoCapacity, anvilerror.QueueFull, anvilerror.OverLimit, anvilerror.Leaving, anvilerror.NoOwner, anvilerror.Unconfirmed,
	anvilerror.Lost,
}

// submitted handles the result from another entry instance. Only a request that certainly did not run is forwarded to
// a further owner.
func (l *Loop) submitted(m Submitted) {
	f, ok := popCall(l.calls.forwards, m.ref)
	if !ok {
		return
	}
	err := m.result.err
	elsewhere := err != nil && err.Outcome() == anvilerror.NotRun && slices.Contains(retryElsewhere, err.Code())
	if elsewhere && f.home {
		// The refusal may come from an instance other than the owner of the home shard, which has the record of ids.
		l.refuse(f.req, err)
		return
	}
	if !elsewhere || len(f.req.tried) >= maxOwners {
		l.deliver(f.req, m.result)
		return
	}
	t := f.req.task
	if to, ok := l.routes.Choose(t.Pool(), t.Team(), t.Size(), f.req.tried, l.clock.Now()); ok && l.forward(f.req, to) {
		return
	}
	l.deliver(f.req, m.result)
}

// exchangeSummaries exchanges summaries with every entry instance whose session row exists.
func (l *Loop) exchangeSummaries(now anvilclock.Millis) {
	summary := l.summary(now).WithIntroduction(l.self.addr, !l.instance.introduction.Done())
	for _, name := range l.sessionPeers() {
		ref := l.calls.ref()
		l.calls.exchanges[ref] = exchangeCall{instance: name, sent: now}
		l.peers.Exchange(ref, l.config.peerAddrs[name], summary)
	}
}

// summary returns the summary that this instance sends to its peers.
func (l *Loop) summary(now anvilclock.Millis) Summary {
	type key struct{ pool, domain string }
	sums := map[key]PoolSummary{}
	var order []key
	for _, w := range l.workers {
		if !w.resources.Schedulable() {
			continue
		}
		k := key{w.resources.Pool(), w.resources.Domain()}
		p, ok := sums[k]
		if !ok {
			order = append(order, k)
			p = PoolSummary{pool: k.pool, domain: k.domain, queued: l.queue.LenPool(k.pool)}
		}
		p.free = p.free.Add(w.resources.Free())
		p.largest = p.largest.Max(w.resources.Free())
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

// teamsAtLimit returns the teams whose allocations here have no free capacity.
func (l *Loop) teamsAtLimit() []string {
	var teams []string
	for _, team := range l.ledger.Teams() {
		free := l.ledger.Allocated(team).Sub(l.ledger.Used(team))
		if free.CPU() <= 0 || free.Memory() <= 0 {
			teams = append(teams, team)
		}
	}
	return teams
}

// answerExchange applies a peer's summary and answers with that of this instance, including the configuration if the
// peer's version is older.
func (l *Loop) answerExchange(m ExchangeRequest) {
	now := l.clock.Now()
	name := m.summary.instance
	if m.summary.hello && !l.config.deletedPeers[name] {
		l.config.confirmation.PeerIntroduced(name, now)
		l.config.peerAddrs[name] = m.summary.addr
	}
	// An instance whose session this one doesn't know, or has tried to delete, must not take the answer as a proof that
	// no instance reaches the table.
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

// exchanged handles a peer's answer: its summary and how current its configuration is.
func (l *Loop) exchanged(m Exchanged) {
	call, ok := popCall(l.calls.exchanges, m.ref)
	if !ok {
		return
	}
	now := l.clock.Now()
	if m.err != nil {
		// A refused connection means that the process has exited, so that it accepts no change. A peer that doesn't
		// answer may reach the table.
		if m.err.Code() == anvilerror.NoOwner {
			l.config.confirmation.PeerTableFailed(call.instance, call.sent)
			l.instance.introduction.Answered(call.instance)
			return
		}
		l.config.confirmation.PeerUnanswered(call.instance, now)
		return
	}
	s := m.summary
	switch {
	case s.instance != call.instance:
		// Another process listens at the address, so the peer's process has exited.
		l.config.confirmation.PeerTableFailed(call.instance, call.sent)
		l.instance.introduction.Answered(call.instance)
		return
	case s.version == refusedVersion:
		l.config.confirmation.PeerUnanswered(call.instance, now)
		return
	}
	l.instance.introduction.Answered(s.instance)
	l.applySummary(s, now)
	if len(s.rows) > 0 {
		l.applyConfig(s.rows)
	}
	// The peer determined the age after this instance had sent the request, so the computed time isn't later than the
	// confirmation.
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

// refusedVersion is the version in the summary with which an instance answers a peer whose session it doesn't know.
const refusedVersion = -1

// maxPeerConfirmationAge is the age up to which the confirmation of a peer counts for this instance too.
const maxPeerConfirmationAge = anvilclock.Millis(1000)
