package anvilcontrolplane

import "anvilhold.org/lib/anvilclock"

// bucket is a token bucket. Tokens are counted in thousandths, so that a rate per second and a
// time in milliseconds multiply without rounding.
type bucket struct {
	clock      anvilclock.Clock
	rate       int64
	capacity   int64
	tokens     int64
	refilledAt anvilclock.Millis
}

// token is one whole token.
const tokenUnits = 1000

// newBucket returns a full bucket. A quarter of a second of burst absorbs readers that poll at the
// same moment and keeps any one second within 1.25 times the rate.
func newBucket(clock anvilclock.Clock, rate int64) *bucket {
	full := max(rate*tokenUnits/4, tokenUnits)
	return &bucket{clock: clock, rate: rate, capacity: full, tokens: full, refilledAt: clock.Now()}
}

func (b *bucket) take() bool {
	now := b.clock.Now()
	// More than a second always fills the bucket, and the bound keeps the product small.
	b.tokens = min(b.capacity, b.tokens+b.rate*int64(min(now-b.refilledAt, 1000)))
	b.refilledAt = now
	if b.tokens < tokenUnits {
		return false
	}
	b.tokens -= tokenUnits
	return true
}
