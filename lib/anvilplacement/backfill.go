package anvilplacement

import (
	"cmp"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviltask"
)

// Backfill decides which waiting tasks get reservations. Without a reservation a large task never starts on a
// full fleet, because smaller tasks take all capacity that becomes free, and teams with large tasks fall behind
// their shares. It is not safe for concurrent use.
type Backfill struct {
	minWait anvilclock.Millis
	limit   int
	pools   map[string]*backlog
}

// backlog is the state of one pool. The candidates are the tasks recorded since the last Renew.
type backlog struct {
	gangs        []candidate
	others       []candidate
	reservations map[string]*Reservation
	reservedIDs  []string
	candidates   map[string]bool
}

type candidate struct {
	id      string
	request Request
	since   anvilclock.Millis
}

// BackfillOption configures a Backfill.
type BackfillOption func(*Backfill)

// WithMinWait sets how long a task must wait before it can get a reservation.
func WithMinWait(d anvilclock.Millis) BackfillOption { return func(b *Backfill) { b.minWait = d } }

// WithLimit sets how many tasks of a pool, other than gang jobs, can have reservations. Only one gang job of a
// pool has one at a time.
func WithLimit(n int) BackfillOption { return func(b *Backfill) { b.limit = n } }

// Defaults of the options. Section 6 of the design sets the minimum wait.
const (
	defaultMinWait = anvilclock.Millis(5000)
	defaultLimit   = 4
)

// NewBackfill returns a Backfill without reservations.
func NewBackfill(opts ...BackfillOption) *Backfill {
	b := &Backfill{minWait: defaultMinWait, limit: defaultLimit, pools: map[string]*backlog{}}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

func (b *Backfill) pool(name string) *backlog {
	p := b.pools[name]
	if p == nil {
		p = &backlog{reservations: map[string]*Reservation{}, candidates: map[string]bool{}}
		b.pools[name] = p
	}
	return p
}

// RecordWaiting records that a pass found no capacity for a task that has waited since the given time. A task
// that has waited for less than the minimum is ignored. Tasks get reservations in the order in which they are
// recorded; among gang jobs the one that has waited longest gets the reservation.
func (b *Backfill) RecordWaiting(id string, r Request, since, now anvilclock.Millis) {
	if now-since < b.minWait {
		return
	}
	p := b.pool(r.pool)
	if p.candidates[id] {
		return
	}
	c := candidate{id: id, request: r, since: since}
	switch {
	case r.kind == anviltask.Gang:
		p.gangs = append(p.gangs, c)
	case len(p.others) < b.limit:
		p.others = append(p.others, c)
	default:
		return
	}
	p.candidates[id] = true
}

// Renew replaces the reservations of a pool with reservations for the tasks recorded since the last call. ends
// are the expected ends of the pool's running tasks.
func (b *Backfill) Renew(ix *Index, pool string, now anvilclock.Millis, ends []ExpectedEnd) {
	p := b.pool(pool)
	slices.SortFunc(p.gangs, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.id, b.id))
	})
	clear(p.reservations)
	p.reservedIDs = p.reservedIDs[:0]
	for _, c := range slices.Concat(p.gangs[:min(len(p.gangs), 1)], p.others) {
		r := c.request
		r.reserved, r.end = p.otherReservations(c.id), 0
		if res := ix.Reserve(r, now, ends); res != nil {
			p.reservations[c.id] = res
			p.reservedIDs = append(p.reservedIDs, c.id)
		}
	}
	p.gangs, p.others = p.gangs[:0], p.others[:0]
	clear(p.candidates)
}

// Forget removes the reservation of a task that was placed or removed, if it has one.
func (b *Backfill) Forget(id, pool string) {
	p := b.pools[pool]
	if p == nil || p.reservations[id] == nil {
		return
	}
	delete(p.reservations, id)
	p.reservedIDs = without(p.reservedIDs, id)
}

// ReservedByOthers reports whether the pool has a reservation for a task other than id.
func (b *Backfill) ReservedByOthers(id, pool string) bool {
	return len(b.otherReservations(id, pool)) > 0
}

// RequestOption returns an option that excludes the workers reserved for tasks other than id, unless the request
// ends, at the time end, before they are needed. An end of 0 means that the end is unknown.
func (b *Backfill) RequestOption(id, pool string, end anvilclock.Millis) Option {
	return WithBackfill(end, b.otherReservations(id, pool)...)
}

func (b *Backfill) otherReservations(id, pool string) []*Reservation {
	if p := b.pools[pool]; p != nil {
		return p.otherReservations(id)
	}
	return nil
}

// otherReservations returns the reservations of tasks other than id, in the order in which they were made.
func (p *backlog) otherReservations(id string) []*Reservation {
	var out []*Reservation
	for _, other := range p.reservedIDs {
		if other != id {
			out = append(out, p.reservations[other])
		}
	}
	return out
}

func without(ids []string, id string) []string {
	return slices.DeleteFunc(ids, func(o string) bool { return o == id })
}
