package main

import (
	"time"
)

func init() { cases["gangs"] = gangs }

// gangs hands in jobs that can never be done, then a few ordinary ones, and looks at these after the end of the traffic.
func gangs(folder string) {
	r := newRig(folder)
	r.configure(7,
		[]map[string]any{route("r-dev3nax", "/lohu930/", "huvo11a", 0, false), route("r-7u27gxp", "/pufi791/", "huvo11a", 2, false)},
		[]map[string]any{tenant("hule930", 16, "3hh2b9wu3fexd9dnn2ct"), tenant("bado112", 16, "nfzs989anu6wsjnbanfq")})
	for i := range 48 {
		r.minions = append(r.minions, newMinion(r, i, "huvo11a"))
	}
	for _, zone := range []string{"nyali", "likoni", "westlands"} {
		r.addNode(zone, 284)
	}
	r.startAll()
	time.Sleep(2 * time.Second)
	sweep := &client{rig: r, host: host, key: "nfzs989anu6wsjnbanfq"}
	sound := &client{rig: r, host: host, key: "3hh2b9wu3fexd9dnn2ct"}
	if r.trouble {
		const hopeless = 300
		accepted := 0
		for i := range hopeless {
			// 1,000 tasks of 3.1 cores need 3,100 cores together; all minions have 48 x 64 = 3,072.
			if sweep.submit("/pufi791/", jobID(1000+i), job("work=500", step(1000, 3100, 500, 500, "gang", true, "same_rack", true))) {
				accepted++
			}
		}
		r.say("%d of %d jobs that can never be done are accepted", accepted, hopeless)
	}
	const ordinary = 8
	ids := []string{}
	for i := range ordinary {
		id := jobID(i + 1)
		if sound.submit("/lohu930/", id, job("work=300", step(2, 500, 256, 300))) {
			ids = append(ids, id)
		}
		time.Sleep(250 * time.Millisecond)
	}
	if len(ids) < ordinary/2 {
		r.say("only %d of %d ordinary jobs were accepted", len(ids), ordinary)
		r.end(2)
	}
	r.say("the traffic ends; %d ordinary jobs are accepted", len(ids))
	// finish_s after the end of the traffic jobs are asked for.
	time.Sleep(14 * time.Second)
	waiting := map[string]bool{}
	for _, id := range ids {
		if state := sound.ask("/lohu930/", id).state(); state != "completed" && r.runningOf(id) == 0 {
			waiting[id] = true
		}
	}
	used := false
	for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(10 * time.Millisecond) {
		// 48 x 64 cores; half of the capacity is thousands of such tasks.
		used = used || r.runningOf("") > 100
		for id := range waiting {
			if r.runningOf(id) > 0 {
				delete(waiting, id)
			}
		}
	}
	lost := 0
	for id := range waiting {
		a := sound.ask("/lohu930/", id)
		if a.state() != "completed" {
			lost++
			r.say("job %s: %v; %d starts so far", id, a, r.startsOf(id))
		}
	}
	token := string(r.store.get("tenures", "fleet", "fleet"))
	r.say("the leadership row at the end: %.160s", token)
	r.checkAlive()
	if lost > 0 && !used {
		r.say("LOST: for 3 s, %d of %d accepted jobs have nothing running on idle minions, 14 s after the end of the traffic", lost, len(ids))
		r.end(1)
	}
	r.say("held: all ordinary jobs were run")
	r.end(0)
}
