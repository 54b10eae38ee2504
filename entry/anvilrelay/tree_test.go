package anvilrelay

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/entry/anvilstorage"
)

// tree is a fleet with a leader.
type tree struct {
	instances []anvilstorage.Instance
	regions   map[string]string
	leader    string
}

func drawTree(t *rapid.T) tree {
	out := tree{regions: map[string]string{"d0": "r0", "d1": "r1", "d2": "r0", "d3": "r2"}}
	for i := range rapid.IntRange(1, 120).Draw(t, "instances") {
		domain := fmt.Sprintf("d%d", rapid.IntRange(0, 3).Draw(t, "domain"))
		out.instances = append(out.instances, anvilstorage.NewInstance(fmt.Sprintf("e%d", i), fmt.Sprintf("a%03d:1", i), domain,
			rapid.SampledFrom([]int64{0, 200, 800}).Draw(t, "CPU")))
	}
	if n := rapid.IntRange(-1, len(out.instances)-1).Draw(t, "leader"); n >= 0 {
		out.leader = out.instances[n].Addr()
	}
	return out
}

func (tr tree) parents(i int) []string {
	return Parents(tr.instances[i], slices.Delete(slices.Clone(tr.instances), i, i+1), tr.leader, tr.regions)
}

func (tr tree) find(addr string) anvilstorage.Instance {
	return tr.instances[slices.IndexFunc(tr.instances, func(in anvilstorage.Instance) bool { return in.Addr() == addr })]
}

func (tr tree) regionOf(addr string) string { return tr.regions[tr.find(addr).Domain()] }

// assertParent checks an instance that another one may ask.
func (tr tree) assertParent(t *rapid.T, in anvilstorage.Instance, parent string) {
	t.Helper()
	region, of := tr.regions[in.Domain()], tr.regionOf(parent)
	switch {
	case parent == tr.leader:
		t.Fatalf("%s asks the leader", in.Addr())
	case of == region && compare(tr.find(parent), in) >= 0:
		t.Fatalf("%s asks %s, which comes after it", in.Addr(), parent)
	case of != region && (tr.leader == "" || of != tr.regionOf(tr.leader)):
		t.Fatalf("%s asks %s of a region without the leader", in.Addr(), parent)
	}
}

// Guards against instances that ask each other in a circle, against a region of which several instances read across the link, and against
// an instance, or a leader, that many others ask.
func TestParents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := drawTree(t)
		children, heads := map[string]int{}, map[string]int{}
		for i, in := range tr.instances {
			if in.Addr() == tr.leader {
				continue
			}
			parents := tr.parents(i)
			for _, p := range parents {
				tr.assertParent(t, in, p)
			}
			if region := tr.regions[in.Domain()]; len(parents) == 0 || tr.regionOf(parents[0]) != region {
				heads[region]++
			}
			if len(parents) > 0 {
				children[parents[0]]++
			}
		}
		for region, n := range heads {
			if n > 1 {
				t.Fatalf("%d instances of %s have no parent there", n, region)
			}
		}
		for addr, n := range children {
			if n > fanout+len(tr.regions)-1 {
				t.Fatalf("%d instances ask %s", n, addr)
			}
		}
	})
}
