package anvillimit

import (
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/internal/anvilassert"
)

func admitted(a *Admission, rate, maxInFlight int64, now anvilclock.Millis, tries int) int {
	n := 0
	for range tries {
		if a.Admit("red", rate, maxInFlight, now) == nil {
			n++
		}
	}
	return n
}

// Guards against admitting too many or too few requests, and against a wrong retry delay.
func TestAdmission(t *testing.T) {
	t.Run("burst", func(t *testing.T) {
		a := NewAdmission()
		anvilassert.Equal(t, "admitted at once", admitted(a, 5, 0, 100, 9), 5)
		anvilassert.Equal(t, "admitted after 400 ms", admitted(a, 5, 0, 500, 9), 2)
		anvilassert.Equal(t, "admitted after a minute", admitted(a, 5, 0, 60_500, 9), 5)
	})
	t.Run("exact retry delay", func(t *testing.T) {
		a := NewAdmission()
		admitted(a, 3, 0, 100, 3)
		err := a.Admit("red", 3, 0, 100)
		anvilassert.Equal(t, "code", err.Code(), anvilerror.OverRate)
		anvilassert.Equal(t, "outcome", err.Outcome(), anvilerror.NotRun)
		anvilassert.Equal(t, "before the delay", admitted(a, 3, 0, 100+err.Retry()-1, 1), 0)
		anvilassert.Equal(t, "after the delay", admitted(a, 3, 0, 100+err.Retry(), 1), 1)
	})
	t.Run("concurrency", func(t *testing.T) {
		a := NewAdmission()
		anvilassert.Equal(t, "admitted", admitted(a, 0, 2, 0, 5), 2)
		anvilassert.True(t, a.Admit("red", 0, 2, 0).Retry() > 0, "no retry delay")
		a.Done("red")
		anvilassert.Equal(t, "in flight", a.InFlight("red"), int64(1))
		anvilassert.Equal(t, "admitted after one ended", admitted(a, 0, 2, 0, 5), 1)
	})
	t.Run("refusal by concurrency uses no token", func(t *testing.T) {
		a := NewAdmission()
		admitted(a, 3, 1, 0, 9)
		a.Done("red")
		anvilassert.Equal(t, "admitted", admitted(a, 3, 0, 0, 9), 2)
	})
	t.Run("no limit", func(t *testing.T) {
		anvilassert.Equal(t, "admitted", admitted(NewAdmission(), 0, 0, 0, 100), 100)
	})
	t.Run("limit set later", func(t *testing.T) {
		a := NewAdmission()
		admitted(a, 0, 0, 0, 1)
		anvilassert.Equal(t, "admitted", admitted(a, 2, 0, 1000, 9), 2)
	})
	t.Run("separate teams", func(t *testing.T) {
		a := NewAdmission()
		admitted(a, 1, 0, 0, 5)
		anvilassert.True(t, a.Admit("blue", 1, 0, 0) == nil, "the requests of another team counted")
	})
	t.Run("unknown team", func(t *testing.T) {
		a := NewAdmission()
		a.Done("red")
		anvilassert.Equal(t, "in flight", a.InFlight("red"), int64(0))
	})
	t.Run("forgets idle teams", func(t *testing.T) {
		a := NewAdmission()
		admitted(a, 1, 0, 0, 1)
		a.Done("red")
		anvilassert.True(t, a.Admit("blue", 1, 0, 10_000) == nil, "the request was refused")
		anvilassert.Equal(t, "teams", len(a.teams), 1)
	})
}

// Guards against more requests than the rate allows, over any length of time.
func TestAdmissionRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, rate := NewAdmission(), rapid.Int64Range(1, 50).Draw(t, "rate")
		var now anvilclock.Millis
		var n int64
		for _, d := range rapid.SliceOfN(rapid.IntRange(0, 300), 1, 200).Draw(t, "intervals") {
			now += anvilclock.Millis(d)
			if a.Admit("red", rate, 0, now) == nil {
				n++
			}
			anvilassert.True(t, n*1000 <= rate*1000+rate*int64(now), "%d admitted within %v at %d a second", n, now, rate)
		}
	})
}

func retries(b *Budget, now anvilclock.Millis, tries int) int {
	n := 0
	for range tries {
		if b.TryRetry(now) {
			n++
		}
	}
	return n
}

// Guards against retries that multiply the load.
func TestBudget(t *testing.T) {
	t.Run("minimum", func(t *testing.T) {
		b := NewBudget()
		anvilassert.Equal(t, "first second", retries(b, 0, 5), 1)
		anvilassert.Equal(t, "same second", retries(b, 999, 5), 0)
		anvilassert.Equal(t, "next second", retries(b, 1000, 5), 1)
	})
	t.Run("share", func(t *testing.T) {
		b := NewBudget(WithRetryPercent(20), WithMinRate(0))
		for range 50 {
			b.RecordStart(0)
		}
		anvilassert.Equal(t, "retries of 50 starts", retries(b, 0, 50), 10)
	})
	t.Run("bounded number of saved retries", func(t *testing.T) {
		b := NewBudget(WithMinRate(0))
		for range 100_000 {
			b.RecordStart(0)
		}
		anvilassert.Equal(t, "retries", retries(b, 0, 1000), 100)
	})
}

// Guards against delays outside their bounds, that don't grow, or that are the same for every seed.
func TestBackoff(t *testing.T) {
	t.Run("bounds", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			base := anvilclock.Millis(rapid.IntRange(1, 1000).Draw(t, "base"))
			ceiling := anvilclock.Millis(rapid.IntRange(1, 100_000).Draw(t, "ceiling"))
			b := NewBackoff(base, ceiling, rapid.Uint64().Draw(t, "seed"))
			limit := base
			for range 40 {
				d := b.Next()
				anvilassert.True(t, d >= 1 && d <= limit, "delay %v, limit %v", d, limit)
				limit = min(2*limit, max(base, ceiling))
			}
			b.Reset()
			anvilassert.True(t, b.Next() <= base, "delay after Reset is larger than base")
		})
	})
	t.Run("seeds differ", func(t *testing.T) {
		delays := func(seed uint64) (out []anvilclock.Millis) {
			b := NewBackoff(100, 100_000, seed)
			for range 8 {
				out = append(out, b.Next())
			}
			return out
		}
		anvilassert.Equal(t, "same seed", delays(1), delays(1))
		one, two := delays(1), delays(2)
		anvilassert.True(t, one[7] != two[7] || one[6] != two[6], "two seeds give the same delays")
	})
	t.Run("no overflow", func(t *testing.T) {
		b := NewBackoff(1<<61, 1<<62, 1)
		for range 4 {
			anvilassert.True(t, b.Next() > 0, "the limit overflowed")
		}
	})
}
