package anvilscheduler

import (
	"cmp"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilpolicy"
)

// requestTickets queries the advisor for a stage that lacks tickets, if there will probably be capacity when the answer
// arrives and an instance can send a query now. While a query is in flight, the stage keeps its claims.
func (l *Loop) requestTickets(p *passState, r readyStage) {
	ts := &r.stage.tickets
	if ts.queriesInFlight > 0 || p.now < ts.retryAt {
		for _, cl := range ts.claims {
			if cl.worker.candidate != nil {
				cl.worker.candidate.claimed = cl.worker.candidate.claimed.Add(cl.size)
			}
		}
		return
	}
	if l.proxies.pick(r.queue.Advice().Cost(1), p.now) == nil {
		return
	}
	names := p.workersToQuery(r)
	if len(names) == 0 {
		return
	}
	for _, part := range splitQuery(names, r.queue.Advice(), l.proxies.idle(p.now)) {
		if via := l.proxies.pick(r.queue.Advice().Cost(len(part)), p.now); via != nil {
			l.queryAdvisor(r, part, via, p.now)
		}
	}
}

// splitQuery splits the workers that a query names into queries that are sent at the same time through different
// instances, because the advisor needs time for each worker of a query and serves the instances side by side. Each part
// costs the advisor the fixed time again, so there are fewer the fewer instances are idle.
func splitQuery(names []*worker, a anvilpolicy.Advice, idle int) [][]*worker {
	parts := 1 + int((a.Cost(len(names))-a.Cost(0))/splitCost)
	parts = max(min(parts, 1+idle/idlePerPart), (len(names)+maxQueryWorkers-1)/maxQueryWorkers)
	return slices.Collect(slices.Chunk(names, (len(names)+parts-1)/parts))
}

// queryOption is a worker that a query for a stage may name.
type queryOption struct {
	candidate *candidate
	// tasks is how many tasks of the stage will probably fit.
	tasks int
	// free is the expected free capacity in parts per million of the worker, plus remoteRackPenalty when the stage's
	// data is on another rack. Options with a lower value come first.
	free   int64
	status approvalStatus
}

// approvalStatus is what a stage knows of the advisor's approval of a worker. A query prefers workers with a lower
// value.
type approvalStatus int

const (
	// statusTicketValid means that the stage has a ticket that will still be valid when the answer arrives.
	statusTicketValid approvalStatus = iota
	// statusApproved means that the worker is approved, but its ticket will have expired.
	statusApproved
	// statusUnknown means that no query of the stage has named the worker.
	statusUnknown
	// statusNoCapacityYet means that no query has named the worker, and that it will not have enough free capacity when
	// the answer arrives.
	statusNoCapacityYet
)

// workersToQuery returns the workers that a query should name, so that the stage can probably start all its tasks, and
// claims the capacity that the stage will use. It names no more workers than that, because the advisor needs
// time for each; nil when a gang can't start anyway.
func (p *passState) workersToQuery(r readyStage) []*worker {
	s, size := r.stage, r.stage.step.Reservation()
	advice := r.queue.Advice()
	minNamed := minNamedWorkers(advice)
	at := p.now + queryTravelTime + advice.Cost(minNamed)
	list := p.queryOptions(r, at)
	rate := p.loop.proxies.rateOf(r.queue.Name()).estimate()
	target, limit := targetTasks(s), p.maxNamed(s)
	s.tickets.claims = s.tickets.claims[:0]
	var names []*worker
	expected, certain, possible := 0.0, 0, 0
	for _, option := range list {
		if expected >= target && (len(names) >= minNamed || certain >= s.waiting) || len(names) == limit {
			break
		}
		probability := rate
		if option.status < statusUnknown {
			probability, certain = 1, certain+option.tasks
		}
		if expected < target && option.status != statusNoCapacityYet {
			claimed := size.Scale(int64(option.tasks)).Ratio(int64(probability*100), 100)
			option.candidate.claimed = option.candidate.claimed.Add(claimed)
			s.tickets.claims = append(s.tickets.claims, capacityClaim{worker: option.candidate.worker, size: claimed})
		}
		expected += probability * float64(option.tasks)
		possible += option.tasks
		if option.status != statusTicketValid {
			names = append(names, option.candidate.worker)
		}
	}
	if s.step.Gang() && possible < s.waiting {
		return nil
	}
	return names
}

// maxNamed returns how many workers the queries of a stage may name together. A gang needs tickets for all its tasks at
// once, and they expire while another query is answered.
func (p *passState) maxNamed(s *stage) int {
	if s.step.Gang() && p.loop.proxies.idle(p.now) > idlePerPart {
		return gangQueryParts * maxQueryWorkers
	}
	return maxQueryWorkers
}

// targetTasks returns for how many tasks a query names workers, given the expected approvals. The added constant
// matters for stages of few tasks, which a single refusal affects more. It is larger for a gang, which needs approval
// for all its tasks at once.
func targetTasks(s *stage) float64 {
	if s.step.Gang() {
		return gangQueryFactor*float64(s.waiting) + 2
	}
	return queryFactor*float64(s.waiting) + 1
}

// minNamedWorkers returns how many workers a query should name at least: as many as add a quarter to its fixed cost.
func minNamedWorkers(a anvilpolicy.Advice) int {
	workerCost := a.Cost(maxQueryWorkers) - a.Cost(0)
	if workerCost <= 0 {
		return maxQueryWorkers
	}
	return min(int(a.Cost(0)*maxQueryWorkers/4/workerCost), maxQueryWorkers)
}

// queryOptions returns the workers that may have capacity for tasks of a stage at a time, ordered by their approval
// status and then by free capacity. Workers with the least free capacity come first, which leaves whole workers to the
// tasks that need them. For a gang, those with capacity for the most tasks come first: it needs the fewest approvals
// there, and small tasks can use what remains.
func (p *passState) queryOptions(r readyStage, at anvilclock.Millis) []queryOption {
	s, size := r.stage, r.stage.step.Reservation()
	snap := p.pool(r.queue.Pool())
	large := p.large(r)
	if !large && snap.lacksCapacity(size, at) {
		return nil
	}
	projected := snap.projectedFree(at, p.now)
	var list []queryOption
	anyFits := false
	for _, c := range snap.candidates {
		if snap.avoids(c.worker, p.now) || !c.worker.hasLabel(s.step.Label()) {
			continue
		}
		free := projected[c.index].Sub(c.claimed)
		n := countFitting(size, free, s.waiting)
		// Reservations don't limit every stage that needs this size.
		anyFits = anyFits || n > 0
		if len(c.reservations) > 0 {
			free = free.Sub(c.reservedFrom(s))
			n = countFitting(size, free, s.waiting)
		}
		if limit := s.step.MaxPerWorker(); limit > 0 {
			n = min(n, limit-s.perWorker[c.worker])
		}
		// Capacity is reserved for a large task only at approved workers, so the query can't wait until there is some.
		beforeCapacity := n <= 0 && large && !s.tickets.queried[c.worker] && size.Fits(c.worker.registration.capacity)
		if n <= 0 && !beforeCapacity && !p.queriesNear(s, c) {
			continue
		}
		option := queryOption{candidate: c, tasks: max(n, 0), free: free.Dominant(c.worker.registration.capacity), status: statusUnknown}
		if beforeCapacity {
			option.tasks, option.status = 1, statusNoCapacityYet
		}
		if s.tickets.queried[c.worker] {
			t := s.tickets.find(c.worker)
			if t == nil {
				continue
			}
			option.status = statusApproved
			if t.validUntil > at {
				option.status = statusTicketValid
			}
		}
		if rack := s.step.Rack(); rack != "" && !c.worker.hasLabel(rack) {
			option.free += remoteRackPenalty
		}
		list = append(list, option)
	}
	if !anyFits && !large && s.step.Label() == "" {
		snap.shortfalls = append(snap.shortfalls, sizeShortfall{size: size, until: at})
	}
	gang := s.step.Gang()
	slices.SortFunc(list, func(x, y queryOption) int {
		byTasks := 0
		if gang {
			byTasks = cmp.Compare(y.tasks, x.tasks)
		}
		return cmp.Or(cmp.Compare(x.status, y.status), byTasks, cmp.Compare(x.free, y.free),
			cmp.Compare(x.candidate.index, y.candidate.index))
	})
	return list
}

// queryAdvisor sends a query on a traffic goroutine. A proxy that is this instance itself is called with an empty
// address.
func (l *Loop) queryAdvisor(r readyStage, workers []*worker, via *proxy, now anvilclock.Millis) {
	s := r.stage
	cost := r.queue.Advice().Cost(len(workers))
	s.tickets.queriesInFlight++
	via.inflight++
	via.queuedCost += cost
	addr := via.instance.Addr()
	if via.self {
		addr = ""
	}
	names := make([]string, 0, len(workers))
	for _, w := range workers {
		names = append(names, w.id())
	}
	m := adviceReceived{
		token: l.leadership.token, stage: s, queue: r.queue.Name(), via: via, sent: now, cost: cost, workers: workers,
		soleQuery: via.inflight == 1}
	queuedAhead := via.queuedCost - cost
	ctx, advisors, step := l.leadershipContext(), l.advisors, s.name()
	l.spawn(func() {
		ctx, cancel := withTimeout(ctx, queuedAhead+cost+queryMargin)
		defer cancel()
		m.advice, m.err = advisors.Ask(ctx, addr, step, names)
		l.post(m)
	})
	l.meter.Count("advice.asked")
}

func (m adviceReceived) deliver(l *Loop) {
	if m.token != l.leadership.token {
		return
	}
	now := l.clock.Now()
	s := m.stage
	s.tickets.queriesInFlight--
	m.via.inflight--
	m.via.queuedCost -= m.cost
	l.requestPass()
	if m.err != nil {
		m.via.backoffUntil = now + proxyBackoff
		if m.via.self {
			m.via.backoffUntil = now + queryRetryDelay
		}
		s.tickets.retryAt = now + queryRetryDelay
		l.log.Record(anvilevent.AdviceFailed, "step", s.name(), "instance", m.via.instance.Name(), "error", m.err.Error())
		l.meter.Count("advice.failed")
		return
	}
	m.via.lastReply = now
	if m.soleQuery {
		m.via.observeLatency(now - m.sent - m.cost)
	}
	byID := make(map[string]*worker, len(m.workers))
	for _, w := range m.workers {
		byID[w.id()] = w
	}
	granted := make([]ticket, 0, len(m.advice.Tickets()))
	for _, t := range m.advice.Tickets() {
		if w := byID[t.Worker()]; w != nil {
			granted = append(granted, ticket{worker: w, text: t.Text(), validUntil: now + m.advice.Validity() - ticketTravelTime})
		}
	}
	newCount := m.newlyQueried()
	l.proxies.rateOf(m.queue).observe(newCount, len(granted)-(len(m.workers)-newCount))
	s.tickets.update(m.workers, granted)
	s.tickets.retryAt = now + queryRetryDelay
	l.log.Record(anvilevent.AdviceGiven, "step", s.name(), "instance", m.via.instance.Name(), "asked", len(m.workers),
		"approved", len(granted), "took", int64(now-m.sent))
	l.meter.Observe("advice", (now - m.sent).Duration())
}

// newlyQueried returns how many of the workers were named by no earlier query of the stage.
func (m adviceReceived) newlyQueried() int {
	n := 0
	for _, w := range m.workers {
		if !m.stage.tickets.queried[w] {
			n++
		}
	}
	return n
}
