package anvilplacement

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilworker"
)

// Filter rejects workers that a task may not use, for instance because the team's part of the
// limit in the worker's shard is used up.
type Filter interface {
	Allow(w *anvilworker.Worker) bool
}

// GroupFilter is a Filter that can reject all workers of a group at once. The cost of a decision
// is then independent of the number of workers that it rejects.
type GroupFilter interface {
	Filter
	AllowGroup(group string) bool
}

// Request is what a decision needs to know of a task.
type Request struct {
	pool     string
	kind     anviltask.Kind
	size     anvilsize.Size
	count    int
	near     string
	spread   map[string]int
	filter   Filter
	reserved []*Reservation
	end      anvilclock.Millis
}

// Option sets an optional part of a Request.
type Option func(*Request)

// WithCount asks for n places that are taken together.
func WithCount(n int) Option { return func(r *Request) { r.count = n } }

// WithNear sets the failure domain that is preferred among workers whose free size differs by less
// than a twentieth of their capacity.
func WithNear(domain string) Option { return func(r *Request) { r.near = domain } }

// WithSpread gives the number of replicas that already run in each failure domain.
func WithSpread(domains map[string]int) Option { return func(r *Request) { r.spread = domains } }

// WithFilter sets the filter.
func WithFilter(f Filter) Option { return func(r *Request) { r.filter = f } }

// WithBackfill keeps the request off the workers of reservations unless it ends, at the time end,
// before the reservation begins. An end of 0 means that the end is not known.
func WithBackfill(end anvilclock.Millis, reserved ...*Reservation) Option {
	return func(r *Request) { r.reserved, r.end = reserved, end }
}

// NewRequest returns a request for one place.
func NewRequest(pool string, k anviltask.Kind, s anvilsize.Size, opts ...Option) Request {
	r := Request{pool: pool, kind: k, size: s, count: 1}
	for _, opt := range opts {
		opt(&r)
	}
	return r
}

// spreads reports whether the request goes to the emptiest worker rather than the fullest.
func (r *Request) spreads() bool { return r.kind == anviltask.Call || r.kind == anviltask.Service }

func (r *Request) allow(w *anvilworker.Worker) bool {
	return w.Schedulable() && r.size.Fits(w.Free()) && r.may(w)
}

// may reports whether reservations and the filter let the request use w.
func (r *Request) may(w *anvilworker.Worker) bool {
	for _, res := range r.reserved {
		if res.Blocks(w, r.end) {
			return false
		}
	}
	return r.filter == nil || r.filter.Allow(w)
}
