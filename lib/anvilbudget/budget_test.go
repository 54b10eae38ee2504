package anvilbudget

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
)

const testLimit = 1000

func assertDropped(t *testing.T, got []Holder, ok bool, want ...Holder) {
	t.Helper()
	if !ok || !slices.Equal(got, want) {
		t.Fatalf("dropped %v (reserved %t), want %v", got, ok, want)
	}
}

// hold opens a holder with n bytes at a time.
func hold(b *Budget, n int64, at anvilclock.Millis) Holder {
	h := b.Open(at)
	b.Reserve(h, n, at)
	return h
}

func TestOrder(t *testing.T) {
	t.Run("a holder without progress goes before a larger one", func(t *testing.T) {
		// Guards against refusing clients that send at full speed while others hold memory and send nothing.
		b := New(testLimit)
		stalled := hold(b, 300, 0)
		hold(b, 600, defaultStall)
		h := b.Open(defaultStall)
		got, ok := b.Reserve(h, 200, defaultStall)
		assertDropped(t, got, ok, stalled)
	})
	t.Run("a trickle is no progress", func(t *testing.T) {
		// Guards against holders that keep their memory by sending a byte now and then.
		b := New(testLimit)
		slow := hold(b, 300, 0)
		b.Reserve(slow, 1, 2*defaultStall)
		hold(b, 600, 2*defaultStall)
		h := b.Open(2 * defaultStall)
		got, ok := b.Reserve(h, 200, 2*defaultStall)
		assertDropped(t, got, ok, slow)
	})
	t.Run("the largest goes next", func(t *testing.T) {
		// Guards against refusing many small requests for one large one.
		b := New(testLimit)
		hold(b, 300, 0)
		largest := hold(b, 600, 0)
		h := b.Open(0)
		got, ok := b.Reserve(h, 200, 0)
		assertDropped(t, got, ok, largest)
	})
	t.Run("the request that would be the largest is refused", func(t *testing.T) {
		// Guards against small requests that lose their place to a new large one.
		b := New(testLimit)
		hold(b, 300, 0)
		h := hold(b, 600, 0)
		if got, ok := b.Reserve(h, 200, 0); ok || len(got) > 0 {
			t.Fatalf("dropped %v, reserved %t", got, ok)
		}
	})
	t.Run("a request that is handled stays", func(t *testing.T) {
		// Guards against dropping a request whose job may already be stored.
		b := New(testLimit)
		b.Pin(hold(b, 900, 0))
		h := b.Open(defaultStall)
		if got, ok := b.Reserve(h, 200, defaultStall); ok || len(got) > 0 {
			t.Fatalf("dropped %v, reserved %t", got, ok)
		}
	})
}

// Guards against a sum over the budget, against reservations that are lost, and against a budget that stays used up after
// the crowd has gone.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(testLimit, WithMinProgress(100, 50))
		now := anvilclock.Millis(0)
		model, pinned := map[Holder]int64{}, map[Holder]bool{}
		pick := func() Holder { return Holder(rapid.Int64Range(1, int64(b.next)+1).Draw(t, "holder")) }
		known := func(h Holder) bool { _, ok := model[h]; return ok }
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) { model[b.Open(now)] = 0 },
			"time": func(t *rapid.T) { now += anvilclock.Millis(rapid.IntRange(0, 200).Draw(t, "ms")) },
			"reserve": func(t *rapid.T) {
				h, n := pick(), rapid.Int64Range(0, testLimit+1).Draw(t, "bytes")
				dropped, ok := b.Reserve(h, n, now)
				for _, d := range dropped {
					if !known(d) || pinned[d] || d == h || !ok {
						t.Fatalf("dropped %d: known %t, pinned %t, reserved %t", d, known(d), pinned[d], ok)
					}
					delete(model, d)
				}
				if ok {
					model[h] += n
				} else if known(h) && b.Used()+n <= testLimit {
					t.Fatalf("refused %d bytes with %d in use", n, b.Used())
				}
			},
			"release": func(t *rapid.T) {
				h, n := pick(), rapid.Int64Range(0, testLimit).Draw(t, "bytes")
				b.Release(h, n)
				if known(h) {
					model[h] -= min(n, model[h])
				}
			},
			"close": func(*rapid.T) { h := pick(); b.Close(h); delete(model, h); delete(pinned, h) },
			"pin":   func(*rapid.T) { h := pick(); b.Pin(h); pinned[h] = known(h) },
			"unpin": func(*rapid.T) { h := pick(); b.Unpin(h, now); delete(pinned, h) },
			"": func(t *rapid.T) {
				var sum int64
				for h, n := range model {
					sum += n
					if b.Held(h) != n {
						t.Fatalf("holder %d has %d bytes, want %d", h, b.Held(h), n)
					}
				}
				if b.Used() != sum || sum > testLimit {
					t.Fatalf("%d bytes in use, the holders have %d of %d", b.Used(), sum, testLimit)
				}
			},
		})
		for h := range model {
			b.Close(h)
		}
		if _, ok := b.Reserve(b.Open(now), testLimit, now); !ok {
			t.Fatal("a request is refused after all others have gone")
		}
	})
}
