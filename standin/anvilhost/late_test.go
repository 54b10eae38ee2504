package anvilhost

import "testing"

// A start that waited in a buffer while the worker was paused must not run: the limit or the key that
// it was decided under may be gone.
func TestLateStart(t *testing.T) {
	t.Run("refused after its time", func(t *testing.T) {
		f := newFixture(t)
		f.fence(1, 0)
		late := f.host.clock.Now() + 2000
		f.clock.Advance(2001)
		f.start("a", "batch", WithUntil(late)).want("not-run", "stale")
	})
	t.Run("runs within its time", func(t *testing.T) {
		f := newFixture(t)
		f.fence(1, 0)
		f.start("a", "batch", WithUntil(f.host.clock.Now()+2000)).want("running", "")
	})
	t.Run("go refused after its time", func(t *testing.T) {
		f := newFixture(t)
		f.fence(1, 0)
		f.start("a", "gang", WithHold(true)).want("held", "")
		late := f.host.clock.Now() + 2000
		f.clock.Advance(2001)
		var acks []Ack
		if err := f.host.Control(shardName, 1, "a", "go", late, func(a Ack) { acks = append(acks, a) }); err != nil {
			t.Fatal(err)
		}
		if len(acks) != 1 || acks[0].OK() || acks[0].Code() != "stale" {
			t.Fatalf("go = %+v, want it refused as stale", acks)
		}
	})
}
