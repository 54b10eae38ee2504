package anvilescrow

import (
	"maps"
	"slices"

	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/internal/anvilassert"
)

// The model of the state machine test: one table, one worker for each shard, and owners whose commits
// can be delayed beyond their timeout, lost or answered late.

type contractRow struct {
	limit   anvilsize.Size
	version int64
}

type escrowRow struct {
	allocations map[string]anvilsize.Size
	version     int64
}

type shardRow struct {
	owner   string
	epoch   int64
	version int64
}

type taskRun struct {
	id    int
	team  string
	size  anvilsize.Size
	shard string
}

type worker struct {
	epoch   int64
	running map[int]taskRun
}

type request struct {
	owner       string
	incarnation int
	transfer    Transfer
	shards      map[string]int64 // shard rows that must be unchanged
	delivered   bool
	ok          bool
	version     int64
	answered    bool
}

type owner struct {
	name            string
	incarnation     int
	ledger          *Ledger
	rows            map[string]int64 // version of each owned shard's row
	epochs          map[string]int64
	contracts       map[string]int64 // contract versions known from a full read
	counted         map[int]taskRun  // tasks counted in the ledger
	unreported      []taskRun        // tasks that ended at a worker and aren't reported to the owner yet
	snapshot        *snapshot        // a read in progress; nil for none
	unknownOutcomes map[string]bool  // teams with a transfer whose answer was lost after the read began
}

type snapshot struct {
	contracts map[string]contractRow
	escrow    map[string]escrowRow
}

type world struct {
	now             anvilclock.Millis
	version         int64
	contracts       map[string]contractRow
	escrow          map[string]escrowRow
	shards          map[string]shardRow
	workers         map[string]*worker
	owners          map[string]*owner
	requests        []*request
	ceiling         map[string]anvilsize.Size
	lastTask        int
	neverRefresh    bool // never calls Refreshed
	skipShardChecks bool // commits don't check the shards' rows
}

var (
	ownerNames = []string{"a", "b", "c"}
	shardNames = []string{"s1", "s2", "s3", "s4"}
	teamNames  = []string{"red", "blue"}
)

func size(n int64) anvilsize.Size { return anvilsize.New(n*10, n, 0) }

func newWorld() *world {
	w := &world{
		contracts: map[string]contractRow{}, escrow: map[string]escrowRow{}, shards: map[string]shardRow{},
		workers: map[string]*worker{}, owners: map[string]*owner{}, ceiling: map[string]anvilsize.Size{},
	}
	for _, s := range shardNames {
		w.workers[s] = &worker{running: map[int]taskRun{}}
		w.shards[s] = shardRow{}
	}
	for _, t := range teamNames {
		w.setLimit(t, size(100))
	}
	for _, o := range ownerNames {
		w.restart(o)
	}
	for i, s := range shardNames {
		w.takeOver(w.owners[ownerNames[i%len(ownerNames)]], s)
	}
	return w
}

func (w *world) nextVersion() int64 {
	w.version++
	return w.version
}

func (w *world) restart(name string) {
	n := 0
	if old := w.owners[name]; old != nil {
		n = old.incarnation + 1
	}
	o := &owner{
		name: name, incarnation: n, ledger: NewLedger(), rows: map[string]int64{}, epochs: map[string]int64{},
		contracts: map[string]int64{}, unknownOutcomes: map[string]bool{}, counted: map[int]taskRun{},
	}
	o.ledger.SetShards(shardNames)
	w.owners[name] = o
	w.read(o)
}

func (w *world) setLimit(team string, limit anvilsize.Size) {
	w.contracts[team] = contractRow{limit: limit, version: w.nextVersion()}
	w.ceiling[team] = w.ceiling[team].Max(limit)
}

func (w *world) beginRead(o *owner) {
	o.snapshot = &snapshot{contracts: maps.Clone(w.contracts), escrow: maps.Clone(w.escrow)}
	o.unknownOutcomes = map[string]bool{}
}

func (w *world) finishRead(o *owner) {
	if o.snapshot == nil {
		return
	}
	for _, team := range teamNames {
		c := o.snapshot.contracts[team]
		o.ledger.SetTeam(team, c.limit, c.version)
		o.contracts[team] = max(o.contracts[team], c.version)
		if row, ok := o.snapshot.escrow[team]; ok {
			o.ledger.PutRow(team, row.allocations, row.version)
		}
		if !w.neverRefresh && !o.unknownOutcomes[team] {
			o.ledger.Refreshed(team)
		}
	}
	o.snapshot = nil
}

func (w *world) read(o *owner) {
	w.beginRead(o)
	w.finishRead(o)
}

// takeOver makes an instance the owner in the shard's row, fences the worker, reads the rows and adopts
// what ran at the time of the fence.
func (w *world) takeOver(o *owner, shard string) {
	if w.shards[shard].owner == o.name && o.ledger.HasShard(shard) {
		return
	}
	o.loseShard(shard)
	row := shardRow{owner: o.name, epoch: w.shards[shard].epoch + 1, version: w.nextVersion()}
	w.shards[shard] = row
	o.rows[shard], o.epochs[shard] = row.version, row.epoch
	wk := w.workers[shard]
	wk.epoch = row.epoch
	running := maps.Clone(wk.running)
	w.read(o)
	o.ledger.AddShard(shard)
	for id, task := range running {
		o.counted[id] = task
		o.ledger.Account(shard, task.team).Adopt(task.size)
	}
}

func (o *owner) loseShard(shard string) {
	o.ledger.RemoveShard(shard)
	for id, task := range o.counted {
		if task.shard == shard {
			delete(o.counted, id)
		}
	}
}

// dropLostShards makes an owner drop the shards that it no longer owns.
func (w *world) dropLostShards(o *owner) {
	for shard := range maps.Clone(o.rows) {
		if w.shards[shard].owner != o.name {
			o.loseShard(shard)
			delete(o.rows, shard)
		}
	}
}

func (w *world) plan(t anvilassert.T, o *owner) {
	inFlight := map[string]bool{}
	for _, tr := range o.ledger.Plan(w.now) {
		anvilassert.True(t, !inFlight[tr.Team()], "two transfers of team %s in one plan", tr.Team())
		inFlight[tr.Team()] = true
		r := &request{owner: o.name, incarnation: o.incarnation, transfer: tr, shards: map[string]int64{}}
		for _, shard := range tr.Shards() {
			r.shards[shard] = o.rows[shard]
		}
		w.requests = append(w.requests, r)
	}
}

// deliver lets a commit reach the table.
func (w *world) deliver(t anvilassert.T, r *request) {
	r.delivered = true
	tr := r.transfer
	old := w.escrow[tr.Team()]
	if old.version != tr.RowVersion() || w.contracts[tr.Team()].version != tr.ContractRowVersion() {
		return
	}
	for shard, version := range r.shards {
		if !w.skipShardChecks && w.shards[shard].version != version {
			return
		}
	}
	limit, before, after := w.contracts[tr.Team()].limit, total(old.allocations), total(tr.Allocations())
	anvilassert.True(t, after.Fits(limit.Max(before)), "team %s: allocations %v exceed limit %v and the former %v", tr.Team(), after, limit, before)
	r.ok, r.version = true, w.nextVersion()
	w.escrow[tr.Team()] = escrowRow{allocations: tr.Allocations(), version: r.version}
}

// sender returns the owner that sent a request; nil when it has restarted since.
func (w *world) sender(r *request) *owner {
	if o := w.owners[r.owner]; o.incarnation == r.incarnation {
		return o
	}
	return nil
}

func (w *world) answer(r *request) {
	r.answered = true
	o := w.sender(r)
	switch {
	case o == nil:
	case r.ok:
		o.ledger.Committed(r.transfer.ID(), r.version)
	default:
		o.ledger.Rejected(r.transfer.ID())
	}
}

func (w *world) loseAnswer(r *request) {
	r.answered = true
	if o := w.sender(r); o != nil {
		o.ledger.OutcomeUnknown(r.transfer.ID())
		o.unknownOutcomes[r.transfer.Team()] = true
	}
}

// start places a task as the control loop does: count it, then ask the worker, which refuses an
// older epoch.
func (w *world) start(o *owner, shard, team string, s anvilsize.Size) bool {
	a := o.ledger.Account(shard, team)
	if !a.Reserve(s) {
		o.ledger.RecordDemand(shard, team, s, w.now)
		return false
	}
	wk := w.workers[shard]
	if o.epochs[shard] < wk.epoch {
		a.Release(s)
		return false
	}
	w.lastTask++
	task := taskRun{id: w.lastTask, team: team, size: s, shard: shard}
	wk.running[w.lastTask], o.counted[w.lastTask] = task, task
	return true
}

// end ends a task at its worker; report passes the end on to its owner.
func (w *world) end(task taskRun) {
	delete(w.workers[task.shard].running, task.id)
	for _, o := range w.owners {
		o.unreported = append(o.unreported, task)
	}
}

func (w *world) report(o *owner) {
	for _, task := range o.unreported {
		if _, ok := o.counted[task.id]; ok {
			delete(o.counted, task.id)
			o.ledger.Account(task.shard, task.team).Release(task.size)
		}
	}
	o.unreported = nil
}

func (w *world) tasks() []taskRun {
	var out []taskRun
	for _, wk := range w.workers {
		out = slices.AppendSeq(out, maps.Values(wk.running))
	}
	slices.SortFunc(out, func(a, b taskRun) int { return a.id - b.id })
	return out
}

func (w *world) used(team string) anvilsize.Size {
	var s anvilsize.Size
	for _, task := range w.tasks() {
		if task.team == team {
			s = s.Add(task.size)
		}
	}
	return s
}

// contractKnownByOwners reports whether every owner of a shard has read the team's current contract.
func (w *world) contractKnownByOwners(team string) bool {
	for _, row := range w.shards {
		if o := w.owners[row.owner]; o != nil && o.contracts[team] < w.contracts[team].version {
			return false
		}
	}
	return true
}

// check asserts the invariants. The ceiling of a team is its limit, or what already ran when a lower
// limit came into force everywhere; then the ceiling falls with the use until it reaches the limit.
func (w *world) check(t anvilassert.T) {
	for _, team := range teamNames {
		used, limit := w.used(team), w.contracts[team].limit
		anvilassert.True(t, used.Fits(w.ceiling[team]), "team %s uses %v, more than %v (limit %v)", team, used, w.ceiling[team], limit)
		if w.contractKnownByOwners(team) {
			w.ceiling[team] = limit.Max(used)
		}
		for _, shard := range shardNames {
			o := w.owners[w.shards[shard].owner]
			if o == nil || !o.ledger.HasShard(shard) {
				continue
			}
			w.checkAccount(t, o, shard, team)
		}
	}
}

func (w *world) checkAccount(t anvilassert.T, o *owner, shard, team string) {
	a, row := o.ledger.Account(shard, team), w.escrow[team].allocations[shard]
	anvilassert.True(t, a.Allocation().Fits(row), "%s in %s: allocation %v in memory exceeds %v in the table", team, shard, a.Allocation(), row)
	var running anvilsize.Size
	for _, task := range w.workers[shard].running {
		if task.team == team {
			running = running.Add(task.size)
		}
	}
	anvilassert.True(t, running.Fits(row), "%s in %s: %v running, allocation %v in the table", team, shard, running, row)
	anvilassert.True(t, running.Fits(a.Used()), "%s in %s: %v running, %v counted", team, shard, running, a.Used())
	if row.Negative() {
		t.Fatalf("%s in %s: allocation %v is negative", team, shard, row)
	}
}

// stabilize ends all faults: every request is delivered and answered, every shard has an owner that
// knows it owns the shard, and the owners run for some rounds without faults.
func (w *world) stabilize(t anvilassert.T, rounds int) {
	for _, name := range ownerNames {
		w.dropLostShards(w.owners[name])
	}
	for _, shard := range shardNames {
		if o := w.owners[w.shards[shard].owner]; o == nil || !o.ledger.HasShard(shard) {
			w.takeOver(w.owners[ownerNames[0]], shard)
		}
	}
	w.resolveRequests(t)
	for range rounds {
		w.now += 500
		for _, name := range ownerNames {
			w.round(t, w.owners[name])
		}
	}
	w.resolveRequests(t)
}

// round lets an owner read, plan and commit once without faults.
func (w *world) round(t anvilassert.T, o *owner) {
	w.report(o)
	w.read(o)
	w.plan(t, o)
	for _, r := range w.requests {
		if r.owner == o.name && !r.delivered && !r.answered {
			w.deliver(t, r)
			w.answer(r)
		}
	}
	w.check(t)
}

func (w *world) resolveRequests(t anvilassert.T) {
	for _, r := range w.requests {
		if !r.delivered {
			w.deliver(t, r)
		}
		if !r.answered {
			w.answer(r)
		}
	}
	w.requests = nil
}

func (w *world) pick(t *rapid.T, match func(*request) bool) *request {
	var matching []*request
	for _, r := range w.requests {
		if match(r) {
			matching = append(matching, r)
		}
	}
	if len(matching) == 0 {
		t.Skip("no such request")
	}
	return rapid.SampledFrom(matching).Draw(t, "request")
}

func (w *world) owner(t *rapid.T) *owner {
	return w.owners[rapid.SampledFrom(ownerNames).Draw(t, "owner")]
}
