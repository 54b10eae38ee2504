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

// startedWithWorkers returns a cluster with n workers of 4 cores and a leader.
func startedWithWorkers(t *testing.T, n int) (*fakeCluster, *harness) {
	t.Helper()
	fc := newFakeCluster(t, testPolicy())
	for i := range n {
		fc.addWorker(fmt.Sprintf("w%03d", i), core(4))
	}
	h := fc.newHarness("e1")
	fc.advance(firstClaimTime, h)
	return fc, h
}

func TestAdvisorQueries(t *testing.T) {
	t.Run("a query names no more workers than the step can use", func(t *testing.T) {
		// Guards against an advisor that is busy with workers that are not needed: it needs time for each named worker.
		fc, h := startedWithWorkers(t, 90)
		fc.submit("j1", advisedQueue, "", anviljob.NewStep(2, core(4), anviljob.WithEstimate(60_000)))
		fc.advance(reactionTime, h)
		assertRunning(t, fc, "j1.0.0.0", "j1.0.0.1")
		if n := len(fc.queries[0]); n > 20 {
			t.Fatalf("%d workers were named for 2 tasks", n)
		}
	})
	t.Run("a step whose workers were not approved queries others", func(t *testing.T) {
		// Guards against a step that never starts because its first query named few workers.
		fc, h := startedWithWorkers(t, 90)
		fc.approves = func(id string) bool { return id == "w089" || id == "w041" }
		fc.submit("j1", advisedQueue, "", anviljob.NewStep(2, core(4), anviljob.WithEstimate(60_000)))
		fc.advance(5000, h)
		assertRunning(t, fc, "j1.0.0.0", "j1.0.0.1")
	})
	t.Run("queries for small tasks name workers in use", func(t *testing.T) {
		// Guards against gangs that need whole workers and wait because single tasks are spread over all workers.
		fc, h := startedWithWorkers(t, 20)
		fc.submit("j1", plainQueue, "", anviljob.NewStep(1, core(1), anviljob.WithEstimate(60_000)))
		fc.advance(reactionTime, h)
		used := fc.workerOf("j1.0.0.0")
		fc.submit("j2", advisedQueue, "", anviljob.NewStep(1, core(1)))
		fc.advance(reactionTime, h)
		if fc.workerOf("j2.0.0.0") != used {
			t.Fatal("the second task runs on an unused worker")
		}
	})
	t.Run("a step that has to leave headroom sends no query", func(t *testing.T) {
		// Guards against a step that renews tickets which it may not use.
		policy := anvilpolicy.New(1, []anvilpolicy.Queue{
			anvilpolicy.NewQueue("quick", "h", "/q/", poolName, anvilpolicy.WithObjective(2, 1000)),
			anvilpolicy.NewQueue("batch", "h", "/b/", poolName, anvilpolicy.WithPriority(2), anvilpolicy.WithObjective(4, 30_000),
				anvilpolicy.WithAdvice(anvilpolicy.NewAdvice(10, 1, 2000))),
		})
		fc := newFakeCluster(t, policy)
		fc.addWorker("w1", core(8))
		h := fc.newHarness("e1")
		fc.advance(firstClaimTime, h)
		fc.submit("j1", "quick", "", anviljob.NewStep(7, core(1), anviljob.WithEstimate(60_000)))
		fc.advance(reactionTime, h)
		fc.submit("j2", "batch", "", anviljob.NewStep(1, core(1), anviljob.WithEstimate(8000)))
		fc.advance(reactionTime, h)
		assertEqual(t, "queries", len(fc.queries), 0)
	})
	t.Run("a former process of a machine is replaced by the new one", func(t *testing.T) {
		// Guards against queries that wait for each other: the advisor processes the queries of one machine one
		// after the other.
		set := newProxySet(anvilstorage.NewInstance("e1", "e1:1", "d1", 0))
		set.add(anvilstorage.NewInstance("e2-old", "e2:1", "d1", 0), 5)
		set.add(anvilstorage.NewInstance("e2-new", "e2:1", "d1", 0), 9)
		set.add(anvilstorage.NewInstance("e1-old", "e1:1", "d1", 0), 4)
		assertEqual(t, "instances", len(set.byName), 2)
		assertEqual(t, "the newest process is kept", set.byName["e2-new"] != nil, true)
		assertEqual(t, "former processes", set.superseded, []string{"e2-old", "e1-old"})
	})
}

func TestProxyLatency(t *testing.T) {
	t.Run("a query goes through the instance with the least expected delay", func(t *testing.T) {
		// Guards against queries that cross the link between regions while instances in the same region are idle.
		set := newProxySet(anvilstorage.NewInstance("z-self", "z:1", "d1", 0))
		set.add(anvilstorage.NewInstance("a-far", "a:1", "d2", 0), 1)
		set.add(anvilstorage.NewInstance("b-near", "b:1", "d1", 0), 1)
		set.byName["a-far"].observeLatency(50)
		set.byName["b-near"].observeLatency(4)
		set.byName["z-self"].observeLatency(2)
		assertEqual(t, "first", set.pick(20, 1).instance.Name(), "z-self")
		set.byName["z-self"].queuedCost, set.byName["z-self"].inflight = 20, 1
		assertEqual(t, "second", set.pick(20, 1).instance.Name(), "b-near")
		set.byName["b-near"].queuedCost, set.byName["b-near"].inflight = 60, 1
		assertEqual(t, "third", set.pick(20, 1).instance.Name(), "z-self")
	})
}

func TestHandover(t *testing.T) {
	t.Run("the leadership row is read again when it may be claimed", func(t *testing.T) {
		// Guards against a fleet that stays without a leader for the rest of a poll interval.
		fc, _ := startedWithWorkers(t, 1)
		next := fc.newHarness("e2")
		next.deliverReads()
		next.runUntilIdle()
		fc.clock.Advance(vacantAfter - 100)
		next.loop.post(leadershipRead{row: fc.store.get(anvilstorage.Leaderships, anvilstorage.LeadershipKey),
			since: next.loop.leadership.unchangedSince + vacantAfter - 100})
		next.loop.leadership.lastRead = fc.clock.Now()
		var due []anvilclock.Millis
		next.loop.after = func(d anvilclock.Millis, _ func()) { due = append(due, d) }
		next.runUntilIdle()
		assertEqual(t, "scheduled reads", due, []anvilclock.Millis{100})
	})
	t.Run("other instances are notified of a released leadership", func(t *testing.T) {
		// Guards against a planned shutdown after which there is no leader until the next read of the row.
		fc, h, n := startedWithNotifier(t)
		h.loop.proxies.add(anvilstorage.NewInstance("e2", "e2:1", "d2", 0), 1)
		next := fc.newHarness("e2")
		h.loop.Shutdown()
		h.runUntilIdle()
		assertEqual(t, "notified instances, and to which they forward", n.notified, []string{"e2:1[]"})
		next.loop.ReceiveRows([]anvilstorage.Row{fc.store.get(anvilstorage.Leaderships, anvilstorage.LeadershipKey)})
		next.runUntilIdle()
		assertEqual(t, "scheduled reads", len(next.loop.pollRequests), 1)
	})
}

func TestEarlyTakeover(t *testing.T) {
	// successor returns a cluster, its leader, and a follower that has read the leadership row.
	successor := func(t *testing.T) (*fakeCluster, *harness, *harness) {
		t.Helper()
		fc := newFakeCluster(t, testPolicy())
		fc.addWorker("w1", core(4))
		next := fc.newHarness("e2")
		h := fc.newHarness("e1", WithPeers(peerLoops{"e2:1": next.loop}))
		fc.advance(firstClaimTime, h)
		fc.advance(reactionTime, h, next)
		return fc, h, next
	}
	t.Run("a partitioned leader hands over at once", func(t *testing.T) {
		// Guards against a second without starts because the row of a partitioned leader has to stay unchanged first.
		fc, h, next := successor(t)
		h.loop.post(partitionChecked{partitioned: true, addr: "e2:1", peers: []string{"e2:1"}})
		h.runUntilIdle()
		assertEqual(t, "the old instance is leader", h.loop.leading(), false)
		fc.advance(150, next)
		assertEqual(t, "the new instance is leader", next.loop.leading(), true)
	})
	t.Run("a leader keeps its leadership when no instance reaches the store", func(t *testing.T) {
		// Guards against running work that stops although no other instance could take over.
		_, h, _ := successor(t)
		h.loop.post(partitionChecked{partitioned: true})
		h.runUntilIdle()
		assertEqual(t, "it is leader", h.loop.leading(), true)
	})
	t.Run("the leadership of an exited process is claimed early", func(t *testing.T) {
		// Guards against a second without starts after the leader's process has exited.
		fc, h, next := successor(t)
		h.paused = true
		next.loop.post(leaderExited{addr: "e1:1"})
		fc.advance(exitedVacantAfter+150, next)
		assertEqual(t, "the new instance is leader", next.loop.leading(), true)
	})
	t.Run("the leadership of a leader that renews is not claimed", func(t *testing.T) {
		// Guards against instances that take the leadership from each other because connections between them fail.
		fc, h, next := successor(t)
		for range 20 {
			next.loop.post(leaderExited{addr: "e1:1"})
			fc.advance(100, h, next)
		}
		assertEqual(t, "it is leader", h.loop.leading(), true)
	})
	t.Run("notifications of a former leadership are ignored", func(t *testing.T) {
		// Guards against a takeover because of a delayed message.
		fc, h, next := successor(t)
		next.loop.LeadershipEnded(h.loop.leadership.token - 1)
		next.loop.post(leaderExited{addr: "e9:1"})
		fc.advance(reactionTime, next)
		assertEqual(t, "the new instance is leader", next.loop.leading(), false)
	})
}

func TestProbes(t *testing.T) {
	t.Run("a new leader limits the holds in flight", func(t *testing.T) {
		// Guards against a new leader that sends holds to thousands of workers at the same time, can't process the
		// answers before the timeout, and starts the tasks again when the leases seem to have expired.
		fc, h := startedWithWorkers(t, 1)
		var sent []func()
		h.loop.spawn = func(f func()) { sent = append(sent, f) }
		for i := range 3 * maxProbes {
			fc.addWorker(fmt.Sprintf("x%03d", i), core(4))
		}
		registrations, _ := fc.Workers(t.Context(), 0, 0)
		h.loop.post(workersRead{token: h.loop.leadership.token, page: registrations, full: true})
		h.runUntilIdle()
		assertEqual(t, "holds in flight", h.loop.fleet.probesInFlight, maxIdleProbes)
		for len(sent) > 0 {
			first := sent[0]
			sent = sent[1:]
			first()
			h.runUntilIdle()
		}
		ready := 0
		for _, probed := range h.loop.fleet.byID {
			if probed.machine.State() == workerReady {
				ready++
			}
		}
		assertEqual(t, "workers that have answered", ready, 3*maxProbes+1)
		assertEqual(t, "holds in flight at the end", h.loop.fleet.probesInFlight, 0)
	})
}

// Guards against network links that are congested by the reads of many instances, so that the leader no longer reaches
// its workers.
func TestFeedIntervals(t *testing.T) {
	fc, h := startedWithWorkers(t, 1)
	h.loop.spawn = func(func()) {}
	for _, c := range []struct {
		peers    int
		interval anvilclock.Millis
	}{{7, stateFeedInterval}, {33, stateFeedInterval}, {100, 800}, {301, 2408}} {
		t.Run(fmt.Sprintf("%d other instances", c.peers), func(t *testing.T) {
			h.loop.post(peersRead{count: c.peers})
			h.runUntilIdle()
			assertEqual(t, "interval", h.loop.stateInterval(), c.interval)
		})
	}
	t.Run("workers with tasks are probed before those without", func(t *testing.T) {
		// Guards against leases that expire while a new leader probes idle workers.
		var sent int
		h.loop.spawn = func(func()) { sent++ }
		for i := range 2 * maxProbes {
			fc.addWorker(fmt.Sprintf("y%03d", i), core(4))
		}
		registrations, _ := fc.Workers(t.Context(), 0, 0)
		h.loop.post(workersRead{token: h.loop.leadership.token, page: registrations, full: true})
		h.runUntilIdle()
		assertEqual(t, "holds to workers without tasks", sent, maxIdleProbes)
		probed := h.loop.fleet.byID["y200"]
		probed.lastHold = 0
		probed.tasks[&task{}] = true
		h.loop.holdIfDue(probed, fc.clock.Now())
		assertEqual(t, "holds with one worker that has a task", sent, maxIdleProbes+1)
	})
}

func TestCPUPreference(t *testing.T) {
	t.Run("an instance with less CPU claims later", func(t *testing.T) {
		// Guards against a leader whose CPU can't keep up with the fleet.
		fc, _ := startedWithWorkers(t, 1)
		small := fc.newHarnessWithCPU("weak", 200)
		small.loop.post(peersRead{maxCPU: 800})
		large := fc.newHarnessWithCPU("strong", 800)
		large.loop.post(peersRead{maxCPU: 200})
		fc.advance(takeoverTime, small, large)
		assertEqual(t, "the instance with more CPU is leader", large.loop.leading(), true)
	})
	t.Run("an instance with less CPU claims when no other does", func(t *testing.T) {
		// Guards against a fleet without a leader while the instances with more CPU are down.
		fc, _ := startedWithWorkers(t, 1)
		small := fc.newHarnessWithCPU("weak", 200)
		small.loop.post(peersRead{maxCPU: 800})
		fc.advance(takeoverTime+maxCPUDelay, small)
		assertEqual(t, "is leader", small.loop.leading(), true)
	})
	t.Run("a leader yields to an instance with more CPU that answers", func(t *testing.T) {
		// Guards against a leader with little CPU that keeps the leadership after instances with more CPU have come back.
		fc := newFakeCluster(t, testPolicy())
		fc.addWorker("w1", core(4))
		small := fc.newHarnessWithCPU("weak", 200)
		fc.advance(firstClaimTime, small)
		large := fc.newHarnessWithCPU("strong", 800)
		large.loop.post(peersRead{maxCPU: 200})
		small.loop.post(peersRead{maxCPU: 800})
		fc.advance(minLeadTime, small)
		small.loop.proxies.add(large.loop.self, 1)
		small.loop.proxies.byName["strong"].lastReply = fc.clock.Now()
		fc.advance(anvilclock.Millis(600), small, large)
		assertEqual(t, "the instance with more CPU is leader", large.loop.leading(), true)
		assertEqual(t, "the instance with less CPU is leader", small.loop.leading(), false)
	})
}

// recordingNotifier records the address of each notified instance, and the addresses to which that instance should
// forward the notification.
type recordingNotifier struct{ notified []string }

func (n *recordingNotifier) Notify(addr string, forwardTo []string, _ ...anvilstorage.Row) {
	n.notified = append(n.notified, fmt.Sprint(addr, forwardTo))
}

// startedWithNotifier returns a cluster with a leader, and the recorder of its notifications.
func startedWithNotifier(t *testing.T) (*fakeCluster, *harness, *recordingNotifier) {
	t.Helper()
	n := &recordingNotifier{}
	fc := newFakeCluster(t, testPolicy())
	fc.addWorker("w1", core(4))
	h := fc.newHarness("e1", WithNotifier(n))
	fc.advance(firstClaimTime, h)
	return fc, h, n
}

func TestEndNotifications(t *testing.T) {
	t.Run("one instance of each failure domain is notified of the end of a job", func(t *testing.T) {
		// Guards against a number of messages that grows with the product of jobs and instances.
		fc, h, n := startedWithNotifier(t)
		for name, domain := range map[string]string{"e2": "d2", "e3": "d2", "e4": "d3"} {
			milliCPU := int64(200)
			if name == "e3" {
				milliCPU = 800
			}
			h.loop.proxies.add(anvilstorage.NewInstance(name, name+":1", domain, milliCPU), 1)
		}
		fc.submit("j1", plainQueue, "", anviljob.NewStep(1, core(1)))
		fc.advance(reactionTime, h)
		fc.endRun("j1.0.0.0", CauseDone, "")
		fc.advance(reactionTime, h)
		slices.Sort(n.notified)
		assertEqual(t, "notified instances, and to which they forward", n.notified, []string{"e3:1[e2:1]", "e4:1[]"})
	})
	t.Run("an instance that does not answer is no relay", func(t *testing.T) {
		// Guards against a domain that is notified late because its instance with the most CPU is down.
		set := newProxySet(anvilstorage.NewInstance("e1", "e1:1", "d1", 800))
		set.add(anvilstorage.NewInstance("e2", "e2:1", "d2", 800), 1)
		set.add(anvilstorage.NewInstance("e3", "e3:1", "d2", 200), 1)
		set.byName["e3"].lastReply = 9000
		assertEqual(t, "relays", set.relays(10_000), map[string][]string{"e3:1": {"e2:1"}})
	})
}
