package anvilscheduler

import (
	"fmt"
	"strings"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
)

// busyCluster is a fleet whose workers are kept full by small tasks that end at different times; each that ends is
// followed by another one that is due sooner than the wide task.
type busyCluster struct {
	cluster   *fakeCluster
	harness   *harness
	submitted int
}

func newBusyCluster(t *testing.T, workers int) *busyCluster {
	t.Helper()
	policy := anvilpolicy.New(1, []anvilpolicy.Queue{
		anvilpolicy.NewQueue("small", "h", "/s/", poolName, anvilpolicy.WithPriority(2), anvilpolicy.WithObjective(2, 2000)),
		anvilpolicy.NewQueue("wide", "h", "/w/", poolName, anvilpolicy.WithPriority(1), anvilpolicy.WithObjective(2, 6000)),
		anvilpolicy.NewQueue("advised", "h", "/v/", poolName, anvilpolicy.WithPriority(1), anvilpolicy.WithObjective(2, 6000),
			anvilpolicy.WithAdvice(anvilpolicy.NewAdvice(10, 1, 1500))),
	})
	b := &busyCluster{cluster: newFakeCluster(t, policy)}
	for i := range workers {
		b.cluster.addWorker(fmt.Sprintf("w%d", i), core(8))
	}
	b.harness = b.cluster.newHarness("e1")
	b.cluster.advance(firstTime, b.harness)
	for range workers * 8 {
		b.add()
	}
	b.cluster.advance(settleTime, b.harness)
	return b
}

func (b *busyCluster) add() {
	b.submitted++
	b.cluster.submit(fmt.Sprintf("s%04d", b.submitted), "small", "", anviljob.NewStep(1, core(1), anviljob.WithEstimate(1500)))
}

// run lets time pass in which one small task ends and one arrives on each worker, in turn.
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
	wide := anviljob.NewStep(1, core(8), anviljob.WithEstimate(4000))
	t.Run("a task of a whole worker starts on a fleet that small tasks fill", func(t *testing.T) {
		// Guards against whole-worker tasks that wait for as long as small ones keep coming.
		b := newBusyCluster(t, 4)
		b.cluster.submit("j1", "wide", "", wide)
		b.run(2000)
		assertStarted(t, b.cluster, "j1.0.0.0")
	})
	t.Run("with advice, a worker is judged before it has room", func(t *testing.T) {
		// Guards against a wide task that can't keep room free because it has asked about no worker.
		b := newBusyCluster(t, 4)
		b.cluster.approves = func(id string) bool { return id == "w2" }
		b.cluster.submit("j1", "advised", "", wide)
		b.run(2500)
		assertStarted(t, b.cluster, "j1.0.0.0")
	})
	t.Run("small tasks go on elsewhere", func(t *testing.T) {
		// Guards against a fleet that stands still for wide tasks.
		b := newBusyCluster(t, 4)
		for i := range 6 {
			b.cluster.submit(fmt.Sprintf("j%d", i), "wide", "", wide)
		}
		b.run(700)
		if n := len(b.cluster.running()); n < 24 {
			t.Fatalf("%d of 32 tasks run", n)
		}
	})
	t.Run("room that is kept goes back when the job is cancelled", func(t *testing.T) {
		// Guards against room that is kept for work that is gone.
		b := newBusyCluster(t, 2)
		b.cluster.submit("j1", "wide", "", wide)
		b.run(300)
		b.cluster.cancel("j1")
		b.run(1000)
		// The small tasks can wait and leave an eighth of the fleet to the more urgent queue.
		assertEqual(t, "tasks", len(b.cluster.running()), 14)
	})
}
