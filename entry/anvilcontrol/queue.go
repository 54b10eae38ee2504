package anvilcontrol

import (
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilplacement"
	"anvilhold.org/lib/anvilqueue"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilworker"
)

// workerResources is what placement uses of a worker: its location, its capacity and its reservations.
type workerResources = *anvilworker.Worker

// place chooses workers for a queued job and starts the job there.
func (l *Loop) place(j *job) placeResult {
	start := time.Now()
	defer func() { l.meter.Observe("decision", time.Since(start)) }()
	now := l.clock.Now()
	f := &allocationFilter{loop: l, task: j.task, allowed: map[*shard]bool{}}
	r := l.placementRequest(j, f, now)
	var chosen []workerResources
	if l.leavesHeadroom(j, now) {
		chosen = l.index.Place(r)
	}
	if chosen == nil {
		if len(f.atLimit) > 0 {
			j.waitCode = anvilerror.OverLimit
			l.requestAllocation(j, f.atLimit, now)
			return overLimit
		}
		j.waitCode = anvilerror.NoCapacity
		l.backfill.RecordWaiting(j.task.ID(), r, j.receivedAt, now)
		return noCapacity
	}
	j.plan = j.plan[:0]
	for _, resources := range chosen {
		j.plan = append(j.plan, l.workers[resources.ID()])
	}
	l.backfill.Forget(j.task.ID(), j.task.Pool())
	l.fireTask(j, "place")
	return placed
}

// placementRequest describes a job to the placement index. Unless the job is a service request or urgent, it excludes
// workers that are reserved for other work and on which the job would end too late.
func (l *Loop) placementRequest(j *job, f *allocationFilter, now anvilclock.Millis) anvilplacement.Request {
	t := j.task
	var end anvilclock.Millis
	if t.RunTime() > 0 {
		end = now + t.RunTime()
	}
	opts := []anvilplacement.Option{
		anvilplacement.WithCount(t.Count()), anvilplacement.WithPreferredDomain(l.self.domain), anvilplacement.WithFilter(f),
	}
	if t.Kind() != anviltask.Call && !t.Urgent() {
		opts = append(opts, l.backfill.RequestOption(t.ID(), t.Pool(), end))
	}
	return anvilplacement.NewRequest(t.Pool(), t.Kind(), t.Size(), opts...)
}

// maxHeadroomWait is the wait after which a task may use the capacity that is reserved for service requests. A job
// that needs most of a pool would otherwise never start while service requests arrive.
const maxHeadroomWait = anvilclock.Millis(60_000)

// leavesHeadroom reports whether enough free capacity remains for the expected service requests once the job is
// placed. Service requests, services, urgent tasks and jobs that have waited for maxHeadroomWait needn't leave any.
func (l *Loop) leavesHeadroom(j *job, now anvilclock.Millis) bool {
	t := j.task
	if t.Kind() == anviltask.Call || t.Kind() == anviltask.Service || t.Urgent() || now-j.receivedAt > maxHeadroomWait {
		return true
	}
	headroom := l.headroom.Required(t.Pool(), now)
	if headroom.IsZero() {
		return true
	}
	_, free, _, _ := l.index.Pool(t.Pool())
	return t.Total().Fits(free.Sub(headroom))
}

// renewReservations chooses again which workers are kept free for gang jobs and large tasks that have waited for long.
func (l *Loop) renewReservations(now anvilclock.Millis) {
	ends := map[string][]anvilplacement.ExpectedEnd{}
	total := map[string]anvilsize.Size{}
	for _, w := range l.workers {
		pool := w.resources.Pool()
		if w.resources.Schedulable() {
			total[pool] = total[pool].Add(w.resources.Capacity())
		}
		for _, r := range w.runs {
			ends[pool] = append(ends[pool], anvilplacement.NewExpectedEnd(w.resources.ID(), r.size, r.expectedEnd(now)))
		}
	}
	for pool := range l.pools {
		l.headroom.SetTotal(pool, total[pool])
		l.backfill.Renew(l.index, pool, now, ends[pool])
	}
}

// passQueue tries to place the waiting tasks, ordered by urgency and the teams' shares.
func (l *Loop) passQueue() {
	now := l.clock.Now()
	l.queue.Pass(now, func(t *anviltask.Task) anvilqueue.Verdict {
		j := l.jobs[t.ID()]
		if j == nil || j.machine.State() != taskQueued {
			return anvilqueue.Placed
		}
		switch l.place(j) {
		case placed:
			return anvilqueue.Placed
		case overLimit:
			return anvilqueue.OverLimit
		case noCapacity:
		}
		l.preempt(j, now)
		if t.Urgent() {
			// Another urgent task may fit where this one doesn't.
			return anvilqueue.Skip
		}
		return anvilqueue.NoCapacity
	})
}

// expireQueue refuses tasks that did not start within their deadline.
func (l *Loop) expireQueue(now anvilclock.Millis) {
	for _, t := range l.queue.RemoveExpired(now) {
		if j := l.jobs[t.ID()]; j != nil {
			l.fireTask(j, "expire")
		}
	}
}

// preempt checkpoints batch tasks to free capacity for an urgent task that has waited for preemptDelay.
func (l *Loop) preempt(j *job, now anvilclock.Millis) {
	if !j.task.Urgent() || now-j.receivedAt < preemptDelay || now-j.lastPreempt < preemptInterval && j.lastPreempt > 0 {
		return
	}
	victims := map[string]*run{}
	var list []anvilplacement.Victim
	for _, w := range l.workers {
		if w.resources.Pool() != j.task.Pool() {
			continue
		}
		for _, r := range w.runs {
			if r.checkpointable() && !r.checkpointing {
				victims[r.id] = r
				list = append(list, anvilplacement.NewVictim(r.id, w.resources.ID(), r.size, int64(now-r.confirmedAt)))
			}
		}
	}
	f := &allocationFilter{loop: l, task: j.task, allowed: map[*shard]bool{}}
	_, preempted := l.index.Preempt(l.placementRequest(j, f, now), list)
	if len(preempted) > 0 {
		j.lastPreempt = now
	}
	for _, id := range preempted {
		r := victims[id]
		r.checkpointing = true
		if r.job != nil {
			l.recordDecision(r.job, anvilevent.TaskPreempted, r.worker.resources.ID(), "for "+j.task.ID())
		}
		l.sendControl(r, Checkpoint)
	}
}
