package anvilescrow

import (
	"maps"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// teamsPerPlan bounds the teams that one call of Plan examines, because it runs on the control loop,
// whose decisions must stay under 2 ms: a team with 96 shards takes about 40 µs (BenchmarkPlan).
const teamsPerPlan = 32

// Plan returns the transfers to commit now: at most one for each team, and none for a team whose last
// transfer has no result yet. Allocations that a transfer lowers are lower in memory at once. A team of
// which nothing has changed is examined only when a window of its accounts ends. When many teams have
// changed, the next call continues with the remaining ones, so the caller calls Plan several times a
// second.
func (l *Ledger) Plan(now anvilclock.Millis) []Transfer {
	for i, name := range l.names {
		l.startWindows(l.teams[name], i, now)
	}
	var transfers []Transfer
	first, planned := l.nextTeam, 0
	for k := 0; k < len(l.names) && planned < teamsPerPlan; k++ {
		l.nextTeam = (first + k + 1) % len(l.names)
		name := l.names[(first+k)%len(l.names)]
		t := l.teams[name]
		if !t.dirty || !t.ready(now) {
			continue
		}
		planned++
		t.dirty = false
		if tr := l.plan(name, t, now); tr != nil {
			t.addTransfer(tr)
			l.refresh(t)
			transfers = append(transfers, *tr)
		}
	}
	return transfers
}

// startWindows begins new windows of a team's accounts when the current ones have ended. The teams'
// windows begin at different times, so that not all teams are examined in the same plan.
func (l *Ledger) startWindows(t *team, index int, now anvilclock.Millis) {
	window := (l.idle + 1) / 2
	if t.windowStart == 0 {
		t.windowStart = now - anvilclock.Millis(index)*window/anvilclock.Millis(len(l.names))
	}
	if now-t.windowStart < window {
		return
	}
	t.windowStart, t.dirty = now, true
	for _, a := range t.accounts {
		a.startWindow()
	}
}

// ready reports whether a team may be planned: its contract is known, no transfer is in flight, and the
// retry delay after a failed transfer has passed. The first call after a failure starts that delay.
func (t *team) ready(now anvilclock.Millis) bool {
	if !t.contractKnown || t.inFlight != 0 {
		return false
	}
	if t.failed && t.retryAt == 0 {
		t.retryAt = now + planRetryDelay
	}
	if t.failed && now < t.retryAt {
		return false
	}
	t.failed = false
	return true
}

// maxUnresolved bounds the transfers without a known result that a team keeps. During an outage of the
// table a new one is tried each second.
const maxUnresolved = 8

// addTransfer adds a transfer that is about to be committed. Beyond the bound the two oldest are merged
// into one with the lower allocations of both, whose result can't be reported any more; a newer row
// removes it.
func (t *team) addTransfer(tr *Transfer) {
	if len(t.unresolved) >= maxUnresolved {
		a, b := t.unresolved[0], t.unresolved[1]
		lower := map[string]anvilsize.Size{}
		for shard, allocation := range a.allocations {
			lower[shard] = allocation.Min(b.allocations[shard])
		}
		t.unresolved = append([]*Transfer{{allocations: lower}}, t.unresolved[2:]...)
	}
	t.unresolved = append(t.unresolved, tr)
	t.inFlight = tr.id
}

// plan returns the next transfer of a team; nil when the row needs no change.
func (l *Ledger) plan(name string, t *team, now anvilclock.Millis) *Transfer {
	d := &draft{limit: t.limit, base: t.allocations, allocated: t.allocated, changes: map[string]anvilsize.Size{}, overLimit: !t.allocated.Fits(t.limit)}
	l.releaseRemoved(d)
	floor := l.floor(t)
	for _, shard := range l.owned {
		d.lower(shard, t.accounts[shard], floor)
	}
	if !d.overLimit {
		for _, shard := range l.owned {
			d.raise(shard, floor.Sub(d.allocation(shard)), anvilsize.Size{})
		}
		d.floorDeficit = l.floorDeficit(d, floor)
		for _, shard := range l.owned {
			l.raiseForDemand(d, t, shard, now)
		}
	}
	changed := d.changedShards(l.owned)
	if len(changed) == 0 && len(t.unresolved) == 0 && !d.released {
		return nil
	}
	l.lastID++
	return &Transfer{id: l.lastID, team: name, rowVersion: t.rowVersion, contractRowVersion: t.contractRowVersion, allocations: d.row(), shards: changed}
}

// floor returns the size that each shard keeps without demand: an equal share of half of the team's
// limit.
func (l *Ledger) floor(t *team) anvilsize.Size {
	if len(l.allShards) == 0 {
		return anvilsize.Size{}
	}
	floor := t.limit.Ratio(1, 2*int64(len(l.allShards)))
	if !l.minFloor.Fits(floor) {
		return anvilsize.Size{}
	}
	return floor
}

// draft is an escrow row while it is computed: base is the row in the table, changes holds the
// allocations that differ from it.
type draft struct {
	limit        anvilsize.Size
	base         map[string]anvilsize.Size
	changes      map[string]anvilsize.Size
	allocated    anvilsize.Size
	floorDeficit anvilsize.Size // free, but kept for shards below their floors
	overLimit    bool
	released     bool // allocations of removed shards were freed
}

func (d *draft) free() anvilsize.Size { return d.limit.Sub(d.allocated).Sub(d.floorDeficit) }

// floorDeficit returns the total by which shards are below their floors. That amount isn't allocated on
// demand: after an outage the shards with the first commits would otherwise hold the whole limit for as
// long as they have work, while others can't start a single task.
func (l *Ledger) floorDeficit(d *draft, floor anvilsize.Size) anvilsize.Size {
	var sum anvilsize.Size
	for _, shard := range l.allShards {
		sum = sum.Add(floor.Sub(d.allocation(shard)).Max(anvilsize.Size{}))
	}
	return sum
}

func (d *draft) allocation(shard string) anvilsize.Size {
	if len(d.changes) > 0 {
		if allocation, ok := d.changes[shard]; ok {
			return allocation
		}
	}
	return d.base[shard]
}

func (d *draft) set(shard string, allocation anvilsize.Size) {
	old := d.allocation(shard)
	if allocation == old {
		return
	}
	d.allocated = d.allocated.Sub(old).Add(allocation)
	d.changes[shard] = allocation
}

// row returns the complete new row.
func (d *draft) row() map[string]anvilsize.Size {
	out := maps.Clone(d.base)
	if out == nil {
		out = map[string]anvilsize.Size{}
	}
	for shard, allocation := range d.changes {
		if allocation.IsZero() {
			delete(out, shard)
		} else {
			out[shard] = allocation
		}
	}
	return out
}

// raise adds as much of size as is free. It adds nothing when that is less than minimum, because an
// allocation too small for any start is useless in this shard and unavailable to the others.
func (d *draft) raise(shard string, size, minimum anvilsize.Size) {
	size = size.Max(anvilsize.Size{}).Min(d.free().Max(anvilsize.Size{}))
	if size.IsZero() {
		return
	}
	if !minimum.Fits(size) {
		return
	}
	d.set(shard, d.allocation(shard).Add(size))
}

// changedShards returns the owned shards whose allocations differ from the row.
func (d *draft) changedShards(owned []string) []string {
	var out []string
	for _, shard := range owned {
		if d.allocation(shard) != d.base[shard] {
			out = append(out, shard)
		}
	}
	return out
}

// releaseRemoved frees the allocations of shards that are no longer in the fleet, if WithReclaim is set.
func (l *Ledger) releaseRemoved(d *draft) {
	if !l.reclaim || len(l.allShards) == 0 {
		return
	}
	for shard := range d.base {
		_, exists := slices.BinarySearch(l.allShards, shard)
		if !exists && !l.HasShard(shard) {
			d.set(shard, anvilsize.Size{})
			d.released = true
		}
	}
}

// scarceDivisor sets when the free share of a limit is scarce: below 1/scarceDivisor of the limit. While more
// is free, unused remainders up to 1/scarceDivisor of an allocation stay with their shard, because each
// transfer costs a write to the table.
const scarceDivisor = 4

// lower reduces a shard's allocation to what it needed within the windows, but not below the floor. While
// the limit is exceeded it reduces the allocation to what is in use.
func (d *draft) lower(shard string, a *Account, floor anvilsize.Size) {
	allocation := d.allocation(shard)
	if allocation.IsZero() {
		return
	}
	if a == nil {
		a = &Account{}
	}
	if d.overLimit {
		d.set(shard, allocation.Min(a.used))
		return
	}
	need := a.need()
	keep := allocation.Min(need.Max(floor))
	plenty := d.limit.Ratio(1, scarceDivisor).Fits(d.free())
	small := allocation.Sub(keep).Fits(allocation.Ratio(1, scarceDivisor))
	if plenty && small && !need.Fits(floor) {
		return
	}
	d.set(shard, keep)
}

// raiseForDemand raises an allocation for starts that exceeded it.
func (l *Ledger) raiseForDemand(d *draft, t *team, shard string, now anvilclock.Millis) {
	dem := t.demands[shard]
	if dem == nil {
		return
	}
	var used anvilsize.Size
	if a := t.accounts[shard]; a != nil {
		used = a.used
	}
	before := d.allocation(shard)
	available := before.Sub(used)
	shortage := dem.size.Sub(available).Max(anvilsize.Size{})
	if shortage.IsZero() || now-dem.lastAttempt >= l.idle {
		delete(t.demands, shard)
		return
	}
	d.raise(shard, shortage.Add(shortage.Ratio(l.extra, 100)), dem.smallest.Sub(available))
	if d.allocation(shard) != before {
		delete(t.demands, shard)
	}
}
