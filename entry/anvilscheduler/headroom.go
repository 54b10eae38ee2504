package anvilscheduler

import "anvilhold.org/lib/anvilclock"

// Headroom that tasks which can wait leave to more urgent queues: a long task that fills the room gives it
// back too late for a burst of short ones.
const (
	// maxDeferrablePoolUse is the most of a pool, in parts of a million, that such tasks fill.
	maxDeferrablePoolUse = 880_000
	// maxDeferrableTeamUse is the most of their team's limit, in parts of a million, that they use.
	maxDeferrableTeamUse = 850_000
	// urgentShare is the part of its objective, in percent, below which a job can no longer wait.
	urgentShare = 30
)

// deferrable reports whether a stage has to leave headroom: there is a more urgent queue in its pool, and its
// job can still wait.
func (p *passState) deferrable(r readyStage) bool {
	return !r.stage.step.LongRunning() && !r.urgency.urgent && r.queue.Priority() > p.pool(r.queue.Pool()).mostUrgent
}

// leavesHeadroom reports whether n more tasks of a stage that may wait leave enough room.
func (p *passState) leavesHeadroom(r readyStage, n int64) bool {
	snap := p.pool(r.queue.Pool())
	if snap.used.Add(r.stage.step.Reservation().Scale(n)).Dominant(snap.capacity) > maxDeferrablePoolUse {
		return false
	}
	team, ok := p.loop.config.policy.Team(r.stage.job.sub.Team())
	if !ok {
		return true
	}
	used := p.loop.work.usage[team.Name()].Add(r.stage.step.Size().Scale(n))
	return used.Dominant(team.Limit()) <= maxDeferrableTeamUse
}

// urgentFrom returns the time from which a job with an objective can no longer wait.
func urgentFrom(latestStart, objective anvilclock.Millis) anvilclock.Millis {
	return latestStart - objective*urgentShare/100
}
