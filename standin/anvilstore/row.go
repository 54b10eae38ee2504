// Package anvilstore holds the state of the table service and of the object store. It does no I/O
// and is not safe for concurrent use; one goroutine owns it.
package anvilstore

import (
	"fmt"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
)

// Row is one version of a row. It is immutable once the table has it.
type Row struct {
	key     string
	value   []byte
	version int64
	change  string
	deleted bool
	at      anvilclock.Millis
}

// Key returns the key.
func (r *Row) Key() string { return r.key }

// Value returns the value; the caller must not change it.
func (r *Row) Value() []byte { return r.value }

// Version returns the table version at which the row was written; 0 when it does not exist.
func (r *Row) Version() int64 { return r.version }

// Change returns the id of the change that wrote the row.
func (r *Row) Change() string { return r.change }

// Deleted reports whether this version is a tombstone.
func (r *Row) Deleted() bool { return r.deleted }

// Bounds of one change. A check costs no write, so that every row can be checked together with
// the rows that the writer depends on.
const (
	MaxRows   = 128
	MaxChecks = 2 * MaxRows
	MaxKey    = 512
)

type check struct {
	key     string
	version int64
}

// Change is one transaction.
type Change struct {
	id      string
	checks  []check
	puts    []*Row
	deletes []string
}

// ChangeOption adds a part of a Change.
type ChangeOption func(*Change)

// WithCheck requires the row to have exactly this version; 0 requires that it does not exist.
func WithCheck(key string, version int64) ChangeOption {
	return func(c *Change) { c.checks = append(c.checks, check{key: key, version: version}) }
}

// WithPut writes a row. The change keeps the slice.
func WithPut(key string, value []byte) ChangeOption {
	return func(c *Change) { c.puts = append(c.puts, &Row{key: key, value: value}) }
}

// WithDelete deletes a row.
func WithDelete(key string) ChangeOption {
	return func(c *Change) { c.deletes = append(c.deletes, key) }
}

// NewChange returns a change, or the reason why it is malformed.
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

// keys returns the keys that the change writes.
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
