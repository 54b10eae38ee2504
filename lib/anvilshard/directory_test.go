package anvilshard

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/internal/anvilassert"
)

// put records a session of a live instance of the region.
func put(d *Directory, name string, heartbeat int64, now anvilclock.Millis) {
	d.PutSession(NewSession(name, "", "east0", "east", heartbeat, 0, false), now)
}

// pair returns the directory of instance a, which knows the live instance b that owns shard s.
func pair(opts ...DirectoryOption) *Directory {
	d := NewDirectory("a", "east0", "east", opts...)
	put(d, "a", 1, 0)
	put(d, "b", 1, 0)
	d.PutShard(NewShard("s", "east0", "east", "cpu", 0).Owned("b", 3, 7))
	return d
}

// claimed asserts how many shards are claimed while a's own session stays alive.
func claimed(t *testing.T, d *Directory, now anvilclock.Millis, want int) {
	t.Helper()
	put(d, "a", int64(now)+2, now)
	anvilassert.Equal(t, "claims at "+now.String(), len(d.Claims(now)), want)
}

// Guards against takeovers from live owners, too late or by an instance that can't keep the shard.
func TestClaims(t *testing.T) {
	t.Run("after expiry", func(t *testing.T) {
		d := pair(WithJitter(0))
		claimed(t, d, Expiry-1, 0)
		claimed(t, d, Expiry, 1)
	})
	t.Run("jitter", func(t *testing.T) {
		d := pair()
		claimed(t, d, Expiry+d.delay(d.shards["s"])-1, 0)
		claimed(t, d, Expiry+Jitter, 1)
	})
	t.Run("stale heartbeat", func(t *testing.T) {
		d := pair(WithJitter(0))
		put(d, "b", 1, 3000)
		put(d, "b", 0, 3500)
		claimed(t, d, Expiry, 1)
	})
	t.Run("session deleted", func(t *testing.T) {
		d := pair()
		d.DropSession("b")
		claimed(t, d, Jitter, 1)
	})
	t.Run("session not read", func(t *testing.T) {
		d := pair(WithJitter(0))
		d.PutShard(d.shards["s"].Owned("unknown", 4, 8))
		claimed(t, d, 0, 0)
		claimed(t, d, Expiry-1, 0)
		claimed(t, d, Expiry, 1)
	})
	t.Run("outage", func(t *testing.T) {
		d := pair(WithJitter(0))
		d.Extend(3000)
		claimed(t, d, 3000+Expiry-1, 0)
		claimed(t, d, 3000+Expiry, 1)
	})
	t.Run("own session expired", func(t *testing.T) {
		d := pair(WithJitter(0))
		anvilassert.Equal(t, "claims", len(d.Claims(2*Expiry)), 0)
	})
	t.Run("leaving", func(t *testing.T) {
		d := pair(WithJitter(0))
		d.PutSession(NewSession("a", "", "east0", "east", 2, 0, true), Expiry)
		anvilassert.Equal(t, "claims", len(d.Claims(Expiry)), 0)
	})
	t.Run("other region", func(t *testing.T) {
		d := pair(WithJitter(0))
		d.PutShard(NewShard("far", "west0", "west", "cpu", 0))
		claimed(t, d, 0, 0)
	})
	t.Run("budget", func(t *testing.T) {
		d := NewDirectory("a", "east0", "east")
		for i := range 20 {
			d.PutShard(NewShard(fmt.Sprint(i), "east0", "east", "cpu", 0))
		}
		claimed(t, d, 0, ClaimsPerSecond)
		claimed(t, d, 500, 0)
		claimed(t, d, 1000, ClaimsPerSecond)
	})
	t.Run("starved", func(t *testing.T) {
		d := pair(WithJitter(0))
		put(d, "b", 5, 0)
		d.PutShard(NewShard("s", "east0", "east", "cpu", 0).Owned("a", 4, 8))
		d.PutShard(NewShard("r", "east0", "east", "cpu", 0))
		claimed(t, d, 0, 0) // b should have it
		put(d, "b", 6, Starved)
		claimed(t, d, Starved, 1)
		d.PutShard(d.shards["r"].Owned("a", 1, 9))
		anvilassert.Equal(t, "gives", len(d.Gives(Starved)), 1)
		anvilassert.Equal(t, "held", len(d.starved), 1)
	})
	t.Run("old row", func(t *testing.T) {
		d := pair()
		d.PutShard(NewShard("s", "east0", "east", "cpu", 0).Owned("c", 2, 6))
		s, ok := d.Shard("s")
		anvilassert.True(t, ok && s.Owner() == "b" && s.Epoch() == 3, "an old row replaced a newer one")
	})
	t.Run("lapsed", func(t *testing.T) {
		d := pair()
		anvilassert.Equal(t, "early", len(d.Lapsed(Expiry+99, 100)), 0)
		anvilassert.Equal(t, "late", d.Lapsed(Expiry+100, 100), []string{"a", "b"})
		anvilassert.Equal(t, "alive", len(d.Sessions(Expiry-1)), 2)
	})
}

// Guards against instances that move shards for ever, or that leave one instance with too few.
func TestBalance(t *testing.T) {
	for _, c := range []struct {
		name        string
		owned       []int
		free        int
		room, extra []int
	}{
		{"even", []int{2, 2}, 0, []int{0, 0}, []int{0, 0}},
		{"within one", []int{3, 2}, 0, []int{0, 0}, []int{0, 0}},
		{"too few at one", []int{3, 3, 3, 1}, 0, []int{0, 0, 0, 1}, []int{1, 0, 0, 0}},
		{"given up for it", []int{2, 3, 3, 1}, 1, []int{0, 0, 0, 1}, []int{0, 0, 0, 0}},
		{"newcomer", []int{4, 4, 0}, 0, []int{0, 0, 2}, []int{1, 1, 0}},
		{"nothing owned", []int{0, 0}, 5, []int{3, 3}, []int{0, 0}},
		{"one for any", []int{2, 2}, 1, []int{1, 1}, []int{0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := NewDirectory("i0", "east0", "east")
			for i, n := range c.owned {
				put(d, fmt.Sprintf("i%d", i), 1, 0)
				for k := range n {
					d.PutShard(NewShard(fmt.Sprint(i, k), "east0", "east", "cpu", 0).Owned(fmt.Sprintf("i%d", i), 1, 1))
				}
			}
			for k := range c.free {
				d.PutShard(NewShard(fmt.Sprint("free", k), "east0", "east", "cpu", 0))
			}
			b := d.balance(0, c.free)
			for i := range c.owned {
				name := fmt.Sprintf("i%d", i)
				anvilassert.Equal(t, "room of "+name, b.room(name), c.room[i])
				anvilassert.Equal(t, "extra of "+name, b.extra(name), c.extra[i])
			}
		})
	}
}

// Guards against ids whose home changes when a shard is added.
func TestHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var old []Shard
		for i := range rapid.IntRange(1, 10).Draw(t, "shards") {
			old = append(old, NewShard(fmt.Sprint(i), "east0", "east", "cpu", 1000))
		}
		grown := append(slices.Clone(old), NewShard("new", "east0", "east", "cpu", 2000), NewShard("other", "east0", "east", "gpu", 0))
		id := rapid.String().Draw(t, "id")
		anvilassert.Equal(t, "home", Home(grown, "cpu", id, 1999), Home(old, "cpu", id, 1999))
		anvilassert.True(t, Home(grown, "cpu", id, 2000) != "other", "home in another pool")
		anvilassert.Equal(t, "home before all shards", Home(grown, "cpu", id, 999), "")
	})
}

// Guards against workers that all get into one shard.
func TestName(t *testing.T) {
	seen := map[string]int{}
	for i := range 1000 {
		seen[Name("east0", "cpu", fmt.Sprint("worker", i), 4)]++
	}
	anvilassert.Equal(t, "shards", len(seen), 4)
	for name, n := range seen {
		anvilassert.True(t, n > 150, "%s has %d of 1000 workers", name, n)
	}
	anvilassert.Equal(t, "one shard", Name("east0", "cpu", "w", 0), "east0.cpu.0")
}
