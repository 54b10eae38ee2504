package anvilclock_test

import (
	"fmt"
	"testing"
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/internal/anvilassert"
)

// Guards against a clock that goes backwards and against wrong units.
func TestClocks(t *testing.T) {
	t.Run("manual", func(t *testing.T) {
		c := anvilclock.NewManual(10)
		c.Advance(5)
		c.Advance(-3)
		anvilassert.Equal(t, "now", c.Now(), anvilclock.Millis(15))
		anvilassert.Equal(t, "unix time", c.Unix(), c.Now())
	})
	t.Run("system", func(t *testing.T) {
		var c anvilclock.Clock = anvilclock.NewSystem()
		first := c.Now()
		anvilassert.True(t, first >= 0 && c.Now() >= first, "the clock went backwards")
		anvilassert.True(t, c.Unix() > 1_600_000_000_000, "Unix is not in milliseconds: %v", c.Unix())
	})
	t.Run("conversion of durations", func(t *testing.T) {
		anvilassert.Equal(t, "from", anvilclock.FromDuration(1999*time.Microsecond), anvilclock.Millis(1))
		anvilassert.Equal(t, "to", anvilclock.Millis(2).Duration(), 2*time.Millisecond)
	})
}

// Tests of code that takes a Clock use a Manual, so that only Advance makes time pass.
func ExampleManual() {
	clock := anvilclock.NewManual(0)
	deadline := clock.Now() + 200
	clock.Advance(150)
	fmt.Println(clock.Now(), clock.Now() >= deadline)
	clock.Advance(50)
	fmt.Println(clock.Now(), clock.Now() >= deadline)
	// Output:
	// 150ms false
	// 200ms true
}
