package main

import (
	"time"
)

func init() {
	cases["rename"] = rename
	cases["revoke"] = revoke
}

// small starts a deployment with three nodes and four minions.
func small(folder string, routes, tenants []map[string]any) *rig {
	r := newRig(folder)
	r.configure(7, routes, tenants)
	for i := range 4 {
		r.minions = append(r.minions, newMinion(r, i, "huvo11a"))
	}
	for _, zone := range []string{"nyali", "likoni", "westlands"} {
		r.addNode(zone, memoryMB)
	}
	r.startAll()
	time.Sleep(2 * time.Second)
	return r
}

// rename replaces a route by one of another name at the same host and path, while jobs that came in over it run.
func rename(folder string) {
	tenants := []map[string]any{tenant("hule930", 16, "3hh2b9wu3fexd9dnn2ct")}
	other := route("r-7u27gxp", "/pufi791/", "huvo11a", 2, false)
	r := small(folder, []map[string]any{route("r-dev3nax", "/lohu930/", "huvo11a", 0, false), other}, tenants)
	c := &client{rig: r, host: host, key: "3hh2b9wu3fexd9dnn2ct"}
	lasting, short := jobID(1), jobID(2)
	if !c.submit("/lohu930/", lasting, job("lasts", step(2, 500, 256, 1000, "long_running", true))) ||
		!c.submit("/lohu930/", short, job("work=500", step(2, 500, 256, 500))) {
		r.say("the jobs weren't accepted")
		r.end(2)
	}
	time.Sleep(5 * time.Second)
	if a, b := c.ask("/lohu930/", lasting), c.ask("/lohu930/", short); a.state() != "running" || b.state() != "completed" {
		r.say("before the change: %v, %v", a, b)
		r.end(2)
	}
	name := "r-dev3nax"
	if r.trouble {
		name = "r-w2kq8ba"
	}
	r.configure(9, []map[string]any{route(name, "/lohu930/", "huvo11a", 0, false), other}, tenants)
	// config_apply_ms, and contact_timeout_ms more.
	time.Sleep(7 * time.Second)
	gone := 0
	for range r.nodes {
		for _, id := range []string{lasting, short} {
			if a := c.ask("/lohu930/", id); a.status == 410 {
				gone++
				r.say("GET of the accepted job %s, that nobody has cancelled: %v", id, a)
			}
		}
	}
	a := c.cancel("/lohu930/", lasting)
	acknowledged := time.Now()
	// cancel_ms + stop_grace_ms, and a second more.
	time.Sleep(4900 * time.Millisecond)
	running := r.runningOf(lasting)
	r.say("DELETE of the job that lasts: %v; %d of its tasks run %.1f s later", a, running, time.Since(acknowledged).Seconds())
	r.checkAlive()
	if gone > 0 {
		r.say("LOST: %d of 6 GETs of accepted jobs are answered 410 by nodes in touch", gone)
		r.end(1)
	}
	if running > 0 && (a.status == 410 || a.status == 200) {
		r.say("UNASKED: tasks of a cancelled job run on")
		r.end(1)
	}
	r.say("held")
	r.end(0)
}

// revoke takes a key away from a client that goes on to send it, also on a route that is anonymous.
func revoke(folder string) {
	routes := []map[string]any{route("r-dev3nax", "/lohu930/", "huvo11a", 0, false), route("r-ytapjsu", "/puxa403/", "huvo11a", 1, true)}
	other := tenant("bado112", 16, "nfzs989anu6wsjnbanfq")
	r := small(folder, routes, []map[string]any{tenant("hule930", 16, "3hh2b9wu3fexd9dnn2ct"), other})
	c := &client{rig: r, host: host, key: "3hh2b9wu3fexd9dnn2ct"}
	first, second := jobID(1), jobID(2)
	if !c.submit("/puxa403/", first, job("work=500", step(2, 500, 256, 500))) {
		r.say("the job wasn't accepted")
		r.end(2)
	}
	time.Sleep(4 * time.Second)
	if a := c.ask("/puxa403/", first); a.state() != "completed" {
		r.say("before the change: %v", a)
		r.end(2)
	}
	keys := tenant("hule930", 16, "3hh2b9wu3fexd9dnn2ct", "w7v0c1t5mz2k9qd4xq8p")
	if r.trouble {
		keys = tenant("hule930", 16, "w7v0c1t5mz2k9qd4xq8p")
	}
	r.configure(9, routes, []map[string]any{keys, other})
	// revoke_ms, and contact_timeout_ms more.
	time.Sleep(9 * time.Second)
	a := c.rig.call(c.node(), "POST", host, "/puxa403/"+second, c.key, job("work=200", step(2, 500, 256, 200)))
	r.say("POST with the key: %v", a)
	time.Sleep(3 * time.Second)
	starts := r.startsOf(second)
	r.say("GET of the job that was accepted before: %v; GET of the new one: %v; %d starts of it", c.ask("/puxa403/", first), c.ask("/puxa403/", second), starts)
	r.checkAlive()
	if r.trouble && a.status >= 200 && a.status < 300 {
		r.say("CONFIG: a request with a key runs 9 s after the acknowledgement of the configuration that took it away")
		r.end(1)
	}
	r.say("held")
	r.end(0)
}
