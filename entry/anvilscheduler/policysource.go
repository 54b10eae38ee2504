package anvilscheduler

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvildelta"
	"anvilhold.org/lib/anvilevacuation"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilpolicy"
)

// PolicyPeers asks other instances for the operator's configuration. It must be safe for concurrent use.
type PolicyPeers interface {
	// Policy returns what the instance at an address knows, once there is something newer than the query names or its wait is over.
	Policy(ctx context.Context, addr string, q PolicyQuery) (PolicyShare, error)
}

// PolicyParser decodes the configuration's document.
type PolicyParser interface {
	ParsePolicy(document []byte) (*anvilpolicy.Policy, error)
}

// WithPolicyPeers makes all instances but a few read the configuration from others. regions maps failure domains to their regions;
// domains that it lacks are one region. Without this option every instance reads the configuration from the store.
func WithPolicyPeers(peers PolicyPeers, parser PolicyParser, regions map[string]string) Option {
	return func(l *Loop) { l.policyPeers, l.policyParser, l.regions = peers, parser, regions }
}

const (
	// relayFanout is how many instances read the configuration from one other, as a tree within a region.
	relayFanout = 8
	// relayRoots is how many instances of the leader's region are asked by the first instance of another region.
	relayRoots = 2
	// relayWait is how long an instance waits for something newer before it answers another one, relayTimeout by how much longer the
	// answer may take.
	relayWait    = anvilclock.Millis(700)
	relayTimeout = anvilclock.Millis(400)
	// rootWait replaces policyWait at an instance that others may ask: a confirmation is as old as the read of the store took when they
	// hear of it, and is replaced after another one.
	rootWait = anvilclock.Millis(350)
	// relayBackoff is how long an instance is not asked after a failure.
	relayBackoff = anvilclock.Millis(3000)
)

// policyParents returns the addresses of the instances from which self may read the configuration, the preferred one first. The instances
// of a region form a tree. Its first one reads from the store in the leader's region, or while there is no leader, and in other regions
// from the first instances of the leader's region: a change crosses the link between two regions once, as a difference.
func policyParents(self anvilstorage.Instance, others []anvilstorage.Instance, leaderAddr string, regions map[string]string) []string {
	own := regions[self.Domain()]
	root := own
	for _, in := range others {
		if in.Addr() == leaderAddr {
			root = regions[in.Domain()]
		}
	}
	before := func(region string, than *anvilstorage.Instance) []string {
		var out []anvilstorage.Instance
		for _, in := range others {
			// The leader has more important work than to answer the others.
			if in.Addr() != leaderAddr && regions[in.Domain()] == region && (than == nil || compareRelays(in, *than) < 0) {
				out = append(out, in)
			}
		}
		slices.SortFunc(out, compareRelays)
		addrs := make([]string, 0, len(out))
		for _, in := range out {
			addrs = append(addrs, in.Addr())
		}
		return addrs
	}
	var out []string
	earlier := before(own, &self)
	for rank := len(earlier); rank > 0; {
		rank = (rank - 1) / relayFanout
		out = append(out, earlier[rank])
	}
	if own != root {
		roots := before(root, nil)
		out = append(out, roots[:min(relayRoots, len(roots))]...)
	}
	return out
}

// compareRelays orders instances by CPU, the most first, and then by address.
func compareRelays(a, b anvilstorage.Instance) int {
	return cmp.Or(cmp.Compare(b.MilliCPU(), a.MilliCPU()), strings.Compare(a.Addr(), b.Addr()))
}

// policySource reads the configuration from another instance or from the store. One goroutine owns it.
type policySource struct {
	loop   *Loop
	limits evacuations
	// confirmed is when the newest configuration that was read was the newest.
	confirmed anvilclock.Millis
	// whole makes the next read of the store return the newest version alone: the feed lists every version since the last read, each
	// of them whole, and all of them again after a failure.
	whole        bool
	backoffUntil map[string]anvilclock.Millis
	// marks are those of the last shares, by the addresses of the instances that sent them.
	marks map[string]int64
}

func newPolicySource(l *Loop) *policySource {
	return &policySource{
		loop: l, limits: evacuations{bound: l.evacuations.bound}, confirmed: l.clock.Now(),
		backoffUntil: map[string]anvilclock.Millis{}, marks: map[string]int64{},
	}
}

// read returns the configuration with the changes after a version of the store, and a time from which on it was the newest. It reads from
// other instances while that keeps the configuration confirmed, and else from the store.
func (s *policySource) read(ctx context.Context, after int64) (anvilstorage.PolicyPage, anvilclock.Millis, error) {
	for {
		sent := s.loop.clock.Now()
		addr := s.parent(sent)
		if after == 0 || addr == "" {
			page, err := s.readStore(ctx, after, sent)
			s.record(sent, err != nil || page.Changes() > 1, err)
			return page, sent, err
		}
		page, since, err := s.readPeer(ctx, addr, after, sent)
		if err == nil {
			s.record(since, true, nil)
			return page, since, nil
		}
		now := s.loop.clock.Now()
		s.loop.log.Record(anvilevent.RelayFailed, "instance", addr, "took", int64(now-sent), "age", int64(now-s.confirmed), "error", err.Error())
		s.loop.meter.Count("policy.relay.failed")
		s.backoffUntil[addr] = now + relayBackoff
		delete(s.marks, addr)
		s.whole = true
	}
}

// record records the result of a read, and whether the next read of the store returns the newest version alone.
func (s *policySource) record(since anvilclock.Millis, whole bool, err error) {
	if s.whole = whole; err == nil {
		s.confirmed = max(s.confirmed, since)
	}
}

// parent returns the preferred instance that is not in backoff; empty when this instance reads from the store.
func (s *policySource) parent(now anvilclock.Millis) string {
	l := s.loop
	members := l.members.Load()
	if l.policyPeers == nil || members == nil || l.isLeader.Load() || now-s.confirmed > maxRelayAge {
		return ""
	}
	for _, addr := range policyParents(l.self, *members, l.View().LeaderAddr(), l.regions) {
		if now >= s.backoffUntil[addr] {
			return addr
		}
	}
	return ""
}

func (s *policySource) readStore(ctx context.Context, after int64, now anvilclock.Millis) (anvilstorage.PolicyPage, error) {
	if s.whole {
		after = 0
	}
	wait, timeout := s.limits.policyReadLimits(after, now-s.confirmed)
	if s.loop.policyPeers != nil {
		wait = min(wait, rootWait)
	}
	ctx, cancel := withTimeout(ctx, timeout)
	defer cancel()
	return s.loop.registry.Policy(ctx, after, wait)
}

var errNoBase = errors.New("the configuration is the difference from a version that this instance doesn't have")

// readPeer returns the configuration as the instance at addr knows it, and a time from which on it was the newest. sent is the time of the
// call.
func (s *policySource) readPeer(ctx context.Context, addr string, after int64, sent anvilclock.Millis) (anvilstorage.PolicyPage, anvilclock.Millis, error) {
	l := s.loop
	v := l.View()
	ctx, cancel := withTimeout(ctx, relayWait+relayTimeout)
	defer cancel()
	share, err := l.policyPeers.Policy(ctx, addr, NewPolicyQuery(v.policyRowVersion, s.marks[addr], relayWait))
	if err != nil {
		return anvilstorage.PolicyPage{}, 0, anvilstorage.NewError(anvilstorage.Refused, err)
	}
	s.marks[addr] = share.Mark()
	page := anvilstorage.NewPolicyPage(nil, 0, share.Version())
	if share.Difference() != nil {
		if page, err = l.decodeShare(v, share); err != nil {
			return anvilstorage.PolicyPage{}, 0, anvilstorage.NewError(anvilstorage.Refused, err)
		}
	}
	if share.Version() < after {
		// This instance knows newer requests for evacuations.
		return page, sent + share.Lead(), nil
	}
	requests := make([]anvilevacuation.Change, 0, len(share.Evacuated()))
	for _, domain := range share.Evacuated() {
		requests = append(requests, anvilevacuation.Request(domain))
	}
	return page.WithEvacuations(anvilevacuation.NewFullPage(requests)), sent + share.Lead(), nil
}

// decodeShare decodes the configuration of a share for an instance with a view.
func (l *Loop) decodeShare(v *View, share PolicyShare) (anvilstorage.PolicyPage, error) {
	var base []byte
	if share.Base() != 0 {
		if base = v.document; share.Base() != v.policyRowVersion || base == nil {
			return anvilstorage.PolicyPage{}, errNoBase
		}
	}
	document, err := anvildelta.Decode(base, share.Difference())
	if err != nil {
		return anvilstorage.PolicyPage{}, err
	}
	policy, err := l.policyParser.ParsePolicy(document)
	if err != nil {
		return anvilstorage.PolicyPage{}, err
	}
	return anvilstorage.NewPolicyPage(policy, share.RowVersion(), share.Version()).WithDocument(document), nil
}
