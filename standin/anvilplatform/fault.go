package anvilplatform

import "anvilhold.org/lib/anvilclock"

// FaultKind is a kind of fault of the store.
type FaultKind string

// The kinds.
const (
	Busy    FaultKind = "busy"    // every call is refused
	Many    FaultKind = "many"    // every call is told that there are too many
	Mute    FaultKind = "mute"    // no call is answered or carried out
	Slow    FaultKind = "slow"    // transactions take factor times as long
	Lose    FaultKind = "lose"    // a share of the transactions is carried out and not answered
	Compact FaultKind = "compact" // feeds hear nothing for a second, and then their history is gone
)

// FaultKinds lists the kinds.
func FaultKinds() []FaultKind { return []FaultKind{Busy, Many, Mute, Slow, Lose, Compact} }

// deafTime is how long feeds hear nothing before their history is gone.
const deafTime = anvilclock.Millis(1000)

// faults are the faults in force, by the time at which they end.
type faults struct {
	until  map[FaultKind]anvilclock.Millis
	factor anvilclock.Millis
	share  int
}

// Inject begins a fault that lasts for a time. The figure is the factor of a slow store, or the share of
// lost answers in percent.
func (s *Platform) Inject(t FaultKind, d anvilclock.Millis, figure int) {
	f := &s.faults
	if f.until == nil {
		f.until = map[FaultKind]anvilclock.Millis{}
	}
	switch t {
	case Slow:
		f.factor = anvilclock.Millis(max(figure, 1))
	case Lose:
		f.share = figure
	case Compact:
		d = deafTime
	default:
	}
	f.until[t] = s.clock.Now() + d
}

func (f *faults) active(t FaultKind, now anvilclock.Millis) bool { return now < f.until[t] }

// judge returns what becomes of a call.
func (f *faults) judge(now anvilclock.Millis, random Rand, writes bool) Outcome {
	switch {
	case f.active(Mute, now):
		return NoReply
	case f.active(Busy, now):
		return Refused
	case f.active(Many, now):
		return Overloaded
	case writes && f.active(Lose, now) && random.Percent() < f.share:
		return ReplyLost
	}
	return Answered
}

func (f *faults) slowness(now anvilclock.Millis) anvilclock.Millis {
	if f.active(Slow, now) {
		return f.factor
	}
	return 1
}

func (f *faults) deaf(now anvilclock.Millis) bool { return f.active(Compact, now) }

// tick drops the history when the feeds have heard nothing long enough.
func (f *faults) tick(s *Platform, now anvilclock.Millis) {
	if at, ok := f.until[Compact]; ok && now >= at {
		delete(f.until, Compact)
		s.floor = s.table.Version()
	}
}
