package anvilscheduler

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
)

// health is the evidence that a worker fails or delays what it runs.
type health struct {
	failures int
	until    anvilclock.Millis
	leaves   anvilclock.Millis
}

// Evidence against a worker.
const (
	// suspectFailures is the number of failed runs in a row after which a worker is avoided: tasks fail by
	// their own fault in one of twenty runs, so three in a row are hardly chance.
	suspectFailures = 3
	// suspectRest is how long it is avoided.
	suspectRest = anvilclock.Millis(5000)
	// standstill is how long a run may show no progress before its worker is avoided and the run stopped.
	standstill = anvilclock.Millis(2500)
)

// end takes the end of a run at the worker.
func (h *health) end(c Cause, now anvilclock.Millis) {
	switch c {
	case CauseDone:
		h.failures = 0
		h.until = 0
	case CauseFailed:
		if h.failures++; h.failures >= suspectFailures {
			h.until = now + suspectRest
		}
	default:
	}
}

func (h *health) suspect(now anvilclock.Millis) bool { return now < h.until }

// regulate looks at the runs of a worker after a report: it stops runs that stand still, and paces tasks
// that fill where a serving task is over its target.
func (l *Loop) regulate(w *worker, now anvilclock.Millis) {
	pressed, calm := false, true
	for t := range w.tasks {
		if target := t.stage.step.LatencyTarget(); target > 0 && t.machine.State() == taskRunning {
			pressed = pressed || t.load*100 > int64(target)*pressedAt
			calm = calm && t.load*100 < int64(target)*calmAt
		}
	}
	for _, t := range w.bound() {
		if t.machine.State() != taskRunning {
			continue
		}
		switch {
		case t.stage.step.Opportunistic() && pressed && t.pace > 0:
			l.setPace(t, 0, now)
		case t.stage.step.Opportunistic() && calm && !pressed && t.pace < 100:
			l.setPace(t, 100, now)
		case t.stalled(now):
			l.log.Record(anvilevent.RunStalled, "task", t.id.String(), "run", t.run, "worker", w.id(), "percent", t.percent,
				"since", int64(now-t.moved))
			w.health.until = now + suspectRest
			t.avoid = w
			l.fireTask(t, "halt")
		}
	}
}

// Shares of the target, in percent, at which filling tasks are paced down and let go again.
const (
	pressedAt = 85
	calmAt    = 50
)

// stalled reports whether a run has shown no progress for too long.
func (t *task) stalled(now anvilclock.Millis) bool {
	return !t.stage.step.Opportunistic() && !t.stage.step.LongRunning() && t.percent < 100 && t.began != 0 && t.pace == 100 &&
		now-max(t.moved, t.began) > max(standstill, t.stage.step.Estimate()/10)
}

func (l *Loop) setPace(t *task, percent int, now anvilclock.Millis) {
	if t.pacing || !l.valid(now) {
		return
	}
	t.pacing = true
	w := t.worker
	m := paceAnswered{token: l.leadership.token, w: w, t: t, run: t.run, percent: percent}
	o := PaceOrder{task: t.id, run: t.run, percent: percent, token: l.leadership.token}
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
	t := m.t
	if m.token != l.leadership.token || t.worker != m.w || t.run != m.run {
		return
	}
	t.pacing = false
	if m.err != nil {
		l.orderFailed(m.w, m.err, l.clock.Now())
		return
	}
	t.pace = m.percent
}

// leave moves work off a worker that will be gone before it ends.
func (l *Loop) leave(w *worker, now anvilclock.Millis) {
	if !w.registration.draining || len(w.tasks) == 0 || w.machine.State() != workerReady {
		return
	}
	left := w.health.leaves - now
	for _, t := range w.bound() {
		if t.machine.State() != taskRunning || t.endsAt(now)-now < left {
			continue
		}
		// A task that saves its progress works until the last moment; any other one loses nothing by
		// starting again at once.
		if t.stage.step.Checkpoints() && left > l.bounds.stopGrace+leaveMargin {
			continue
		}
		l.log.Record(anvilevent.RunMoved, "task", t.id.String(), "run", t.run, "worker", w.id(), "left", int64(left))
		l.fireTask(t, "halt")
	}
}
