package anvilregistry

import (
	"slices"
	"testing"

	"anvilhold.org/lib/anvilclock"
)

const lag anvilclock.Millis = 1000

func newRegistry() (*Registry, *anvilclock.Manual) {
	clock := anvilclock.NewManual(0)
	return New(clock, lag), clock
}

func register(t *testing.T, r *Registry, id, state string) {
	t.Helper()
	in, err := NewInstance(id, "worker", "127.0.0.1:1", WithState(state))
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Register(in); err != nil {
		t.Fatal(err)
	}
}

// mustList checks the visible instances, written as "id state".
func mustList(t *testing.T, r *Registry, want ...string) {
	t.Helper()
	var got []string
	for _, in := range r.List() {
		got = append(got, in.ID()+" "+in.State())
	}
	if !slices.Equal(got, want) {
		t.Fatalf("list = %v, want %v", got, want)
	}
}

// Guards against registrations and removals that become visible sooner than with the real platform.
func TestLag(t *testing.T) {
	r, clock := newRegistry()
	register(t, r, "w1", Live)
	clock.Advance(lag - 1)
	t.Run("registration before the lag", func(t *testing.T) { mustList(t, r) })
	clock.Advance(1)
	t.Run("registration after the lag", func(t *testing.T) { mustList(t, r, "w1 live") })
	register(t, r, "w1", Leaving)
	t.Run("change before the lag", func(t *testing.T) { mustList(t, r, "w1 live") })
	clock.Advance(lag)
	t.Run("change after the lag", func(t *testing.T) { mustList(t, r, "w1 leaving") })
	r.Remove("w1")
	t.Run("removal before the lag", func(t *testing.T) { mustList(t, r, "w1 leaving") })
	clock.Advance(lag)
	t.Run("removal after the lag", func(t *testing.T) { mustList(t, r) })
}

// Guards against instances that stay registered without heartbeats, and against ones that are removed despite heartbeats.
func TestExpiry(t *testing.T) {
	r, clock := newRegistry()
	register(t, r, "w1", Live)
	for range 8 {
		register(t, r, "w2", Live)
		clock.Advance(expiry / 5)
	}
	t.Run("heartbeats keep an instance", func(t *testing.T) { mustList(t, r, "w2 live") })
	register(t, r, "w1", Live)
	register(t, r, "w2", Live)
	clock.Advance(expiry + lag - 1)
	t.Run("expired, not yet visible", func(t *testing.T) { mustList(t, r, "w1 live", "w2 live") })
	clock.Advance(1)
	t.Run("expired and visible", func(t *testing.T) { mustList(t, r) })
	t.Run("registered again after expiry", func(t *testing.T) {
		register(t, r, "w1", Live)
		clock.Advance(lag)
		mustList(t, r, "w1 live")
	})
}

// Guards against malformed registrations that are accepted.
func TestNewInstance(t *testing.T) {
	for _, tc := range []struct{ name, id, kind, addr, state string }{
		{"no id", "", "worker", "a:1", Live},
		{"no address", "w", "worker", "", Live},
		{"unknown kind", "w", "thing", "a:1", Live},
		{"unknown state", "w", "entry", "a:1", "gone"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := NewInstance(tc.id, tc.kind, tc.addr, WithState(tc.state)); err == nil {
				t.Fatal("a malformed instance was accepted")
			}
		})
	}
}
