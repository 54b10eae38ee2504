package anvilescrow

import (
	"maps"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Defaults of the options.
const (
	// DefaultIdle is the time after which an unused share of an allocation is returned to the free share of the limit.
	DefaultIdle anvilclock.Millis = 2000
	// DefaultExtra is the percentage added to each request for a larger allocation, so that a growing team
	// doesn't need a transfer for each start.
	DefaultExtra int64 = 25
)

// planRetryDelay is the time after which a team is planned again when nothing new was read since its
// last transfer failed. A transfer that was certainly not written leaves the row unchanged, so waiting
// for a newer row alone could last for ever. It is two read intervals of the table, within which
// the row that caused a conflict normally arrives.
const planRetryDelay anvilclock.Millis = 1000

// Transfer is a team's new escrow row, which the caller commits. The commit must check the version of
// the escrow row, the version of the contract's row, and for each shard of Shards that the shard's row
// is still the one by which the instance owns it: otherwise a former owner's delayed commit could lower
// an allocation that the next owner already uses.
type Transfer struct {
	id                 uint64
	team               string
	rowVersion         int64
	contractRowVersion int64
	allocations        map[string]anvilsize.Size
	shards             []string
}

// ID returns the number to pass to Committed, Rejected or OutcomeUnknown.
func (tr Transfer) ID() uint64 { return tr.id }

// Team returns the name of the team whose allocations change.
func (tr Transfer) Team() string { return tr.team }

// RowVersion returns the version of the escrow row that the transfer was computed from; 0 when there was
// no row.
func (tr Transfer) RowVersion() int64 { return tr.rowVersion }

// ContractRowVersion returns the version of the contract's row that the transfer was computed from; 0 when
// there was no contract.
func (tr Transfer) ContractRowVersion() int64 { return tr.contractRowVersion }

// Allocations returns the complete new row, by shard. The map must not be changed.
func (tr Transfer) Allocations() map[string]anvilsize.Size { return tr.allocations }

// Shards returns the sorted names of the owned shards whose allocations the transfer changes.
func (tr Transfer) Shards() []string { return slices.Clone(tr.shards) }

// Ledger keeps one owner's accounts and plans the transfers between the shards' allocations and the
// free share of each team's limit.
//
// The owner uses the smallest of the values that an allocation may have: that of the newest row read and
// those of all transfers without a known result. Such a transfer can take effect at any later time,
// but only while the row still has the version that the transfer was computed from; so these transfers
// are dropped as soon as a newer row is known.
//
// A Ledger is not safe for concurrent use.
type Ledger struct {
	idle      anvilclock.Millis
	extra     int64
	minFloor  anvilsize.Size
	reclaim   bool
	owned     []string // sorted
	allShards []string // of the fleet, sorted
	teams     map[string]*team
	names     []string // of teams, sorted
	lastID    uint64
	nextTeam  int // index in names at which the next plan begins
}

type team struct {
	limit              anvilsize.Size
	contractRowVersion int64
	contractKnown      bool // also when the team is known to have no contract
	rowVersion         int64
	allocations        map[string]anvilsize.Size
	allocated          anvilsize.Size      // sum of allocations
	accounts           map[string]*Account // by owned shard
	windowStart        anvilclock.Millis   // when the accounts' current window began
	dirty              bool                // an input of Plan has changed
	unresolved         []*Transfer         // transfers that may still take effect; all were computed from rowVersion
	inFlight           uint64              // id of the transfer whose result is awaited; 0 for none
	failed             bool                // the last transfer failed and nothing newer was read since
	retryAt            anvilclock.Millis
	demands            map[string]*demand
}

// demand is the size of a team's starts that exceeded the allocation of a shard.
type demand struct {
	size        anvilsize.Size    // the larger sum, of the last complete round of attempts or of the current one
	round       anvilsize.Size    // sum of the current round
	roundStart  anvilclock.Millis // when the current round began
	smallest    anvilsize.Size    // the smallest start
	lastAttempt anvilclock.Millis
}

// demandRound is longer than a pass over the queue and shorter than the time between two passes, so
// each waiting start counts once in a round. When every attempt was counted, one shard requested many
// times what it could use, and only 750 of 2,000 starts that fitted the limits of 140 teams ran.
const demandRound anvilclock.Millis = 100

// Option configures a Ledger.
type Option func(*Ledger)

// WithIdle sets the time after which an unused share of an allocation is returned to the free share of the
// limit; at least 1 ms.
func WithIdle(d anvilclock.Millis) Option { return func(l *Ledger) { l.idle = max(d, 1) } }

// WithExtra sets the percentage added to each request for a larger allocation; below 0 counts as 0.
func WithExtra(percent int64) Option { return func(l *Ledger) { l.extra = max(percent, 0) } }

// WithMinFloor sets the size below which shards keep no floor: a floor that can't start the smallest
// request only withholds its share of the limit from the other shards.
func WithMinFloor(s anvilsize.Size) Option { return func(l *Ledger) { l.minFloor = s } }

// WithReclaim lets the ledger free the allocations of shards that SetShards doesn't list. The caller
// sets it only when a shard that is not listed certainly runs nothing.
func WithReclaim() Option { return func(l *Ledger) { l.reclaim = true } }

// NewLedger returns a ledger that owns no shard.
func NewLedger(opts ...Option) *Ledger {
	l := &Ledger{idle: DefaultIdle, extra: DefaultExtra, teams: map[string]*team{}}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// AddShard adds a shard that this instance now owns. The caller must first have fenced every worker of
// the shard (a worker that can't be read is adopted with its whole capacity for each team), and applied
// a read of the escrow rows that began after the instance became the owner. Without the fences, the
// ledger would give back allocations that running tasks use; without the read, the allocations could be
// older than the former owner's last transfer. The caller adopts running tasks before the next Plan.
func (l *Ledger) AddShard(shard string) {
	if i, ok := slices.BinarySearch(l.owned, shard); !ok {
		l.owned = slices.Insert(l.owned, i, shard)
	}
	for _, t := range l.teams {
		l.refresh(t)
	}
}

// RemoveShard drops a shard that this instance no longer owns, with all use counted in it.
func (l *Ledger) RemoveShard(shard string) {
	if i, ok := slices.BinarySearch(l.owned, shard); ok {
		l.owned = slices.Delete(l.owned, i, i+1)
	}
	for _, t := range l.teams {
		if a := t.accounts[shard]; a != nil {
			a.allocation = anvilsize.Size{} // a caller that kept the account must not start more in it
		}
		delete(t.accounts, shard)
		delete(t.demands, shard)
	}
}

// HasShard reports whether the ledger owns a shard.
func (l *Ledger) HasShard(shard string) bool {
	_, ok := slices.BinarySearch(l.owned, shard)
	return ok
}

// Account returns the account of a team in a shard. For a shard that is not owned it returns a new
// account without an allocation, whose use counts nowhere.
func (l *Ledger) Account(shard, team string) *Account {
	if !l.HasShard(shard) {
		return &Account{}
	}
	t := l.team(team)
	a := t.accounts[shard]
	if a == nil {
		a = t.account(shard)
	}
	return a
}

// account creates an account. Its allocation counts as needed, so that a new owner doesn't give back at
// once what the former owner used.
func (t *team) account(shard string) *Account {
	a := &Account{}
	t.accounts[shard] = a
	t.updateAllocation(shard, a)
	a.recordNeed(a.allocation)
	return a
}

// SetTeam sets a team's limit from the contract's row with the given version. A row older than the known
// one is ignored.
func (l *Ledger) SetTeam(name string, limit anvilsize.Size, contractRowVersion int64) {
	t := l.team(name)
	if contractRowVersion < t.contractRowVersion {
		return
	}
	if contractRowVersion != t.contractRowVersion {
		t.failed = false // the transfer may have failed because the contract's version was outdated
	}
	t.limit, t.contractRowVersion, t.contractKnown = limit, contractRowVersion, true
	l.refresh(t)
}

// DropTeam records that a team has no contract: none of its tasks start and its allocations become free.
func (l *Ledger) DropTeam(name string) {
	t := l.team(name)
	t.limit, t.contractRowVersion, t.contractKnown, t.failed = anvilsize.Size{}, 0, true, false
	l.refresh(t)
}

// SetShards sets the names of all shards of the fleet, in any order. It copies the slice.
func (l *Ledger) SetShards(names []string) {
	l.allShards = slices.Clone(names)
	slices.Sort(l.allShards)
	l.allShards = slices.Compact(l.allShards)
	for _, t := range l.teams {
		t.dirty = true
	}
}

// PutRow records a team's escrow row as it was read. A row that is not newer than the known one is
// ignored. It copies the map.
func (l *Ledger) PutRow(name string, allocations map[string]anvilsize.Size, rowVersion int64) {
	t := l.team(name)
	if rowVersion <= t.rowVersion {
		return
	}
	l.apply(t, maps.Clone(allocations), rowVersion)
}

// apply replaces the row with a newer one. Every unresolved transfer was computed from an older row, so
// it can't take effect any more or is this row. An allocation that grew counts as needed, so that it
// isn't given back before the starts that demanded it are tried again.
func (l *Ledger) apply(t *team, allocations map[string]anvilsize.Size, rowVersion int64) {
	for shard, a := range t.accounts {
		if !allocations[shard].Fits(t.allocations[shard]) {
			a.recordNeed(allocations[shard])
		}
	}
	t.rowVersion, t.allocations, t.allocated, t.unresolved = rowVersion, allocations, total(allocations), nil
	t.inFlight, t.failed = 0, false
	l.refresh(t)
}

// RecordDemand counts a start that exceeded the team's allocation in the shard. A start that stays in
// the queue is counted again at each attempt, because demand is forgotten after the idle time.
func (l *Ledger) RecordDemand(shard, name string, size anvilsize.Size, now anvilclock.Millis) {
	if !l.HasShard(shard) {
		return
	}
	t := l.team(name)
	t.dirty = true
	d := t.demands[shard]
	if d == nil || now-d.lastAttempt >= l.idle {
		d = &demand{smallest: size, roundStart: now}
		t.demands[shard] = d
	}
	// A team can't use more than its limit, so more demand than that changes nothing and could
	// overflow after many attempts.
	if now-d.roundStart >= demandRound {
		d.size, d.round, d.roundStart = d.round, anvilsize.Size{}, now
	}
	d.round = d.round.Add(size).Min(t.limit.Max(size))
	d.size = d.size.Max(d.round)
	d.smallest = d.smallest.Min(size)
	d.lastAttempt = now
}

// Committed records that a transfer was committed; rowVersion is that of the new escrow row.
func (l *Ledger) Committed(id uint64, rowVersion int64) {
	if t, tr := l.find(id); tr != nil {
		l.apply(t, tr.allocations, rowVersion)
	}
}

// Rejected records that a transfer met a conflict or was certainly not written.
func (l *Ledger) Rejected(id uint64) {
	t, tr := l.find(id)
	if tr == nil {
		return
	}
	t.unresolved = slices.DeleteFunc(t.unresolved, func(o *Transfer) bool { return o.id == id })
	t.fail(id)
	l.refresh(t)
}

// OutcomeUnknown records that the answer to a transfer was lost. Until a newer row is known, the lower
// allocation of the row and the transfer applies.
func (l *Ledger) OutcomeUnknown(id uint64) {
	if t, tr := l.find(id); tr != nil {
		t.fail(id)
	}
}

// fail ends the wait for a transfer that was rejected or whose outcome is unknown. Plan sets the time
// of the next attempt.
func (t *team) fail(id uint64) {
	if t.inFlight == id {
		t.inFlight, t.failed, t.retryAt, t.dirty = 0, true, 0, true
	}
}

// Refreshed records that a read of the team's row, which began after the last transfer's result, was
// applied, so that the team can be planned again. An unchanged row doesn't prove that a transfer with
// unknown outcome was lost: its request may still be in flight to a slow table. So the lower allocation
// stays, and the next Plan writes a row that supersedes the transfer.
func (l *Ledger) Refreshed(name string) {
	if t := l.teams[name]; t != nil {
		t.failed = false
	}
}

// Limit returns a team's limit; zero without a contract.
func (l *Ledger) Limit(name string) anvilsize.Size {
	if t := l.teams[name]; t != nil {
		return t.limit
	}
	return anvilsize.Size{}
}

// Allocated returns the sum of a team's allocations over the owned shards.
func (l *Ledger) Allocated(name string) anvilsize.Size { return l.sum(name, (*Account).Allocation) }

// Used returns the sum of a team's use over the owned shards.
func (l *Ledger) Used(name string) anvilsize.Size { return l.sum(name, (*Account).Used) }

// Free returns the share of a team's limit that the known row allocates to no shard. An amount is
// negative when the limit was lowered below the allocations.
func (l *Ledger) Free(name string) anvilsize.Size {
	if t := l.teams[name]; t != nil {
		return t.limit.Sub(t.allocated)
	}
	return anvilsize.Size{}
}

// LargestAllocation returns the largest allocation that one shard can get of a team's limit while the
// other shards keep their floors; zero for an unknown team.
func (l *Ledger) LargestAllocation(name string) anvilsize.Size {
	t := l.teams[name]
	if t == nil {
		return anvilsize.Size{}
	}
	floor := l.floor(t)
	return t.limit.Sub(floor.Scale(int64(max(len(l.allShards)-1, 0))))
}

// Teams returns the sorted names of the teams that have a contract, an allocation or use.
func (l *Ledger) Teams() []string {
	return slices.DeleteFunc(slices.Clone(l.names), func(name string) bool {
		t := l.teams[name]
		return t.contractRowVersion == 0 && t.allocated.IsZero() && l.Used(name).IsZero()
	})
}

func (l *Ledger) sum(name string, amount func(*Account) anvilsize.Size) anvilsize.Size {
	var s anvilsize.Size
	if t := l.teams[name]; t != nil {
		for _, a := range t.accounts {
			s = s.Add(amount(a))
		}
	}
	return s
}

// team returns a team, which is created on first use and never removed: if the version of its row were
// forgotten, an older row could be taken for a newer one.
func (l *Ledger) team(name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{demands: map[string]*demand{}, accounts: map[string]*Account{}}
		l.teams[name] = t
		i, _ := slices.BinarySearch(l.names, name)
		l.names = slices.Insert(l.names, i, name)
	}
	return t
}

func (l *Ledger) find(id uint64) (*team, *Transfer) {
	for _, t := range l.teams {
		for _, tr := range t.unresolved {
			if tr.id == id {
				return t, tr
			}
		}
	}
	return nil, nil
}

// refresh updates the allocations of a team's accounts and marks the team for the next plan.
func (l *Ledger) refresh(t *team) {
	t.dirty = true
	for _, shard := range l.owned {
		if a := t.accounts[shard]; a != nil {
			t.updateAllocation(shard, a)
		} else if !t.allocations[shard].IsZero() {
			t.account(shard)
		}
	}
}

// updateAllocation sets an account to the smallest allocation of the row and the unresolved transfers.
func (t *team) updateAllocation(shard string, a *Account) {
	allocation := t.allocations[shard]
	for _, tr := range t.unresolved {
		allocation = allocation.Min(tr.allocations[shard])
	}
	a.allocation = allocation
	a.blocked = !t.contractKnown || !t.allocated.Fits(t.limit)
}

func total(allocations map[string]anvilsize.Size) anvilsize.Size {
	var s anvilsize.Size
	for _, p := range allocations {
		s = s.Add(p)
	}
	return s
}
