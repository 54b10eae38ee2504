// Package anvilcontrolplane is the control state of the platform stand-in: table, objects, instance list,
// injected faults and rate caps. It does no I/O; one goroutine owns it.
package anvilcontrolplane

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"

	"anvilhold.org/standin/anvilfault"
	"anvilhold.org/standin/anvilregistry"
	"anvilhold.org/standin/anvilstore"
)

// Default rates and lag, as the platform states them.
const (
	DefaultWriteRate = 400
	DefaultReadRate  = 2000
	DefaultLag       = 1000
)

// collectEvery is the interval at which expired rows and instances are dropped without requests.
const collectInterval anvilclock.Millis = 1000

// overRateRetry is the retry time of a request above the cap.
const overRateRetryAfter anvilclock.Millis = 50

// ControlPlane is the state of the stand-in.
type ControlPlane struct {
	clock    anvilclock.Clock
	random   anvilfault.Rand
	lag      anvilclock.Millis
	writes   int64
	reads    int64
	table    *anvilstore.Table
	objects  *anvilstore.Objects
	registry *anvilregistry.Registry
	faults   *anvilfault.Set

	tableWrites  *bucket
	tableReads   *bucket
	objectWrites *bucket
	objectReads  *bucket
	collectedAt  anvilclock.Millis
}

// Option sets an optional part of a Hub.
type Option func(*ControlPlane)

// WithClock replaces the system clock.
func WithClock(c anvilclock.Clock) Option { return func(h *ControlPlane) { h.clock = c } }

// WithRates sets the caps in writes and reads a second. Table and objects each have them.
func WithRates(writes, reads int64) Option {
	return func(h *ControlPlane) { h.writes, h.reads = writes, reads }
}

// WithLag sets how far the instance list is behind.
func WithLag(d anvilclock.Millis) Option { return func(h *ControlPlane) { h.lag = d } }

// New returns an empty control plane.
func New(random anvilfault.Rand, opts ...Option) *ControlPlane {
	h := &ControlPlane{
		clock: anvilclock.NewSystem(), random: random, lag: DefaultLag, writes: DefaultWriteRate, reads: DefaultReadRate,
	}
	for _, opt := range opts {
		opt(h)
	}
	h.table = anvilstore.NewTable(h.clock)
	h.objects = anvilstore.NewObjects()
	h.registry = anvilregistry.New(h.clock, h.lag)
	h.collectedAt = h.clock.Now()
	h.faults = anvilfault.NewSet(h.clock, h.random)
	h.tableWrites, h.tableReads = newBucket(h.clock, h.writes), newBucket(h.clock, h.reads)
	h.objectWrites, h.objectReads = newBucket(h.clock, h.writes), newBucket(h.clock, h.reads)
	return h
}

// Next returns the time until the next Tick.
func (h *ControlPlane) Next() (anvilclock.Millis, bool) {
	return max(0, h.collectedAt+collectInterval-h.clock.Now()), true
}

// Tick drops what has expired.
func (h *ControlPlane) Tick() {
	h.collectedAt = h.clock.Now()
	h.table.Collect()
	h.registry.Advance()
}

// Judge returns what happens to a request from a region.
func (h *ControlPlane) FaultEffect(region string) anvilfault.Effect { return h.faults.Effect(region) }

// AddFault injects a fault.
func (h *ControlPlane) AddFault(f *anvilfault.Fault) error { return h.faults.Add(f) }

// Commit applies a change to the table and returns the new version or the row in conflict.
func (h *ControlPlane) Commit(c *anvilstore.Change) (version int64, conflict *anvilstore.Row, err error) {
	if !h.tableWrites.take() {
		return 0, nil, overRateError("table writes")
	}
	version, conflict = h.table.Commit(c)
	return version, conflict, nil
}

// Rows reads the rows under a prefix that changed after a version.
func (h *ControlPlane) Rows(prefix string, after int64) (rows []*anvilstore.Row, version int64, err error) {
	if !h.tableReads.take() {
		return nil, 0, overRateError("table reads")
	}
	rows, version = h.table.Rows(prefix, after)
	return rows, version, nil
}

// PutObject writes an object.
func (h *ControlPlane) PutObject(name string, data []byte) error {
	if !h.objectWrites.take() {
		return overRateError("object writes")
	}
	return h.objects.Put(name, data)
}

// GetObject reads an object.
func (h *ControlPlane) GetObject(name string) ([]byte, error) {
	if !h.objectReads.take() {
		return nil, overRateError("object reads")
	}
	return h.objects.Get(name)
}

// DeleteObject removes an object.
func (h *ControlPlane) DeleteObject(name string) error {
	if !h.objectWrites.take() {
		return overRateError("object writes")
	}
	h.objects.Delete(name)
	return nil
}

// Register adds or changes an instance.
func (h *ControlPlane) Register(in anvilregistry.Instance) error { return h.registry.Register(in) }

// Unregister removes an instance.
func (h *ControlPlane) Unregister(id string) { h.registry.Remove(id) }

// Instances returns the visible instances.
func (h *ControlPlane) Instances() []anvilregistry.Instance { return h.registry.List() }

func overRateError(what string) error {
	return anvilerror.Refuse(anvilerror.OverRate, what+" are over the cap", anvilerror.WithRetry(overRateRetryAfter))
}
