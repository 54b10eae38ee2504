// Package anviladmission decides whether a job is accepted while there is more work than capacity. The load that it answers
// lasts longer than the objectives of jobs: then some have no value by the time there is capacity for them, and their callers
// are better told at once.
package anviladmission

import (
	"encoding/json"
	"fmt"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Shortage says that a pool has no capacity for some jobs of a queue: those that need no less than demand in each respect, and
// whose objective is no longer.
type Shortage struct {
	queue  string
	total  anvilsize.Size
	demand Demand
	wait   anvilclock.Millis
}

// NewShortage returns a shortage of a queue in a pool of a total size: a job with a demand, as DemandOf returns it, would get no
// capacity before it has no value. The work that waits without capacity would take the whole pool for wait.
func NewShortage(queue string, total anvilsize.Size, demand Demand, wait anvilclock.Millis) Shortage {
	return Shortage{queue: queue, total: total, demand: demand, wait: wait}
}

// Queue returns the queue whose jobs a shortage concerns.
func (s Shortage) Queue() string { return s.queue }

// Backlog is what an instance knows of the shortages. It is immutable.
type Backlog struct {
	shortages []Shortage
	at        anvilclock.Millis
}

// NewBacklog returns a backlog with the shortages that were known at a local time.
func NewBacklog(at anvilclock.Millis, shortages ...Shortage) *Backlog {
	return &Backlog{shortages: shortages, at: at}
}

// Empty reports whether there is no shortage.
func (b *Backlog) Empty() bool { return b == nil || len(b.shortages) == 0 }

// maxShortages bounds the encoding, which is part of a row that the leader writes with each commit.
const maxShortages = 8

type shortageText struct {
	Queue string   `json:"queue"`
	Total [3]int64 `json:"total"`
	Cost  int64    `json:"cost"`
	Path  int64    `json:"path"`
	Width [3]int64 `json:"width"`
	Wait  int64    `json:"wait"`
}

// outdated reports whether a backlog is too old to be used at a local time.
func (b *Backlog) outdated(now anvilclock.Millis) bool { return now-b.at > maxBacklogAge }

// Encode returns the shortages as text for another instance; empty when there are none, or when they are too old at a local
// time: the other instance dates them by its read. At most maxShortages are in it.
func (b *Backlog) Encode(now anvilclock.Millis) string {
	if b.Empty() || b.outdated(now) {
		return ""
	}
	var out []shortageText
	for _, s := range b.shortages[:min(len(b.shortages), maxShortages)] {
		out = append(out, shortageText{
			Queue: s.queue, Total: amounts(s.total), Wait: int64(s.wait),
			Cost: s.demand.cost, Path: int64(s.demand.path), Width: amounts(s.demand.width),
		})
	}
	text, err := json.Marshal(out)
	if err != nil {
		// Not reached: the type always marshals.
		return ""
	}
	return string(text)
}

func amounts(s anvilsize.Size) [3]int64 { return [3]int64{s.CPU(), s.Memory(), s.Accel()} }

func sizeOf(a [3]int64) anvilsize.Size { return anvilsize.New(a[0], a[1], a[2]) }

// Decode returns the backlog that Encode has encoded, as known at a local time.
func Decode(text string, at anvilclock.Millis) (*Backlog, error) {
	if text == "" {
		return NewBacklog(at), nil
	}
	var in []shortageText
	if err := json.Unmarshal([]byte(text), &in); err != nil {
		return nil, fmt.Errorf("backlog: %w", err)
	}
	b := NewBacklog(at)
	for _, s := range in {
		demand := Demand{cost: s.Cost, path: anvilclock.Millis(s.Path), width: sizeOf(s.Width)}
		b.shortages = append(b.shortages, NewShortage(s.Queue, sizeOf(s.Total), demand, anvilclock.Millis(s.Wait)))
	}
	return b, nil
}
