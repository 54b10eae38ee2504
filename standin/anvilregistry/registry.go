// Package anvilregistry is the platform's list of instances. What readers see is a fixed lag behind
// the registrations. The package does no I/O and is not safe for concurrent use.
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

// Bounds of the list. The largest fleet has 5,600 workers.
const (
	maxInstances = 20_000
	maxText      = 256
)

// The states of an instance.
const (
	Live    = "live"
	Leaving = "leaving"
)

// Instance is an entry of the list. It is a value and can be compared.
type Instance struct {
	id, kind, addr, domain, region, pool, state string
	size                                        anvilsize.Size
}

// Option sets an optional part of an Instance.
type Option func(*Instance)

// WithPlace sets failure domain, region and pool.
func WithPlace(domain, region, pool string) Option {
	return func(in *Instance) { in.domain, in.region, in.pool = domain, region, pool }
}

// WithSize sets the capacity.
func WithSize(s anvilsize.Size) Option { return func(in *Instance) { in.size = s } }

// WithState sets the state; the default is Live.
func WithState(state string) Option { return func(in *Instance) { in.state = state } }

// NewInstance returns an instance, or the reason why it is malformed.
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
			return Instance{}, badInput("a text of an instance has more than %d bytes", maxText)
		}
	}
	return in, nil
}

// ID returns the id.
func (in Instance) ID() string { return in.id }

// Kind returns "entry" or "worker".
func (in Instance) Kind() string { return in.kind }

// Addr returns the address.
func (in Instance) Addr() string { return in.addr }

// Domain returns the failure domain.
func (in Instance) Domain() string { return in.domain }

// Region returns the region.
func (in Instance) Region() string { return in.region }

// Pool returns the pool of a worker.
func (in Instance) Pool() string { return in.pool }

// State returns Live or Leaving.
func (in Instance) State() string { return in.state }

// Size returns the capacity of a worker.
func (in Instance) Size() anvilsize.Size { return in.size }

// change is a registration or a removal that readers see from a time on.
type change struct {
	at      anvilclock.Millis
	in      Instance
	removed bool
}

// Registry is the list of instances.
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

// New returns an empty list whose readers are lag behind.
func New(clock anvilclock.Clock, lag anvilclock.Millis) *Registry {
	return &Registry{
		clock:       clock,
		lag:         lag,
		current:     map[string]Instance{},
		heartbeatAt: map[string]anvilclock.Millis{},
		visible:     map[string]Instance{},
	}
}

// Register adds or changes an instance and counts as its heartbeat.
func (r *Registry) Register(in Instance) error {
	r.Advance()
	if _, ok := r.current[in.id]; !ok && len(r.current) >= maxInstances {
		return anvilerror.Refuse(anvilerror.TooLarge, "the list of instances is full")
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

// Remove takes an instance off the list; a missing one is no error.
func (r *Registry) Remove(id string) {
	r.Advance()
	r.remove(id, r.clock.Now())
}

// List returns the visible instances in order of their ids; the caller must not change the slice.
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

// Advance removes instances without a heartbeat and shows the changes whose lag has passed.
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

// expire scans all instances, which heartbeats make necessary only every few seconds.
func (r *Registry) expire(now anvilclock.Millis) {
	r.nextExpiry = now + expiry
	for id, seen := range r.heartbeatAt {
		if now-seen >= expiry {
			r.remove(id, seen+expiry)
			continue
		}
		r.nextExpiry = min(r.nextExpiry, seen+expiry)
	}
}

func (r *Registry) remove(id string, at anvilclock.Millis) {
	in, ok := r.current[id]
	if !ok {
		return
	}
	delete(r.current, id)
	delete(r.heartbeatAt, id)
	r.enqueue(change{at: at, in: in, removed: true})
}

// show queues a change in order of time. A removal can be dated before changes of other instances.
func (r *Registry) enqueue(c change) {
	i := sort.Search(len(r.pending), func(i int) bool { return r.pending[i].at > c.at })
	r.pending = append(r.pending, change{})
	copy(r.pending[i+1:], r.pending[i:])
	r.pending[i] = c
}

func badInput(format string, args ...any) error {
	return anvilerror.Refuse(anvilerror.BadInput, fmt.Sprintf(format, args...))
}
