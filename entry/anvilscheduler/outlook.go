package anvilscheduler

import (
	"cmp"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// outlook is the room of a pool that is free or will be soon, less what more urgent stages will take. It
// decides for which stages asking the advisor is worth while: tickets lapse within seconds.
type outlook struct {
	free anvilsize.Size
	ends []release
}

// release is room that a run will probably give back.
type release struct {
	at   anvilclock.Millis
	room anvilsize.Size
}

func (l *Loop) newOutlook(pool string, now anvilclock.Millis) *outlook {
	o := &outlook{}
	for _, w := range l.fleet.pools[pool] {
		if !w.usable(now) {
			continue
		}
		o.free = o.free.Add(w.free())
		for t := range w.tasks {
			o.ends = append(o.ends, release{at: t.endsAt(now), room: t.stage.step.Room()})
		}
	}
	slices.SortFunc(o.ends, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	return o
}

// take reports whether there will be room for a task by a time, and takes the room of n tasks.
func (o *outlook) take(room anvilsize.Size, n int64, by anvilclock.Millis) bool {
	for len(o.ends) > 0 && o.ends[0].at <= by {
		o.free = o.free.Add(o.ends[0].room)
		o.ends = o.ends[1:]
	}
	ok := room.Fits(o.free)
	o.free = o.free.Sub(room.Scale(n))
	return ok
}

// expects reports whether a stage with waiting tasks will probably have room when its tickets come.
func (p *placing) expects(c candidate) bool {
	if len(c.s.tickets.byID) > 0 {
		return p.claimSoon(c)
	}
	pool := c.queue.Pool()
	o := p.outlooks[pool]
	if o == nil {
		o = p.loop.newOutlook(pool, p.now)
		p.outlooks[pool] = o
	}
	s := c.s
	by := p.now + askTravel + c.queue.Advice().Cost(len(p.loop.fleet.pools[pool]))
	if s.step.Gang() {
		return o.take(s.step.Room().Scale(int64(s.open)), 1, by)
	}
	return o.take(s.step.Room(), int64(s.open), by)
}

// moment is a worker at a time.
type moment struct {
	w  *worker
	at anvilclock.Millis
}

// soonFree returns the room that a worker will probably have at a time.
func (p *placing) soonFree(w *worker, at anvilclock.Millis) anvilsize.Size {
	k := moment{w: w, at: at}
	if size, ok := p.soon[k]; ok {
		return size
	}
	size := w.free()
	for t := range w.tasks {
		if t.endsAt(p.now) <= at {
			size = size.Add(t.stage.step.Room())
		}
	}
	p.soon[k] = size
	return size
}

// claimSoon takes, for a stage, the room that workers which may be approved will have when an answer of the
// advisor comes, and reports whether there is enough to ask for. It does so also while an answer is on its way, so
// that less urgent stages don't ask for the same room.
func (p *placing) claimSoon(c candidate) bool {
	s := c.s
	room := s.step.Room()
	at := p.now + askTravel + c.queue.Advice().Cost(len(s.tasks))
	claimed := 0
	for _, w := range p.loop.fleet.pools[c.queue.Pool()] {
		if claimed == s.open {
			break
		}
		if !w.usable(p.now) || !room.Fits(p.soonFree(w, at).Sub(p.claimed[w])) || (s.tickets.judged(w.id()) && !s.tickets.approved(w.id())) {
			continue
		}
		for claimed < s.open && room.Fits(p.soonFree(w, at).Sub(p.claimed[w])) {
			p.claimed[w] = p.claimed[w].Add(room)
			claimed++
		}
	}
	if s.step.Gang() {
		return claimed == s.open
	}
	return claimed > 0
}
