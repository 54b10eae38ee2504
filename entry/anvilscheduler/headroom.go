package anvilscheduler

import "anvilhold.org/lib/anvilclock"

// Headroom that deferrable tasks leave to more urgent queues: a long task frees its capacity too late for a burst of
// short ones.
const (
	// maxDeferrablePoolUse is the use of a pool, in parts per million, up to which deferrable tasks start.
	maxDeferrablePoolUse = 880_000
	// maxDeferrableTeamUse is the use of their team's limit, in parts per million, up to which deferrable tasks start.
	maxDeferrableTeamUse = 850_000
	// urgentShare is how long before its latest start a stage becomes urgent, in percent of its job's objective.
	urgentShare = 30
)

// deferrable reports whether a stage has to leave headroom: its pool has a more urgent queue, and its job can still
// wait.
func (p *passState) deferrable(r readyStage) bool {
	return !r.stage.step.LongRunning() && !r.urgency.urgent && r.queue.Priority() > p.pool(r.queue.Pool()).mostUrgent
}

// leavesHeadroom reports whether the pool and the team's limit keep their headroom after n more tasks of a deferrable
// stage.
func (p *passState) leavesHeadroom(r readyStage, n int64) bool {
	snap := p.pool(r.queue.Pool())
	if snap.used.Add(r.stage.step.Reservation().Scale(n)).Dominant(snap.capacity) > maxDeferrablePoolUse {
		return false
	}
	team, ok := p.loop.state.policy.Team(r.stage.job.sub.Team())
	if !ok {
		return true
	}
	used := p.loop.workload.usage[team.Name()].Add(r.stage.step.Size().Scale(n))
	return used.Dominant(team.Limit()) <= maxDeferrableTeamUse
}

// urgentFrom returns the time from which a stage with a latest start is urgent.
func urgentFrom(latestStart, objective anvilclock.Millis) anvilclock.Millis {
	return latestStart - objective*urgentShare/100
}
