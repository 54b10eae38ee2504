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

func (d fixedRand) Percent() int { return int(d) }

func newControlPlane(d fixedRand, opts ...Option) (*ControlPlane, *anvilclock.Manual) {
	clock := anvilclock.NewManual(0)
	return New(d, append(opts, WithClock(clock))...), clock
}

func addFault(t *testing.T, h *ControlPlane, kind string, opts ...anvilfault.Option) {
	t.Helper()
	f, err := anvilfault.New(kind, opts...)
	if err != nil {
		t.Fatal(err)
	}
	if err := h.AddFault(f); err != nil {
		t.Fatal(err)
	}
}

func wantEffect(t *testing.T, h *ControlPlane, region string, down bool, delay anvilclock.Millis, lose bool) {
	t.Helper()
	if v := h.FaultEffect(region); v.Down() != down || v.Delay() != delay || v.LoseResponse() != lose {
		t.Fatalf("verdict = %+v, want down=%t delay=%s lose=%t", v, down, delay, lose)
	}
}

// accepted counts the commits that pass the cap before the first that does not.
func countAccepted(t *testing.T, h *ControlPlane) int {
	t.Helper()
	c, err := anvilstore.NewChange("c", anvilstore.WithPut("a", nil), anvilstore.WithPut("b", nil))
	if err != nil {
		t.Fatal(err)
	}
	for n := 0; ; n++ {
		if _, _, err := h.Commit(c); err != nil {
			var e *anvilerror.Error
			if !errors.As(err, &e) || e.Code() != anvilerror.OverRate {
				t.Fatalf("Commit: %v, want code %s", err, anvilerror.OverRate)
			}
			return n
		}
	}
}

// Guards against a cap that counts rows in place of commits, or that lets more through over time.
func TestRateCaps(t *testing.T) {
	h, clock := newControlPlane(0, WithRates(400, 2000))
	for _, tc := range []struct {
		name string
		wait anvilclock.Millis
		want int
	}{
		{"burst", 0, 100},
		{"nothing is left", 0, 0},
		{"rate", 100, 40},
		{"a long pause gives one burst", 60_000, 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clock.Advance(tc.wait)
			if got := countAccepted(t, h); got != tc.want {
				t.Fatalf("%d commits passed, want %d", got, tc.want)
			}
		})
	}
	t.Run("reads have their own cap", func(t *testing.T) {
		if _, _, err := h.Rows("a", 0); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against faults that last too long, hit the wrong region or replace one another.
func TestFaults(t *testing.T) {
	h, clock := newControlPlane(50)
	addFault(t, h, anvilfault.Slow, anvilfault.WithDelay(30), anvilfault.WithDuration(100))
	addFault(t, h, anvilfault.Down, anvilfault.WithRegion("r2"))
	addFault(t, h, anvilfault.Lose, anvilfault.WithPercent(51), anvilfault.WithRegion("r3"))
	addFault(t, h, anvilfault.Lose, anvilfault.WithPercent(50), anvilfault.WithRegion("r4"))
	t.Run("for all", func(t *testing.T) { wantEffect(t, h, "r1", false, 30, false) })
	t.Run("for a region", func(t *testing.T) { wantEffect(t, h, "r2", true, 30, false) })
	t.Run("draw within the percentage", func(t *testing.T) { wantEffect(t, h, "r3", false, 30, true) })
	t.Run("draw outside the percentage", func(t *testing.T) { wantEffect(t, h, "r4", false, 30, false) })
	clock.Advance(100)
	t.Run("after its time", func(t *testing.T) { wantEffect(t, h, "r2", true, 0, false) })
	addFault(t, h, anvilfault.None)
	t.Run("cleared", func(t *testing.T) { wantEffect(t, h, "r2", false, 0, false) })
	t.Run("malformed", func(t *testing.T) {
		if _, err := anvilfault.New("odd"); err == nil {
			t.Fatal("an unknown kind was accepted")
		}
	})
}
