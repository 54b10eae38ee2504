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
	placers        = 8
	summaryEvery   = anvilclock.Millis(1000)
	collisionSpan  = anvilclock.Millis(120_000)
	collisionTries = 3
)

// arena is a fleet that eight entry instances place on. In one design each of them places anywhere,
// from a view that is up to a second old, and the worker arbitrates; in the other each owns a part
// and sends to the owners of the rest by their summaries.
type arena struct {
	rng      *rand.Rand
	now      anvilclock.Millis
	time     timeline
	workers  []*anvilworker.Worker
	views    []*view
	owners   []*anvilplacement.Index
	routes   []*anvilroute.Table
	attempts int
	refused  int
	failed   int
	jobs     int
}

// view is what one instance believes of all workers.
type view struct {
	index *anvilplacement.Index
	seen  map[string]*anvilworker.Worker
}

func newArena(seed uint64) *arena {
	a := &arena{rng: rand.New(rand.NewPCG(seed, 7))}
	capacity := anvilsize.New(64_000, 128*1024, 0)
	for i := range 96 {
		a.workers = append(a.workers, newArenaWorker(i, capacity))
	}
	for p := range placers {
		v := &view{index: anvilplacement.NewIndex(), seen: map[string]*anvilworker.Worker{}}
		owned := anvilplacement.NewIndex()
		for i := range a.workers {
			w := newArenaWorker(i, capacity)
			v.seen[w.ID()] = w
			v.index.Add(w)
			if i%placers == p {
				owned.Add(a.workers[i])
			}
		}
		a.views = append(a.views, v)
		a.owners = append(a.owners, owned)
		a.routes = append(a.routes, anvilroute.New(instance(p), "d", "r", seed+uint64(p)))
	}
	return a
}

func newArenaWorker(i int, capacity anvilsize.Size) *anvilworker.Worker {
	w := anvilworker.New(fmt.Sprintf("w%02d", i), anvilworker.WithPool("p"), anvilworker.WithCapacity(capacity),
		anvilworker.WithLocation("d", "r"))
	w.SetSchedulable(true)
	return w
}

func instance(p int) string { return fmt.Sprintf("entry%d", p) }

// refresh brings every view and summary up to date.
func (a *arena) refresh() {
	for _, v := range a.views {
		for _, w := range a.workers {
			v.learn(w)
		}
	}
	for p, owned := range a.owners {
		open, free, largest, _ := owned.Pool("p")
		for _, r := range a.routes {
			r.Put(anvilroute.NewPeer(instance(p), "d", "r", anvilroute.WithPool("p", "d", free, largest, 0, open)), a.now)
		}
	}
	a.time.at(a.now+summaryEvery, a.refresh)
}

// learn takes over the state of a worker.
func (v *view) learn(w *anvilworker.Worker) {
	s := v.seen[w.ID()]
	s.Release(s.Reserved())
	s.Adopt(w.Reserved())
	v.index.Update(s)
}

// anywhere places from the instance's own view; a refusal brings the worker's true state.
func (a *arena) anywhere(p int, k anviltask.Kind, s anvilsize.Size) *anvilworker.Worker {
	v := a.views[p]
	for range collisionTries {
		ws := v.index.Place(anvilplacement.NewRequest("p", k, s))
		if ws == nil {
			return nil
		}
		var i int
		_, _ = fmt.Sscanf(ws[0].ID(), "w%02d", &i)
		w := a.workers[i]
		a.attempts++
		err := w.Reserve(s)
		v.learn(w)
		if err == nil {
			return w
		}
		a.refused++
	}
	return nil
}

// owned places on the instance's own workers first and then sends the task to other owners.
func (a *arena) owned(p int, k anviltask.Kind, s anvilsize.Size) *anvilworker.Worker {
	tried := []string{instance(p)}
	for at := p; ; {
		if ws := a.owners[at].Place(anvilplacement.NewRequest("p", k, s)); ws != nil {
			a.attempts++
			if err := ws[0].Reserve(s); err != nil {
				a.refused++ // can't happen while an owner is the only one to place
				return nil
			}
			a.owners[at].Update(ws[0])
			return ws[0]
		}
		next, ok := a.routes[p].Choose("p", "", s, tried, a.now)
		if !ok || len(tried) > collisionTries {
			return nil
		}
		tried = append(tried, next)
		_, _ = fmt.Sscanf(next, "entry%d", &at)
	}
}

type placer func(p int, k anviltask.Kind, s anvilsize.Size) *anvilworker.Worker

// play lets tasks arrive at random instances, so many that they need the given percentage of the
// fleet.
func (a *arena) play(k anviltask.Kind, percent int, place placer) {
	const meanRun, meanCPU = 5000.0, 4500.0
	gap := meanRun * meanCPU / (float64(len(a.workers)) * 64_000 * float64(percent) / 100)
	a.refresh()
	var arrive func()
	at := 0.0
	arrive = func() {
		a.jobs++
		s := anvilsize.New((1+a.rng.Int64N(8))*1000, (1+a.rng.Int64N(8))*1024, 0)
		p, run := a.rng.IntN(placers), anvilclock.Millis(a.rng.ExpFloat64()*meanRun)+1
		if w := place(p, k, s); w == nil {
			a.failed++
		} else {
			a.time.at(a.now+run, func() { a.end(w, s) })
		}
		at += a.rng.ExpFloat64() * gap
		a.time.at(anvilclock.Millis(at), arrive)
	}
	a.time.at(0, arrive)
	for e, ok := a.time.next(); ok && e.at < collisionSpan; e, ok = a.time.next() {
		a.now = e.at
		e.do()
	}
}

func (a *arena) end(w *anvilworker.Worker, s anvilsize.Size) {
	w.Release(s)
	for _, owned := range a.owners {
		owned.Update(w)
	}
}

// countCollisions prints how often the worker refuses in both designs.
func countCollisions(out *table, seed uint64) {
	for _, k := range []anviltask.Kind{anviltask.Call, anviltask.Batch} {
		for _, percent := range []int{60, 90, 98} {
			for _, design := range []string{"anywhere", "owners"} {
				a := newArena(seed)
				place := a.anywhere
				if design == "owners" {
					place = a.owned
				}
				a.play(k, percent, place)
				name := fmt.Sprintf("%s.%d", k, percent)
				out.row("collision."+name, design, 100*float64(a.refused)/float64(max(a.attempts, 1)), "%")
				out.row("unplaced."+name, design, 100*float64(a.failed)/float64(max(a.jobs, 1)), "%")
			}
		}
	}
}
