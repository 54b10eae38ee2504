package anvilscheduler

import (
	"slices"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevacuation"
	"anvilhold.org/lib/anviljob"
)

// evacuationBound is the time after which nothing may start in an evacuated domain.
const evacuationBound = anvilclock.Millis(5000)

func (fc *fakeCluster) evacuate(domain string) { fc.evacuated[domain] = fc.clock.Now() }

func (fc *fakeCluster) takeBack(domain string) { delete(fc.evacuated, domain) }

// evacuationPage returns the evacuations in force, as a read of all of them does.
func (fc *fakeCluster) evacuationPage() *anvilevacuation.Page {
	var requests []anvilevacuation.Change
	for domain := range fc.evacuated {
		requests = append(requests, anvilevacuation.Request(domain))
	}
	return anvilevacuation.NewFullPage(requests)
}

func (fc *fakeCluster) setDomain(worker, domain string) {
	for i := range fc.registry {
		if fc.registry[i].id == worker {
			fc.registry[i].domain = domain
		}
	}
}

// checkEvacuated fails the test when a worker starts a task although its domain has been evacuated for longer than the bound.
func (fc *fakeCluster) checkEvacuated(fw *fakeWorker) {
	i := slices.IndexFunc(fc.registry, func(r Registration) bool { return r.id == fw.id })
	if i < 0 {
		return
	}
	if at, ok := fc.evacuated[fc.registry[i].domain]; ok && fc.clock.Now()-at > evacuationBound {
		fc.t.Errorf("worker %s starts a task %d ms after the evacuation of its domain", fw.id, fc.clock.Now()-at)
	}
}

// longStep returns a step of n tasks of a core that run for longer than a test.
func longStep(n int, opts ...anviljob.StepOption) anviljob.Step {
	return anviljob.NewStep(n, core(1), append(opts, anviljob.WithEstimate(600_000))...)
}

// startedInDomains returns a cluster with worker w1 in domain d1 and w2 in d2, of 4 cores each, and its leader, which is in d1.
func startedInDomains(t *testing.T) (*fakeCluster, *harness) {
	t.Helper()
	fc := newFakeCluster(t, testPolicy())
	fc.addWorker("w1", core(4))
	fc.addWorker("w2", core(4))
	fc.setDomain("w2", "d2")
	h := fc.newHarness("e1", WithEvacuationBound(evacuationBound))
	fc.advance(firstClaimTime, h)
	if !h.loop.leading() {
		t.Fatal("the only instance is not the leader")
	}
	return fc, h
}

func assertStartCounts(t *testing.T, fc *fakeCluster, w1, w2 int) {
	t.Helper()
	assertEqual(t, "starts of w1 and w2", []int{fc.workers["w1"].starts, fc.workers["w2"].starts}, []int{w1, w2})
}

func TestEvacuation(t *testing.T) {
	t.Run("nothing starts in the domain and its work goes on", func(t *testing.T) {
		// Guards against starts in an evacuated domain, here the leader's own, and against runs that are stopped without need.
		fc, h := startedInDomains(t)
		fc.submit("j1", plainQueue, teamName, longStep(8))
		fc.advance(reactionTime, h)
		assertStartCounts(t, fc, 4, 4)
		fc.evacuate("d1")
		fc.advance(reactionTime, h)
		for id := range fc.workers["w2"].runs {
			fc.endRun(id.String(), CauseDone, "")
		}
		for id := range fc.workers["w1"].runs {
			fc.endRun(id.String(), CauseDone, "")
			break
		}
		fc.submit("j2", plainQueue, teamName, longStep(5))
		fc.advance(evacuationBound, h)
		assertEqual(t, "starts of w1", fc.workers["w1"].starts, 4)
		assertEqual(t, "running tasks of w1 and w2", []int{len(fc.workers["w1"].runs), len(fc.workers["w2"].runs)}, "[3 4]")
		assertEqual(t, "state of the evacuation", h.loop.evacuations.active["d1"].machine.State(), "emptying")
	})
	t.Run("a domain that is taken back gets work again", func(t *testing.T) {
		// Guards against capacity that stays unused once the evacuation has ended, and against one that isn't requested anew.
		fc, h := startedInDomains(t)
		for i := range 2 {
			fc.evacuate("d1")
			fc.advance(reactionTime, h)
			assertEqual(t, "state of the evacuation", h.loop.evacuations.active["d1"].machine.State(), "empty")
			id := []string{"j1", "j2"}[i]
			fc.submit(id, plainQueue, teamName, longStep(6))
			fc.advance(reactionTime, h)
			assertStartCounts(t, fc, 2*i, 4*(i+1))
			fc.takeBack("d1")
			fc.advance(reactionTime, h)
			assertStartCounts(t, fc, 2*(i+1), 4*(i+1))
			for _, task := range fc.running() {
				fc.endRun(task, CauseDone, "")
			}
			fc.advance(reactionTime, h)
		}
	})
	t.Run("two domains at once", func(t *testing.T) {
		// Guards against the end of one evacuation that ends another, and against starts when no domain is left.
		fc, h := startedInDomains(t)
		fc.evacuate("d1")
		fc.evacuate("d2")
		fc.submit("j1", plainQueue, teamName, longStep(1))
		fc.advance(evacuationBound+reactionTime, h)
		assertStartCounts(t, fc, 0, 0)
		fc.takeBack("d2")
		fc.advance(reactionTime, h)
		assertStartCounts(t, fc, 0, 1)
	})
	t.Run("a gang starts as a whole elsewhere", func(t *testing.T) {
		// Guards against a gang of which some tasks wait for workers of the evacuated domain.
		fc, h := startedInDomains(t)
		fc.evacuate("d1")
		fc.submit("j1", plainQueue, teamName, longStep(3, anviljob.WithGang(true, false)))
		fc.advance(reactionTime, h)
		assertStartCounts(t, fc, 0, 3)
	})
}

func TestEvacuationDuringStart(t *testing.T) {
	for name, c := range map[string]struct {
		fault      Fault
		unanswered bool
		w1, w2     int
	}{
		"it is refused": {fault: FaultExpired, w2: 1},
		"it is refused after one without an answer": {fault: FaultExpired, unanswered: true, w2: 1},
		"it gets no answer":                         {fault: FaultNoReply, w2: 1},
		"it is carried out":                         {w1: 1},
	} {
		t.Run(name, func(t *testing.T) {
			// Guards against a start that was first sent before the evacuation and is repeated after it, and against a task that
			// runs elsewhere while its first start may have been carried out.
			fc, h := startedInDomains(t)
			fc.workers["w2"].startFault = FaultUnavailable
			fc.workers["w1"].startFault, fc.workers["w1"].loseAnswers = c.fault, c.fault == ""
			fc.submit("j1", plainQueue, teamName, longStep(1))
			for fc.clock.Now() < 1_010_000 && len(h.loop.fleet.byID["w1"].tasks) == 0 {
				fc.advance(25, h)
			}
			for bound := range h.loop.fleet.byID["w1"].tasks {
				bound.unconfirmed = bound.unconfirmed || c.unanswered
			}
			fc.evacuate("d1")
			fc.workers["w2"].startFault = ""
			fc.advance(25, h)
			fc.workers["w1"].startFault, fc.workers["w1"].loseAnswers = "", false
			fc.advance(maxWorkerLease+2*evacuationBound, h)
			assertStartCounts(t, fc, c.w1, c.w2)
			assertRunning(t, fc, "j1.0.0.0")
		})
	}
}

// Guards against starts that are held after two lost reads, and against a start under way that ends after the bound.
func TestEvacuationReads(t *testing.T) {
	for _, bound := range []anvilclock.Millis{2500, 3000, evacuationBound, 20_000} {
		e := &evacuations{bound: bound}
		age, _ := e.policyReadLimits(1, 0)
		for range 2 {
			_, timeout := e.policyReadLimits(1, age)
			age += timeout + readRetryDelay
		}
		if age > e.maxAge() || e.maxAge() > bound-orderTimeout {
			t.Errorf("bound %d: the knowledge is %d ms old, at most %d are allowed", bound, age, e.maxAge())
		}
	}
}

func TestEvacuationKnowledge(t *testing.T) {
	t.Run("the next leader keeps it", func(t *testing.T) {
		// Guards against an evacuation that only the former leader knew: all processes are replaced.
		fc, h := startedInDomains(t)
		fc.evacuate("d1")
		fc.advance(reactionTime, h)
		next := fc.newHarness("e2", WithEvacuationBound(evacuationBound))
		fc.submit("j1", plainQueue, teamName, longStep(6))
		fc.advance(2*evacuationBound, next)
		assertEqual(t, "the next one leads", next.loop.leading(), true)
		assertStartCounts(t, fc, 0, 4)
	})
	t.Run("an outage of the store", func(t *testing.T) {
		// Guards against a start that was decided before the outage and is sent after it.
		fc, h := startedInDomains(t)
		fc.submit("j1", plainQueue, teamName, longStep(6))
		fc.store.down, h.paused = true, true
		fc.evacuate("d1")
		fc.advance(2*evacuationBound, h)
		fc.store.down, h.paused = false, false
		fc.advance(2*evacuationBound, h)
		assertStartCounts(t, fc, 0, 4)
	})
	t.Run("starts are held when it is too old", func(t *testing.T) {
		// Guards against a leader whose commits are applied while its reads of the operators' requests fail.
		fc, h := startedInDomains(t)
		fc.policyLost = true
		fc.evacuate("d1")
		fc.advance(evacuationBound, h)
		fc.submit("j1", plainQueue, teamName, longStep(6))
		fc.advance(2*evacuationBound, h)
		assertStartCounts(t, fc, 0, 0)
		assertEqual(t, "starts are held", h.loop.evacuations.heldSince != 0, true)
		fc.policyLost = false
		fc.advance(reactionTime, h)
		assertStartCounts(t, fc, 0, 4)
		assertEqual(t, "starts are held", h.loop.evacuations.heldSince != 0, false)
	})
	t.Run("a choice that is stored when it gets too old is given up", func(t *testing.T) {
		// Guards against a leader that stores the choice again in every commit until it knows of evacuations again.
		fc, h := startedInDomains(t)
		h.loop.spawn = func(f func()) {
			f()
			if b := h.loop.commits.inflight; b != nil && len(b.bindings) > 0 {
				fc.policyLost, h.loop.evacuations.domains = true, anvilevacuation.Domains{}
			}
		}
		fc.submit("j1", plainQueue, teamName, longStep(1))
		fc.advance(reactionTime, h)
		assertEqual(t, "reads of the requests fail", fc.policyLost, true)
		before := h.loop.commits.renewals
		fc.advance(10*renewInterval, h)
		if n := h.loop.commits.renewals - before; n > 11 {
			t.Errorf("%d commits in the time of 10 renewals", n)
		}
		assertStartCounts(t, fc, 0, 0)
		fc.policyLost = false
		fc.advance(reactionTime, h)
		assertRunning(t, fc, "j1.0.0.0")
	})
	t.Run("an instance that was cut off catches up before it starts anything", func(t *testing.T) {
		// Guards against an instance that becomes leader with what it knew before it was cut off.
		fc, h := startedInDomains(t)
		other := fc.newHarness("e2", WithEvacuationBound(evacuationBound))
		fc.advance(reactionTime, h, other)
		other.paused = true
		fc.evacuate("d1")
		fc.advance(evacuationBound, h)
		fc.submit("j1", plainQueue, teamName, longStep(6))
		h.paused, other.paused, fc.policyLost = true, false, true
		fc.advance(evacuationBound, other)
		assertEqual(t, "the other one leads", other.loop.leading(), true)
		assertStartCounts(t, fc, 0, 0)
		fc.policyLost = false
		fc.advance(evacuationBound, other)
		assertStartCounts(t, fc, 0, 4)
	})
}
