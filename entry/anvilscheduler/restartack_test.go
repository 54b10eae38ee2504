package anvilscheduler

import (
	"slices"
	"testing"

	"anvilhold.org/lib/anviljob"
)

// startedWithAck returns a cluster whose worker w1 has had a run's end acknowledged, and whose other worker w2 does not
// answer, so that w1 gets the next start.
func startedWithAck(t *testing.T) (*fakeCluster, *harness) {
	t.Helper()
	fc, h := started(t, "w1", "w2")
	fc.workers["w2"].unreachable = true
	fc.advance(2*reactionTime, h)
	fc.submit("j0", plainQueue, teamName, anviljob.NewStep(1, core(1)))
	fc.advance(reactionTime, h)
	fc.endRun("j0.0.0.0", CauseDone, "")
	fc.advance(reactionTime, h)
	assertEqual(t, "acknowledged ends of w1", h.loop.fleet.byID["w1"].acked, 1)
	return fc, h
}

// showRestart makes the registry show the present incarnation of w1.
func (fc *fakeCluster) showRestart() {
	const id = "w1"
	i := slices.IndexFunc(fc.registry, func(reg Registration) bool { return reg.id == id })
	fc.registry[i].incarnation = fc.workers[id].incarnation
}

// Guards against a second run after a successful one: a worker that is restarted under its id numbers its ends from 1
// again, so an acknowledgement that was meant for its earlier process drops ends that the leader has not seen.
func TestAcknowledgementOfEarlierProcess(t *testing.T) {
	t.Run("sent before the leader knows of the restart", func(t *testing.T) {
		fc, h := startedWithAck(t)
		fw := fc.workers["w1"]
		fw.restart()
		fw.loseHolds = true
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(50, h)
		assertRunning(t, fc, "j1.0.0.0")
		fc.endRun("j1.0.0.0", CauseDone, "")
		fw.loseHolds = false
		fc.workers["w2"].unreachable = false
		fc.advance(4*reactionTime, h)
		assertState(t, fc, anviljob.Completed)
	})
	t.Run("carried out late", func(t *testing.T) {
		fc, h, late := restartedBeforeAck(t)
		fc.submit("j2", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(reactionTime, h)
		fc.endRun("j2.0.0.0", CauseDone, "")
		assertFenced(t, fc, late)
		fc.workers["w2"].unreachable = false
		fc.advance(4*reactionTime, h)
		assertEqual(t, "state of j2", fc.state("j2"), anviljob.Completed)
	})
	t.Run("to a process that has not confirmed the raised token", func(t *testing.T) {
		// The answer to an order with an earlier token shows nothing.
		fc, h, _ := restartedBeforeAck(t)
		w := h.loop.fleet.byID["w1"]
		w.minFence, w.formerAckUntil = w.fence+1, fc.clock.Now()+lateOrderWindow
		w.acceptFence(w.fence)
		assertEqual(t, "w1 gets starts", w.schedulable(fc.clock.Now()), false)
		w.acceptFence(w.fence + 1)
		assertEqual(t, "w1 gets starts with the raised token", w.schedulable(fc.clock.Now()), true)
	})
}

// Guards against a long-running task that stays away after its worker has restarted, because an acknowledgement to the earlier
// process got no answer (review case 8): the confirmed token shows that it can't be carried out anymore.
func TestStartAfterLateAcknowledgement(t *testing.T) {
	t.Run("at a restarted worker", func(t *testing.T) {
		fc, h, _ := restartedBeforeAck(t)
		fc.submit("j2", plainQueue, "", anviljob.NewStep(1, core(1), anviljob.WithLongRunning(true)))
		fc.advance(reactionTime, h)
		assertStarted(t, fc, "j2.0.0.0")
	})
	t.Run("at a worker that was dropped before it restarted", func(t *testing.T) {
		fc, h, _ := restartedBeforeAck(t)
		w := h.loop.fleet.byID["w1"]
		w.lateAckUntil = fc.clock.Now() + lateOrderWindow
		h.loop.retire(w, "another worker answers")
		fc.workers["w1"].restart()
		fc.showRestart()
		fc.advance(2*reactionTime, h)
		fc.submit("j2", plainQueue, "", anviljob.NewStep(1, core(1), anviljob.WithLongRunning(true)))
		fc.advance(reactionTime, h)
		assertStarted(t, fc, "j2.0.0.0")
		assertFenced(t, fc, HoldOrder{token: w.fence, acked: 1})
	})
}

// restartedBeforeAck returns a cluster whose worker w1 has restarted, and the acknowledgement to its earlier process that got no
// answer.
func restartedBeforeAck(t *testing.T) (*fakeCluster, *harness, HoldOrder) {
	t.Helper()
	fc, h := startedWithAck(t)
	fw, w := fc.workers["w1"], h.loop.fleet.byID["w1"]
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
	fc.advance(reactionTime, h)
	fc.endRun("j1.0.0.0", CauseDone, "")
	for w.acked == 1 {
		fc.advance(25, h)
	}
	assertEqual(t, "confirmed acknowledgement", w.sentAck, 1)
	late := HoldOrder{token: h.loop.leadership.token, acked: w.acked}
	fw.loseHolds = true
	fc.advance(100, h)
	fw.restart()
	fw.loseHolds = false
	fc.showRestart()
	fc.advance(2*reactionTime, h)
	return fc, h, late
}

// assertFenced fails the test unless w1 refuses an order because of its token.
func assertFenced(t *testing.T, fc *fakeCluster, o HoldOrder) {
	t.Helper()
	_, err := fc.Hold(t.Context(), NewTarget("w1", "w1:1"), o)
	if err == nil || asOrderError(err).fault != FaultFenced {
		t.Fatalf("the late acknowledgement is answered with %v", err)
	}
}
