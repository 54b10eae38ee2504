package anvilplatform

import "anvilhold.org/lib/anvilclock"

// gang is a run of a gang that gathers.
type gang struct {
	// waiting holds the members that are present, with what answers the newest question of each.
	waiting map[string]chan<- anvilclock.Millis
	began   anvilclock.Millis
}

// gatherLead is the time from the presence of the last member to the begin of the work, so that all members
// have heard of it.
const gatherLead = anvilclock.Millis(500)

// JoinGang notes that a member of a gang is present, and answers with the time since 1970 at which the work of
// all begins as soon as the last one is. The reply channel must have room for one time.
func (s *Platform) JoinGang(name, member string, members int, reply chan<- anvilclock.Millis) {
	if s.gangs == nil {
		s.gangs = map[string]*gang{}
	}
	g := s.gangs[name]
	if g == nil {
		g = &gang{waiting: map[string]chan<- anvilclock.Millis{}}
		s.gangs[name] = g
	}
	if g.began != 0 {
		reply <- g.began
		return
	}
	g.waiting[member] = reply
	if len(g.waiting) < members {
		return
	}
	g.began = s.clock.Unix() + gatherLead
	for _, r := range g.waiting {
		r <- g.began
	}
	g.waiting = nil
}
