package anvilscheduler

import (
	"slices"

	"anvilhold.org/lib/anvilclock"
)

// wallClock estimates the time of day for jobs that are due at set times. The machine's time of day may
// jump by seconds and back, so the median of many readings counts.
type wallClock struct {
	offsets    []anvilclock.Millis
	nextSample anvilclock.Millis
}

// Readings of the time of day.
const (
	maxWallSamples     = 61
	wallSampleInterval = anvilclock.Millis(250)
)

func (w *wallClock) sample(c anvilclock.Clock) {
	now := c.Now()
	if now < w.nextSample {
		return
	}
	w.nextSample = now + wallSampleInterval
	w.offsets = append(w.offsets, c.Unix()-now)
	if len(w.offsets) > maxWallSamples {
		w.offsets = w.offsets[1:]
	}
}

// now returns milliseconds since 1970.
func (w *wallClock) now(c anvilclock.Clock) anvilclock.Millis {
	if len(w.offsets) == 0 {
		return c.Unix()
	}
	sorted := slices.Clone(w.offsets)
	slices.Sort(sorted)
	return c.Now() + sorted[len(sorted)/2]
}
