package anvilscheduler

import (
	"strings"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
)

// tickets is what the advisor has said about a stage. Which workers it approves does not change; the
// tickets lapse.
type tickets struct {
	asking bool
	again  anvilclock.Millis
	// byID holds an entry for each worker that the advisor was asked about.
	byID map[string]ticket
}

type ticket struct {
	approved bool
	text     string
	until    anvilclock.Millis
}

// judged reports whether the advisor was asked about a worker.
func (t *tickets) judged(worker string) bool {
	_, ok := t.byID[worker]
	return ok
}

func (t *tickets) approved(worker string) bool { return t.byID[worker].approved }

func (t *tickets) valid(worker string, at anvilclock.Millis) bool { return t.byID[worker].until > at }

// drop makes a ticket that was refused invalid.
func (t *tickets) drop(worker string) {
	if k, ok := t.byID[worker]; ok {
		k.until = 0
		t.byID[worker] = k
	}
}

// asking is who can ask the advisor. It takes one question at a time from each instance.
type asking struct {
	askers map[string]*asker
}

type asker struct {
	instance anvilstorage.Instance
	// calls is the number of questions on their way, load the time that the advisor needs for them.
	calls int
	load  anvilclock.Millis
	rest  anvilclock.Millis
	self  bool
}

func newAsking(self anvilstorage.Instance) asking {
	return asking{askers: map[string]*asker{self.Name(): {instance: self, self: true}}}
}

func (a *asking) add(in anvilstorage.Instance) {
	if old := a.askers[in.Name()]; old != nil && old.instance.Addr() == in.Addr() {
		return
	}
	a.askers[in.Name()] = &asker{instance: in}
}

func (a *asking) remove(name string) {
	if k := a.askers[name]; k != nil && !k.self {
		delete(a.askers, name)
	}
}

// pick returns the instance that has a question answered first; nil when all have enough to do. Short
// questions are sent ahead of the answers to others, because the way to the advisor takes longer than
// they do.
func (a *asking) pick(cost, now anvilclock.Millis) *asker {
	var best *asker
	for _, k := range a.askers {
		if now < k.rest || (k.calls > 0 && k.load+cost > askAhead) {
			continue
		}
		if best == nil || k.load < best.load || (k.load == best.load && strings.Compare(k.instance.Name(), best.instance.Name()) < 0) {
			best = k
		}
	}
	return best
}

// askForTickets asks about a stage that lacks tickets, if an instance can ask now.
func (l *Loop) askForTickets(p *placing, c candidate) {
	tk, now := &c.s.tickets, p.now
	if tk.asking || now < tk.again {
		return
	}
	k := l.asking.pick(c.queue.Advice().Cost(1), now)
	if k == nil {
		return
	}
	if names := l.toAsk(p, c); len(names) > 0 {
		l.ask(c, names, k, now)
	}
}

// toAsk returns the workers about which a stage must ask: those that it has not asked about yet, and the
// approved ones whose tickets lapse. Naming them all costs the advisor little, and lets the tasks go
// wherever there is room when the answer comes.
func (l *Loop) toAsk(p *placing, c candidate) []string {
	s := c.s
	by := p.now + c.queue.Advice().Cost(len(s.tasks)) + askTravel
	var out []string
	for _, w := range l.fleet.pools[c.queue.Pool()] {
		if len(out) == askWorkers {
			break
		}
		if w.listed.draining || w.machine.State() != workerReady || !w.labelled(s.step.Label()) || !s.step.Room().Fits(w.listed.capacity) {
			continue
		}
		if !s.tickets.judged(w.id()) || (s.tickets.approved(w.id()) && !s.tickets.valid(w.id(), by)) {
			out = append(out, w.id())
		}
	}
	return out
}

func (l *Loop) ask(c candidate, names []string, k *asker, now anvilclock.Millis) {
	s := c.s
	cost := c.queue.Advice().Cost(len(names))
	s.tickets.asking = true
	k.calls++
	k.load += cost
	addr := k.instance.Addr()
	if k.self {
		addr = ""
	}
	m := advised{token: l.tenure.token, s: s, asker: k, sent: now, cost: cost, names: names}
	ahead := k.load - cost
	ctx, advisors, step := l.tenureContext(), l.advisors, s.name()
	l.spawn(func() {
		ctx, cancel := withTimeout(ctx, ahead+cost+askMargin)
		defer cancel()
		m.advice, m.err = advisors.Ask(ctx, addr, step, names)
		l.post(m)
	})
	l.meter.Count("advice.asked")
}

func (m advised) deliver(l *Loop) {
	if m.token != l.tenure.token {
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
	if s.tickets.byID == nil {
		s.tickets.byID = map[string]ticket{}
	}
	for _, name := range m.names {
		s.tickets.byID[name] = ticket{}
	}
	for _, t := range m.advice.Tickets() {
		s.tickets.byID[t.Worker()] = ticket{approved: true, text: t.Text(), until: now + m.advice.Validity() - answerTravel}
	}
	s.tickets.again = now + askRetry
	l.log.Record(anvilevent.AdviceGiven, "step", s.name(), "instance", m.asker.instance.Name(),
		"approved", len(m.advice.Tickets()), "took", int64(now-m.sent))
	l.meter.Observe("advice", (now - m.sent).Duration())
}
