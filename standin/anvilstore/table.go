package anvilstore

import (
	"sort"
	"strings"

	"anvilhold.org/lib/anvilclock"
)

// retention is how long tombstones are kept. A reader that polls less often misses deletions and has to read the whole
// prefix again.
const retention anvilclock.Millis = 10 * 60 * 1000

// Table is a set of rows with a version that each commit increments.
type Table struct {
	clock      anvilclock.Clock
	version    int64
	rows       map[string]*Row
	journals   map[string]*journal // by key space
	tombstones []*Row
}

// journal lists the row versions of one key space in the order of commits. A row version that has been replaced stays in
// the list until the next compaction.
type journal struct {
	rows     []*Row
	outdated int // number of row versions in rows that have been replaced or removed
}

// NewTable returns an empty table at version 0.
func NewTable(clock anvilclock.Clock) *Table {
	return &Table{clock: clock, rows: map[string]*Row{}, journals: map[string]*journal{}}
}

// Version returns the version of the newest commit.
func (t *Table) Version() int64 { return t.version }

// Commit applies c and returns the new version of the table. If a check fails, it changes nothing and returns the present
// version and the first row whose version differs from its check.
func (t *Table) Commit(c *Change) (version int64, conflict *Row) {
	t.Collect()
	for _, ck := range c.checks {
		r := t.rows[ck.key]
		var current int64
		if r != nil && !r.deleted {
			current = r.version
		}
		if current == ck.version {
			continue
		}
		if r == nil {
			r = &Row{key: ck.key}
		}
		return t.version, r
	}
	t.version++
	now := t.clock.Now()
	for _, r := range c.puts {
		t.write(&Row{key: r.key, value: r.value, version: t.version, change: c.id, at: now})
	}
	for _, key := range c.deletes {
		if r := t.rows[key]; r == nil || r.deleted {
			continue
		}
		tombstone := &Row{key: key, version: t.version, change: c.id, deleted: true, at: now}
		t.write(tombstone)
		t.tombstones = append(t.tombstones, tombstone)
	}
	return t.version, nil
}

// Find returns the row with a key; nil if it does not exist or is deleted.
func (t *Table) Find(key string) *Row {
	if r := t.rows[key]; r != nil && !r.deleted {
		return r
	}
	return nil
}

// Rows returns the rows, tombstones included, whose key begins with prefix and whose version is above after, in version
// order. It also returns the table version that the read reflects.
func (t *Table) Rows(prefix string, after int64) ([]*Row, int64) {
	t.Collect()
	var found []*Row
	if space, _, ok := strings.Cut(prefix, "/"); ok {
		found = t.scan(t.journals[space], prefix, after, nil)
	} else {
		for _, j := range t.journals {
			found = t.scan(j, prefix, after, found)
		}
		sort.Slice(found, func(i, k int) bool {
			if found[i].version != found[k].version {
				return found[i].version < found[k].version
			}
			return found[i].key < found[k].key
		})
	}
	return found, t.version
}

// Collect removes the tombstones that are older than the retention time.
func (t *Table) Collect() {
	now := t.clock.Now()
	n := 0
	for ; n < len(t.tombstones) && now-t.tombstones[n].at >= retention; n++ {
		r := t.tombstones[n]
		if t.rows[r.key] != r {
			continue
		}
		delete(t.rows, r.key)
		t.markOutdated(r)
	}
	t.tombstones = t.tombstones[n:]
}

// scan appends the current rows of j under prefix whose version is above after to found.
func (t *Table) scan(j *journal, prefix string, after int64, found []*Row) []*Row {
	if j == nil {
		return found
	}
	from := sort.Search(len(j.rows), func(i int) bool { return j.rows[i].version > after })
	for _, r := range j.rows[from:] {
		if t.rows[r.key] == r && strings.HasPrefix(r.key, prefix) {
			found = append(found, r)
		}
	}
	return found
}

// write makes r the current version of its row.
func (t *Table) write(r *Row) {
	old := t.rows[r.key]
	t.rows[r.key] = r
	name := keySpace(r.key)
	j := t.journals[name]
	if j == nil {
		j = &journal{}
		t.journals[name] = j
	}
	j.rows = append(j.rows, r)
	if old != nil {
		t.markOutdated(old)
	}
}

// markOutdated counts a row version that is no longer current. It compacts the journal when more than half of it is
// outdated.
func (t *Table) markOutdated(r *Row) {
	name := keySpace(r.key)
	j := t.journals[name]
	j.outdated++
	// The 64 keeps small journals from being copied on every commit.
	if j.outdated <= len(j.rows)/2+64 {
		return
	}
	kept := make([]*Row, 0, len(j.rows)-j.outdated)
	for _, r := range j.rows {
		if t.rows[r.key] == r {
			kept = append(kept, r)
		}
	}
	if len(kept) == 0 {
		delete(t.journals, name)
		return
	}
	t.journals[name] = &journal{rows: kept}
}

// keySpace returns the part of a key before the first slash. Each key space has its own journal, so that a read of one
// prefix doesn't scan the rows of other key spaces.
func keySpace(key string) string {
	name, _, _ := strings.Cut(key, "/")
	return name
}
