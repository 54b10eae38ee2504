package anvilscheduler

import (
	"context"
	"fmt"
	"testing"

	"anvilhold.org/lib/anviljob"
)

// restartWorker restarts a worker under its id and registers the new incarnation.
func (fc *fakeCluster) restartWorker(id string) {
	fw := fc.workers[id]
	fw.restart()
	fc.setEntry(id, func(r Registration) Registration { return r.WithIncarnation(fw.incarnation) })
}

// Guards against a second run of a task while its first one is at work: an attempt of a start that got no answer arrives at
// the worker's next process, after the leader has started the task elsewhere.
func TestLateStartAfterRestart(t *testing.T) {
	for name, state := range map[string]string{"of a running task": taskRunning, "of a task that is being stopped": taskStopping} {
		t.Run(name, func(t *testing.T) {
			fc, h := started(t)
			w1 := fc.addWorker("w1", core(4), "large")
			fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(60_000), anviljob.WithLabel("large")))
			w1.loseAnswers = true
			fc.advance(100, h)
			w1.loseAnswers = false
			fc.advance(reactionTime, h)
			fc.addWorker("w2", core(4), "large")
			task := h.loop.findTask(anviljob.NewTaskID("j1", 0, 0, 0))
			assertEqual(t, "state of the task", task.machine.State(), taskRunning)
			late := StartOrder{task: task.id, run: task.run, token: h.loop.leadership.token, until: 1_000_000}
			if state == taskStopping {
				w1.ignoreStops = true
				h.loop.fireTask(task, "halt")
				w1.ignoreStops = false
			}
			fc.restartWorker("w1")
			// The new process is of another kind, so the task starts elsewhere.
			fc.setEntry("w1", func(r Registration) Registration { r.labels = nil; return r })
			for range 20 {
				fc.advance(25, h)
				// The cluster fails the test when the task starts while a run of it is alive.
				_, _ = fc.Start(context.Background(), Target{id: "w1"}, late)
			}
			fc.advance(reactionTime, h)
			assertEqual(t, "runs of the task", len(fc.running()), 1)
		})
	}
}

// Guards against orders to a process that has ended whose answer ends the worker's new process: its tasks would never be
// held or given up again.
func TestAnswerForFormerIncarnation(t *testing.T) {
	fc, h := started(t, "w1")
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(60_000)))
	fc.advance(reactionTime, h)
	former := h.loop.fleet.byID["w1"]
	fc.restartWorker("w1")
	fc.advance(reactionTime, h)
	assertRunning(t, fc, "j1.0.0.0")
	current := h.loop.fleet.byID["w1"]
	for _, fault := range []Fault{FaultReplaced, FaultNoReply, FaultRefused, FaultUnavailable} {
		t.Run(string(fault), func(t *testing.T) {
			for range unresponsiveAfter {
				h.loop.post(stopAnswered{token: h.loop.leadership.token, worker: former, err: NewOrderError(fault, 0, nil)})
			}
			h.runUntilIdle()
			assertEqual(t, "the new incarnation is in the fleet", h.loop.fleet.byID["w1"] == current, true)
			assertEqual(t, "state of the new incarnation", current.machine.State(), workerReady)
			assertEqual(t, "tasks of the new incarnation", len(current.tasks), 1)
		})
	}
}

// Guards against a report with as many ends as a worker lists at most, from which the end of a missing run may have been
// left out: the run counted as lost and was started again although it had succeeded.
func TestReportWithoutAllEnds(t *testing.T) {
	fc, h := started(t, "w1", "w2")
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
	fc.advance(reactionTime, h)
	fw := fc.workerOf("j1.0.0.0")
	fc.endRun("j1.0.0.0", CauseDone, "")
	fw.hiddenEnds = 1
	fc.advance(reactionTime, h)
	assertRunning(t, fc)
	fw.hiddenEnds = 0
	fc.advance(reactionTime, h)
	assertState(t, fc, anviljob.Completed)
	assertStarts(t, fc, 1)
}

// Guards against a lease that outlasts the leader's wait: after a restart under its id, a worker's clock counts anew, so a
// start that names the end of its lease by the former clock is only bounded by the longest lease. The registry doesn't show
// the new process before the worker is cut off.
func TestLeaseAfterRestart(t *testing.T) {
	type cut struct{ afterStart, answerLost bool }
	for name, c := range map[string]cut{
		"with the start's answer": {afterStart: true}, "without an answer": {afterStart: true, answerLost: true}, "after a report": {},
	} {
		for _, lag := range clockLags {
			t.Run(fmt.Sprintf("%s, clock %d percent slow", name, lag), func(t *testing.T) {
				fc := newFakeCluster(t, testPolicy())
				w1 := fc.addWorker("w1", core(4))
				w1.clockLag = lag
				h := fc.newHarness("e1")
				fc.advance(firstClaimTime, h)
				fc.advanceIdle(20_000, h)
				w1.restart()
				w1.cutAfterStart, w1.loseAnswers = c.afterStart, c.answerLost
				fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(60_000)))
				fc.advance(50, h)
				if !c.afterStart {
					// The leader learns of the restart and adopts the new process before the cut.
					fc.showRestart()
					fc.advance(reactionTime, h)
				}
				assertRunning(t, fc, "j1.0.0.0")
				w1.unreachable = true
				fc.addWorker("w2", core(4))
				fc.advanceWorking(2*maxWorkerLease, h)
				assertRunning(t, fc, "j1.0.0.0")
				assertEqual(t, "starts at the other worker", fc.workers["w2"].starts, 1)
			})
		}
	}
}

// Guards against a leader that steps down because of its own token: a worker's process has accepted a raised one, and gets orders
// with a lower one after the leader has taken it for new.
func TestRaisedTokenAfterSecondRestart(t *testing.T) {
	fc, h := started(t, "w1")
	fw := fc.workers["w1"]
	fc.restartWorker("w1")
	fc.advance(reactionTime, h)
	assertEqual(t, "the worker has a raised token", fw.token > h.loop.leadership.token, true)
	fw.restart()
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(60_000)))
	fc.advance(50, h)
	assertRunning(t, fc, "j1.0.0.0")
	fc.showRestart()
	fc.advance(reactionTime, h)
	assertEqual(t, "still leading under the first token", h.loop.leading() && h.loop.leadership.token == 1, true)
	assertRunning(t, fc, "j1.0.0.0")
}
