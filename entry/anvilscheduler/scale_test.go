package anvilscheduler

import (
	"fmt"
	"slices"
	"testing"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
)

// fleetOf returns a world with n workers of 4 cores and an instance that schedules.
func fleetOf(t *testing.T, n int) (*world, *rig) {
	t.Helper()
	w := newWorld(t, testPolicy())
	for i := range n {
		w.addWorker(fmt.Sprintf("w%03d", i), core(4))
	}
	r := w.newRig("e1")
	w.pass(firstTime, r)
	return w, r
}

func TestQuestions(t *testing.T) {
	t.Run("a question names no more workers than the step can use", func(t *testing.T) {
		// Guards against an advisor that is busy with workers which nobody needs: it charges for each name.
		w, r := fleetOf(t, 90)
		w.submit("j1", askingQueue, "", anviljob.NewStep(2, core(4), anviljob.WithEstimate(60_000)))
		w.pass(settleTime, r)
		assertRunning(t, w, "j1.0.0.0", "j1.0.0.1")
		if n := len(w.questions[0]); n > 20 {
			t.Fatalf("%d workers were named for 2 tasks", n)
		}
	})
	t.Run("a step whose workers were refused asks about others", func(t *testing.T) {
		// Guards against a step that stands still because its first question named few workers.
		w, r := fleetOf(t, 90)
		w.advice = func(id string) bool { return id == "w089" || id == "w041" }
		w.submit("j1", askingQueue, "", anviljob.NewStep(2, core(4), anviljob.WithEstimate(60_000)))
		w.pass(5000, r)
		assertRunning(t, w, "j1.0.0.0", "j1.0.0.1")
	})
	t.Run("small tasks are asked about workers that are in use", func(t *testing.T) {
		// Guards against gangs of whole workers that wait because single tasks spread over all of them.
		w, r := fleetOf(t, 20)
		w.submit("j1", plainQueue, "", anviljob.NewStep(1, core(1), anviljob.WithEstimate(60_000)))
		w.pass(settleTime, r)
		used := w.at("j1.0.0.0")
		w.submit("j2", askingQueue, "", anviljob.NewStep(1, core(1)))
		w.pass(settleTime, r)
		if w.at("j2.0.0.0") != used {
			t.Fatal("the second task runs on an unused worker")
		}
	})
	t.Run("a step that has to leave headroom asks nothing", func(t *testing.T) {
		// Guards against a step that has the advisor renew tickets which it may not use.
		policy := anvilpolicy.New(1, []anvilpolicy.Queue{
			anvilpolicy.NewQueue("quick", "h", "/q/", poolName, anvilpolicy.WithObjective(2, 1000)),
			anvilpolicy.NewQueue("batch", "h", "/b/", poolName, anvilpolicy.WithPriority(2), anvilpolicy.WithObjective(4, 30_000),
				anvilpolicy.WithAdvice(anvilpolicy.NewAdvice(10, 1, 2000))),
		})
		w := newWorld(t, policy)
		w.addWorker("w1", core(8))
		r := w.newRig("e1")
		w.pass(firstTime, r)
		w.submit("j1", "quick", "", anviljob.NewStep(7, core(1), anviljob.WithEstimate(60_000)))
		w.pass(settleTime, r)
		w.submit("j2", "batch", "", anviljob.NewStep(1, core(1), anviljob.WithEstimate(8000)))
		w.pass(settleTime, r)
		assertEqual(t, "questions", len(w.questions), 0)
	})
	t.Run("a former process of a machine is not asked beside the new one", func(t *testing.T) {
		// Guards against questions that wait for each other at the advisor, which serves machines in turn.
		s := newProxySet(anvilstorage.NewInstance("e1", "e1:1", "d1", 0))
		s.add(anvilstorage.NewInstance("e2-old", "e2:1", "d1", 0), 5)
		s.add(anvilstorage.NewInstance("e2-new", "e2:1", "d1", 0), 9)
		s.add(anvilstorage.NewInstance("e1-old", "e1:1", "d1", 0), 4)
		assertEqual(t, "instances", len(s.byName), 2)
		assertEqual(t, "the newest one", s.byName["e2-new"] != nil, true)
		assertEqual(t, "former ones", s.superseded, []string{"e2-old", "e1-old"})
	})
}

func TestTrip(t *testing.T) {
	t.Run("a question goes through the instance by which it is answered first", func(t *testing.T) {
		// Guards against questions that cross the link between regions while near instances have nothing to do.
		s := newProxySet(anvilstorage.NewInstance("z-self", "z:1", "d1", 0))
		s.add(anvilstorage.NewInstance("a-far", "a:1", "d2", 0), 1)
		s.add(anvilstorage.NewInstance("b-near", "b:1", "d1", 0), 1)
		s.byName["a-far"].observeLatency(50)
		s.byName["b-near"].observeLatency(4)
		s.byName["z-self"].observeLatency(2)
		assertEqual(t, "first", s.pick(20, 1).instance.Name(), "z-self")
		s.byName["z-self"].queuedCost, s.byName["z-self"].inflight = 20, 1
		assertEqual(t, "second", s.pick(20, 1).instance.Name(), "b-near")
		s.byName["b-near"].queuedCost, s.byName["b-near"].inflight = 60, 1
		assertEqual(t, "third", s.pick(20, 1).instance.Name(), "z-self")
	})
}

func TestHandover(t *testing.T) {
	t.Run("the row is looked at again when it may be claimed", func(t *testing.T) {
		// Guards against a fleet that stands still for the rest of a pause after its leader was lost.
		w, _ := fleetOf(t, 1)
		next := w.newRig("e2")
		next.read()
		next.turn()
		w.clock.Advance(vacantAfter - 100)
		next.loop.post(leadershipRead{row: w.store.get(anvilstorage.Leaderships, anvilstorage.LeadershipKey), since: next.loop.leadership.unchangedSince + vacantAfter - 100})
		next.loop.leadership.lastRead = w.clock.Now()
		var due []anvilclock.Millis
		next.loop.after = func(d anvilclock.Millis, _ func()) { due = append(due, d) }
		next.turn()
		assertEqual(t, "looks to come", due, []anvilclock.Millis{100})
	})
	t.Run("a leadership that is given up is told to the others", func(t *testing.T) {
		// Guards against a planned stop after which nobody schedules until the next look at the row.
		w, r, h := startedTelling(t)
		r.loop.proxies.add(anvilstorage.NewInstance("e2", "e2:1", "d2", 0), 1)
		next := w.newRig("e2")
		r.loop.Shutdown()
		r.turn()
		assertEqual(t, "told", h.lines, []string{"e2:1[]"})
		next.loop.ReceiveRows([]anvilstorage.Row{w.store.get(anvilstorage.Leaderships, anvilstorage.LeadershipKey)})
		next.turn()
		assertEqual(t, "looks to come", len(next.loop.pollRequests), 1)
	})
}

func TestEarlyTakeover(t *testing.T) {
	// The second instance has a far greater share of the time until the row may be claimed behind it.
	successor := func(t *testing.T) (*world, *rig, *rig) {
		t.Helper()
		w := newWorld(t, testPolicy())
		w.addWorker("w1", core(4))
		next := w.newRig("e2")
		r := w.newRig("e1", WithPeers(neighborhood{"e2:1": next.loop}))
		w.pass(firstTime, r)
		w.pass(settleTime, r, next)
		return w, r, next
	}
	t.Run("a leader that is cut off hands over at once", func(t *testing.T) {
		// Guards against a second without starts because the row of a cut leader has to stand still first.
		w, r, next := successor(t)
		r.loop.post(partitionChecked{partitioned: true, addr: "e2:1", peers: []string{"e2:1"}})
		r.turn()
		assertEqual(t, "the old one schedules", r.loop.leading(), false)
		w.pass(150, next)
		assertEqual(t, "the new one schedules", next.loop.leading(), true)
	})
	t.Run("a leader that is cut off alone keeps its leadership", func(t *testing.T) {
		// Guards against work that stops although nobody else reaches the store.
		_, r, _ := successor(t)
		r.loop.post(partitionChecked{partitioned: true})
		r.turn()
		assertEqual(t, "it schedules", r.loop.leading(), true)
	})
	t.Run("a leader whose process is gone is followed early", func(t *testing.T) {
		// Guards against the same second after a leader has died.
		w, r, next := successor(t)
		r.frozen = true
		next.loop.post(leaderExited{addr: "e1:1"})
		w.pass(exitedVacantAfter+150, next)
		assertEqual(t, "the new one schedules", next.loop.leading(), true)
	})
	t.Run("a leader that renews is not followed", func(t *testing.T) {
		// Guards against instances that take the leadership from each other because a link between them refuses.
		w, r, next := successor(t)
		for range 20 {
			next.loop.post(leaderExited{addr: "e1:1"})
			w.pass(100, r, next)
		}
		assertEqual(t, "it schedules", r.loop.leading(), true)
	})
	t.Run("news of a former leadership is of no consequence", func(t *testing.T) {
		// Guards against a takeover because of a message that is late.
		w, r, next := successor(t)
		next.loop.LeadershipEnded(r.loop.leadership.token - 1)
		next.loop.post(leaderExited{addr: "e9:1"})
		w.pass(settleTime, next)
		assertEqual(t, "the new one schedules", next.loop.leading(), false)
	})
}

func TestProbes(t *testing.T) {
	t.Run("not all workers are asked at once", func(t *testing.T) {
		// Guards against a new leader that takes thousands of workers for silent because it asks all of them at
		// the same moment, and starts their tasks again when their leases seem to have lapsed.
		w, r := fleetOf(t, 1)
		var sent []func()
		r.loop.spawn = func(f func()) { sent = append(sent, f) }
		for i := range 3 * maxProbes {
			w.addWorker(fmt.Sprintf("x%03d", i), core(4))
		}
		list, _ := w.Workers(t.Context(), 0, 0)
		r.loop.post(workersRead{token: r.loop.leadership.token, page: list, full: true})
		r.turn()
		assertEqual(t, "holds on their way", r.loop.fleet.probesInFlight, maxIdleProbes)
		for len(sent) > 0 {
			first := sent[0]
			sent = sent[1:]
			first()
			r.turn()
		}
		ready := 0
		for _, k := range r.loop.fleet.byID {
			if k.machine.State() == workerReady {
				ready++
			}
		}
		assertEqual(t, "workers that have answered", ready, 3*maxProbes+1)
		assertEqual(t, "holds on their way at the end", r.loop.fleet.probesInFlight, 0)
	})
}

// Guards against links that are full of what every instance of a large fleet reads, so that the leader no longer
// reaches its workers.
func TestReadings(t *testing.T) {
	w, r := fleetOf(t, 1)
	r.loop.spawn = func(func()) {}
	for _, c := range []struct {
		others int
		pause  anvilclock.Millis
	}{{7, stateFeedInterval}, {33, stateFeedInterval}, {100, 800}, {301, 2408}} {
		t.Run(fmt.Sprintf("%d other instances", c.others), func(t *testing.T) {
			r.loop.post(peersRead{count: c.others})
			r.turn()
			assertEqual(t, "pause", r.loop.stateInterval(), c.pause)
		})
	}
	t.Run("workers with tasks are asked before those without", func(t *testing.T) {
		// Guards against leases that run out while a new leader greets workers that do nothing.
		var sent int
		r.loop.spawn = func(func()) { sent++ }
		for i := range 2 * maxProbes {
			w.addWorker(fmt.Sprintf("y%03d", i), core(4))
		}
		list, _ := w.Workers(t.Context(), 0, 0)
		r.loop.post(workersRead{token: r.loop.leadership.token, page: list, full: true})
		r.turn()
		assertEqual(t, "holds to workers without tasks", sent, maxIdleProbes)
		k := r.loop.fleet.byID["y200"]
		k.lastHold = 0
		k.tasks[&task{}] = true
		r.loop.holdIfDue(k, w.clock.Now())
		assertEqual(t, "holds with one that has a task", sent, maxIdleProbes+1)
	})
}

func TestPower(t *testing.T) {
	t.Run("a weaker instance claims later", func(t *testing.T) {
		// Guards against a fleet that is scheduled by an instance whose processor can't keep up with it.
		w, _ := fleetOf(t, 1)
		weak := w.newRigOf("weak", 200)
		weak.loop.post(peersRead{maxCPU: 800})
		strong := w.newRigOf("strong", 800)
		strong.loop.post(peersRead{maxCPU: 200})
		w.pass(takeoverTime, weak, strong)
		assertEqual(t, "the strong one holds", strong.loop.leading(), true)
	})
	t.Run("a weaker instance claims when no other does", func(t *testing.T) {
		// Guards against a fleet without a scheduler while the strong instances are gone.
		w, _ := fleetOf(t, 1)
		weak := w.newRigOf("weak", 200)
		weak.loop.post(peersRead{maxCPU: 800})
		w.pass(takeoverTime+maxCPUDelay, weak)
		assertEqual(t, "holds", weak.loop.leading(), true)
	})
	t.Run("a weak leader leaves the leadership to a strong instance that answers", func(t *testing.T) {
		// Guards against a weak leader that stays after the strong instances have come back.
		w := newWorld(t, testPolicy())
		w.addWorker("w1", core(4))
		weak := w.newRigOf("weak", 200)
		w.pass(firstTime, weak)
		strong := w.newRigOf("strong", 800)
		strong.loop.post(peersRead{maxCPU: 200})
		weak.loop.post(peersRead{maxCPU: 800})
		w.pass(minLeadTime, weak)
		weak.loop.proxies.add(strong.loop.self, 1)
		weak.loop.proxies.byName["strong"].lastReply = w.clock.Now()
		w.pass(anvilclock.Millis(600), weak, strong)
		assertEqual(t, "the strong one holds", strong.loop.leading(), true)
		assertEqual(t, "the weak one holds", weak.loop.leading(), false)
	})
}

// told notes who is told of rows, and who passes them on.
type told struct{ lines []string }

func (h *told) Notify(addr string, relays []string, _ ...anvilstorage.Row) {
	h.lines = append(h.lines, fmt.Sprint(addr, relays))
}

// startedTelling returns a world with an instance that schedules, and what it tells others.
func startedTelling(t *testing.T) (*world, *rig, *told) {
	t.Helper()
	h := &told{}
	w := newWorld(t, testPolicy())
	w.addWorker("w1", core(4))
	r := w.newRig("e1", WithNotifier(h))
	w.pass(firstTime, r)
	return w, r, h
}

func TestAnnouncements(t *testing.T) {
	t.Run("the end of a job is told to one instance of each failure domain", func(t *testing.T) {
		// Guards against a leader whose messages grow with jobs times instances.
		w, r, h := startedTelling(t)
		for name, domain := range map[string]string{"e2": "d2", "e3": "d2", "e4": "d3"} {
			milliCPU := int64(200)
			if name == "e3" {
				milliCPU = 800
			}
			r.loop.proxies.add(anvilstorage.NewInstance(name, name+":1", domain, milliCPU), 1)
		}
		w.submit("j1", plainQueue, "", anviljob.NewStep(1, core(1)))
		w.pass(settleTime, r)
		w.end("j1.0.0.0", CauseDone, "")
		w.pass(settleTime, r)
		slices.Sort(h.lines)
		assertEqual(t, "told", h.lines, []string{"e3:1[e2:1]", "e4:1[]"})
	})
	t.Run("an instance that does not answer passes nothing on", func(t *testing.T) {
		// Guards against a domain that hears late because its strongest instance is gone.
		s := newProxySet(anvilstorage.NewInstance("e1", "e1:1", "d1", 800))
		s.add(anvilstorage.NewInstance("e2", "e2:1", "d2", 800), 1)
		s.add(anvilstorage.NewInstance("e3", "e3:1", "d2", 200), 1)
		s.byName["e3"].lastReply = 9000
		assertEqual(t, "relays", s.relays(10_000), map[string][]string{"e3:1": {"e2:1"}})
	})
}
