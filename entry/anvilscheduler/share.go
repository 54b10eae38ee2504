package anvilscheduler

import "anvilhold.org/lib/anvilclock"

// shareBucket is a token bucket: each job of a team takes a token, and tokens are added at the team's weight per
// second.
type shareBucket struct {
	tokens    float64
	updatedAt anvilclock.Millis
}

// withinShare takes a token for a job of a team that arrived at a time, and reports whether there was one. Teams
// without a weight are not limited.
func (l *Loop) withinShare(team string, at anvilclock.Millis) bool {
	if l.state.policy == nil {
		return true
	}
	t, ok := l.state.policy.Team(team)
	if !ok || t.Weight() <= 0 {
		return true
	}
	limit := t.Weight() * float64(shareWindow) / 1000
	b := l.workload.shareBuckets[team]
	if b == nil {
		b = &shareBucket{tokens: limit, updatedAt: at}
		l.workload.shareBuckets[team] = b
	}
	if at > b.updatedAt {
		b.tokens = min(limit, b.tokens+t.Weight()*float64(at-b.updatedAt)/1000)
		b.updatedAt = at
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
