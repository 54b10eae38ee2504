package anvilconfig

import (
	"cmp"
	"crypto/subtle"
	"maps"
	"slices"
)

// Snapshot is the configuration at one version. It is immutable and safe for concurrent use.
type Snapshot struct {
	version   int64
	contracts map[string]Contract
	rows      map[string]int64
	keys      map[string]Key
	leaves    map[string]bool
}

// Version returns the number of the configuration; 0 before the first read.
func (s *Snapshot) Version() int64 { return s.version }

// Contract returns a team's contract.
func (s *Snapshot) Contract(team string) (Contract, bool) {
	c, ok := s.contracts[team]
	return c, ok
}

// ContractRow returns the version of a contract's row in the table, which changes of the team's
// parts are checked against.
func (s *Snapshot) ContractRow(team string) int64 { return s.rows[team] }

// Contracts returns all contracts in order of their teams.
func (s *Snapshot) Contracts() []Contract {
	out := make([]Contract, 0, len(s.contracts))
	for _, c := range s.contracts {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Contract) int { return cmp.Compare(a.team, b.team) })
	return out
}

// Keys returns all keys in order of their hashes.
func (s *Snapshot) Keys() []Key {
	out := make([]Key, 0, len(s.keys))
	for _, k := range s.keys {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b Key) int { return cmp.Compare(a.hash, b.hash) })
	return out
}

// Leaves returns the instances that are marked as leaving, in order.
func (s *Snapshot) Leaves() []string {
	out := make([]string, 0, len(s.leaves))
	for name := range s.leaves {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Leaving reports whether an instance is marked as leaving.
func (s *Snapshot) Leaving(instance string) bool { return s.leaves[instance] }

// Authenticate returns the key that a secret opens. The stored hash is compared in constant time.
func (s *Snapshot) Authenticate(secret string) (Key, bool) {
	h := HashKey(secret)
	k, ok := s.keys[h]
	if !ok || subtle.ConstantTimeCompare([]byte(k.hash), []byte(h)) != 1 {
		return Key{}, false
	}
	return k, true
}

// Entry is a configuration row: exactly one of contract, key and leave is set, or none when the
// row was deleted.
type Entry struct {
	name     string
	row      int64
	contract *Contract
	key      *Key
	leave    string
}

// ContractEntry returns an entry that holds a contract. row is the version of the table's row.
func ContractEntry(name string, row int64, c Contract) Entry {
	return Entry{name: name, row: row, contract: &c}
}

// KeyEntry returns an entry that holds a key.
func KeyEntry(name string, row int64, k Key) Entry { return Entry{name: name, row: row, key: &k} }

// LeaveEntry returns an entry that marks an instance as leaving.
func LeaveEntry(name string, row int64, instance string) Entry {
	return Entry{name: name, row: row, leave: instance}
}

// DeletedEntry returns an entry for a deleted row.
func DeletedEntry(name string, row int64) Entry { return Entry{name: name, row: row} }

// Name returns the key of the table's row.
func (e Entry) Name() string { return e.name }

// Row returns the version of the table's row.
func (e Entry) Row() int64 { return e.row }

// Contract returns the contract that the row holds.
func (e Entry) Contract() (Contract, bool) {
	if e.contract == nil {
		return Contract{}, false
	}
	return *e.contract, true
}

// Key returns the key that the row holds.
func (e Entry) Key() (Key, bool) {
	if e.key == nil {
		return Key{}, false
	}
	return *e.key, true
}

// Leave returns the instance that the row marks as leaving.
func (e Entry) Leave() (string, bool) { return e.leave, e.leave != "" }

// Deleted reports whether the row was deleted.
func (e Entry) Deleted() bool { return e.contract == nil && e.key == nil && e.leave == "" }

// Store holds the newest configuration that is known. It is not safe for concurrent use; its
// snapshots are.
type Store struct {
	entries  map[string]Entry
	pushed   map[int64]bool // numbers of pushed changes above the one in force
	snapshot *Snapshot
}

// NewStore returns an empty store at version 0.
func NewStore() *Store {
	s := &Store{entries: map[string]Entry{}, pushed: map[int64]bool{}}
	s.snapshot = s.build(0)
	return s
}

// Snapshot returns the configuration in force.
func (s *Store) Snapshot() *Snapshot { return s.snapshot }

// Apply takes the entries of a complete read or of a complete answer of a peer: together with what
// is known they make the configuration with the given number. An entry older than what is known is
// dropped, and a number below the one in force doesn't lower it, so that the configuration never
// reverts. It reports whether something changed.
func (s *Store) Apply(number int64, entries []Entry) bool {
	return s.merge(max(number, s.snapshot.version), entries)
}

// Push takes the entries of a single change, the one that made the configuration with the given
// number. They are in force at once, but the number follows only when no change in between is
// missing: otherwise the configuration would count as newer than it is, and a peer that compares
// numbers would not pass on the missing change.
func (s *Store) Push(number int64, entries []Entry) bool {
	if number > s.snapshot.version {
		s.pushed[number] = true
	}
	return s.merge(s.snapshot.version, entries)
}

// Gap reports whether a change is known without one before it. The number then says too little
// about what is known, so an instance with a gap must not answer a peer that it doesn't reach the
// table (see Confirmation).
func (s *Store) Gap() bool { return len(s.pushed) > 0 }

func (s *Store) merge(number int64, entries []Entry) bool {
	for s.pushed[number+1] {
		number++
	}
	maps.DeleteFunc(s.pushed, func(n int64, _ bool) bool { return n <= number })
	changed := number > s.snapshot.version
	for _, e := range entries {
		if old, ok := s.entries[e.name]; ok && old.row >= e.row {
			continue
		}
		s.entries[e.name] = e
		changed = true
	}
	if changed {
		s.snapshot = s.build(number)
	}
	return changed
}

// Entries returns all entries that are known, deleted ones included, in order of their names.
func (s *Store) Entries() []Entry {
	out := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.name, b.name) })
	return out
}

func (s *Store) build(number int64) *Snapshot {
	snap := &Snapshot{
		version: number, contracts: map[string]Contract{}, rows: map[string]int64{},
		keys: map[string]Key{}, leaves: map[string]bool{},
	}
	for _, e := range s.entries {
		switch {
		case e.contract != nil:
			snap.contracts[e.contract.team] = *e.contract
			snap.rows[e.contract.team] = e.row
		case e.key != nil:
			snap.keys[e.key.hash] = *e.key
		case e.leave != "":
			snap.leaves[e.leave] = true
		}
	}
	return snap
}
