// Package anvilplatform is the control state of what the users' platform runs beside its workers: the store of
// rows with its feeds, the list of workers, and the advisor's decisions. It decides on a clock and does no
// I/O; one goroutine owns it.
package anvilplatform

import (
	"slices"
	"strconv"
	"strings"

	"anvilhold.org/lib/anvilclock"

	"anvilhold.org/standin/anvilstore"
)

// Tables that only others than the system write.
const (
	TableOperator = "op"
	TableWorkers  = "servers"
)

// Times of the store.
const (
	// transactionTime is how long one transaction of a partition takes.
	transactionTime = anvilclock.Millis(4)
	// queueMost is the longest that a transaction may wait for those before it.
	queueMost = anvilclock.Millis(1000)
	// historyKeep is how long changes can be read from a feed.
	historyKeep = anvilclock.Millis(20_000)
)

// Place is where a row is.
type Place struct {
	table, partition, key string
}

// NewPlace returns the place of a row.
func NewPlace(table, partition, key string) Place {
	return Place{table: table, partition: partition, key: key}
}

// Table returns the table.
func (p Place) Table() string { return p.table }

// Partition returns the partition of the table.
func (p Place) Partition() string { return p.partition }

// Key returns the key.
func (p Place) Key() string { return p.key }

// separator stands between the names of a place in a key of the table. No name has it.
const separator = "\x01"

func (p Place) text() string { return p.table + "/" + p.partition + separator + p.key }

func parsePlace(text string) Place {
	table, rest, _ := strings.Cut(text, "/")
	partition, key, _ := strings.Cut(rest, separator)
	return Place{table: table, partition: partition, key: key}
}

// Row is a row as it was at a version; one that was removed has no value.
type Row struct {
	place   Place
	value   []byte
	version int64
	deleted bool
}

// Place returns where the row is.
func (r Row) Place() Place { return r.place }

// Value returns the value.
func (r Row) Value() []byte { return r.value }

// Version returns the version; 0 when there is no such row.
func (r Row) Version() int64 { return r.version }

// Deleted reports whether the row was removed.
func (r Row) Deleted() bool { return r.deleted }

// Page holds rows and the newest version of the store.
type Page struct {
	rows    []Row
	version int64
	now     anvilclock.Millis
	// delay is how long the store needs for the answer.
	delay   anvilclock.Millis
	outcome Outcome
}

// Rows returns the rows.
func (p Page) Rows() []Row { return p.rows }

// Version returns the newest version of the store.
func (p Page) Version() int64 { return p.version }

// Now returns the store's clock.
func (p Page) Now() anvilclock.Millis { return p.now }

// Delay returns how long the store needs for the answer.
func (p Page) Delay() anvilclock.Millis { return p.delay }

// Outcome tells what becomes of the call.
func (p Page) Outcome() Outcome { return p.outcome }

// Outcome tells what becomes of a call.
type Outcome int

// The outcomes.
const (
	Answered   Outcome = iota
	Conflict           // a condition does not hold; the rows are as they are
	Refused            // nothing was done
	Overloaded         // too many calls wait; nothing was done
	NoReply            // nothing was done, and nothing is answered
	ReplyLost          // it was done, and nothing is answered
	Compacted          // the history that was asked for is gone
)

// Failed returns the page of a call that was not answered with rows.
func Failed(outcome Outcome) Page { return Page{outcome: outcome} }

// Rand draws the calls that a fault hits.
type Rand interface {
	// Percent returns a number from 0 to 99.
	Percent() int
}

// Platform is the control state.
type Platform struct {
	clock  anvilclock.Clock
	random Rand
	table  *anvilstore.Table
	// free is when each partition has done what waits for it.
	free map[string]anvilclock.Millis
	// floor is the version up to which the history is gone; marks hold versions by time.
	floor     int64
	marks     []mark
	feeds     []*feed
	workers   map[string]*entry
	faults    faults
	gangs     map[string]*gang
	heartbeat anvilclock.Millis
	changes   int
}

// mark is the version of the store at a time.
type mark struct {
	at      anvilclock.Millis
	version int64
}

// New returns an empty platform whose workers write to the list every beat.
func New(clock anvilclock.Clock, random Rand, heartbeat anvilclock.Millis) *Platform {
	return &Platform{
		clock: clock, random: random, table: anvilstore.NewTable(clock), free: map[string]anvilclock.Millis{},
		workers: map[string]*entry{}, heartbeat: heartbeat,
	}
}

func (s *Platform) page(outcome Outcome) Page {
	return Page{version: s.table.Version(), now: s.clock.Now(), outcome: outcome}
}

// Tx is a transaction over one partition.
type Tx struct {
	expects []Row
	sets    []Row
	deletes []Place
}

// Expect requires that a row has a version; 0 means that it does not exist.
func (t *Tx) Expect(p Place, version int64) {
	t.expects = append(t.expects, Row{place: p, version: version})
}

// Set writes a row.
func (t *Tx) Set(p Place, value []byte) { t.sets = append(t.sets, Row{place: p, value: value}) }

// Delete removes a row.
func (t *Tx) Delete(p Place) { t.deletes = append(t.deletes, p) }

// partition returns the partition that the transaction is carried out in.
func (t *Tx) partition() string {
	for _, r := range t.sets {
		return r.place.partition
	}
	for _, p := range t.deletes {
		return p.partition
	}
	return ""
}

// foreign reports whether the transaction writes to a table of others.
func (t *Tx) foreign() bool {
	of := func(p Place) bool { return p.table == TableOperator || p.table == TableWorkers }
	return slices.ContainsFunc(t.sets, func(r Row) bool { return of(r.place) }) || slices.ContainsFunc(t.deletes, of)
}

// Transact carries out a transaction of the system.
func (s *Platform) Transact(t *Tx) Page {
	if t.foreign() {
		return s.page(Refused)
	}
	outcome := s.faults.judge(s.clock.Now(), s.random, true)
	if outcome != Answered && outcome != ReplyLost {
		return s.page(outcome)
	}
	now, partition := s.clock.Now(), t.partition()
	if s.free[partition]-now > queueMost {
		return s.page(Overloaded)
	}
	s.free[partition] = max(s.free[partition], now) + transactionTime*s.faults.slowness(now)
	out := s.apply(t)
	out.delay = s.free[partition] - now
	if outcome == ReplyLost {
		out.outcome = ReplyLost
	}
	return out
}

// apply carries out a transaction at once.
func (s *Platform) apply(t *Tx) Page {
	s.changes++
	opts := make([]anvilstore.ChangeOption, 0, len(t.expects)+len(t.sets)+len(t.deletes))
	for _, r := range t.expects {
		opts = append(opts, anvilstore.WithCheck(r.place.text(), r.version))
	}
	for _, r := range t.sets {
		opts = append(opts, anvilstore.WithPut(r.place.text(), r.value))
	}
	for _, p := range t.deletes {
		opts = append(opts, anvilstore.WithDelete(p.text()))
	}
	change, err := anvilstore.NewChange(strconv.Itoa(s.changes), opts...)
	if err != nil {
		return s.page(Refused)
	}
	if _, conflict := s.table.Commit(change); conflict != nil {
		out := s.page(Conflict)
		for _, r := range t.expects {
			out.rows = append(out.rows, s.get(r.place))
		}
		return out
	}
	now := s.clock.Now()
	s.marks = append(s.marks, mark{at: now, version: s.table.Version()})
	for len(s.marks) > 0 && now-s.marks[0].at > historyKeep {
		s.floor = max(s.floor, s.marks[0].version)
		s.marks = s.marks[1:]
	}
	s.serveFeeds()
	return s.page(Answered)
}

func (s *Platform) get(p Place) Row {
	for _, r := range s.rows(p.table, 0) {
		if r.place == p && !r.deleted {
			return r
		}
	}
	return Row{place: p}
}

// rows returns the rows of a table that changed after a version, removed ones included, in order of their
// versions.
func (s *Platform) rows(table string, after int64) []Row {
	found, _ := s.table.Rows(table+"/", after)
	out := make([]Row, 0, len(found))
	for _, r := range found {
		out = append(out, Row{place: parsePlace(r.Key()), value: r.Value(), version: r.Version(), deleted: r.Deleted()})
	}
	return out
}

// Read returns the rows of a partition of a table from one key up to another, which is left out when it is set.
func (s *Platform) Read(table, partition, from, to string) Page {
	if outcome := s.faults.judge(s.clock.Now(), s.random, false); outcome != Answered {
		return s.page(outcome)
	}
	out := s.page(Answered)
	for _, r := range s.rows(table, 0) {
		if !r.deleted && r.place.partition == partition && r.place.key >= from && (to == "" || r.place.key < to) {
			out.rows = append(out.rows, r)
		}
	}
	slices.SortFunc(out.rows, func(a, b Row) int { return strings.Compare(a.place.key, b.place.key) })
	out.delay = transactionTime * s.faults.slowness(s.clock.Now())
	return out
}

// Operate writes a row as the operator does; no fault hits it.
func (s *Platform) Operate(key string, value []byte) Page {
	t := &Tx{}
	t.Set(Place{table: TableOperator, key: key}, value)
	return s.apply(t)
}
