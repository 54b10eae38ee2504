package anvilscheduler

import "anvilhold.org/lib/anvilclock"

// observeTurn observes how long the loop was busy since a local time. The longest turn goes into the next summary.
func (l *Loop) observeTurn(since anvilclock.Millis) {
	took := l.clock.Now() - since
	l.longestTurn = max(l.longestTurn, took)
	l.meter.Observe("loop.turn", took.Duration())
}

// turnFields returns the longest turn since the last call and the number of messages that wait, as keys and values.
func (l *Loop) turnFields() []any {
	out := []any{"turn", int64(l.longestTurn), "inbox", len(l.inbox)}
	l.longestTurn = 0
	return out
}
