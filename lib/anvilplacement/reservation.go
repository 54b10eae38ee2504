package anvilplacement

import (
	"cmp"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilworker"
)

// ExpectedEnd is the time at which a running task is expected to end and free its size.
type ExpectedEnd struct {
	worker string
	size   anvilsize.Size
	at     anvilclock.Millis
}

// NewExpectedEnd states that a task of size s on the worker is expected to end at the time at.
func NewExpectedEnd(worker string, s anvilsize.Size, at anvilclock.Millis) ExpectedEnd {
	return ExpectedEnd{worker: worker, size: s, at: at}
}

// Reservation keeps slots of workers for a request that can't be placed yet.
type Reservation struct {
	start   anvilclock.Millis
	workers map[string]int
}

// StartTime returns the time at which all reserved slots are expected to be free.
func (res *Reservation) StartTime() anvilclock.Millis { return res.start }

// Slots returns the number of slots reserved on a worker. A nil Reservation has none.
func (res *Reservation) Slots(worker string) int {
	if res == nil {
		return 0
	}
	return res.workers[worker]
}

// Blocks reports whether a task that ends at the given time must not run on w. An end of 0 is unknown and counts
// as too late.
func (res *Reservation) Blocks(w *anvilworker.Worker, end anvilclock.Millis) bool {
	return res != nil && res.workers[w.ID()] > 0 && (end == 0 || end > res.start)
}

// Reserve chooses the workers on which the slots of r become free first, given the expected ends of running
// tasks. It skips workers that other reservations block for r. It returns nil when the slots aren't free even
// after all of the ends.
//
// A task past its expected end is expected to run for as long again as it is late. Counting it as about to end
// kept workers idle for tasks whose declared run time was a tenth of the real one.
func (ix *Index) Reserve(r Request, now anvilclock.Millis, ends []ExpectedEnd) *Reservation {
	p := ix.pools[r.pool]
	if p == nil {
		return nil
	}
	free := map[string]anvilsize.Size{}
	var order []string
	slots := 0
	grow := func(id string, more anvilsize.Size) {
		before := slotsIn(free[id], r.size)
		// The minimum keeps a task that has already ended, but is still in ends, from counting twice.
		free[id] = free[id].Add(more).Min(p.entries[id].capacity)
		after := slotsIn(free[id], r.size)
		if before == 0 && after > 0 {
			order = append(order, id)
		}
		slots += after - before
	}
	for _, w := range p.sorted {
		if w.Schedulable() && r.eligible(w) {
			free[w.ID()] = anvilsize.Size{}
			grow(w.ID(), w.Free())
		}
	}
	ends = slices.Clone(ends)
	for i := range ends {
		if late := now - ends[i].at; late > 0 {
			ends[i].at = now + late
		}
	}
	slices.SortStableFunc(ends, func(a, b ExpectedEnd) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.worker, b.worker))
	})
	at := now
	for _, e := range ends {
		if slots >= r.count {
			break
		}
		if _, ok := free[e.worker]; ok {
			grow(e.worker, e.size)
			at = max(now, e.at)
		}
	}
	if slots < r.count {
		return nil
	}
	return reserve(order, free, r, at)
}

func reserve(order []string, free map[string]anvilsize.Size, r Request, at anvilclock.Millis) *Reservation {
	res := &Reservation{start: at, workers: map[string]int{}}
	need := r.count
	for _, id := range order {
		if need == 0 {
			break
		}
		n := min(need, slotsIn(free[id], r.size))
		res.workers[id] = n
		need -= n
	}
	return res
}
