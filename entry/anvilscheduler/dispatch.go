package anvilscheduler

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
)

// What a worker was chosen by may no longer hold when the start is sent: the choice is stored first, and a start without an
// answer is sent again. Each attempt is checked when it is sent.

// Reasons for which a start may not go out now. After the first ones it may later, at the same worker. After the others the
// task is unbound from the worker.
const (
	refusalLeadership  = "leadership"
	refusalEvacuations = "evacuations"
	refusalSilent      = "silent"
	refusalFence       = "fence"
	refusalLease       = "lease"

	refusalEnded    = "ended"
	refusalProcess  = "process"
	refusalEntry    = "entry"
	refusalDraining = "draining"
	refusalDomain   = "domain"
	refusalPool     = "pool"
	refusalLabel    = "label"
	refusalSpread   = "spread"
	refusalCapacity = "capacity"
	refusalLimit    = "limit"
	refusalTicket   = "ticket"
)

// startRefusal returns the reason for which the start of a bound task may not be sent now; empty when it may.
func (l *Loop) startRefusal(t *task, now anvilclock.Millis) string {
	w, s := t.worker, t.stage
	if w == nil || s.job.final() || t.formerDone {
		return refusalEnded
	}
	switch {
	case w.failures >= unresponsiveAfter || w.machine.State() != workerReady:
		return refusalSilent
	case w.awaitsLateAck() || w.minFence != 0:
		return refusalFence
	case w.leasesBounded():
		return refusalLease
	case t.incarnation != w.registration.incarnation:
		return refusalProcess
	case w.entryUnread:
		return refusalEntry
	case w.registration.draining:
		return refusalDraining
	case l.evacuated(w.registration.domain):
		return refusalDomain
	case !w.hasLabel(s.step.Label()):
		return refusalLabel
	case s.step.MaxPerWorker() != 0 && s.perWorker[w] > s.step.MaxPerWorker():
		return refusalSpread
	case !w.used.Fits(w.registration.capacity):
		return refusalCapacity
	case !l.withinLimit(s, 0):
		return refusalLimit
	}
	if q, ok := l.queueOf(s.job); ok && q.Pool() != w.registration.pool {
		return refusalPool
	}
	if t.ticketLapsed(now) {
		return refusalTicket
	}
	if !l.knowsEvacuations(now) {
		return refusalEvacuations
	}
	if !l.leadershipValid(now) {
		return refusalLeadership
	}
	return ""
}

// ticketLapsed reports whether the ticket of a start has expired or is about to, or belongs to a former process.
func (t *task) ticketLapsed(now anvilclock.Millis) bool {
	tk := t.ticket
	return tk.worker != nil && (tk.worker != t.worker || tk.validUntil < now+ticketSendMargin)
}

// mayBeSentLater reports whether a start that was refused for a reason may go out to the same worker later.
func mayBeSentLater(reason string) bool {
	switch reason {
	case refusalLeadership, refusalEvacuations, refusalSilent, refusalFence, refusalLease:
		return true
	}
	return false
}

// sendBound sends the starts of bindings that a commit has stored.
func (l *Loop) sendBound(bindings []binding) {
	now := l.clock.Now()
	for _, b := range bindings {
		t := b.task
		if t.run != b.run || t.machine.State() != taskPlaced {
			continue
		}
		switch reason := l.startRefusal(t, now); reason {
		case "":
			l.fireTask(t, "committed")
		case refusalLeadership:
			// Another instance may have claimed the leadership. The next commit shows whether it has.
			t.stage.job.unstoredBindings = append(t.stage.job.unstoredBindings, t)
			l.markRunChanged(t)
		default:
			l.recordWithheld(t, reason)
			l.fireTask(t, "refused")
		}
	}
}

// repeatStart sends the start of a task again whose last attempts got no answer, or a second time while the first attempt is
// open. If what the worker was chosen by no longer holds, it unbinds the task, once the worker has confirmed that nothing runs.
func (l *Loop) repeatStart(t *task, now anvilclock.Millis) {
	if t.machine.State() != taskStarting || t.adoptedFrom != "" || t.confirmedAt != 0 {
		return
	}
	if t.attempts.inFlight > 0 {
		if t.attempts.secondDue(now) && l.startRefusal(t, now) == "" {
			l.sendAttempt(t, now)
		}
		return
	}
	if now-t.lastProgress < orderRetryDelay {
		return
	}
	switch reason := l.startRefusal(t, now); {
	case reason == "":
		l.sendStart(t, now)
	case reason == refusalLimit:
		l.withdrawAboveLimit(t)
	case !mayBeSentLater(reason):
		l.recordWithheld(t, reason)
		l.withdrawStart(t)
	}
}

// withdrawAboveLimit withdraws a start of a team that is above its maximum, unless the team will be within it once the tasks that
// are leaving have been stopped.
func (l *Loop) withdrawAboveLimit(t *task) {
	name, size := t.stage.job.sub.Team(), t.stage.step.Size()
	if team, ok := l.state.policy.Team(name); ok && team.WithinLimit(l.workload.usage[name].Sub(l.workload.leaving[name])) {
		return
	}
	l.recordWithheld(t, refusalLimit)
	l.withdrawStart(t)
	if t.machine.State() == taskStopping {
		t.leaving = true
		l.workload.leaving[name] = l.workload.leaving[name].Add(size)
	}
}

func (l *Loop) recordWithheld(t *task, reason string) {
	l.log.Record(anvilevent.StartWithheld, "task", t.id.String(), "run", t.run, "worker", t.worker.id(), "reason", reason)
	l.meter.Count("start.withheld." + reason)
	if reason == refusalTicket {
		l.meter.Count("ticket.lapsed")
	}
}
