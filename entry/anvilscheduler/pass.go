package anvilscheduler

import (
	"cmp"
	"slices"
	"strings"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
)

// urgency orders stages: first those whose jobs can still meet their objective, then those that will be late, then
// those that their team submitted beyond its share, then those whose completion would have no value. Stages of a band
// are ordered by latestStart.
type urgency struct {
	band int
	// latestStart is the time by which the stage must start for its job to meet the objective.
	latestStart anvilclock.Millis
	// urgent means that the stage need not leave headroom to more urgent queues.
	urgent bool
}

// Bands of urgency, the most urgent first.
const (
	bandTimely = iota
	bandLate
	bandOverShare
	bandWorthless
)

// readyStage is a stage that has waiting tasks and whose predecessors are done.
type readyStage struct {
	stage   *stage
	queue   *anvilpolicy.Queue
	urgency urgency
}

// passState is the state that the stages of one scheduling pass share.
type passState struct {
	loop  *Loop
	now   anvilclock.Millis
	pools map[string]*poolSnapshot
	// reservations counts the stages that have reserved capacity in the pass.
	reservations int
	// attempts counts the stages without a reservation that have searched the workers for capacity, attemptsLeftOut means that
	// others may not.
	attempts        int
	attemptsLeftOut bool
	shortages       shortageCounts
	// nearAhead is, for each rack of a pool, the size of the tasks that wait for places there and are more urgent than the
	// current stage.
	nearAhead map[nearKey]anvilsize.Size
}

// shortageCounts counts the stages that could not start all their tasks, by the first reason that was found.
type shortageCounts struct {
	limit    int
	advice   int
	ticket   int
	capacity int
	near     int
}

// pass binds waiting tasks to workers, stage by stage in order of urgency.
func (l *Loop) pass(now anvilclock.Millis) {
	l.workload.passRequested, l.workload.lastPass = false, now
	if l.state.policy == nil || !l.knowsEvacuations(now) {
		return
	}
	list := l.readyStages(now)
	p := &passState{loop: l, now: now, pools: map[string]*poolSnapshot{}, nearAhead: map[nearKey]anvilsize.Size{}}
	p.updateBacklog(list)
	for _, r := range list {
		p.restoreReservation(r)
	}
	for _, r := range list {
		p.releaseReservation(r)
		blocked := l.placeStage(p, r)
		if blocked && r.stage.waiting > 0 && r.queue.Advice().Needed() {
			l.requestTickets(p, r)
		}
	}
	p.endAttempts()
	l.moveEvacuated(p)
	took := l.clock.Now() - now
	l.workload.passInterval = max(minPassInterval, took*passIdleFactor)
	l.meter.Observe("pass", took.Duration())
	l.logSummary(p, len(list))
}

// summaryInterval is the time between two logged summaries.
const summaryInterval = anvilclock.Millis(1000)

// logSummary logs, once per summaryInterval, how many stages could not start for which reason, and the use of the pools.
func (l *Loop) logSummary(p *passState, ready int) {
	l.meter.Gauge("stages.ready", int64(ready))
	l.meter.Gauge("jobs.parked", int64(l.workload.live.count))
	if p.now-l.workload.lastSummary < summaryInterval {
		return
	}
	l.workload.lastSummary = p.now
	l.log.Record(anvilevent.PassSummary, append([]any{"jobs", len(l.workload.jobs), "parked", l.workload.live.count, "ready", ready, "limit", p.shortages.limit,
		"advice", p.shortages.advice,
		"ticket", p.shortages.ticket, "room", p.shortages.capacity, "near", p.shortages.near}, l.turnFields()...)...)
	for name, pool := range l.fleet.pools {
		if len(pool) == 0 {
			continue
		}
		snap := p.pool(name)
		l.log.Record(anvilevent.PoolSummary, "pool", name, "workers", len(pool), "usable", len(snap.candidates),
			"used", snap.used.String(), "capacity", snap.capacity.String())
	}
}

func (l *Loop) readyStages(now anvilclock.Millis) []readyStage {
	list := make([]readyStage, 0, len(l.workload.ready))
	for s := range l.workload.ready {
		q, ok := l.queueOf(s.job)
		if !ok {
			continue
		}
		list = append(list, readyStage{stage: s, queue: q, urgency: l.urgencyOf(s, q, now)})
	}
	slices.SortFunc(list, func(a, b readyStage) int {
		return cmp.Or(cmp.Compare(a.urgency.band, b.urgency.band), cmp.Compare(a.urgency.latestStart, b.urgency.latestStart),
			strings.Compare(a.stage.job.id(), b.stage.job.id()), cmp.Compare(a.stage.occurrence.number, b.stage.occurrence.number),
			cmp.Compare(a.stage.index, b.stage.index))
	})
	return list
}

func (l *Loop) urgencyOf(s *stage, q *anvilpolicy.Queue, now anvilclock.Millis) urgency {
	begin := s.job.arrived
	if s.job.sub.Spec().Repeat().Timed() {
		begin = s.readyAt - s.occurrence.lateness
	}
	if s.step.LongRunning() {
		return urgency{band: bandTimely, latestStart: begin}
	}
	objective := s.job.objectiveIn(q)
	latest := begin + objective - s.criticalPath - q.Advice().Cost(typicalQueryWorkers)*anvilclock.Millis(s.depth)
	switch {
	case s.job.overShare && now <= latest+(worthlessFactor-1)*objective:
		return urgency{band: bandOverShare, latestStart: latest}
	case now <= latest:
		return urgency{band: bandTimely, latestStart: latest, urgent: now >= urgentFrom(latest, objective)}
	case now <= latest+(worthlessFactor-1)*objective:
		return urgency{band: bandLate, latestStart: latest, urgent: true}
	}
	return urgency{band: bandWorthless, latestStart: latest}
}

// objectiveIn returns the time in which the job should be done. The result is cached until the queue's configuration
// changes.
func (j *job) objectiveIn(q *anvilpolicy.Queue) anvilclock.Millis {
	if j.objectiveQueue != q {
		j.objectiveQueue, j.objective = q, q.Objective(j.sub.Spec().CriticalPath(q.Advice().Cost(typicalQueryWorkers)))
	}
	return j.objective
}

// countShortage counts what a stage lacks. With hasCapacity, approved workers have capacity for it and only tickets are
// missing.
func (p *passState) countShortage(r readyStage, hasCapacity bool) {
	switch {
	case r.queue.Advice().Needed() && !r.stage.tickets.answered():
		p.shortages.advice++
	case hasCapacity:
		p.shortages.ticket++
	default:
		p.shortages.capacity++
	}
}
