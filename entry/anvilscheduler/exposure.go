package anvilscheduler

import "anvilhold.org/lib/anvilclock"

// A start without an answer may be carried out seconds later, also by the next process of the worker, which has no token, run or
// end by which it could refuse it. If the run has ended meanwhile, the task would start again. So a worker at which such a start may
// arrive is asked often until it is too late for that: its next process then gets a stop of the run soon after it has started.

// exposed reports whether a start may arrive at the worker although its run isn't bound there any more.
func (w *worker) exposed(now anvilclock.Millis) bool {
	for key := range w.lateStarts {
		if (key.task.worker != w || key.task.run != key.run) && w.startOpen(key, now) {
			return true
		}
	}
	return false
}

// recordFormerStart records that a run which has ended may have been started by a former leader, whose attempt may have got no
// answer. The run isn't bound here any more if the former leader has stored its end.
func (l *Loop) recordFormerStart(w *worker, e RunEnd) {
	since := l.leadership.leadingSince
	if l.clock.Now()-since >= lateOrderWindow {
		return
	}
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
