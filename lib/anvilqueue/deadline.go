package anvilqueue

import (
	"container/heap"

	"anvilhold.org/lib/anvilclock"
)

// deadlines is a heap of tasks by deadline. A task that leaves the queue before its deadline stays in the heap,
// marked as removed, until half of the heap is marked. A removal then takes constant time on average.
type deadlines struct {
	heap    deadlineHeap
	removed int
}

// compactAbove is the number of marked tasks below which the heap isn't compacted, so that a small heap isn't
// rebuilt over and over.
const compactAbove = 64

func (d *deadlines) add(n *node, at anvilclock.Millis) {
	n.deadline = at
	heap.Push(&d.heap, n)
}

func (d *deadlines) remove(n *node) {
	if n.deadline == 0 {
		return
	}
	n.removed = true
	d.removed++
	if d.removed < compactAbove || d.removed*2 < len(d.heap) {
		return
	}
	kept := d.heap[:0]
	for _, m := range d.heap {
		if !m.removed {
			kept = append(kept, m)
		}
	}
	clear(d.heap[len(kept):])
	d.heap, d.removed = kept, 0
	heap.Init(&d.heap)
}

// popDue removes and returns the task with the earliest deadline if that is not after now, or nil.
func (d *deadlines) popDue(now anvilclock.Millis) *node {
	for len(d.heap) > 0 {
		n := d.heap[0]
		if !n.removed && n.deadline > now {
			return nil
		}
		heap.Pop(&d.heap)
		if !n.removed {
			return n
		}
		d.removed--
	}
	return nil
}

type deadlineHeap []*node

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if h[i].deadline != h[j].deadline {
		return h[i].deadline < h[j].deadline
	}
	return h[i].seq < h[j].seq
}

func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(*node)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return n
}
