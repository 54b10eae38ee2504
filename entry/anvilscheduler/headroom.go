package anvilscheduler

import "anvilhold.org/lib/anvilclock"

// Headroom that tasks which can wait leave to more urgent queues: a long task that fills the room gives it
// back too late for a burst of short ones.
const (
	// headroomPool is the most of a pool, in parts of a million, that such tasks fill.
	headroomPool = 880_000
	// headroomTeam is the most of their team's limit, in parts of a million, that they use.
	headroomTeam = 850_000
	// pressedShare is the part of its objective, in percent, below which a job can no longer wait.
	pressedShare = 30
)

// mayWait reports whether a stage has to leave headroom: there is a more urgent queue in its pool, and its
// job can still wait.
func (p *placing) mayWait(c candidate) bool {
	return !c.s.step.LongRunning() && !c.urgency.pressed && c.queue.Priority() > p.boardOf(c.queue.Pool()).first
}

// leavesHeadroom reports whether n more tasks of a stage that may wait leave enough room.
func (p *placing) leavesHeadroom(c candidate, n int64) bool {
	b := p.boardOf(c.queue.Pool())
	if b.used.Add(c.s.step.Reservation().Scale(n)).Dominant(b.capacity) > headroomPool {
		return false
	}
	team, ok := p.loop.config.policy.Team(c.s.job.sub.Team())
	if !ok {
		return true
	}
	used := p.loop.work.usage[team.Name()].Add(c.s.step.Size().Scale(n))
	return used.Dominant(team.Limit()) <= headroomTeam
}

// pressedBy returns the time from which a job with an objective can no longer wait.
func pressedBy(latest, objective anvilclock.Millis) anvilclock.Millis {
	return latest - objective*pressedShare/100
}
