// Package anvilplatform holds the control state of the users' platform apart from its workers: the store of rows with
// its feeds, the worker registry, the rendezvous of gangs, and the advisor's decisions. It reads time from a clock and
// does no I/O. A Platform is not safe for concurrent use: one goroutine owns it.
package anvilplatform

import (
	"slices"
	"strconv"
	"strings"

	"anvilhold.org/lib/anvilclock"

	"anvilhold.org/standin/anvilstore"
)

// Tables that the scheduler may read but not write: the operator and the worker registry write them.
const (
	TableOperator = "op"
	TableWorkers  = "servers"
)

// Times of the store.
const (
	// transactionTime is how long one transaction or read takes. The transactions of a partition are serialized.
	transactionTime = anvilclock.Millis(4)
	// maxQueueDelay is the longest time that a transaction may wait for earlier ones of its partition.
	maxQueueDelay = anvilclock.Millis(1000)
	// historyRetention is how long changes stay readable through a feed.
	historyRetention = anvilclock.Millis(20_000)
)

// RowID identifies a row by table, partition and key.
type RowID struct {
	table, partition, key string
}

// NewRowID returns the id of a row, which need not exist.
func NewRowID(table, partition, key string) RowID {
	return RowID{table: table, partition: partition, key: key}
}

// Table returns the name of the table.
func (id RowID) Table() string { return id.table }

// Partition returns the partition of the table; empty in tables that are not partitioned.
func (id RowID) Partition() string { return id.partition }

// Key returns the key within the partition.
func (id RowID) Key() string { return id.key }

// separator separates partition and key in the keys of the underlying table. No name contains it.
const separator = "\x01"

func (id RowID) storeKey() string { return id.table + "/" + id.partition + separator + id.key }

func parseRowID(text string) RowID {
	table, rest, _ := strings.Cut(text, "/")
	partition, key, _ := strings.Cut(rest, separator)
	return RowID{table: table, partition: partition, key: key}
}

// Row is a row at a version. A deleted row has no value.
type Row struct {
	id      RowID
	value   []byte
	version int64
	deleted bool
}

// ID returns the table, partition and key of the row.
func (r Row) ID() RowID { return r.id }

// Value returns the value, which must not be modified; nil if the row is deleted.
func (r Row) Value() []byte { return r.value }

// Version returns the version of the store at which the row was written or deleted; 0 if the row does not exist.
func (r Row) Version() int64 { return r.version }

// Deleted reports whether the row was deleted at its version.
func (r Row) Deleted() bool { return r.deleted }

// Page is the reply to a call: its outcome, rows, and the version and clock of the store.
type Page struct {
	rows    []Row
	version int64
	now     anvilclock.Millis
	// delay is the simulated time until the reply is sent.
	delay   anvilclock.Millis
	outcome Outcome
}

// Rows returns the rows that the call asked for. After a conflict they are the current versions of the rows that the
// transaction expected.
func (p Page) Rows() []Row { return p.rows }

// Version returns the newest version of the store.
func (p Page) Version() int64 { return p.version }

// Now returns the time on the store's clock.
func (p Page) Now() anvilclock.Millis { return p.now }

// Delay returns the simulated time after which the reply is to be sent.
func (p Page) Delay() anvilclock.Millis { return p.delay }

// Outcome returns the outcome of the call, on which the HTTP status depends.
func (p Page) Outcome() Outcome { return p.outcome }

// Outcome says whether a call was carried out and whether it gets a reply. The zero value is Answered.
type Outcome int

// Outcomes of a call.
const (
	Answered   Outcome = iota // the call was carried out
	Conflict                  // an expected version differs; nothing was done, and the page has the current rows
	Refused                   // nothing was done, and the reply is an error
	Overloaded                // too many calls are waiting; nothing was done
	NoReply                   // nothing was done, and the call gets no reply
	ReplyLost                 // the call was carried out, but gets no reply
	Compacted                 // the requested history is no longer kept
)

// FailedPage returns a page that has an outcome and nothing else.
func FailedPage(outcome Outcome) Page { return Page{outcome: outcome} }

// Rand is the source of randomness that selects the calls that a fault affects.
type Rand interface {
	// Percent returns a random number from 0 to 99.
	Percent() int
}

// Platform is the control state of the platform. Its methods must be called from one goroutine.
type Platform struct {
	clock  anvilclock.Clock
	random Rand
	table  *anvilstore.Table
	// busyUntil is when each partition has completed all its transactions.
	busyUntil map[string]anvilclock.Millis
	// compactedTo is the version up to which the history is no longer kept.
	compactedTo int64
	// commits are the commits of the last historyRetention, oldest first.
	commits []commit
	feeds   []*feed
	workers map[string]*registration
	faults  faults
	gangs   map[string]*gang
	// heartbeatInterval is the time between two heartbeats of a worker.
	heartbeatInterval anvilclock.Millis
	// lastChange is the number of the newest change, which makes change ids unique.
	lastChange int
}

// commit is the version of the store after a commit and the time of the commit.
type commit struct {
	at      anvilclock.Millis
	version int64
}

// New returns an empty platform. It removes workers that send no heartbeat for missedHeartbeats times
// heartbeatInterval.
func New(clock anvilclock.Clock, random Rand, heartbeatInterval anvilclock.Millis) *Platform {
	return &Platform{
		clock: clock, random: random, table: anvilstore.NewTable(clock), busyUntil: map[string]anvilclock.Millis{},
		workers: map[string]*registration{}, heartbeatInterval: heartbeatInterval,
	}
}

func (p *Platform) page(outcome Outcome) Page {
	return Page{version: p.table.Version(), now: p.clock.Now(), outcome: outcome}
}

// Tx is a transaction over one partition. The zero value is an empty transaction.
type Tx struct {
	expects []Row
	sets    []Row
	deletes []RowID
}

// Expect makes the transaction fail with Conflict unless the row is at the given version. Version 0 means that the row
// must not exist.
func (t *Tx) Expect(id RowID, version int64) {
	t.expects = append(t.expects, Row{id: id, version: version})
}

// Set writes a row. It keeps value, which must not be modified afterwards.
func (t *Tx) Set(id RowID, value []byte) { t.sets = append(t.sets, Row{id: id, value: value}) }

// Delete deletes a row. It has no effect if the row does not exist.
func (t *Tx) Delete(id RowID) { t.deletes = append(t.deletes, id) }

// partition returns the partition of the first row that the transaction writes; empty if it writes none.
func (t *Tx) partition() string {
	for _, r := range t.sets {
		return r.id.partition
	}
	for _, id := range t.deletes {
		return id.partition
	}
	return ""
}

// writesReadOnly reports whether the transaction writes to a table that is read-only for the scheduler.
func (t *Tx) writesReadOnly() bool {
	readOnly := func(id RowID) bool { return id.table == TableOperator || id.table == TableWorkers }
	return slices.ContainsFunc(t.sets, func(r Row) bool { return readOnly(r.id) }) || slices.ContainsFunc(t.deletes, readOnly)
}

// Transact carries out a transaction of the scheduler. The outcome is Refused if it writes to a table that the scheduler
// may only read, and Overloaded if its partition has too many transactions waiting.
func (p *Platform) Transact(t *Tx) Page {
	if t.writesReadOnly() {
		return p.page(Refused)
	}
	outcome := p.faults.outcome(p.clock.Now(), p.random, true)
	if outcome != Answered && outcome != ReplyLost {
		return p.page(outcome)
	}
	now, partition := p.clock.Now(), t.partition()
	if p.busyUntil[partition]-now > maxQueueDelay {
		return p.page(Overloaded)
	}
	p.busyUntil[partition] = max(p.busyUntil[partition], now) + transactionTime*p.faults.slowdown(now)
	out := p.apply(t)
	out.delay = p.busyUntil[partition] - now
	if outcome == ReplyLost {
		out.outcome = ReplyLost
	}
	return out
}

// apply commits a transaction at once, unaffected by injected faults.
func (p *Platform) apply(t *Tx) Page {
	p.lastChange++
	opts := make([]anvilstore.ChangeOption, 0, len(t.expects)+len(t.sets)+len(t.deletes))
	for _, r := range t.expects {
		opts = append(opts, anvilstore.WithCheck(r.id.storeKey(), r.version))
	}
	for _, r := range t.sets {
		opts = append(opts, anvilstore.WithPut(r.id.storeKey(), r.value))
	}
	for _, id := range t.deletes {
		opts = append(opts, anvilstore.WithDelete(id.storeKey()))
	}
	change, err := anvilstore.NewChange(strconv.Itoa(p.lastChange), opts...)
	if err != nil {
		return p.page(Refused)
	}
	if _, conflict := p.table.Commit(change); conflict != nil {
		out := p.page(Conflict)
		for _, r := range t.expects {
			out.rows = append(out.rows, p.get(r.id))
		}
		return out
	}
	now := p.clock.Now()
	p.commits = append(p.commits, commit{at: now, version: p.table.Version()})
	for len(p.commits) > 0 && now-p.commits[0].at > historyRetention {
		p.compactedTo = max(p.compactedTo, p.commits[0].version)
		p.commits = p.commits[1:]
	}
	p.answerFeeds()
	return p.page(Answered)
}

func (p *Platform) get(id RowID) Row {
	if r := p.table.Find(id.storeKey()); r != nil {
		return Row{id: id, value: r.Value(), version: r.Version()}
	}
	return Row{id: id}
}

// rows returns the rows of a table that changed after a version, in version order. It includes deleted rows.
func (p *Platform) rows(table string, after int64) []Row {
	found, _ := p.table.Rows(table+"/", after)
	out := make([]Row, 0, len(found))
	for _, r := range found {
		out = append(out, Row{id: parseRowID(r.Key()), value: r.Value(), version: r.Version(), deleted: r.Deleted()})
	}
	return out
}

// MaxReadRows is the largest number of rows that Read returns: one more than the largest page, so that the caller sees
// whether there are more.
const MaxReadRows = 501

// Read returns the first MaxReadRows rows of a partition whose keys are at least from and below to, in key order. An empty
// to means that there is no upper bound.
func (p *Platform) Read(table, partition, from, to string) Page {
	if outcome := p.faults.outcome(p.clock.Now(), p.random, false); outcome != Answered {
		return p.page(outcome)
	}
	out := p.page(Answered)
	if to == from+"\x00" {
		// Instances read single rows often, and a table may have many.
		if r := p.get(RowID{table: table, partition: partition, key: from}); r.version != 0 {
			out.rows = []Row{r}
		}
		out.delay = transactionTime * p.faults.slowdown(p.clock.Now())
		return out
	}
	prefix := RowID{table: table, partition: partition}.storeKey()
	found, _ := p.table.Rows(prefix, 0)
	for _, r := range found {
		if key := r.Key()[len(prefix):]; !r.Deleted() && key >= from && (to == "" || key < to) {
			out.rows = append(out.rows, Row{id: RowID{table: table, partition: partition, key: key}, value: r.Value(), version: r.Version()})
		}
		if len(out.rows) == 2*MaxReadRows {
			out.rows = firstRows(out.rows)
			to = out.rows[MaxReadRows-1].id.key
		}
	}
	out.rows = firstRows(out.rows)
	out.delay = transactionTime * p.faults.slowdown(p.clock.Now())
	return out
}

// firstRows sorts rows by key and returns the first MaxReadRows of them.
func firstRows(rows []Row) []Row {
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.id.key, b.id.key) })
	return rows[:min(len(rows), MaxReadRows)]
}

// DeleteOperatorRow deletes a row of the operator's table. Injected faults don't affect it.
func (p *Platform) DeleteOperatorRow(key string) Page {
	t := &Tx{}
	t.Delete(RowID{table: TableOperator, key: key})
	return p.apply(t)
}

// WriteOperatorRow writes a row of the operator's table. Injected faults don't affect it.
func (p *Platform) WriteOperatorRow(key string, value []byte) Page {
	t := &Tx{}
	t.Set(RowID{table: TableOperator, key: key}, value)
	return p.apply(t)
}
