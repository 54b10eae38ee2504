package main

import (
	"strings"
	"time"
)

func init() { cases["harm"] = harm }

// harm leaves one order on pace without an answer, and carries it out after newer ones.
func harm(folder string) {
	r := newRig(folder)
	r.configure(7,
		[]map[string]any{route("r-ytapjsu", "/puxa403/", "huvo11a", 1, false), route("r-7u27gxp", "/pufi791/", "huvo11a", 2, false)},
		[]map[string]any{tenant("hule930", 16, "3hh2b9wu3fexd9dnn2ct"), tenant("bado112", 16, "nfzs989anu6wsjnbanfq")})
	for i := range 2 {
		r.minions = append(r.minions, newMinion(r, i, "huvo11a"))
	}
	for _, zone := range []string{"nyali", "likoni", "westlands"} {
		r.addNode(zone, memoryMB)
	}
	load := func(tail float64) {
		for _, m := range r.minions {
			m.mu.Lock()
			m.baseTail, m.fillTail = tail, 45
			m.mu.Unlock()
		}
		r.note("users: the tail of the tasks that serve is %.0f ms by their own load; target_ms is %d", tail, target)
	}
	load(70)
	r.startAll()
	time.Sleep(2 * time.Second)
	studio := &client{rig: r, host: host, key: "3hh2b9wu3fexd9dnn2ct"}
	batch := &client{rig: r, host: host, key: "nfzs989anu6wsjnbanfq"}
	serving, filling := jobID(1), jobID(2)
	if !studio.submit("/puxa403/", serving, job("serves lasts", step(2, 8000, 8192, 1000, "long_running", true, "target_ms", target, "anti_affinity", 1, "image", "web"))) {
		r.say("the job that serves wasn't accepted")
		r.end(2)
	}
	time.Sleep(3 * time.Second)
	if !batch.submit("/pufi791/", filling, job("fills work=90000", step(2, 4000, 512, 90000, "fills", true, "image", "render", "anti_affinity", 1))) {
		r.say("the job that fills wasn't accepted")
		r.end(2)
	}
	paces := func() (out []int) {
		for _, m := range r.minions {
			m.mu.Lock()
			for _, run := range m.runs {
				if strings.HasPrefix(run.task, filling+".") {
					out = append(out, run.pace)
				}
			}
			m.mu.Unlock()
		}
		return out
	}
	await := func(what string, percent int) {
		for deadline := time.Now().Add(12 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			p := paces()
			if len(p) == 2 && p[0] == percent && p[1] == percent {
				r.say("%s: both tasks that fill are at share %d", what, percent)
				return
			}
			if time.Now().After(deadline) {
				r.say("%s: the tasks that fill are at %v", what, p)
				r.end(2)
			}
		}
	}
	await("busy users", 0)
	struck := r.minions[0]
	if r.trouble {
		struck.mu.Lock()
		struck.unanswered = "/-/pace"
		struck.mu.Unlock()
	}
	load(20)
	await("quiet users", 100)
	time.Sleep(500 * time.Millisecond)
	load(70)
	await("busy users again", 0)
	time.Sleep(time.Second)
	if r.trouble {
		struck.mu.Lock()
		late, since := struck.late, struck.lateSince
		struck.mu.Unlock()
		if late == nil {
			r.say("no order was left without an answer")
			r.end(2)
		}
		// Late orders are carried out 2 to 12 s later.
		time.Sleep(time.Until(since.Add(8 * time.Second)))
		taken := struck.pacedLate(*late)
		r.say("the order without an answer is carried out %.1f s after it came: %v", time.Since(since).Seconds(), taken)
	} else {
		time.Sleep(4 * time.Second)
	}
	// contact_timeout_ms, so that no disruption is near.
	time.Sleep(4 * time.Second)
	for _, m := range r.minions {
		m.mu.Lock()
		m.overSince, m.longestOver = time.Time{}, 0
		m.mu.Unlock()
	}
	time.Sleep(10 * time.Second)
	struck.mu.Lock()
	longest, tail := struck.longestOver, struck.tail()
	struck.mu.Unlock()
	r.say("in the 10 s from 4 s after that, the task that serves at %s was over its target for %.1f s on end; its tail is %.0f ms, %.0f ms by its own load",
		struck.id, longest.Seconds(), tail, struck.baseTail)
	r.checkAlive()
	if longest >= 4*time.Second {
		r.say("HARM: over target_ms for %.1f s on end by the doing of a task that fills; harm_ms is 4 s", longest.Seconds())
		r.end(1)
	}
	r.say("held")
	r.end(0)
}
