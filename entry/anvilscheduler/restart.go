package anvilscheduler

import (
	"maps"

	"anvilhold.org/lib/anvilclock"
)

// A worker may restart under its id. The new process knows nothing of the earlier one: it runs nothing, has seen no fencing
// token, and counts its clock and the numbers of its ends anew. Orders that were sent to the earlier process may still reach it.

// formerWorker is an incarnation that ended at a local time.
type formerWorker struct {
	worker  *worker
	endedAt anvilclock.Millis
}

// awaitsLateAck reports whether an acknowledgement for a former incarnation may still arrive, which would make this one forget the
// ends of runs before the leader has seen them. The worker refuses it once it has accepted a raised token.
func (w *worker) awaitsLateAck() bool { return w.loop.clock.Now() < w.formerAckUntil }

// startKey identifies a start.
type startKey struct {
	task *task
	run  int
}

// verifyStarts records that the worker's incarnation has answered an order that was sent at a local time: the starts before
// it reached no later incarnation, or will be shown by the clock or the report of that one.
func (w *worker) verifyStarts(sent anvilclock.Millis) {
	maps.DeleteFunc(w.unverified, func(_ startKey, at anvilclock.Millis) bool { return at < sent })
}

// recordRestart records that the worker may have got an order, sent at the local time at or before it, which named the end of a
// lease on the clock of a former incarnation: only the longest lease bounds it.
func (w *worker) recordRestart(at anvilclock.Millis) {
	w.formerClockExpiry = max(w.formerClockExpiry, at+w.loop.leaseExpiryAfter(w.loop.limits.maxLease))
	w.leaseExpiry = max(w.leaseExpiry, w.formerClockExpiry)
}

// forgetRestart ends the time in which leases may be longer because of a restart, so that the records name the present incarnation.
func (l *Loop) forgetRestart(w *worker) {
	w.formerClockExpiry, w.formerIncarnation = 0, 0
	for _, t := range w.boundTasks() {
		l.markRunChanged(t)
	}
}

// replaceIncarnation replaces an incarnation of a worker by a newer one under the same id. The newer one knows none of
// the earlier runs, but may have received a start that was meant for the earlier incarnation. So the runs stay bound
// until the newer incarnation has reported what runs there. With entryUnread, only a report has shown the newer one.
func (l *Loop) replaceIncarnation(w *worker, reg Registration, entryUnread bool) {
	tasks, now := w.boundTasks(), l.clock.Now()
	late := make(map[*task]bool, len(tasks))
	for _, t := range tasks {
		late[t] = t.startMayArrive(now)
		l.deallocate(t)
	}
	l.endIncarnation(w, "restarted", len(tasks))
	next := l.addWorker(reg)
	next.entryUnread = entryUnread
	next.formerIncarnation = w.registration.incarnation
	next.recordRestart(now)
	l.requireFence(next)
	for _, t := range tasks {
		t.worker, t.incarnation = next, next.registration.incarnation
		t.allocate()
	}
	for _, t := range tasks {
		// The end of a gang's member may have unbound the others.
		if t.worker == next {
			l.rebind(t, late[t])
		}
	}
	if l.leading() {
		l.holdIfDue(next, now)
	}
}

// rebind continues a task that was moved to the newer incarnation of its worker; late means that a start of its run may still
// arrive there.
func (l *Loop) rebind(t *task, late bool) {
	next := t.worker
	if s, ok := next.lateStarts[startKey{t, t.run}]; ok && late {
		// Until the worker has accepted a raised token, the start may arrive and grant the longest lease from then on.
		t.lastStart = max(t.lastStart, s.at+lateOrderWindow)
	}
	switch t.machine.State() {
	case taskPlaced:
		if next.awaitsLateAck() {
			l.fireTask(t, "refused")
			return
		}
	case taskStarting:
		if next.awaitsLateAck() {
			l.stopLateStart(t)
			break
		}
		// The start is sent again. If the run is there already, the worker confirms it.
		t.attempts.settle()
		t.unconfirmed, t.confirmedAt = true, 0
	default:
		if late {
			l.stopLateStart(t)
			break
		}
		t.adoptedFrom = next.id()
	}
	l.markRunChanged(t)
}

// succeed passes on to an incarnation what may still arrive of the orders to the former one under its id.
func (l *Loop) succeed(next *worker) {
	f, ok := l.fleet.former[next.id()]
	if !ok {
		return
	}
	delete(l.fleet.former, next.id())
	next.formerAckUntil, next.lateAckUntil = f.worker.lateAckUntil, f.worker.lateAckUntil
	if next.awaitsLateAck() {
		l.requireFence(next)
	}
	l.stopLateStarts(f.worker, next)
}

// stopLateStarts stops runs whose start may still arrive at the next incarnation of a worker, which then refuses it. The runs that
// were still bound to the worker are left to rebind.
func (l *Loop) stopLateStarts(w, next *worker) {
	now := l.clock.Now()
	for key, s := range w.lateStarts {
		if now-s.at >= lateOrderWindow {
			continue
		}
		next.lateStarts[key] = s
		if bound := key.task.worker == w && key.task.run == key.run; !bound {
			l.sendStop(next, nil, StopOrder{task: key.task.id, run: key.run, token: next.fence}, now)
		}
	}
}

// stopLateStart stops a run whose start may still arrive at the worker, because an attempt of it got no answer. The worker
// refuses the start once it has confirmed the stop; a report without the run alone wouldn't show that the run has ended.
func (l *Loop) stopLateStart(t *task) {
	t.confirmedAt = 0
	if t.machine.State() == taskStopping {
		l.stopTask(t, l.clock.Now())
		return
	}
	l.fireTask(t, "halt")
}
