package anvillistener

import (
	"sync"

	"anvilhold.org/lib/anvilclock"
)

// reportInterval is the shortest time between two reports of the same reason.
const reportInterval = anvilclock.Millis(10_000)

// Reporter reports refusals, at most one report for each reason and interval. It is safe for concurrent use.
type Reporter struct {
	clock  anvilclock.Clock
	report func(why Refusal, n int64)
	mu     sync.Mutex
	counts map[Refusal]int64
	last   map[Refusal]anvilclock.Millis
}

// NewReporter returns a reporter. report gets a reason and the number of refusals since its last report.
func NewReporter(clock anvilclock.Clock, report func(why Refusal, n int64)) *Reporter {
	return &Reporter{clock: clock, report: report, counts: map[Refusal]int64{}, last: map[Refusal]anvilclock.Millis{}}
}

// Record counts a refusal and reports it if it is time.
func (r *Reporter) Record(why Refusal) {
	r.mu.Lock()
	r.counts[why]++
	n, now := r.counts[why], r.clock.Now()
	last, reported := r.last[why]
	due := !reported || now-last >= reportInterval
	if due {
		r.counts[why], r.last[why] = 0, now
	}
	r.mu.Unlock()
	if due {
		r.report(why, n)
	}
}
