// Package anvilstorage defines what the scheduler keeps in the platform's transactional store: rows and transactions,
// and the format of the rows in each of the scheduler's own tables.
package anvilstorage

import (
	"encoding/base64"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevacuation"
	"anvilhold.org/lib/anvilpolicy"
)

// Table names one of the scheduler's own tables.
type Table string

// The tables that the scheduler reads and writes.
const (
	Intake      Table = "intake"    // submissions and cancellations of jobs that have not ended
	Progress    Table = "progress"  // the progress of the tasks of these jobs
	States      Table = "states"    // the state of every job, as callers see it
	Leaderships Table = "tenures"   // the leader and its fencing token
	Instances   Table = "instances" // the entry instances and their addresses
	Leases      Table = "leases"    // bounds of the leases of workers that don't answer
	WitnessList Table = "witnesses" // the instances that confirm an outage of the store to the leader
)

// Partition names a partition of a table. The store carries out the transactions of a partition one after another, so
// submissions and the leader's commits are in different partitions.
type Partition string

// The partitions that the scheduler uses.
const (
	CallsPartition Partition = ""      // what instances write for callers, and the operator's rows
	FleetPartition Partition = "fleet" // what the leader commits
)

// Partitions returns the partitions in which a table has rows, in the order in which they are read. A job state that the
// leader wrote is newer than the one stored with the submission, so the leader's partition comes first.
func (t Table) Partitions() []Partition {
	switch t {
	case Progress, Leaderships, Leases, WitnessList:
		return []Partition{FleetPartition}
	case States:
		return []Partition{FleetPartition, CallsPartition}
	default:
		return []Partition{CallsPartition}
	}
}

// Row is a row of a table, or the record of its deletion. A version of 0 means that the row does not exist.
type Row struct {
	table   Table
	key     string
	value   []byte
	version int64
	deleted bool
}

// NewRow returns a row to be written with Tx.Set.
func NewRow(table Table, key string, value []byte) Row {
	return Row{table: table, key: key, value: value}
}

// ReadRow returns a row as the store returned it. It does not copy value.
func ReadRow(table Table, key string, value []byte, version int64, deleted bool) Row {
	return Row{table: table, key: key, value: value, version: version, deleted: deleted}
}

// Table returns the table that the row is in.
func (r Row) Table() Table { return r.table }

// Key returns the row's key, unique in its table.
func (r Row) Key() string { return r.key }

// Value returns the row's value, which the caller must not modify.
func (r Row) Value() []byte { return r.value }

// Size returns an upper bound of what the row takes in a transaction, in bytes of the store's encoding.
func (r Row) Size() int {
	return base64.StdEncoding.EncodedLen(len(r.value)) + len(r.key) + entryOverhead
}

// Version returns the version of the commit that wrote the row; 0 when the row does not exist or was not read.
func (r Row) Version() int64 { return r.version }

// Deleted reports whether this is the record of a deletion.
func (r Row) Deleted() bool { return r.deleted }

// Limits of the store: it refuses a larger transaction as a whole.
const (
	// MaxEntries is the largest number of conditions, writes and deletions in a transaction.
	MaxEntries = 100
	// MaxBytes bounds the size of a transaction in bytes, as Tx.Size counts it.
	MaxBytes = 1_000_000
	// MaxRowBytes is the largest size of a row's value in bytes.
	MaxRowBytes = 65_536
)

// entryOverhead is the most that an entry of a transaction takes in the store's encoding, in bytes, beside its key and
// its value.
const entryOverhead = 100

// Tx is an atomic transaction on rows of one partition. It is not safe for concurrent use.
type Tx struct {
	partition        Partition
	expects          []Row
	sets             []Row
	deletes          []Row
	policyRowVersion int64
}

// NewTx returns an empty transaction on the rows of a partition.
func NewTx(partition Partition) *Tx { return &Tx{partition: partition} }

// Partition returns the partition that all the rows belong to.
func (t *Tx) Partition() Partition { return t.partition }

// Expect adds the condition that a row has this version; with 0 the row must not exist.
func (t *Tx) Expect(table Table, key string, version int64) {
	t.expects = append(t.expects, Row{table: table, key: key, version: version})
}

// ExpectPolicy adds the condition that the row of the configuration has this version; 0 adds none.
func (t *Tx) ExpectPolicy(version int64) { t.policyRowVersion = version }

// Set adds a row to be inserted or replaced.
func (t *Tx) Set(r Row) { t.sets = append(t.sets, r) }

// Replace returns a copy of the transaction with another value of a row that it writes.
func (t *Tx) Replace(r Row) *Tx {
	out := *t
	out.sets = slices.Clone(t.sets)
	for i, old := range out.sets {
		if old.table == r.table && old.key == r.key {
			out.sets[i] = r
		}
	}
	return &out
}

// ReplaceExpected returns a copy of the transaction with another version of a row that it expects.
func (t *Tx) ReplaceExpected(table Table, key string, version int64) *Tx {
	out := *t
	out.expects = slices.Clone(t.expects)
	for i, old := range out.expects {
		if old.table == table && old.key == key {
			out.expects[i].version = version
		}
	}
	return &out
}

// Delete adds a row to be deleted.
func (t *Tx) Delete(table Table, key string) {
	t.deletes = append(t.deletes, Row{table: table, key: key})
}

// Len returns the number of conditions, writes and deletions, which MaxEntries limits.
func (t *Tx) Len() int {
	n := len(t.expects) + len(t.sets) + len(t.deletes)
	if t.policyRowVersion != 0 {
		n++
	}
	return n
}

// Size returns an upper bound of the transaction's size in the store's encoding, in bytes, which MaxBytes limits.
func (t *Tx) Size() int {
	n := entryOverhead
	for _, entries := range [][]Row{t.expects, t.sets, t.deletes} {
		for _, r := range entries {
			n += r.Size()
		}
	}
	return n
}

// Expects returns the conditions on the scheduler's rows, as rows without values.
func (t *Tx) Expects() []Row { return t.expects }

// Sets returns the rows to be written, in the order in which they were added.
func (t *Tx) Sets() []Row { return t.sets }

// Deletes returns the rows to be deleted, without values or versions.
func (t *Tx) Deletes() []Row { return t.deletes }

// PolicyRowVersion returns the version that the row of the configuration must have; 0 for no condition.
func (t *Tx) PolicyRowVersion() int64 { return t.policyRowVersion }

// Receipt is the store's answer to a committed transaction.
type Receipt struct {
	version int64
	now     anvilclock.Millis
}

// NewReceipt returns a receipt with the version of the written rows and the time on the store's clock.
func NewReceipt(version int64, now anvilclock.Millis) Receipt {
	return Receipt{version: version, now: now}
}

// Version returns the version that all rows of the transaction have.
func (r Receipt) Version() int64 { return r.version }

// Now returns the time of the commit on the store's steady clock.
func (r Receipt) Now() anvilclock.Millis { return r.now }

// Page holds the rows of a table, or the changes in it, up to a version of the store.
type Page struct {
	rows    []Row
	version int64
	now     anvilclock.Millis
	age     anvilclock.Millis
}

// NewPage returns a page. It does not copy rows.
func NewPage(rows []Row, version int64, now anvilclock.Millis) Page {
	return Page{rows: rows, version: version, now: now}
}

// Rows returns the rows, which may include records of deletions.
func (p Page) Rows() []Row { return p.rows }

// Version returns the version up to which the page is complete. Later changes are read from there.
func (p Page) Version() int64 { return p.version }

// Now returns the time of the read on the store's steady clock; 0 for rows from another instance.
func (p Page) Now() anvilclock.Millis { return p.now }

// WithAge returns a copy of the page of another instance, which read its rows from the store so long ago.
func (p Page) WithAge(age anvilclock.Millis) Page {
	p.age = age
	return p
}

// Age returns how long ago another instance had read the rows when it answered; 0 for rows from the store.
func (p Page) Age() anvilclock.Millis { return p.age }

// PolicyPage is the result of reading the operator's configuration or waiting for a change of it.
type PolicyPage struct {
	policy      *anvilpolicy.Policy
	rowVersion  int64
	version     int64
	sent        anvilclock.Millis
	document    []byte
	changes     int
	evacuations *anvilevacuation.Page
}

// NewPolicyPage returns a page. policy is nil when the configuration is missing or has not changed, rowVersion the
// version of its row and version the one up to which the page is complete.
func NewPolicyPage(policy *anvilpolicy.Policy, rowVersion, version int64) PolicyPage {
	return PolicyPage{policy: policy, rowVersion: rowVersion, version: version}
}

// Policy returns the newest configuration; nil when it is missing or unreadable, or has not changed.
func (p PolicyPage) Policy() *anvilpolicy.Policy { return p.policy }

// RowVersion returns the version of the configuration's row, for Tx.ExpectPolicy; 0 when Policy is nil.
func (p PolicyPage) RowVersion() int64 { return p.rowVersion }

// WithDocument returns a copy of the page with the text from which the configuration was decoded, for other instances. It keeps the
// slice.
func (p PolicyPage) WithDocument(text []byte) PolicyPage {
	p.document = text
	return p
}

// Document returns the text from which the configuration was decoded; nil when it isn't known. The caller must not change it.
func (p PolicyPage) Document() []byte { return p.document }

// WithChanges returns a copy of the page with the number of versions of the configuration that the answer listed.
func (p PolicyPage) WithChanges(n int) PolicyPage {
	p.changes = n
	return p
}

// Changes returns the number of versions that the answer listed, each of them whole.
func (p PolicyPage) Changes() int { return p.changes }

// SentAt returns a copy of the page with the local time at which the call that read it was sent.
func (p PolicyPage) SentAt(t anvilclock.Millis) PolicyPage {
	p.sent = t
	return p
}

// Sent returns the local time at which the call was sent: the page shows the configuration of that time or a later one. It is 0
// when the time isn't known.
func (p PolicyPage) Sent() anvilclock.Millis { return p.sent }

// WithEvacuations returns a copy of the page with what the same read has shown of evacuations.
func (p PolicyPage) WithEvacuations(e *anvilevacuation.Page) PolicyPage {
	p.evacuations = e
	return p
}

// Evacuations returns what the read has shown of evacuations; nil when it didn't cover them.
func (p PolicyPage) Evacuations() *anvilevacuation.Page { return p.evacuations }

// Version returns the version up to which the page is complete.
func (p PolicyPage) Version() int64 { return p.version }
