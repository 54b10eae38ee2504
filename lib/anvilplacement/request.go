package anvilplacement

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilworker"
)

// Filter rejects workers that a task may not use, for instance because the team's allocation held in escrow by
// the worker's shard is used up.
type Filter interface {
	Allow(w *anvilworker.Worker) bool
}

// GroupFilter is a Filter that can reject all workers of a group at once. The cost of a decision then doesn't
// depend on the number of workers that it rejects.
type GroupFilter interface {
	Filter
	AllowGroup(group string) bool
}

// Request describes the task to place, or all tasks of a gang job.
type Request struct {
	pool            string
	kind            anviltask.Kind
	size            anvilsize.Size
	count           int
	preferredDomain string
	replicas        map[string]int
	filter          Filter
	reserved        []*Reservation
	end             anvilclock.Millis
}

// Option configures a Request.
type Option func(*Request)

// WithCount sets the number of slots. Place returns workers for all of them or for none.
func WithCount(n int) Option { return func(r *Request) { r.count = n } }

// WithPreferredDomain sets the failure domain that is preferred among workers whose free size differs by less
// than a twentieth of their capacity.
func WithPreferredDomain(domain string) Option {
	return func(r *Request) { r.preferredDomain = domain }
}

// WithReplicas gives the number of replicas that already run in each failure domain. Domains with fewer
// replicas are preferred. Placing the request doesn't change the map.
func WithReplicas(domains map[string]int) Option { return func(r *Request) { r.replicas = domains } }

// WithFilter sets the filter. Without it the request may use every worker of the pool.
func WithFilter(f Filter) Option { return func(r *Request) { r.filter = f } }

// WithBackfill keeps the request off the workers of reservations unless it ends, at the time end, before the
// reservation starts. An end of 0 means that the end is unknown.
func WithBackfill(end anvilclock.Millis, reserved ...*Reservation) Option {
	return func(r *Request) { r.reserved, r.end = reserved, end }
}

// NewRequest returns a request for one slot of size s unless WithCount says otherwise.
func NewRequest(pool string, k anviltask.Kind, s anvilsize.Size, opts ...Option) Request {
	r := Request{pool: pool, kind: k, size: s, count: 1}
	for _, opt := range opts {
		opt(&r)
	}
	return r
}

// prefersEmptiest reports whether the request prefers the worker with the most free capacity instead of the one
// with the least.
func (r *Request) prefersEmptiest() bool {
	return r.kind == anviltask.Call || r.kind == anviltask.Service
}

func (r *Request) usable(w *anvilworker.Worker) bool {
	return w.Schedulable() && r.size.Fits(w.Free()) && r.eligible(w)
}

// eligible reports whether the reservations and the filter allow the request to use w, whatever the free capacity of w.
func (r *Request) eligible(w *anvilworker.Worker) bool {
	for _, res := range r.reserved {
		if res.Blocks(w, r.end) {
			return false
		}
	}
	return r.filter == nil || r.filter.Allow(w)
}
