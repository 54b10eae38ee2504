package anvilshard

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/internal/anvilassert"
)

// The model of the state machine test: a cell with one table, instances in two regions, and shards of
// both regions.

const tick anvilclock.Millis = 100

type instance struct {
	name        string
	region      string
	dir         *Directory
	up          bool
	paused      bool
	partitioned bool // from the table
	leaving     bool
	heartbeat   int64
	failed      bool // the last read failed
}

// ownerChange is a commit in flight: a takeover, or a release when to is empty.
type ownerChange struct {
	shard   string
	to      string
	epoch   int64 // as the directory read it, plus one for a takeover
	version int64
}

type cell struct {
	now       anvilclock.Millis
	down      bool
	version   int64
	sessions  map[string]Session
	shards    map[string]Shard
	instances []*instance
	inFlight  []ownerChange
	epochs    map[string]string // instance that claimed a shard at an epoch
}

func newCell(shards int) *cell {
	c := &cell{now: 50_000, sessions: map[string]Session{}, shards: map[string]Shard{}, epochs: map[string]string{}}
	for i := range shards {
		region := []string{"east", "east", "west"}[i%3]
		domain := fmt.Sprintf("%s%d", region, i%2)
		name := fmt.Sprintf("%s.cpu.%d", domain, i)
		c.shards[name] = NewShard(name, domain, region, "cpu", 0)
	}
	for i := range 4 {
		c.join([]string{"east", "east", "east", "west"}[i])
	}
	return c
}

func (c *cell) join(region string) {
	name := fmt.Sprintf("i%d", len(c.instances))
	i := &instance{name: name, region: region, up: true}
	i.dir = NewDirectory(name, fmt.Sprintf("%s%d", region, len(c.instances)%2), region)
	c.instances = append(c.instances, i)
}

func (i *instance) running() bool { return i.up && !i.paused }

func (c *cell) reaches(i *instance) bool { return !c.down && !i.partitioned }

func (c *cell) advance(t anvilassert.T, d anvilclock.Millis, prompt bool) {
	for end := c.now + d; c.now < end; {
		c.now += tick
		for n, i := range c.instances {
			if !i.running() {
				continue
			}
			at := c.now + anvilclock.Millis(n)*tick // instances run at different times
			if at%HeartbeatInterval == 0 {
				c.heartbeat(i)
			}
			if at%500 == 0 {
				c.round(i)
			}
		}
		for prompt && len(c.inFlight) > 0 {
			c.deliver(t, 0)
		}
	}
}

func (c *cell) heartbeat(i *instance) {
	if c.reaches(i) {
		i.heartbeat++
		c.sessions[i.name] = NewSession(i.name, "", i.dir.domain, i.region, i.heartbeat, 0, i.leaving)
	}
}

// round reads the table and sends the commits that the directory returns.
func (c *cell) round(i *instance) {
	if !c.reaches(i) {
		i.failed = true
		return
	}
	c.read(i)
	for _, s := range i.dir.Claims(c.now) {
		c.inFlight = append(c.inFlight, ownerChange{shard: s.Name(), to: i.name, epoch: s.Epoch() + 1, version: s.RowVersion()})
	}
	for _, s := range i.dir.Releases(c.now) {
		c.inFlight = append(c.inFlight, ownerChange{shard: s.Name(), epoch: s.Epoch(), version: s.RowVersion()})
	}
	for _, name := range i.dir.ExpiredSessions(c.now, 10_000) {
		delete(c.sessions, name)
	}
}

func (c *cell) read(i *instance) {
	for _, s := range c.sessions {
		i.dir.PutSession(s, c.now)
	}
	for name := range maps.Clone(i.dir.sessions) {
		if _, ok := c.sessions[name]; !ok {
			i.dir.DropSession(name)
		}
	}
	for _, s := range c.shards {
		i.dir.PutShard(s)
	}
	if i.failed {
		i.dir.Extend(c.now)
		i.failed = false
	}
}

// deliver lets a commit reach the table, which checks the version of the shard's row.
func (c *cell) deliver(t anvilassert.T, n int) {
	change := c.inFlight[n]
	c.inFlight = slices.Delete(c.inFlight, n, n+1)
	s := c.shards[change.shard]
	if c.down || s.RowVersion() != change.version {
		return
	}
	c.version++
	if change.to == "" {
		c.shards[change.shard] = s.WithOwner("", change.epoch, c.version)
		return
	}
	key := fmt.Sprintf("%s %d", change.shard, change.epoch)
	anvilassert.True(t, c.epochs[key] == "", "%s and %s own %s", c.epochs[key], change.to, key)
	c.epochs[key] = change.to
	c.shards[change.shard] = s.WithOwner(change.to, change.epoch, c.version)
}

func (c *cell) live(region string) map[string]int {
	out := map[string]int{}
	for _, i := range c.instances {
		if i.region == region && i.running() && !i.partitioned && !i.leaving {
			out[i.name] = 0
		}
	}
	return out
}

// stabilize ends all faults and checks the time bounds: first that each shard of a region with a live
// instance has a live owner, then that the numbers of shards by instance differ by at most one.
func (c *cell) stabilize(t anvilassert.T) {
	c.down, c.inFlight = false, nil
	for _, i := range c.instances {
		i.partitioned, i.paused = false, false
	}
	c.advance(t, 5500+1000*anvilclock.Millis(1+len(c.shards)/ClaimsPerSecond), true)
	for _, s := range c.shards {
		owners := c.live(s.Region())
		if _, ok := owners[s.Owner()]; !ok && len(owners) > 0 && !c.isLeaving(s.Owner()) {
			t.Fatalf("%s has owner %q, live are %v", s.Name(), s.Owner(), slices.Sorted(maps.Keys(owners)))
		}
	}
	c.handOver()
	c.advance(t, anvilclock.Millis(4000+2000*len(c.shards)), true)
	for _, region := range []string{"east", "west"} {
		owned := c.live(region)
		for _, s := range c.shards {
			if s.Region() == region && len(owned) > 0 {
				owned[s.Owner()]++
			}
		}
		if len(owned) > 0 {
			counts := slices.Sorted(maps.Values(owned))
			anvilassert.True(t, counts[len(counts)-1]-counts[0] <= 1, "shards of %s: %v", region, owned)
		}
	}
}

func (c *cell) isLeaving(name string) bool {
	return slices.ContainsFunc(c.instances, func(i *instance) bool { return i.name == name && i.up && i.leaving })
}

// handOver lets the leaving instances release their shards and exit.
func (c *cell) handOver() {
	for _, i := range c.instances {
		if !i.up || !i.leaving {
			continue
		}
		for name, s := range c.shards {
			if s.Owner() == i.name {
				c.version++
				c.shards[name] = s.WithOwner("", s.Epoch(), c.version)
			}
		}
		i.up = false
		delete(c.sessions, i.name)
	}
}

func (c *cell) instance(t *rapid.T) *instance {
	return rapid.SampledFrom(c.instances).Draw(t, "instance")
}

func actions(c *cell) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"wait": func(t *rapid.T) {
			c.advance(t, anvilclock.Millis(rapid.IntRange(1, 60).Draw(t, "ticks"))*tick, rapid.Bool().Draw(t, "prompt"))
		},
		"apply": func(t *rapid.T) {
			if len(c.inFlight) == 0 {
				t.Skip("no commit in flight")
			}
			c.deliver(t, rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "commit"))
		},
		"table": func(*rapid.T) { c.down = !c.down },
		"disconnect": func(t *rapid.T) {
			i := c.instance(t)
			i.partitioned = !i.partitioned
		},
		"pause": func(t *rapid.T) {
			i := c.instance(t)
			i.paused = !i.paused
		},
		"leave": func(t *rapid.T) { c.instance(t).leaving = true },
		"kill":  func(t *rapid.T) { c.instance(t).up = false },
		"join": func(t *rapid.T) {
			if len(c.instances) >= 8 {
				t.Skip("enough instances")
			}
			c.join(rapid.SampledFrom([]string{"east", "west"}).Draw(t, "region"))
		},
	}
}

// Guards against two owners at one epoch, shards that stay without an owner and shards that accumulate
// at some instances.
func TestOwnership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCell(rapid.IntRange(1, 14).Draw(t, "shards"))
		t.Repeat(actions(c))
		c.stabilize(t)
	})
}
