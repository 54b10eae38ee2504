// Package anvilplacement chooses workers for tasks. It only decides; the caller makes the reservations.
//
// The schedulable workers of a pool are kept in one search tree per group, ordered by free size. A group is a
// failure domain unless WithGroup says otherwise. The cost of a decision grows with the number of groups, and
// much more slowly with the number of workers. A size for which no worker has capacity is remembered and costs
// nothing until some worker has capacity for it.
package anvilplacement

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilworker"
)

// Index finds workers by pool and free size. It is not safe for concurrent use. The caller calls Update after
// every change of a worker in the index.
type Index struct {
	pools map[string]*pool
	group func(*anvilworker.Worker) string
}

// IndexOption configures an Index.
type IndexOption func(*Index)

// WithGroup sets the function that returns the name of a worker's group, for instance its shard. All workers of
// a group must be in the same failure domain. By default each failure domain is a group.
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

// Add puts a worker into the index. It replaces a worker of the same pool and id.
func (ix *Index) Add(w *anvilworker.Worker) {
	p := ix.pools[w.Pool()]
	if p == nil {
		p = newPool()
		ix.pools[w.Pool()] = p
	}
	p.add(w, ix.group(w))
}

// Remove deletes a worker from the index. A worker that isn't in the index is ignored.
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

// Update brings the index up to date with w. It must be called after each change of the reservations, the
// capacity or the schedulable state of w. A worker that isn't in the index is ignored.
func (ix *Index) Update(w *anvilworker.Worker) {
	if p := ix.pools[w.Pool()]; p != nil {
		p.update(w.ID())
	}
}

// Place returns one worker for each slot of r, or nil when the slots aren't all free now. A worker can be in
// the result several times. Place doesn't reserve the slots.
func (ix *Index) Place(r Request) []*anvilworker.Worker {
	p := ix.pools[r.pool]
	if p == nil {
		return nil
	}
	m := p.misses.find(r.size)
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
			p.misses.add(r.size)
		}
		return nil
	}
	return []*anvilworker.Worker{n.worker}
}

// Pool returns the number of schedulable workers of a pool, the sum of their free sizes, and their largest free
// amount in each dimension. The capacity is the largest in each dimension among all workers of the pool,
// schedulable or not. All results are zero for an unknown pool.
func (ix *Index) Pool(pool string) (schedulable int, free, largest, capacity anvilsize.Size) {
	p := ix.pools[pool]
	if p == nil {
		return 0, free, largest, capacity
	}
	for _, g := range p.groups {
		if g.root != nil {
			largest = largest.Max(g.root.largest)
		}
	}
	return p.schedulable, p.free, largest, p.maxCapacity()
}

// KnowsPool reports whether the index has a worker of the pool, schedulable or not.
func (ix *Index) KnowsPool(pool string) bool { return ix.pools[pool] != nil }

// NeverFits reports whether s exceeds the capacity of every worker of the pool, schedulable or not. If so, d is
// the first dimension in which s is too large. When each amount fits some worker but none fits them all, d
// refers to the worker with the largest capacity. The second result is the largest capacity in each dimension.
// For an unknown pool the result is false.
func (ix *Index) NeverFits(s anvilsize.Size, pool string) (d anvilsize.Dimension, largest anvilsize.Size, never bool) {
	p := ix.pools[pool]
	if p == nil {
		return 0, largest, false
	}
	largest = p.maxCapacity()
	for c := range p.capacities {
		if s.Fits(c) {
			return 0, largest, false
		}
	}
	if d, over := s.Exceeds(largest); over {
		return d, largest, true
	}
	// Each amount fits some worker but no worker fits all of them.
	d, _ = s.Exceeds(p.largestCapacity())
	return d, largest, true
}

// Slots returns how many tasks of size s the pool could run if all of its workers, schedulable or not, were
// empty. A gang job with more tasks can never run.
func (ix *Index) Slots(s anvilsize.Size, pool string) int {
	p := ix.pools[pool]
	if p == nil {
		return 0
	}
	n := 0
	for c, workers := range p.capacities {
		n += workers * slotsIn(c, s)
	}
	return n
}

// entry holds the values of a worker that are included in the sums of its pool.
type entry struct {
	node        *node
	group       *group
	capacity    anvilsize.Size
	free        anvilsize.Size
	schedulable bool
}

type group struct {
	name   string
	domain string
	root   *node
}

type pool struct {
	entries     map[string]*entry
	sorted      []*anvilworker.Worker
	groups      []*group
	capacities  map[anvilsize.Size]int
	schedulable int
	free        anvilsize.Size
	misses      missCache
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
	e.schedulable = false
	p.misses.update(e)
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
	e.capacity, e.free, e.schedulable = w.Capacity(), w.Free(), w.Schedulable()
	p.capacities[e.capacity]++
	p.misses.update(e)
	if !e.schedulable {
		return
	}
	p.schedulable++
	p.free = p.free.Add(e.free)
	e.node.set(anvilsize.Size{})
	e.group.root = insert(e.group.root, e.node)
}

func (p *pool) uncount(e *entry) {
	p.capacities[e.capacity]--
	if p.capacities[e.capacity] == 0 {
		delete(p.capacities, e.capacity)
	}
	if !e.schedulable {
		return
	}
	p.schedulable--
	p.free = p.free.Sub(e.free)
	e.group.root = remove(e.group.root, e.node)
}

// reindex moves a worker to its position in the tree after taken is subtracted from its free size.
func (p *pool) reindex(e *entry, taken anvilsize.Size) {
	e.group.root = remove(e.group.root, e.node)
	e.node.set(taken)
	e.group.root = insert(e.group.root, e.node)
}

// maxCapacity returns the largest capacity in each dimension.
func (p *pool) maxCapacity() anvilsize.Size {
	var largest anvilsize.Size
	for c := range p.capacities {
		largest = largest.Max(c)
	}
	return largest
}

// largestCapacity returns the capacity with the largest dominant share of maxCapacity. Ties are broken by
// processor, then memory, then accelerators.
func (p *pool) largestCapacity() anvilsize.Size {
	total := p.maxCapacity()
	return slices.MaxFunc(slices.Collect(maps.Keys(p.capacities)), func(a, b anvilsize.Size) int {
		return cmp.Or(cmp.Compare(a.Dominant(total), b.Dominant(total)), cmp.Compare(a.CPU(), b.CPU()),
			cmp.Compare(a.Memory(), b.Memory()), cmp.Compare(a.Accel(), b.Accel()))
	})
}
