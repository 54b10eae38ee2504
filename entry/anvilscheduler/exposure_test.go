package anvilscheduler

import (
	"fmt"
	"testing"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// completedWithOpenStart returns a cluster in which a run of j1 has ended done at w1, which is idle then, and an attempt of its
// start that got no answer and is still on its way.
func completedWithOpenStart(t *testing.T) (*fakeCluster, *harness, StartOrder) {
	t.Helper()
	fc, h, late := startedWithoutAnswer(t)
	fc.endRun("j1.0.0.0", CauseDone, "")
	fc.advance(reactionTime, h)
	assertState(t, fc, anviljob.Completed)
	return fc, h, late
}

// Guards against a start after the successful end of a run was acknowledged: an attempt without an answer is carried out by the next
// process of an idle worker, which the registry doesn't show. The cluster fails the test when the task starts.
func TestOpenStartAfterSuccess(t *testing.T) {
	for _, after := range []anvilclock.Millis{0, 1000, 2500, 8000} {
		t.Run(fmt.Sprintf("restart after %s", after), func(t *testing.T) {
			fc, h, late := completedWithOpenStart(t)
			fc.advance(after, h)
			assertEqual(t, "the end is acknowledged", fc.acknowledged[late.task], true)
			fc.workers["w1"].restart()
			fc.advance(300, h)
			assertBarred(t, fc, late)
		})
	}
}

// Guards against the same when the start arrives as the first order of the next process but those that wait for it to listen: no
// question at intervals is soon enough.
func TestLateStartAsNextProcessBegins(t *testing.T) {
	for _, down := range []anvilclock.Millis{50, 500, 3000, 9000} {
		t.Run(fmt.Sprintf("%s after the crash", down), func(t *testing.T) {
			fc, h, late := completedWithOpenStart(t)
			fc.advance(1000, h)
			assertEqual(t, "the end is acknowledged", fc.acknowledged[late.task], true)
			fc.workers["w1"].crash()
			fc.advance(down, h)
			fc.workers["w1"].listen()
			assertBarred(t, fc, late)
		})
	}
}

// Guards against an acknowledgement before the worker's orders carry a token that bars late starts of the run: the first order that the
// next process gets would let them pass.
func TestAckCarriesBarringToken(t *testing.T) {
	fc, h, late := startedWithoutAnswer(t)
	fw := fc.workers["w1"]
	fc.endRun("j1.0.0.0", CauseDone, "")
	for !fc.acknowledged[late.task] {
		fc.advance(25, h)
	}
	assertEqual(t, "the worker has a raised token", fw.token > late.token, true)
	assertEqual(t, "the leader goes on", h.loop.leading(), true)
}

// Guards against an exposed worker that is no longer asked because its entry was removed and it doesn't answer.
func TestExposedWorkerIsAskedWithoutEntry(t *testing.T) {
	fc, h, late := completedWithOpenStart(t)
	fc.workers["w1"].crash()
	reg := fc.registry
	fc.registry = fc.registry[1:]
	fc.advance(deregistrationGrace+2000, h)
	fc.registry = reg
	fc.workers["w1"].listen()
	assertBarred(t, fc, late)
}

// Guards against a worker that is asked without a pause because it refuses all orders at once.
func TestExposedWorkerThatRefusesOrders(t *testing.T) {
	fc, h, _ := completedWithOpenStart(t)
	fw := fc.workers["w1"]
	assertPaced := func(t *testing.T) {
		t.Helper()
		before := fw.holds
		fc.advance(2000, h)
		if n := fw.holds - before; n > 2000/int(exposedHoldInterval)+2 {
			t.Errorf("%d holds in 2 s", n)
		}
	}
	fw.unwell = true
	t.Run("before an order fails", assertPaced)
	fw.unwell, fw.refusing = false, true
	fc.advance(exposedHoldInterval, h)
	fw.unwell, fw.refusing = true, false
	t.Run("after orders have failed", assertPaced)
}

// assertBarred checks that w1 refuses a start.
func assertBarred(t *testing.T, fc *fakeCluster, late StartOrder) {
	t.Helper()
	if _, err := fc.Start(t.Context(), NewTarget("w1", "w1:1"), late); err == nil {
		t.Error("the worker carries out the start")
	}
}

// Guards against the same at a successor, which doesn't know whether the start of a run that it has adopted was answered.
func TestOpenStartOfFormerLeader(t *testing.T) {
	fc, h, late := startedWithoutAnswer(t)
	h.paused = true
	assertBarredAfterTakeover(t, fc, late, func() { fc.endRun("j1.0.0.0", CauseDone, "") })
	t.Run("that has stored the end", func(t *testing.T) {
		fc, h, late := startedWithoutAnswer(t)
		// A second task keeps the job, and the worker's holds are lost before they acknowledge the end.
		fc.endRun("j1.0.0.0", CauseDone, "")
		for fc.state("j1") != anviljob.Completed {
			fc.advance(25, h)
			fc.workers["w1"].loseHolds = fc.state("j1") == anviljob.Completed
		}
		h.paused, fc.workers["w1"].loseHolds = true, false
		assertEqual(t, "the end is acknowledged", fc.acknowledged[late.task], false)
		assertBarredAfterTakeover(t, fc, late, func() {})
	})
	t.Run("that has acknowledged the end", func(t *testing.T) {
		fc, h, late := completedWithOpenStart(t)
		assertEqual(t, "the end is acknowledged", fc.acknowledged[late.task], true)
		h.paused = true
		assertBarredAfterTakeover(t, fc, late, func() {})
	})
	t.Run("that has acknowledged the end, two leaders ago", func(t *testing.T) {
		fc, h, late := completedWithOpenStart(t)
		h.paused = true
		next := fc.newHarness("e2")
		fc.advance(takeoverTime, next)
		assertEqual(t, "the second instance is leader", next.loop.leading(), true)
		next.paused = true
		last := fc.newHarness("e3")
		fc.advance(takeoverTime, last)
		assertEqual(t, "the third instance is leader", last.loop.leading(), true)
		fc.workers["w1"].crash()
		fc.advance(500, last)
		fc.workers["w1"].listen()
		assertBarred(t, fc, late)
	})
}

// Guards against a successor that asks exposed workers for ever, and against a row that grows with each of them.
func TestFormerExposureEnds(t *testing.T) {
	fc, h, _ := completedWithOpenStart(t)
	h.paused = true
	next := fc.newHarness("e2")
	fc.advance(takeoverTime, next)
	assertExposed(t, fc, "w1")
	fc.advance(lateOrderWindow, next)
	assertExposed(t, fc)
	assertEqual(t, "exposed", next.loop.fleet.byID["w1"].exposed(fc.clock.Now()), false)
}

// assertExposed checks which workers the leadership row names as exposed.
func assertExposed(t *testing.T, fc *fakeCluster, want ...string) {
	t.Helper()
	row, err := anvilstorage.ParseLeadership(fc.store.get(anvilstorage.Leaderships, anvilstorage.LeadershipKey))
	if err != nil {
		t.Fatal(err)
	}
	assertEqual(t, "exposed workers", row.Exposed(), want)
}

// assertBarredAfterTakeover checks that a late start of a run that has ended is refused by the next process of w1 after a takeover.
func assertBarredAfterTakeover(t *testing.T, fc *fakeCluster, late StartOrder, end func()) {
	t.Helper()
	next := fc.newHarness("e2")
	fc.advance(takeoverTime, next)
	assertEqual(t, "the new instance is leader", next.loop.leading(), true)
	end()
	fc.advance(reactionTime, next)
	assertEqual(t, "the end is acknowledged", fc.acknowledged[late.task], true)
	fc.workers["w1"].restart()
	fc.advance(300, next)
	assertBarred(t, fc, late)
}

// Guards against holds of all idle workers because of attempts that are answered or over.
func TestExposedWorkerIsAsked(t *testing.T) {
	fc, h, _ := completedWithOpenStart(t)
	w := h.loop.fleet.byID["w1"]
	assertEqual(t, "exposed after the end", w.exposed(fc.clock.Now()), true)
	fc.advance(lateOrderWindow, h)
	assertEqual(t, "exposed in the end", w.exposed(fc.clock.Now()), false)
	last := w.lastHold
	fc.advance(2000, h)
	assertEqual(t, "last hold", w.lastHold, last)
}

// Guards against an end that the leader never sees: an acknowledgement without an answer, which is meant for the worker's former
// process, is carried out by the next one after that has run a task. The registry doesn't show the restart.
func TestLateAckAfterUnknownRestart(t *testing.T) {
	fc, h := startedWithAck(t)
	fw, w := fc.workers["w1"], h.loop.fleet.byID["w1"]
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
	fc.advance(reactionTime, h)
	fc.endRun("j1.0.0.0", CauseDone, "")
	for w.acked == 1 {
		fc.advance(25, h)
	}
	late := HoldOrder{token: w.fence, acked: w.acked}
	fw.loseHolds = true
	fc.advance(100, h)
	fw.loseHolds = false
	fc.advance(reactionTime, h)
	assertEqual(t, "confirmed acknowledgement", w.sentAck, 2)
	fw.restart()
	w.holdInFlight = true
	fc.submit("j2", plainQueue, teamName, anviljob.NewStep(1, core(1)))
	fc.advance(100, h)
	assertRunning(t, fc, "j2.0.0.0")
	fc.endRun("j2.0.0.0", CauseDone, "")
	if _, err := fc.Hold(t.Context(), w.target(), late); err == nil {
		t.Error("the late acknowledgement is carried out")
	}
	w.holdInFlight = false
	fc.workers["w2"].unreachable = false
	fc.advance(4*reactionTime, h)
	assertEqual(t, "state of j2", fc.state("j2"), anviljob.Completed)
}

// Guards against tasks that wait for the longest lease after the loss of a worker that has not restarted, because an acknowledgement
// to it got no answer.
func TestLeaseAfterLateAck(t *testing.T) {
	fc, h := startedWithAck(t)
	fw, w := fc.workers["w1"], h.loop.fleet.byID["w1"]
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(2, core(1), anviljob.WithEstimate(60_000)))
	fc.advance(reactionTime, h)
	fc.endRun("j1.0.0.0", CauseDone, "")
	for w.acked == 1 {
		fc.advance(25, h)
	}
	fw.loseHolds = true
	fc.advance(100, h)
	fw.loseHolds = false
	fc.advance(2*reactionTime, h)
	assertEqual(t, "the worker has a raised token", fw.token > h.loop.leadership.token, true)
	latest := fc.clock.Now() + h.loop.leaseExpiryAfter(h.loop.grantedLease())
	if w.leaseExpiry > latest {
		t.Errorf("leases may last until %d, want %d at the latest", w.leaseExpiry, latest)
	}
}
