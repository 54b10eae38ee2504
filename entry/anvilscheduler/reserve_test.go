package anvilscheduler

import (
	"fmt"
	"strings"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
)

// busyCluster is a cluster whose workers are full of small tasks, which end at different times. Each is replaced by
// another one, which is more urgent than the large task.
type busyCluster struct {
	cluster   *fakeCluster
	harness   *harness
	submitted int
	// estimate is that of the small tasks.
	estimate anvilclock.Millis
}

func newBusyCluster(t *testing.T, workers int) *busyCluster {
	t.Helper()
	policy := anvilpolicy.New(1, []anvilpolicy.Queue{
		anvilpolicy.NewQueue("small", "h", "/s/", poolName, anvilpolicy.WithPriority(2), anvilpolicy.WithObjective(2, 2000)),
		anvilpolicy.NewQueue("wide", "h", "/w/", poolName, anvilpolicy.WithPriority(1), anvilpolicy.WithObjective(2, 6000)),
		anvilpolicy.NewQueue("advised", "h", "/v/", poolName, anvilpolicy.WithPriority(1), anvilpolicy.WithObjective(2, 6000),
			anvilpolicy.WithAdvice(anvilpolicy.NewAdvice(10, 1, 1500))),
	})
	b := &busyCluster{cluster: newFakeCluster(t, policy), estimate: 1500}
	for i := range workers {
		b.cluster.addWorker(fmt.Sprintf("w%d", i), core(8))
	}
	b.harness = b.cluster.newHarness("e1")
	b.cluster.advance(firstClaimTime, b.harness)
	for range workers * 8 {
		b.add()
	}
	b.cluster.advance(reactionTime, b.harness)
	return b
}

func (b *busyCluster) add() {
	b.submitted++
	b.cluster.submit(fmt.Sprintf("s%04d", b.submitted), "small", "", anviljob.NewStep(1, core(1), anviljob.WithEstimate(b.estimate)))
}

// run advances the time by d. Every 100 ms, one small task ends on each worker, and another one is submitted for it.
func (b *busyCluster) run(d anvilclock.Millis) {
	for range d / 100 {
		for _, fw := range b.cluster.workers {
			for id := range fw.runs {
				if strings.HasPrefix(id.String(), "s") {
					fw.endRun(id, CauseDone, "")
					b.add()
					break
				}
			}
		}
		b.cluster.advance(100, b.harness)
	}
}

func assertStarted(t *testing.T, fc *fakeCluster, task string) {
	t.Helper()
	if fc.workerOf(task) == nil {
		t.Fatalf("task %s does not run", task)
	}
}

func TestLargeTasks(t *testing.T) {
	large := anviljob.NewStep(1, core(8), anviljob.WithEstimate(4000))
	t.Run("a task that needs a whole worker starts on a fleet full of small tasks", func(t *testing.T) {
		// Guards against tasks that need whole workers and wait as long as small tasks keep arriving.
		b := newBusyCluster(t, 4)
		b.cluster.submit("j1", "wide", "", large)
		b.run(2000)
		assertStarted(t, b.cluster, "j1.0.0.0")
	})
	t.Run("with advice, a worker is queried before it has capacity", func(t *testing.T) {
		// Guards against a large task that can't reserve capacity because it has no approved worker.
		b := newBusyCluster(t, 4)
		b.cluster.approves = func(id string) bool { return id == "w2" }
		b.cluster.submit("j1", "advised", "", large)
		b.run(2500)
		assertStarted(t, b.cluster, "j1.0.0.0")
	})
	t.Run("small tasks run on other workers meanwhile", func(t *testing.T) {
		// Guards against a fleet that is idle because of reservations for large tasks.
		b := newBusyCluster(t, 4)
		for i := range 6 {
			b.cluster.submit(fmt.Sprintf("j%d", i), "wide", "", large)
		}
		b.run(700)
		if n := len(b.cluster.running()); n < 24 {
			t.Fatalf("%d of 32 tasks run", n)
		}
	})
	t.Run("the reservation of a cancelled job is released", func(t *testing.T) {
		// Guards against capacity that stays reserved for a cancelled job.
		b := newBusyCluster(t, 2)
		b.cluster.submit("j1", "wide", "", large)
		b.run(300)
		b.cluster.cancel("j1")
		b.run(1000)
		// The small tasks are deferrable and leave an eighth of the fleet to the more urgent queue.
		assertEqual(t, "running tasks", len(b.cluster.running()), 14)
	})
}
