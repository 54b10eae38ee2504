// Package anvilcontrolplane holds the control state of the platform stand-in: table, object store, instance registry,
// injected faults and rate limits. It does no I/O. A ControlPlane is not safe for concurrent use; one goroutine owns it.
package anvilcontrolplane

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"

	"anvilhold.org/standin/anvilfault"
	"anvilhold.org/standin/anvilregistry"
	"anvilhold.org/standin/anvilstore"
)

// Defaults as the platform documents them: writes and reads per second, and the registry's lag in milliseconds.
const (
	DefaultWriteRate = 400
	DefaultReadRate  = 2000
	DefaultLag       = 1000
)

// collectInterval is the interval at which expired rows and instances are removed, also when no requests arrive.
const collectInterval anvilclock.Millis = 1000

// overRateRetryDelay is the retry delay sent with the refusal of a request above the rate limit.
const overRateRetryDelay anvilclock.Millis = 50

// ControlPlane is the control state of the platform stand-in.
type ControlPlane struct {
	clock     anvilclock.Clock
	random    anvilfault.Rand
	lag       anvilclock.Millis
	writeRate int64
	readRate  int64
	table     *anvilstore.Table
	objects   *anvilstore.Objects
	registry  *anvilregistry.Registry
	faults    *anvilfault.Set

	tableWrites  *bucket
	tableReads   *bucket
	objectWrites *bucket
	objectReads  *bucket
	collectedAt  anvilclock.Millis
}

// Option sets an optional part of a ControlPlane.
type Option func(*ControlPlane)

// WithClock replaces the system clock.
func WithClock(c anvilclock.Clock) Option { return func(cp *ControlPlane) { cp.clock = c } }

// WithRates sets the limits in writes and reads per second. They apply to the table and to the object store separately.
func WithRates(writes, reads int64) Option {
	return func(cp *ControlPlane) { cp.writeRate, cp.readRate = writes, reads }
}

// WithLag sets the delay until a registration or removal is visible to readers of the registry.
func WithLag(d anvilclock.Millis) Option { return func(cp *ControlPlane) { cp.lag = d } }

// New returns a control plane without rows, objects, instances and faults. random selects the requests that a fault
// affects.
func New(random anvilfault.Rand, opts ...Option) *ControlPlane {
	cp := &ControlPlane{
		clock: anvilclock.NewSystem(), random: random, lag: DefaultLag, writeRate: DefaultWriteRate, readRate: DefaultReadRate,
	}
	for _, opt := range opts {
		opt(cp)
	}
	cp.table = anvilstore.NewTable(cp.clock)
	cp.objects = anvilstore.NewObjects()
	cp.registry = anvilregistry.New(cp.clock, cp.lag)
	cp.collectedAt = cp.clock.Now()
	cp.faults = anvilfault.NewSet(cp.clock, cp.random)
	cp.tableWrites, cp.tableReads = newBucket(cp.clock, cp.writeRate), newBucket(cp.clock, cp.readRate)
	cp.objectWrites, cp.objectReads = newBucket(cp.clock, cp.writeRate), newBucket(cp.clock, cp.readRate)
	return cp
}

// Next returns the time until the next Tick is due. The second result is always true.
func (cp *ControlPlane) Next() (anvilclock.Millis, bool) {
	return max(0, cp.collectedAt+collectInterval-cp.clock.Now()), true
}

// Tick removes expired tombstones and instances.
func (cp *ControlPlane) Tick() {
	cp.collectedAt = cp.clock.Now()
	cp.table.Collect()
	cp.registry.Advance()
}

// FaultEffect returns what the injected faults do to a request from a region. Each call draws its own random numbers.
func (cp *ControlPlane) FaultEffect(region string) anvilfault.Effect { return cp.faults.Effect(region) }

// AddFault injects a fault; one of kind none removes all faults. It fails when too many faults are active.
func (cp *ControlPlane) AddFault(f *anvilfault.Fault) error { return cp.faults.Add(f) }

// Commit applies a change to the table. It returns the new version of the table, or, if a check failed, its present
// version and the row in conflict. The error says that writes are over the rate limit.
func (cp *ControlPlane) Commit(c *anvilstore.Change) (version int64, conflict *anvilstore.Row, err error) {
	if !cp.tableWrites.take() {
		return 0, nil, overRateError("table writes")
	}
	version, conflict = cp.table.Commit(c)
	return version, conflict, nil
}

// Rows returns the rows, tombstones included, whose key has a prefix and whose version is above after, and the table
// version that the read reflects. The error says that reads are over the rate limit.
func (cp *ControlPlane) Rows(prefix string, after int64) (rows []*anvilstore.Row, version int64, err error) {
	if !cp.tableReads.take() {
		return nil, 0, overRateError("table reads")
	}
	rows, version = cp.table.Rows(prefix, after)
	return rows, version, nil
}

// PutObject writes an object and keeps data. It fails above the rate limit, and for an invalid name or too much data.
func (cp *ControlPlane) PutObject(name string, data []byte) error {
	if !cp.objectWrites.take() {
		return overRateError("object writes")
	}
	return cp.objects.Put(name, data)
}

// GetObject returns an object, which the caller must not change. It fails above the rate limit and when the object
// doesn't exist.
func (cp *ControlPlane) GetObject(name string) ([]byte, error) {
	if !cp.objectReads.take() {
		return nil, overRateError("object reads")
	}
	return cp.objects.Get(name)
}

// DeleteObject deletes an object, if it exists. It fails above the rate limit.
func (cp *ControlPlane) DeleteObject(name string) error {
	if !cp.objectWrites.take() {
		return overRateError("object writes")
	}
	cp.objects.Delete(name)
	return nil
}

// Register adds an instance to the registry or replaces it, and counts as a heartbeat.
func (cp *ControlPlane) Register(in anvilregistry.Instance) error { return cp.registry.Register(in) }

// Unregister removes an instance from the registry, if it is registered.
func (cp *ControlPlane) Unregister(id string) { cp.registry.Remove(id) }

// Instances returns the instances that readers see, in order of their ids. The caller must not change the slice.
func (cp *ControlPlane) Instances() []anvilregistry.Instance { return cp.registry.List() }

func overRateError(what string) error {
	return anvilerror.Refuse(anvilerror.OverRate, what+" are over the rate limit", anvilerror.WithRetry(overRateRetryDelay))
}
