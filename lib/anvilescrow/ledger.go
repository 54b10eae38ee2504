package anvilescrow

import (
	"maps"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Defaults of the options.
const (
	// Idle is the time after which room that was not needed is given back.
	Idle anvilclock.Millis = 2000
	// Extra is the percentage that is asked for on top of a shortage, so that a growing team doesn't
	// need a transfer for each start.
	Extra int64 = 25
)

// retryAfter is the time after which a team is planned again when nothing new was read since its
// last transfer failed. A transfer that was surely not written leaves the row as it is, so waiting for a
// newer row alone could wait for ever. Two read intervals of the table: a row that caused a
// conflict has normally arrived by then.
const retryAfter anvilclock.Millis = 1000

// Transfer is a new escrow row of a team that is to be committed. The commit must check the version of
// the escrow row, the version of the contract's row, and for each shard of Shards that its row is
// still the one with which the instance owns it: otherwise a former owner's delayed commit could
// lower a part that the next owner already uses.
type Transfer struct {
	id       uint64
	team     string
	row      int64
	contract int64
	parts    map[string]anvilsize.Size
	shards   []string
}

// ID returns the number with which the result is reported.
func (m Transfer) ID() uint64 { return m.id }

// Team returns the team.
func (m Transfer) Team() string { return m.team }

// Row returns the version of the escrow row that the transfer was computed from; 0 when there is none.
func (m Transfer) Row() int64 { return m.row }

// ContractRow returns the version of the contract's row that the transfer was computed from; 0 when
// there is none.
func (m Transfer) ContractRow() int64 { return m.contract }

// Parts returns the complete new row. The map must not be changed.
func (m Transfer) Parts() map[string]anvilsize.Size { return m.parts }

// Shards returns the owned shards whose parts the transfer changes, in order.
func (m Transfer) Shards() []string { return slices.Clone(m.shards) }

// Ledger keeps one owner's accounts and decides the transfers between the shards' parts and what
// is free of each team's limit.
//
// What the owner relies on is the smallest of all views of a part: the newest row that was read,
// and every transfer whose result is not known. A transfer without a result can take effect at any later
// time, but only while the row still has the version that the transfer was computed from; so the views
// of transfers are dropped when a newer row is known.
//
// A Ledger is not safe for concurrent use.
type Ledger struct {
	idle    anvilclock.Millis
	extra   int64
	least   anvilsize.Size
	reclaim bool
	owned   []string // in order
	fleet   []string // in order
	teams   map[string]*team
	names   []string // of teams, in order
	last    uint64
	next    int // where in names the next plan begins
}

// team is what is known of one team.
type team struct {
	limit    anvilsize.Size
	contract int64
	known    bool // the contract, or that there is none, is known
	row      int64
	parts    map[string]anvilsize.Size
	sum      anvilsize.Size      // of parts
	accounts map[string]*Account // by owned shard
	turned   anvilclock.Millis   // when the accounts' current window began
	dirty    bool                // something that Plan looks at has changed
	open     []*Transfer         // transfers that may still take effect; all were computed from row
	flight   uint64              // the transfer whose result is awaited
	failed   bool                // the last transfer failed and nothing newer was read since
	retry    anvilclock.Millis
	wants    map[string]*want
}

// want is the demand of a team that found no room in a shard.
type want struct {
	sum   anvilsize.Size // the larger of the last full round of attempts and the running one
	round anvilsize.Size
	since anvilclock.Millis // when the running round began
	least anvilsize.Size
	at    anvilclock.Millis
}

// wantRound is longer than a pass over the queue and shorter than the time between two passes. Each
// waiting start counts once in a round: counted at every attempt, one shard asked for many times what
// it could use, and 750 of 2,000 starts ran that fitted the limits of 140 teams.
const wantRound anvilclock.Millis = 100

// Option sets an optional part of a Ledger.
type Option func(*Ledger)

// WithIdle sets the time after which room that was not needed is given back.
func WithIdle(d anvilclock.Millis) Option { return func(l *Ledger) { l.idle = max(d, 1) } }

// WithExtra sets the percentage that is asked for on top of a shortage.
func WithExtra(percent int64) Option { return func(l *Ledger) { l.extra = max(percent, 0) } }

// WithLeastFloor sets the size below which shards keep no floor: one that can't start the smallest
// request only strands its share of the limit.
func WithLeastFloor(s anvilsize.Size) Option { return func(l *Ledger) { l.least = s } }

// WithReclaim lets the ledger free the parts of shards that SetShards doesn't list. The caller sets
// it only when a shard that is not listed surely runs nothing.
func WithReclaim() Option { return func(l *Ledger) { l.reclaim = true } }

// NewLedger returns a ledger that owns no shard.
func NewLedger(opts ...Option) *Ledger {
	l := &Ledger{idle: Idle, extra: Extra, teams: map[string]*team{}}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// AddShard adds a shard. Two things must have happened before: every worker of the shard was fenced (one
// that can't be read is adopted with its whole capacity for each team), and a read of the escrow
// rows that began after the shard's row was taken has been applied. Without the first, running
// tasks would be given away as idle room; without the second, the parts could be older than the
// former owner's last transfer. Tasks that run are adopted before the next Plan.
func (l *Ledger) AddShard(shard string) {
	if i, ok := slices.BinarySearch(l.owned, shard); !ok {
		l.owned = slices.Insert(l.owned, i, shard)
	}
	for _, t := range l.teams {
		l.refresh(t)
	}
}

// RemoveShard drops a shard with all usage counted in it.
func (l *Ledger) RemoveShard(shard string) {
	if i, ok := slices.BinarySearch(l.owned, shard); ok {
		l.owned = slices.Delete(l.owned, i, i+1)
	}
	for _, t := range l.teams {
		if a := t.accounts[shard]; a != nil {
			a.part = anvilsize.Size{} // a caller that kept the account must not start more with it
		}
		delete(t.accounts, shard)
		delete(t.wants, shard)
	}
}

// HasShard reports whether the ledger owns a shard.
func (l *Ledger) HasShard(shard string) bool {
	_, ok := slices.BinarySearch(l.owned, shard)
	return ok
}

// Account returns the account of a team in a shard. For a shard that is not owned it is an account
// without a part that counts nowhere.
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

// account creates an account. Its part counts as needed, so that a new owner doesn't give back at
// once what the former one used.
func (t *team) account(shard string) *Account {
	a := &Account{}
	t.accounts[shard] = a
	t.view(shard, a)
	a.note(a.part)
	return a
}

// SetTeam sets a team's limit as the contract's row with the given version has it. A version older
// than what is known is dropped.
func (l *Ledger) SetTeam(name string, limit anvilsize.Size, contractRow int64) {
	t := l.team(name)
	if contractRow < t.contract {
		return
	}
	if contractRow != t.contract {
		t.failed = false // the transfer may have failed for the version of the contract
	}
	t.limit, t.contract, t.known = limit, contractRow, true
	l.refresh(t)
}

// DropTeam says that a team has no contract: nothing starts for it and its parts become free.
func (l *Ledger) DropTeam(name string) {
	t := l.team(name)
	t.limit, t.contract, t.known, t.failed = anvilsize.Size{}, 0, true, false
	l.refresh(t)
}

// SetShards sets the names of all shards of the fleet.
func (l *Ledger) SetShards(names []string) {
	l.fleet = slices.Clone(names)
	slices.Sort(l.fleet)
	l.fleet = slices.Compact(l.fleet)
	for _, t := range l.teams {
		t.dirty = true
	}
}

// PutRow records a team's row as it was read. A row that is not newer than what is known is dropped.
func (l *Ledger) PutRow(name string, parts map[string]anvilsize.Size, row int64) {
	t := l.team(name)
	if row <= t.row {
		return
	}
	l.apply(t, maps.Clone(parts), row)
}

// apply takes a newer row. Every open transfer was computed from an older one and can't take effect
// any more, or is this row. A part that grew counts as needed, so that it isn't given back before
// the starts that asked for it were tried again.
func (l *Ledger) apply(t *team, parts map[string]anvilsize.Size, row int64) {
	for shard, a := range t.accounts {
		if !parts[shard].Fits(t.parts[shard]) {
			a.note(parts[shard])
		}
	}
	t.row, t.parts, t.sum, t.open = row, parts, total(parts), nil
	t.flight, t.failed = 0, false
	l.refresh(t)
}

// RecordDemand counts a start that found no room in the team's part. A start that stays in the queue is
// counted again at each attempt: a want is forgotten after the idle time.
func (l *Ledger) RecordDemand(shard, name string, size anvilsize.Size, now anvilclock.Millis) {
	if !l.HasShard(shard) {
		return
	}
	t := l.team(name)
	t.dirty = true
	w := t.wants[shard]
	if w == nil || now-w.at >= l.idle {
		w = &want{least: size, since: now}
		t.wants[shard] = w
	}
	// A team can't use more than its limit, so more demand than that changes nothing and could
	// overflow after many attempts.
	if now-w.since >= wantRound {
		w.sum, w.round, w.since = w.round, anvilsize.Size{}, now
	}
	w.round = w.round.Add(size).Min(t.limit.Max(size))
	w.sum = w.sum.Max(w.round)
	w.least = w.least.Min(size)
	w.at = now
}

// Committed says that a transfer was committed at a version of the row.
func (l *Ledger) Committed(id uint64, row int64) {
	if t, m := l.find(id); m != nil {
		l.apply(t, m.parts, row)
	}
}

// Rejected says that a transfer met a conflict or was surely not written.
func (l *Ledger) Rejected(id uint64) {
	t, m := l.find(id)
	if m == nil {
		return
	}
	t.open = slices.DeleteFunc(t.open, func(o *Transfer) bool { return o.id == id })
	t.fail(id)
	l.refresh(t)
}

// OutcomeUnknown says that the answer to a transfer was lost. The lower of both views holds until a newer row
// is known.
func (l *Ledger) OutcomeUnknown(id uint64) {
	if t, m := l.find(id); m != nil {
		t.fail(id)
	}
}

// fail notes that a transfer has no success to report. Plan sets the time of the next attempt.
func (t *team) fail(id uint64) {
	if t.flight == id {
		t.flight, t.failed, t.retry, t.dirty = 0, true, 0, true
	}
}

// Refreshed says that a read of the team's row that began after the last result was applied, so that
// the team can be planned again. A row that is still the one that a doubtful transfer was computed from
// doesn't prove that the transfer was lost: the request may be on its way to a slow table. So the lower
// view stays, and the next Plan writes a row that supersedes the transfer.
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

// Part returns the sum of a team's parts over the owned shards.
func (l *Ledger) Part(name string) anvilsize.Size { return l.sum(name, (*Account).Part) }

// Used returns the sum of what a team uses over the owned shards.
func (l *Ledger) Used(name string) anvilsize.Size { return l.sum(name, (*Account).Used) }

// Free returns what the known row leaves of a team's limit; negative amounts when the limit was
// lowered below the parts.
func (l *Ledger) Free(name string) anvilsize.Size {
	if t := l.teams[name]; t != nil {
		return t.limit.Sub(t.sum)
	}
	return anvilsize.Size{}
}

// Largest returns the largest part that one shard can get of a team's limit while the other shards
// keep their floors.
func (l *Ledger) Largest(name string) anvilsize.Size {
	t := l.teams[name]
	if t == nil {
		return anvilsize.Size{}
	}
	floor := l.floor(t)
	return t.limit.Sub(floor.Scale(int64(max(len(l.fleet)-1, 0))))
}

// Teams returns the teams that have a contract, parts or usage, in order.
func (l *Ledger) Teams() []string {
	return slices.DeleteFunc(slices.Clone(l.names), func(name string) bool {
		t := l.teams[name]
		return t.contract == 0 && t.sum.IsZero() && l.Used(name).IsZero()
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

// team returns a team, which is created on demand and kept for good: the version of a row that was
// seen must not be forgotten, or an older row could be taken for a new one.
func (l *Ledger) team(name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{wants: map[string]*want{}, accounts: map[string]*Account{}}
		l.teams[name] = t
		i, _ := slices.BinarySearch(l.names, name)
		l.names = slices.Insert(l.names, i, name)
	}
	return t
}

func (l *Ledger) find(id uint64) (*team, *Transfer) {
	for _, t := range l.teams {
		for _, m := range t.open {
			if m.id == id {
				return t, m
			}
		}
	}
	return nil, nil
}

// refresh sets the accounts of a team to the smallest view of each part.
func (l *Ledger) refresh(t *team) {
	t.dirty = true
	for _, shard := range l.owned {
		if a := t.accounts[shard]; a != nil {
			t.view(shard, a)
		} else if !t.parts[shard].IsZero() {
			t.account(shard)
		}
	}
}

func (t *team) view(shard string, a *Account) {
	part := t.parts[shard]
	for _, m := range t.open {
		part = part.Min(m.parts[shard])
	}
	a.part = part
	a.frozen = !t.known || !t.sum.Fits(t.limit)
}

func total(parts map[string]anvilsize.Size) anvilsize.Size {
	var s anvilsize.Size
	for _, p := range parts {
		s = s.Add(p)
	}
	return s
}
