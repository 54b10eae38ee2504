package anvilplacement

import (
	"math/rand/v2"

	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilworker"
)

// Policy chooses workers. Benchmarks use it to compare the index with the baselines.
type Policy interface {
	Place(ix *Index, r Request) []*anvilworker.Worker
}

// Indexed returns the policy that uses Index.Place.
func Indexed() Policy { return indexed{} }

// FirstFit returns the policy that takes the first worker by id with capacity.
func FirstFit() Policy { return walk{start: func(int) int { return 0 }} }

// Random returns a policy that takes the first worker by id with capacity, starting at a random one.
func Random(seed uint64) Policy {
	rng := rand.New(rand.NewPCG(seed, 0))
	return walk{start: rng.IntN}
}

// RoundRobin returns a policy that takes the first worker with capacity after the one that it took last.
func RoundRobin() Policy {
	next := 0
	return walk{start: func(n int) int { return next % n }, onPlaced: func(i int) { next = i + 1 }}
}

// Scan returns the policy that examines every worker and takes the one with the least free size, or with the
// most for calls and services.
func Scan() Policy { return scan{} }

type indexed struct{}

func (indexed) Place(ix *Index, r Request) []*anvilworker.Worker { return ix.Place(r) }

// walk tries the workers in the order of their ids, from a starting position, until one has capacity.
type walk struct {
	start    func(n int) int
	onPlaced func(i int)
}

func (p walk) Place(ix *Index, r Request) []*anvilworker.Worker {
	return placeEach(ix, r, func(ws []*anvilworker.Worker, fits func(*anvilworker.Worker) bool) *anvilworker.Worker {
		from := p.start(len(ws))
		for i := range ws {
			at := (from + i) % len(ws)
			if fits(ws[at]) {
				if p.onPlaced != nil {
					p.onPlaced(at)
				}
				return ws[at]
			}
		}
		return nil
	})
}

type scan struct{}

func (scan) Place(ix *Index, r Request) []*anvilworker.Worker {
	taken := map[string]anvilsize.Size{}
	var out []*anvilworker.Worker
	for range r.count {
		w := scanBest(ix, &r, taken)
		if w == nil {
			return nil
		}
		taken[w.ID()] = taken[w.ID()].Add(r.size)
		out = append(out, w)
	}
	return out
}

func scanBest(ix *Index, r *Request, taken map[string]anvilsize.Size) *anvilworker.Worker {
	p := ix.pools[r.pool]
	if p == nil {
		return nil
	}
	var best *anvilworker.Worker
	var score int64
	for _, w := range p.sorted {
		free := w.Free()
		if len(taken) > 0 {
			free = free.Sub(taken[w.ID()])
		}
		if !r.size.Fits(free) || !r.usable(w) {
			continue
		}
		s := free.Dominant(w.Capacity())
		if !r.prefersEmptiest() {
			s = -s
		}
		if best == nil || s > score {
			best, score = w, s
		}
	}
	return best
}

type picker func(ws []*anvilworker.Worker, fits func(*anvilworker.Worker) bool) *anvilworker.Worker

func placeEach(ix *Index, r Request, pick picker) []*anvilworker.Worker {
	p := ix.pools[r.pool]
	if p == nil {
		return nil
	}
	taken := map[string]anvilsize.Size{}
	fits := func(w *anvilworker.Worker) bool {
		return r.size.Add(taken[w.ID()]).Fits(w.Free()) && r.usable(w)
	}
	var out []*anvilworker.Worker
	for range r.count {
		w := pick(p.sorted, fits)
		if w == nil {
			return nil
		}
		taken[w.ID()] = taken[w.ID()].Add(r.size)
		out = append(out, w)
	}
	return out
}
