package anvilscheduler

import (
	"context"
	"errors"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
)

// holdIfDue sends a hold to a worker when one is due: as a probe of a worker that does not answer, to acknowledge ends,
// or to extend leases and wait for the next end.
func (l *Loop) holdIfDue(w *worker, now anvilclock.Millis) {
	if w.holdInFlight || w.registration.addr == "" || !l.mayOrder(now) {
		return
	}
	o, exposed := HoldOrder{token: w.fence}, w.exposed(now)
	reconnect := exposed && w.mayHaveEnded
	if now-w.lastHold < minHoldInterval && !reconnect {
		return
	}
	if w.acked > w.sentAck && len(w.unverified) == 0 {
		o.acked = w.acked
	}
	mayExtend := l.mayExtendLeases(now) && !w.leasesBounded()
	switch {
	case w.machine.State() != workerReady || w.failures > 0:
		limit := maxProbes
		if len(w.tasks) == 0 {
			limit = maxIdleProbes
		}
		if exposed {
			// The next process may get the order, which has no ends to acknowledge.
			o.reconnect, o.acked = l.reconnectInterval(), 0
		}
		interval := probeInterval
		switch {
		case reconnect:
			interval = 0
		case exposed:
			interval = exposedHoldInterval
		}
		if (w.lastHold != 0 && now-w.lastHold < interval) || !l.claimProbe(w, limit) {
			return
		}
	case w.minFence != 0 && w.fence >= w.minFence:
		// The worker has to accept the raised token.
	case w.acked > w.sentAck && o.acked == 0:
		// The worker would report the ends again at once, until they may be acknowledged.
		if now-w.lastHold < unverifiedHoldInterval {
			return
		}
	case w.acked > w.sentAck:
		// The hold acknowledges ends. While tasks run, the same call waits for the next end.
	case exposed && w.processed == w.acked:
		// The hold waits, and fails as soon as the process ends.
		if now < w.backoffUntil {
			return
		}
	case len(w.tasks) == 0:
		// The reply shows the clock of a worker that may get a start.
		if w.registration.draining || now-w.lastReply < w.idleReplyAge(now) || !l.claimProbe(w, maxIdleProbes) {
			return
		}
	case w.processed > w.acked:
		// Ends are being stored, or wait to be acknowledged. A hold would only report them again, so one is sent only to extend leases,
		// or for new ends.
		if w.acksHeld || w.awaitsGuards {
			if now-w.lastHold < heldAckInterval {
				return
			}
		} else if now-w.lastExtended < leaseRefreshAge || !mayExtend {
			return
		}
	case w.leasesBounded():
		// A hold that waits for an end would delay the extension once the bound is removed.
		if now-w.lastHold < boundedHoldInterval {
			return
		}
	}
	// The lease of a worker that does not answer isn't extended: it may process the order late, and its runs can start
	// elsewhere only once the lease has expired.
	if len(w.tasks) > 0 && w.lastReply != 0 && w.machine.State() == workerReady && w.failures == 0 {
		if mayExtend {
			o.until = w.leaseUntil(now)
		}
		switch {
		case w.processed > w.acked || w.leasesBounded():
		case mayExtend && exposed:
			o.wait = exposedHoldInterval
		case mayExtend:
			o.wait = maxHoldWait
		default:
			o.wait = unextendedHoldWait
		}
	} else if exposed && w.machine.State() == workerReady && w.failures == 0 && w.processed == w.acked {
		o.wait = exposedHoldInterval
	}
	l.sendHold(w, o, now)
}

// idleReplyAge returns the age of the last reply after which the idle worker gets a hold. A long-running task must not be
// started at a worker that is lost, too: it would be away for the leases of both.
func (w *worker) idleReplyAge(now anvilclock.Millis) anvilclock.Millis {
	switch {
	case w.deregisteredAt != 0 && w.lastReply <= w.deregisteredAt:
		return 0
	case w.exposed(now):
		return exposedHoldInterval
	case w.loop.fleet.losing[w.registration.pool] || w.question.slow:
		return lossReplyAge
	default:
		return clockRefreshAge
	}
}

// findLosses records the pools in which long-running tasks are bound to workers that don't answer.
func (l *Loop) findLosses() {
	clear(l.fleet.losing)
	for _, w := range l.fleet.byID {
		if w.failures == 0 && !w.registration.removed {
			continue
		}
		for t := range w.tasks {
			if q, ok := l.queueOf(t.stage.job); ok && t.stage.step.LongRunning() {
				l.fleet.losing[q.Pool()] = true
			}
		}
	}
}

// claimProbe counts the next hold of a worker in probesInFlight, and reports false if limit holds are counted already.
func (l *Loop) claimProbe(w *worker, limit int) bool {
	if l.fleet.probesInFlight >= limit {
		return false
	}
	w.probeInFlight = true
	l.fleet.probesInFlight++
	return true
}

// sendHold sends a hold on a traffic goroutine, which posts the answer.
func (l *Loop) sendHold(w *worker, o HoldOrder, now anvilclock.Millis) {
	w.holdInFlight, w.ackInFlight, w.lastHold = true, o.acked > 0, now
	if o.until != 0 {
		w.extendLease(now)
	}
	timeout := o.wait + orderTimeout
	if o.reconnect != 0 && w.mayHaveEnded {
		timeout = firstReconnectTimeout
	}
	w.mayHaveEnded = false
	l.callHold(o, holdAnswered{token: l.leadership.token, fence: o.token, worker: w, sent: now, timeout: timeout, acked: o.acked})
}

// callHold makes the call of a hold on a traffic goroutine, which posts the answer.
func (l *Loop) callHold(o HoldOrder, m holdAnswered) {
	ctx, workers, to := l.leadershipContext(), l.workers, m.worker.target()
	l.spawn(func() {
		ctx, cancel := withTimeout(ctx, m.timeout)
		defer cancel()
		m.report, m.err = workers.Hold(ctx, to, o)
		l.post(m)
	})
}

func (m holdAnswered) deliver(l *Loop) {
	w := m.worker
	if m.token != l.leadership.token {
		l.recordDropped(m, droppedLeadership)
		return
	}
	if m.patient {
		l.deliverPatient(m)
		return
	}
	w.holdInFlight, w.ackInFlight = false, false
	if w.probeInFlight {
		w.probeInFlight = false
		l.fleet.probesInFlight--
	}
	if w.machine.State() == workerEnded {
		l.applyEndedReport(m)
		return
	}
	now := l.clock.Now()
	if m.err != nil {
		w.question.recordFailure(m, now)
		if m.acked > 0 && errors.Is(m.err, context.DeadlineExceeded) {
			w.lateAckUntil = now + lateOrderWindow
			if w.machine.State() != workerEnded && m.fence >= w.minFence {
				// A next process may get a start before the leader knows of it. The start's token then bars the acknowledgement.
				l.requireFence(w)
			}
		}
		l.handleOrderError(w, m.fence, m.err, now)
		if w.machine.State() != workerEnded && w.exposed(now) {
			l.holdIfDue(w, now)
		}
		l.askPatiently(w, now)
		return
	}
	w.failures, w.question.slow = 0, false
	w.acceptFence(m.fence)
	w.recordReply(m.report.clock, now)
	w.sentAck = max(w.sentAck, m.acked)
	l.observeAcked(w, m.acked, now)
	if w.registration.incarnation != 0 && m.report.incarnation != 0 && m.report.incarnation != w.registration.incarnation {
		// The registry shows the newer incarnation, its labels and its capacity a little later.
		l.recordDropped(m, droppedRestart)
		l.replaceIncarnation(w, w.registration.WithIncarnation(m.report.incarnation), true)
		return
	}
	l.applyReport(w, m, now)
}

// applyReport applies the report of the incarnation of a worker that the leader knows.
func (l *Loop) applyReport(w *worker, m holdAnswered, now anvilclock.Millis) {
	w.question.recordAnswer(now)
	w.sentAck = max(w.sentAck, m.acked)
	w.verifyStarts(m.sent)
	l.reconcile(w, m, now)
	l.fireWorker(w, "report")
	if w.leasesBounded() {
		l.queueBounds()
	}
	l.holdIfDue(w, now)
}

// applyEndedReport processes the successful ends that a worker has listed whose incarnation the leader has ended since: its tasks may not
// have been started elsewhere yet. The ends can't be acknowledged any more.
func (l *Loop) applyEndedReport(m holdAnswered) {
	w := m.worker
	if m.report.incarnation != 0 && m.report.incarnation != w.registration.incarnation {
		l.recordDropped(m, droppedIncarnation)
		return
	}
	for _, e := range m.report.runEnds {
		// Other ends would count for runs that have been given up.
		if e.number > w.processed && e.cause == CauseDone {
			l.processRunEnd(w, e)
		}
	}
}

// handleOrderError acts on the failure of an order with a fencing token. It steps down if the worker knows a newer leader; otherwise it
// retires the worker, puts it into backoff, or counts the failure.
func (l *Loop) handleOrderError(w *worker, fence int64, err error, now anvilclock.Millis) {
	e := asOrderError(err)
	if e.fault == FaultFenced {
		if w.overtaken(fence) {
			return
		}
		l.stepDown("worker " + w.id() + " has seen a newer token")
		return
	}
	if w.machine.State() == workerEnded {
		// The order was sent to a former incarnation.
		return
	}
	w.recordReply(e.clock, now)
	switch e.fault {
	case FaultReplaced:
		l.retire(w, "another worker answers")
	case FaultUnavailable:
		w.backoffUntil = now + unavailableBackoff
		w.health.recordUnavailable(now)
	case FaultNoReply, FaultInvalid, FaultRefused:
		// A refused connection doesn't show that the worker's process has exited: a network partition can refuse it, too.
		w.failures++
		w.mayHaveEnded = w.failures == 1
		if w.failures >= unresponsiveAfter {
			l.fireWorker(w, "silent")
		}
	default:
	}
}

// reconcile compares the runs that a worker reports with the tasks that are bound to it. It stops runs that are not
// bound there, and ends tasks whose runs are missing.
func (l *Loop) reconcile(w *worker, m holdAnswered, now anvilclock.Millis) {
	l.processRunEnds(w, m.report.runEnds)
	active := make(map[*task]bool, len(m.report.active))
	for _, a := range m.report.active {
		t := l.findTask(a.task)
		if t == nil || t.worker != w || t.run != a.run {
			l.stopStray(w, a, now)
			continue
		}
		active[t] = true
		l.updateRun(t, a, m.sent, now)
	}
	for _, t := range w.boundTasks() {
		if active[t] || t.machine.State() == taskPlaced || m.report.incomplete {
			continue
		}
		// An adopted run, or one whose start was confirmed before the hold was sent, would be reported if it still ran.
		if t.adoptedFrom != "" || (t.confirmedAt != 0 && t.confirmedAt < m.sent) {
			l.recordMissing(t, now)
			l.fireTask(t, "lost")
		}
	}
	l.adjustRuns(w, now)
}

// processRunEnds processes the ends that are new. They are acknowledged to the worker once they are stored.
func (l *Loop) processRunEnds(w *worker, runEnds []RunEnd) {
	last, now := w.processed, l.clock.Now()
	a := ack{worker: w, reported: now}
	w.gangStarts = slices.DeleteFunc(w.gangStarts, func(s openStart) bool { return !s.worker.startOpen(s.key, now) })
	for _, e := range runEnds {
		if e.number <= w.processed {
			continue
		}
		last = max(last, e.number)
		a.ends++
		a.starts = append(a.starts, l.openStarts(w, e, now)...)
		l.recordFormerStart(w, e)
		a.uncovered = l.uncoveredStarts(a.uncovered, w, e, now)
		l.processRunEnd(w, e)
	}
	if last > w.processed {
		w.processed = last
		a.starts = append(a.starts, w.gangStarts...)
		a.number, a.seq, a.fence = last, l.commits.lastSeq, w.barringFence
		l.commits.acks = append(l.commits.acks, a)
		l.fleet.ends.add(a.ends, now)
		if len(l.commits.jobs) == 0 && l.commits.inflight == nil {
			l.releaseAcks()
		}
	}
}

// stopStray stops a run at a worker to which it is not bound.
func (l *Loop) stopStray(w *worker, a Active, now anvilclock.Millis) {
	l.log.Record(anvilevent.RunUnbound, "task", a.task.String(), "run", a.run, "worker", w.id())
	l.meter.Count("run.stray")
	l.sendStop(w, nil, StopOrder{task: a.task, run: a.run, token: w.fence}, now)
}
