package anvilscheduler

import (
	"maps"
	"slices"

	"anvilhold.org/lib/anvilclock"
)

// A start without an answer may be carried out seconds later, also by the next process of the worker, which has no token, run or
// end by which it could refuse it. If the run has ended meanwhile, the task would start again. So the token is raised with the commit
// that stores the end, all later orders carry the raised one, and the first of them that a process gets makes it refuse the start.
// Until it is too late for the start, a hold waits at the worker, which fails as soon as its process ends, and is sent again until
// the next process gets it. A successor does the same for the workers that the leadership row names.

// exposed reports whether a start may arrive at the worker although its run isn't bound there any more.
func (w *worker) exposed(now anvilclock.Millis) bool {
	if w.exposedByFormer(now) {
		return true
	}
	for key := range w.lateStarts {
		if (key.task.worker != w || key.task.run != key.run) && w.startOpen(key, now) {
			return true
		}
	}
	return false
}

// exposedByFormer reports whether a start of a former leader may arrive at the worker although its run has ended. Its attempts
// count from the takeover.
func (w *worker) exposedByFormer(now anvilclock.Millis) bool {
	return w.loop.leadership.formerExposed[w.id()] && w.loop.formerStartsOpen(now)
}

// formerStartsOpen reports whether starts of former leaders may still arrive.
func (l *Loop) formerStartsOpen(now anvilclock.Millis) bool {
	return !l.leading() || now-l.leadership.leadingSince < lateOrderWindow
}

// exposedWorkers returns the ids of the exposed workers in order. A worker that has left may start again under its id.
func (l *Loop) exposedWorkers(now anvilclock.Millis) []string {
	var out []string
	for id, w := range l.fleet.byID {
		if w.exposed(now) {
			out = append(out, id)
		}
	}
	for id, f := range l.fleet.former {
		if l.fleet.byID[id] == nil && f.worker.anyStartOpen(now) {
			out = append(out, id)
		}
	}
	if l.formerStartsOpen(now) {
		out = slices.AppendSeq(out, maps.Keys(l.leadership.formerExposed))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// barLateStart requests a raised token for the worker from which a task is being unbound, if a start of its run may still arrive and
// no token is or will be raised above that of the start.
func (l *Loop) barLateStart(t *task) {
	w, key := t.worker, startKey{t, t.run}
	if w.startOpen(key, l.clock.Now()) && max(w.fence, w.barringFence) <= w.lateStarts[key].fence {
		w.barringFence = l.requestFence()
	}
}

// recordFormerStart records that a run which has ended may have been started by a former leader, whose attempt may have got no
// answer. The run isn't bound here any more if the former leader has stored its end.
func (l *Loop) recordFormerStart(w *worker, e RunEnd) {
	if !l.formerStartsOpen(l.clock.Now()) {
		return
	}
	since := l.leadership.leadingSince
	t := l.findTask(e.task)
	if t == nil {
		// The job has ended.
		t = &task{id: e.task}
	}
	if t.run != e.run || t.startSent == 0 {
		w.recordNoAnswer(startKey{t, e.run}, since)
	}
}

// startOpen reports whether an attempt of a start has no answer and may still arrive.
func (w *worker) startOpen(key startKey, now anvilclock.Millis) bool {
	s, ok := w.lateStarts[key]
	return ok && now-s.at < lateOrderWindow
}

// anyStartOpen reports whether an attempt of any start has no answer and may still arrive.
func (w *worker) anyStartOpen(now anvilclock.Millis) bool {
	for key := range w.lateStarts {
		if w.startOpen(key, now) {
			return true
		}
	}
	return false
}

// reconnectInterval returns the pause between two attempts to connect to a worker. It grows with the number of workers that don't
// answer, so that the attempts take a bounded share of the processor.
func (l *Loop) reconnectInterval() anvilclock.Millis {
	return reconnectInterval * anvilclock.Millis(1+l.fleet.probesInFlight/reconnectsPerInterval)
}
