// Package anvilstore holds the state of the platform stand-in's table and object store. It does no I/O and is not safe for
// concurrent use; one goroutine owns it.
package anvilstore

import (
	"fmt"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
)

// Row is one version of a row. It is immutable after its commit.
type Row struct {
	key     string
	value   []byte
	version int64
	change  string
	deleted bool
	at      anvilclock.Millis
}

// Key returns the row's key. Its part before the first slash is the key space.
func (r *Row) Key() string { return r.key }

// Value returns the value, nil for a tombstone. The caller must not change it.
func (r *Row) Value() []byte { return r.value }

// Version returns the table version at which the row was written, 0 for a row that doesn't exist.
func (r *Row) Version() int64 { return r.version }

// Change returns the id of the change that wrote the row, empty for a row that doesn't exist.
func (r *Row) Change() string { return r.change }

// Deleted reports whether this version is a tombstone, which records a deletion.
func (r *Row) Deleted() bool { return r.deleted }

// Limits of one change: the number of rows written or deleted, the number of checks, and the bytes of a key. There can be
// more checks than rows, because checks write nothing: a change can check each row that it writes and as many other rows
// that it depends on.
const (
	MaxRows   = 128
	MaxChecks = 2 * MaxRows
	MaxKey    = 512
)

// check is a condition of a change: the row of the key has the version.
type check struct {
	key     string
	version int64
}

// Change is a transaction: its rows are written and deleted together if all of its checks hold.
type Change struct {
	id      string
	checks  []check
	puts    []*Row
	deletes []string
}

// ChangeOption adds a check, a write or a deletion to a Change.
type ChangeOption func(*Change)

// WithCheck requires that the row has exactly this version; 0 requires that it doesn't exist.
func WithCheck(key string, version int64) ChangeOption {
	return func(c *Change) { c.checks = append(c.checks, check{key: key, version: version}) }
}

// WithPut writes a row. The change keeps value, which the caller must not change.
func WithPut(key string, value []byte) ChangeOption {
	return func(c *Change) { c.puts = append(c.puts, &Row{key: key, value: value}) }
}

// WithDelete deletes a row; if it doesn't exist, this has no effect.
func WithDelete(key string) ChangeOption {
	return func(c *Change) { c.deletes = append(c.deletes, key) }
}

// NewChange returns a change, or an error with code BadInput that says why it is malformed. id identifies the change in the
// rows that it writes.
func NewChange(id string, opts ...ChangeOption) (*Change, error) {
	c := &Change{id: id}
	for _, opt := range opts {
		opt(c)
	}
	if n := len(c.puts) + len(c.deletes); n > MaxRows {
		return nil, badInput("%d rows in a commit, at most %d are allowed", n, MaxRows)
	}
	if n := len(c.checks); n > MaxChecks {
		return nil, badInput("%d checks in a commit, at most %d are allowed", n, MaxChecks)
	}
	for _, ck := range c.checks {
		if err := checkKey(ck.key); err != nil {
			return nil, err
		}
	}
	written := map[string]bool{}
	for _, key := range c.keys() {
		if err := checkKey(key); err != nil {
			return nil, err
		}
		if written[key] {
			return nil, badInput("key %q is written twice in a commit", key)
		}
		written[key] = true
	}
	return c, nil
}

// keys returns the keys that the change writes or deletes.
func (c *Change) keys() []string {
	keys := make([]string, 0, len(c.puts)+len(c.deletes))
	for _, r := range c.puts {
		keys = append(keys, r.key)
	}
	return append(keys, c.deletes...)
}

func checkKey(key string) error {
	if key == "" || len(key) > MaxKey {
		return badInput("a key must have between 1 and %d bytes", MaxKey)
	}
	return nil
}

func badInput(format string, args ...any) error {
	return anvilerror.Refuse(anvilerror.BadInput, fmt.Sprintf(format, args...))
}
