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

// startedWithWorkers returns a world with n workers of 4 cores and an instance that schedules.
func startedWithWorkers(t *testing.T, n int) (*fakeCluster, *harness) {
	t.Helper()
	fc := newFakeCluster(t, testPolicy())
	for i := range n {
		fc.addWorker(fmt.Sprintf("w%03d", i), core(4))
	}
	h := fc.newHarness("e1")
	fc.advance(firstTime, h)
	return fc, h
}

func TestAdvisorQueries(t *testing.T) {
	t.Run("a question names no more workers than the step can use", func(t *testing.T) {
		// Guards against an advisor that is busy with workers which nobody needs: it charges for each name.
		fc, h := startedWithWorkers(t, 90)
		fc.submit("j1", advisedQueue, "", anviljob.NewStep(2, core(4), anviljob.WithEstimate(60_000)))
		fc.advance(settleTime, h)
		assertRunning(t, fc, "j1.0.0.0", "j1.0.0.1")
		if n := len(fc.queries[0]); n > 20 {
			t.Fatalf("%d workers were named for 2 tasks", n)
		}
	})
	t.Run("a step whose workers were refused asks about others", func(t *testing.T) {
		// Guards against a step that stands still because its first question named few workers.
		fc, h := startedWithWorkers(t, 90)
		fc.approves = func(id string) bool { return id == "w089" || id == "w041" }
		fc.submit("j1", advisedQueue, "", anviljob.NewStep(2, core(4), anviljob.WithEstimate(60_000)))
		fc.advance(5000, h)
		assertRunning(t, fc, "j1.0.0.0", "j1.0.0.1")
	})
	t.Run("small tasks are asked about workers that are in use", func(t *testing.T) {
		// Guards against gangs of whole workers that wait because single tasks spread over all of them.
		fc, h := startedWithWorkers(t, 20)
		fc.submit("j1", plainQueue, "", anviljob.NewStep(1, core(1), anviljob.WithEstimate(60_000)))
		fc.advance(settleTime, h)
		used := fc.workerOf("j1.0.0.0")
		fc.submit("j2", advisedQueue, "", anviljob.NewStep(1, core(1)))
		fc.advance(settleTime, h)
		if fc.workerOf("j2.0.0.0") != used {
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
		fc := newFakeCluster(t, policy)
		fc.addWorker("w1", core(8))
		h := fc.newHarness("e1")
		fc.advance(firstTime, h)
		fc.submit("j1", "quick", "", anviljob.NewStep(7, core(1), anviljob.WithEstimate(60_000)))
		fc.advance(settleTime, h)
		fc.submit("j2", "batch", "", anviljob.NewStep(1, core(1), anviljob.WithEstimate(8000)))
		fc.advance(settleTime, h)
		assertEqual(t, "questions", len(fc.queries), 0)
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

func TestProxyLatency(t *testing.T) {
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
		fc, _ := startedWithWorkers(t, 1)
		next := fc.newHarness("e2")
		next.deliverReads()
		next.runUntilIdle()
		fc.clock.Advance(vacantAfter - 100)
		next.loop.post(leadershipRead{row: fc.store.get(anvilstorage.Leaderships, anvilstorage.LeadershipKey), since: next.loop.leadership.unchangedSince + vacantAfter - 100})
		next.loop.leadership.lastRead = fc.clock.Now()
		var due []anvilclock.Millis
		next.loop.after = func(d anvilclock.Millis, _ func()) { due = append(due, d) }
		next.runUntilIdle()
		assertEqual(t, "looks to come", due, []anvilclock.Millis{100})
	})
	t.Run("a leadership that is given up is told to the others", func(t *testing.T) {
		// Guards against a planned stop after which nobody schedules until the next look at the row.
		fc, h, n := startedWithNotifier(t)
		h.loop.proxies.add(anvilstorage.NewInstance("e2", "e2:1", "d2", 0), 1)
		next := fc.newHarness("e2")
		h.loop.Shutdown()
		h.runUntilIdle()
		assertEqual(t, "told", n.notified, []string{"e2:1[]"})
		next.loop.ReceiveRows([]anvilstorage.Row{fc.store.get(anvilstorage.Leaderships, anvilstorage.LeadershipKey)})
		next.runUntilIdle()
		assertEqual(t, "looks to come", len(next.loop.pollRequests), 1)
	})
}

func TestEarlyTakeover(t *testing.T) {
	// The second instance has a far greater share of the time until the row may be claimed behind it.
	successor := func(t *testing.T) (*fakeCluster, *harness, *harness) {
		t.Helper()
		fc := newFakeCluster(t, testPolicy())
		fc.addWorker("w1", core(4))
		next := fc.newHarness("e2")
		h := fc.newHarness("e1", WithPeers(peerLoops{"e2:1": next.loop}))
		fc.advance(firstTime, h)
		fc.advance(settleTime, h, next)
		return fc, h, next
	}
	t.Run("a leader that is cut off hands over at once", func(t *testing.T) {
		// Guards against a second without starts because the row of a cut leader has to stand still first.
		fc, h, next := successor(t)
		h.loop.post(partitionChecked{partitioned: true, addr: "e2:1", peers: []string{"e2:1"}})
		h.runUntilIdle()
		assertEqual(t, "the old one schedules", h.loop.leading(), false)
		fc.advance(150, next)
		assertEqual(t, "the new one schedules", next.loop.leading(), true)
	})
	t.Run("a leader that is cut off alone keeps its leadership", func(t *testing.T) {
		// Guards against work that stops although nobody else reaches the store.
		_, h, _ := successor(t)
		h.loop.post(partitionChecked{partitioned: true})
		h.runUntilIdle()
		assertEqual(t, "it schedules", h.loop.leading(), true)
	})
	t.Run("a leader whose process is gone is followed early", func(t *testing.T) {
		// Guards against the same second after a leader has died.
		fc, h, next := successor(t)
		h.paused = true
		next.loop.post(leaderExited{addr: "e1:1"})
		fc.advance(exitedVacantAfter+150, next)
		assertEqual(t, "the new one schedules", next.loop.leading(), true)
	})
	t.Run("a leader that renews is not followed", func(t *testing.T) {
		// Guards against instances that take the leadership from each other because a link between them refuses.
		fc, h, next := successor(t)
		for range 20 {
			next.loop.post(leaderExited{addr: "e1:1"})
			fc.advance(100, h, next)
		}
		assertEqual(t, "it schedules", h.loop.leading(), true)
	})
	t.Run("news of a former leadership is of no consequence", func(t *testing.T) {
		// Guards against a takeover because of a message that is late.
		fc, h, next := successor(t)
		next.loop.LeadershipEnded(h.loop.leadership.token - 1)
		next.loop.post(leaderExited{addr: "e9:1"})
		fc.advance(settleTime, next)
		assertEqual(t, "the new one schedules", next.loop.leading(), false)
	})
}

func TestProbes(t *testing.T) {
	t.Run("not all workers are asked at once", func(t *testing.T) {
		// Guards against a new leader that takes thousands of workers for silent because it asks all of them at
		// the same moment, and starts their tasks again when their leases seem to have lapsed.
		fc, h := startedWithWorkers(t, 1)
		var sent []func()
		h.loop.spawn = func(f func()) { sent = append(sent, f) }
		for i := range 3 * maxProbes {
			fc.addWorker(fmt.Sprintf("x%03d", i), core(4))
		}
		registrations, _ := fc.Workers(t.Context(), 0, 0)
		h.loop.post(workersRead{token: h.loop.leadership.token, page: registrations, full: true})
		h.runUntilIdle()
		assertEqual(t, "holds on their way", h.loop.fleet.probesInFlight, maxIdleProbes)
		for len(sent) > 0 {
			first := sent[0]
			sent = sent[1:]
			first()
			h.runUntilIdle()
		}
		ready := 0
		for _, k := range h.loop.fleet.byID {
			if k.machine.State() == workerReady {
				ready++
			}
		}
		assertEqual(t, "workers that have answered", ready, 3*maxProbes+1)
		assertEqual(t, "holds on their way at the end", h.loop.fleet.probesInFlight, 0)
	})
}

// Guards against links that are full of what every instance of a large fleet reads, so that the leader no longer
// reaches its workers.
func TestFeedIntervals(t *testing.T) {
	fc, h := startedWithWorkers(t, 1)
	h.loop.spawn = func(func()) {}
	for _, c := range []struct {
		others int
		pause  anvilclock.Millis
	}{{7, stateFeedInterval}, {33, stateFeedInterval}, {100, 800}, {301, 2408}} {
		t.Run(fmt.Sprintf("%d other instances", c.others), func(t *testing.T) {
			h.loop.post(peersRead{count: c.others})
			h.runUntilIdle()
			assertEqual(t, "pause", h.loop.stateInterval(), c.pause)
		})
	}
	t.Run("workers with tasks are asked before those without", func(t *testing.T) {
		// Guards against leases that run out while a new leader greets workers that do nothing.
		var sent int
		h.loop.spawn = func(func()) { sent++ }
		for i := range 2 * maxProbes {
			fc.addWorker(fmt.Sprintf("y%03d", i), core(4))
		}
		registrations, _ := fc.Workers(t.Context(), 0, 0)
		h.loop.post(workersRead{token: h.loop.leadership.token, page: registrations, full: true})
		h.runUntilIdle()
		assertEqual(t, "holds to workers without tasks", sent, maxIdleProbes)
		k := h.loop.fleet.byID["y200"]
		k.lastHold = 0
		k.tasks[&task{}] = true
		h.loop.holdIfDue(k, fc.clock.Now())
		assertEqual(t, "holds with one that has a task", sent, maxIdleProbes+1)
	})
}

func TestCPUDelay(t *testing.T) {
	t.Run("a weaker instance claims later", func(t *testing.T) {
		// Guards against a fleet that is scheduled by an instance whose processor can't keep up with it.
		fc, _ := startedWithWorkers(t, 1)
		weak := fc.newHarnessWithCPU("weak", 200)
		weak.loop.post(peersRead{maxCPU: 800})
		strong := fc.newHarnessWithCPU("strong", 800)
		strong.loop.post(peersRead{maxCPU: 200})
		fc.advance(takeoverTime, weak, strong)
		assertEqual(t, "the strong one holds", strong.loop.leading(), true)
	})
	t.Run("a weaker instance claims when no other does", func(t *testing.T) {
		// Guards against a fleet without a scheduler while the strong instances are gone.
		fc, _ := startedWithWorkers(t, 1)
		weak := fc.newHarnessWithCPU("weak", 200)
		weak.loop.post(peersRead{maxCPU: 800})
		fc.advance(takeoverTime+maxCPUDelay, weak)
		assertEqual(t, "holds", weak.loop.leading(), true)
	})
	t.Run("a weak leader leaves the leadership to a strong instance that answers", func(t *testing.T) {
		// Guards against a weak leader that stays after the strong instances have come back.
		fc := newFakeCluster(t, testPolicy())
		fc.addWorker("w1", core(4))
		weak := fc.newHarnessWithCPU("weak", 200)
		fc.advance(firstTime, weak)
		strong := fc.newHarnessWithCPU("strong", 800)
		strong.loop.post(peersRead{maxCPU: 200})
		weak.loop.post(peersRead{maxCPU: 800})
		fc.advance(minLeadTime, weak)
		weak.loop.proxies.add(strong.loop.self, 1)
		weak.loop.proxies.byName["strong"].lastReply = fc.clock.Now()
		fc.advance(anvilclock.Millis(600), weak, strong)
		assertEqual(t, "the strong one holds", strong.loop.leading(), true)
		assertEqual(t, "the weak one holds", weak.loop.leading(), false)
	})
}

// recordingNotifier notes who is told of rows, and who passes them on.
type recordingNotifier struct{ notified []string }

func (n *recordingNotifier) Notify(addr string, relays []string, _ ...anvilstorage.Row) {
	n.notified = append(n.notified, fmt.Sprint(addr, relays))
}

// startedWithNotifier returns a world with an instance that schedules, and what it tells others.
func startedWithNotifier(t *testing.T) (*fakeCluster, *harness, *recordingNotifier) {
	t.Helper()
	n := &recordingNotifier{}
	fc := newFakeCluster(t, testPolicy())
	fc.addWorker("w1", core(4))
	h := fc.newHarness("e1", WithNotifier(n))
	fc.advance(firstTime, h)
	return fc, h, n
}

func TestEndNotifications(t *testing.T) {
	t.Run("the end of a job is told to one instance of each failure domain", func(t *testing.T) {
		// Guards against a leader whose messages grow with jobs times instances.
		fc, h, n := startedWithNotifier(t)
		for name, domain := range map[string]string{"e2": "d2", "e3": "d2", "e4": "d3"} {
			milliCPU := int64(200)
			if name == "e3" {
				milliCPU = 800
			}
			h.loop.proxies.add(anvilstorage.NewInstance(name, name+":1", domain, milliCPU), 1)
		}
		fc.submit("j1", plainQueue, "", anviljob.NewStep(1, core(1)))
		fc.advance(settleTime, h)
		fc.endRun("j1.0.0.0", CauseDone, "")
		fc.advance(settleTime, h)
		slices.Sort(n.notified)
		assertEqual(t, "told", n.notified, []string{"e3:1[e2:1]", "e4:1[]"})
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
