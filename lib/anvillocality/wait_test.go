package anvillocality

import (
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/internal/anvilassert"
)

func TestMain(m *testing.M) { anvilassert.Main(m) }

func assertOutcome(t *testing.T, r *Rule, q Request, want Outcome) {
	t.Helper()
	anvilassert.Equal(t, "outcome", r.Decide(q).Outcome(), want)
}

// Guards against waits that cost the caller more than the longer run elsewhere, and against runs elsewhere beside a near
// place that would soon have been free.
func TestDecide(t *testing.T) {
	const now, work = anvilclock.Millis(10_000), anvilclock.Millis(1000)
	loose := NewRequest(now, now, work, now+10_000)
	t.Run("without a penalty no task waits", func(t *testing.T) {
		assertOutcome(t, New(1), loose.NearAt(now+1), Unavailable)
	})
	t.Run("no near place", func(t *testing.T) { assertOutcome(t, New(2), loose, Unavailable) })
	t.Run("a near place is free before the longer run would end", func(t *testing.T) {
		assertOutcome(t, New(2), loose.NearAt(now+400), Wait)
	})
	t.Run("a near place is free too late", func(t *testing.T) {
		assertOutcome(t, New(2), loose.NearAt(now+1200), Longer)
	})
	t.Run("the wait ends when it has cost as much as the longer run", func(t *testing.T) {
		assertOutcome(t, New(2), NewRequest(now, now-1000, work, now+10_000).NearAt(now+10), Spent)
	})
	t.Run("only the run elsewhere meets the objective", func(t *testing.T) {
		assertOutcome(t, New(1.3), NewRequest(now, now, work, now+350).NearAt(now+360), Objective)
	})
	t.Run("only a near run meets the objective", func(t *testing.T) {
		assertOutcome(t, New(3), NewRequest(now, now, work, now+900).NearAt(now+800), Wait)
	})
	t.Run("a late job leaves places to those that can be in time", func(t *testing.T) {
		late := NewRequest(now, now, work, now-1).NearAt(now + 10)
		assertOutcome(t, New(3), late, Wait)
		assertOutcome(t, New(3), late.Contended(true), Yields)
	})
	t.Run("the wait ends while the objective can be met elsewhere", func(t *testing.T) {
		d := New(2).Decide(NewRequest(now, now, work, now+1300).NearAt(now + 200))
		anvilassert.Equal(t, "until", d.Until(), now+300)
	})
	t.Run("places that become free later than expected shorten the waits", func(t *testing.T) {
		r := New(2)
		for range 50 {
			r.Observe(100, 400)
		}
		assertOutcome(t, r, loose.NearAt(now+400), Longer)
	})
}

// Guards against a task that waits for ever, or so long that it would have been better off elsewhere by more than its own
// longer run, with any error of the estimates.
func TestWaitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(rapid.Float64Range(1, 5).Draw(t, "penalty"))
		work := anvilclock.Millis(rapid.Int64Range(0, 60_000).Draw(t, "work"))
		latest := anvilclock.Millis(rapid.Int64Range(-20_000, 60_000).Draw(t, "latest"))
		for now := anvilclock.Millis(0); ; now += 50 {
			nearAt := now + anvilclock.Millis(rapid.Int64Range(0, 5000).Draw(t, "near"))
			d := r.Decide(NewRequest(now, 0, work, latest).NearAt(nearAt))
			if !d.Waits() {
				anvilassert.True(t, now <= r.Extra(work)+50, "waited for %d, the longer run takes %d", now, r.Extra(work))
				return
			}
			anvilassert.True(t, d.Until() <= r.Extra(work), "waits until %d, the longer run takes %d", d.Until(), r.Extra(work))
			r.Observe(nearAt-now, anvilclock.Millis(rapid.Int64Range(0, 5000).Draw(t, "actual")))
		}
	})
}
