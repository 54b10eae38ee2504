package anvilaudit

import (
	"cmp"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// run is one execution of a task on a worker, or a reservation for a gang task.
type run struct {
	event      Event
	reservedAt anvilclock.Millis // when its capacity was reserved
	startedAt  anvilclock.Millis // when it started, 0 for a reservation that was released
	endedAt    anvilclock.Millis
	state      string
	workerLost bool // its worker exited or its lease expired before the task ended
}

// request returns the id of the request that the run belongs to: its gang job, or else its task.
func (r *run) request() string {
	if r.event.job != "" {
		return r.event.job
	}
	return r.event.task
}

// replay turns a trace into runs and checks the worker's size. It processes the events in the order of the file,
// which is the order in which the worker changed its own state.
func (a *audit) replay(t Trace) {
	active := make(map[string]*run)
	var size, used anvilsize.Size
	var last anvilclock.Millis
	for _, e := range t.events {
		last = max(last, e.at)
		switch e.kind {
		case Boot:
			size = e.size
		case Start, Hold:
			if r := active[e.task]; r != nil {
				a.violate(Doubled, e.at, "task %s started again on worker %s, where it has been running since %d", e.task, e.worker, int64(r.reservedAt))
				continue
			}
			r := &run{event: e, reservedAt: e.at, endedAt: never}
			if e.kind == Start {
				r.startedAt = e.at
			}
			active[e.task] = r
			a.runs = append(a.runs, r)
			used = used.Add(e.size)
			if d, over := used.Exceeds(size); over {
				a.violate(Overcommitted, e.at, "worker %s boot %s: %s %d of %d after the start of %s", e.worker, e.boot, d, used.In(d), size.In(d), e.task)
			}
		case Go:
			if r := active[e.task]; r != nil && r.startedAt == 0 {
				r.startedAt = e.at
			}
		case End:
			if r := active[e.task]; r != nil {
				a.close(t, r, e)
				used = used.Sub(r.event.size)
				delete(active, e.task)
			}
		case Refuse:
		}
	}
	if t.ended == 0 {
		return
	}
	ended := max(t.ended, last)
	for _, p := range t.pauses {
		if p.end() >= t.ended && p.from < t.ended {
			ended = max(min(ended, p.from+a.lease), last)
		}
	}
	for _, r := range active {
		r.endedAt, r.workerLost = ended, true
	}
}

// close ends a run. A paused process does no work. If its lease expired during a pause, the run ended with the
// lease, although the trace shows the end only after the process was resumed.
func (a *audit) close(t Trace, r *run, e Event) {
	r.endedAt, r.state = e.at, e.state
	for _, p := range t.pauses {
		expiry := p.from + a.lease
		afterResume := r.reservedAt <= p.from && e.at >= p.end() && e.at <= p.end()+resumeGrace
		if afterResume && expiry < e.at && e.state != "done" && e.state != "failed" {
			r.endedAt, r.workerLost = expiry, true
		}
	}
}

// checkDoubled finds tasks that ran on two workers at once and non-idempotent ones that started twice.
func (a *audit) checkDoubled() {
	byTask := make(map[string][]*run)
	for _, r := range a.runs {
		if r.startedAt == 0 {
			continue
		}
		a.report.starts++
		byTask[r.event.task] = append(byTask[r.event.task], r)
	}
	for task, runs := range byTask {
		slices.SortFunc(runs, func(x, y *run) int { return cmp.Compare(x.startedAt, y.startedAt) })
		last := runs[0]
		for _, r := range runs[1:] {
			if r.startedAt < last.endedAt-orderTolerance {
				a.violate(Doubled, r.startedAt, "task %s started on worker %s while it ran on worker %s (%d to %d)", task, r.event.worker, last.event.worker, int64(last.startedAt), int64(last.endedAt))
			} else if r.event.once {
				a.violate(Doubled, r.startedAt, "non-idempotent task %s started on worker %s after its start on worker %s at %d", task, r.event.worker, last.event.worker, int64(last.startedAt))
			}
			if r.endedAt > last.endedAt {
				last = r
			}
		}
	}
}

// usageChange is a change of the capacity that a team uses, by the start or the end of a run.
type usageChange struct {
	at    anvilclock.Millis
	size  anvilsize.Size
	start bool
	run   *run
}

// checkLimits compares the total size of each team's runs and reservations across the fleet with the team's limit.
func (a *audit) checkLimits() {
	byTeam := make(map[string][]usageChange)
	for _, r := range a.runs {
		team := r.event.team
		if team == "" {
			continue
		}
		byTeam[team] = append(byTeam[team],
			usageChange{at: r.reservedAt, size: r.event.size, start: true, run: r},
			usageChange{at: max(r.endedAt-orderTolerance, r.reservedAt), size: anvilsize.Size{}.Sub(r.event.size), run: r})
	}
	for team, changes := range byTeam {
		slices.SortStableFunc(changes, func(x, y usageChange) int {
			return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(sortRank(x), sortRank(y)))
		})
		var used anvilsize.Size
		for _, s := range changes {
			used = used.Add(s.size)
			if !s.start {
				continue
			}
			limit := a.limit(team, s.at)
			if d, over := used.Exceeds(limit); over {
				a.violate(Overlimit, s.at, "team %s: %s %d of %d after the start of %s on worker %s", team, d, used.In(d), limit.In(d), s.run.event.task, s.run.event.worker)
			}
		}
	}
}

// sortRank orders changes at the same time: ends of earlier runs first, so that their capacity is free again, then
// starts, then ends of runs that took no time.
func sortRank(s usageChange) int {
	switch {
	case s.start:
		return 1
	case s.at > s.run.reservedAt:
		return 0
	default:
		return 2
	}
}

// limit returns the highest limit of a team that may be in force at a time. Until propagationTime after the
// acceptance of a change, earlier limits may still be in force.
func (a *audit) limit(team string, at anvilclock.Millis) anvilsize.Size {
	var limit anvilsize.Size
	for i := len(a.limitChanges) - 1; i >= 0; i-- {
		l := a.limitChanges[i]
		if l.team != team || l.sent > at {
			continue
		}
		limit = limit.Max(l.limit)
		if l.accepted > 0 && l.accepted+propagationTime < at {
			break
		}
	}
	return limit
}
