package anvilbench

import (
	"fmt"
	"math/rand/v2"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilplacement"
	"anvilhold.org/lib/anvilroute"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilworker"
)

const (
	instanceCount     = 8
	summaryInterval   = anvilclock.Millis(1000)
	collisionHorizon  = anvilclock.Millis(120_000)
	maxPlacementTries = 3
)

// sharedFleet is a fleet on which eight entry instances place tasks, in one of two designs. In the first, each instance
// places on any worker, based on a view that is up to a second old, and the worker refuses what doesn't fit. In the
// second, each instance owns some of the workers, places only on these and forwards other tasks to owners that it
// chooses by their summaries.
type sharedFleet struct {
	rng          *rand.Rand
	now          anvilclock.Millis
	timeline     timeline
	workers      []*anvilworker.Worker
	views        []*view
	ownedIndexes []*anvilplacement.Index
	routes       []*anvilroute.Table
	attempts     int
	refused      int
	unplaced     int
	jobs         int
}

// view is one instance's copy of the state of all workers, which may be out of date.
type view struct {
	index   *anvilplacement.Index
	workers map[string]*anvilworker.Worker
}

func newSharedFleet(seed uint64) *sharedFleet {
	f := &sharedFleet{rng: rand.New(rand.NewPCG(seed, 7))}
	capacity := anvilsize.New(64_000, 128*1024, 0)
	for i := range 96 {
		f.workers = append(f.workers, newFleetWorker(i, capacity))
	}
	for p := range instanceCount {
		v := &view{index: anvilplacement.NewIndex(), workers: map[string]*anvilworker.Worker{}}
		owned := anvilplacement.NewIndex()
		for i := range f.workers {
			w := newFleetWorker(i, capacity)
			v.workers[w.ID()] = w
			v.index.Add(w)
			if i%instanceCount == p {
				owned.Add(f.workers[i])
			}
		}
		f.views = append(f.views, v)
		f.ownedIndexes = append(f.ownedIndexes, owned)
		f.routes = append(f.routes, anvilroute.New(instanceName(p), "d", "r", seed+uint64(p)))
	}
	return f
}

func newFleetWorker(i int, capacity anvilsize.Size) *anvilworker.Worker {
	w := anvilworker.New(fmt.Sprintf("w%02d", i), anvilworker.WithPool("p"), anvilworker.WithCapacity(capacity),
		anvilworker.WithLocation("d", "r"))
	w.SetSchedulable(true)
	return w
}

func instanceName(p int) string { return fmt.Sprintf("entry%d", p) }

// refresh brings every view and summary up to date, now and after each summaryInterval.
func (f *sharedFleet) refresh() {
	for _, v := range f.views {
		for _, w := range f.workers {
			v.update(w)
		}
	}
	for p, owned := range f.ownedIndexes {
		schedulable, free, largest, _ := owned.Pool("p")
		for _, r := range f.routes {
			r.Put(anvilroute.NewPeer(instanceName(p), "d", "r", anvilroute.WithPool("p", "d", free, largest, 0, schedulable)), f.now)
		}
	}
	f.timeline.schedule(f.now+summaryInterval, f.refresh)
}

// update copies the reserved size of a worker into the view.
func (v *view) update(w *anvilworker.Worker) {
	s := v.workers[w.ID()]
	s.Release(s.Reserved())
	s.Adopt(w.Reserved())
	v.index.Update(s)
}

// placeAnywhere places a task on the worker that instance p chooses from its view. After an attempt the view has the
// true state of that worker, also when the worker refused the task. It returns nil when the view has no free worker or
// all tries were refused.
func (f *sharedFleet) placeAnywhere(p int, k anviltask.Kind, s anvilsize.Size) *anvilworker.Worker {
	v := f.views[p]
	for range maxPlacementTries {
		ws := v.index.Place(anvilplacement.NewRequest("p", k, s))
		if ws == nil {
			return nil
		}
		var i int
		_, _ = fmt.Sscanf(ws[0].ID(), "w%02d", &i)
		w := f.workers[i]
		f.attempts++
		err := w.Reserve(s)
		v.update(w)
		if err == nil {
			return w
		}
		f.refused++
	}
	return nil
}

// placeByOwner places a task on the workers of instance p if one has capacity, and otherwise forwards it to other
// owners in turn. It returns nil when none of the tried owners has capacity.
func (f *sharedFleet) placeByOwner(p int, k anviltask.Kind, s anvilsize.Size) *anvilworker.Worker {
	tried := []string{instanceName(p)}
	for owner := p; ; {
		if ws := f.ownedIndexes[owner].Place(anvilplacement.NewRequest("p", k, s)); ws != nil {
			f.attempts++
			if err := ws[0].Reserve(s); err != nil {
				f.refused++ // can't happen: only the owner places on its workers
				return nil
			}
			f.ownedIndexes[owner].Update(ws[0])
			return ws[0]
		}
		next, ok := f.routes[p].Choose("p", "", s, tried, f.now)
		if !ok || len(tried) > maxPlacementTries {
			return nil
		}
		tried = append(tried, next)
		_, _ = fmt.Sscanf(next, "entry%d", &owner)
	}
}

// placeFunc places a task that arrives at instance p and returns its worker, or nil.
type placeFunc func(p int, k anviltask.Kind, s anvilsize.Size) *anvilworker.Worker

// simulate generates tasks of kind k that arrive at random instances, at a rate at which they need the given
// percentage of the fleet's CPU.
func (f *sharedFleet) simulate(k anviltask.Kind, percent int, place placeFunc) {
	const meanRun, meanCPU = 5000.0, 4500.0
	meanInterval := meanRun * meanCPU / (float64(len(f.workers)) * 64_000 * float64(percent) / 100)
	f.refresh()
	var arrive func()
	at := 0.0
	arrive = func() {
		f.jobs++
		s := anvilsize.New((1+f.rng.Int64N(8))*1000, (1+f.rng.Int64N(8))*1024, 0)
		p, run := f.rng.IntN(instanceCount), anvilclock.Millis(f.rng.ExpFloat64()*meanRun)+1
		if w := place(p, k, s); w == nil {
			f.unplaced++
		} else {
			f.timeline.schedule(f.now+run, func() { f.endTask(w, s) })
		}
		at += f.rng.ExpFloat64() * meanInterval
		f.timeline.schedule(anvilclock.Millis(at), arrive)
	}
	f.timeline.schedule(0, arrive)
	for e, ok := f.timeline.next(); ok && e.at < collisionHorizon; e, ok = f.timeline.next() {
		f.now = e.at
		e.action()
	}
}

func (f *sharedFleet) endTask(w *anvilworker.Worker, s anvilsize.Size) {
	w.Release(s)
	for _, owned := range f.ownedIndexes {
		owned.Update(w)
	}
}

// countCollisions prints the percentages of refused attempts and of unplaced tasks, for both designs.
func countCollisions(out *rowWriter, seed uint64) {
	for _, k := range []anviltask.Kind{anviltask.Call, anviltask.Batch} {
		for _, percent := range []int{60, 90, 98} {
			for _, design := range []string{"anywhere", "owners"} {
				f := newSharedFleet(seed)
				place := f.placeAnywhere
				if design == "owners" {
					place = f.placeByOwner
				}
				f.simulate(k, percent, place)
				name := fmt.Sprintf("%s.%d", k, percent)
				out.row("collision."+name, design, 100*float64(f.refused)/float64(max(f.attempts, 1)), "%")
				out.row("unplaced."+name, design, 100*float64(f.unplaced)/float64(max(f.jobs, 1)), "%")
			}
		}
	}
}
