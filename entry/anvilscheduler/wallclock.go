package anvilscheduler

import (
	"slices"

	"anvilhold.org/lib/anvilclock"
)

// wallClock estimates the time of day for jobs with occurrences at set times. The machine's time of day may jump by
// seconds and back, so it uses the median of many samples.
type wallClock struct {
	// offsets are samples of the time of day less the monotonic clock.
	offsets    []anvilclock.Millis
	nextSample anvilclock.Millis
}

// Sampling of the time of day: the samples cover about the last 15 s.
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

// now returns the estimated time of day, in milliseconds since 1970.
func (w *wallClock) now(c anvilclock.Clock) anvilclock.Millis {
	if len(w.offsets) == 0 {
		return c.Unix()
	}
	sorted := slices.Clone(w.offsets)
	slices.Sort(sorted)
	return c.Now() + sorted[len(sorted)/2]
}
