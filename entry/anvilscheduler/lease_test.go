package anvilscheduler

import (
	"fmt"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// Clocks that run as slow as the platform allows, and exact ones.
var clockLags = []anvilclock.Millis{0, maxClockLag}

// startedWithClocks returns a cluster whose workers' clocks all run slow by lag percent.
func startedWithClocks(t *testing.T, lag anvilclock.Millis, workers ...string) (*fakeCluster, *harness) {
	t.Helper()
	fc := newFakeCluster(t, testPolicy())
	for _, id := range workers {
		fc.addWorker(id, core(4)).clockLag = lag
	}
	h := fc.newHarness("e1")
	fc.advance(firstClaimTime, h)
	return fc, h
}

// advanceIdle advances the cluster in steps long enough to make hours cheap, while nothing runs.
func (fc *fakeCluster) advanceIdle(d anvilclock.Millis, h *harness) {
	const step = anvilclock.Millis(500)
	for ; d > 0; d -= step {
		fc.clock.Advance(step - 25)
		fc.advance(25, h)
	}
}

// Guards against a second run of a task while its first one is at work: the first lease after a worker was idle must not
// outlast the time that the leader waits, however slow the worker's clock is. The cluster fails the test when a task
// starts while its earlier run is alive.
func TestLeaseOfIdleWorker(t *testing.T) {
	for _, idle := range []anvilclock.Millis{1_000, 20_000, 75_000, 300_000, 3_600_000} {
		for _, lag := range clockLags {
			t.Run(fmt.Sprintf("idle for %d s, clock %d percent slow", idle/1000, lag), func(t *testing.T) {
				fc, h := startedWithClocks(t, lag, "w1", "w2")
				fc.advanceIdle(idle, h)
				fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(60_000)))
				fc.advance(50, h)
				assertRunning(t, fc, "j1.0.0.0")
				first := fc.workerOf("j1.0.0.0")
				first.unreachable = true
				fc.advance(leaseDuration*2, h)
				if current := fc.workerOf("j1.0.0.0"); current == nil || current == first {
					t.Fatal("the task did not start on the other worker after the lease")
				}
			})
		}
	}
	t.Run("adopted by a new leader", func(t *testing.T) {
		// Guards against a new leader that takes a lease of the former one for shorter than it is.
		fc, h := startedWithClocks(t, maxClockLag, "w1", "w2")
		fc.advanceIdle(300_000, h)
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(60_000)))
		fc.advance(50, h)
		first := fc.workerOf("j1.0.0.0")
		h.paused = true
		next := fc.newHarness("e2")
		fc.advance(takeoverTime, next)
		assertEqual(t, "the new instance is leader", next.loop.leading(), true)
		first.unreachable = true
		fc.advance(leaseDuration*2, next)
		if current := fc.workerOf("j1.0.0.0"); current == nil || current == first {
			t.Fatal("the task did not start on the other worker after the lease")
		}
	})
}

// Guards against work that is lost, or a worker that is avoided, because the first lease after an idle time is over when
// the start arrives.
func TestFirstLeaseIsLongEnough(t *testing.T) {
	for _, lag := range clockLags {
		t.Run(fmt.Sprintf("clock %d percent slow", lag), func(t *testing.T) {
			fc, h := startedWithClocks(t, lag, "w1")
			fc.advanceIdle(3_600_000, h)
			fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(60_000)))
			fc.advance(50, h)
			assertRunning(t, fc, "j1.0.0.0")
			assertEqual(t, "starts", fc.workers["w1"].starts, 1)
			fc.workers["w1"].unreachable = true
			fc.advance(leaseDuration*4/5, h)
			assertRunning(t, fc, "j1.0.0.0")
		})
	}
	t.Run("a start that arrives too late is sent again", func(t *testing.T) {
		// Guards against a worker that is avoided because the estimate of its clock was too old.
		fc, h := startedWithClocks(t, 0, "w1")
		w := h.loop.fleet.byID["w1"]
		fc.advanceIdle(10_000, h)
		w.clock -= 2 * leaseDuration
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(60_000)))
		fc.advance(reactionTime, h)
		assertRunning(t, fc, "j1.0.0.0")
		assertEqual(t, "runs used", h.loop.findTask(anviljob.NewTaskID("j1", 0, 0, 0)).run, 1)
	})
}
