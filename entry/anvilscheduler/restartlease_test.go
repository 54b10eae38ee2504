package anvilscheduler

import (
	"testing"

	"anvilhold.org/lib/anviljob"
)

// startedAfterRestart returns a cluster in which the new process of w1 runs j1 while the leader doesn't know the restart:
// holds are lost.
func startedAfterRestart(t *testing.T, loseAnswers bool, opts ...anviljob.StepOption) (*fakeCluster, *harness) {
	t.Helper()
	fc, h := started(t, "w1", "w2")
	fc.workers["w2"].unreachable = true
	fc.advanceIdle(60_000, h)
	fw := fc.workers["w1"]
	fw.restart()
	fw.loseHolds, fw.loseAnswers = true, loseAnswers
	opts = append(opts, anviljob.WithEstimate(60_000))
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), opts...))
	fc.advance(50, h)
	assertRunning(t, fc, "j1.0.0.0")
	fc.workers["w2"].unreachable = false
	return fc, h
}

// assertMovedAfterLease cuts w1 off and checks that j1 runs on w2 in the end. The cluster fails the test when j1 starts on
// w2 while it runs on w1.
func assertMovedAfterLease(t *testing.T, fc *fakeCluster, h *harness) {
	t.Helper()
	fc.workers["w1"].unreachable = true
	fc.advanceWorking(2*maxWorkerLease, h)
	assertRunning(t, fc, "j1.0.0.0")
	assertEqual(t, "worker of the task", fc.workerOf("j1.0.0.0").id, "w2")
}

// Guards against a second run while the first one runs: a start for the earlier process of a worker carries a lease by
// that process's clock. The next process, whose clock starts anew, grants the longest lease instead, which is longer than
// the leader waits.
func TestLeaseAtRestartedWorker(t *testing.T) {
	t.Run("after a start without an answer", func(t *testing.T) {
		fc, h := startedAfterRestart(t, true)
		assertMovedAfterLease(t, fc, h)
	})
	t.Run("after a start with an answer", func(t *testing.T) {
		fc, h := startedAfterRestart(t, false)
		assertMovedAfterLease(t, fc, h)
	})
	t.Run("that a successor has adopted", func(t *testing.T) {
		fc, h := startedAfterRestart(t, false)
		h.paused = true
		fc.workers["w1"].loseHolds = false
		fc.showRestart()
		next := fc.newHarness("e2")
		fc.advance(takeoverTime, next)
		assertEqual(t, "the new instance is leader", next.loop.leading(), true)
		assertRunning(t, fc, "j1.0.0.0")
		assertMovedAfterLease(t, fc, next)
	})
}

// Guards against a second run of a long-running task while the first one is at work: its start got no answer from a worker that
// had restarted under its id, and the leader waits for the granted lease only.
func TestLongRunningStartWithoutAnswerAtRestartedWorker(t *testing.T) {
	fc, h := startedAfterRestart(t, true, anviljob.WithLongRunning(true))
	assertMovedAfterLease(t, fc, h)
}

// Guards against a second run while the first one runs: a start without an answer arrives at the next process of a worker seconds after
// the leader has noticed the restart, and grants the longest lease from then on. The worker answers nothing.
func TestLateStartAtSilentRestartedWorker(t *testing.T) {
	fc, h := started(t, "w1")
	fw := fc.workers["w1"]
	fw.unreachable = true
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(60_000)))
	fc.advance(2*orderTimeout, h)
	fc.restartWorker("w1")
	fc.addWorker("w2", core(4))
	fc.advance(5000, h)
	task := h.loop.findTask(anviljob.NewTaskID("j1", 0, 0, 0))
	fw.unreachable = false
	late := StartOrder{task: task.id, run: task.run, token: h.loop.leadership.token, until: 1_000_000}
	if _, err := fc.Start(t.Context(), NewTarget("w1", "w1:1"), late); err != nil {
		t.Fatal(err)
	}
	fw.unreachable = true
	fc.advanceWorking(3*maxWorkerLease, h)
	assertRunning(t, fc, "j1.0.0.0")
	assertEqual(t, "worker of the task", fc.workerOf("j1.0.0.0").id, "w2")
}
