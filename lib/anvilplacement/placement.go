// Package anvilplacement chooses workers for tasks. It decides and changes no reservation.
//
// The open workers of each pool stand in one ordered tree for each group, by their free size. A
// group is a failure domain unless WithGroup says otherwise. The cost of a decision grows with the
// number of groups and far more slowly than the number of workers; sizes that had no room cost
// nothing until some worker has room for them.
package anvilplacement

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilworker"
)

// Index finds workers by pool and free size. It is not safe for concurrent use. Update must be
// called after every change of a worker that it holds.
type Index struct {
	pools map[string]*pool
	group func(*anvilworker.Worker) string
}

// IndexOption sets an optional part of an Index.
type IndexOption func(*Index)

// WithGroup sets how workers are grouped, for instance by shard. Workers of one group must be in
// one failure domain.
func WithGroup(f func(*anvilworker.Worker) string) IndexOption {
	return func(ix *Index) { ix.group = f }
}

// NewIndex returns an empty index.
func NewIndex(opts ...IndexOption) *Index {
	ix := &Index{pools: map[string]*pool{}, group: (*anvilworker.Worker).Domain}
	for _, opt := range opts {
		opt(ix)
	}
	return ix
}

// Add puts a worker into the index.
func (ix *Index) Add(w *anvilworker.Worker) {
	p := ix.pools[w.Pool()]
	if p == nil {
		p = newPool()
		ix.pools[w.Pool()] = p
	}
	p.add(w, ix.group(w))
}

// Remove takes a worker out of the index.
func (ix *Index) Remove(w *anvilworker.Worker) {
	p := ix.pools[w.Pool()]
	if p == nil {
		return
	}
	p.remove(w.ID())
	if len(p.entries) == 0 {
		delete(ix.pools, w.Pool())
	}
}

// Update tells the index that the reservations, the capacity or the openness of w have changed.
func (ix *Index) Update(w *anvilworker.Worker) {
	if p := ix.pools[w.Pool()]; p != nil {
		p.update(w.ID())
	}
}

// Place returns the workers for all places of r, one entry for each place, or nil when they can't
// all be had now. The same worker may stand in the result several times.
func (ix *Index) Place(r Request) []*anvilworker.Worker {
	p := ix.pools[r.pool]
	if p == nil {
		return nil
	}
	m := p.full.find(r.size)
	if r.count < 1 || m != nil && len(m.workers) == 0 {
		return nil
	}
	q := &query{request: &r}
	if r.count > 1 {
		return p.placeAll(q)
	}
	var n *node
	if m != nil {
		n = p.bestOf(q, m.workers)
	} else {
		n = p.best(q)
	}
	if n == nil {
		if q.rejected == 0 {
			p.full.add(r.size)
		}
		return nil
	}
	return []*anvilworker.Worker{n.worker}
}

// Pool returns what the index holds of a pool: the number of open workers, the sum of their free
// sizes, and the largest free size and the largest capacity in each dimension.
func (ix *Index) Pool(pool string) (open int, free, largest, capacity anvilsize.Size) {
	p := ix.pools[pool]
	if p == nil {
		return 0, free, largest, capacity
	}
	for _, g := range p.groups {
		if g.root != nil {
			largest = largest.Max(g.root.largest)
		}
	}
	return p.open, p.free, largest, p.capacity()
}

// Known reports whether the index holds a worker of the pool, open or not.
func (ix *Index) Known(pool string) bool { return ix.pools[pool] != nil }

// Never reports whether no worker of the pool, open or not, can ever hold size s, with the first
// dimension that is too small and the largest capacity in each dimension. The dimension is that of
// the worker that comes closest. It reports false for a pool that is not known.
func (ix *Index) Never(s anvilsize.Size, pool string) (d anvilsize.Dimension, largest anvilsize.Size, never bool) {
	p := ix.pools[pool]
	if p == nil {
		return 0, largest, false
	}
	largest = p.capacity()
	for c := range p.capacities {
		if s.Fits(c) {
			return 0, largest, false
		}
	}
	if d, over := s.Exceeds(largest); over {
		return d, largest, true
	}
	// Each amount fits some worker but no worker fits all of them.
	d, _ = s.Exceeds(p.biggest())
	return d, largest, true
}

// Places returns how many tasks of size s the pool could hold if all of its workers, open or not,
// were empty. An all-at-once job with more tasks can never run.
func (ix *Index) Places(s anvilsize.Size, pool string) int {
	p := ix.pools[pool]
	if p == nil {
		return 0
	}
	n := 0
	for c, workers := range p.capacities {
		n += workers * holds(c, s)
	}
	return n
}

// entry is what the index has counted of a worker.
type entry struct {
	node     *node
	group    *group
	capacity anvilsize.Size
	free     anvilsize.Size
	open     bool
}

type group struct {
	name   string
	domain string
	root   *node
}

type pool struct {
	entries    map[string]*entry
	sorted     []*anvilworker.Worker
	groups     []*group
	capacities map[anvilsize.Size]int
	open       int
	free       anvilsize.Size
	full       misses
}

func newPool() *pool {
	return &pool{entries: map[string]*entry{}, capacities: map[anvilsize.Size]int{}}
}

func byID(w *anvilworker.Worker, id string) int { return strings.Compare(w.ID(), id) }

func (p *pool) add(w *anvilworker.Worker, name string) {
	p.remove(w.ID())
	p.entries[w.ID()] = &entry{node: newNode(w), group: p.groupOf(name, w.Domain())}
	i, _ := slices.BinarySearchFunc(p.sorted, w.ID(), byID)
	p.sorted = slices.Insert(p.sorted, i, w)
	p.count(p.entries[w.ID()])
}

func (p *pool) remove(id string) {
	e := p.entries[id]
	if e == nil {
		return
	}
	p.uncount(e)
	e.open = false
	p.full.changed(e)
	delete(p.entries, id)
	if i, ok := slices.BinarySearchFunc(p.sorted, id, byID); ok {
		p.sorted = slices.Delete(p.sorted, i, i+1)
	}
}

func (p *pool) update(id string) {
	if e := p.entries[id]; e != nil {
		p.uncount(e)
		p.count(e)
	}
}

func (p *pool) groupOf(name, domain string) *group {
	i, ok := slices.BinarySearchFunc(p.groups, name, func(g *group, name string) int {
		return strings.Compare(g.name, name)
	})
	if !ok {
		p.groups = slices.Insert(p.groups, i, &group{name: name, domain: domain})
	}
	return p.groups[i]
}

func (p *pool) count(e *entry) {
	w := e.node.worker
	e.capacity, e.free, e.open = w.Capacity(), w.Free(), w.Schedulable()
	p.capacities[e.capacity]++
	p.full.changed(e)
	if !e.open {
		return
	}
	p.open++
	p.free = p.free.Add(e.free)
	e.node.set(anvilsize.Size{})
	e.group.root = insert(e.group.root, e.node)
}

func (p *pool) uncount(e *entry) {
	p.capacities[e.capacity]--
	if p.capacities[e.capacity] == 0 {
		delete(p.capacities, e.capacity)
	}
	if !e.open {
		return
	}
	p.open--
	p.free = p.free.Sub(e.free)
	e.group.root = remove(e.group.root, e.node)
}

// retake moves a worker to the place that it has after taken was subtracted.
func (p *pool) retake(e *entry, taken anvilsize.Size) {
	e.group.root = remove(e.group.root, e.node)
	e.node.set(taken)
	e.group.root = insert(e.group.root, e.node)
}

// capacity returns the largest capacity in each dimension.
func (p *pool) capacity() anvilsize.Size {
	var most anvilsize.Size
	for c := range p.capacities {
		most = most.Max(c)
	}
	return most
}

// biggest returns the capacity with the largest dominant part of the largest amounts; among equals
// the one with more of the first dimension in which they differ.
func (p *pool) biggest() anvilsize.Size {
	total := p.capacity()
	return slices.MaxFunc(slices.Collect(maps.Keys(p.capacities)), func(a, b anvilsize.Size) int {
		return cmp.Or(cmp.Compare(a.Dominant(total), b.Dominant(total)), cmp.Compare(a.CPU(), b.CPU()),
			cmp.Compare(a.Memory(), b.Memory()), cmp.Compare(a.Accel(), b.Accel()))
	})
}
