package anvilshard

import (
	"cmp"
	"slices"

	"anvilhold.org/lib/anvilclock"
)

// balance is how the shards of a region are distributed over its live instances. Each instance should
// own the average number of shards rounded down; the remaining shards go to as many instances, one
// each. With the average rounded up as the only target, three of four instances could keep 3 of 10
// shards each and leave one shard to the fourth.
type balance struct {
	floor     int
	ceiling   int
	owned     map[string]int // number of shards by instance that may own shards
	deficit   int            // shards that instances lack to reach the floor, over all instances
	claimable int            // number of shards that may be claimed
}

func (d *Directory) balance(now anvilclock.Millis, claimable int) balance {
	b := balance{owned: map[string]int{}, claimable: claimable}
	for _, s := range d.sessions {
		if s.session.region == d.region && !s.session.leaving && now-s.lastChange < Expiry {
			b.owned[s.session.instance] = 0
		}
	}
	shards := 0
	for _, s := range d.shards {
		if s.region != d.region {
			continue
		}
		shards++
		if _, ok := b.owned[s.owner]; ok {
			b.owned[s.owner]++
		}
	}
	if n := len(b.owned); n > 0 {
		b.floor, b.ceiling = shards/n, (shards+n-1)/n
	}
	for _, n := range b.owned {
		b.deficit += max(0, b.floor-n)
	}
	return b
}

// claimQuota returns how many shards an instance may claim. It may claim one more than the floor only
// from the claimable shards that the instances below the floor don't need.
func (b balance) claimQuota(instance string) int {
	owned, ok := b.owned[instance]
	switch {
	case !ok:
		return 0
	case owned < b.floor:
		return b.floor - owned + min(b.ceiling-b.floor, max(0, b.claimable-b.deficit))
	default:
		return max(0, min(b.ceiling-owned, b.claimable-b.deficit))
	}
}

// surplus returns how many shards an instance should release: all above the ceiling, or the one above
// the floor when another instance is below its floor. Only as many instances release one as are
// needed, those with the most shards first.
func (b balance) surplus(instance string) int {
	owned, ok := b.owned[instance]
	if !ok || owned <= b.floor {
		return 0
	}
	if owned > b.ceiling {
		return owned - b.ceiling
	}
	var donors []string
	for name, n := range b.owned {
		if n > b.floor {
			donors = append(donors, name)
		}
	}
	slices.SortFunc(donors, func(x, y string) int {
		if byOwned := cmp.Compare(b.owned[y], b.owned[x]); byOwned != 0 {
			return byOwned
		}
		return cmp.Compare(x, y)
	})
	if slices.Index(donors, instance) < b.deficit-b.claimable {
		return 1
	}
	return 0
}
