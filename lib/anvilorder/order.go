// Package anvilorder decides which of the stages that wait for a pool can meet their objectives when the pool has no capacity
// for all of them in time, as in a burst.
//
// The decision is the selection rule of Moore and Hodgson for jobs with due times: stages are added in order of their
// latest starts, and once the pool has no capacity for all of them, the stage that takes the most capacity for one met
// objective is left out, the least urgent queue first. What is left out gets a second round, with the latest start at
// which its job still has a value.
package anvilorder

import (
	"cmp"
	"container/heap"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Class says by when the pool can do the work of a stage.
type Class int

// The classes, the most urgent first.
const (
	timely Class = iota // within its objective
	late                // later, while its job still has a value
	Unmet               // not while its job has a value
)

// Stage is waiting work of one job.
type Stage struct {
	queue    string
	priority int
	size     anvilsize.Size
	length   anvilclock.Millis
	cost     int64
	latest   anvilclock.Millis
	last     anvilclock.Millis
}

// NewStage returns a stage of a queue. The priority is the queue's; lower numbers are more urgent. The size is that of all
// its waiting tasks, and the length how long each of them takes. It must start by latest for its job to meet the
// objective, and by last for the job to have a value.
func NewStage(queue string, priority int, size anvilsize.Size, length, latest, last anvilclock.Millis, opts ...StageOption) Stage {
	s := Stage{queue: queue, priority: priority, size: size, length: length, latest: latest, last: last}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// StageOption sets an optional part of a Stage.
type StageOption func(*Stage)

// WithCost sets the capacity that the rest of the whole job takes, by which stages of a queue are compared: a share of the
// pool in parts per million, times milliseconds.
func WithCost(cost int64) StageOption { return func(s *Stage) { s.cost = cost } }

func (s Stage) work() anvilsize.Size { return s.size.Scale(int64(s.length)) }

// minQueuePercent is the share of a pool up to which no stages of a queue are left out, so that a stream of small jobs
// in another queue does not starve it.
const minQueuePercent = 12

// Classify returns the class of each stage.
func (f *Forecast) Classify(stages []Stage) []Class {
	classes := make([]Class, len(stages))
	var first, second []item
	for i, s := range stages {
		if s.latest >= f.now {
			first = append(first, item{stage: s, index: i, by: s.latest})
		} else {
			second = append(second, item{stage: s, index: i, by: s.last})
		}
	}
	kept, dropped := f.selectMeetable(first)
	for _, it := range dropped {
		second = append(second, item{stage: it.stage, index: it.index, by: it.stage.last})
	}
	for i := range kept {
		kept[i].fixed = true
	}
	for _, it := range second {
		classes[it.index] = late
	}
	_, dropped = f.selectMeetable(append(kept, second...))
	for _, it := range dropped {
		classes[it.index] = Unmet
	}
	return classes
}

// item is a stage in one round of the selection.
type item struct {
	stage Stage
	index int
	by    anvilclock.Millis
	// fixed means that the stage is not left out in this round.
	fixed bool
}

// selectMeetable separates the items that can start by their times from those that are left out.
func (f *Forecast) selectMeetable(items []item) (kept, dropped []item) {
	slices.SortFunc(items, func(a, b item) int { return cmp.Or(cmp.Compare(a.by, b.by), cmp.Compare(a.index, b.index)) })
	out := make([]bool, len(items))
	victims := newVictims(items)
	d := newDemand(f.now)
	for i, it := range items {
		d.add(it.stage, it.by)
		if !it.fixed {
			victims.push(i)
		}
		for dim, ok := f.fits(d); !ok; dim, ok = f.fits(d) {
			n, found := f.popVictim(victims[dim], out, dim, d)
			if !found {
				break
			}
			d.remove(items[n].stage)
			out[n] = true
		}
	}
	for i, it := range items {
		if out[i] {
			dropped = append(dropped, it)
		} else {
			kept = append(kept, it)
		}
	}
	return kept, dropped
}

// popVictim removes the costliest item that is still selected from the heap of a dimension. Items that their queue is entitled to
// leave the heap, but stay selected.
func (f *Forecast) popVictim(h *costliest, out []bool, dim anvilsize.Dimension, d *demand) (int, bool) {
	for h.Len() > 0 {
		n, ok := heap.Pop(h).(int)
		if !ok {
			break
		}
		if !out[n] && !f.entitled(h.items[n].stage, d, dim) {
			return n, true
		}
	}
	return 0, false
}

// entitled reports whether a queue would have less than its least share of the pool without a stage, of what runs and
// what is selected.
func (f *Forecast) entitled(s Stage, d *demand, dim anvilsize.Dimension) bool {
	least := f.total.In(dim) * minQueuePercent / 100
	return f.running[s.queue].In(dim) < least && d.queues[s.queue].In(dim)-s.size.In(dim) < least
}

// victims holds a heap for each dimension, of the items that take capacity in it: a search in one that has none of it left
// looks at no others.
type victims []*costliest

func newVictims(items []item) victims {
	v := make(victims, len(anvilsize.Dimensions()))
	for i := range v {
		v[i] = &costliest{items: items}
	}
	return v
}

func (v victims) push(n int) {
	for dim, h := range v {
		if h.items[n].stage.size.In(anvilsize.Dimension(dim)) > 0 {
			heap.Push(h, n)
		}
	}
}

// costliest is a heap of indices of items. The first is of the least urgent queue, and takes the most capacity.
type costliest struct {
	items []item
	heap  []int
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h *costliest) Len() int { return len(h.heap) }

// Less is described with Len.
func (h *costliest) Less(i, j int) bool {
	a, b := h.items[h.heap[i]], h.items[h.heap[j]]
	return cmp.Or(cmp.Compare(b.stage.priority, a.stage.priority), cmp.Compare(b.stage.cost, a.stage.cost),
		cmp.Compare(b.index, a.index)) < 0
}

// Swap is described with Len.
func (h *costliest) Swap(i, j int) { h.heap[i], h.heap[j] = h.heap[j], h.heap[i] }

// Push is described with Len.
func (h *costliest) Push(x any) {
	if n, ok := x.(int); ok {
		h.heap = append(h.heap, n)
	}
}

// Pop is described with Len.
func (h *costliest) Pop() any {
	n := h.heap[len(h.heap)-1]
	h.heap = h.heap[:len(h.heap)-1]
	return n
}
