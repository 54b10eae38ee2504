package main

import (
	"strings"
	"time"
)

func init() { cases["pace"] = pace }

// pace kills the leader while tasks that fill are paused, and lets the load of the tasks that serve beside them fall afterwards.
func pace(folder string) {
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
			m.baseTail = tail
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
	if !batch.submit("/pufi791/", filling, job("fills work=6000", step(2, 4000, 512, 6000, "fills", true, "image", "render", "anti_affinity", 1))) {
		r.say("the job that fills wasn't accepted")
		r.end(2)
	}
	paused := func() (n int) {
		for _, m := range r.minions {
			m.mu.Lock()
			for _, run := range m.runs {
				if strings.HasPrefix(run.task, filling+".") && run.pace == 0 {
					n++
				}
			}
			m.mu.Unlock()
		}
		return n
	}
	for deadline := time.Now().Add(10 * time.Second); paused() < 2; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			r.say("%d of 2 tasks that fill are paused", paused())
			r.end(2)
		}
	}
	r.say("both tasks that fill are paused")
	time.Sleep(time.Second)
	if l := r.leader(); r.trouble && l != nil {
		l.kill()
		time.Sleep(time.Second)
		l.start()
	}
	time.Sleep(8 * time.Second)
	load(20)
	r.say("the load of the tasks that serve falls")
	// finish_s, and the work that is left.
	time.Sleep(22 * time.Second)
	stuck := true
	for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(50 * time.Millisecond) {
		stuck = stuck && paused() == 2
	}
	a := batch.ask("/pufi791/", filling)
	r.say("the job that fills: %v; %d of its tasks are at share 0", a, paused())
	r.checkAlive()
	if stuck && a.state() != "completed" {
		r.say("LOST: for 25 s nothing of an accepted job has been at work, beside tasks at a fifth of their target and idle cores")
		r.end(1)
	}
	r.say("held")
	r.end(0)
}
