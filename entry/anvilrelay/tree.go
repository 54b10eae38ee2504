package anvilrelay

import (
	"cmp"
	"slices"
	"strings"

	"anvilhold.org/entry/anvilstorage"
)

const (
	// fanout is how many instances read from one other, as a tree within a region.
	fanout = 8
	// roots is how many instances of the leader's region are asked by the first instance of another region.
	roots = 2
)

// Parents returns the addresses of the instances from which self may read, the preferred one first. The instances of a region form a
// tree. Its first one reads from the store in the leader's region, or while there is no leader, and in other regions from the first
// instances of the leader's region: a change crosses the link between two regions once. Nobody reads from the leader, which has
// more important work. regions maps failure domains to their regions; domains that it lacks are one region.
func Parents(self anvilstorage.Instance, others []anvilstorage.Instance, leaderAddr string, regions map[string]string) []string {
	own := regions[self.Domain()]
	root := own
	for _, in := range others {
		if in.Addr() == leaderAddr {
			root = regions[in.Domain()]
		}
	}
	inRegion := func(region string) []anvilstorage.Instance {
		var out []anvilstorage.Instance
		for _, in := range others {
			if in.Addr() != leaderAddr && regions[in.Domain()] == region {
				out = append(out, in)
			}
		}
		slices.SortFunc(out, compare)
		return out
	}
	var out []string
	mates := inRegion(own)
	rank, _ := slices.BinarySearchFunc(mates, self, compare)
	for rank > 0 {
		rank = (rank - 1) / fanout
		out = append(out, mates[rank].Addr())
	}
	if own != root {
		first := inRegion(root)
		for _, in := range first[:min(roots, len(first))] {
			out = append(out, in.Addr())
		}
	}
	return out
}

// compare orders instances by CPU, the most first, and then by address.
func compare(a, b anvilstorage.Instance) int {
	return cmp.Or(cmp.Compare(b.MilliCPU(), a.MilliCPU()), strings.Compare(a.Addr(), b.Addr()))
}
