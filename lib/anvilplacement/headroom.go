package anvilplacement

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Headroom estimates how much of a pool batch work must leave free so that calls start at once. Batch tasks run
// for minutes and calls wait for seconds, so capacity taken by batch work becomes free too late for a burst.
// The estimate is the peak demand of calls within the window, less their present demand, and at least a floor,
// which covers the growth of a burst while batch tasks are being checkpointed. A pool without calls within the
// window needs no headroom. It is not safe for concurrent use.
type Headroom struct {
	window anvilclock.Millis
	margin int64
	floor  int64
	cap    int64
	pools  map[string]*demand
}

// demand is the demand of calls for one pool. total is the pool's capacity, needed the size of the calls that
// have arrived and not ended. peak is the largest value of needed in the current half of the window, previous
// that of the half before.
type demand struct {
	total     anvilsize.Size
	needed    anvilsize.Size
	peak      anvilsize.Size
	previous  anvilsize.Size
	halfStart anvilclock.Millis
}

// HeadroomOption configures a Headroom.
type HeadroomOption func(*Headroom)

// WithWindow sets how long a peak is remembered.
func WithWindow(d anvilclock.Millis) HeadroomOption { return func(h *Headroom) { h.window = d } }

// WithMargin sets by how many percent the peak demand is raised, to cover random variation.
func WithMargin(percent int64) HeadroomOption { return func(h *Headroom) { h.margin = percent } }

// WithFloor sets the percentage of a pool that stays free in the dimensions that calls use.
func WithFloor(percent int64) HeadroomOption { return func(h *Headroom) { h.floor = percent } }

// WithCap sets the largest percentage of a pool that is kept free.
func WithCap(percent int64) HeadroomOption { return func(h *Headroom) { h.cap = percent } }

// Defaults of the options. The window covers the time between two bursts of an editing session, and the margin
// covers random variation of the arrivals around the peak. With a floor of 10%, more than 1% of the calls in
// the first burst had to wait in one of three simulated runs. The cap leaves most of a small pool to batch
// work: on a single worker a short peak of calls kept batch work from starting for the whole window.
const (
	defaultWindow = anvilclock.Millis(1_200_000)
	defaultMargin = 25
	defaultFloor  = 15
	defaultCap    = 25

	// A burst is expected to demand at most this many times the earlier peak.
	burstFactor = 4
)

// NewHeadroom returns a Headroom without any recorded calls.
func NewHeadroom(opts ...HeadroomOption) *Headroom {
	h := &Headroom{window: defaultWindow, margin: defaultMargin, floor: defaultFloor, cap: defaultCap, pools: map[string]*demand{}}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// CallArrived adds a call of size s to the demand. Calls count from their arrival and not from their start: on
// a full pool none starts, and an estimate from running calls would stay at zero.
func (h *Headroom) CallArrived(pool string, s anvilsize.Size, now anvilclock.Millis) {
	d := h.demand(pool)
	h.rotate(d, now)
	d.needed = d.needed.Add(s)
	d.peak = d.peak.Max(d.needed)
}

// CallEnded removes a call of size s from the demand. It must be called once for each CallArrived, also for a call
// that never started.
func (h *Headroom) CallEnded(pool string, s anvilsize.Size, now anvilclock.Millis) {
	if d := h.pools[pool]; d != nil {
		h.rotate(d, now)
		d.needed = d.needed.Sub(s).Max(anvilsize.Size{})
	}
}

// Required returns the size that batch work must leave free.
func (h *Headroom) Required(pool string, now anvilclock.Millis) anvilsize.Size {
	d := h.pools[pool]
	if d == nil {
		return anvilsize.Size{}
	}
	h.rotate(d, now)
	return h.expected(d).Max(h.floorFor(d)).Min(d.total.Ratio(h.cap, 100))
}

// Shortfall returns how much of the floor is missing when the pool has the given size free. The caller stops
// batch tasks to free it, and counts tasks that are being stopped as free.
func (h *Headroom) Shortfall(pool string, free anvilsize.Size, now anvilclock.Millis) anvilsize.Size {
	d := h.pools[pool]
	if d == nil {
		return anvilsize.Size{}
	}
	h.rotate(d, now)
	return h.floorFor(d).Sub(free).Max(anvilsize.Size{})
}

// SetTotal sets the capacity of a pool, of which the floor and the cap are percentages.
func (h *Headroom) SetTotal(pool string, s anvilsize.Size) { h.demand(pool).total = s }

func (h *Headroom) demand(pool string) *demand {
	d := h.pools[pool]
	if d == nil {
		d = &demand{}
		h.pools[pool] = d
	}
	return d
}

// expected returns the additional demand of calls that the peak predicts.
func (h *Headroom) expected(d *demand) anvilsize.Size {
	return d.peak.Max(d.previous).Ratio(100+h.margin, 100).Sub(d.needed).Max(anvilsize.Size{})
}

// floorFor returns the capacity that stays free whatever the expected demand; it is less for a pool with few calls.
func (h *Headroom) floorFor(d *demand) anvilsize.Size {
	peak := d.peak.Max(d.previous)
	return d.total.Ratio(h.floor, 100).Min(peak.Scale(burstFactor))
}

// rotate starts a new half of the window when the current one has ended.
func (h *Headroom) rotate(d *demand, now anvilclock.Millis) {
	half := h.window / 2
	if now-d.halfStart < half {
		return
	}
	d.previous = d.peak
	if now-d.halfStart >= 2*half {
		d.previous = d.needed
	}
	d.peak, d.halfStart = d.needed, now
}
