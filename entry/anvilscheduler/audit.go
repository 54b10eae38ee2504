package anvilscheduler

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
)

// What the log tells about runs whose ends are late, missing or dropped. Nothing here decides. An ordinary end has one line, with the
// keys that all ends have.

// Reasons for which a run is given up without an end that was reported.
const (
	lossMissing      = "missing"
	lossAdopted      = "adopted"
	lossRestarted    = "restarted"
	lossLeaseExpired = "lease expired"
)

// Reasons for which an answer of a worker is dropped.
const (
	droppedLeadership  = "leadership"
	droppedIncarnation = "incarnation"
	droppedRestart     = "restarted"
)

// recordRunEnd logs the end of a run. Unless the run is the task's present one at the worker, the line says what the task is at.
func (l *Loop) recordRunEnd(w *worker, t *task, e RunEnd) {
	if t != nil && t.run == e.run && t.worker == w {
		l.log.Record(anvilevent.RunEnded, "task", e.task.String(), "run", e.run, "worker", w.id(), "cause", string(e.cause),
			"number", e.number)
		return
	}
	state, run, at := "unknown", 0, ""
	if t != nil {
		state, run = t.machine.State(), t.run
		if t.worker != nil {
			at = t.worker.id()
		}
	}
	l.log.Record(anvilevent.RunEnded, "task", e.task.String(), "run", e.run, "worker", w.id(), "cause", string(e.cause),
		"number", e.number, "state", state, "present", run, "at", at)
	l.meter.Count("run.former")
}

// recordMissing logs that a report of a worker lacks a run that is bound there.
func (l *Loop) recordMissing(t *task, now anvilclock.Millis) {
	reason := lossMissing
	switch {
	case t.adoptedFrom == "":
	case t.startSent != 0 || t.worker.formerIncarnation != 0:
		// This leader has moved the run to the worker's next process.
		reason = lossRestarted
	default:
		reason = lossAdopted
	}
	l.log.Record(anvilevent.RunVanished, t.lossFields(reason, now)...)
}

// recordGivenUp logs that the runs of tasks are given up with their worker. No start was sent of those that are only placed.
func (l *Loop) recordGivenUp(tasks []*task, reason string) {
	now := l.clock.Now()
	for _, t := range tasks {
		if t.machine.State() != taskPlaced {
			l.log.Record(anvilevent.RunGivenUp, t.lossFields(reason, now)...)
			l.meter.Count("run.givenup")
		}
	}
}

// lossFields returns the keys and values of a line about a run that is given up: when its first start was sent, unless a former
// leader has sent it, and when the worker has last answered, each in milliseconds before now.
func (t *task) lossFields(reason string, now anvilclock.Millis) []any {
	w := t.worker
	out := []any{"task", t.id.String(), "run", t.run, "worker", w.id(), "state", t.machine.State(), "reason", reason}
	if t.startSent != 0 {
		out = append(out, "sent", int64(now-t.startSent))
	}
	if w.lastReply != 0 {
		out = append(out, "answered", int64(now-w.lastReply))
	}
	return out
}

// recordDropped logs that an answer which lists ends is dropped.
func (l *Loop) recordDropped(m holdAnswered, reason string) {
	if len(m.report.runEnds) == 0 {
		return
	}
	unseen := 0
	for _, e := range m.report.runEnds {
		if e.number > m.worker.processed || reason == droppedRestart {
			unseen++
		}
	}
	l.log.Record(anvilevent.ReportDropped, "worker", m.worker.id(), "reason", reason, "ends", len(m.report.runEnds), "unseen", unseen,
		"last", m.report.runEnds[len(m.report.runEnds)-1].number, "age", int64(l.clock.Now()-m.sent))
	l.meter.Count("report.dropped")
}

// endFields returns how many ends were processed and not stored, how many of them are in the commit in flight, and how many are
// stored and may not be acknowledged yet, as keys and values.
func (l *Loop) endFields() []any {
	q := &l.commits
	unstored, inflight, unacked := 0, 0, 0
	for _, a := range q.acks {
		switch {
		case a.seq <= q.storedSeq:
			unacked += a.ends
		case q.inflight != nil && a.seq <= q.inflight.seq:
			inflight += a.ends
			unstored += a.ends
		default:
			unstored += a.ends
		}
	}
	return []any{"unstored", unstored, "inflight", inflight, "unacked", unacked}
}

// adoptedFields returns how many tasks were adopted as done, bound to a worker, and waiting for another run after an earlier one, as
// keys and values.
func (l *Loop) adoptedFields() []any {
	done, bound, waiting := 0, 0, 0
	for _, j := range l.workload.jobs {
		for _, t := range j.tasks() {
			switch {
			case t.worker != nil:
				bound++
			case t.machine.State() == taskDone:
				done++
			case t.machine.State() == taskWaiting && t.run > 0:
				waiting++
			}
		}
	}
	return []any{"done", done, "bound", bound, "waiting", waiting}
}
