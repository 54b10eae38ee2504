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

// Names of the measured entry instance and of the fleet around it. Remote names belong to other instances.
const (
	self          = "self"
	selfRegion    = "r1"
	remoteRegion  = "r2"
	remotePool    = "far"
	remoteDomains = 12
	workerKind    = "worker"
)

// Plan describes the fleet around the measured control loop.
type Plan struct {
	workers       int
	tasks         int // on each worker
	domains       int
	pools         int
	shards        int // for each pool of a domain
	teams         int
	peers         int
	remoteWorkers int            // workers that other instances own
	full          bool           // one task uses the whole capacity of each worker
	limit         anvilsize.Size // of each team
	seed          uint64
}

// PlanOption changes the plan that NewPlan returns.
type PlanOption func(*Plan)

// WithWorkers sets the number of workers that the instance owns and the number of tasks that run on each.
func WithWorkers(workers, tasks int) PlanOption {
	return func(p *Plan) { p.workers, p.tasks = workers, tasks }
}

// WithFullWorkers runs one task on each worker, which uses the worker's whole capacity.
func WithFullWorkers() PlanOption { return func(p *Plan) { p.full, p.tasks = true, 1 } }

// WithShards sets the number of domains, of pools in each domain and of shards in each pool of a domain.
func WithShards(domains, pools, shards int) PlanOption {
	return func(p *Plan) { p.domains, p.pools, p.shards = domains, pools, shards }
}

// WithTeams sets the number of teams with a contract.
func WithTeams(n int) PlanOption { return func(p *Plan) { p.teams = n } }

// WithPeers sets the number of other entry instances, at least one.
func WithPeers(n int) PlanOption { return func(p *Plan) { p.peers = max(n, 1) } }

// WithRemoteWorkers sets the number of registered workers that other instances own.
func WithRemoteWorkers(n int) PlanOption { return func(p *Plan) { p.remoteWorkers = n } }

// WithLimit sets the limit in the contract of each team.
func WithLimit(s anvilsize.Size) PlanOption { return func(p *Plan) { p.limit = s } }

// NewPlan returns the plan of which each series varies one number. The seed determines the tasks on the workers.
func NewPlan(seed uint64, opts ...PlanOption) Plan {
	p := Plan{workers: 480, domains: 12, pools: 1, shards: 2, teams: 10, peers: 1, remoteWorkers: 12, limit: teamLimit, seed: seed}
	for _, opt := range opts {
		opt(&p)
	}
	return p
}

var (
	workerSize = anvilsize.New(64_000, 131_072, 8)
	taskSize   = anvilsize.New(100, 64, 0)
	// teamLimit is more than any series uses, so that no series depends on escrow transfers.
	teamLimit = anvilsize.New(2_000_000_000, 2_000_000_000, 2_000_000)
)

func poolName(i int) string { return fmt.Sprintf("pool%d", i) }
func teamName(i int) string { return fmt.Sprintf("team-%03d", i) }
func peerName(i int) string { return fmt.Sprintf("peer-%03d", i) }
func bootID(worker string) string {
	return worker + "-0123456789abcdef"
}

type worker struct {
	id     string
	domain string
	region string
	pool   string
}

func (w worker) registration() anvilcontrol.Registration {
	// The id is copied, because a registration that a decoder returns shares no memory with others.
	id := strings.Clone(w.id)
	return anvilcontrol.NewRegistration(id, workerKind, id, w.domain, w.region, w.pool, false, workerSize)
}

func (p Plan) ownWorker(i int) worker {
	return worker{id: fmt.Sprintf("worker-%05d", i), domain: fmt.Sprintf("d%d", i%p.domains), region: selfRegion,
		pool: poolName(i / p.domains % p.pools)}
}

func (Plan) remoteWorker(i int) worker {
	return worker{id: fmt.Sprintf("farwork-%05d", i), domain: remoteDomain(i), region: remoteRegion, pool: remotePool}
}

// registrations returns the entries of the platform's worker registry.
func (p Plan) registrations() []anvilcontrol.Registration {
	out := make([]anvilcontrol.Registration, 0, p.workers+p.remoteWorkers)
	for i := range p.workers {
		out = append(out, p.ownWorker(i).registration())
	}
	for i := range p.remoteWorkers {
		out = append(out, p.remoteWorker(i).registration())
	}
	return out
}

// rows returns the rows of the table: the configuration, the peers, the shards with their members, and the escrow
// allocations of the teams.
func (p Plan) rows() []anvilrow.Row {
	out := []anvilrow.Row{anvilrow.New(anvilrow.VersionKey, anvilrow.NewVersion(1))}
	shards := p.shardRows()
	n := int64(2 * len(shards))
	allocation := anvilsize.New(p.limit.CPU()/n, p.limit.Memory()/n, p.limit.Accel()/n)
	for i := range p.teams {
		team := teamName(i)
		c := anvilconfig.NewContract(team, anvilconfig.WithLimit(p.limit), anvilconfig.WithWeight(1))
		key := anvilconfig.HashKey(team)
		allocations := make(map[string]anvilsize.Size, len(shards))
		for _, s := range shards {
			allocations[s.Name()] = allocation
		}
		out = append(out, anvilrow.New(anvilrow.ContractPrefix+team, anvilrow.NewContract(c)),
			anvilrow.New(anvilrow.KeyPrefix+key, anvilrow.NewKey(anvilconfig.NewKey(key, team, anvilconfig.TeamRole, "first"))),
			anvilrow.New(anvilrow.EscrowPrefix+team, anvilrow.NewEscrow(team, allocations)))
	}
	for _, s := range shards {
		out = append(out, anvilrow.New(anvilrow.ShardPrefix+s.Name(), anvilrow.NewShard(s)))
	}
	for i := range p.peers {
		out = append(out, peerRow(i, 1))
	}
	return out
}

func peerRow(i int, heartbeat int64) anvilrow.Row {
	name := peerName(i)
	return anvilrow.New(anvilrow.SessionPrefix+name,
		anvilrow.NewSession(anvilshard.NewSession(name, name, remoteDomain(i), remoteRegion, heartbeat, 1, false)))
}

// shardRows returns the shards with their members. The measured instance owns its shards from the start, so that no
// measurement waits for it to take them over.
func (p Plan) shardRows() []anvilshard.Shard {
	var out []anvilshard.Shard
	add := func(owner string, workerAt func(int) worker, n int) {
		first := map[string]worker{}
		members := map[string][]anvilshard.Member{}
		for i := range n {
			w := workerAt(i)
			name := anvilshard.Name(w.domain, w.pool, w.id, p.shards)
			members[name] = append(members[name], anvilshard.NewMember(w.id, w.id, bootID(w.id), workerSize))
			first[name] = w
		}
		for _, name := range slices.Sorted(maps.Keys(members)) {
			w := first[name]
			s := anvilshard.NewShard(name, w.domain, w.region, w.pool, 0).WithMembers(members[name], 0)
			out = append(out, s.WithOwner(owner, 1, 0))
		}
	}
	add(self, p.ownWorker, p.workers)
	add(peerName(0), p.remoteWorker, p.remoteWorkers)
	return out
}

// running returns the tasks that run on a worker. They depend only on the seed and the worker. All strings are newly
// allocated, as those of a decoder are.
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

func remoteDomain(i int) string { return fmt.Sprintf("f%d", i%remoteDomains) }
