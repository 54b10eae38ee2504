package anvilconfig

import (
	"fmt"
	"testing"

	"anvilhold.org/lib/internal/anvilassert"
)

// recorder records the first failed assertion of a scenario.
type recorder struct{ failure string }

func (*recorder) Helper() {}

func (r *recorder) Fatalf(format string, args ...any) {
	if r.failure == "" {
		r.failure = fmt.Sprintf(format, args...)
	}
}

func (c *cell) setPartitioned(partitioned bool, nodes ...int) {
	for _, i := range nodes {
		c.nodes[i].partitioned = partitioned
	}
}

// isolate breaks the links between an instance and all others except those named.
func (c *cell) isolate(n *node, except ...string) {
	for _, o := range c.nodes {
		key := [2]string{min(n.name, o.name), max(n.name, o.name)}
		c.broken[key] = true
		for _, name := range except {
			if o.name == name {
				delete(c.broken, key)
			}
		}
	}
}

// revoke makes an instance revoke a key, if it may make changes. The commit is answered at once.
func (c *cell) revoke(n *node) {
	if cm := (&commit{writer: n, name: "config/key/0", deletes: true}); c.send(cm) {
		c.deliver(cm, false)
	}
}

func (c *cell) deleteSession(by, victim *node) *commit {
	cm := &commit{writer: by, session: victim.name}
	c.send(cm)
	return cm
}

// Guards against code that omits one of the rules of Confirmation: with the rule no instance misses a
// revoked key, and without it the same events make one instance miss it.
func TestRules(t *testing.T) {
	scenarios := []struct {
		rule string
		size int
		run  func(anvilassert.T, *cell)
	}{
		{"expired peers", 3, func(t anvilassert.T, c *cell) { // an instance that paused resumes during an outage
			c.nodes[2].paused = true
			c.advance(t, 6000)
			c.setPartitioned(true, 0, 1)
			c.advance(t, 4000)
			c.isolate(c.nodes[2])
			c.nodes[2].paused = false
			c.revoke(c.nodes[2])
			c.advance(t, 6000)
		}},
		{"introduction", 3, func(t anvilassert.T, c *cell) { // a new instance that no other knows reaches the table
			c.setPartitioned(true, 0, 1, 2)
			c.advance(t, 4000)
			n := c.join()
			c.isolate(n)
			c.advance(t, 2000)
			c.revoke(n)
			c.advance(t, 6000)
		}},
		{"version", 3, func(t anvilassert.T, c *cell) { // a peer reaches the table between two requests to it
			c.setPartitioned(true, 0, 1, 2)
			c.advance(t, 4000)
			c.setPartitioned(false, 2)
			c.revoke(c.nodes[2])
			c.setPartitioned(true, 2)
			c.advance(t, 6000)
		}},
		{"gap", 2, func(t anvilassert.T, c *cell) { // a peer knows a change without the one before it
			c.isolate(c.nodes[0])
			c.revoke(c.nodes[0])
			cm := &commit{writer: c.nodes[1], name: "config/key/1", deletes: true}
			c.send(cm)
			c.deliver(cm, false)
			c.setPartitioned(true, 0, 1)
			c.advance(t, 4000)
			clear(c.broken)
			c.advance(t, 6000)
		}},
		{"deleted peers", 2, func(t anvilassert.T, c *cell) { // a peer answers after it deleted the session
			c.setPartitioned(true, 0)
			c.advance(t, 6000)
			c.deliver(c.deleteSession(c.nodes[1], c.nodes[0]), false)
			c.setPartitioned(true, 1)
			n := c.join()
			c.isolate(n, "i1")
			c.advance(t, 4000)
			c.isolate(n)
			c.revoke(n)
			c.advance(t, 6000)
		}},
		{"session", 3, func(t anvilassert.T, c *cell) { // a commit arrives after its writer's session was deleted
			late := &commit{writer: c.nodes[2], name: "config/key/0", deletes: true}
			c.send(late)
			c.nodes[2].paused = true
			c.advance(t, 6000)
			c.deliver(c.deleteSession(c.nodes[1], c.nodes[2]), false)
			c.advance(t, 1000)
			c.setPartitioned(true, 0, 1)
			c.advance(t, 4000)
			c.isolate(c.nodes[2])
			c.nodes[2].paused = false
			c.deliver(late, false)
			c.advance(t, 6000)
		}},
		{"restart", 3, func(t anvilassert.T, c *cell) { // an instance continues without its session row
			c.setPartitioned(true, 0, 1)
			c.advance(t, 6000)
			c.deliver(c.deleteSession(c.nodes[2], c.nodes[0]), false)
			c.setPartitioned(false, 0)
			c.advance(t, 1000)
			delete(c.sessions, "i2") // a planned stop
			c.nodes[2].up = false
			c.advance(t, 2000)
			c.setPartitioned(true, 0)
			n := c.join()
			c.isolate(n, "i1")
			c.advance(t, 4000)
			c.isolate(n)
			c.revoke(n)
			c.advance(t, 6000)
		}},
	}
	for _, s := range scenarios {
		run := func(omittedRule string) string {
			r := &recorder{}
			c := newCell(s.size)
			c.omittedRule = omittedRule
			c.advance(r, 2000)
			s.run(r, c)
			return r.failure
		}
		t.Run(s.rule+" rule kept", func(t *testing.T) {
			anvilassert.Equal(t, "failure", run(""), "")
		})
		t.Run(s.rule+" rule omitted", func(t *testing.T) {
			anvilassert.True(t, run(s.rule) != "", "the scenario doesn't need the rule")
		})
	}
}
