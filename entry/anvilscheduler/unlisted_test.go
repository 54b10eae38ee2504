package anvilscheduler

import (
	"fmt"
	"testing"

	"anvilhold.org/lib/anviljob"
)

// Guards against a long-running task that stays away for the leases of two workers: after the loss of its worker, it was started at
// an idle one that had died with it and was no longer registered, and the start got no answer.
func TestLongRunningTaskStartsAtRegisteredWorker(t *testing.T) {
	fc, h := started(t)
	const dead = 4
	for i := range dead {
		fc.addWorker(fmt.Sprintf("w%d", i), core(4))
	}
	fc.advance(reactionTime, h)
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithLongRunning(true)))
	fc.advance(reactionTime, h)
	assertRunning(t, fc, "j1.0.0.0")
	fc.addWorker("w9", core(4))
	fc.advance(reactionTime, h)
	for _, fw := range fc.workers {
		if fw.id != "w9" {
			fw.unreachable, fw.runs = true, map[anviljob.TaskID]*fakeRun{}
		}
	}
	fc.advance(3*testHeartbeat, h)
	fc.registry = fc.registry[dead:]
	fc.advance(lostAfterRun+maxLost-3*testHeartbeat, h)
	assertRunning(t, fc, "j1.0.0.0")
}

// Guards against the same with workers that are still registered when the task is started again.
func TestLongRunningTaskStartsAtWorkerThatAnswers(t *testing.T) {
	fc, h := started(t)
	for i := range 4 {
		fc.addWorker(fmt.Sprintf("w%d", i), core(4))
	}
	fc.advance(reactionTime, h)
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithLongRunning(true)))
	fc.advance(reactionTime, h)
	fc.addWorker("w9", core(4))
	fc.advance(reactionTime, h)
	lost := fc.workerOf("j1.0.0.0")
	lost.unreachable, lost.runs = true, map[anviljob.TaskID]*fakeRun{}
	fc.advance(2000, h)
	for _, fw := range fc.workers {
		fw.unreachable = fw.id != "w9"
	}
	fc.advance(lostAfterRun+maxLost-2000, h)
	assertRunning(t, fc, "j1.0.0.0")
}
