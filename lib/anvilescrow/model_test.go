package anvilescrow

import (
	"maps"
	"slices"

	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/internal/anvilassert"
)

// The world of the state machine: one table, one worker for each shard, and owners whose commits
// can be delayed beyond their timeout, lost or answered late.

type contractRow struct {
	limit   anvilsize.Size
	version int64
}

type escrowRow struct {
	parts   map[string]anvilsize.Size
	version int64
}

type shardRow struct {
	owner   string
	epoch   int64
	version int64
}

type work struct {
	id    int
	team  string
	size  anvilsize.Size
	shard string
}

type machine struct {
	epoch   int64
	running map[int]work
}

type request struct {
	owner     string
	boot      int
	transfer  Transfer
	shards    map[string]int64 // shard rows that must be unchanged
	delivered bool
	ok        bool
	version   int64
	answered  bool
}

type owner struct {
	name      string
	boot      int
	ledger    *Ledger
	rows      map[string]int64 // version of each owned shard's row
	epochs    map[string]int64
	contracts map[string]int64 // contract versions known from a full read
	counted   map[int]work     // what the ledger counts
	ended     []work           // counted tasks that ended at a worker and aren't reported yet
	snapshot  *snapshot        // a read that has begun
	doubts    map[string]bool  // teams with a doubt after the read began
}

type snapshot struct {
	contracts map[string]contractRow
	escrow    map[string]escrowRow
}

type world struct {
	now       anvilclock.Millis
	version   int64
	contracts map[string]contractRow
	escrow    map[string]escrowRow
	shards    map[string]shardRow
	machines  map[string]*machine
	owners    map[string]*owner
	requests  []*request
	ceiling   map[string]anvilsize.Size
	next      int
	unsettled bool // never calls Settled
	unchecked bool // leaves out the check of the shards' rows
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
		machines: map[string]*machine{}, owners: map[string]*owner{}, ceiling: map[string]anvilsize.Size{},
	}
	for _, s := range shardNames {
		w.machines[s] = &machine{running: map[int]work{}}
		w.shards[s] = shardRow{}
	}
	for _, t := range teamNames {
		w.setLimit(t, size(100))
	}
	for _, o := range ownerNames {
		w.boot(o)
	}
	for i, s := range shardNames {
		w.takeOver(w.owners[ownerNames[i%len(ownerNames)]], s)
	}
	return w
}

func (w *world) bump() int64 {
	w.version++
	return w.version
}

func (w *world) boot(name string) {
	n := 0
	if old := w.owners[name]; old != nil {
		n = old.boot + 1
	}
	o := &owner{
		name: name, boot: n, ledger: NewLedger(), rows: map[string]int64{}, epochs: map[string]int64{},
		contracts: map[string]int64{}, doubts: map[string]bool{}, counted: map[int]work{},
	}
	o.ledger.SetShards(shardNames)
	w.owners[name] = o
	w.read(o)
}

func (w *world) setLimit(team string, limit anvilsize.Size) {
	w.contracts[team] = contractRow{limit: limit, version: w.bump()}
	w.ceiling[team] = w.ceiling[team].Max(limit)
}

func (w *world) begin(o *owner) {
	o.snapshot = &snapshot{contracts: maps.Clone(w.contracts), escrow: maps.Clone(w.escrow)}
	o.doubts = map[string]bool{}
}

func (w *world) finish(o *owner) {
	if o.snapshot == nil {
		return
	}
	for _, team := range teamNames {
		c := o.snapshot.contracts[team]
		o.ledger.SetTeam(team, c.limit, c.version)
		o.contracts[team] = max(o.contracts[team], c.version)
		if row, ok := o.snapshot.escrow[team]; ok {
			o.ledger.PutRow(team, row.parts, row.version)
		}
		if !w.unsettled && !o.doubts[team] {
			o.ledger.Refreshed(team)
		}
	}
	o.snapshot = nil
}

func (w *world) read(o *owner) {
	w.begin(o)
	w.finish(o)
}

// takeOver takes the shard's row, fences its worker, reads the rows and adopts what ran at the
// time of the fence.
func (w *world) takeOver(o *owner, shard string) {
	if w.shards[shard].owner == o.name && o.ledger.HasShard(shard) {
		return
	}
	o.disown(shard)
	row := shardRow{owner: o.name, epoch: w.shards[shard].epoch + 1, version: w.bump()}
	w.shards[shard] = row
	o.rows[shard], o.epochs[shard] = row.version, row.epoch
	m := w.machines[shard]
	m.epoch = row.epoch
	listed := maps.Clone(m.running)
	w.read(o)
	o.ledger.AddShard(shard)
	for id, job := range listed {
		o.counted[id] = job
		o.ledger.Account(shard, job.team).Adopt(job.size)
	}
}

func (o *owner) disown(shard string) {
	o.ledger.RemoveShard(shard)
	for id, job := range o.counted {
		if job.shard == shard {
			delete(o.counted, id)
		}
	}
}

// notice lets an owner see which shards it has lost.
func (w *world) notice(o *owner) {
	for shard := range maps.Clone(o.rows) {
		if w.shards[shard].owner != o.name {
			o.disown(shard)
			delete(o.rows, shard)
		}
	}
}

func (w *world) plan(t anvilassert.T, o *owner) {
	flying := map[string]bool{}
	for _, m := range o.ledger.Plan(w.now) {
		anvilassert.True(t, !flying[m.Team()], "two moves of team %s in one plan", m.Team())
		flying[m.Team()] = true
		r := &request{owner: o.name, boot: o.boot, transfer: m, shards: map[string]int64{}}
		for _, shard := range m.Shards() {
			r.shards[shard] = o.rows[shard]
		}
		w.requests = append(w.requests, r)
	}
}

// deliver lets a commit reach the table.
func (w *world) deliver(t anvilassert.T, r *request) {
	r.delivered = true
	m := r.transfer
	old := w.escrow[m.Team()]
	if old.version != m.Row() || w.contracts[m.Team()].version != m.ContractRow() {
		return
	}
	for shard, version := range r.shards {
		if !w.unchecked && w.shards[shard].version != version {
			return
		}
	}
	limit, before, after := w.contracts[m.Team()].limit, total(old.parts), total(m.Parts())
	anvilassert.True(t, after.Fits(limit.Max(before)), "team %s: parts %v exceed limit %v and the former %v", m.Team(), after, limit, before)
	r.ok, r.version = true, w.bump()
	w.escrow[m.Team()] = escrowRow{parts: m.Parts(), version: r.version}
}

func (w *world) alive(r *request) *owner {
	if o := w.owners[r.owner]; o.boot == r.boot {
		return o
	}
	return nil
}

func (w *world) answer(r *request) {
	r.answered = true
	o := w.alive(r)
	switch {
	case o == nil:
	case r.ok:
		o.ledger.Committed(r.transfer.ID(), r.version)
	default:
		o.ledger.Rejected(r.transfer.ID())
	}
}

func (w *world) lose(r *request) {
	r.answered = true
	if o := w.alive(r); o != nil {
		o.ledger.OutcomeUnknown(r.transfer.ID())
		o.doubts[r.transfer.Team()] = true
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
	m := w.machines[shard]
	if o.epochs[shard] < m.epoch {
		a.Release(s)
		return false
	}
	w.next++
	job := work{id: w.next, team: team, size: s, shard: shard}
	m.running[w.next], o.counted[w.next] = job, job
	return true
}

// end lets a task end at its worker; its owner learns of it later.
func (w *world) end(job work) {
	delete(w.machines[job.shard].running, job.id)
	for _, o := range w.owners {
		o.ended = append(o.ended, job)
	}
}

func (w *world) report(o *owner) {
	for _, job := range o.ended {
		if _, ok := o.counted[job.id]; ok {
			delete(o.counted, job.id)
			o.ledger.Account(job.shard, job.team).Release(job.size)
		}
	}
	o.ended = nil
}

func (w *world) jobs() []work {
	var out []work
	for _, m := range w.machines {
		out = slices.AppendSeq(out, maps.Values(m.running))
	}
	slices.SortFunc(out, func(a, b work) int { return a.id - b.id })
	return out
}

func (w *world) used(team string) anvilsize.Size {
	var s anvilsize.Size
	for _, job := range w.jobs() {
		if job.team == team {
			s = s.Add(job.size)
		}
	}
	return s
}

// inForce reports whether every owner of a shard knows the team's contract.
func (w *world) inForce(team string) bool {
	for _, row := range w.shards {
		if o := w.owners[row.owner]; o != nil && o.contracts[team] < w.contracts[team].version {
			return false
		}
	}
	return true
}

// check asserts the invariants. The ceiling of a team is its limit, or what already ran when a
// lower limit came into force everywhere; it only sinks until it reaches the limit.
func (w *world) check(t anvilassert.T) {
	for _, team := range teamNames {
		used, limit := w.used(team), w.contracts[team].limit
		anvilassert.True(t, used.Fits(w.ceiling[team]), "team %s uses %v, more than %v (limit %v)", team, used, w.ceiling[team], limit)
		if w.inForce(team) {
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
	a, row := o.ledger.Account(shard, team), w.escrow[team].parts[shard]
	anvilassert.True(t, a.Part().Fits(row), "%s in %s: part %v in memory exceeds %v in the table", team, shard, a.Part(), row)
	var running anvilsize.Size
	for _, job := range w.machines[shard].running {
		if job.team == team {
			running = running.Add(job.size)
		}
	}
	anvilassert.True(t, running.Fits(row), "%s in %s: %v running, part %v in the table", team, shard, running, row)
	anvilassert.True(t, running.Fits(a.Used()), "%s in %s: %v running, %v counted", team, shard, running, a.Used())
	if row.Negative() {
		t.Fatalf("%s in %s: part %v is negative", team, shard, row)
	}
}

// settle ends all trouble: every request is delivered and answered, every shard has an owner that
// knows it, and the owners work undisturbed for a while.
func (w *world) settle(t anvilassert.T, rounds int) {
	for _, name := range ownerNames {
		w.notice(w.owners[name])
	}
	for _, shard := range shardNames {
		if o := w.owners[w.shards[shard].owner]; o == nil || !o.ledger.HasShard(shard) {
			w.takeOver(w.owners[ownerNames[0]], shard)
		}
	}
	w.flush(t)
	for range rounds {
		w.now += 500
		for _, name := range ownerNames {
			w.round(t, w.owners[name])
		}
	}
	w.flush(t)
}

// round lets an owner work undisturbed.
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

func (w *world) flush(t anvilassert.T) {
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

func (w *world) pick(t *rapid.T, want func(*request) bool) *request {
	var fit []*request
	for _, r := range w.requests {
		if want(r) {
			fit = append(fit, r)
		}
	}
	if len(fit) == 0 {
		t.Skip("no such request")
	}
	return rapid.SampledFrom(fit).Draw(t, "request")
}

func (w *world) owner(t *rapid.T) *owner {
	return w.owners[rapid.SampledFrom(ownerNames).Draw(t, "owner")]
}
