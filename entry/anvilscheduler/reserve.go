package anvilscheduler

import (
	"cmp"
	"slices"
	"strings"

	"anvilhold.org/lib/anvilclock"
)

// large reports whether tasks of a stage need so much of a worker that a stream of small tasks could starve them.
func (p *passState) large(r readyStage) bool {
	return r.stage.step.Reservation().Dominant(p.pool(r.queue.Pool()).maxCapacity) >= largeTaskShare
}

// restoreReservation reserves again what a stage has reserved in an earlier pass. It is called for all stages before
// any is placed: more urgent stages would use the capacity piece by piece otherwise. The reservation is dropped when a
// worker of it is no longer schedulable, or when reservations would cover too much of the pool.
func (p *passState) restoreReservation(r readyStage) {
	snap := p.pool(r.queue.Pool())
	if len(r.stage.reserved) == 0 || r.urgency.band == bandWorthless ||
		(snap.reserved+len(r.stage.reserved))*reservedPoolDivisor > max(len(snap.candidates), reservedPoolDivisor) {
		r.stage.reserved = nil
		return
	}
	for _, w := range r.stage.reserved {
		if w.candidate == nil {
			r.stage.reserved = nil
			return
		}
	}
	snap.reserved += len(r.stage.reserved)
	for _, w := range r.stage.reserved {
		w.candidate.reserved = w.candidate.reserved.Add(r.stage.step.Reservation())
		w.candidate.claimed = w.candidate.claimed.Add(r.stage.step.Reservation())
	}
}

// releaseReservation frees the reservation of a stage right before the stage is placed, so that it can use it.
func (p *passState) releaseReservation(r readyStage) {
	for _, w := range r.stage.reserved {
		w.candidate.reserved = w.candidate.reserved.Sub(r.stage.step.Reservation())
		w.candidate.claimed = w.candidate.claimed.Sub(r.stage.step.Reservation())
	}
	r.stage.reserved = nil
}

// claimReserved claims what the stage has reserved in this pass, so that less urgent stages send no advisor queries for
// that capacity.
func (p *passState) claimReserved(r readyStage) {
	for _, w := range r.stage.reserved {
		w.candidate.claimed = w.candidate.claimed.Add(r.stage.step.Reservation())
	}
}

// reserveCapacity reserves capacity for n tasks of a stage at the workers that will have it first.
func (p *passState) reserveCapacity(r readyStage, n int) {
	if p.reservations >= maxReservations || r.urgency.band == bandWorthless {
		return
	}
	for _, c := range p.earliestCandidates(r, n) {
		c.reserved = c.reserved.Add(r.stage.step.Reservation())
		r.stage.reserved = append(r.stage.reserved, c.worker)
	}
}

// earliestCandidates returns the candidates that will first have capacity for n tasks of a stage, one for each task;
// nil when fewer than n would fit even if no other task ran. In a queue with advice, only approved workers count.
func (p *passState) earliestCandidates(r readyStage, n int) []*candidate {
	s := r.stage
	type slot struct {
		candidate *candidate
		at        anvilclock.Millis
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
			slots = append(slots, slot{candidate: c, at: at})
		}
	}
	if len(slots) < n {
		return nil
	}
	slices.SortFunc(slots, func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.at, b.at), strings.Compare(a.candidate.worker.id(), b.candidate.worker.id()))
	})
	p.reservations++
	out := make([]*candidate, 0, n)
	for _, earliest := range slots[:n] {
		out = append(out, earliest.candidate)
	}
	return out
}

// freeTimes returns the times at which a worker will have capacity for the first, second and further task of a stage,
// if nothing else starts there.
func (p *passState) freeTimes(c *candidate, s *stage) []anvilclock.Millis {
	tasks := c.worker.boundTasks()
	slices.SortStableFunc(tasks, func(a, b *task) int { return cmp.Compare(a.expectedEnd(p.now), b.expectedEnd(p.now)) })
	free := c.free()
	at := p.now
	var out []anvilclock.Millis
	size := s.step.Reservation()
	for i := 0; ; i++ {
		for size.Fits(free) && len(out) < len(s.tasks) {
			out = append(out, at)
			free = free.Sub(size)
		}
		if i == len(tasks) || len(out) == len(s.tasks) {
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
