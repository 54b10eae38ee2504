package anvilorder

import (
	"cmp"
	"container/heap"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// demand is the selected work up to a latest start.
type demand struct {
	now anvilclock.Millis
	// span is the time from now to the latest start of the stage that was added last.
	span anvilclock.Millis
	// turnover is the size, times its length, of the stages that are not longer than span, which can follow each other on
	// the same capacity. The other ones have to run at the same time, and take simultaneous.
	turnover     anvilsize.Size
	simultaneous anvilsize.Size
	long         lengthHeap
	// queues holds the sizes of the selected stages of each queue.
	queues map[string]anvilsize.Size
}

func newDemand(now anvilclock.Millis) *demand {
	return &demand{now: now, queues: map[string]anvilsize.Size{}}
}

// add adds a stage that starts by a time, which is not before that of the previous stage.
func (d *demand) add(s Stage, by anvilclock.Millis) {
	d.span = max(by-d.now, forecastStep)
	d.queues[s.queue] = d.queues[s.queue].Add(s.size)
	d.simultaneous = d.simultaneous.Add(s.size)
	heap.Push(&d.long, lengthEntry{length: s.length, size: s.size})
	for d.long.Len() > 0 && d.long[0].length <= d.span {
		e, ok := heap.Pop(&d.long).(lengthEntry)
		if !ok {
			return
		}
		d.simultaneous = d.simultaneous.Sub(e.size)
		d.turnover = d.turnover.Add(e.size.Scale(int64(e.length)))
	}
}

// remove removes a stage that was added.
func (d *demand) remove(s Stage) {
	d.queues[s.queue] = d.queues[s.queue].Sub(s.size)
	if s.length <= d.span {
		d.turnover = d.turnover.Sub(s.work())
		return
	}
	d.simultaneous = d.simultaneous.Sub(s.size)
	heap.Push(&d.long, lengthEntry{length: s.length, size: anvilsize.Size{}.Sub(s.size)})
}

// peak returns the capacity that the stages need at span.
func (d *demand) peak() anvilsize.Size {
	return d.simultaneous.Add(d.turnover.Ratio(1, int64(d.span)))
}

// lengthEntry is the size of stages of a length. That of a removed stage is negative.
type lengthEntry struct {
	length anvilclock.Millis
	size   anvilsize.Size
}

// lengthHeap is a heap of entries, the shortest first.
type lengthHeap []lengthEntry

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h lengthHeap) Len() int { return len(h) }

// Less is described with Len.
func (h lengthHeap) Less(i, j int) bool { return cmp.Less(h[i].length, h[j].length) }

// Swap is described with Len.
func (h lengthHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is described with Len.
func (h *lengthHeap) Push(x any) {
	if e, ok := x.(lengthEntry); ok {
		*h = append(*h, e)
	}
}

// Pop is described with Len.
func (h *lengthHeap) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}
