package anvilscheduler

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
)

// health records whether runs fail or stall on a worker, and when the worker leaves.
type health struct {
	// evidence grows with failed runs and shrinks with runs that succeed.
	evidence     int
	suspectUntil anvilclock.Millis
	// leavesAt is when a draining worker leaves at the earliest.
	leavesAt anvilclock.Millis
}

// Limits after which a worker is suspect.
const (
	// suspectEvidence is the number of failed runs, less those that succeeded meanwhile, after which a worker is suspect:
	// tasks fail by their own fault in one of twenty runs. maxEvidence bounds the number, so that a worker that has
	// recovered is used again soon.
	suspectEvidence = 3
	maxEvidence     = 5
	// A run that fails within quickFailureShare of its estimate, in percent, or within quickFailureTime, counts
	// quickFailureWeight times: tasks fail by their own fault at any time, and a faulty worker fails them at once.
	quickFailureShare  = 10
	quickFailureTime   = anvilclock.Millis(150)
	quickFailureWeight = 2
	// suspectDuration is how long a worker stays suspect and is avoided.
	suspectDuration = anvilclock.Millis(5000)
	// Suspect workers are excluded while they are at most one in maxSuspectDivisor workers of the pool.
	maxSuspectDivisor = 3
	// stallTimeout is how long a run may report no progress before it is stopped and its worker is suspect. A tenth
	// of the step's estimate replaces it when that is longer.
	stallTimeout = anvilclock.Millis(2500)
)

// recordEnd records how a run at the worker ended. Runs that were stopped or whose lease expired do not count.
func (h *health) recordEnd(c Cause, ran, estimate, now anvilclock.Millis) {
	switch c {
	case CauseDone:
		h.evidence = max(h.evidence-1, 0)
	case CauseFailed:
		weight := 1
		if ran < max(estimate*quickFailureShare/100, quickFailureTime) {
			weight = quickFailureWeight
		}
		h.evidence = min(h.evidence+weight, maxEvidence)
		if h.evidence >= suspectEvidence {
			h.suspectUntil = now + suspectDuration
		}
	default:
	}
}

// recordUnavailable records that the worker has refused an order as unavailable, which a worker in order doesn't do.
func (h *health) recordUnavailable(now anvilclock.Millis) { h.suspectUntil = now + suspectDuration }

func (h *health) suspect(now anvilclock.Millis) bool { return now < h.suspectUntil }

// adjustRuns acts on a report of a worker: it stops stalled runs, and pauses opportunistic tasks while another task on
// the same worker is close to its latency target.
func (l *Loop) adjustRuns(w *worker, now anvilclock.Millis) {
	nearTarget, farBelow := false, true
	for t := range w.tasks {
		if target := t.stage.step.LatencyTarget(); target > 0 && t.machine.State() == taskRunning {
			nearTarget = nearTarget || t.load*100 > int64(target)*throttleAt
			farBelow = farBelow && t.load*100 < int64(target)*unthrottleAt
		}
	}
	for _, t := range w.boundTasks() {
		if t.machine.State() != taskRunning {
			continue
		}
		switch {
		case t.stage.step.Opportunistic() && nearTarget && t.pace > 0:
			l.setPace(t, 0, now)
		case t.stage.step.Opportunistic() && farBelow && !nearTarget && t.pace < 100:
			l.setPace(t, 100, now)
		case t.stalled(now):
			l.log.Record(anvilevent.RunStalled, "task", t.id.String(), "run", t.run, "worker", w.id(), "percent", t.percent,
				"since", int64(now-t.lastProgress))
			w.health.suspectUntil = now + suspectDuration
			t.avoidWorker = w
			l.fireTask(t, "halt")
		}
	}
}

// Shares of a latency target, in percent: opportunistic tasks are paused above throttleAt and resumed once all tasks
// with a target are below unthrottleAt.
const (
	throttleAt   = 85
	unthrottleAt = 50
)

// stalled reports whether a run has reported no progress for too long. Opportunistic and long-running tasks, and paused
// ones, are exempt.
func (t *task) stalled(now anvilclock.Millis) bool {
	return !t.stage.step.Opportunistic() && !t.stage.step.LongRunning() && t.percent < 100 && t.startedAt != 0 && t.pace == 100 &&
		now-max(t.lastProgress, t.startedAt) > max(stallTimeout, t.stage.step.Estimate()/10)
}

// setPace sends a pace order on a traffic goroutine, unless one for the task is in flight.
func (l *Loop) setPace(t *task, percent int, now anvilclock.Millis) {
	if t.paceInFlight || !l.leadershipValid(now) {
		return
	}
	t.paceInFlight = true
	w := t.worker
	m := paceAnswered{token: l.leadership.token, fence: w.fence, worker: w, task: t, run: t.run, percent: percent}
	o := PaceOrder{task: t.id, run: t.run, percent: percent, token: w.fence}
	ctx, workers, to := l.leadershipContext(), l.workers, w.target()
	l.log.Record(anvilevent.RunPaced, "task", t.id.String(), "run", t.run, "worker", w.id(), "percent", percent)
	l.spawn(func() {
		ctx, cancel := withTimeout(ctx, orderTimeout)
		defer cancel()
		_, m.err = workers.Pace(ctx, to, o)
		l.post(m)
	})
}

func (m paceAnswered) deliver(l *Loop) {
	t := m.task
	if m.token != l.leadership.token || t.worker != m.worker || t.run != m.run {
		return
	}
	t.paceInFlight = false
	if m.err != nil {
		l.handleOrderError(m.worker, m.fence, m.err, l.clock.Now())
		return
	}
	t.pace = m.percent
}

// moveOffDraining stops the runs of a draining worker that would not end before the worker leaves, so that they start
// elsewhere.
func (l *Loop) moveOffDraining(w *worker, now anvilclock.Millis) {
	if !w.registration.draining || len(w.tasks) == 0 || w.machine.State() != workerReady {
		return
	}
	remaining := w.health.leavesAt - now
	for _, t := range w.boundTasks() {
		if t.machine.State() != taskRunning || t.expectedEnd(now)-now < remaining {
			continue
		}
		// A task with checkpoints runs until shortly before the worker leaves. Any other task would lose its work
		// anyway, so it starts elsewhere at once.
		if t.stage.step.Checkpoints() && remaining > l.limits.stopGrace+drainStopMargin {
			continue
		}
		l.log.Record(anvilevent.RunMoved, "task", t.id.String(), "run", t.run, "worker", w.id(), "left", int64(remaining))
		l.fireTask(t, "halt")
	}
}
