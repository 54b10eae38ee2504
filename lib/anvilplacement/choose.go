package anvilplacement

import (
	"maps"

	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilworker"
)

// scoreBucket is the width of the ranges of free dominant size, in parts per million of the capacity, within
// which the preferred failure domain decides. Exactly equal scores are rare once task sizes differ.
const scoreBucket = 50_000

// prefersByDomain reports whether a is preferred to b by a request with a preferred failure domain. b may be
// nil.
func (r *Request) prefersByDomain(a, b *node) bool {
	if b == nil {
		return true
	}
	if sa, sb := r.score(a)/scoreBucket, r.score(b)/scoreBucket; sa != sb {
		return sa > sb
	}
	if na, nb := a.worker.Domain() == r.preferredDomain, b.worker.Domain() == r.preferredDomain; na != nb {
		return na
	}
	return r.score(a) > r.score(b)
}

// score returns a number that is higher for workers that the request prefers.
func (r *Request) score(n *node) int64 {
	if r.prefersEmptiest() {
		return n.score
	}
	return -n.score
}

// searchGroup returns the preferred worker with capacity in g, or best when none is preferred to it. Without a
// preferred domain the search skips workers whose score isn't higher than that of best. With one, a worker with
// a lower score may be preferred, so the search starts without best.
func (q *query) searchGroup(g *group, best *node) *node {
	if f, ok := q.request.filter.(GroupFilter); ok && !f.AllowGroup(g.name) {
		q.rejected++
		return best
	}
	if q.request.preferredDomain == "" {
		return q.search(g.root, best)
	}
	if n := q.search(g.root, nil); n != nil && q.request.prefersByDomain(n, best) {
		return n
	}
	return best
}

// best returns the preferred worker with capacity, or nil. It searches the failure domains with the fewest
// replicas first.
func (p *pool) best(q *query) *node {
	r := q.request
	if r.replicas == nil {
		return p.bestIn(q, func(*group) bool { return true })
	}
	for level := -1; ; {
		next := -1
		for _, g := range p.groups {
			if n := r.replicas[g.domain]; n > level && (next < 0 || n < next) {
				next = n
			}
		}
		if next < 0 {
			return nil
		}
		if n := p.bestIn(q, func(g *group) bool { return r.replicas[g.domain] == next }); n != nil {
			return n
		}
		level = next
	}
}

func (p *pool) bestIn(q *query, include func(*group) bool) *node {
	var best *node
	for _, g := range p.groups {
		if include(g) {
			best = q.searchGroup(g, best)
		}
	}
	return best
}

// placeAll chooses the slots of a request one after another. For a request that prefers the fullest worker, and
// gives no replicas, it takes all free slots of that worker in one step. It restores the trees before it
// returns.
func (p *pool) placeAll(q *query) []*anvilworker.Worker {
	r := q.request
	if r.replicas != nil {
		r.replicas = maps.Clone(r.replicas)
	}
	taken := map[string]anvilsize.Size{}
	defer func() {
		for id := range taken {
			p.reindex(p.entries[id], anvilsize.Size{})
		}
	}()
	var out []*anvilworker.Worker
	for len(out) < r.count {
		n := p.best(q)
		if n == nil {
			return nil
		}
		slots := 1
		if !r.prefersEmptiest() && r.replicas == nil {
			slots = min(slotsIn(n.free, r.size), r.count-len(out))
		}
		for range slots {
			out = append(out, n.worker)
		}
		id := n.worker.ID()
		taken[id] = taken[id].Add(r.size.Scale(int64(slots)))
		p.reindex(p.entries[id], taken[id])
		if r.replicas != nil {
			r.replicas[n.worker.Domain()] += slots
		}
	}
	return out
}

// unlimitedSlots is the number of slots for a task that requests nothing.
const unlimitedSlots = 1 << 20

// slotsIn returns how many tasks of size s fit into free.
func slotsIn(free, s anvilsize.Size) int {
	n := int64(unlimitedSlots)
	for _, d := range anvilsize.Dimensions() {
		if s.In(d) > 0 {
			n = min(n, free.In(d)/s.In(d))
		}
	}
	return int(max(n, 0))
}
