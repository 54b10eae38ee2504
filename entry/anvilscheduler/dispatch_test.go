package anvilscheduler

import (
	"slices"
	"testing"

	"anvilhold.org/lib/anviljob"
)

// startedWithLostStarts returns a cluster in which w1, which is the only worker with the label "large", gets no order: the
// starts of the n tasks of j1, which need two cores and the label, are lost on their way.
func startedWithLostStarts(t *testing.T, n int) (*fakeCluster, *harness) {
	t.Helper()
	fc := newFakeCluster(t, testPolicy())
	w1 := fc.addWorker("w1", core(8), "large")
	h := fc.newHarness("e1")
	fc.advance(firstClaimTime, h)
	w1.unreachable = true
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(n, core(2), anviljob.WithLabel("large"), anviljob.WithEstimate(60_000)))
	fc.advance(reactionTime, h)
	assertEqual(t, "tasks bound to w1", len(h.loop.fleet.byID["w1"].tasks), n)
	fc.addWorker("w2", core(8), "large")
	return fc, h
}

// Guards against a start that is sent again although what its worker was chosen by no longer holds.
func TestRepeatedStartIsCheckedAgain(t *testing.T) {
	for name, change := range map[string]func(fc *fakeCluster){
		"the next process is of another kind": func(fc *fakeCluster) {
			fc.restartWorker("w1")
			fc.setEntry("w1", func(r Registration) Registration { r.labels = nil; return r })
		},
		"the next process is of a kind that isn't known yet": func(fc *fakeCluster) {
			fc.workers["w1"].restart()
			fc.registry = slices.DeleteFunc(fc.registry, func(r Registration) bool { return r.id == "w1" })
		},
		"the next process is in another pool": func(fc *fakeCluster) {
			fc.restartWorker("w1")
			fc.setEntry("w1", func(r Registration) Registration { r.pool = "cutting"; return r })
		},
		"the next process has less capacity": func(fc *fakeCluster) {
			fc.restartWorker("w1")
			fc.setEntry("w1", func(r Registration) Registration { r.capacity = core(1); return r })
		},
		"the worker drains": func(fc *fakeCluster) {
			fc.setEntry("w1", func(r Registration) Registration { return r.Draining(60_000) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			fc, h := startedWithLostStarts(t, 1)
			change(fc)
			fc.advance(reactionTime, h)
			fc.workers["w1"].unreachable = false
			fc.advance(4*reactionTime, h)
			assertEqual(t, "starts at w1", fc.workers["w1"].starts, 0)
			assertEqual(t, "starts at w2", fc.workers["w2"].starts, 1)
		})
	}
}

// Guards against a team above its maximum: the maximum is lowered while starts of the team have no answer.
func TestRepeatedStartWithinLoweredLimit(t *testing.T) {
	fc, h := startedWithLostStarts(t, 4)
	fc.policy = policyWithMaximum(2, core(4))
	fc.advance(reactionTime, h)
	fc.workers["w1"].unreachable = false
	for range 40 {
		fc.advance(25, h)
		if n := len(fc.running()); n > 2 {
			t.Fatalf("%d tasks of 2 cores run, the team may use 4 cores", n)
		}
	}
	assertEqual(t, "tasks that run", len(fc.running()), 2)
}

// Guards against starts that are withdrawn although the team is within its lowered maximum once others have been.
func TestLoweredLimitWithdrawsFewStarts(t *testing.T) {
	fc, h := startedWithLostStarts(t, 4)
	fc.policy = policyWithMaximum(2, core(6))
	fc.advance(reactionTime, h)
	fc.workers["w1"].unreachable = false
	fc.advance(4*reactionTime, h)
	first := 0
	for i := range 4 {
		if task := h.loop.findTask(anviljob.NewTaskID("j1", 0, 0, i)); task.machine.State() == taskRunning && task.run == 1 {
			first++
		}
	}
	assertEqual(t, "tasks whose first run goes on", first, 3)
	assertEqual(t, "tasks that run", len(fc.running()), 3)
}
