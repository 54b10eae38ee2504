package anvilscheduler

import (
	"cmp"
	"slices"
	"strings"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilsize"
)

// large reports whether tasks of a stage need so much of a worker that a stream of small tasks could starve them.
func (p *passState) large(r readyStage) bool {
	return r.stage.step.Reservation().Dominant(p.pool(r.queue.Pool()).maxCapacity) >= largeTaskShare
}

// stageReservation is what a stage keeps of its reservation from pass to pass.
type stageReservation struct {
	// workers are those on which capacity is reserved until the next pass, one entry for each task.
	workers []*worker
	// startAt is when the stage was expected to start when it began to reserve at these workers, or at others for which they were
	// exchanged; 0 while it hasn't, and once a worker was lost.
	startAt anvilclock.Millis
	// begunAt is since when the stage has had something reserved after each pass; 0 while it hasn't.
	begunAt anvilclock.Millis
	// pausedUntil is the time before which the stage reserves nothing, because its reservation has lapsed.
	pausedUntil anvilclock.Millis
	// lapses is how often the reservation has lapsed since the stage last started tasks.
	lapses int
	// failedRound is the round of attempts in which the stage found no workers; 0 when it never did.
	failedRound int
}

// reservation is capacity of a candidate that a stage holds for tasks which can't start yet.
type reservation struct {
	stage    *stage
	priority int
	size     anvilsize.Size
	// now is the time of the pass.
	now anvilclock.Millis
	// freeAt is when the candidate will have the capacity, startAt when the stage will start, firstStartAt when it was expected
	// to when it began to reserve.
	freeAt       anvilclock.Millis
	startAt      anvilclock.Millis
	firstStartAt anvilclock.Millis
}

// binds reports whether a reservation limits the capacity of a stage. It doesn't limit its own stage, long-running
// tasks, which must not be away for as long as others wait, those of a more urgent queue, and tasks that end before it is needed.
func (r reservation) binds(s *stage) bool {
	if s == r.stage || s.step.LongRunning() {
		return false
	}
	if estimate := s.step.Estimate(); estimate > 0 {
		neededAt := r.startAt
		if estimate > maxShortBackfill {
			// Longer tasks that go ahead must not delay the stage again and again.
			neededAt = min(r.startAt, r.firstStartAt)
		}
		if r.now+estimate*(100+estimateError)/100 <= neededAt {
			return false
		}
	}
	q, ok := s.job.loop.queueOf(s.job)
	return !ok || q.Priority() >= r.priority
}

// freeFor returns the free capacity of a candidate for a stage, less what others reserve and the tasks that end there until then
// don't free.
func (c *candidate) freeFor(s *stage) anvilsize.Size {
	free := c.worker.free().Sub(c.reserved)
	if len(c.reservations) == 0 {
		return free
	}
	available, reserved := free, anvilsize.Size{}
	for _, r := range c.reservations {
		if !r.binds(s) {
			continue
		}
		reserved = reserved.Add(r.size)
		left := free.Sub(reserved)
		for t := range c.worker.tasks {
			if t.expectedEnd(r.now) <= r.freeAt {
				left = left.Add(t.stage.step.Reservation())
			}
		}
		available = available.Min(left)
	}
	return available
}

// reservedFrom returns the capacity of a candidate that others reserve and a stage may not use.
func (c *candidate) reservedFrom(s *stage) anvilsize.Size {
	var sum anvilsize.Size
	for _, r := range c.reservations {
		if r.binds(s) {
			sum = sum.Add(r.size)
		}
	}
	return sum
}

// restoreReservation reserves again what a stage has reserved in an earlier pass. It is called for all stages before
// any is placed: stages of the same urgency would use the capacity piece by piece otherwise. The reservation is dropped when a
// worker of it is no longer schedulable, or when reservations would cover too much of the pool.
func (p *passState) restoreReservation(r readyStage) {
	snap, kept := p.pool(r.queue.Pool()), &r.stage.reservation
	workers := kept.workers
	kept.workers = nil
	if len(workers) == 0 {
		kept.startAt, kept.begunAt = 0, 0
		return
	}
	if slices.ContainsFunc(workers, func(w *worker) bool { return w.candidate == nil }) {
		kept.startAt = 0
		return
	}
	if r.urgency.band == bandWorthless ||
		(snap.reserved+len(workers))*reservedPoolDivisor > max(len(snap.candidates), reservedPoolDivisor) {
		return
	}
	if p.lapsed(r) || !p.addReservation(r, workers) {
		return
	}
	snap.reserved += len(workers)
}

// releaseReservation frees the reservation of a stage right before the stage is placed, so that it can use it.
func (p *passState) releaseReservation(r readyStage) {
	for _, w := range r.stage.reservation.workers {
		w.candidate.reservations = slices.DeleteFunc(w.candidate.reservations, func(other reservation) bool { return other.stage == r.stage })
	}
	r.stage.reservation.workers = nil
}

// reserveCapacity reserves capacity for n tasks of a stage at the workers that will have it first, if the stage is expected to
// start in time for its job to be of worth.
func (p *passState) reserveCapacity(r readyStage, n int) {
	if p.reservations >= maxReservations || r.urgency.band == bandWorthless || p.lapsed(r) || p.now < r.stage.reservation.pausedUntil ||
		!p.mayAttempt(&r.stage.reservation) {
		return
	}
	workers := p.earliestWorkers(r, n)
	if len(workers) == 0 || !p.addReservation(r, workers) {
		r.stage.reservation.failedRound = p.loop.workload.reservationRound
		return
	}
	p.reservations++
}

// mayAttempt reports whether a stage may search the workers in this pass, and counts the attempt. Stages that failed in a round
// aren't tried again in it, so that those that can't reserve don't keep others from it. A stage that has reserved isn't limited.
func (p *passState) mayAttempt(kept *stageReservation) bool {
	if kept.begunAt != 0 {
		return true
	}
	if kept.failedRound == p.loop.workload.reservationRound {
		return false
	}
	if p.attempts >= maxReservationAttempts {
		p.attemptsLeftOut = true
		return false
	}
	p.attempts++
	return true
}

// endAttempts begins the next round of attempts once a pass has left out none.
func (p *passState) endAttempts() {
	if !p.attemptsLeftOut {
		p.loop.workload.reservationRound++
	}
}

// lapsed ends the reservation of a stage that hasn't started for reservationGrace after it should have, because the estimates of
// the tasks before it are wrong. In a pool that is mostly free, it ends freePoolGrace after it has begun: other jobs must not wait
// beside free workers for longer. Other stages can use the capacity during the pause after that. Each lapse quadruples
// reservationGrace, so that the stage doesn't starve among tasks that take longer; freePoolGrace answers a rule without exceptions.
func (p *passState) lapsed(r readyStage) bool {
	kept, snap := &r.stage.reservation, p.pool(r.queue.Pool())
	if kept.startAt == 0 {
		return false
	}
	end := kept.startAt + reservationGrace<<(2*kept.lapses)
	if snap.used.Dominant(snap.capacity) < mostlyFreeUse {
		end = min(end, kept.begunAt+freePoolGrace)
	}
	if p.now < end {
		return false
	}
	p.loop.log.Record(anvilevent.ReservationLapsed, "step", r.stage.name(), "expected", int64(kept.startAt-p.now))
	p.loop.meter.Count("reservation.lapsed")
	kept.startAt, kept.begunAt = 0, 0
	kept.pausedUntil, kept.lapses = p.now+reservationPause, min(kept.lapses+1, maxLapses)
	return true
}

// addReservation reserves capacity for a task of a stage at each of some workers. It does nothing and returns false when one of
// them isn't schedulable, or will have the capacity too late.
func (p *passState) addReservation(r readyStage, workers []*worker) bool {
	counts := make(map[*worker]int, len(workers))
	for _, w := range workers {
		counts[w]++
	}
	freeAt := make(map[*worker]anvilclock.Millis, len(counts))
	startAt := p.now
	for w, n := range counts {
		if w.candidate == nil {
			return false
		}
		times := p.freeTimes(w.candidate, r.stage)
		if len(times) < n || p.tooLate(r, times[n-1]) {
			return false
		}
		freeAt[w] = times[n-1]
		startAt = max(startAt, times[n-1])
	}
	kept := &r.stage.reservation
	if kept.begunAt == 0 {
		kept.begunAt = p.now
	}
	if kept.startAt == 0 {
		kept.startAt = startAt
		p.loop.log.Record(anvilevent.CapacityReserved, "step", r.stage.name(), "tasks", len(workers), "expected", int64(startAt-p.now))
		p.loop.meter.Count("reservation.begun")
	}
	kept.workers = workers
	for w, n := range counts {
		w.candidate.reservations = append(w.candidate.reservations, reservation{
			stage: r.stage, priority: r.queue.Priority(), size: r.stage.step.Reservation().Scale(int64(n)), now: p.now,
			freeAt: freeAt[w], startAt: startAt, firstStartAt: kept.startAt,
		})
	}
	return true
}

// tooLate reports whether a stage that starts at a time is certain to end too late to be of worth.
func (p *passState) tooLate(r readyStage, at anvilclock.Millis) bool {
	if r.stage.step.LongRunning() {
		return at >= p.now+noExpectedEnd
	}
	return at > r.urgency.latestStart+(worthlessFactor-1)*r.stage.job.objectiveIn(r.queue)
}

// earliestWorkers returns the workers that will first have capacity for n tasks of a stage, one entry for each task;
// nil when fewer than n would fit even if no other task ran. In a queue with advice, only approved workers count.
func (p *passState) earliestWorkers(r readyStage, n int) []*worker {
	s := r.stage
	type slot struct {
		worker *worker
		at     anvilclock.Millis
	}
	var slots []slot
	for _, c := range p.pool(r.queue.Pool()).candidates {
		if !c.worker.hasLabel(s.step.Label()) || !s.step.Reservation().Fits(c.worker.registration.capacity) {
			continue
		}
		if r.queue.Advice().Needed() && !s.tickets.approves(c.worker) {
			continue
		}
		for i, at := range p.freeTimes(c, s) {
			if limit := s.step.MaxPerWorker(); limit > 0 && i >= limit-s.perWorker[c.worker] {
				break
			}
			slots = append(slots, slot{worker: c.worker, at: at})
		}
	}
	if len(slots) < n {
		return nil
	}
	slices.SortFunc(slots, func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.at, b.at), strings.Compare(a.worker.id(), b.worker.id()))
	})
	out := make([]*worker, 0, n)
	for _, earliest := range slots[:n] {
		out = append(out, earliest.worker)
	}
	return out
}

// freeTimes returns the times at which a worker will have capacity for the first, second and further task of a stage,
// if nothing else starts there.
func (p *passState) freeTimes(c *candidate, s *stage) []anvilclock.Millis {
	tasks := c.worker.boundTasks()
	slices.SortStableFunc(tasks, func(a, b *task) int { return cmp.Compare(a.expectedEnd(p.now), b.expectedEnd(p.now)) })
	free := c.worker.free().Sub(c.reserved).Sub(c.reservedFrom(s))
	at := p.now
	var out []anvilclock.Millis
	size := s.step.Reservation()
	for i := 0; ; i++ {
		for size.Fits(free) && len(out) < s.size() {
			out = append(out, at)
			free = free.Sub(size)
		}
		if i == len(tasks) || len(out) == s.size() {
			return out
		}
		at = max(at, tasks[i].expectedEnd(p.now))
		free = free.Add(tasks[i].stage.step.Reservation())
	}
}

// expectedEnd estimates when a run will end: from its reported progress, else from the step's estimate.
func (t *task) expectedEnd(now anvilclock.Millis) anvilclock.Millis {
	if t.stage.step.LongRunning() {
		return now + noExpectedEnd
	}
	if t.startedAt == 0 || t.machine.State() != taskRunning {
		return now + t.stage.step.Estimate()
	}
	run := now - t.startedAt
	if t.percent > 0 && t.percent < 100 {
		return max(t.startedAt+(t.lastProgress-t.startedAt)*100/anvilclock.Millis(t.percent), now)
	}
	return now + max(t.stage.step.Estimate()-run, t.stage.step.Estimate()/10)
}

// noExpectedEnd is the remaining time of a long-running task, about 35 years in milliseconds.
const noExpectedEnd = anvilclock.Millis(1 << 40)
