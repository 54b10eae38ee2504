package anvilscheduler

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Headroom that deferrable tasks leave to more urgent queues: a long task frees its capacity too late for a burst of
// short ones.
const (
	// maxDeferrablePoolUse is the use of a pool, in parts per million, up to which deferrable tasks start.
	maxDeferrablePoolUse = 880_000
	// maxDeferrableTeamUse is the use of their team's limit, in parts per million, up to which deferrable tasks start.
	maxDeferrableTeamUse = 850_000
	// minHeadroomUse is the use, in parts per million, below which no headroom is kept: a task that needs more than the
	// rest would never start.
	minHeadroomUse = 500_000
	// maxDeferral is how long a stage leaves headroom at most. Other work may keep the use above minHeadroomUse for ever.
	maxDeferral = anvilclock.Millis(30_000)
	// urgentShare is how long before its latest start a stage becomes urgent, in percent of its job's objective.
	urgentShare = 30
)

// deferrable reports whether a stage has to leave headroom: its pool has a more urgent queue, and its job can still
// wait, or is beyond its team's share or too late to be of worth.
func (p *passState) deferrable(r readyStage) bool {
	return !r.stage.step.LongRunning() && !r.urgency.urgent && p.now-r.stage.readyAt < maxDeferral &&
		r.queue.Priority() > p.pool(r.queue.Pool()).mostUrgent
}

// leavesHeadroom reports whether the pool and the team's limit keep their headroom after n more tasks of a deferrable
// stage, or are used so little that none is kept.
func (p *passState) leavesHeadroom(r readyStage, n int64) bool {
	snap := p.pool(r.queue.Pool())
	if !keepsHeadroom(snap.used, r.stage.step.Reservation().Scale(n), snap.capacity, maxDeferrablePoolUse) {
		return false
	}
	team, ok := p.loop.state.policy.Team(r.stage.job.sub.Team())
	if !ok {
		return true
	}
	return keepsHeadroom(p.loop.workload.usage[team.Name()], r.stage.step.Size().Scale(n), team.Limit(), maxDeferrableTeamUse)
}

// keepsHeadroom reports whether a size may be added to the used part of a total.
func keepsHeadroom(used, size, total anvilsize.Size, maxUse int64) bool {
	return used.Dominant(total) < minHeadroomUse || used.Add(size).Dominant(total) <= maxUse
}

// urgentFrom returns the time from which a stage with a latest start is urgent.
func urgentFrom(latestStart, objective anvilclock.Millis) anvilclock.Millis {
	return latestStart - objective*urgentShare/100
}
