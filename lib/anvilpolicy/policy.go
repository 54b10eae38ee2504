// Package anvilpolicy holds one version of what the operator has configured for jobs: the queues that
// take them, the worker pools that run them, and the teams with their keys and limits.
package anvilpolicy

import (
	"cmp"
	"slices"
	"strings"

	"anvilhold.org/lib/anvilsize"
)

// Pool is a group of workers that run the same kind of work.
type Pool struct {
	name    string
	guarded bool
}

// NewPool returns a pool. A guarded pool's workers refuse a start that does not fit; the others start it.
func NewPool(name string, guarded bool) Pool { return Pool{name: name, guarded: guarded} }

// Name returns the pool's name.
func (p Pool) Name() string { return p.name }

// Guarded reports whether the workers themselves refuse what does not fit.
func (p Pool) Guarded() bool { return p.guarded }

// Team is a customer team. A limit of 0 in a dimension means that there is none.
type Team struct {
	name   string
	weight float64
	limit  anvilsize.Size
	keys   []string
}

// NewTeam returns a team.
func NewTeam(name string, weight float64, limit anvilsize.Size, keys []string) Team {
	return Team{name: name, weight: weight, limit: limit, keys: slices.Clone(keys)}
}

// Name returns the team's name.
func (t Team) Name() string { return t.name }

// Weight returns the team's share of a full fleet, in jobs a second.
func (t Team) Weight() float64 { return t.weight }

// Limit returns the most that the team may have running.
func (t Team) Limit() anvilsize.Size { return t.limit }

// Admits reports whether the team may have used running.
func (t Team) Admits(used anvilsize.Size) bool {
	for _, d := range anvilsize.Dimensions() {
		if most := t.limit.In(d); most > 0 && used.In(d) > most {
			return false
		}
	}
	return true
}

// Policy is one version of the configuration. It is immutable and safe for concurrent use.
type Policy struct {
	version int64
	queues  []Queue
	pools   map[string]Pool
	teams   map[string]Team
	byKey   map[string]string
	byName  map[string]int
	body    int
}

// DefaultBody is the largest body of a call, in bytes, when the configuration names none.
const DefaultBody = 256 << 10

// Option sets an optional part of a Policy.
type Option func(*Policy)

// WithPools sets the worker pools.
func WithPools(pools ...Pool) Option {
	return func(p *Policy) {
		for _, pool := range pools {
			p.pools[pool.name] = pool
		}
	}
}

// WithTeams sets the teams.
func WithTeams(teams ...Team) Option {
	return func(p *Policy) {
		for _, t := range teams {
			p.teams[t.name] = t
			for _, key := range t.keys {
				p.byKey[key] = t.name
			}
		}
	}
}

// WithBody sets the largest body of a call in bytes.
func WithBody(n int) Option { return func(p *Policy) { p.body = n } }

// New returns version version with its queues.
func New(version int64, queues []Queue, opts ...Option) *Policy {
	p := &Policy{
		version: version, queues: slices.Clone(queues), pools: map[string]Pool{}, teams: map[string]Team{},
		byKey: map[string]string{}, byName: make(map[string]int, len(queues)), body: DefaultBody,
	}
	// The longest prefix comes first, so that the first match is the right one.
	slices.SortStableFunc(p.queues, func(a, b Queue) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	for i, q := range p.queues {
		p.byName[q.name] = i
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Version returns the version.
func (p *Policy) Version() int64 { return p.version }

// Body returns the largest body of a call in bytes.
func (p *Policy) Body() int { return p.body }

// Route returns the queue of a host and path, and the part of the path behind the queue's prefix.
func (p *Policy) Route(host, path string) (*Queue, string, bool) {
	for i := range p.queues {
		if q := &p.queues[i]; q.host == host && strings.HasPrefix(path, q.prefix) {
			return q, path[len(q.prefix):], true
		}
	}
	return nil, "", false
}

// Queue returns a queue by name.
func (p *Policy) Queue(name string) (*Queue, bool) {
	i, ok := p.byName[name]
	if !ok {
		return nil, false
	}
	return &p.queues[i], true
}

// Queues returns all queues.
func (p *Policy) Queues() []Queue { return p.queues }

// Pool returns a pool by name.
func (p *Policy) Pool(name string) (Pool, bool) {
	pool, ok := p.pools[name]
	return pool, ok
}

// Team returns a team by name.
func (p *Policy) Team(name string) (Team, bool) {
	t, ok := p.teams[name]
	return t, ok
}

// TeamOf returns the name of the team to which a key belongs.
func (p *Policy) TeamOf(key string) (string, bool) {
	name, ok := p.byKey[key]
	return name, ok
}
