package anvilscheduler

import (
	"context"

	"anvilhold.org/lib/anvilclock"
)

// A process that lacks processor time sends orders late and reads the answers late. While it leads, the lateness of messages to its own
// loop shows by how much, so that it doesn't take its own delay for the silence of a worker.

const (
	// pulseInterval is the time between two measurements.
	pulseInterval = anvilclock.Millis(100)
	// latenessWindow is how long measurements are kept. It is longer than any order may take.
	latenessWindow = anvilclock.Millis(15_000)
)

// recentMaximum holds durations of the last latenessWindow.
type recentMaximum struct{ samples []sample }

// sample is a duration that was measured at a local time.
type sample struct{ at, value anvilclock.Millis }

// add adds a duration that is measured now.
func (r *recentMaximum) add(value, now anvilclock.Millis) {
	old := 0
	for old < len(r.samples) && now-r.samples[old].at > latenessWindow {
		old++
	}
	r.samples = append(r.samples[old:], sample{at: now, value: value})
}

// since returns the greatest duration from a local time on, or 0.
func (r *recentMaximum) since(from anvilclock.Millis) anvilclock.Millis {
	greatest := anvilclock.Millis(0)
	for i := len(r.samples) - 1; i >= 0 && r.samples[i].at >= from; i-- {
		greatest = max(greatest, r.samples[i].value)
	}
	return greatest
}

// lateness holds how late this instance's loop has processed its pulses.
type lateness struct {
	// expected is when the next pulse is due at the loop; 0 while none is.
	expected anvilclock.Millis
	pulses   recentMaximum
}

// record adds a pulse that was due and is processed now.
func (t *lateness) record(due, now anvilclock.Millis) {
	t.pulses.add(now-due, now)
	t.expected = now + pulseInterval
}

// since returns the greatest lateness from a local time until now, that of a pulse that is overdue included. It is 0 while
// nothing is measured.
func (t *lateness) since(from, now anvilclock.Millis) anvilclock.Millis {
	if t.expected == 0 {
		return 0
	}
	return max(now-t.expected, t.pulses.since(from))
}

// recentLateness returns the greatest lateness of the last orderTimeout.
func (l *Loop) recentLateness(now anvilclock.Millis) anvilclock.Millis {
	return l.lateness.since(now-orderTimeout, now)
}

// pulse is a message to the loop that was due at a local time.
type pulse struct {
	token int64
	due   anvilclock.Millis
}

func (m pulse) deliver(l *Loop) {
	if m.token != l.leadership.token {
		return
	}
	now := l.clock.Now()
	l.lateness.record(m.due, now)
	l.meter.Observe("loop.lateness", (now - m.due).Duration())
}

// sendPulses posts pulses until ctx ends.
func (l *Loop) sendPulses(ctx context.Context, token int64) {
	for {
		due := l.clock.Now() + pulseInterval
		if !sleep(ctx, pulseInterval) {
			return
		}
		l.post(pulse{token: token, due: due})
	}
}
