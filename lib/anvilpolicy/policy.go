// Package anvilpolicy holds one version of the operator's configuration for jobs: the queues that accept them,
// the worker pools that run them, and the teams with their keys and limits.
package anvilpolicy

import (
	"cmp"
	"slices"
	"strings"

	"anvilhold.org/lib/anvilsize"
)

// Pool is a group of workers that run the same kind of work.
type Pool struct {
	name             string
	enforcesCapacity bool
}

// NewPool returns a pool. If enforcesCapacity is true, its workers refuse a start that doesn't fit; otherwise
// they start it nonetheless.
func NewPool(name string, enforcesCapacity bool) Pool {
	return Pool{name: name, enforcesCapacity: enforcesCapacity}
}

// Name returns the name under which Policy.Pool finds the pool.
func (p Pool) Name() string { return p.name }

// EnforcesCapacity reports whether the workers of the pool refuse a start that doesn't fit.
func (p Pool) EnforcesCapacity() bool { return p.enforcesCapacity }

// Team is a team that submits jobs, with its weight in fair sharing, its limit and its keys.
type Team struct {
	name   string
	weight float64
	limit  anvilsize.Size
	keys   []string
}

// NewTeam returns a team. It copies keys. A limit of 0 in a dimension means that the dimension is unlimited.
func NewTeam(name string, weight float64, limit anvilsize.Size, keys []string) Team {
	return Team{name: name, weight: weight, limit: limit, keys: slices.Clone(keys)}
}

// Name returns the name under which Policy.Team finds the team.
func (t Team) Name() string { return t.name }

// Weight returns the team's weight in fair sharing: the jobs a second to which it is entitled on a full fleet.
func (t Team) Weight() float64 { return t.weight }

// Limit returns the largest total size of the team's running tasks; 0 in a dimension means unlimited.
func (t Team) Limit() anvilsize.Size { return t.limit }

// WithinLimit reports whether used is at most the limit in every limited dimension.
func (t Team) WithinLimit(used anvilsize.Size) bool {
	for _, d := range anvilsize.Dimensions() {
		if limit := t.limit.In(d); limit > 0 && used.In(d) > limit {
			return false
		}
	}
	return true
}

// Policy is one version of the configuration. It is immutable and safe for concurrent use.
type Policy struct {
	version    int64
	queues     []Queue
	pools      map[string]Pool
	teams      map[string]Team
	teamByKey  map[string]string
	queueIndex map[string]int
	// addressIndex holds the queues by their addresses.
	addressIndex map[string]int
	maxBody      int
}

// DefaultMaxBody is the largest body of a call, in bytes, when the configuration sets none.
const DefaultMaxBody = 256 << 10

// Option configures a Policy.
type Option func(*Policy)

// WithPools adds worker pools.
func WithPools(pools ...Pool) Option {
	return func(p *Policy) {
		for _, pool := range pools {
			p.pools[pool.name] = pool
		}
	}
}

// WithTeams adds teams and their keys.
func WithTeams(teams ...Team) Option {
	return func(p *Policy) {
		for _, t := range teams {
			p.teams[t.name] = t
			for _, key := range t.keys {
				p.teamByKey[key] = t.name
			}
		}
	}
}

// WithMaxBody sets the largest body of a call, in bytes.
func WithMaxBody(n int) Option { return func(p *Policy) { p.maxBody = n } }

// New returns the configuration with the given version and queues. It copies queues.
func New(version int64, queues []Queue, opts ...Option) *Policy {
	p := &Policy{
		version: version, queues: slices.Clone(queues), pools: map[string]Pool{}, teams: map[string]Team{},
		teamByKey: map[string]string{}, queueIndex: make(map[string]int, len(queues)), addressIndex: make(map[string]int, len(queues)), maxBody: DefaultMaxBody,
	}
	// The longest prefix comes first, so that Route can return the first match.
	slices.SortStableFunc(p.queues, func(a, b Queue) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	for i, q := range p.queues {
		p.queueIndex[q.name] = i
		if _, ok := p.addressIndex[q.address]; !ok && q.address != "" {
			p.addressIndex[q.address] = i
		}
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Version returns the version of the configuration. Newer ones have larger numbers.
func (p *Policy) Version() int64 { return p.version }

// MaxBody returns the largest body of a call, in bytes.
func (p *Policy) MaxBody() int { return p.maxBody }

// Route returns the queue for a host and path, the one with the longest matching prefix, and the rest of the
// path after that prefix. It returns false when no queue matches.
func (p *Policy) Route(host, path string) (*Queue, string, bool) {
	for i := range p.queues {
		if q := &p.queues[i]; q.host == host && strings.HasPrefix(path, q.prefix) {
			return q, path[len(q.prefix):], true
		}
	}
	return nil, "", false
}

// Queue returns the queue with the given name, or false. The caller must not change the queue.
func (p *Policy) Queue(name string) (*Queue, bool) {
	i, ok := p.queueIndex[name]
	if !ok {
		return nil, false
	}
	return &p.queues[i], true
}

// QueueOfJob returns the queue of a job that was accepted at an address by a queue of a name. That is the queue which is at the address
// now, whatever its name; when none is, or the address is empty, it is the one with the name, which has moved. The caller must not
// change the queue.
func (p *Policy) QueueOfJob(address, name string) (*Queue, bool) {
	if i, ok := p.addressIndex[address]; ok {
		return &p.queues[i], true
	}
	return p.Queue(name)
}

// Queues returns all queues, those with the longest prefix first. The caller must not change the slice.
func (p *Policy) Queues() []Queue { return p.queues }

// Pool returns the pool with the given name, or false.
func (p *Policy) Pool(name string) (Pool, bool) {
	pool, ok := p.pools[name]
	return pool, ok
}

// Team returns the team with the given name, or false.
func (p *Policy) Team(name string) (Team, bool) {
	t, ok := p.teams[name]
	return t, ok
}

// TeamByKey returns the name of the team that a key belongs to, or false for an unknown key.
func (p *Policy) TeamByKey(key string) (string, bool) {
	name, ok := p.teamByKey[key]
	return name, ok
}
