package anvilorder

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// The time for which a Forecast distinguishes when running tasks end. What ends later is assumed not to end.
const (
	forecastStep  = anvilclock.Millis(50)
	forecastSteps = 400
)

// usablePercent is the share of a pool that is assumed to be usable: parts that are smaller than a task stay free.
const usablePercent = 92

// Forecast is the capacity that a pool has for waiting work: what is free, and what running tasks will free. It is not safe
// for concurrent use.
type Forecast struct {
	now   anvilclock.Millis
	total anvilsize.Size
	free  anvilsize.Size
	// ends holds the sizes that are freed in each step of forecastStep.
	ends [forecastSteps]anvilsize.Size
	// level is the free capacity at the end of each step, supply its sum up to there in multiples of milliseconds. They
	// are nil until they are needed.
	level  []anvilsize.Size
	supply []anvilsize.Size
	// running holds the sizes that the tasks of each queue occupy.
	running map[string]anvilsize.Size
}

// NewForecast returns the forecast for an idle pool of a total size.
func NewForecast(now anvilclock.Millis, total anvilsize.Size) *Forecast {
	usable := total.Ratio(usablePercent, 100)
	return &Forecast{now: now, total: total, free: usable, running: map[string]anvilsize.Size{}}
}

// Occupy adds a running task of a queue that will end at a time.
func (f *Forecast) Occupy(queue string, size anvilsize.Size, end anvilclock.Millis) {
	f.supply = nil
	f.free = f.free.Sub(size)
	f.running[queue] = f.running[queue].Add(size)
	if step := (max(end, f.now) - f.now) / forecastStep; step < forecastSteps {
		f.ends[step] = f.ends[step].Add(size)
	}
}

// fits reports whether the pool has capacity for a demand, or else a dimension in which it has not.
func (f *Forecast) fits(d *demand) (anvilsize.Dimension, bool) {
	f.fill()
	step := min(int64(d.span/forecastStep), forecastSteps-1)
	if dim, exceeds := d.peak().Exceeds(f.level[step]); exceeds {
		return dim, false
	}
	dim, exceeds := d.turnover.Exceeds(f.supply[step])
	return dim, !exceeds
}

func (f *Forecast) fill() {
	if f.supply != nil {
		return
	}
	f.level, f.supply = make([]anvilsize.Size, forecastSteps), make([]anvilsize.Size, forecastSteps)
	// A pool that is fuller than usablePercent has shown that all of it is usable.
	free, sum := f.free.Max(anvilsize.Size{}), anvilsize.Size{}
	for i := range f.supply {
		free = free.Add(f.ends[i])
		f.level[i] = free
		sum = sum.Add(f.level[i].Scale(int64(forecastStep)))
		f.supply[i] = sum
	}
}
