package anvilcontrolplane

import "anvilhold.org/lib/anvilclock"

// bucket is a token bucket. Its amounts are thousandths of a token, so that a rate in tokens per second times a time in
// milliseconds needs no rounding.
type bucket struct {
	clock      anvilclock.Clock
	rate       int64
	capacity   int64
	tokens     int64
	refilledAt anvilclock.Millis
}

// tokenUnits is the amount of one whole token.
const tokenUnits = 1000

// newBucket returns a full bucket for rate tokens per second. Its capacity is the tokens of a quarter of a second: that
// admits clients that poll at the same moment and keeps the requests of any one second within 1.25 times the rate.
func newBucket(clock anvilclock.Clock, rate int64) *bucket {
	full := max(rate*tokenUnits/4, tokenUnits)
	return &bucket{clock: clock, rate: rate, capacity: full, tokens: full, refilledAt: clock.Now()}
}

// take removes one token and reports whether there was one.
func (b *bucket) take() bool {
	now := b.clock.Now()
	// A second always fills the bucket, and limiting the time to it keeps the product from overflowing.
	b.tokens = min(b.capacity, b.tokens+b.rate*int64(min(now-b.refilledAt, 1000)))
	b.refilledAt = now
	if b.tokens < tokenUnits {
		return false
	}
	b.tokens -= tokenUnits
	return true
}
