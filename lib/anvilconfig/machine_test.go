package anvilconfig

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/internal/anvilassert"
)

func (c *cell) node(t *rapid.T) *node { return rapid.SampledFrom(c.nodes).Draw(t, "instance") }

func actions(c *cell) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"wait": func(t *rapid.T) {
			c.advance(t, anvilclock.Millis(rapid.IntRange(1, 60).Draw(t, "ticks"))*tick)
		},
		"change": func(t *rapid.T) {
			name := fmt.Sprintf("config/key/%d", rapid.IntRange(0, 3).Draw(t, "key"))
			cm := &commit{writer: c.node(t), name: name, deletes: rapid.Bool().Draw(t, "revoke")}
			if !c.send(cm) {
				t.Skip("not allowed")
			}
		},
		"delete": func(t *rapid.T) {
			if !c.send(&commit{writer: c.node(t), session: c.node(t).name}) {
				t.Skip("not allowed")
			}
		},
		"apply": func(t *rapid.T) {
			if len(c.inFlight) == 0 {
				t.Skip("no commit in flight")
			}
			c.deliver(rapid.SampledFrom(c.inFlight).Draw(t, "commit"), rapid.Bool().Draw(t, "lost"))
		},
		"push":  func(t *rapid.T) { c.push(c.node(t), c.node(t)) },
		"table": func(*rapid.T) { c.down = !c.down },
		"cut table link": func(t *rapid.T) {
			n := c.node(t)
			n.partitioned = !n.partitioned
		},
		"link": func(t *rapid.T) {
			a, b := c.node(t).name, c.node(t).name
			key := [2]string{min(a, b), max(a, b)}
			c.broken[key] = !c.broken[key]
		},
		"pause": func(t *rapid.T) {
			n := c.node(t)
			n.paused = !n.paused
			c.check(t) // before the instance does anything after the pause
		},
		"block table": func(t *rapid.T) { // most instances lose the table
			for _, n := range c.nodes {
				n.partitioned = rapid.IntRange(0, 4).Draw(t, "partitioned") > 0
			}
			c.advance(t, 4000)
		},
		"new instance": func(t *rapid.T) { // an instance with a link to only one other
			if len(c.nodes) >= 7 {
				t.Skip("enough instances")
			}
			n := c.join()
			c.isolate(n, c.node(t).name)
			c.advance(t, 1500)
		},
		"revoke": func(t *rapid.T) { c.revoke(c.node(t)) },
		"clean up": func(t *rapid.T) { // deletes an expired session in a commit that is answered at once
			c.deliver(c.deleteSession(c.node(t), c.node(t)), false)
		},
		"kill": func(t *rapid.T) { c.node(t).up = false },
		"join": func(t *rapid.T) {
			if len(c.nodes) >= 7 {
				t.Skip("enough instances")
			}
			c.join()
		},
	}
}

// Guards against a revoked key that is accepted more than 4 s after the revocation, during network
// partitions, outages, pauses, lost answers, and instances that join and exit.
func TestConfirmation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCell(3)
		c.advance(t, 2000)
		t.Repeat(actions(c))
		c.stabilize(t)
	})
}

// stabilize ends all faults, after which every instance must be current and know every change.
func (c *cell) stabilize(t anvilassert.T) {
	c.down = false
	clear(c.broken)
	for _, n := range c.nodes {
		n.partitioned, n.paused = false, false
	}
	for range 4 {
		c.advance(t, 2000)
		for _, n := range c.nodes {
			for _, o := range c.nodes {
				if !o.up && c.send(&commit{writer: n, session: o.name}) {
					c.deliver(c.inFlight[len(c.inFlight)-1], false)
				}
			}
		}
	}
	for _, n := range c.nodes {
		if !n.up {
			continue
		}
		anvilassert.Equal(t, "status of "+n.name, n.status, Current)
		anvilassert.Equal(t, "version of "+n.name, n.store.Snapshot().Version(), c.version)
	}
}
