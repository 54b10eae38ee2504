package main

import (
	"fmt"
	"time"
)

func init() { cases["twice"] = twice }

// twice leaves one attempt of a start without an answer. After the run has ended by another attempt and its end has been taken note of, the
// leader is killed and the minion restarts; then the first attempt is carried out.
func twice(folder string) {
	r := newRig(folder)
	r.configure(7, []map[string]any{route("r-dev3nax", "/lohu930/", "huvo11a", 0, false)},
		[]map[string]any{tenant("hule930", 16, "3hh2b9wu3fexd9dnn2ct")})
	const minions = 8
	for i := range minions {
		r.minions = append(r.minions, newMinion(r, i, "huvo11a"))
	}
	for _, zone := range []string{"nyali", "likoni", "westlands"} {
		r.addNode(zone, memoryMB)
	}
	r.startAll()
	time.Sleep(3 * time.Second)
	for _, m := range r.minions {
		m.mu.Lock()
		if r.trouble {
			m.unanswered = "/-/run-start"
		}
		m.mu.Unlock()
	}
	c := &client{rig: r, host: host, key: "3hh2b9wu3fexd9dnn2ct"}
	id := jobID(1)
	if !c.submit("/lohu930/", id, job("work=300", step(1, 500, 256, 300))) {
		r.say("the job wasn't accepted")
		r.end(2)
	}
	// Only the minion that has got the start leaves it without an answer.
	var at int
	var old *minion
	for deadline := time.Now().Add(5 * time.Second); old == nil; time.Sleep(5 * time.Millisecond) {
		for i, m := range r.minions {
			m.mu.Lock()
			if m.late != nil || (!r.trouble && len(m.startedRuns) > 0) {
				at, old = i, m
			}
			m.mu.Unlock()
		}
		if time.Now().After(deadline) {
			r.say("no start came")
			r.end(2)
		}
	}
	for _, m := range r.minions {
		m.mu.Lock()
		m.unanswered = ""
		m.mu.Unlock()
	}
	task := fmt.Sprintf("%s.0.0.0", id)
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		old.mu.Lock()
		done := old.barred[task] > 0 && old.noted >= 1 && len(old.ends) == 0
		old.mu.Unlock()
		if done {
			break
		}
		if time.Now().After(deadline) {
			r.say("the end isn't taken note of")
			r.end(2)
		}
	}
	r.say("the run of %s has ended done at %s, and last_seen has reached its end", task, old.id)
	if c.ask("/lohu930/", id).state() != "completed" {
		time.Sleep(500 * time.Millisecond)
	}
	r.say("the job: %v", c.ask("/lohu930/", id))
	if !r.trouble {
		time.Sleep(8 * time.Second)
		r.say("%d starts of the task", r.startsOf(id))
		if r.startsOf(id) != 1 {
			r.end(1)
		}
		r.say("held")
		r.end(0)
	}
	// Late orders are carried out 2 to 12 s later.
	old.mu.Lock()
	late, since := *old.late, old.lateSince
	old.mu.Unlock()
	time.Sleep(time.Until(since.Add(2500 * time.Millisecond)))
	leader := r.leader()
	if leader == nil {
		r.say("no node leads")
		r.end(2)
	}
	leader.kill()
	time.Sleep(50 * time.Millisecond)
	old.crash()
	time.Sleep(200 * time.Millisecond)
	next := bootMinion(r, at, "huvo11a", old.addr)
	r.minions[at] = next
	time.Sleep(30 * time.Millisecond)
	taken := next.startedLate(late)
	leader.start()
	time.Sleep(6 * time.Second)
	next.mu.Lock()
	starts := next.startedRuns[task]
	next.mu.Unlock()
	r.say("the late start was carried out: %v; %d starts of %s at the next process, %.1f s after it was sent", taken, starts, task, time.Since(since).Seconds()-6)
	r.checkAlive()
	if starts > 0 {
		r.say("TWICE: a start after the run has ended done and its end was taken note of")
		r.end(1)
	}
	r.say("held")
	r.end(0)
}
