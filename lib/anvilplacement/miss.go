package anvilplacement

import (
	"slices"

	"anvilhold.org/lib/anvilsize"
)

// miss records that no worker of a pool had capacity for a size. workers are those that have capacity for it
// now; no other worker has capacity for this size or a larger one.
type miss struct {
	size    anvilsize.Size
	workers []*entry
}

// missCache holds the recent misses of a pool. On a full fleet the same sizes are tried again and again, and a
// search that finds nothing is the most expensive one.
type missCache struct {
	list []*miss
}

// Bounds of the work of an update, which compares every miss, and of a decision, which tries every worker of a
// miss. A miss that would get more workers is dropped, so that the next decision searches the trees again.
const (
	maxMisses      = 64
	maxMissWorkers = 8
)

// find returns a miss that applies to s, because its size is not larger, or nil. Of several it returns the one
// with the fewest workers.
func (m *missCache) find(s anvilsize.Size) *miss {
	var best *miss
	for _, x := range m.list {
		if x.size.Fits(s) && (best == nil || len(x.workers) < len(best.workers)) {
			best = x
		}
	}
	return best
}

// add records a miss for s and drops those for larger sizes, to which it applies as well.
func (m *missCache) add(s anvilsize.Size) {
	m.list = slices.DeleteFunc(m.list, func(x *miss) bool { return s.Fits(x.size) })
	if len(m.list) == maxMisses {
		m.list = slices.Delete(m.list, 0, 1)
	}
	m.list = append(m.list, &miss{size: s})
}

// update adds the worker to the misses that it has capacity for and removes it from the others. It must be
// called after each change of the worker's free size or schedulable state.
func (m *missCache) update(e *entry) {
	for i := len(m.list) - 1; i >= 0; i-- {
		x := m.list[i]
		at := slices.Index(x.workers, e)
		switch fits := e.schedulable && x.size.Fits(e.free); {
		case fits && at < 0 && len(x.workers) == maxMissWorkers:
			m.list = slices.Delete(m.list, i, i+1)
		case fits && at < 0:
			x.workers = append(x.workers, e)
		case !fits && at >= 0:
			x.workers = slices.Delete(x.workers, at, at+1)
		}
	}
}

// bestOf returns the preferred worker with capacity among the given ones, or nil.
func (p *pool) bestOf(q *query, workers []*entry) *node {
	r := q.request
	var best *node
	for _, e := range workers {
		if f, ok := r.filter.(GroupFilter); ok && !f.AllowGroup(e.group.name) {
			q.rejected++
			continue
		}
		if q.accept(e.node) && (best == nil || r.prefers(e.node, best)) {
			best = e.node
		}
	}
	return best
}

// prefers reports whether a is preferred to b, first by the number of replicas in the failure domain.
func (r *Request) prefers(a, b *node) bool {
	if sa, sb := r.replicas[a.worker.Domain()], r.replicas[b.worker.Domain()]; sa != sb {
		return sa < sb
	}
	if r.preferredDomain != "" {
		return r.prefersByDomain(a, b)
	}
	if sa, sb := r.score(a), r.score(b); sa != sb {
		return sa > sb
	}
	return a.worker.ID() < b.worker.ID()
}
