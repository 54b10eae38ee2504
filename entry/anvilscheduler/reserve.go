package anvilscheduler

import (
	"cmp"
	"slices"
	"strings"

	"anvilhold.org/lib/anvilclock"
)

// wide reports whether tasks of a stage take so much of a worker that small tasks can keep it from ever
// having room for them.
func (p *placing) wide(c candidate) bool {
	return c.s.step.Reservation().Dominant(p.boardOf(c.queue.Pool()).largest) >= wideShare
}

// restore keeps the room free that a stage has reserved in an earlier pass, before any stage looks for room:
// stages that are due sooner would take it piece by piece otherwise.
func (p *placing) restore(c candidate) {
	b := p.boardOf(c.queue.Pool())
	if len(c.s.saved) == 0 || c.urgency.band == bandHopeless || (b.saved+len(c.s.saved))*savedShare > max(len(b.seats), savedShare) {
		c.s.saved = nil
		return
	}
	for _, w := range c.s.saved {
		if w.seat == nil {
			c.s.saved = nil
			return
		}
	}
	b.saved += len(c.s.saved)
	for _, w := range c.s.saved {
		w.seat.kept = w.seat.kept.Add(c.s.step.Reservation())
		w.seat.claimed = w.seat.claimed.Add(c.s.step.Reservation())
	}
}

// release gives the room that restore has kept to its stage.
func (p *placing) release(c candidate) {
	for _, w := range c.s.saved {
		w.seat.kept = w.seat.kept.Sub(c.s.step.Reservation())
		w.seat.claimed = w.seat.claimed.Sub(c.s.step.Reservation())
	}
	c.s.saved = nil
}

// claimSaved keeps the stages that follow from asking about room that the stage has reserved in this pass.
func (p *placing) claimSaved(c candidate) {
	for _, w := range c.s.saved {
		w.seat.claimed = w.seat.claimed.Add(c.s.step.Reservation())
	}
}

// save reserves room for the n tasks of a stage at the workers that will have it first, and keeps it free.
func (p *placing) save(c candidate, n int) {
	if p.reserved >= reservations || c.urgency.band == bandHopeless {
		return
	}
	for _, k := range p.reserve(c, n) {
		k.kept = k.kept.Add(c.s.step.Reservation())
		c.s.saved = append(c.s.saved, k.w)
	}
}

// reserve returns the seats that will first have room for n tasks of a stage; nil when there are fewer.
func (p *placing) reserve(c candidate, n int) []*seat {
	s := c.s
	type place struct {
		k  *seat
		at anvilclock.Millis
	}
	var places []place
	for _, k := range p.boardOf(c.queue.Pool()).seats {
		if !k.w.labelled(s.step.Label()) || !s.step.Reservation().Fits(k.w.registration.capacity) {
			continue
		}
		if c.queue.Advice().Needed() && !s.tickets.approves(k.w) {
			continue
		}
		for i, at := range p.frees(k, s) {
			if most := s.step.MaxPerWorker(); most > 0 && i >= most-s.perWorker[k.w] {
				break
			}
			places = append(places, place{k: k, at: at})
		}
	}
	if len(places) < n {
		return nil
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.at, b.at), strings.Compare(a.k.w.id(), b.k.w.id()))
	})
	p.reserved++
	out := make([]*seat, 0, n)
	for _, pl := range places[:n] {
		out = append(out, pl.k)
	}
	return out
}

// frees returns the times at which a worker will have room for the first, second and further task of a
// stage, if nothing else is started there.
func (p *placing) frees(k *seat, s *stage) []anvilclock.Millis {
	tasks := k.w.bound()
	slices.SortStableFunc(tasks, func(a, b *task) int { return cmp.Compare(a.endsAt(p.now), b.endsAt(p.now)) })
	free := k.free()
	at := p.now
	var out []anvilclock.Millis
	room := s.step.Reservation()
	for i := 0; ; i++ {
		for room.Fits(free) && len(out) < len(s.tasks) {
			out = append(out, at)
			free = free.Sub(room)
		}
		if i == len(tasks) || len(out) == len(s.tasks) {
			return out
		}
		at = max(at, tasks[i].endsAt(p.now))
		free = free.Add(tasks[i].stage.step.Reservation())
	}
}

// endsAt estimates when a run will end, from its progress where there is some.
func (t *task) endsAt(now anvilclock.Millis) anvilclock.Millis {
	if t.stage.step.LongRunning() {
		return now + forever
	}
	if t.began == 0 || t.machine.State() != taskRunning {
		return now + t.stage.step.Estimate()
	}
	run := now - t.began
	if t.percent > 0 && t.percent < 100 {
		return max(t.began+(t.moved-t.began)*100/anvilclock.Millis(t.percent), now)
	}
	return now + max(t.stage.step.Estimate()-run, t.stage.step.Estimate()/10)
}

// forever stands for the end of a task that lasts.
const forever = anvilclock.Millis(1 << 40)
