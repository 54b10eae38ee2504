// Package anvilregistry is the instance registry of the platform stand-in. Registrations and removals become visible to
// readers after a fixed lag. The package does no I/O and is not safe for concurrent use.
package anvilregistry

import (
	"fmt"
	"sort"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
)

// expiry is how long an instance stays registered without a heartbeat.
const expiry anvilclock.Millis = 5000

// Limits of the registry: the number of instances, and the bytes of each text field of an instance. The largest fleet has
// 5,600 workers.
const (
	maxInstances = 20_000
	maxText      = 256
)

// States of an instance.
const (
	Live    = "live"
	Leaving = "leaving"
)

// Instance is a registered entry instance or worker. It is an immutable value and can be compared with ==.
type Instance struct {
	id, kind, addr, domain, region, pool, state string
	size                                        anvilsize.Size
}

// Option sets an optional part of an Instance.
type Option func(*Instance)

// WithLocation sets failure domain, region and, for a worker, its pool.
func WithLocation(domain, region, pool string) Option {
	return func(in *Instance) { in.domain, in.region, in.pool = domain, region, pool }
}

// WithSize sets the capacity of a worker.
func WithSize(s anvilsize.Size) Option { return func(in *Instance) { in.size = s } }

// WithState sets the state, Live or Leaving; empty means Live, which is the default.
func WithState(state string) Option { return func(in *Instance) { in.state = state } }

// NewInstance returns an instance, or an error with code BadInput that says why it is malformed. kind is "entry" or
// "worker"; addr is the address that it listens on.
func NewInstance(id, kind, addr string, opts ...Option) (Instance, error) {
	in := Instance{id: id, kind: kind, addr: addr, state: Live}
	for _, opt := range opts {
		opt(&in)
	}
	if in.state == "" {
		in.state = Live
	}
	switch {
	case id == "":
		return Instance{}, badInput("an instance needs an id")
	case addr == "":
		return Instance{}, badInput("an instance needs an address")
	case kind != "entry" && kind != "worker":
		return Instance{}, badInput("kind must be entry or worker, not %q", kind)
	case in.state != Live && in.state != Leaving:
		return Instance{}, badInput("state must be live or leaving, not %q", in.state)
	case in.size.Negative():
		return Instance{}, badInput("size must not be negative")
	}
	for _, text := range []string{id, addr, in.domain, in.region, in.pool} {
		if len(text) > maxText {
			return Instance{}, badInput("a field of an instance has more than %d bytes", maxText)
		}
	}
	return in, nil
}

// ID returns the id, which is unique in the registry.
func (in Instance) ID() string { return in.id }

// Kind returns "entry" or "worker".
func (in Instance) Kind() string { return in.kind }

// Addr returns the address that the instance listens on.
func (in Instance) Addr() string { return in.addr }

// Domain returns the failure domain, which may be empty.
func (in Instance) Domain() string { return in.domain }

// Region returns the region, which may be empty.
func (in Instance) Region() string { return in.region }

// Pool returns the pool. Only workers have one.
func (in Instance) Pool() string { return in.pool }

// State returns Live or Leaving.
func (in Instance) State() string { return in.state }

// Size returns the capacity. Only workers have one.
func (in Instance) Size() anvilsize.Size { return in.size }

// change is a registration or removal that happened at a time and becomes visible to readers when the lag has passed.
type change struct {
	at      anvilclock.Millis
	in      Instance
	removed bool
}

// Registry is the set of registered instances.
type Registry struct {
	clock       anvilclock.Clock
	lag         anvilclock.Millis
	current     map[string]Instance
	heartbeatAt map[string]anvilclock.Millis
	nextExpiry  anvilclock.Millis // no instance expires before this time
	pending     []change
	visible     map[string]Instance
	sorted      []Instance
}

// New returns an empty registry whose changes become visible after lag.
func New(clock anvilclock.Clock, lag anvilclock.Millis) *Registry {
	return &Registry{
		clock:       clock,
		lag:         lag,
		current:     map[string]Instance{},
		heartbeatAt: map[string]anvilclock.Millis{},
		visible:     map[string]Instance{},
	}
}

// Register adds or replaces an instance and counts as its heartbeat. It returns an error when the registry is full.
func (r *Registry) Register(in Instance) error {
	r.Advance()
	if _, ok := r.current[in.id]; !ok && len(r.current) >= maxInstances {
		return anvilerror.Refuse(anvilerror.TooLarge, "the instance registry is full")
	}
	now := r.clock.Now()
	r.heartbeatAt[in.id] = now
	if old, ok := r.current[in.id]; ok && old == in {
		return nil
	}
	r.current[in.id] = in
	r.enqueue(change{at: now, in: in})
	return nil
}

// Remove removes an instance, if it is registered.
func (r *Registry) Remove(id string) {
	r.Advance()
	r.remove(id, r.clock.Now())
}

// List returns the instances that are visible to readers, in order of their ids. The caller must not change the slice.
func (r *Registry) List() []Instance {
	r.Advance()
	if r.sorted == nil {
		r.sorted = make([]Instance, 0, len(r.visible))
		for _, in := range r.visible {
			r.sorted = append(r.sorted, in)
		}
		sort.Slice(r.sorted, func(i, k int) bool { return r.sorted[i].id < r.sorted[k].id })
	}
	return r.sorted
}

// Advance removes instances whose heartbeat has expired and makes changes visible whose lag has passed.
func (r *Registry) Advance() {
	now := r.clock.Now()
	if now >= r.nextExpiry {
		r.expire(now)
	}
	n := 0
	for ; n < len(r.pending) && now-r.pending[n].at >= r.lag; n++ {
		c := r.pending[n]
		if c.removed {
			delete(r.visible, c.in.id)
		} else {
			r.visible[c.in.id] = c.in
		}
		r.sorted = nil
	}
	r.pending = r.pending[n:]
}

// expire removes the instances without a heartbeat for the expiry time and sets the time of the next scan. As heartbeats
// arrive every second, that is a few seconds later.
func (r *Registry) expire(now anvilclock.Millis) {
	r.nextExpiry = now + expiry
	for id, last := range r.heartbeatAt {
		if now-last >= expiry {
			r.remove(id, last+expiry)
			continue
		}
		r.nextExpiry = min(r.nextExpiry, last+expiry)
	}
}

// remove removes an instance as of the time at, which can be in the past.
func (r *Registry) remove(id string, at anvilclock.Millis) {
	in, ok := r.current[id]
	if !ok {
		return
	}
	delete(r.current, id)
	delete(r.heartbeatAt, id)
	r.enqueue(change{at: at, in: in, removed: true})
}

// enqueue inserts a change into the pending ones, ordered by time. An expired instance is removed as of its expiry, which
// can be before pending changes of other instances.
func (r *Registry) enqueue(c change) {
	i := sort.Search(len(r.pending), func(i int) bool { return r.pending[i].at > c.at })
	r.pending = append(r.pending, change{})
	copy(r.pending[i+1:], r.pending[i:])
	r.pending[i] = c
}

func badInput(format string, args ...any) error {
	return anvilerror.Refuse(anvilerror.BadInput, fmt.Sprintf(format, args...))
}
