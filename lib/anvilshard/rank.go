package anvilshard

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"anvilhold.org/lib/anvilclock"
)

// Rank returns the shards of a pool that existed at a time, ordered by their rendezvous weight for an
// id, the largest first. The first one is the id's home shard.
func Rank(shards []Shard, pool, id string, at anvilclock.Millis) []Shard {
	type ranked struct {
		shard  Shard
		weight uint64
	}
	var all []ranked
	for _, s := range shards {
		if s.existedIn(pool, at) {
			all = append(all, ranked{s, s.weightFor(id)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]Shard, len(all))
	for i, r := range all {
		out[i] = r.shard
	}
	return out
}

// existedIn reports whether the shard belongs to a pool and existed at a time.
func (s Shard) existedIn(pool string, at anvilclock.Millis) bool {
	return s.pool == pool && s.since <= at
}

func (s Shard) weightFor(id string) uint64 { return xxhash.Sum64String(s.name + "\x00" + id) }

// Seed returns a seed for random choices: the same for one instance, different between instances.
func Seed(instance string) uint64 { return xxhash.Sum64String(instance) }
