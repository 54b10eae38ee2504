package anvillimit

import (
	"math/rand/v2"

	"anvilhold.org/lib/anvilclock"
)

// Budget limits retries to a percentage of the starts, so that retries can't multiply the load when most
// starts fail. A small constant rate is always allowed, so that an instance with few requests can retry.
// It is not safe for concurrent use.
type Budget struct {
	retryPercent  int64 // retries per hundred starts
	minRate       int64 // per second
	earned        int64 // hundredths of a retry
	minRateBucket bucket
	started       bool
}

// BudgetOption configures a Budget.
type BudgetOption func(*Budget)

// WithRetryPercent sets the number of retries allowed per hundred starts.
func WithRetryPercent(percent int64) BudgetOption {
	return func(b *Budget) { b.retryPercent = percent }
}

// WithMinRate sets the number of retries per second that are allowed without any start.
func WithMinRate(n int64) BudgetOption { return func(b *Budget) { b.minRate = n } }

// maxEarned is the largest number of retries that starts can save up, in hundredths. It bounds the
// burst of retries after a long time without failures.
const maxEarned = 100 * 100

// NewBudget returns a budget of 10% of the starts and at least one retry per second.
func NewBudget(opts ...BudgetOption) *Budget {
	b := &Budget{retryPercent: 10, minRate: 1}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// RecordStart counts the first start of a task, which earns retries.
func (b *Budget) RecordStart(now anvilclock.Millis) {
	b.refill(now)
	b.earned = min(b.earned+b.retryPercent, maxEarned)
}

// TryRetry reports whether a retry is allowed now, and if so, deducts it from the budget.
func (b *Budget) TryRetry(now anvilclock.Millis) bool {
	b.refill(now)
	switch {
	case b.minRateBucket.units >= unit:
		b.minRateBucket.units -= unit
	case b.earned >= 100:
		b.earned -= 100
	default:
		return false
	}
	return true
}

func (b *Budget) refill(now anvilclock.Millis) {
	if !b.started {
		b.minRateBucket, b.started = bucket{units: b.minRate * unit, filledAt: now}, true
	}
	b.minRateBucket.fill(b.minRate, b.minRate, now)
}

// Backoff computes the delays between attempts: exponential with full jitter. It is not safe for concurrent
// use.
type Backoff struct {
	base, ceiling anvilclock.Millis
	limit         anvilclock.Millis
	random        *rand.Rand
}

// NewBackoff returns a Backoff whose first delay is at most base and whose delays never exceed ceiling. A base
// below 1 ms counts as 1 ms, and a ceiling below base as base. The seed determines the jitter.
func NewBackoff(base, ceiling anvilclock.Millis, seed uint64) *Backoff {
	base = max(base, 1)
	ceiling = max(base, ceiling)
	return &Backoff{base: base, ceiling: ceiling, limit: base, random: rand.New(rand.NewPCG(seed, 0))}
}

// Next returns the next delay, between 1 ms and the current limit, and doubles the limit.
func (b *Backoff) Next() anvilclock.Millis {
	d := 1 + anvilclock.Millis(b.random.Int64N(int64(b.limit)))
	if b.limit > b.ceiling/2 {
		b.limit = b.ceiling
	} else {
		b.limit *= 2
	}
	return d
}

// Reset sets the limit back to base. It is called after a successful attempt.
func (b *Backoff) Reset() { b.limit = b.base }
