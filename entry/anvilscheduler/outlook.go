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

// expects reports whether a stage with waiting tasks will probably have room when its tickets come. One
// that knows its approved workers looks at these when it asks.
func (p *placing) expects(c candidate) bool {
	if len(c.s.tickets.byID) > 0 {
		return true
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
