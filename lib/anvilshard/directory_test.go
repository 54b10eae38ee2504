package anvilshard

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/internal/anvilassert"
)

// putSession records a heartbeat of an instance of the region.
func putSession(d *Directory, name string, heartbeat int64, now anvilclock.Millis) {
	d.PutSession(NewSession(name, "", "east0", "east", heartbeat, 0, false), now)
}

// directoryWithOwner returns the directory of instance a, with the live instance b as owner of shard s.
func directoryWithOwner(opts ...DirectoryOption) *Directory {
	d := NewDirectory("a", "east0", "east", opts...)
	putSession(d, "a", 1, 0)
	putSession(d, "b", 1, 0)
	d.PutShard(NewShard("s", "east0", "east", "cpu", 0).WithOwner("b", 3, 7))
	return d
}

// assertClaims renews a's session and asserts how many shards a claims.
func assertClaims(t *testing.T, d *Directory, now anvilclock.Millis, want int) {
	t.Helper()
	putSession(d, "a", int64(now)+2, now)
	anvilassert.Equal(t, "claims at "+now.String(), len(d.Claims(now)), want)
}

// Guards against takeovers that take a shard from a live owner, come too late, or are made by an
// instance that can't keep the shard.
func TestClaims(t *testing.T) {
	t.Run("after expiry", func(t *testing.T) {
		d := directoryWithOwner(WithJitter(0))
		assertClaims(t, d, Expiry-1, 0)
		assertClaims(t, d, Expiry, 1)
	})
	t.Run("jitter", func(t *testing.T) {
		d := directoryWithOwner()
		assertClaims(t, d, Expiry+d.takeoverDelay(d.shards["s"])-1, 0)
		assertClaims(t, d, Expiry+Jitter, 1)
	})
	t.Run("stale heartbeat", func(t *testing.T) {
		d := directoryWithOwner(WithJitter(0))
		putSession(d, "b", 1, 3000)
		putSession(d, "b", 0, 3500)
		assertClaims(t, d, Expiry, 1)
	})
	t.Run("session deleted", func(t *testing.T) {
		d := directoryWithOwner()
		d.DropSession("b")
		assertClaims(t, d, Jitter, 1)
	})
	t.Run("session not read", func(t *testing.T) {
		d := directoryWithOwner(WithJitter(0))
		d.PutShard(d.shards["s"].WithOwner("unknown", 4, 8))
		assertClaims(t, d, 0, 0)
		assertClaims(t, d, Expiry-1, 0)
		assertClaims(t, d, Expiry, 1)
	})
	t.Run("outage", func(t *testing.T) {
		d := directoryWithOwner(WithJitter(0))
		d.Extend(3000)
		assertClaims(t, d, 3000+Expiry-1, 0)
		assertClaims(t, d, 3000+Expiry, 1)
	})
	t.Run("own session expired", func(t *testing.T) {
		d := directoryWithOwner(WithJitter(0))
		anvilassert.Equal(t, "claims", len(d.Claims(2*Expiry)), 0)
	})
	t.Run("leaving", func(t *testing.T) {
		d := directoryWithOwner(WithJitter(0))
		d.PutSession(NewSession("a", "", "east0", "east", 2, 0, true), Expiry)
		anvilassert.Equal(t, "claims", len(d.Claims(Expiry)), 0)
	})
	t.Run("other region", func(t *testing.T) {
		d := directoryWithOwner(WithJitter(0))
		d.PutShard(NewShard("remote", "west0", "west", "cpu", 0))
		assertClaims(t, d, 0, 0)
	})
	t.Run("claims per second", func(t *testing.T) {
		d := NewDirectory("a", "east0", "east")
		for i := range 20 {
			d.PutShard(NewShard(fmt.Sprint(i), "east0", "east", "cpu", 0))
		}
		assertClaims(t, d, 0, ClaimsPerSecond)
		assertClaims(t, d, 500, 0)
		assertClaims(t, d, 1000, ClaimsPerSecond)
	})
	t.Run("starved", func(t *testing.T) {
		d := directoryWithOwner(WithJitter(0))
		putSession(d, "b", 5, 0)
		d.PutShard(NewShard("s", "east0", "east", "cpu", 0).WithOwner("a", 4, 8))
		d.PutShard(NewShard("r", "east0", "east", "cpu", 0))
		assertClaims(t, d, 0, 0) // b is below the floor and should claim it
		putSession(d, "b", 6, StarvedAfter)
		assertClaims(t, d, StarvedAfter, 1)
		d.PutShard(d.shards["r"].WithOwner("a", 1, 9))
		anvilassert.Equal(t, "releases", len(d.Releases(StarvedAfter)), 1)
		anvilassert.Equal(t, "shards claimed as starved", len(d.claimedStarved), 1)
	})
	t.Run("old row", func(t *testing.T) {
		d := directoryWithOwner()
		d.PutShard(NewShard("s", "east0", "east", "cpu", 0).WithOwner("c", 2, 6))
		s, ok := d.Shard("s")
		anvilassert.True(t, ok && s.Owner() == "b" && s.Epoch() == 3, "an old row replaced a newer one")
	})
	t.Run("expired sessions", func(t *testing.T) {
		d := directoryWithOwner()
		anvilassert.Equal(t, "expired sessions just before the time", len(d.ExpiredSessions(Expiry+99, 100)), 0)
		anvilassert.Equal(t, "expired sessions", d.ExpiredSessions(Expiry+100, 100), []string{"a", "b"})
		anvilassert.Equal(t, "live sessions", len(d.Sessions(Expiry-1)), 2)
	})
}

// Guards against instances that exchange shards without end, or that leave one instance with too few.
func TestBalance(t *testing.T) {
	for _, c := range []struct {
		name           string
		owned          []int
		free           int
		quota, surplus []int
	}{
		{"even", []int{2, 2}, 0, []int{0, 0}, []int{0, 0}},
		{"within one", []int{3, 2}, 0, []int{0, 0}, []int{0, 0}},
		{"too few at one", []int{3, 3, 3, 1}, 0, []int{0, 0, 0, 1}, []int{1, 0, 0, 0}},
		{"released for the one with too few", []int{2, 3, 3, 1}, 1, []int{0, 0, 0, 1}, []int{0, 0, 0, 0}},
		{"new instance", []int{4, 4, 0}, 0, []int{0, 0, 2}, []int{1, 1, 0}},
		{"nothing owned", []int{0, 0}, 5, []int{3, 3}, []int{0, 0}},
		{"one for any instance", []int{2, 2}, 1, []int{1, 1}, []int{0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := NewDirectory("i0", "east0", "east")
			for i, n := range c.owned {
				putSession(d, fmt.Sprintf("i%d", i), 1, 0)
				for k := range n {
					d.PutShard(NewShard(fmt.Sprint(i, k), "east0", "east", "cpu", 0).WithOwner(fmt.Sprintf("i%d", i), 1, 1))
				}
			}
			for k := range c.free {
				d.PutShard(NewShard(fmt.Sprint("free", k), "east0", "east", "cpu", 0))
			}
			b := d.balance(0, c.free)
			for i := range c.owned {
				name := fmt.Sprintf("i%d", i)
				anvilassert.Equal(t, "claim quota of "+name, b.claimQuota(name), c.quota[i])
				anvilassert.Equal(t, "surplus of "+name, b.surplus(name), c.surplus[i])
			}
		})
	}
}

// Guards against an id whose home shard changes when a shard is added later.
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

// Guards against an uneven distribution of workers over shards.
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
