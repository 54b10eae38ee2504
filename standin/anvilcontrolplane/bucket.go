package anvilcontrolplane

import "anvilhold.org/lib/anvilclock"

// bucket is a token bucket. Tokens are counted in thousandths, so that a rate per second and a
// time in milliseconds multiply without rounding.
type bucket struct {
	clock anvilclock.Clock
	rate  int64
	full  int64
	have  int64
	last  anvilclock.Millis
}

// token is one whole token.
const token = 1000

// newBucket returns a full bucket. A quarter of a second of burst absorbs readers that poll at the
// same moment and keeps any one second within 1.25 times the rate.
func newBucket(clock anvilclock.Clock, rate int64) *bucket {
	full := max(rate*token/4, token)
	return &bucket{clock: clock, rate: rate, full: full, have: full, last: clock.Now()}
}

func (b *bucket) take() bool {
	now := b.clock.Now()
	// More than a second always fills the bucket, and the bound keeps the product small.
	b.have = min(b.full, b.have+b.rate*int64(min(now-b.last, 1000)))
	b.last = now
	if b.have < token {
		return false
	}
	b.have -= token
	return true
}
