package anvilscheduler

import (
	"testing"

	"anvilhold.org/lib/anviljob"
)

// lastingInDomains returns a cluster of two domains with a job of n long-running tasks of a core that are at work, and its leader.
func lastingInDomains(t *testing.T, n int) (*fakeCluster, *harness) {
	t.Helper()
	fc, h := startedInDomains(t)
	fc.submit("j1", plainQueue, teamName, longStep(n, anviljob.WithLongRunning(true)))
	fc.advance(reactionTime, h)
	fc.work()
	fc.advance(reactionTime, h)
	return fc, h
}

// work makes all running tasks report that they are at work.
func (fc *fakeCluster) work() {
	for _, fw := range fc.workers {
		for _, r := range fw.runs {
			r.percent = workingPercent
		}
	}
}

// assertRuns checks how many tasks run on w1 and w2.
func assertRuns(t *testing.T, fc *fakeCluster, w1, w2 int) {
	t.Helper()
	assertEqual(t, "runs of w1 and w2", []int{len(fc.workers["w1"].runs), len(fc.workers["w2"].runs)}, []int{w1, w2})
}

// fullest returns the domain of the worker that runs most tasks, and the worker of the other one.
func (fc *fakeCluster) fullest() (domain string, full, other *fakeWorker) {
	if len(fc.workers["w1"].runs) >= len(fc.workers["w2"].runs) {
		return "d1", fc.workers["w1"], fc.workers["w2"]
	}
	return "d2", fc.workers["w2"], fc.workers["w1"]
}

func TestEvacuationMoves(t *testing.T) {
	t.Run("long-running tasks move one after the other", func(t *testing.T) {
		// Guards against a domain that never gets empty, and against a step of which several tasks are away at once.
		fc, h := lastingInDomains(t, 3)
		domain, full, other := fc.fullest()
		n := len(full.runs)
		fc.evacuate(domain)
		fc.advance(evacuationMoveDelay-reactionTime, h)
		assertEqual(t, "runs before the moves", len(full.runs), n)
		for range 400 {
			fc.advance(25, h)
			if len(fc.running()) < 2 {
				t.Fatalf("only %v run", fc.running())
			}
			fc.work()
		}
		assertEqual(t, "runs after the moves", []int{len(full.runs), len(other.runs)}, "[0 3]")
		assertEqual(t, "state of the evacuation", h.loop.evacuations.active[domain].machine.State(), "empty")
	})
	t.Run("they stay while one of their step is away", func(t *testing.T) {
		// Guards against a step that lacks more tasks than it may miss.
		fc, h := lastingInDomains(t, 3)
		domain, full, _ := fc.fullest()
		for _, r := range full.runs {
			r.percent = 50
			break
		}
		n := len(full.runs)
		fc.evacuate(domain)
		fc.advance(evacuationMoveDelay+evacuationBound, h)
		assertEqual(t, "runs", len(full.runs), n)
	})
	t.Run("they stay while the rest has no room", func(t *testing.T) {
		// Guards against tasks that are stopped and can't start anywhere.
		fc, h := lastingInDomains(t, 8)
		fc.evacuate("d1")
		fc.advance(evacuationMoveDelay+evacuationBound, h)
		assertRuns(t, fc, 4, 4)
		assertStartCounts(t, fc, 4, 4)
	})
	t.Run("they stay while their team is above its maximum", func(t *testing.T) {
		// Guards against a task that is stopped and may not start again.
		fc, h := lastingInDomains(t, 3)
		domain, full, _ := fc.fullest()
		n := len(full.runs)
		fc.policy = policyWithMaximum(2, core(2))
		fc.evacuate(domain)
		fc.advance(evacuationMoveDelay+evacuationBound, h)
		assertEqual(t, "runs", len(full.runs), n)
	})
	t.Run("other tasks end where they are", func(t *testing.T) {
		// Guards against work that is stopped although it would end by itself.
		fc, h := startedInDomains(t)
		fc.submit("j1", plainQueue, teamName, longStep(3), longStep(2, anviljob.WithGang(true, false)))
		fc.advance(reactionTime, h)
		domain, full, _ := fc.fullest()
		n := len(full.runs)
		fc.work()
		fc.evacuate(domain)
		fc.advance(evacuationMoveDelay+evacuationBound, h)
		assertEqual(t, "runs", len(full.runs), n)
	})
}
