package anvilscheduler

import (
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anviljob"
)

// What the log and the metrics tell about acknowledgements of ends: which of them don't wait for an open start of their task, and how
// long they take. Nothing here decides. An ordinary acknowledgement has no line.

// Reasons for which an end is acknowledged although a start of its task may still arrive.
const (
	passedShare   = "share"
	passedMany    = "many"
	passedFormer  = "former"
	passedEarlier = "earlier"
	passedLater   = "later"
)

// ackAudit is the state of what is recorded about acknowledgements.
type ackAudit struct {
	// lines bounds the lines about acknowledgements, by reason.
	lines map[string]*lineBudget
}

func newAckAudit() ackAudit {
	return ackAudit{lines: map[string]*lineBudget{}}
}

// lineBudget bounds the lines of a kind in a second, and counts those that were left out since the last one.
type lineBudget struct {
	since   anvilclock.Millis
	written int
	omitted int
}

// take reports whether a line may be written now, and how many were left out before it.
func (b *lineBudget) take(now anvilclock.Millis) (omitted int, ok bool) {
	if now-b.since >= ackLinesPeriod {
		b.since, b.written = now, 0
	}
	if b.written >= maxAckLines {
		b.omitted++
		return 0, false
	}
	b.written++
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}

const (
	// maxAckLines bounds the lines of a kind in ackLinesPeriod: in the first seconds of a leadership, most ends are of runs whose
	// starts a former leader has sent.
	maxAckLines    = 20
	ackLinesPeriod = anvilclock.Millis(1000)
)

// uncovered is an end whose acknowledgement doesn't wait for an open start of its task.
type uncovered struct {
	end    RunEnd
	start  openStart
	reason string
}

// uncoveredStarts adds the open starts of an end's task for which its acknowledgement doesn't wait to list.
func (l *Loop) uncoveredStarts(list []uncovered, w *worker, e RunEnd, now anvilclock.Millis) []uncovered {
	t := l.findTask(e.task)
	if t == nil {
		return list
	}
	key := startKey{t, e.run}
	if s, ok := w.lateStarts[key]; ok && s.fence == 0 && w.startOpen(key, now) {
		list = append(list, uncovered{e, openStart{w, key}, passedFormer})
	}
	for _, s := range l.otherStarts(t, e.run, now) {
		if !s.worker.sentOpen(s.key, now) {
			list = append(list, uncovered{e, s, passedByRun(s.key.run, e.run)})
		}
	}
	return list
}

func passedByRun(start, ended int) string {
	if start < ended {
		return passedEarlier
	}
	return passedLater
}

// passedReason returns why the acknowledgement of n ends of a worker wouldn't wait for an open start.
func passedReason(n int) string {
	if n > maxHeldEnds {
		return passedMany
	}
	return passedShare
}

// recordAcked logs the open starts for which an acknowledgement doesn't wait any more.
func (l *Loop) recordAcked(a ack, now anvilclock.Millis) {
	l.meter.Observe("end.released", (now - a.reported).Duration())
	a.worker.releasedAcks = append(a.worker.releasedAcks, releasedAck{a.number, a.reported})
	for _, u := range a.uncovered {
		if u.start.worker.startOpen(u.start.key, now) {
			l.recordUncovered(a, u.end.task, u.end.run, u.start, u.reason, now)
		}
	}
	for _, s := range a.starts {
		if s.worker.startOpen(s.key, now) {
			l.recordUncovered(a, s.key.task.id, s.key.run, s, a.worker.ackPassed, now)
		}
	}
}

func (l *Loop) recordUncovered(a ack, id anviljob.TaskID, run int, s openStart, reason string, now anvilclock.Millis) {
	l.meter.Count("ack.open." + reason)
	b := l.ackAudit.lines[reason]
	if b == nil {
		b = &lineBudget{}
		l.ackAudit.lines[reason] = b
	}
	if omitted, ok := b.take(now); ok {
		l.log.Record(anvilevent.AckedWithOpenStart, "task", id.String(), "run", run, "worker", a.worker.id(), "number", a.number,
			"late", s.key.run, "at", s.worker.id(), "reason", reason, "former", !s.worker.sentOpen(s.key, now), "omitted", omitted)
	}
}

// releasedAck is an acknowledgement that may be sent, of ends that were reported at a local time.
type releasedAck struct {
	number   int64
	reported anvilclock.Millis
}

// observeAcked observes the ages of the ends whose acknowledgement the worker has received.
func (l *Loop) observeAcked(w *worker, acked int64, now anvilclock.Millis) {
	n := 0
	for n < len(w.releasedAcks) && w.releasedAcks[n].number <= acked {
		l.meter.Observe("end.acked", (now - w.releasedAcks[n].reported).Duration())
		n++
	}
	w.releasedAcks = slices.Delete(w.releasedAcks, 0, n)
}

// observeStored observes the ages of the ends that are stored since it was called last.
func (l *Loop) observeStored(now anvilclock.Millis) {
	q := &l.commits
	for i := range q.acks {
		if a := &q.acks[i]; !a.stored && a.seq <= q.storedSeq {
			a.stored = true
			l.meter.Observe("end.stored", (now - a.reported).Duration())
		}
	}
}
