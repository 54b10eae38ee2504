package anvilscheduler

import (
	"slices"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// openStarts holds the attempts of starts that have no answer yet.
type openStarts struct {
	*harness
	attempts []startAnswered
}

// startedWithOpenStart returns a task whose first attempt to start has no answer. The worker carries out no start.
func startedWithOpenStart(t *testing.T) (*fakeCluster, *openStarts, *task) {
	t.Helper()
	fc, h := started(t, "w1")
	o := &openStarts{harness: h}
	fc.workers["w1"].startFault = FaultUnavailable
	h.loop.spawn = func(f func()) {
		f()
		for range len(h.loop.inbox) {
			m := <-h.loop.inbox
			if s, ok := m.(startAnswered); ok {
				o.attempts = append(o.attempts, s)
				continue
			}
			h.loop.inbox <- m
		}
	}
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(60_000)))
	fc.advance(75, h)
	task := h.loop.findTask(anviljob.NewTaskID("j1", 0, 0, 0))
	assertEqual(t, "attempts", len(o.attempts), 1)
	return fc, o, task
}

// answer delivers the answer to an attempt; with a fault, the attempt has failed.
func (o *openStarts) answer(attempt int, f Fault) {
	m := o.attempts[attempt]
	m.err, m.clock = nil, m.earliestClock
	if f != "" {
		m.err, m.clock = NewOrderError(f, 0, errDown), 0
	}
	o.loop.post(m)
	o.runUntilIdle()
}

// Guards against a task that waits for the timeout of a start that a worker leaves unanswered, and against an attempt that counts
// as settled because another one was answered.
func TestSecondAttemptOfStart(t *testing.T) {
	t.Run("is sent once", func(t *testing.T) {
		fc, o, _ := startedWithOpenStart(t)
		fc.advance(secondStartDelay-100, o.harness)
		assertEqual(t, "attempts before the delay", len(o.attempts), 1)
		fc.advance(100, o.harness)
		assertEqual(t, "attempts after the delay", len(o.attempts), 2)
		fc.advance(300, o.harness)
		assertEqual(t, "attempts in the end", len(o.attempts), 2)
	})
	t.Run("is not sent after an answer", func(t *testing.T) {
		fc, o, task := startedWithOpenStart(t)
		o.answer(0, "")
		assertEqual(t, "state", task.machine.State(), taskRunning)
		assertEqual(t, "an attempt may arrive", task.startMayArrive(fc.clock.Now()), false)
		fc.advance(2*secondStartDelay, o.harness)
		// The report without the run has ended it meanwhile.
		again := slices.IndexFunc(o.attempts[1:], func(m startAnswered) bool { return m.run == 1 })
		assertEqual(t, "another attempt of the run", again, -1)
	})
	t.Run("is not sent after the first one has failed at once", func(t *testing.T) {
		fc, o, task := startedWithOpenStart(t)
		o.answer(0, FaultNoReply)
		failed := fc.clock.Now()
		assertEqual(t, "second attempt is due", task.attempts.secondDue(failed+2*secondStartDelay), false)
		fc.advance(orderRetryDelay, o.harness)
		assertEqual(t, "attempts", len(o.attempts), 2)
		assertEqual(t, "the other one is of a new start", o.attempts[1].round > o.attempts[0].round, true)
	})
	t.Run("is not sent to a worker that drains", func(t *testing.T) {
		fc, o, _ := startedWithOpenStart(t)
		fc.setEntry("w1", func(r Registration) Registration { return r.Draining(60_000) })
		fc.advance(2*secondStartDelay, o.harness)
		assertEqual(t, "attempts", len(o.attempts), 1)
	})
	for name, c := range map[string]struct {
		first, second Fault
		firstAnswers  bool
		state         string
		failures      int
		mayArrive     bool
	}{
		"only the second is answered":   {state: taskRunning, mayArrive: true},
		"the first is answered, too":    {firstAnswers: true, state: taskRunning},
		"the first is lost later":       {first: FaultNoReply, firstAnswers: true, state: taskRunning, mayArrive: true},
		"the second is refused":         {second: FaultNoCapacity, state: taskStopping, mayArrive: true},
		"the second is lost":            {second: FaultNoReply, state: taskStarting, mayArrive: true},
		"both are lost":                 {first: FaultNoReply, second: FaultNoReply, firstAnswers: true, state: taskStarting, failures: 1, mayArrive: true},
		"the second is lost, not first": {second: FaultNoReply, firstAnswers: true, state: taskRunning, mayArrive: true},
	} {
		t.Run(name, func(t *testing.T) {
			fc, o, task := startedWithOpenStart(t)
			fc.advance(secondStartDelay+50, o.harness)
			assertEqual(t, "attempts", len(o.attempts), 2)
			o.answer(1, c.second)
			if c.firstAnswers {
				o.answer(0, c.first)
			}
			assertEqual(t, "state", task.machine.State(), c.state)
			assertEqual(t, "orders without an answer", task.worker.failures, c.failures)
			assertEqual(t, "an attempt may arrive", task.startMayArrive(fc.clock.Now()), c.mayArrive)
		})
	}
	t.Run("a refusal of the only attempt unbinds the task at once", func(t *testing.T) {
		_, o, task := startedWithOpenStart(t)
		bound := task.worker
		o.answer(0, FaultNoCapacity)
		assertEqual(t, "worker to avoid", task.avoidWorker == bound, true)
		assertEqual(t, "stops", task.stopSent, anvilclock.Millis(0))
	})
}
