package anvilscheduler

import (
	"context"
	"math/rand/v2"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
)

// Peers calls other instances.
type Peers interface {
	// StoreReplyAge returns how long ago the instance at an address had its last reply from the store.
	StoreReplyAge(ctx context.Context, addr string) (anvilclock.Millis, error)
	// States returns the states of jobs that an instance knows to be newer than a version of the store.
	States(ctx context.Context, addr string, after int64) (anvilstorage.Page, error)
	// NotifyLeadershipEnded notifies an instance that the leadership with a token has ended. It does not wait.
	NotifyLeadershipEnded(addr string, token int64)
	// Guard asks an instance to hold a worker, and returns once that worker has shown that it knows the token of the request.
	Guard(ctx context.Context, addr string, r GuardRequest) error
	// AwaitExit blocks until the process at an address has exited. It fails when ctx ends first.
	AwaitExit(ctx context.Context, addr string) error
}

// Limits of the check whether this instance is partitioned from the store, and of the reads of the registry of
// instances.
const (
	// Once the store's last reply is suspectAfter old, this instance asks others whether they reach the store. A
	// follower reads the leadership row every 300 ms, the leader commits more often.
	suspectAfter = anvilclock.Millis(900)
	// leaderSuspectAfter replaces suspectAfter at the leader. It is shorter because nothing starts while the leader is
	// partitioned. The leader gets replies 25 to 300 ms apart, from a slow store 240 ms apart.
	leaderSuspectAfter = anvilclock.Millis(500)
	// maxReachableAge is the age of the last reply up to which another instance counts as reaching the store.
	maxReachableAge = anvilclock.Millis(700)
	// minReplyLead is how much newer the last reply of another instance must be than this instance's. In an outage that
	// affects all instances, the last replies differ by up to 300 ms.
	minReplyLead = anvilclock.Millis(350)
	// connectivityInterval is the pause between two checks of the age of the last reply; peerQueryTimeout bounds the
	// calls of other instances.
	connectivityInterval = anvilclock.Millis(200)
	peerQueryTimeout     = anvilclock.Millis(300)
	// peersPerQuery is how many randomly chosen instances are asked at a time.
	peersPerQuery = 3
	// maxEndNotices is how many instances a partitioned leader notifies that its leadership has ended.
	maxEndNotices = 40
	// awaitExitTimeout bounds one wait for the exit of the leader's process, because the leader may change meanwhile.
	awaitExitTimeout = anvilclock.Millis(2000)
	// maxForwardTargets is how many instances that reach the store are remembered, since some may become unreachable, too.
	maxForwardTargets = 3
	// peerListInterval is the time between two reads of the registry of instances, to which each instance adds
	// peerListIntervalPerPeer: the entries of 300 instances are 60 kB, and half of the instances share a link of
	// 30 Mbit/s. The first reads follow each other at once until two return the same number of instances,
	// maxInitialLists at most, because instances that start together register one after the other.
	peerListInterval        = anvilclock.Millis(10_000)
	peerListIntervalPerPeer = anvilclock.Millis(100)
	maxInitialLists         = 5
	// With singleListPeers or more other instances one initial read is enough.
	singleListPeers = 64
)

// Connectivity is the state of this instance's network path to the store. It is immutable.
type Connectivity struct {
	partitioned       bool
	partitionDetected <-chan struct{}
	forwardTargets    []string
}

// NewConnectivity returns a state. The caller closes the channel partitionDetected when a partition is detected. The
// state keeps the slice forwardTargets.
func NewConnectivity(partitioned bool, partitionDetected <-chan struct{}, forwardTargets ...string) *Connectivity {
	return &Connectivity{partitioned: partitioned, partitionDetected: partitionDetected, forwardTargets: forwardTargets}
}

// Partitioned reports whether this instance is partitioned from the store while others may reach it. It is false in an
// outage that affects all instances.
func (c *Connectivity) Partitioned() bool { return c.partitioned }

// PartitionDetected returns a channel that is closed when a partition from the store is detected.
func (c *Connectivity) PartitionDetected() <-chan struct{} { return c.partitionDetected }

// ForwardTargets returns the addresses of instances that reach the store while this one doesn't, the one found last
// first; nil when none is known. The caller must not change the slice.
func (c *Connectivity) ForwardTargets() []string { return c.forwardTargets }

// partitionChecked is the result of a check whether this instance is partitioned from the store; addr is an instance
// that reaches the store, empty when none is known. peers are the addresses of the other instances.
type partitionChecked struct {
	partitioned bool
	addr        string
	peers       []string
}

func (m partitionChecked) deliver(l *Loop) {
	c := &l.state
	changed := c.connectivity.partitioned != m.partitioned
	if changed {
		l.log.Record(anvilevent.ConnectivityChanged, "cut", m.partitioned, "age", int64(l.StoreReplyAge()), "reached", m.addr)
	}
	if changed && !m.partitioned {
		c.partitionDetected = make(chan struct{})
	}
	c.connectivity = NewConnectivity(m.partitioned, c.partitionDetected, m.forwardTargets(c.connectivity.forwardTargets)...)
	l.publish()
	if changed && m.partitioned {
		close(c.partitionDetected)
	}
	if m.partitioned && m.addr != "" && l.leading() {
		l.stepDownPartitioned(m.peers)
	}
}

// forwardTargets returns the former targets with addr, if there is one, in front; none when this instance reaches the
// store.
func (m partitionChecked) forwardTargets(former []string) []string {
	if !m.partitioned {
		return nil
	}
	if m.addr == "" {
		return former
	}
	out := []string{m.addr}
	for _, addr := range former {
		if addr != m.addr && len(out) < maxForwardTargets {
			out = append(out, addr)
		}
	}
	return out
}

// StoreReplyAge returns how long ago the store last replied to this instance. It is safe for concurrent use.
func (l *Loop) StoreReplyAge() anvilclock.Millis { return l.clock.Now() - l.store.LastReply() }

// watchConnectivity checks whether this instance is partitioned when the store doesn't reply. Callers are better served
// by another instance then, while in an outage that affects all instances they should wait for the store.
func (l *Loop) watchConnectivity(ctx context.Context) {
	var peers []string
	nextList, listReads := anvilclock.Millis(0), 0
	results, listInFlight := make(chan peerList, 1), false
	var listTimeout adaptiveTimeout
	for ; ctx.Err() == nil; sleep(ctx, connectivityInterval) {
		select {
		case found := <-results:
			listInFlight = false
			if found.err != nil {
				break
			}
			n := len(found.addrs)
			if listReads++; listReads >= maxInitialLists || (listReads > 1 && n == len(peers)) || n >= singleListPeers {
				nextList = l.clock.Now() + peerListInterval + peerListIntervalPerPeer*anvilclock.Millis(n)
			}
			peers = found.addrs
			l.peerAddrs.Store(&found.addrs)
		default:
		}
		age := l.StoreReplyAge()
		threshold := suspectAfter
		if l.isLeader.Load() {
			threshold = leaderSuspectAfter
		}
		l.confirmOutage(ctx)
		if age >= threshold && listReads > 0 {
			l.postPartition(l.askPeers(ctx, peers))
			continue
		}
		l.postPartition(partitionChecked{})
		if listInFlight || l.clock.Now() < nextList {
			continue
		}
		// A read that gets no answer must not delay the check whether this instance is partitioned.
		listInFlight = true
		l.spawn(func() { results <- l.listPeers(ctx, &listTimeout) })
	}
}

// postPartition posts the result of a check, unless this instance reached the store before and still does.
func (l *Loop) postPartition(m partitionChecked) {
	if m.partitioned || l.Connectivity().Partitioned() {
		l.post(m)
	}
}

// watchLeader detects that the leader's process has exited, long before the leadership row has been unchanged for
// vacantAfter.
func (l *Loop) watchLeader(ctx context.Context) {
	for sleep(ctx, connectivityInterval) {
		addr := l.View().LeaderAddr()
		if addr == "" || addr == l.self.Addr() {
			continue
		}
		call, cancel := withTimeout(ctx, awaitExitTimeout)
		err := l.peers.AwaitExit(call, addr)
		cancel()
		if err == nil {
			l.post(leaderExited{addr: addr})
		}
	}
}

// peerList is the result of reading the addresses of the other instances.
type peerList struct {
	addrs []string
	err   error
}

// listPeers reads the registry of instances, updates upstreams, and posts to the loop the number of other instances and
// the most CPU that any of them has.
func (l *Loop) listPeers(ctx context.Context, listTimeout *adaptiveTimeout) peerList {
	ctx, cancel := withTimeout(ctx, listTimeout.next())
	defer cancel()
	page, err := l.store.Scan(ctx, anvilstorage.Instances)
	listTimeout.record(err)
	if err != nil {
		return peerList{err: err}
	}
	var out []string
	var members, domain []anvilstorage.Instance
	m, addrs := peersRead{}, map[string]bool{}
	for _, r := range page.Rows() {
		in, err := anvilstorage.ParseInstance(r)
		if err != nil {
			l.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.Instances), "key", r.Key())
			continue
		}
		if in.Addr() == l.self.Addr() {
			continue
		}
		m.maxCPU = max(m.maxCPU, in.MilliCPU())
		// Rows of exited processes at an address stay until the leader removes them.
		if addrs[in.Addr()] {
			continue
		}
		addrs[in.Addr()] = true
		out, members = append(out, in.Addr()), append(members, in)
		if in.Domain() == l.self.Domain() {
			domain = append(domain, in)
		}
	}
	m.count = len(out)
	upstreams := upstreamsOf(l.self, domain)
	l.upstreams.Store(&upstreams)
	l.members.Store(&members)
	l.post(m)
	return peerList{addrs: out}
}

// askPeers asks some of the other instances for the age of their last reply from the store. This instance
// counts as partitioned when one of them reaches the store, or when none answers.
func (l *Loop) askPeers(ctx context.Context, peers []string) partitionChecked {
	asked := make(map[string]bool, peersPerQuery)
	for range peersPerQuery {
		if len(peers) > 0 {
			asked[peers[rand.IntN(len(peers))]] = true
		}
	}
	// The randomly chosen ones may all be partitioned themselves.
	for _, addr := range l.Connectivity().ForwardTargets() {
		asked[addr] = true
	}
	type answer struct {
		addr string
		age  anvilclock.Millis
		err  error
	}
	answers := make(chan answer, len(asked))
	ctx, cancel := withTimeout(ctx, peerQueryTimeout)
	defer cancel()
	for addr := range asked {
		go func() {
			age, err := l.peers.StoreReplyAge(ctx, addr)
			answers <- answer{addr: addr, age: age, err: err}
		}()
	}
	replies := 0
	for range asked {
		a := <-answers
		if a.err != nil {
			continue
		}
		replies++
		if a.age < maxReachableAge && a.age+minReplyLead <= l.StoreReplyAge() {
			return partitionChecked{partitioned: true, addr: a.addr, peers: peers}
		}
	}
	return partitionChecked{partitioned: replies == 0}
}
