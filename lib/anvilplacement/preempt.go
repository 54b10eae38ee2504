package anvilplacement

import (
	"cmp"
	"slices"

	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilworker"
)

// Victim is a running task that may be stopped to free its capacity.
type Victim struct {
	task   string
	worker string
	size   anvilsize.Size
	cost   int64
}

// NewVictim describes a task that may be stopped. The cost is what stopping it loses, for instance the
// milliseconds since its last checkpoint; its unit must be the same for all victims.
func NewVictim(task, worker string, s anvilsize.Size, cost int64) Victim {
	return Victim{task: task, worker: worker, size: s, cost: cost}
}

// Preempt chooses the worker on which one slot of r can be freed at the lowest cost, and the tasks to stop
// there. It returns nil when no worker can be freed. Its work grows with the number of victims, so callers pass
// only those of the pool, and only after Place has found nothing.
func (ix *Index) Preempt(r Request, victims []Victim) (w *anvilworker.Worker, stop []string) {
	p := ix.pools[r.pool]
	if p == nil {
		return nil, nil
	}
	victims = slices.Clone(victims)
	slices.SortFunc(victims, func(a, b Victim) int {
		return cmp.Or(cmp.Compare(a.worker, b.worker), cmp.Compare(a.cost, b.cost), cmp.Compare(a.task, b.task))
	})
	var lowest int64
	for len(victims) > 0 {
		n := 1
		for n < len(victims) && victims[n].worker == victims[0].worker {
			n++
		}
		e := p.entries[victims[0].worker]
		if e != nil && e.schedulable && r.eligible(e.node.worker) {
			tasks, cost, ok := cheapestVictims(e.free, r.size, victims[:n])
			if ok && (w == nil || cost < lowest) {
				w, stop, lowest = e.node.worker, tasks, cost
			}
		}
		victims = victims[n:]
	}
	return w, stop
}

// cheapestVictims takes victims in the order of the slice, by cost, until s fits, and then drops those that
// aren't needed.
func cheapestVictims(free, s anvilsize.Size, victims []Victim) (stop []string, cost int64, ok bool) {
	n := 0
	for n < len(victims) && !s.Fits(free) {
		free = free.Add(victims[n].size)
		n++
	}
	if !s.Fits(free) {
		return nil, 0, false
	}
	for i := n - 1; i >= 0; i-- {
		if remaining := free.Sub(victims[i].size); s.Fits(remaining) {
			free = remaining
			continue
		}
		stop = append(stop, victims[i].task)
		cost += victims[i].cost
	}
	return stop, cost, true
}

// PreemptAmount chooses tasks of a pool to stop until their sizes add up to at least shortfall in every
// dimension, or no victim is left. Tasks with the lowest cost for their size come first. It is for headroom, which
// may be spread over workers; the capacity that large tasks leave is less fragmented than that of small ones.
func (ix *Index) PreemptAmount(pool string, shortfall anvilsize.Size, victims []Victim) (stop []string) {
	p := ix.pools[pool]
	if p == nil {
		return nil
	}
	victims = slices.Clone(victims)
	total := p.maxCapacity()
	slices.SortFunc(victims, func(a, b Victim) int {
		return cmp.Or(cmp.Compare((a.cost+1)*b.size.Dominant(total), (b.cost+1)*a.size.Dominant(total)), cmp.Compare(a.task, b.task))
	})
	for _, v := range victims {
		if shortfall.Fits(anvilsize.Size{}) {
			break
		}
		if e := p.entries[v.worker]; e == nil || !e.schedulable || !contributes(v.size, shortfall) {
			continue
		}
		stop = append(stop, v.task)
		shortfall = shortfall.Sub(v.size)
	}
	return stop
}

// contributes reports whether s reduces the shortfall in some dimension.
func contributes(s, shortfall anvilsize.Size) bool {
	for _, d := range anvilsize.Dimensions() {
		if shortfall.In(d) > 0 && s.In(d) > 0 {
			return true
		}
	}
	return false
}
