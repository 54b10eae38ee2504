package anvilscheduler

import (
	"slices"
	"strings"

	"anvilhold.org/lib/anviladmission"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilorder"
	"anvilhold.org/lib/anvilsize"
)

// backlogInterval is the least time between two updates of the backlog. In a full pool, passes run more often than that,
// and each update looks at all running tasks.
const backlogInterval = anvilclock.Millis(200)

// maxSearchedStages bounds the stages of a pool that one search looks at, the most urgent first. The control loop waits for it.
const maxSearchedStages = 500

// updateBacklog decides for each pool which of the ready stages get no capacity while their jobs have a value, and publishes the
// shortages. There is none in a pool in which no stage is late.
func (p *passState) updateBacklog(list []readyStage) {
	if !p.loop.refusals || p.now-p.loop.workload.lastBacklog < backlogInterval {
		return
	}
	p.loop.workload.lastBacklog = p.now
	pools, late := map[string][]readyStage{}, map[string]bool{}
	for _, r := range p.limitedByPools(list) {
		pool := r.queue.Pool()
		late[pool] = late[pool] || r.urgency.band == bandLate
		if len(pools[pool]) < maxSearchedStages {
			pools[pool] = append(pools[pool], r)
		}
	}
	var shortages []anviladmission.Shortage
	for pool, waiting := range pools {
		if late[pool] && p.contested(pool, waiting) {
			shortages = append(shortages, p.shortagesOf(pool, waiting, p.classify(pool, waiting))...)
		}
	}
	p.loop.publishBacklog(shortages, p.now)
}

// limitedByPools returns the stages that only the capacity of their pool can keep waiting. Long-running stages, those that need
// certain workers, and those beyond their team's limit or share or without a value are left out: that they wait says nothing about
// the pool.
func (p *passState) limitedByPools(list []readyStage) []readyStage {
	var out []readyStage
	used := map[string]anvilsize.Size{}
	for _, r := range list {
		step := r.stage.step
		if step.LongRunning() || step.Label() != "" || step.Rack() != "" || r.urgency.band > bandLate {
			continue
		}
		if team, ok := p.loop.state.policy.Team(r.stage.job.sub.Team()); ok {
			with := used[team.Name()].Add(step.Size().Scale(int64(r.stage.waiting)))
			if !team.WithinLimit(p.loop.workload.usage[team.Name()].Add(with)) {
				continue
			}
			used[team.Name()] = with
		}
		out = append(out, r)
	}
	return out
}

// There is no shortage while at most one in minUsableDivisor workers of a pool is schedulable: a new leader has to reach
// them first, and knows too little of the capacity.
const minUsableDivisor = 2

// minContestedUse is the use of a pool, in parts per million, from which on there can be a shortage. Below it, what waits has
// other reasons than the capacity.
const minContestedUse = 750_000

// contested reports whether a pool has no capacity for all stages that wait for it.
func (p *passState) contested(pool string, waiting []readyStage) bool {
	snap := p.pool(pool)
	if snap.used.Dominant(snap.capacity) <= minContestedUse {
		return false
	}
	needed := snap.used
	for _, r := range waiting {
		needed = needed.Add(r.stage.waitingSize())
	}
	return len(snap.candidates)*minUsableDivisor > len(p.loop.fleet.pools[pool]) && !needed.Fits(snap.capacity)
}

// waitingSize returns the capacity that the waiting tasks of a stage need.
func (s *stage) waitingSize() anvilsize.Size { return s.step.Reservation().Scale(int64(s.waiting)) }

// classify returns by when the pool has capacity for each of the stages that wait for it.
func (p *passState) classify(pool string, waiting []readyStage) []anvilorder.Class {
	snap := p.pool(pool)
	forecast := anvilorder.NewForecast(p.now, snap.capacity)
	for _, c := range snap.candidates {
		for t := range c.worker.tasks {
			forecast.Occupy(t.stage.job.sub.Queue(), t.stage.step.Reservation(), t.expectedEnd(p.now))
		}
	}
	stages := make([]anvilorder.Stage, 0, len(waiting))
	for _, r := range waiting {
		length := p.loop.runLengthOf(r.queue.Name()).expected(r.stage.step.Estimate())
		last := r.urgency.latestStart + (worthlessFactor-1)*r.stage.job.objectiveIn(r.queue)
		stages = append(stages, anvilorder.NewStage(r.queue.Name(), r.queue.Priority(), r.stage.waitingSize(), length,
			r.urgency.latestStart, last, anvilorder.WithCost(r.stage.job.remainingWork(snap.capacity))))
	}
	return forecast.Classify(stages)
}

// remainingWork returns the estimated time of the tasks of a job that have not succeeded, each times its share of a total
// size in parts per million.
func (j *job) remainingWork(total anvilsize.Size) int64 {
	sum := int64(0)
	for s := range j.stages() {
		sum += s.step.Reservation().Dominant(total) * int64(s.step.Estimate()) * int64(s.size()-s.done)
	}
	return sum
}

// shortageSummary is what the unmet stages of a queue say about new jobs.
type shortageSummary struct {
	// demand is that of the job with the least work of those that have not begun and could still meet their objectives if
	// there were capacity.
	demand anviladmission.Demand
	// work is the work of all of them.
	work anvilsize.Size
}

// shortagesOf returns the shortages of a pool. Only a job that has come recently shows that a new one would get no capacity:
// others may have waited too long.
func (p *passState) shortagesOf(pool string, waiting []readyStage, classes []anvilorder.Class) []anviladmission.Shortage {
	total, queues := p.pool(pool).capacity, map[string]*shortageSummary{}
	for i, r := range waiting {
		if classes[i] != anvilorder.Unmet {
			continue
		}
		q := queues[r.queue.Name()]
		if q == nil {
			q = &shortageSummary{}
			queues[r.queue.Name()] = q
		}
		q.work = q.work.Add(r.stage.waitingSize().Scale(int64(r.stage.step.Estimate())))
		if !r.fresh(p.now) {
			continue
		}
		demand := anviladmission.DemandOf(r.stage.job.sub.Spec(), total)
		if q.demand.Cost() == 0 || demand.Cost() < q.demand.Cost() {
			q.demand = demand
		}
	}
	var out []anviladmission.Shortage
	for name, q := range queues {
		if q.demand.Cost() > 0 {
			out = append(out, anviladmission.NewShortage(name, total, q.demand, timeFor(q.work, total)))
		}
	}
	return out
}

// timeFor returns how long work takes that has the whole of a total size; it is a size times milliseconds.
func timeFor(work, total anvilsize.Size) anvilclock.Millis {
	longest := int64(0)
	for _, d := range anvilsize.Dimensions() {
		if total.In(d) > 0 {
			longest = max(longest, work.In(d)/total.In(d))
		}
	}
	return anvilclock.Millis(longest)
}

// fresh reports whether no task of the job of a stage has begun, and the job could still meet its objective.
func (r readyStage) fresh(now anvilclock.Millis) bool {
	return r.stage.index == 0 && r.stage.job.bound == 0 && r.stage.done == 0 && r.urgency.latestStart >= now
}

// publishBacklog makes the shortages of the pools known: to this instance at once, and to the others with the next commit.
func (l *Loop) publishBacklog(shortages []anviladmission.Shortage, now anvilclock.Millis) {
	slices.SortFunc(shortages, func(a, b anviladmission.Shortage) int { return strings.Compare(a.Queue(), b.Queue()) })
	was := l.state.backlog
	l.state.backlog = anviladmission.NewBacklog(now, shortages...)
	if was.Empty() && l.state.backlog.Empty() {
		return
	}
	l.meter.Gauge("backlog.shortages", int64(len(shortages)))
	if was.Empty() != l.state.backlog.Empty() {
		l.log.Record(anvilevent.BacklogChanged, "shortages", l.state.backlog.Encode(now))
	}
	l.publish()
}

// applyBacklog takes over the shortages that the leader has stored with its row, which was read at a local time.
func (l *Loop) applyBacklog(text string, at anvilclock.Millis) bool {
	b, err := anviladmission.Decode(text, at)
	if err != nil {
		l.log.Fault(anvilevent.RowUnreadable, err, "during", "backlog")
		b = nil
	}
	changed := !b.Empty() || !l.state.backlog.Empty()
	l.state.backlog = b
	return changed
}
