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

// Shortage says that a pool has no capacity for some jobs of a queue.
type Shortage struct {
	queue string
	total anvilsize.Size
	cost  int64
	wait  anvilclock.Millis
}

// NewShortage returns a shortage for the jobs of a queue that take at least cost, as Cost returns it for the total size of
// the pool: one that came now would get no capacity before it has no value. The work that waits without capacity would take the
// whole pool for wait.
func NewShortage(queue string, total anvilsize.Size, cost int64, wait anvilclock.Millis) Shortage {
	return Shortage{queue: queue, total: total, cost: cost, wait: wait}
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
			Queue: s.queue, Cost: s.cost, Wait: int64(s.wait),
			Total: [3]int64{s.total.CPU(), s.total.Memory(), s.total.Accel()},
		})
	}
	text, err := json.Marshal(out)
	if err != nil {
		// Not reached: the type always marshals.
		return ""
	}
	return string(text)
}

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
		total := anvilsize.New(s.Total[0], s.Total[1], s.Total[2])
		b.shortages = append(b.shortages, NewShortage(s.Queue, total, s.Cost, anvilclock.Millis(s.Wait)))
	}
	return b, nil
}
