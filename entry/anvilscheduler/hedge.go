package anvilscheduler

import (
	"maps"

	"anvilhold.org/lib/anvilclock"
)

// A start is sent a second time when no answer has come for secondStartDelay: a worker may leave an order unanswered and carry
// it out seconds later. It carries out a run's start only once, whichever attempt comes first. An answer to one attempt says
// nothing about the other one, which may arrive after the run has ended.

// startAttempts is the state of the newest start of a run, which is settled by the first answer, or when no attempt got one.
type startAttempts struct {
	// round numbers the starts of the run. Answers to earlier ones don't settle the present one.
	round     int
	inFlight  int
	sent      int
	firstSent anvilclock.Millis
}

func (a *startAttempts) begin(now anvilclock.Millis) {
	*a = startAttempts{round: a.round + 1, firstSent: now}
}

func (a *startAttempts) settle() { *a = startAttempts{round: a.round + 1} }

// secondDue reports whether the first attempt has had no answer for long enough to send another one.
func (a *startAttempts) secondDue(now anvilclock.Millis) bool {
	return a.sent == 1 && a.inFlight == 1 && now-a.firstSent >= secondStartDelay
}

// timeout returns how long an attempt that is sent now may take: all attempts of a start end at the same time.
func (a *startAttempts) timeout(now anvilclock.Millis) anvilclock.Millis {
	return orderTimeout - (now - a.firstSent)
}

// lateStart counts the attempts of a run's start without an answer, the newest of which was sent or timed out at a local time. fence
// is the highest of their tokens; 0 if a former leader has sent them.
type lateStart struct {
	open  int
	at    anvilclock.Millis
	fence int64
}

// recordAttempt records that an attempt of a start is being sent.
func (w *worker) recordAttempt(key startKey, now anvilclock.Millis) {
	maps.DeleteFunc(w.lateStarts, func(_ startKey, s lateStart) bool { return now-s.at >= lateOrderWindow })
	w.lateStarts[key] = lateStart{open: w.lateStarts[key].open + 1, at: now, fence: w.fence}
}

// recordNoAnswer records that an attempt got no answer.
func (w *worker) recordNoAnswer(key startKey, now anvilclock.Millis) {
	s := w.lateStarts[key]
	s.open, s.at = max(s.open, 1), now
	w.lateStarts[key] = s
}

// recordAnswer records that an attempt was answered, so that it won't arrive any more.
func (w *worker) recordAnswer(key startKey) {
	s, ok := w.lateStarts[key]
	if s.open--; ok && s.open > 0 {
		w.lateStarts[key] = s
		return
	}
	delete(w.lateStarts, key)
}

// startMayArrive reports whether an attempt to start the task's run may still arrive at the worker to which it is bound.
func (t *task) startMayArrive(now anvilclock.Millis) bool {
	return t.unconfirmed || t.worker.startOpen(startKey{t, t.run}, now)
}
