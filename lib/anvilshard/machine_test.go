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

// The cell of the state machine: one table, instances in two regions, and shards of both.

const tick anvilclock.Millis = 100

type instance struct {
	name    string
	region  string
	dir     *Directory
	up      bool
	paused  bool
	cut     bool // from the table
	leaving bool
	beat    int64
	failed  bool // the last read failed
}

// claim is a commit that is on its way: a takeover, or a hand-over when to is empty.
type claim struct {
	shard   string
	to      string
	epoch   int64 // that the directory read, raised for a takeover
	version int64
}

type cell struct {
	now       anvilclock.Millis
	down      bool
	version   int64
	sessions  map[string]Session
	shards    map[string]Shard
	instances []*instance
	flying    []claim
	epochs    map[string]string // who took a shard at an epoch
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

func (i *instance) runs() bool { return i.up && !i.paused }

func (c *cell) reaches(i *instance) bool { return !c.down && !i.cut }

func (c *cell) pass(t anvilassert.T, d anvilclock.Millis, prompt bool) {
	for end := c.now + d; c.now < end; {
		c.now += tick
		for n, i := range c.instances {
			if !i.runs() {
				continue
			}
			at := c.now + anvilclock.Millis(n)*tick // instances act at different times
			if at%HeartbeatInterval == 0 {
				c.heartbeat(i)
			}
			if at%500 == 0 {
				c.round(i)
			}
		}
		for prompt && len(c.flying) > 0 {
			c.arrive(t, 0)
		}
	}
}

func (c *cell) heartbeat(i *instance) {
	if c.reaches(i) {
		i.beat++
		c.sessions[i.name] = NewSession(i.name, "", i.dir.domain, i.region, i.beat, 0, i.leaving)
	}
}

// round reads the table and sends the commits that the directory asks for.
func (c *cell) round(i *instance) {
	if !c.reaches(i) {
		i.failed = true
		return
	}
	c.read(i)
	for _, s := range i.dir.Claims(c.now) {
		c.flying = append(c.flying, claim{shard: s.Name(), to: i.name, epoch: s.Epoch() + 1, version: s.Version()})
	}
	for _, s := range i.dir.Gives(c.now) {
		c.flying = append(c.flying, claim{shard: s.Name(), epoch: s.Epoch(), version: s.Version()})
	}
	for _, name := range i.dir.Lapsed(c.now, 10_000) {
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

// arrive lets a commit reach the table, which checks the version of the shard's row.
func (c *cell) arrive(t anvilassert.T, n int) {
	cl := c.flying[n]
	c.flying = slices.Delete(c.flying, n, n+1)
	s := c.shards[cl.shard]
	if c.down || s.Version() != cl.version {
		return
	}
	c.version++
	if cl.to == "" {
		c.shards[cl.shard] = s.Owned("", cl.epoch, c.version)
		return
	}
	key := fmt.Sprintf("%s %d", cl.shard, cl.epoch)
	anvilassert.True(t, c.epochs[key] == "", "%s and %s own %s", c.epochs[key], cl.to, key)
	c.epochs[key] = cl.to
	c.shards[cl.shard] = s.Owned(cl.to, cl.epoch, c.version)
}

func (c *cell) live(region string) map[string]int {
	out := map[string]int{}
	for _, i := range c.instances {
		if i.region == region && i.runs() && !i.cut && !i.leaving {
			out[i.name] = 0
		}
	}
	return out
}

// settle ends all trouble and checks the bounds: first that each shard of a region with a live
// instance has a live owner, then that the shards are balanced to within one.
func (c *cell) settle(t anvilassert.T) {
	c.down, c.flying = false, nil
	for _, i := range c.instances {
		i.cut, i.paused = false, false
	}
	c.pass(t, 5500+1000*anvilclock.Millis(1+len(c.shards)/ClaimsPerSecond), true)
	for _, s := range c.shards {
		owners := c.live(s.Region())
		if _, ok := owners[s.Owner()]; !ok && len(owners) > 0 && !c.leaver(s.Owner()) {
			t.Fatalf("%s has owner %q, live are %v", s.Name(), s.Owner(), slices.Sorted(maps.Keys(owners)))
		}
	}
	c.handOver()
	c.pass(t, anvilclock.Millis(4000+2000*len(c.shards)), true)
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

func (c *cell) leaver(name string) bool {
	return slices.ContainsFunc(c.instances, func(i *instance) bool { return i.name == name && i.up && i.leaving })
}

// handOver lets the leaving instances give up their shards and end.
func (c *cell) handOver() {
	for _, i := range c.instances {
		if !i.up || !i.leaving {
			continue
		}
		for name, s := range c.shards {
			if s.Owner() == i.name {
				c.version++
				c.shards[name] = s.Owned("", s.Epoch(), c.version)
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
			c.pass(t, anvilclock.Millis(rapid.IntRange(1, 60).Draw(t, "ticks"))*tick, rapid.Bool().Draw(t, "prompt"))
		},
		"arrive": func(t *rapid.T) {
			if len(c.flying) == 0 {
				t.Skip("no commit")
			}
			c.arrive(t, rapid.IntRange(0, len(c.flying)-1).Draw(t, "commit"))
		},
		"table": func(*rapid.T) { c.down = !c.down },
		"cut": func(t *rapid.T) {
			i := c.instance(t)
			i.cut = !i.cut
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

// Guards against two owners at one epoch, shards that stay without an owner and shards that pile up
// on some instances.
func TestOwnership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCell(rapid.IntRange(1, 14).Draw(t, "shards"))
		t.Repeat(actions(c))
		c.settle(t)
	})
}
