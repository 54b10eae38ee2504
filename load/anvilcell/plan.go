package anvilcell

import (
	"fmt"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Worker is the plan of a worker: its id, domain, region, pool and size.
type Worker struct {
	id     string
	domain string
	region string
	pool   string
	size   anvilsize.Size
}

// NewWorker returns the plan of a worker; size is its capacity.
func NewWorker(id, domain, region, pool string, size anvilsize.Size) Worker {
	return Worker{id: id, domain: domain, region: region, pool: pool, size: size}
}

// ID returns the worker's id, which is also the name of its process.
func (w Worker) ID() string { return w.id }

// Pool returns the name of the worker's pool.
func (w Worker) Pool() string { return w.pool }

// Region returns the name of the worker's region.
func (w Worker) Region() string { return w.region }

// Size returns the capacity of the worker.
func (w Worker) Size() anvilsize.Size { return w.size }

// Entry is the plan of an entry instance. Instances that replace it run in the same domain and region.
type Entry struct {
	domain string
	region string
}

// NewEntry returns the plan of an entry instance in a domain of a region.
func NewEntry(domain, region string) Entry { return Entry{domain: domain, region: region} }

// Plan lists the processes of a cell and sets their time limits.
type Plan struct {
	workers []Worker
	entries []Entry
	lag     anvilclock.Millis
	lease   anvilclock.Millis
	margin  anvilclock.Millis
	notice  anvilclock.Millis
	drain   anvilclock.Millis
	shards  int
}

// PlanOption changes the plan that NewPlan returns.
type PlanOption func(*Plan)

// WithWorkers replaces the default workers.
func WithWorkers(w ...Worker) PlanOption { return func(p *Plan) { p.workers = w } }

// WithEntries replaces the default entry instances.
func WithEntries(e ...Entry) PlanOption { return func(p *Plan) { p.entries = e } }

// WithLease sets the duration of the leases of the workers and the margin that is added to it; the defaults are
// 8 s and 2 s.
func WithLease(lease, margin anvilclock.Millis) PlanOption {
	return func(p *Plan) { p.lease, p.margin = lease, margin }
}

// WithNotice sets how long a stopping entry instance reports that it is leaving; the default is 2 s.
func WithNotice(d anvilclock.Millis) PlanOption { return func(p *Plan) { p.notice = d } }

// WithShards sets the number of shards for each domain and pool; the default is 1.
func WithShards(n int) PlanOption { return func(p *Plan) { p.shards = n } }

// NewPlan returns a small cell in the layout of the users: domains d1 and d2 in region r1, and d3 in r2. Each domain
// has an entry instance and one worker in each of two pools. With one shard for each domain and pool, every owner
// has capacity for a gang job.
func NewPlan(opts ...PlanOption) Plan {
	p := Plan{
		entries: []Entry{NewEntry("d1", "r1"), NewEntry("d2", "r1"), NewEntry("d3", "r2")},
		lag:     1000, lease: 8000, margin: 2000, notice: 2000, drain: 15000, shards: 1,
	}
	for i, e := range p.entries {
		p.workers = append(p.workers,
			NewWorker(fmt.Sprintf("w%d", 2*i+1), e.domain, e.region, "layout", anvilsize.New(64_000, 131_072, 0)),
			NewWorker(fmt.Sprintf("w%d", 2*i+2), e.domain, e.region, "cutting", anvilsize.New(32_000, 262_144, 8)))
	}
	for _, opt := range opts {
		opt(&p)
	}
	return p
}

// Workers returns the workers; the slice is not a copy.
func (p Plan) Workers() []Worker { return p.workers }

// Shards returns the number of shards of all domains and pools together.
func (p Plan) Shards() int {
	groups := make(map[string]bool)
	for _, w := range p.workers {
		groups[w.domain+"."+w.pool] = true
	}
	return len(groups) * p.shards
}

// Entries returns the number of entry instances.
func (p Plan) Entries() int { return len(p.entries) }

// Lease returns the duration of the leases of the workers.
func (p Plan) Lease() anvilclock.Millis { return p.lease }

// Margin returns the margin that is added to the leases.
func (p Plan) Margin() anvilclock.Millis { return p.margin }

// settings returns the text of the settings file of an entry instance. It leaves the limits for callers at
// their defaults.
func (p Plan) settings(name string, e Entry, front, peer, table, bootstrap string) string {
	return fmt.Sprintf(`[instance]
name = %q
domain = %q
region = %q

[listen]
front = %q
peer = %q

[platform]
table = %q

[ownership]
shards = %d
lease = %d
margin = %d

[leave]
notice = %d
drain = %d

[log]
level = "info"
invariants = "exit"

[security]
bootstrap = %q
plain = true
`, name, e.domain, e.region, front, peer, table, p.shards, int64(p.lease), int64(p.margin), int64(p.notice), int64(p.drain), bootstrap)
}
