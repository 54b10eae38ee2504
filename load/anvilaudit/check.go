package anvilaudit

import (
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anviltask"
)

// startedRuns returns the runs that have started, by the id of their request. Reservations that never
// started are left out.
func (a *audit) startedRuns() map[string][]*run {
	byRequest := make(map[string][]*run)
	for _, r := range a.runs {
		if r.startedAt > 0 {
			byRequest[r.request()] = append(byRequest[r.request()], r)
		}
	}
	return byRequest
}

func (a *audit) checkRequests() {
	starts := a.startedRuns()
	for _, r := range a.requests {
		runs := starts[r.id]
		a.checkAnswers(r)
		a.checkRefusals(r, runs)
		if r.kind != anviltask.Call && r.Outcome() == anvilerror.Done {
			a.checkEnd(r, runs)
		}
	}
}

func (a *audit) checkAnswers(r Request) {
	for _, t := range r.attempts {
		if t.outcome == NoAnswer {
			a.violate(Lost, t.sent, "request %s of team %s to %s has no outcome", r.id, r.team, t.instance)
		}
		if t.mismatch != "" {
			a.violate(Lost, t.sent, "request %s of team %s to %s: %s", r.id, r.team, t.instance, t.mismatch)
		}
	}
}

// checkRefusals finds requests that ran although their attempts had the outcome "not run". A start is compared
// with the refusals before the first attempt with another outcome, because a later start may belong to that
// attempt.
func (a *audit) checkRefusals(r Request, runs []*run) {
	refused := -1
	until := never
	for i, t := range r.attempts {
		if t.outcome != anvilerror.NotRun {
			until = t.sent - orderTolerance
			break
		}
		refused = i
	}
	for _, x := range runs {
		if refused >= 0 && x.startedAt < until {
			t := r.attempts[refused]
			a.violate(Lost, x.startedAt, "request %s of team %s was refused by %s (%s) but started on worker %s", r.id, r.team, t.instance, t.code, x.event.worker)
			return
		}
	}
	if r.once {
		a.checkOnceRefusals(r, runs)
	}
	if len(runs) > 0 && r.state == string(anvilerror.NotRun) {
		a.violate(Lost, runs[0].startedAt, "task %s of team %s has the state not-run but started on worker %s", r.id, r.team, runs[0].event.worker)
	}
}

// checkOnceRefusals finds attempts of a non-idempotent request that were answered "not run" after a start that
// any attempt had caused. The caller would send the work again under a new id and so run it twice.
func (a *audit) checkOnceRefusals(r Request, runs []*run) {
	for _, t := range r.attempts {
		if t.outcome != anvilerror.NotRun || t.code == Unsent {
			continue
		}
		for _, x := range runs {
			if x.startedAt < t.answered-orderTolerance {
				a.violate(Lost, x.startedAt, "non-idempotent request %s of team %s was refused by %s (%s) after its start on worker %s", r.id, r.team, t.instance, t.code, x.event.worker)
				return
			}
		}
	}
}

// checkEnd finds accepted tasks that never ended. If no instance reports the state of the task any more, the traces
// must show that it has succeeded.
func (a *audit) checkEnd(r Request, runs []*run) {
	if Final(r.state) {
		return
	}
	done := make(map[string]bool)
	for _, x := range runs {
		if x.state == "done" {
			done[x.event.task] = true
		}
	}
	if r.state == "" && len(done) >= r.count {
		return
	}
	a.violate(Lost, r.attempts[0].sent, "%s %s of team %s was accepted and is in state %q at the end, %d of %d tasks done", r.kind, r.id, r.team, r.state, len(done), r.count)
}

// checkGangs finds gang jobs of which only some tasks started although no worker of the job was lost and nobody
// requested their cancellation.
func (a *audit) checkGangs() {
	taskCounts := make(map[string]int)
	cancelled := make(map[string]bool)
	for _, r := range a.requests {
		if r.kind == anviltask.Gang {
			taskCounts[r.id], cancelled[r.id] = r.count, r.cancelRequested
		}
	}
	type gangRuns struct {
		held, started map[string]bool
		workerLost    bool
		at            anvilclock.Millis
	}
	jobs := make(map[string]*gangRuns)
	for _, r := range a.runs {
		if r.event.job == "" {
			continue
		}
		g := jobs[r.event.job]
		if g == nil {
			g = &gangRuns{held: make(map[string]bool), started: make(map[string]bool)}
			jobs[r.event.job] = g
		}
		g.held[r.event.task] = true
		g.workerLost = g.workerLost || r.workerLost
		if r.startedAt > 0 {
			g.started[r.event.task] = true
			g.at = r.startedAt
		}
	}
	for job, g := range jobs {
		n := max(taskCounts[job], len(g.held))
		if len(g.started) > 0 && len(g.started) < n && !g.workerLost && !cancelled[job] {
			a.violate(Lost, g.at, "gang job %s: only %d of %d tasks started although none of its workers was lost", job, len(g.started), n)
		}
	}
}

// checkKeys finds requests that started although their key was withdrawn more than propagationTime before they were
// sent.
func (a *audit) checkKeys() {
	starts := a.startedRuns()
	for _, r := range a.requests {
		if len(r.attempts) == 0 || len(starts[r.id]) == 0 {
			continue
		}
		first := r.attempts[0]
		for _, w := range a.withdrawals {
			// A start after the end of the withdrawal belongs to an attempt with the restored key.
			within := slices.ContainsFunc(starts[r.id], func(x *run) bool { return x.startedAt < w.interval.end() })
			if within && first.key == w.key && first.sent > w.interval.from+propagationTime && first.answered < w.interval.end() {
				a.violate(Stale, first.sent, "request %s of team %s started although its key was withdrawn at %d", r.id, r.team, int64(w.interval.from))
			}
		}
	}
}

func (a *audit) checkDepartures() {
	for _, r := range a.runs {
		for _, d := range a.departures {
			if r.event.worker == d.worker && r.reservedAt > d.interval.from+propagationTime && r.reservedAt < d.interval.end() {
				a.violate(Leaving, r.reservedAt, "task %s started on worker %s, leaving since %d", r.event.task, d.worker, int64(d.interval.from))
			}
		}
	}
}

func (a *audit) checkVersions() {
	highest := make(map[string]int64)
	for _, r := range a.readings {
		if r.version < highest[r.instance] {
			a.violate(Reverted, r.at, "instance %s went from version %d to %d", r.instance, highest[r.instance], r.version)
		}
		highest[r.instance] = max(highest[r.instance], r.version)
	}
	for _, r := range a.races {
		if r.accepted > 1 {
			a.violate(Reverted, r.at, "%d changes with the base version %d were accepted", r.accepted, r.base)
		}
	}
}

// checkStops finds requests whose connection an instance closed during its graceful stop.
func (a *audit) checkStops() {
	for _, r := range a.requests {
		for _, t := range r.attempts {
			for _, s := range a.stops {
				if t.code == Broken && t.instance == s.instance && t.answered > s.interval.from && t.answered <= s.interval.end()+orderTolerance {
					a.violate(Interrupted, t.answered, "request %s of team %s was interrupted by the stop of %s", r.id, r.team, t.instance)
				}
			}
		}
	}
}
