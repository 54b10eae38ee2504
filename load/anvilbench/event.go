package anvilbench

import (
	"container/heap"

	"anvilhold.org/lib/anvilclock"
)

// event is an action at a virtual time.
type event struct {
	at     anvilclock.Millis
	seq    int
	action func()
}

// timeline is a heap of the pending events, ordered by time. Events with equal times are in the order of creation.
type timeline struct {
	events []event
	seq    int
}

func (t *timeline) schedule(at anvilclock.Millis, action func()) {
	t.seq++
	heap.Push(t, event{at: at, seq: t.seq, action: action})
}

func (t *timeline) next() (event, bool) {
	if len(t.events) == 0 {
		return event{}, false
	}
	return heap.Pop(t).(event), true
}

// Len implements heap.Interface.
func (t *timeline) Len() int { return len(t.events) }

// Less implements heap.Interface.
func (t *timeline) Less(i, j int) bool {
	a, b := t.events[i], t.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

// Swap implements heap.Interface.
func (t *timeline) Swap(i, j int) { t.events[i], t.events[j] = t.events[j], t.events[i] }

// Push implements heap.Interface.
func (t *timeline) Push(x any) { t.events = append(t.events, x.(event)) }

// Pop implements heap.Interface.
func (t *timeline) Pop() any {
	e := t.events[len(t.events)-1]
	t.events[len(t.events)-1] = event{}
	t.events = t.events[:len(t.events)-1]
	return e
}
