package anvilplatform

import "anvilhold.org/lib/anvilclock"

// FaultKind is a kind of fault that can be injected into the platform, as written on the wire.
type FaultKind string

// Kinds of faults.
const (
	Unavailable  FaultKind = "busy"    // every call is answered with an error and changes nothing
	Throttling   FaultKind = "many"    // every call is answered with "too many requests" and changes nothing
	Unresponsive FaultKind = "mute"    // no call is carried out or answered
	Slow         FaultKind = "slow"    // every reply of the store takes a multiple of its usual time
	LostReplies  FaultKind = "lose"    // a percentage of the transactions is carried out, but their reply is lost
	Compaction   FaultKind = "compact" // feeds return no changes for compactionTime, then their history is compacted
)

// FaultKinds returns all kinds of faults. The order is part of the schedules that the load tool replays.
func FaultKinds() []FaultKind {
	return []FaultKind{Unavailable, Throttling, Unresponsive, Slow, LostReplies, Compaction}
}

// compactionTime is how long feeds return no changes before their history is compacted.
const compactionTime = anvilclock.Millis(1000)

// faults records until when each kind of fault is active, and with which parameters.
type faults struct {
	// until is when the newest fault of each kind ends.
	until map[FaultKind]anvilclock.Millis
	// factor is the factor by which Slow prolongs the time to a reply.
	factor anvilclock.Millis
	// lostPercent is the percentage of transactions that LostReplies affects.
	lostPercent int
}

// Inject starts a fault that lasts for d, or restarts it if it is active. strength is the factor for Slow, the percentage
// of lost replies for LostReplies, and ignored for other kinds. Compaction always lasts for compactionTime.
func (p *Platform) Inject(kind FaultKind, d anvilclock.Millis, strength int) {
	f := &p.faults
	if f.until == nil {
		f.until = map[FaultKind]anvilclock.Millis{}
	}
	switch kind {
	case Slow:
		f.factor = anvilclock.Millis(max(strength, 1))
	case LostReplies:
		f.lostPercent = strength
	case Compaction:
		d = compactionTime
	default:
	}
	f.until[kind] = p.clock.Now() + d
}

func (f *faults) active(kind FaultKind, now anvilclock.Millis) bool { return now < f.until[kind] }

// outcome returns the outcome of a call that arrives now: Answered unless a fault affects it.
func (f *faults) outcome(now anvilclock.Millis, random Rand, writes bool) Outcome {
	switch {
	case f.active(Unresponsive, now):
		return NoReply
	case f.active(Unavailable, now):
		return Refused
	case f.active(Throttling, now):
		return Overloaded
	case writes && f.active(LostReplies, now) && random.Percent() < f.lostPercent:
		return ReplyLost
	}
	return Answered
}

func (f *faults) slowdown(now anvilclock.Millis) anvilclock.Millis {
	if f.active(Slow, now) {
		return f.factor
	}
	return 1
}

func (f *faults) compacting(now anvilclock.Millis) bool { return f.active(Compaction, now) }

// tick compacts the history of the feeds when the Compaction fault ends.
func (f *faults) tick(p *Platform, now anvilclock.Millis) {
	if at, ok := f.until[Compaction]; ok && now >= at {
		delete(f.until, Compaction)
		p.compactedTo = p.table.Version()
	}
}
