package anvilconfig

import (
	"cmp"
	"crypto/subtle"
	"maps"
	"slices"
)

// Snapshot is the configuration at one version. It is immutable and safe for concurrent use.
type Snapshot struct {
	version             int64
	contracts           map[string]Contract
	contractRowVersions map[string]int64
	keys                map[string]Key
	leaves              map[string]bool
}

// Version returns the version number of the configuration; 0 before the first read.
func (s *Snapshot) Version() int64 { return s.version }

// Contract returns a team's contract; false when it has none.
func (s *Snapshot) Contract(team string) (Contract, bool) {
	c, ok := s.contracts[team]
	return c, ok
}

// ContractRowVersion returns the version of the table's row that holds a team's contract, which commits of
// escrow transfers check; 0 when the team has no contract.
func (s *Snapshot) ContractRowVersion(team string) int64 { return s.contractRowVersions[team] }

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

// Leaves returns the sorted instances that are marked as leaving.
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

// Authenticate returns the key with a secret; false when there is none. The stored hash is compared in
// constant time.
func (s *Snapshot) Authenticate(secret string) (Key, bool) {
	h := HashKey(secret)
	k, ok := s.keys[h]
	if !ok || subtle.ConstantTimeCompare([]byte(k.hash), []byte(h)) != 1 {
		return Key{}, false
	}
	return k, true
}

// Entry is a configuration row: it holds exactly one of a contract, a key and a mark that an instance is
// leaving, or none when the row was deleted.
type Entry struct {
	name       string
	rowVersion int64
	contract   *Contract
	key        *Key
	leaving    string
}

// ContractEntry returns an entry that holds a contract. name is the key of the table's row.
func ContractEntry(name string, rowVersion int64, c Contract) Entry {
	return Entry{name: name, rowVersion: rowVersion, contract: &c}
}

// KeyEntry returns an entry that holds a key. name is the key of the table's row.
func KeyEntry(name string, rowVersion int64, k Key) Entry {
	return Entry{name: name, rowVersion: rowVersion, key: &k}
}

// LeaveEntry returns an entry that marks an instance as leaving. name is the key of the table's row.
func LeaveEntry(name string, rowVersion int64, instance string) Entry {
	return Entry{name: name, rowVersion: rowVersion, leaving: instance}
}

// DeletedEntry returns an entry for a row of the table that was deleted; rowVersion is the version of the
// deletion.
func DeletedEntry(name string, rowVersion int64) Entry {
	return Entry{name: name, rowVersion: rowVersion}
}

// Name returns the key of the table's row.
func (e Entry) Name() string { return e.name }

// RowVersion returns the version at which the table's row was written or deleted.
func (e Entry) RowVersion() int64 { return e.rowVersion }

// Contract returns the contract that the row holds; false when it holds none.
func (e Entry) Contract() (Contract, bool) {
	if e.contract == nil {
		return Contract{}, false
	}
	return *e.contract, true
}

// Key returns the key that the row holds; false when it holds none.
func (e Entry) Key() (Key, bool) {
	if e.key == nil {
		return Key{}, false
	}
	return *e.key, true
}

// Leave returns the instance that the row marks as leaving; false when it marks none.
func (e Entry) Leave() (string, bool) { return e.leaving, e.leaving != "" }

// Deleted reports whether the row was deleted.
func (e Entry) Deleted() bool { return e.contract == nil && e.key == nil && e.leaving == "" }

// Store holds the newest known configuration. It is not safe for concurrent use, but its snapshots are.
type Store struct {
	entries     map[string]Entry
	pushedAhead map[int64]bool // versions above the one in force whose changes were pushed
	snapshot    *Snapshot
}

// NewStore returns an empty store at version 0.
func NewStore() *Store {
	s := &Store{entries: map[string]Entry{}, pushedAhead: map[int64]bool{}}
	s.snapshot = s.build(0)
	return s
}

// Snapshot returns the configuration in force. It stays unchanged when the store changes.
func (s *Store) Snapshot() *Snapshot { return s.snapshot }

// Apply adds the entries of a complete read or of a peer's complete answer: together with the known
// entries they make up the given version of the configuration. An entry older than the known one is
// ignored, and a version below the one in force doesn't lower it, so that the configuration never
// reverts. It reports whether anything changed.
func (s *Store) Apply(version int64, entries []Entry) bool {
	return s.merge(max(version, s.snapshot.version), entries)
}

// Push adds the entries of a single change, the one that made the given version of the configuration.
// They are in force at once, but the version in force advances only when no change in between is missing:
// otherwise the configuration would count as newer than it is, and a peer that compares versions would
// not send the missing change. It reports whether anything changed.
func (s *Store) Push(version int64, entries []Entry) bool {
	if version > s.snapshot.version {
		s.pushedAhead[version] = true
	}
	return s.merge(s.snapshot.version, entries)
}

// HasGap reports whether a pushed change is known while one before it is missing. The version in force then
// doesn't cover all that is known, so an instance with a gap must not answer a peer that it doesn't reach
// the table (see Confirmation).
func (s *Store) HasGap() bool { return len(s.pushedAhead) > 0 }

func (s *Store) merge(version int64, entries []Entry) bool {
	for s.pushedAhead[version+1] {
		version++
	}
	maps.DeleteFunc(s.pushedAhead, func(n int64, _ bool) bool { return n <= version })
	changed := version > s.snapshot.version
	for _, e := range entries {
		if old, ok := s.entries[e.name]; ok && old.rowVersion >= e.rowVersion {
			continue
		}
		s.entries[e.name] = e
		changed = true
	}
	if changed {
		s.snapshot = s.build(version)
	}
	return changed
}

// Entries returns all known entries, including those of deleted rows, in order of their names.
func (s *Store) Entries() []Entry {
	out := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.name, b.name) })
	return out
}

func (s *Store) build(version int64) *Snapshot {
	snap := &Snapshot{
		version: version, contracts: map[string]Contract{}, contractRowVersions: map[string]int64{},
		keys: map[string]Key{}, leaves: map[string]bool{},
	}
	for _, e := range s.entries {
		switch {
		case e.contract != nil:
			snap.contracts[e.contract.team] = *e.contract
			snap.contractRowVersions[e.contract.team] = e.rowVersion
		case e.key != nil:
			snap.keys[e.key.hash] = *e.key
		case e.leaving != "":
			snap.leaves[e.leaving] = true
		}
	}
	return snap
}
