package anvilscheduler

import (
	"fmt"
	"testing"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
)

const slowQueue = "slow"

// startedWithSlowAdvisor returns a leader among instances, and a queue whose advisor needs 400 ms and 6 ms for each worker
// and approves every third worker.
func startedWithSlowAdvisor(t testing.TB, workers, instances int) (*fakeCluster, *harness) {
	t.Helper()
	fc := newFakeCluster(t, anvilpolicy.New(1, []anvilpolicy.Queue{
		anvilpolicy.NewQueue(slowQueue, "h", "/s/", poolName, anvilpolicy.WithAttempts(3), anvilpolicy.WithObjective(2, 1000),
			anvilpolicy.WithAdvice(anvilpolicy.NewAdvice(400, 6, 2000))),
	}))
	approved := map[string]bool{}
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		fc.addWorker(id, core(4))
		approved[id] = i%3 == 0
	}
	fc.approves = func(id string) bool { return approved[id] }
	h := fc.newHarness("e1")
	fc.advance(firstClaimTime, h)
	for i := range instances - 1 {
		name := fmt.Sprintf("p%02d", i)
		h.loop.proxies.add(anvilstorage.NewInstance(name, name+":1", "d1", 0), 1)
	}
	return fc, h
}

func (fc *fakeCluster) submitGang(tasks int) {
	fc.submit("j1", slowQueue, "", anviljob.NewStep(tasks, core(4), anviljob.WithGang(true, false), anviljob.WithEstimate(60_000)))
}

// Guards against a gang that needs more tickets than one query brings, while its first ones expire.
func TestGangQueries(t *testing.T) {
	t.Run("go through several instances at once", func(t *testing.T) {
		fc, h := startedWithSlowAdvisor(t, 300, 30)
		fc.submitGang(50)
		fc.advance(reactionTime, h)
		named := 0
		for _, q := range fc.queries {
			named += len(q)
			if len(q) > maxQueryWorkers {
				t.Errorf("a query names %d workers", len(q))
			}
		}
		if len(fc.queries) < 3 || named < 200 {
			t.Errorf("%d queries name %d workers", len(fc.queries), named)
		}
		assertEqual(t, "running tasks", len(fc.running()), 50)
	})
	t.Run("leave busy instances to others", func(t *testing.T) {
		fc, h := startedWithSlowAdvisor(t, 300, 3)
		fc.submitGang(20)
		fc.advance(reactionTime, h)
		assertEqual(t, "queries of the first pass", min(len(fc.queries), 1), 1)
		if n := len(fc.queries[0]); n < 50 {
			t.Errorf("the first query names %d workers", n)
		}
	})
	t.Run("name the workers with capacity for the most tasks first", func(t *testing.T) {
		fc, h := startedWithSlowAdvisor(t, 60, 1)
		fc.approves = func(string) bool { return true }
		fc.submit("j0", slowQueue, "", anviljob.NewStep(40, core(2), anviljob.WithMaxPerWorker(1), anviljob.WithEstimate(60_000)))
		fc.advance(reactionTime, h)
		fc.queries = nil
		fc.submit("j1", slowQueue, "", anviljob.NewStep(6, core(2), anviljob.WithGang(true, false), anviljob.WithEstimate(60_000)))
		fc.advance(reactionTime, h)
		for _, id := range fc.queries[0][:3] {
			assertEqual(t, "tasks at the first workers of the query", len(h.loop.fleet.byID[id].tasks) <= 2, true)
			if h.loop.fleet.byID[id].registration.capacity.CPU() != 4000 {
				t.Errorf("worker %s", id)
			}
		}
		assertRunsOnce(t, fc, "j1", 6)
	})
}

// assertRunsOnce checks that n tasks of a job run, all with their first run.
func assertRunsOnce(t *testing.T, fc *fakeCluster, job string, n int) {
	t.Helper()
	for _, fw := range fc.workers {
		for id, r := range fw.runs {
			if id.Job() != job {
				continue
			}
			n--
			assertEqual(t, "run of "+id.String(), r.run, 1)
		}
	}
	assertEqual(t, "tasks of "+job+" that don't run", n, 0)
}

// Guards against a gang that is stopped and started again, whole, because one worker was unavailable for a moment.
func TestGangStartUnavailable(t *testing.T) {
	start := func(t *testing.T) (*fakeCluster, *harness) {
		fc, h := started(t, "w1", "w2", "w3")
		fc.workers["w2"].startFault = FaultUnavailable
		fc.submit("j1", plainQueue, "", anviljob.NewStep(3, core(4), anviljob.WithGang(true, false)))
		fc.advance(reactionTime, h)
		return fc, h
	}
	t.Run("for a moment", func(t *testing.T) {
		fc, h := start(t)
		fc.workers["w2"].startFault = ""
		fc.advance(2*reactionTime, h)
		assertRunsOnce(t, fc, "j1", 3)
	})
	t.Run("for long", func(t *testing.T) {
		fc, h := start(t)
		fc.addWorker("w4", core(4))
		fc.advance(gangStartWindow+4000, h)
		assertEqual(t, "running tasks", len(fc.running()), 3)
		assertEqual(t, "starts at the unavailable worker", fc.workers["w2"].starts, 0)
	})
}

// Guards against a worker that fails a part of what it starts and gets as much work as the others, and against one that is
// avoided because of tasks that fail by their own fault.
func TestHealth(t *testing.T) {
	const estimate = anvilclock.Millis(5000)
	type end struct {
		cause Cause
		ran   anvilclock.Millis
	}
	done, late, quick := end{CauseDone, estimate}, end{CauseFailed, estimate / 2}, end{CauseFailed, 100}
	for name, c := range map[string]struct {
		ends []end
		want bool
	}{
		"one failure":                       {[]end{late}, false},
		"one quick failure":                 {[]end{quick}, false},
		"two quick failures":                {[]end{quick, quick}, true},
		"a quick failure and another":       {[]end{quick, late}, true},
		"every other run fails at once":     {[]end{quick, done, quick, done, quick}, true},
		"three failures in a row":           {[]end{late, late, late}, true},
		"one of twenty runs fails":          {[]end{late, done, done, done, late, done, done, done, late}, false},
		"a suspect worker with one success": {[]end{quick, quick, done}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var h health
			for _, e := range c.ends {
				h.recordEnd(e.cause, e.ran, estimate, 1000)
			}
			assertEqual(t, "suspect", h.suspect(1000), c.want)
			assertEqual(t, "suspect later", h.suspect(1000+suspectDuration), false)
		})
	}
}

// Guards against a pool that stands still because all of its workers are suspect.
func TestSuspectWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		suspects int
		starts   int
	}{"a few are avoided": {2, 0}, "most are used": {6, 1}, "all are used": {9, 1}} {
		t.Run(name, func(t *testing.T) {
			fc, h := startedWithWorkers(t, 9)
			for i := range c.suspects {
				h.loop.fleet.byID[fmt.Sprintf("w%03d", i)].health.recordUnavailable(fc.clock.Now())
			}
			fc.approves = func(id string) bool { return id == "w000" }
			fc.submit("j1", advisedQueue, "", anviljob.NewStep(1, core(1)))
			fc.advance(reactionTime, h)
			assertEqual(t, "starts at a suspect worker", fc.workers["w000"].starts, c.starts)
		})
	}
}

// Guards against reads of the leadership row whose number grows with that of the instances, and against an interval at
// which a slow store's answers never count as one observation.
func TestPollInterval(t *testing.T) {
	fc := newFakeCluster(t, testPolicy())
	h := fc.newHarness("e1")
	for peers, want := range map[int]anvilclock.Millis{0: 300, 8: 300, 10: 300, 20: 600, 35: 800, 300: 800} {
		t.Run(fmt.Sprintf("%d other instances", peers), func(t *testing.T) {
			assertEqual(t, "interval", h.loop.pollIntervalFor(peers), want)
		})
	}
	t.Run("a slow store", func(t *testing.T) {
		fc, first := started(t, "w1")
		second := fc.newHarness("e2")
		second.loop.pollInterval.Store(int64(maxPollInterval))
		first.paused = true
		const answer = anvilclock.Millis(240)
		for range 10 {
			fc.advance(maxPollInterval, first)
			since := fc.clock.Now()
			fc.clock.Advance(answer)
			second.loop.post(policyRead{page: anvilstorage.NewPolicyPage(fc.policy, 1, 1), since: since})
			second.loop.post(leadershipRead{row: fc.store.get(anvilstorage.Leaderships, anvilstorage.LeadershipKey), since: since})
			second.runUntilIdle()
		}
		assertEqual(t, "the second instance is leader", second.loop.leading(), true)
	})
}
