// Package anvilbudget bounds what the callers of a process together make it hold in memory: unfinished requests, requests
// that are being handled, and answers that have not been read. It decides who has to go when the bound is reached; the
// caller closes their connections.
package anvilbudget

import (
	"cmp"
	"slices"

	"anvilhold.org/lib/anvilclock"
)

// Holder is a connection or a decoded request for which bytes are reserved.
type Holder int64

const (
	// defaultStall is the time without progress after which a holder goes before others. A client with a slow link sends a
	// segment more often.
	defaultStall = anvilclock.Millis(2000)
	// defaultMinRate is the progress in bytes a second that a holder needs. Slower clients are served as long as the budget
	// is not used up.
	defaultMinRate = 500
)

type state struct {
	bytes    int64
	since    anvilclock.Millis // when the first of the bytes was reserved
	progress anvilclock.Millis // when bytes were last read or written
	moved    int64             // bytes read or written since then
	pinned   bool
}

// Budget is a bound on the bytes of all holders. It is not safe for concurrent use.
type Budget struct {
	limit   int64
	stall   anvilclock.Millis
	minRate int64
	used    int64
	next    Holder
	holders map[Holder]*state
}

// Option configures a Budget.
type Option func(*Budget)

// WithMinProgress sets the time without progress after which a holder goes first, and the rate in bytes a second that
// counts as progress.
func WithMinProgress(stall anvilclock.Millis, rate int64) Option {
	return func(b *Budget) { b.stall, b.minRate = stall, rate }
}

// New returns a budget of limit bytes.
func New(limit int64, opts ...Option) *Budget {
	b := &Budget{limit: limit, stall: defaultStall, minRate: defaultMinRate, holders: map[Holder]*state{}}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Open adds a holder without bytes. Close removes it.
func (b *Budget) Open(now anvilclock.Millis) Holder {
	b.next++
	b.holders[b.next] = &state{since: now, progress: now}
	return b.next
}

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 { return b.used }

// Limit returns the bound.
func (b *Budget) Limit() int64 { return b.limit }

// Held returns the bytes that are reserved for a holder.
func (b *Budget) Held(h Holder) int64 {
	if s := b.holders[h]; s != nil {
		return s.bytes
	}
	return 0
}

// Reserve reserves n more bytes for a holder. If the budget is used up, it drops other holders and returns them: first
// those that make no progress, then the largest. It returns false, and drops none, if that is not enough or if the
// holder itself is the next one to go.
func (b *Budget) Reserve(h Holder, n int64, now anvilclock.Millis) (dropped []Holder, ok bool) {
	s := b.holders[h]
	if s == nil {
		return nil, false
	}
	if missing := b.used + n - b.limit; missing > 0 {
		if dropped, ok = b.choose(h, s.bytes+n, missing, now); !ok {
			return nil, false
		}
		for _, d := range dropped {
			b.Close(d)
		}
	}
	if s.bytes == 0 {
		s.since, s.moved = now, 0
	}
	s.bytes, s.progress, s.moved = s.bytes+n, now, s.moved+n
	b.used += n
	return dropped, true
}

// choose returns the holders to drop so that missing bytes become free. Holder h, which is going to hold size bytes, is in
// the order like the others, but it has just made progress.
func (b *Budget) choose(h Holder, size, missing int64, now anvilclock.Millis) ([]Holder, bool) {
	type candidate struct {
		holder  Holder
		stalled bool
		bytes   int64
	}
	var order []candidate
	for id, s := range b.holders {
		if id != h && !s.pinned && s.bytes > 0 && (b.stalled(s, now) || s.bytes >= size) {
			order = append(order, candidate{id, b.stalled(s, now), s.bytes})
		}
	}
	slices.SortFunc(order, func(x, y candidate) int {
		if x.stalled != y.stalled {
			if x.stalled {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.bytes, x.bytes), cmp.Compare(x.holder, y.holder))
	})
	var out []Holder
	for _, c := range order {
		if missing <= 0 {
			break
		}
		out = append(out, c.holder)
		missing -= c.bytes
	}
	return out, missing <= 0
}

// stalled reports whether a holder makes no progress: nothing has moved for the stall time, or less than the minimum rate
// since the holder began.
func (b *Budget) stalled(s *state, now anvilclock.Millis) bool {
	if now-s.progress >= b.stall {
		return true
	}
	age := now - s.since
	return age >= b.stall && s.moved*1000 < b.minRate*int64(age)
}

// Progress records that n bytes of a holder's answer were written.
func (b *Budget) Progress(h Holder, n int64, now anvilclock.Millis) {
	if s := b.holders[h]; s != nil {
		s.progress, s.moved = now, s.moved+n
	}
}

// Pin keeps a holder from being dropped while its request is handled, and Unpin ends that.
func (b *Budget) Pin(h Holder) { b.setPinned(h, true) }

// Unpin allows a holder to be dropped again. Its progress counts from now.
func (b *Budget) Unpin(h Holder, now anvilclock.Millis) {
	b.setPinned(h, false)
	if s := b.holders[h]; s != nil {
		s.since, s.progress, s.moved = now, now, 0
	}
}

func (b *Budget) setPinned(h Holder, pinned bool) {
	if s := b.holders[h]; s != nil {
		s.pinned = pinned
	}
}

// Release gives back up to n bytes of a holder.
func (b *Budget) Release(h Holder, n int64) {
	if s := b.holders[h]; s != nil {
		n = min(n, s.bytes)
		s.bytes -= n
		b.used -= n
	}
}

// Close removes a holder and gives back its bytes. A holder that was dropped may be closed again.
func (b *Budget) Close(h Holder) {
	b.Release(h, b.Held(h))
	delete(b.holders, h)
}
