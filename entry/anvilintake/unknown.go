package anvilintake

import "anvilhold.org/lib/anvilclock"

const (
	// maxApplyDelay is the time after a commit without an answer during which the store may still apply it.
	maxApplyDelay = anvilclock.Millis(20_000)
	// maxUnknownCommits bounds the ids that are kept.
	maxUnknownCommits = 4096
)

// unknownCommits holds the ids of submissions whose commits ended without an answer in the last maxApplyDelay. When there are more
// than it can hold, it reports every id as one of them for that time.
type unknownCommits struct {
	clock anvilclock.Clock
	at    map[string]anvilclock.Millis
	// order holds an entry for each id that was added, the oldest first.
	order []unknownCommit
	// incompleteUntil is when the last id that did not fit would have expired.
	incompleteUntil anvilclock.Millis
}

type unknownCommit struct {
	id string
	at anvilclock.Millis
}

func newUnknownCommits(clock anvilclock.Clock) *unknownCommits {
	return &unknownCommits{clock: clock, at: map[string]anvilclock.Millis{}}
}

func (u *unknownCommits) add(id string) {
	now := u.clock.Now()
	u.expire(now)
	if len(u.order) >= maxUnknownCommits {
		u.incompleteUntil = now + maxApplyDelay
		return
	}
	u.at[id] = now
	u.order = append(u.order, unknownCommit{id: id, at: now})
}

func (u *unknownCommits) has(id string) bool {
	now := u.clock.Now()
	u.expire(now)
	_, ok := u.at[id]
	return ok || now < u.incompleteUntil
}

func (u *unknownCommits) expire(now anvilclock.Millis) {
	n := 0
	for ; n < len(u.order) && now-u.order[n].at >= maxApplyDelay; n++ {
		if c := u.order[n]; u.at[c.id] == c.at {
			delete(u.at, c.id)
		}
	}
	u.order = u.order[n:]
}
