package anvilplacement

import (
	"github.com/cespare/xxhash/v2"

	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilworker"
)

// node is a worker in a treap. The treap is ordered by code, the interleaved bits of the free fractions of all
// dimensions, so that workers with similar free sizes are close together and the largest amounts of a subtree
// are close to what its workers have. Ordered by the dominant dimension alone, workers with much memory and no
// processors would be among those with both, and a search on a full fleet would visit most of them. The
// priority is a hash of the worker's id, so that the shape of the tree, and with it every decision, is the same
// in each run.
type node struct {
	worker   *anvilworker.Worker
	code     uint64
	score    int64 // free dominant size
	priority uint64
	free     anvilsize.Size
	left     *node
	right    *node
	largest  anvilsize.Size // largest free amounts in the subtree
	low      int64          // lowest and highest score in the subtree
	high     int64
}

func newNode(w *anvilworker.Worker) *node {
	return &node{worker: w, priority: xxhash.Sum64String(w.ID())}
}

// set sets the free size to that of the worker less taken, computes the values that depend on it, and clears
// the links.
func (n *node) set(taken anvilsize.Size) {
	n.free = n.worker.Free().Sub(taken)
	n.score = n.free.Dominant(n.worker.Capacity())
	n.code = interleave(n.free, n.worker.Capacity())
	n.left, n.right = nil, nil
	n.refresh()
}

// fractionBits is the number of bits of a free fraction in the code of a node.
const fractionBits = 10

// interleave returns the interleaved bits of the free fractions of all dimensions, the highest bits first.
func interleave(free, capacity anvilsize.Size) uint64 {
	var code uint64
	for _, d := range anvilsize.Dimensions() {
		if capacity.In(d) <= 0 || free.In(d) <= 0 {
			continue
		}
		f := min(uint64(free.In(d)<<fractionBits/capacity.In(d)), 1<<fractionBits-1)
		for bit := range fractionBits {
			code |= f >> bit & 1 << (bit*len(anvilsize.Dimensions()) + int(d))
		}
	}
	return code
}

func (n *node) less(o *node) bool {
	if n.code != o.code {
		return n.code < o.code
	}
	return n.worker.ID() < o.worker.ID()
}

func (n *node) refresh() *node {
	n.largest, n.low, n.high = n.free, n.score, n.score
	for _, c := range [...]*node{n.left, n.right} {
		if c != nil {
			n.largest = n.largest.Max(c.largest)
			n.low, n.high = min(n.low, c.low), max(n.high, c.high)
		}
	}
	return n
}

// split divides the subtree n into the nodes that are less than m and the others.
func split(n, m *node) (low, high *node) {
	if n == nil {
		return nil, nil
	}
	if n.less(m) {
		n.right, high = split(n.right, m)
		return n.refresh(), high
	}
	low, n.left = split(n.left, m)
	return low, n.refresh()
}

// merge joins two treaps. Every node of low must be less than every node of high.
func merge(low, high *node) *node {
	switch {
	case low == nil:
		return high
	case high == nil:
		return low
	case low.priority > high.priority:
		low.right = merge(low.right, high)
		return low.refresh()
	default:
		high.left = merge(low, high.left)
		return high.refresh()
	}
}

func insert(n, m *node) *node {
	if n == nil {
		return m
	}
	if m.priority > n.priority {
		m.left, m.right = split(n, m)
		return m.refresh()
	}
	if m.less(n) {
		n.left = insert(n.left, m)
	} else {
		n.right = insert(n.right, m)
	}
	return n.refresh()
}

// remove takes m out of the subtree n. m must still have the code that it was inserted with.
func remove(n, m *node) *node {
	if n == nil {
		return nil
	}
	if n == m {
		return merge(n.left, n.right)
	}
	if m.less(n) {
		n.left = remove(n.left, m)
	} else {
		n.right = remove(n.right, m)
	}
	return n.refresh()
}

// query is the search for one decision. rejected counts the workers and groups that the filter rejected.
type query struct {
	request  *Request
	rejected int
}

// maxRejected bounds how many workers a filter may reject in one decision; the search then ends. A group that a
// GroupFilter rejects counts as one.
const maxRejected = 1024

func (q *query) accept(n *node) bool {
	if !q.request.size.Fits(n.free) {
		return false
	}
	if q.request.usable(n.worker) {
		return true
	}
	q.rejected++
	return false
}

// search returns the preferred worker with capacity in the subtree n, or best when none is preferred to it. It
// skips subtrees without capacity and those without a higher score.
func (q *query) search(n, best *node) *node {
	if n == nil || !q.request.size.Fits(n.largest) || !q.canImprove(n, best) || q.rejected >= maxRejected {
		return best
	}
	if (best == nil || q.request.score(n) > q.request.score(best)) && q.accept(n) {
		best = n
	}
	first, second := n.left, n.right
	if first == nil || second != nil && q.scoreBound(second) > q.scoreBound(first) {
		first, second = second, first
	}
	return q.search(second, q.search(first, best))
}

// scoreBound returns an upper bound of the scores in the subtree.
func (q *query) scoreBound(n *node) int64 {
	if q.request.prefersEmptiest() {
		return n.high
	}
	return -n.low
}

func (q *query) canImprove(n, best *node) bool {
	return best == nil || q.scoreBound(n) > q.request.score(best)
}
