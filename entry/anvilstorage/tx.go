// Package anvilstorage describes what the scheduler keeps in the platform's transactional store: rows and
// transactions, and the formats of the rows in each of the scheduler's own tables.
package anvilstorage

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilpolicy"
)

// Table names one of the scheduler's own tables.
type Table string

// The tables.
const (
	Intake      Table = "intake"    // submissions and cancellations of jobs that have not ended
	Progress    Table = "progress"  // what became of the tasks of these jobs
	States      Table = "states"    // the state of every job, as callers see it
	Leaderships Table = "tenures"   // who schedules, under which fencing token
	Instances   Table = "instances" // the entry instances and their addresses
)

// Partition names a partition of a table. The store carries out the transactions of a partition one after another, so
// submissions and the commits of the instance that schedules have partitions of their own.
type Partition string

// The partitions.
const (
	CallsPartition Partition = ""      // what instances write for callers, beside the operator's rows
	FleetPartition Partition = "fleet" // the chain of commits of the instance that schedules
)

// Partitions returns the partitions in which a table has rows. A state that the scheduling instance wrote is newer
// than the one that came with the submission, so its partition comes first.
func (t Table) Partitions() []Partition {
	switch t {
	case Progress, Leaderships:
		return []Partition{FleetPartition}
	case States:
		return []Partition{FleetPartition, CallsPartition}
	default:
		return []Partition{CallsPartition}
	}
}

// Row is a row of a table. A version of 0 means that the row does not exist.
type Row struct {
	table   Table
	key     string
	value   []byte
	version int64
	deleted bool
}

// NewRow returns a row to be written.
func NewRow(table Table, key string, value []byte) Row {
	return Row{table: table, key: key, value: value}
}

// ReadRow returns a row as it was read.
func ReadRow(table Table, key string, value []byte, version int64, deleted bool) Row {
	return Row{table: table, key: key, value: value, version: version, deleted: deleted}
}

// Table returns the table.
func (r Row) Table() Table { return r.table }

// Key returns the key.
func (r Row) Key() string { return r.key }

// Value returns the value.
func (r Row) Value() []byte { return r.value }

// Version returns the version that the store gave the row.
func (r Row) Version() int64 { return r.version }

// Deleted reports whether the row was removed.
func (r Row) Deleted() bool { return r.deleted }

// MaxEntries is how many conditions, rows and removals a transaction may hold: the store takes 100.
const MaxEntries = 100

// Tx is a transaction on rows of one partition: it applies whole or not at all.
type Tx struct {
	partition Partition
	expects   []Row
	sets      []Row
	deletes   []Row
	policy    int64
}

// NewTx returns an empty transaction on a partition.
func NewTx(partition Partition) *Tx { return &Tx{partition: partition} }

// Partition returns the partition.
func (t *Tx) Partition() Partition { return t.partition }

// Expect adds the condition that a row has a version; 0 means that it must not exist.
func (t *Tx) Expect(table Table, key string, version int64) {
	t.expects = append(t.expects, Row{table: table, key: key, version: version})
}

// ExpectPolicy adds the condition that the configuration has not changed since it was read with version.
func (t *Tx) ExpectPolicy(version int64) { t.policy = version }

// Set adds a row to be written.
func (t *Tx) Set(r Row) { t.sets = append(t.sets, r) }

// Delete adds a row to be removed.
func (t *Tx) Delete(table Table, key string) {
	t.deletes = append(t.deletes, Row{table: table, key: key})
}

// Len returns the number of entries.
func (t *Tx) Len() int {
	n := len(t.expects) + len(t.sets) + len(t.deletes)
	if t.policy != 0 {
		n++
	}
	return n
}

// Expects returns the conditions on the scheduler's rows.
func (t *Tx) Expects() []Row { return t.expects }

// Sets returns the rows to be written.
func (t *Tx) Sets() []Row { return t.sets }

// Deletes returns the rows to be removed.
func (t *Tx) Deletes() []Row { return t.deletes }

// Policy returns the expected version of the configuration's row; 0 for no condition.
func (t *Tx) Policy() int64 { return t.policy }

// Receipt is the answer to a transaction that was applied.
type Receipt struct {
	version int64
	now     anvilclock.Millis
}

// NewReceipt returns an answer with the version that the written rows have, and the store's time.
func NewReceipt(version int64, now anvilclock.Millis) Receipt {
	return Receipt{version: version, now: now}
}

// Version returns the version of the rows that were written.
func (r Receipt) Version() int64 { return r.version }

// Now returns the store's steady clock.
func (r Receipt) Now() anvilclock.Millis { return r.now }

// Page is what a table held, or what has changed in it, up to a version.
type Page struct {
	rows    []Row
	version int64
	now     anvilclock.Millis
}

// NewPage returns a page.
func NewPage(rows []Row, version int64, now anvilclock.Millis) Page {
	return Page{rows: rows, version: version, now: now}
}

// Rows returns the rows.
func (p Page) Rows() []Row { return p.rows }

// Version returns the version up to which the page is complete.
func (p Page) Version() int64 { return p.version }

// Now returns the store's steady clock.
func (p Page) Now() anvilclock.Millis { return p.now }

// PolicyPage is the newest configuration, with the version of its row.
type PolicyPage struct {
	policy  *anvilpolicy.Policy
	row     int64
	version int64
}

// NewPolicyPage returns a page; policy is nil when nothing has changed.
func NewPolicyPage(policy *anvilpolicy.Policy, row, version int64) PolicyPage {
	return PolicyPage{policy: policy, row: row, version: version}
}

// Policy returns the configuration; nil when there is none or nothing has changed.
func (p PolicyPage) Policy() *anvilpolicy.Policy { return p.policy }

// Row returns the version of the configuration's row.
func (p PolicyPage) Row() int64 { return p.row }

// Version returns the version up to which the page is complete.
func (p PolicyPage) Version() int64 { return p.version }
