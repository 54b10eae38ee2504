package anvilscheduler

import "anvilhold.org/lib/anvilclock"

// An answer may come long after the timeout of its order: a link may be full, or this process may lack processor time. So a worker that
// doesn't answer in time is asked by another hold, whose answer may be late. It lists the ends of runs, which must not be given up while
// it may still come. The hold extends no leases and acknowledges nothing, so it does no harm when it is carried out late.

const (
	// lateAnswerWindow is how long after its timeout an answer may come.
	lateAnswerWindow = anvilclock.Millis(10_000)
	// patientHoldInterval is the least time between two such holds to a worker: one that nothing listens to fails at once.
	patientHoldInterval = anvilclock.Millis(1000)
	// maxPatientHolds bounds these holds, each of which keeps a connection. Further workers wait for their turn.
	maxPatientHolds = 1024
	// minPatience is how long a worker must have been asked in vain before its silence shows that no answer is on its way. The work of a
	// worker that is lost waits for it about half a second longer than for the lease.
	minPatience = anvilclock.Millis(4000)
	// maxPatience bounds how long the leader waits for late answers.
	maxPatience = orderTimeout + lateAnswerWindow
	// refusalTime is within which a call fails if nothing listens or the address is known to be unreachable.
	refusalTime = anvilclock.Millis(100)
	// answerDelayFactor is the number of the longest recent delays of answers that the leader waits for one.
	answerDelayFactor = 2
	// pulseFactor is how often an order and its answer wait for the processor, each time for about as long as a pulse.
	pulseFactor = 4
	// latenessTolerance is the lateness of pulses up to which an order isn't delayed by this process.
	latenessTolerance = anvilclock.Millis(100)
	// patienceWindow is how far back pulses, and delayWindow how far back late answers count.
	patienceWindow = anvilclock.Millis(2000)
	delayWindow    = anvilclock.Millis(10_000)
)

// question is what is known of the answers of a worker.
type question struct {
	// openSince is when the hold was sent whose answer may be late; 0 when there is none. lastAsked is when the last one was sent.
	openSince anvilclock.Millis
	lastAsked anvilclock.Millis
	// answered is when the last answer came. Only holds that were sent since then show a silence.
	answered anvilclock.Millis
	// unanswered means that a hold got no answer in time, not even a late one. refused means that the last call has failed at once, so
	// that no answer is on its way. brokenSince is when the first call was sent that the network has given up later; 0 when there was none.
	unanswered  bool
	refused     bool
	brokenSince anvilclock.Millis
	// slow means that the last answer was late.
	slow bool
}

// recordAnswer records that a hold is answered now.
func (q *question) recordAnswer(now anvilclock.Millis) {
	q.answered = now
	q.unanswered, q.refused, q.brokenSince = false, false, 0
}

// recordFailure records that the call of a hold has failed. One that this process has cancelled shows nothing.
func (q *question) recordFailure(m holdAnswered, now anvilclock.Millis) {
	if m.sent < q.answered {
		return
	}
	took := now - m.sent
	q.refused = took < refusalTime
	switch {
	case q.refused:
	case took >= m.timeout:
		q.unanswered = q.unanswered || m.patient
	case q.brokenSince == 0:
		q.brokenSince = m.sent
	}
}

// lateAnswers counts the holds whose answers may be late, and holds how late those were that came.
type lateAnswers struct {
	open   int
	delays recentMaximum
}

// askPatiently sends a hold whose answer may be late to a worker that doesn't answer in time, unless one is open.
func (l *Loop) askPatiently(w *worker, now anvilclock.Millis) {
	q := &w.question
	if w.failures == 0 || len(w.tasks) == 0 || w.registration.addr == "" || w.machine.State() == workerEnded {
		return
	}
	tooSoon := q.lastAsked != 0 && now-q.lastAsked < patientHoldInterval
	if q.openSince != 0 || tooSoon || l.answers.open >= maxPatientHolds || !l.mayOrder(now) {
		return
	}
	q.openSince, q.lastAsked = now, now
	l.answers.open++
	o := HoldOrder{token: w.fence}
	l.callHold(o, holdAnswered{
		token: l.leadership.token, fence: o.token, worker: w, patient: true, sent: now, timeout: orderTimeout + lateAnswerWindow,
	})
}

// deliverPatient uses an answer that may be late. It says nothing new about a worker that has restarted since.
func (l *Loop) deliverPatient(m holdAnswered) {
	w, q, now := m.worker, &m.worker.question, l.clock.Now()
	q.openSince = 0
	l.answers.open--
	if m.err != nil {
		q.recordFailure(m, now)
		return
	}
	if w.machine.State() == workerEnded {
		l.applyEndedReport(m)
		return
	}
	if w.registration.incarnation != 0 && m.report.incarnation != 0 && m.report.incarnation != w.registration.incarnation {
		l.recordDropped(m, droppedRestart)
		return
	}
	if delay := now - m.sent; delay > orderTimeout {
		l.meter.Count("answer.late")
		l.answers.delays.add(delay, now)
		q.slow = true
	}
	w.failures = 0
	w.acceptFence(m.fence)
	w.recordLaterReply(m.report.clock, now)
	l.applyReport(w, m, now)
}

// askedPatiently reports whether the worker was asked in vain for so long that no answer is on its way. One without an address can't be
// asked.
func (w *worker) askedPatiently(now anvilclock.Millis) bool {
	q := &w.question
	if w.registration.addr == "" || q.unanswered {
		return true
	}
	since := q.openSince
	if since == 0 {
		since = q.brokenSince
	}
	if since == 0 {
		return q.refused
	}
	patience := w.loop.patience(now)
	if w.renewedAfter > since {
		// The worker has renewed its entry since it was asked, so it lives.
		patience = maxPatience
	}
	return now-since >= patience
}

// patience returns how long the leader waits for an answer that may be late.
func (l *Loop) patience(now anvilclock.Millis) anvilclock.Millis {
	d := max(minPatience, answerDelayFactor*l.answers.delays.since(now-delayWindow))
	if late := l.lateness.since(now-patienceWindow, now); late > latenessTolerance {
		d += pulseFactor * late
	}
	return min(d, maxPatience)
}
