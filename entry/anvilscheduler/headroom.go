package anvilscheduler

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
)

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

// fill is how full a pool is in a pass.
type fill struct {
	used     anvilsize.Size
	capacity anvilsize.Size
	// first is the most urgent priority of the queues of the pool.
	first int
}

func (p *placing) fillOf(pool string) *fill {
	if f := p.fills[pool]; f != nil {
		return f
	}
	f := &fill{}
	for _, w := range p.loop.fleet.pools[pool] {
		if w.usable(p.now) {
			f.used, f.capacity = f.used.Add(w.used), f.capacity.Add(w.listed.capacity)
		}
	}
	f.first = firstPriority(p.loop.config.policy, pool)
	p.fills[pool] = f
	return f
}

func firstPriority(policy *anvilpolicy.Policy, pool string) int {
	first, found := 0, false
	for _, q := range policy.Queues() {
		if q.Pool() == pool && (!found || q.Priority() < first) {
			first, found = q.Priority(), true
		}
	}
	return first
}

// mayWait reports whether a stage has to leave headroom: there is a more urgent queue in its pool, and its
// job can still wait.
func (p *placing) mayWait(c candidate) bool {
	return !c.s.step.Lasting() && !c.urgency.pressed && c.queue.Priority() > p.fillOf(c.queue.Pool()).first
}

// leavesHeadroom reports whether n more tasks of a stage that may wait leave enough room.
func (p *placing) leavesHeadroom(c candidate, n int64) bool {
	f := p.fillOf(c.queue.Pool())
	if f.used.Add(c.s.step.Room().Scale(n)).Dominant(f.capacity) > headroomPool {
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
