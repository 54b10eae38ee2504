package anvilslope

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilshard"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// The entry instance that is measured, and the names around it.
const (
	self       = "self"
	selfRegion = "r1"
	farRegion  = "r2"
	farPool    = "far"
	farDomains = 12
	workerKind = "worker"
)

// Plan is the fleet around the measured control loop.
type Plan struct {
	workers int
	tasks   int // on each worker
	domains int
	pools   int
	shards  int // for each pool of a domain
	teams   int
	peers   int
	listed  int // workers that other instances own
	full    bool
	limit   anvilsize.Size // of each team
	seed    uint64
}

// PlanOption sets a part of a Plan.
type PlanOption func(*Plan)

// WithWorkers sets the workers that the instance owns and the tasks that run on each.
func WithWorkers(workers, tasks int) PlanOption {
	return func(p *Plan) { p.workers, p.tasks = workers, tasks }
}

// WithFull puts one task on each worker that leaves no room.
func WithFull() PlanOption { return func(p *Plan) { p.full, p.tasks = true, 1 } }

// WithShards sets the domains, the pools in each and the shards of each pool.
func WithShards(domains, pools, shards int) PlanOption {
	return func(p *Plan) { p.domains, p.pools, p.shards = domains, pools, shards }
}

// WithTeams sets the number of teams with a contract.
func WithTeams(n int) PlanOption { return func(p *Plan) { p.teams = n } }

// WithPeers sets the number of other entry instances, at least one.
func WithPeers(n int) PlanOption { return func(p *Plan) { p.peers = max(n, 1) } }

// WithListed sets the number of workers that other instances own.
func WithListed(n int) PlanOption { return func(p *Plan) { p.listed = n } }

// WithLimit sets the limit of each team.
func WithLimit(s anvilsize.Size) PlanOption { return func(p *Plan) { p.limit = s } }

// NewPlan returns the plan from which each series varies one number.
func NewPlan(seed uint64, opts ...PlanOption) Plan {
	p := Plan{workers: 480, domains: 12, pools: 1, shards: 2, teams: 10, peers: 1, listed: 12, limit: teamLimit, seed: seed}
	for _, opt := range opts {
		opt(&p)
	}
	return p
}

var (
	workerSize = anvilsize.New(64_000, 131_072, 8)
	taskSize   = anvilsize.New(100, 64, 0)
	// teamLimit is out of reach, so that no series depends on the moves of parts.
	teamLimit = anvilsize.New(2_000_000_000, 2_000_000_000, 2_000_000)
)

func poolName(i int) string { return fmt.Sprintf("pool%d", i) }
func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }
func peerName(i int) string { return fmt.Sprintf("peer-%03d", i) }
func bootOf(worker string) string {
	return worker + "-0123456789abcdef"
}

// host is a worker of the plan.
type host struct {
	id     string
	domain string
	region string
	pool   string
}

func (h host) registration() anvilcontrol.Registration {
	// The id is copied because a decoder returns new strings.
	id := strings.Clone(h.id)
	return anvilcontrol.NewRegistration(id, workerKind, id, h.domain, h.region, h.pool, false, workerSize)
}

func (p Plan) own(i int) host {
	return host{id: fmt.Sprintf("worker-%05d", i), domain: fmt.Sprintf("d%d", i%p.domains), region: selfRegion,
		pool: poolName(i / p.domains % p.pools)}
}

func (Plan) far(i int) host {
	return host{id: fmt.Sprintf("farwork-%05d", i), domain: farDomain(i), region: farRegion, pool: farPool}
}

// list returns the platform's list.
func (p Plan) list() []anvilcontrol.Registration {
	out := make([]anvilcontrol.Registration, 0, p.workers+p.listed)
	for i := range p.workers {
		out = append(out, p.own(i).registration())
	}
	for i := range p.listed {
		out = append(out, p.far(i).registration())
	}
	return out
}

// rows returns the rows of the table: the configuration, the peers, and the shards with their
// members and the teams' parts.
func (p Plan) rows() []anvilrow.Row {
	out := []anvilrow.Row{anvilrow.New(anvilrow.VersionKey, anvilrow.NewVersion(1))}
	shards := p.shardRows()
	n := int64(2 * len(shards))
	part := anvilsize.New(p.limit.CPU()/n, p.limit.Memory()/n, p.limit.Accel()/n)
	for i := range p.teams {
		team := teamName(i)
		c := anvilconfig.NewContract(team, anvilconfig.WithLimit(p.limit), anvilconfig.WithWeight(1))
		key := anvilconfig.HashKey(team)
		parts := make(map[string]anvilsize.Size, len(shards))
		for _, s := range shards {
			parts[s.Name()] = part
		}
		out = append(out, anvilrow.New(anvilrow.ContractPrefix+team, anvilrow.NewContract(c)),
			anvilrow.New(anvilrow.KeyPrefix+key, anvilrow.NewKey(anvilconfig.NewKey(key, team, anvilconfig.TeamRole, "first"))),
			anvilrow.New(anvilrow.EscrowPrefix+team, anvilrow.NewEscrow(team, parts)))
	}
	for _, s := range shards {
		out = append(out, anvilrow.New(anvilrow.ShardPrefix+s.Name(), anvilrow.NewShard(s)))
	}
	for i := range p.peers {
		out = append(out, peerRow(i, 1))
	}
	return out
}

func peerRow(i int, beat int64) anvilrow.Row {
	name := peerName(i)
	return anvilrow.New(anvilrow.SessionPrefix+name,
		anvilrow.NewSession(anvilshard.NewSession(name, name, farDomain(i), farRegion, beat, 1, false)))
}

// shardRows returns the shards with their members. Those of the measured instance are owned from
// the start, so that no run waits for take-overs.
func (p Plan) shardRows() []anvilshard.Shard {
	var out []anvilshard.Shard
	add := func(owner string, list func(int) host, n int) {
		first := map[string]host{}
		members := map[string][]anvilshard.Member{}
		for i := range n {
			w := list(i)
			name := anvilshard.Name(w.domain, w.pool, w.id, p.shards)
			members[name] = append(members[name], anvilshard.NewMember(w.id, w.id, bootOf(w.id), workerSize))
			first[name] = w
		}
		for _, name := range slices.Sorted(maps.Keys(members)) {
			w := first[name]
			s := anvilshard.NewShard(name, w.domain, w.region, w.pool, 0).WithMembers(members[name], 0)
			out = append(out, s.Owned(owner, 1, 0))
		}
	}
	add(self, p.own, p.workers)
	add(peerName(0), p.far, p.listed)
	return out
}

// running returns the tasks of a worker's list, with new strings as a decoder returns them. They
// depend on the seed and the worker only.
func (p Plan) running(worker string) []anvilcontrol.RunningTask {
	rng := rand.New(rand.NewPCG(p.seed, anvilshard.Seed(worker)))
	out := make([]anvilcontrol.RunningTask, 0, p.tasks)
	for i := range p.tasks {
		size := anvilsize.New(100+rng.Int64N(200), 64+rng.Int64N(64), 0)
		if p.full {
			size = workerSize
		}
		id := fmt.Sprintf("0190%04x-0000-7000-8000-%012x/1.%d", i, rng.Int64N(1<<48), i)
		out = append(out, anvilcontrol.NewRunningTask(id, "", teamName(rng.IntN(p.teams)), anviltask.Batch, size, size, "running", false))
	}
	return out
}

func farDomain(i int) string { return fmt.Sprintf("f%d", i%farDomains) }
