package anvilplacement

import (
	"cmp"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilworker"
)

// End is the expected end of a running task.
type End struct {
	worker string
	size   anvilsize.Size
	at     anvilclock.Millis
}

// NewEnd says that a task of size s on the worker is expected to end at the given time.
func NewEnd(worker string, s anvilsize.Size, at anvilclock.Millis) End {
	return End{worker: worker, size: s, at: at}
}

// Reservation holds workers for work that can't be placed yet.
type Reservation struct {
	at      anvilclock.Millis
	workers map[string]int
}

// At returns the time at which all places are expected to be free.
func (res *Reservation) At() anvilclock.Millis { return res.at }

// Places returns the number of places reserved on a worker.
func (res *Reservation) Places(worker string) int {
	if res == nil {
		return 0
	}
	return res.workers[worker]
}

// Blocks reports whether work that ends at the given time must stay off w. An end of 0 is not known
// and counts as too late.
func (res *Reservation) Blocks(w *anvilworker.Worker, end anvilclock.Millis) bool {
	return res != nil && res.workers[w.ID()] > 0 && (end == 0 || end > res.at)
}

// Reserve chooses the workers on which the places of r are free first, given the expected ends of
// running tasks, and leaves out workers that other reservations block for r. It returns nil when
// the places are not free even after all of the ends.
//
// A task that is past its expected end is taken to need as long again as it is late. Counting it as
// about to end kept workers idle for tasks whose declared run time was a tenth of the real one.
func (ix *Index) Reserve(r Request, now anvilclock.Millis, ends []End) *Reservation {
	p := ix.pools[r.pool]
	if p == nil {
		return nil
	}
	free := map[string]anvilsize.Size{}
	var order []string
	places := 0
	grow := func(id string, more anvilsize.Size) {
		before := holds(free[id], r.size)
		// An end that the caller lists although its task is gone must not count twice.
		free[id] = free[id].Add(more).Min(p.entries[id].capacity)
		after := holds(free[id], r.size)
		if before == 0 && after > 0 {
			order = append(order, id)
		}
		places += after - before
	}
	for _, w := range p.sorted {
		if w.Schedulable() && r.may(w) {
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
	slices.SortStableFunc(ends, func(a, b End) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.worker, b.worker))
	})
	at := now
	for _, e := range ends {
		if places >= r.count {
			break
		}
		if _, ok := free[e.worker]; ok {
			grow(e.worker, e.size)
			at = max(now, e.at)
		}
	}
	if places < r.count {
		return nil
	}
	return reserve(order, free, r, at)
}

func reserve(order []string, free map[string]anvilsize.Size, r Request, at anvilclock.Millis) *Reservation {
	res := &Reservation{at: at, workers: map[string]int{}}
	need := r.count
	for _, id := range order {
		if need == 0 {
			break
		}
		n := min(need, holds(free[id], r.size))
		res.workers[id] = n
		need -= n
	}
	return res
}
