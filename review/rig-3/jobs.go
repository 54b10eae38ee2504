package main

import (
	"strings"
	"sync"
	"time"
)

// client is a sound client: it hands a job in until the job is accepted or rejected for good, and asks for its state at any node.
type client struct {
	rig  *rig
	host string
	key  string
	mu   sync.Mutex
	next int
}

func (c *client) node() *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range c.rig.nodes {
		c.next++
		if n := c.rig.nodes[c.next%len(c.rig.nodes)]; n.alive() {
			return n
		}
	}
	return c.rig.nodes[0]
}

// submit hands a job in, at most 5 times, and reports whether it was accepted.
func (c *client) submit(prefix, id string, job map[string]any) bool {
	for range 5 {
		a := c.rig.call(c.node(), "POST", c.host, prefix+id, c.key, job)
		c.rig.note("client: POST %s%s: %v", prefix, id, a)
		if a.status >= 200 && a.status < 300 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// ask asks for a job's state.
func (c *client) ask(prefix, id string) callResult {
	a := c.rig.call(c.node(), "GET", c.host, prefix+id, c.key, nil)
	c.rig.note("client: GET %s%s: %v", prefix, id, a)
	return a
}

// cancel cancels a job.
func (c *client) cancel(prefix, id string) callResult {
	a := c.rig.call(c.node(), "DELETE", c.host, prefix+id, c.key, nil)
	c.rig.note("client: DELETE %s%s: %v", prefix, id, a)
	return a
}

// step returns a step of a job; more fields come as pairs of name and value.
func step(count, cpu, memory, estimate int, more ...any) map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, "memory_request_mb": memory, "estimated_ms": estimate}
	for i := 0; i+1 < len(more); i += 2 {
		s[more[i].(string)] = more[i+1]
	}
	return s
}

func job(spec string, steps ...map[string]any) map[string]any {
	return map[string]any{"spec": spec, "steps": steps}
}

// startsOf returns how many runs of a job's tasks the minions have begun.
func (r *rig) startsOf(id string) int {
	n := 0
	for _, m := range r.minions {
		m.mu.Lock()
		for task, k := range m.startedRuns {
			if strings.HasPrefix(task, id+".") {
				n += k
			}
		}
		m.mu.Unlock()
	}
	return n
}

// runningOf returns how many tasks of a job run now; of all jobs with an empty id.
func (r *rig) runningOf(id string) int {
	n := 0
	for _, m := range r.minions {
		m.mu.Lock()
		for task := range m.runs {
			if id == "" || strings.HasPrefix(task, id+".") {
				n++
			}
		}
		m.mu.Unlock()
	}
	return n
}

// checkAlive ends the script as one that couldn't run if a process of the system has ended by itself.
func (r *rig) checkAlive() {
	for _, n := range r.nodes {
		if !n.alive() && !n.asked.Load() {
			r.say("%s has ended by itself", n.name)
		}
	}
}
