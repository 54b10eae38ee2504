package anvilscheduler

import (
	"cmp"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilpolicy"
)

// requestTickets asks about a stage that lacks tickets, if it will probably have room when the answer comes
// and an instance can ask now. While an answer is on its way, the stage keeps the claim on its room.
func (l *Loop) requestTickets(p *passState, r readyStage) {
	ts := &r.stage.tickets
	if ts.queryInFlight || p.now < ts.retryAt {
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
	if via := l.proxies.pick(r.queue.Advice().Cost(len(names)), p.now); via != nil {
		l.queryAdvisor(r, names, via, p.now)
	}
}

// queryOption is a worker about which a stage may ask.
type queryOption struct {
	candidate *candidate
	// tasks is how many tasks of the stage there will probably be room for.
	tasks int
	// free is the room there, in parts of a million of the worker, and more when the data is elsewhere.
	free   int64
	status approvalStatus
}

// approvalStatus tells what is known of a worker that a stage may ask about; the best comes first.
type approvalStatus int

const (
	// statusTicketValid means that a ticket for the worker will still be valid.
	statusTicketValid approvalStatus = iota
	// statusApproved means that the worker is approved, but its ticket will have ended.
	statusApproved
	statusUnknown
	// statusNoCapacityYet means that the worker is not judged and will have no room yet.
	statusNoCapacityYet
)

// workersToQuery returns the workers to ask about, so that the stage can probably start all its tasks, and claims
// the room that it will take. It names no more than that: each name costs time of the advisor.
func (p *passState) workersToQuery(r readyStage) []*worker {
	s, size := r.stage, r.stage.step.Reservation()
	advice := r.queue.Advice()
	minNamed := minNamedWorkers(advice)
	at := p.now + queryTravelTime + advice.Cost(minNamed)
	list := p.queryOptions(r, at)
	rate := p.loop.proxies.rateOf(r.queue.Name()).estimate()
	target := targetTasks(s)
	s.tickets.claims = s.tickets.claims[:0]
	var names []*worker
	expected, certain, possible := 0.0, 0, 0
	for _, option := range list {
		if expected >= target && (len(names) >= minNamed || certain >= s.waiting) || len(names) == maxQueryWorkers {
			break
		}
		probability := rate
		if option.status < statusUnknown {
			probability, certain = 1, certain+option.tasks
		}
		if expected < target && option.status != statusNoCapacityYet {
			claimed := size.Scale(int64(option.tasks)).Ratio(int64(probability*100), 100)
			option.candidate.claimed = option.candidate.claimed.Add(claimed)
			s.tickets.claims = append(s.tickets.claims, claim{worker: option.candidate.worker, size: claimed})
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

// targetTasks returns for how many tasks a stage must expect room before it has named enough workers: chance
// weighs more where few are needed, and a gang needs all at once.
func targetTasks(s *stage) float64 {
	if s.step.Gang() {
		return gangTaskFactor*float64(s.waiting) + 2
	}
	return openTaskFactor*float64(s.waiting) + 1
}

// minNamedWorkers returns how many workers are named at least: as many as lengthen a question by a quarter.
func minNamedWorkers(a anvilpolicy.Advice) int {
	per := a.Cost(maxQueryWorkers) - a.Cost(0)
	if per <= 0 {
		return maxQueryWorkers
	}
	return min(int(a.Cost(0)*maxQueryWorkers/4/per), maxQueryWorkers)
}

// queryOptions returns the workers that may have room for tasks of a stage at a time: first those with
// tickets, then those that are known to be approved, then the others; those with the least room first,
// which leaves whole workers to the tasks that need them.
func (p *passState) queryOptions(r readyStage, at anvilclock.Millis) []queryOption {
	s, size := r.stage, r.stage.step.Reservation()
	snap := p.pool(r.queue.Pool())
	wide := p.large(r)
	if !wide && snap.lacksCapacity(size, at) {
		return nil
	}
	projected := snap.projectedFree(at, p.now)
	var list []queryOption
	anyFits := false
	for _, c := range snap.candidates {
		if c.worker.health.suspect(p.now) || !c.worker.hasLabel(s.step.Label()) {
			continue
		}
		free := projected[c.index].Sub(c.claimed)
		n := countFitting(size, free, s.waiting)
		anyFits = anyFits || n > 0
		if limit := s.step.MaxPerWorker(); limit > 0 {
			n = min(n, limit-s.perWorker[c.worker])
		}
		// Room can only be kept at workers that are known to be approved.
		beforeCapacity := n <= 0 && wide && !s.tickets.queried[c.worker] && size.Fits(c.worker.registration.capacity)
		if n <= 0 && !beforeCapacity {
			continue
		}
		option := queryOption{candidate: c, tasks: n, free: free.Dominant(c.worker.registration.capacity), status: statusUnknown}
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
	if !anyFits && !wide && s.step.Label() == "" {
		snap.shortfalls = append(snap.shortfalls, sizeShortfall{size: size, until: at})
	}
	slices.SortFunc(list, func(x, y queryOption) int {
		return cmp.Or(cmp.Compare(x.status, y.status), cmp.Compare(x.free, y.free), cmp.Compare(x.candidate.index, y.candidate.index))
	})
	return list
}

func (l *Loop) queryAdvisor(r readyStage, workers []*worker, via *proxy, now anvilclock.Millis) {
	s := r.stage
	cost := r.queue.Advice().Cost(len(workers))
	s.tickets.queryInFlight = true
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
	m := adviceReceived{token: l.leadership.token, stage: s, queue: r.queue.Name(), via: via, sent: now, cost: cost, workers: workers, soleQuery: via.inflight == 1}
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
	s.tickets.queryInFlight = false
	m.via.inflight--
	m.via.queuedCost -= m.cost
	l.requestPass()
	if m.err != nil {
		m.via.backoffUntil = now + proxyBackoff
		if m.via.self {
			m.via.backoffUntil = now + queryRetry
		}
		s.tickets.retryAt = now + queryRetry
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
	s.tickets.retryAt = now + queryRetry
	l.log.Record(anvilevent.AdviceGiven, "step", s.name(), "instance", m.via.instance.Name(), "asked", len(m.workers),
		"approved", len(granted), "took", int64(now-m.sent))
	l.meter.Observe("advice", (now - m.sent).Duration())
}

// newCount returns how many of the workers the stage asked about for the first time.
func (m adviceReceived) newlyQueried() int {
	n := 0
	for _, w := range m.workers {
		if !m.stage.tickets.queried[w] {
			n++
		}
	}
	return n
}
