package anvilcontrolplane

import (
	"errors"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"

	"anvilhold.org/standin/anvilfault"
	"anvilhold.org/standin/anvilstore"
)

type fixedRand int

func (r fixedRand) Percent() int { return int(r) }

func newControlPlane(r fixedRand, opts ...Option) (*ControlPlane, *anvilclock.Manual) {
	clock := anvilclock.NewManual(0)
	return New(r, append(opts, WithClock(clock))...), clock
}

func addFault(t *testing.T, cp *ControlPlane, kind string, opts ...anvilfault.Option) {
	t.Helper()
	f, err := anvilfault.New(kind, opts...)
	if err != nil {
		t.Fatal(err)
	}
	if err := cp.AddFault(f); err != nil {
		t.Fatal(err)
	}
}

func wantEffect(t *testing.T, cp *ControlPlane, region string, down bool, delay anvilclock.Millis, lose bool) {
	t.Helper()
	if e := cp.FaultEffect(region); e.Down() != down || e.Delay() != delay || e.LoseResponse() != lose {
		t.Fatalf("effect = %+v, want down=%t delay=%s lose=%t", e, down, delay, lose)
	}
}

// countAccepted returns the number of commits that are accepted before the first one that is over the rate limit.
func countAccepted(t *testing.T, cp *ControlPlane) int {
	t.Helper()
	c, err := anvilstore.NewChange("c", anvilstore.WithPut("a", nil), anvilstore.WithPut("b", nil))
	if err != nil {
		t.Fatal(err)
	}
	for n := 0; ; n++ {
		if _, _, err := cp.Commit(c); err != nil {
			var e *anvilerror.Error
			if !errors.As(err, &e) || e.Code() != anvilerror.OverRate {
				t.Fatalf("Commit: %v, want code %s", err, anvilerror.OverRate)
			}
			return n
		}
	}
}

// Guards against a rate limit that counts rows instead of commits, or that admits more commits than the rate over time.
func TestRateLimits(t *testing.T) {
	cp, clock := newControlPlane(0, WithRates(400, 2000))
	for _, tc := range []struct {
		name string
		wait anvilclock.Millis
		want int
	}{
		{"burst", 0, 100},
		{"burst used up", 0, 0},
		{"rate", 100, 40},
		{"one burst after a long pause", 60_000, 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock.Advance(tc.wait)
			if got := countAccepted(t, cp); got != tc.want {
				t.Fatalf("%d commits accepted, want %d", got, tc.want)
			}
		})
	}
	t.Run("reads have their own limit", func(t *testing.T) {
		if _, _, err := cp.Rows("a", 0); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against faults that last too long, affect the wrong region or replace one another.
func TestFaults(t *testing.T) {
	cp, clock := newControlPlane(50)
	addFault(t, cp, anvilfault.Slow, anvilfault.WithDelay(30), anvilfault.WithDuration(100))
	addFault(t, cp, anvilfault.Down, anvilfault.WithRegion("r2"))
	addFault(t, cp, anvilfault.Lose, anvilfault.WithPercent(51), anvilfault.WithRegion("r3"))
	addFault(t, cp, anvilfault.Lose, anvilfault.WithPercent(50), anvilfault.WithRegion("r4"))
	t.Run("for all regions", func(t *testing.T) { wantEffect(t, cp, "r1", false, 30, false) })
	t.Run("for one region", func(t *testing.T) { wantEffect(t, cp, "r2", true, 30, false) })
	t.Run("draw below the percentage", func(t *testing.T) { wantEffect(t, cp, "r3", false, 30, true) })
	t.Run("draw at the percentage", func(t *testing.T) { wantEffect(t, cp, "r4", false, 30, false) })
	clock.Advance(100)
	t.Run("after its duration", func(t *testing.T) { wantEffect(t, cp, "r2", true, 0, false) })
	addFault(t, cp, anvilfault.None)
	t.Run("cleared", func(t *testing.T) { wantEffect(t, cp, "r2", false, 0, false) })
	t.Run("unknown kind", func(t *testing.T) {
		if _, err := anvilfault.New("odd"); err == nil {
			t.Fatal("an unknown kind was accepted")
		}
	})
}
