// Package anvillocality decides how long a task should wait for a place near its data or its group, when a place
// elsewhere, where it runs longer, is free now. It has no clock and knows nothing of workers; the caller estimates when a
// near place will be free.
package anvillocality

import "anvilhold.org/lib/anvilclock"

// Outcome is the result of a decision.
type Outcome string

// The outcomes.
const (
	// Wait means that the task waits until the decision's time at most.
	Wait Outcome = "wait"
	// Unavailable means that no near place is known to become free.
	Unavailable Outcome = "unavailable"
	// Spent means that the task has waited for as long as the longer run elsewhere would have taken.
	Spent Outcome = "spent"
	// Objective means that the job meets its objective elsewhere, but probably not after the wait.
	Objective Outcome = "objective"
	// Yields means that the job misses its objective in any case and leaves the near places to those that meet theirs.
	Yields Outcome = "yields"
	// Longer means that the task would probably end later after the wait than elsewhere.
	Longer Outcome = "longer"
)

// Request describes a task that could start elsewhere now. Times are on the caller's clock.
type Request struct {
	now         anvilclock.Millis
	since       anvilclock.Millis
	work        anvilclock.Millis
	nearAt      anvilclock.Millis
	latestStart anvilclock.Millis
	hasNear     bool
	contended   bool
}

// NewRequest returns the request of a task that takes work at a near place, has been able to start since a time, and
// whose job meets its objective if the task starts near its data at latestStart at the latest.
func NewRequest(now, since, work, latestStart anvilclock.Millis) Request {
	return Request{now: now, since: since, work: max(work, 0), latestStart: latestStart}
}

// NearAt returns the request with the time at which a near place is expected to be free. Without it, there is none.
func (r Request) NearAt(at anvilclock.Millis) Request {
	r.nearAt, r.hasNear = max(at, r.now), true
	return r
}

// Contended returns the request with whether more urgent tasks wait for the same places.
func (r Request) Contended(on bool) Request {
	r.contended = on
	return r
}

// Decision says whether a task waits.
type Decision struct {
	outcome Outcome
	until   anvilclock.Millis
}

// Waits reports whether the task waits. The decision is to be taken again when a place becomes free, and at Until.
func (d Decision) Waits() bool { return d.outcome == Wait }

// Until returns the time from which the task starts elsewhere; 0 when it doesn't wait.
func (d Decision) Until() anvilclock.Millis { return d.until }

// Outcome returns why the task waits or doesn't.
func (d Decision) Outcome() Outcome { return d.outcome }

// Rule takes the decisions. It is not safe for concurrent use. The zero value is off: no task waits.
type Rule struct {
	penalty float64
	// delay is by how much longer than expected near places took to become free, as a moving average.
	delay float64
}

// Bounds of the factor by which expected waits are corrected, and the weight of an observation in its average.
const (
	minDelay    = 0.5
	maxDelay    = 8.0
	delayWeight = 0.1
)

// New returns a rule for runs that take penalty times as long elsewhere. With a penalty of 1 or less no task waits.
func New(penalty float64) *Rule { return &Rule{penalty: penalty, delay: 1} }

// Enabled reports whether any task waits.
func (r *Rule) Enabled() bool { return r.penalty > 1 }

// Extra returns by how much longer a run takes elsewhere.
func (r *Rule) Extra(work anvilclock.Millis) anvilclock.Millis {
	if !r.Enabled() {
		return 0
	}
	return anvilclock.Millis(float64(work) * (r.penalty - 1))
}

// Decide returns whether a task waits for a near place. The expected wait is corrected by what was observed. A task never waits
// for longer in all than its run would take longer elsewhere: so the total is at most twice that of the better choice,
// however wrong the estimates are.
func (r *Rule) Decide(q Request) Decision {
	extra := r.Extra(q.work)
	spentAt := q.since + extra
	near := q.now + anvilclock.Millis(float64(q.nearAt-q.now)*r.delay)
	switch {
	case !r.Enabled() || !q.hasNear:
		return Decision{outcome: Unavailable}
	case q.now >= spentAt:
		return Decision{outcome: Spent}
	}
	metElsewhere, metNear := q.now+extra <= q.latestStart, near <= q.latestStart
	switch {
	case metElsewhere && !metNear:
		return Decision{outcome: Objective}
	case metElsewhere:
		// The wait ends while the objective can still be met elsewhere.
		if near >= q.now+extra {
			return Decision{outcome: Longer}
		}
		return Decision{outcome: Wait, until: min(spentAt, q.latestStart-extra)}
	case metNear:
		return Decision{outcome: Wait, until: min(spentAt, q.latestStart)}
	case q.contended:
		return Decision{outcome: Yields}
	case near < q.now+extra:
		return Decision{outcome: Wait, until: spentAt}
	}
	return Decision{outcome: Longer}
}

// Observe records that a near place which was expected to be free after a time was free after another one. Pairs without a
// wait are ignored.
func (r *Rule) Observe(expected, actual anvilclock.Millis) {
	if expected <= 0 {
		return
	}
	ratio := min(max(float64(actual)/float64(expected), minDelay), maxDelay)
	r.delay += delayWeight * (ratio - r.delay)
}

// Delay returns the factor by which expected waits are corrected.
func (r *Rule) Delay() float64 { return r.delay }
