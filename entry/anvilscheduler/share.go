package anvilscheduler

import "anvilhold.org/lib/anvilclock"

// share is a bucket of the jobs that a team may send; it fills with the team's weight in jobs a second.
type share struct {
	left float64
	at   anvilclock.Millis
}

// withinShare counts a job of a team and reports whether it is within the team's share.
func (l *Loop) withinShare(team string, at anvilclock.Millis) bool {
	if l.config.policy == nil {
		return true
	}
	t, ok := l.config.policy.Team(team)
	if !ok || t.Weight() <= 0 {
		return true
	}
	most := t.Weight() * float64(shareWindow) / 1000
	b := l.work.shares[team]
	if b == nil {
		b = &share{left: most, at: at}
		l.work.shares[team] = b
	}
	if at > b.at {
		b.left = min(most, b.left+t.Weight()*float64(at-b.at)/1000)
		b.at = at
	}
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
