package anvilplatform

import "anvilhold.org/lib/anvilclock"

// gang is the rendezvous of the members of one run of a gang.
type gang struct {
	// waiting holds the members that are present, each with the reply channel of its newest call.
	waiting map[string]chan<- anvilclock.Millis
	// startsAt is when the work starts, in milliseconds since 1970; 0 until all members are present.
	startsAt anvilclock.Millis
}

// gangStartDelay is the time from the arrival of the last member to the start of the work. All members must receive
// their reply within it.
const gangStartDelay = anvilclock.Millis(500)

// JoinGang records that a member of a gang is present. Once all members are, it replies to each with the time at which
// the work of all starts, in milliseconds since 1970. A member may call again; only its newest pending call is answered.
// The reply channel must have a buffer of at least one.
func (p *Platform) JoinGang(name, member string, members int, reply chan<- anvilclock.Millis) {
	if p.gangs == nil {
		p.gangs = map[string]*gang{}
	}
	g := p.gangs[name]
	if g == nil {
		g = &gang{waiting: map[string]chan<- anvilclock.Millis{}}
		p.gangs[name] = g
	}
	if g.startsAt != 0 {
		reply <- g.startsAt
		return
	}
	g.waiting[member] = reply
	if len(g.waiting) < members {
		return
	}
	g.startsAt = p.clock.Unix() + gangStartDelay
	for _, r := range g.waiting {
		r <- g.startsAt
	}
	g.waiting = nil
}
