package anvilscheduler

import (
	"cmp"
	"slices"
	"strings"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilpolicy"
)

// urgency orders stages: first those whose jobs can still be on time, then those that will be late, then
// those that their team sent beyond its share, then those that will be too late to matter; within these by
// the latest time at which they must begin.
type urgency struct {
	band   int
	latest anvilclock.Millis
	// pressed says that the job can no longer wait for others.
	pressed bool
}

// Bands of urgency.
const (
	bandTimely = iota
	bandLate
	bandExcess
	bandHopeless
)

// candidate is a stage in a pass.
type candidate struct {
	s       *stage
	queue   *anvilpolicy.Queue
	urgency urgency
}

// placing is the state of one pass.
type placing struct {
	loop *Loop
	now  anvilclock.Millis
	// boards are the pictures of the pools.
	boards   map[string]*board
	reserved int
	short    shortage
}

// shortage counts the stages that could not start all their tasks, by what they lack.
type shortage struct {
	limit  int
	advice int
	ticket int
	room   int
}

// pass looks at all stages with waiting tasks, in order of urgency, and binds what fits.
func (l *Loop) pass(now anvilclock.Millis) {
	l.work.dirty, l.work.passed = false, now
	if l.config.policy == nil {
		return
	}
	list := l.candidates(now)
	p := &placing{loop: l, now: now, boards: map[string]*board{}}
	for _, c := range list {
		p.restore(c)
	}
	for _, c := range list {
		p.release(c)
		waits := l.placeStage(p, c)
		if waits && c.s.open > 0 && c.queue.Advice().Needed() {
			l.askForTickets(p, c)
		}
		p.claimSaved(c)
	}
	took := l.clock.Now() - now
	l.work.pause = max(passGap, took*passShare)
	l.meter.Observe("pass", took.Duration())
	l.summarize(p, len(list))
}

// summaryEvery is the pause between two summaries of what waits and why.
const summaryEvery = anvilclock.Millis(1000)

// summarize tells once a second what waits for what, and how full the pools are.
func (l *Loop) summarize(p *placing, ready int) {
	l.meter.Gauge("stages.ready", int64(ready))
	if p.now-l.work.summarized < summaryEvery {
		return
	}
	l.work.summarized = p.now
	l.log.Record(anvilevent.PassSummary, "jobs", len(l.work.jobs), "ready", ready, "limit", p.short.limit, "advice", p.short.advice,
		"ticket", p.short.ticket, "room", p.short.room)
	for name, pool := range l.fleet.pools {
		if len(pool) == 0 {
			continue
		}
		b := p.boardOf(name)
		l.log.Record(anvilevent.PoolSummary, "pool", name, "workers", len(pool), "usable", len(b.seats),
			"used", b.used.String(), "capacity", b.capacity.String())
	}
}

func (l *Loop) candidates(now anvilclock.Millis) []candidate {
	list := make([]candidate, 0, len(l.work.ready))
	for s := range l.work.ready {
		q, ok := l.queueOf(s.job)
		if !ok {
			continue
		}
		list = append(list, candidate{s: s, queue: q, urgency: l.urgencyOf(s, q, now)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.urgency.band, b.urgency.band), cmp.Compare(a.urgency.latest, b.urgency.latest),
			strings.Compare(a.s.job.id(), b.s.job.id()), cmp.Compare(a.s.index, b.s.index))
	})
	return list
}

func (l *Loop) urgencyOf(s *stage, q *anvilpolicy.Queue, now anvilclock.Millis) urgency {
	begin := s.job.arrived
	if s.job.sub.Spec().Repeat().Timed() {
		begin = s.begins
	}
	if s.step.LongRunning() {
		return urgency{band: bandTimely, latest: begin}
	}
	objective := s.job.objectiveIn(q)
	latest := begin + objective - s.tail - q.Advice().Cost(adviceWorkers)*anvilclock.Millis(s.depth)
	switch {
	case s.job.excess && now <= latest+(hopeless-1)*objective:
		return urgency{band: bandExcess, latest: latest}
	case now <= latest:
		return urgency{band: bandTimely, latest: latest, pressed: now >= pressedBy(latest, objective)}
	case now <= latest+(hopeless-1)*objective:
		return urgency{band: bandLate, latest: latest, pressed: true}
	}
	return urgency{band: bandHopeless, latest: latest}
}

// objectiveIn returns the time in which the job should be done. It changes only with the queue's
// configuration.
func (j *job) objectiveIn(q *anvilpolicy.Queue) anvilclock.Millis {
	if j.objectiveOf != q {
		j.objectiveOf, j.objective = q, q.Objective(j.sub.Spec().CriticalPath(q.Advice().Cost(adviceWorkers)))
	}
	return j.objective
}

// lack counts what a stage lacks; room says that there is some at approved workers.
func (p *placing) lack(c candidate, room bool) {
	switch {
	case c.queue.Advice().Needed() && !c.s.tickets.known():
		p.short.advice++
	case room:
		p.short.ticket++
	default:
		p.short.room++
	}
}
