package anvilscheduler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvildelta"
	"anvilhold.org/lib/anvilevacuation"
	"anvilhold.org/lib/anvilpolicy"
)

// tree is a fleet with a leader, for policyParents.
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
	others := slices.Delete(slices.Clone(tr.instances), i, i+1)
	return policyParents(tr.instances[i], others, tr.leader, tr.regions)
}

func (tr tree) regionOf(addr string) string {
	i := slices.IndexFunc(tr.instances, func(in anvilstorage.Instance) bool { return in.Addr() == addr })
	return tr.regions[tr.instances[i].Domain()]
}

// Guards against instances that read the configuration from each other in a circle, against a region of which several instances read
// across the link, and against an instance, or a leader, that many others ask.
func TestPolicyParents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := drawTree(t)
		children, heads := map[string]int{}, map[string]int{}
		rank := map[string]int{}
		sorted := slices.SortedFunc(slices.Values(tr.instances), compareRelays)
		for i, in := range sorted {
			rank[in.Addr()] = i
		}
		for i, in := range tr.instances {
			if in.Addr() == tr.leader {
				continue
			}
			region, parents := tr.regions[in.Domain()], tr.parents(i)
			for _, p := range parents {
				switch {
				case p == tr.leader:
					t.Fatalf("%s asks the leader", in.Addr())
				case tr.regionOf(p) == region && rank[p] >= rank[in.Addr()]:
					t.Fatalf("%s asks %s, which comes after it", in.Addr(), p)
				case tr.regionOf(p) != region && (tr.leader == "" || tr.regionOf(p) != tr.regionOf(tr.leader)):
					t.Fatalf("%s asks %s of a region without the leader", in.Addr(), p)
				}
			}
			if len(parents) == 0 || tr.regionOf(parents[0]) != region {
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
			if n > relayFanout+len(tr.regions)-1 {
				t.Fatalf("%d instances ask %s", n, addr)
			}
		}
	})
}

// relayPeers answers queries with shares by address. An address without one fails.
type relayPeers struct {
	shares map[string]PolicyShare
	asked  []string
	// onQuery, when set, is called by each query.
	onQuery func()
}

func (p *relayPeers) Policy(_ context.Context, addr string, _ PolicyQuery) (PolicyShare, error) {
	p.asked = append(p.asked, addr)
	if p.onQuery != nil {
		p.onQuery()
	}
	if s, ok := p.shares[addr]; ok {
		return s, nil
	}
	return PolicyShare{}, errors.New("no answer")
}

// ParsePolicy returns a configuration whose version is the length of the document.
func (p *relayPeers) ParsePolicy(document []byte) (*anvilpolicy.Policy, error) {
	if len(document) == 0 {
		return nil, errors.New("empty")
	}
	return anvilpolicy.New(int64(len(document)), nil), nil
}

// relayRegistry counts the reads of the store, all of which it answers with page.
type relayRegistry struct {
	Registry
	afters []int64
	page   anvilstorage.PolicyPage
	err    error
}

func (r *relayRegistry) Policy(_ context.Context, after int64, _ anvilclock.Millis) (anvilstorage.PolicyPage, error) {
	r.afters = append(r.afters, after)
	return r.page, r.err
}

// relayHarness is an instance a3 in the region of the leader a0, which may read from a2 or, when that fails, from a1.
type relayHarness struct {
	clock    *anvilclock.Manual
	peers    *relayPeers
	registry *relayRegistry
	loop     *Loop
	source   *policySource
}

const relayCursor = 50

func newRelayHarness(t *testing.T) *relayHarness {
	t.Helper()
	h := &relayHarness{clock: anvilclock.NewManual(10_000), peers: &relayPeers{shares: map[string]PolicyShare{}}, registry: &relayRegistry{}}
	self := anvilstorage.NewInstance("e3", "a3:1", "d1", 100)
	loop, err := New(self, nil, h.registry, nil, nil, WithClock(h.clock), WithPolicyPeers(h.peers, h.peers, nil))
	if err != nil {
		t.Fatal(err)
	}
	h.loop = loop
	members := []anvilstorage.Instance{
		anvilstorage.NewInstance("e0", "a0:1", "d1", 900), anvilstorage.NewInstance("e1", "a1:1", "d1", 300),
	}
	for i := range relayFanout {
		members = append(members, anvilstorage.NewInstance(fmt.Sprintf("f%d", i), fmt.Sprintf("a2%d:1", i), "d1", 200))
	}
	loop.members.Store(&members)
	loop.leadership.current = anvilstorage.NewLeadership("e0", "a0:1", 1, 1)
	loop.apply(policyRead{page: h.stored(3, 40), since: h.clock.Now(), complete: true})
	h.source = newPolicySource(loop)
	return h
}

// stored returns the page of the store with a configuration of a version, in the row of a version.
func (h *relayHarness) stored(version, row int64) anvilstorage.PolicyPage {
	return anvilstorage.NewPolicyPage(anvilpolicy.New(version, nil), row, relayCursor).WithDocument(make([]byte, version)).
		WithChanges(1).WithEvacuations(anvilevacuation.NewFullPage(nil))
}

// apply makes the loop process one message.
func (l *Loop) apply(m message) { m.deliver(l) }

// share returns a share with a configuration of a version, as the difference from the document base of the row's version from.
func share(t *testing.T, version int64, from int64, base []byte) PolicyShare {
	t.Helper()
	difference, err := anvildelta.Encode(base, make([]byte, version))
	if err != nil {
		t.Fatal(err)
	}
	return NewPolicyShare(60, 7, -100, nil).WithDocument(55, from, difference)
}

// read reads once and applies the result.
func (h *relayHarness) read(t *testing.T) anvilclock.Millis {
	t.Helper()
	page, since, err := h.source.read(t.Context(), relayCursor)
	if err != nil {
		t.Fatal(err)
	}
	h.loop.apply(policyRead{page: page, since: since, complete: true})
	return since
}

func (h *relayHarness) assertReads(t *testing.T, asked []string, afters []int64, version int64) {
	t.Helper()
	assertEqual(t, "instances that were asked", h.peers.asked, asked)
	assertEqual(t, "reads of the store", h.registry.afters, afters)
	assertEqual(t, "version", h.loop.View().Policy().Version(), version)
}

func TestPolicySource(t *testing.T) {
	const parent, grandparent = "a20:1", "a1:1"
	t.Run("a difference", func(t *testing.T) {
		// Guards against a configuration that counts as younger than it is: the share was confirmed 100 ms before the query arrived.
		h := newRelayHarness(t)
		h.peers.shares[parent] = share(t, 5, 40, make([]byte, 3))
		h.peers.onQuery = func() { h.clock.Advance(400) }
		sent := h.clock.Now()
		assertEqual(t, "confirmed as of", h.read(t), sent-100)
		h.assertReads(t, []string{parent}, nil, 5)
	})
	t.Run("another one when it fails", func(t *testing.T) {
		// Guards against instances that all read from the store when the one that they ask is gone.
		h := newRelayHarness(t)
		h.peers.shares[grandparent] = share(t, 5, 0, nil)
		h.read(t)
		h.read(t)
		h.assertReads(t, []string{parent, grandparent, grandparent}, nil, 5)
	})
	t.Run("the store when none answers", func(t *testing.T) {
		// Guards against a configuration that isn't confirmed because other instances fail, and against reads of all that was missed.
		h := newRelayHarness(t)
		h.registry.page = h.stored(4, 45)
		h.read(t)
		h.read(t)
		h.assertReads(t, []string{parent, grandparent}, []int64{0, relayCursor}, 4)
		h.clock.Advance(relayBackoff)
		h.source.confirmed = h.clock.Now()
		h.peers.shares[parent] = share(t, 5, 0, nil)
		h.read(t)
		h.assertReads(t, []string{parent, grandparent, parent}, []int64{0, relayCursor}, 5)
	})
	t.Run("the store when the configuration is old", func(t *testing.T) {
		// Guards against a slow instance that takes up the time until the configuration is too old.
		h := newRelayHarness(t)
		h.registry.page = h.stored(4, 45)
		h.peers.onQuery = func() { h.clock.Advance(maxRelayAge + 1) }
		h.read(t)
		h.assertReads(t, []string{parent}, []int64{0}, 4)
	})
	t.Run("the store at the leader", func(t *testing.T) {
		// Guards against a leader that learns of a change later than those that send it jobs.
		h := newRelayHarness(t)
		h.loop.isLeader.Store(true)
		h.registry.page = h.stored(4, 45)
		h.read(t)
		h.assertReads(t, nil, []int64{relayCursor}, 4)
	})
	t.Run("the difference from another version", func(t *testing.T) {
		// Guards against a configuration made from a version that this instance doesn't have.
		h := newRelayHarness(t)
		h.peers.shares[parent] = share(t, 5, 39, make([]byte, 2))
		h.registry.page = h.stored(4, 45)
		h.read(t)
		h.assertReads(t, []string{parent, grandparent}, []int64{0}, 4)
	})
	t.Run("the store lists several versions", func(t *testing.T) {
		// Guards against a reader that can't keep up and gets every version whole.
		h := newRelayHarness(t)
		h.registry.page = h.stored(4, 45).WithChanges(3)
		h.read(t)
		h.registry.page = h.stored(6, 47)
		h.read(t)
		h.read(t)
		h.assertReads(t, []string{parent, grandparent}, []int64{0, 0, relayCursor}, 6)
	})
	t.Run("a share that is older than what is known", func(t *testing.T) {
		// Guards against an evacuation that an instance forgets because the one that it asks hasn't heard of it.
		h := newRelayHarness(t)
		h.loop.applyEvacuations(anvilevacuation.NewPage([]anvilevacuation.Change{anvilevacuation.Request("d2")}), h.clock.Now())
		h.peers.shares[parent] = NewPolicyShare(relayCursor-1, 7, 0, nil)
		h.read(t)
		assertEqual(t, "d2 is evacuated", h.loop.evacuated("d2"), true)
		h.peers.shares[parent] = NewPolicyShare(relayCursor, 7, 0, nil)
		h.read(t)
		assertEqual(t, "d2 is evacuated", h.loop.evacuated("d2"), false)
	})
}

func TestPolicyRelay(t *testing.T) {
	query := NewPolicyQuery(40, 10_000, relayWait)
	t.Run("a newer configuration", func(t *testing.T) {
		// Guards against a change that waits for the next confirmation.
		h := newRelayHarness(t)
		h.clock.Advance(100)
		go h.loop.apply(policyRead{page: h.stored(4, 45), since: 10_000})
		s, err := h.loop.Policy(t.Context(), query)
		assertEqual(t, "error", err, nil)
		assertEqual(t, "row and base", []int64{s.RowVersion(), s.Base()}, []int64{45, 40})
		assertEqual(t, "lead", s.Lead(), anvilclock.Millis(-100))
	})
	t.Run("a newer confirmation", func(t *testing.T) {
		// Guards against confirmations that get older with each instance on their way.
		h := newRelayHarness(t)
		go h.loop.apply(policyRead{page: anvilstorage.NewPolicyPage(nil, 0, 70), since: 10_050, complete: true})
		s, err := h.loop.Policy(t.Context(), query)
		assertEqual(t, "error", err, nil)
		assertEqual(t, "lead, mark and version", []int64{int64(s.Lead()), s.Mark(), s.Version()}, []int64{50, 10_050, 70})
		assertEqual(t, "difference", s.Difference() == nil, true)
	})
	t.Run("nothing newer", func(t *testing.T) {
		// Guards against a caller that waits for longer than its own configuration stays confirmed.
		h := newRelayHarness(t)
		s, err := h.loop.Policy(t.Context(), NewPolicyQuery(40, 10_000, 1))
		assertEqual(t, "error", err, nil)
		assertEqual(t, "mark", s.Mark(), 10_000)
	})
	t.Run("an old confirmation", func(t *testing.T) {
		// Guards against an instance without contact to the store that others go on asking.
		h := newRelayHarness(t)
		h.clock.Advance(maxRelayAge + 1)
		_, err := h.loop.Policy(t.Context(), NewPolicyQuery(0, 0, relayWait))
		assertEqual(t, "error", err, errPolicyStale)
	})
	t.Run("a conflict alone", func(t *testing.T) {
		// Guards against evacuations that count as known up to the version of a page that doesn't cover them.
		h := newRelayHarness(t)
		h.loop.apply(policyRead{page: anvilstorage.NewPolicyPage(nil, 0, 90), since: 10_020})
		s, err := h.loop.Policy(t.Context(), NewPolicyQuery(40, 0, 1))
		assertEqual(t, "error", err, nil)
		assertEqual(t, "version", s.Version(), relayCursor)
	})
}
