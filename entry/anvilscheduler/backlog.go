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

// updateBacklog decides for each pool which of the ready stages get no capacity while their jobs have a value, and publishes the
// shortages. Long-running stages, and those beyond their team's share or without a value, take no part.
func (p *passState) updateBacklog(list []readyStage) {
	if p.now-p.loop.workload.lastBacklog < backlogInterval {
		return
	}
	p.loop.workload.lastBacklog = p.now
	pools := map[string][]readyStage{}
	for _, r := range list {
		if !r.stage.step.LongRunning() && (r.urgency.band == bandTimely || r.urgency.band == bandLate) {
			pools[r.queue.Pool()] = append(pools[r.queue.Pool()], r)
		}
	}
	var shortages []anviladmission.Shortage
	for pool, waiting := range pools {
		if p.contested(pool, waiting) {
			shortages = append(shortages, p.shortagesOf(pool, waiting, p.classify(pool, waiting))...)
		}
	}
	p.loop.publishBacklog(shortages, p.now)
}

// There is no shortage while at most one in minUsableDivisor workers of a pool is schedulable: a new leader has to reach
// them first, and knows too little of the capacity.
const minUsableDivisor = 2

// contested reports whether a pool has no capacity for all stages that wait for it.
func (p *passState) contested(pool string, waiting []readyStage) bool {
	snap := p.pool(pool)
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
	for _, s := range j.stages {
		sum += s.step.Reservation().Dominant(total) * int64(s.step.Estimate()) * int64(len(s.tasks)-s.done)
	}
	return sum
}

// shortageSummary is what the unmet stages of a queue say about new jobs.
type shortageSummary struct {
	// cost is the least work of a job that has not begun and could still meet its objective if there were capacity; 0 if
	// there is none.
	cost int64
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
		if cost := r.stage.job.remainingWork(total); r.fresh(p.now) && (q.cost == 0 || cost < q.cost) {
			q.cost = cost
		}
	}
	var out []anviladmission.Shortage
	for name, q := range queues {
		if q.cost > 0 {
			out = append(out, anviladmission.NewShortage(name, total, q.cost, timeFor(q.work, total)))
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
