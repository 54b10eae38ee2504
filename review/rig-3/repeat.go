package main

import (
	"time"
)

func init() { cases["repeat"] = repeat }

const memoryMB = 284

// repeat hands in one repeated job whose first run lies a day back, beside ordinary ones. The script is the platform: it kills a process
// above memory_mb and starts it again.
func repeat(folder string) {
	r := newRig(folder)
	r.configure(7,
		[]map[string]any{route("r-dev3nax", "/lohu930/", "huvo11a", 0, false), route("r-7u27gxp", "/pufi791/", "huvo11a", 2, false)},
		[]map[string]any{tenant("hule930", 16, "3hh2b9wu3fexd9dnn2ct"), tenant("bado112", 16, "nfzs989anu6wsjnbanfq")})
	for i := range 12 {
		r.minions = append(r.minions, newMinion(r, i, "huvo11a"))
	}
	for _, zone := range []string{"nyali", "likoni", "westlands"} {
		r.addNode(zone, memoryMB)
	}
	r.startAll()
	time.Sleep(2 * time.Second)
	began := time.Now()
	if r.trouble {
		daily := &client{rig: r, host: host, key: "nfzs989anu6wsjnbanfq"}
		// Every minute for a day, the first run a day ago.
		j := job("work=500", step(1000, 1000, 500, 500))
		j["repetitions"], j["interval_ms"] = 1440, 60_000
		j["first_run_ms"] = began.Add(-24 * time.Hour).UnixMilli()
		r.say("the repeated job is accepted: %v", daily.submit("/pufi791/", jobID(1000), j))
	}
	sound := &client{rig: r, host: host, key: "3hh2b9wu3fexd9dnn2ct"}
	stop := make(chan struct{})
	asked := make(chan []string)
	go func() {
		ids := []string{}
		for n := 1; ; n++ {
			select {
			case <-stop:
				asked <- ids
				return
			case <-time.After(time.Second):
				if id := jobID(n); sound.submit("/lohu930/", id, job("work=200", step(2, 500, 256, 200))) {
					ids = append(ids, id)
				}
			}
		}
	}()
	kills := map[string]int{}
	broken := func() bool {
		machines := 0
		for _, n := range kills {
			if n >= 3 {
				machines++
			}
		}
		return machines >= 2
	}
	peak, lastNote := 0, time.Now()
	for time.Since(began) < 80*time.Second && !broken() {
		time.Sleep(50 * time.Millisecond)
		for _, n := range r.nodes {
			if !n.alive() {
				kills[n.name]++
				r.say("%s has ended by itself", n.name)
				n.start()
				continue
			}
			m := n.memoryMB()
			peak = max(peak, m)
			if m > memoryMB {
				kills[n.name]++
				r.say("%5.1f s: %s has %d MB, over memory_mb, end %d of it", time.Since(began).Seconds(), n.name, m, kills[n.name])
				n.kill()
				time.Sleep(300 * time.Millisecond)
				n.start()
			}
		}
		if time.Since(lastNote) > time.Second {
			lastNote = time.Now()
			r.note("memory: %d %d %d MB", r.nodes[0].memoryMB(), r.nodes[1].memoryMB(), r.nodes[2].memoryMB())
		}
	}
	close(stop)
	ids := <-asked
	done := 0
	for _, id := range ids {
		if sound.ask("/lohu930/", id).state() == "completed" {
			done++
		}
	}
	r.say("the highest memory of a process was %d MB of %d; ends by machine: %v; ordinary jobs: %d of %d accepted ones completed so far", peak, memoryMB, kills,
		done, len(ids))
	if len(ids) == 0 {
		r.say("no ordinary job was accepted")
		r.end(2)
	}
	if broken() {
		r.say("Fault: on two machines of three, processes ended three times, memory over the limit")
		r.end(1)
	}
	r.say("held")
	r.end(0)
}
