package anvilscheduler

import (
	"cmp"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilpolicy"
)

// askForTickets asks about a stage that lacks tickets, if it will probably have room when the answer comes
// and an instance can ask now. While an answer is on its way, the stage keeps the claim on its room.
func (l *Loop) askForTickets(p *placing, c candidate) {
	tk := &c.s.tickets
	if tk.asking || p.now < tk.again {
		for _, k := range tk.claims {
			if k.w.seat != nil {
				k.w.seat.claimed = k.w.seat.claimed.Add(k.room)
			}
		}
		return
	}
	if l.asking.pick(c.queue.Advice().Cost(1), p.now) == nil {
		return
	}
	names := p.toAsk(c)
	if len(names) == 0 {
		return
	}
	if k := l.asking.pick(c.queue.Advice().Cost(len(names)), p.now); k != nil {
		l.ask(c, names, k, p.now)
	}
}

// prospect is a worker about which a stage may ask.
type prospect struct {
	k *seat
	// fits is how many tasks of the stage there will probably be room for.
	fits int
	// free is the room there, in parts of a million of the worker, and more when the data is elsewhere.
	free     int64
	standing standing
}

// standing tells what is known of a worker that a stage may ask about; the best comes first.
type standing int

const (
	// hasTicket means that a ticket for the worker will still be valid.
	hasTicket standing = iota
	// approved means that the worker is approved, but its ticket will have ended.
	approved
	unjudged
	// later means that the worker is not judged and will have no room yet.
	later
)

// toAsk returns the workers to ask about, so that the stage can probably start all its tasks, and claims
// the room that it will take. It names no more than that: each name costs time of the advisor.
func (p *placing) toAsk(c candidate) []*worker {
	s, room := c.s, c.s.step.Reservation()
	advice := c.queue.Advice()
	least := leastNames(advice)
	by := p.now + askTravel + advice.Cost(least)
	list := p.prospects(c, by)
	share := p.loop.asking.rateOf(c.queue.Name()).share()
	want := wanted(s)
	s.tickets.claims = s.tickets.claims[:0]
	var names []*worker
	expected, sure, possible := 0.0, 0, 0
	for _, pr := range list {
		if expected >= want && (len(names) >= least || sure >= s.open) || len(names) == askWorkers {
			break
		}
		chance := share
		if pr.standing < unjudged {
			chance, sure = 1, sure+pr.fits
		}
		if expected < want && pr.standing != later {
			take := room.Scale(int64(pr.fits)).Ratio(int64(chance*100), 100)
			pr.k.claimed = pr.k.claimed.Add(take)
			s.tickets.claims = append(s.tickets.claims, claim{w: pr.k.w, room: take})
		}
		expected += chance * float64(pr.fits)
		possible += pr.fits
		if pr.standing != hasTicket {
			names = append(names, pr.k.w)
		}
	}
	if s.step.Gang() && possible < s.open {
		return nil
	}
	return names
}

// wanted returns for how many tasks a stage must expect room before it has named enough workers: chance
// weighs more where few are needed, and a gang needs all at once.
func wanted(s *stage) float64 {
	if s.step.Gang() {
		return gangNames*float64(s.open) + 2
	}
	return openNames*float64(s.open) + 1
}

// leastNames returns how many workers are named at least: as many as lengthen a question by a quarter.
func leastNames(a anvilpolicy.Advice) int {
	per := a.Cost(askWorkers) - a.Cost(0)
	if per <= 0 {
		return askWorkers
	}
	return min(int(a.Cost(0)*askWorkers/4/per), askWorkers)
}

// prospects returns the workers that may have room for tasks of a stage at a time: first those with
// tickets, then those that are known to be approved, then the others; those with the least room first,
// which leaves whole workers to the tasks that need them.
func (p *placing) prospects(c candidate, by anvilclock.Millis) []prospect {
	s, room := c.s, c.s.step.Reservation()
	b := p.boardOf(c.queue.Pool())
	wide := p.wide(c)
	if !wide && b.barren(room, by) {
		return nil
	}
	soon := b.soon(by, p.now)
	var list []prospect
	fit := false
	for _, k := range b.seats {
		if k.w.health.suspect(p.now) || !k.w.labelled(s.step.Label()) {
			continue
		}
		free := soon[k.index].Sub(k.claimed)
		n := times(room, free, s.open)
		fit = fit || n > 0
		if most := s.step.MaxPerWorker(); most > 0 {
			n = min(n, most-s.perWorker[k.w])
		}
		// Room can only be kept at workers that are known to be approved.
		early := n <= 0 && wide && !s.tickets.judged[k.w] && room.Fits(k.w.registration.capacity)
		if n <= 0 && !early {
			continue
		}
		pr := prospect{k: k, fits: n, free: free.Dominant(k.w.registration.capacity), standing: unjudged}
		if early {
			pr.fits, pr.standing = 1, later
		}
		if s.tickets.judged[k.w] {
			t := s.tickets.find(k.w)
			if t == nil {
				continue
			}
			pr.standing = approved
			if t.until > by {
				pr.standing = hasTicket
			}
		}
		if rack := s.step.Rack(); rack != "" && !k.w.labelled(rack) {
			pr.free += scoreRack
		}
		list = append(list, pr)
	}
	if !fit && !wide && s.step.Label() == "" {
		b.full = append(b.full, shortfall{room: room, by: by})
	}
	slices.SortFunc(list, func(x, y prospect) int {
		return cmp.Or(cmp.Compare(x.standing, y.standing), cmp.Compare(x.free, y.free), cmp.Compare(x.k.index, y.k.index))
	})
	return list
}

func (l *Loop) ask(c candidate, asked []*worker, k *asker, now anvilclock.Millis) {
	s := c.s
	cost := c.queue.Advice().Cost(len(asked))
	s.tickets.asking = true
	k.calls++
	k.load += cost
	addr := k.instance.Addr()
	if k.self {
		addr = ""
	}
	names := make([]string, 0, len(asked))
	for _, w := range asked {
		names = append(names, w.id())
	}
	m := advised{token: l.leadership.token, s: s, queue: c.queue.Name(), asker: k, sent: now, cost: cost, asked: asked, alone: k.calls == 1}
	ahead := k.load - cost
	ctx, advisors, step := l.leadershipContext(), l.advisors, s.name()
	l.spawn(func() {
		ctx, cancel := withTimeout(ctx, ahead+cost+askMargin)
		defer cancel()
		m.advice, m.err = advisors.Ask(ctx, addr, step, names)
		l.post(m)
	})
	l.meter.Count("advice.asked")
}

func (m advised) deliver(l *Loop) {
	if m.token != l.leadership.token {
		return
	}
	now := l.clock.Now()
	s := m.s
	s.tickets.asking = false
	m.asker.calls--
	m.asker.load -= m.cost
	l.wake()
	if m.err != nil {
		m.asker.rest = now + askRest
		if m.asker.self {
			m.asker.rest = now + askRetry
		}
		s.tickets.again = now + askRetry
		l.log.Record(anvilevent.AdviceFailed, "step", s.name(), "instance", m.asker.instance.Name(), "error", m.err.Error())
		l.meter.Count("advice.failed")
		return
	}
	m.asker.heard = now
	if m.alone {
		m.asker.learnTrip(now - m.sent - m.cost)
	}
	byID := make(map[string]*worker, len(m.asked))
	for _, w := range m.asked {
		byID[w.id()] = w
	}
	granted := make([]ticket, 0, len(m.advice.Tickets()))
	for _, t := range m.advice.Tickets() {
		if w := byID[t.Worker()]; w != nil {
			granted = append(granted, ticket{worker: w, text: t.Text(), until: now + m.advice.Validity() - answerTravel})
		}
	}
	fresh := m.fresh()
	l.asking.rateOf(m.queue).learn(fresh, len(granted)-(len(m.asked)-fresh))
	s.tickets.learn(m.asked, granted)
	s.tickets.again = now + askRetry
	l.log.Record(anvilevent.AdviceGiven, "step", s.name(), "instance", m.asker.instance.Name(), "asked", len(m.asked),
		"approved", len(granted), "took", int64(now-m.sent))
	l.meter.Observe("advice", (now - m.sent).Duration())
}

// fresh returns how many of the workers the stage asked about for the first time.
func (m advised) fresh() int {
	n := 0
	for _, w := range m.asked {
		if !m.s.tickets.judged[w] {
			n++
		}
	}
	return n
}
