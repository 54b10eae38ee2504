package anvilscheduler

import (
	"context"
	"math/rand/v2"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
)

// Peers asks other instances.
type Peers interface {
	// StoreReplyAge tells how long ago the store has last answered an instance.
	StoreReplyAge(ctx context.Context, addr string) (anvilclock.Millis, error)
	// States returns the states of jobs that an instance knows to be newer than a version of the store.
	States(ctx context.Context, addr string, after int64) (anvilstorage.Page, error)
	// NotifyLeadershipEnded tells an instance that the leadership with a token is over. It does not wait.
	NotifyLeadershipEnded(addr string, token int64)
	// AwaitExit waits until the process at an address is gone, and fails when ctx ends first.
	AwaitExit(ctx context.Context, addr string) error
}

// Timing of the question whether this instance is partitioned.
const (
	// suspectAfter is the silence of the store after which other instances are asked. An instance that does
	// not schedule looks at the leadership every 300 ms, the other one commits more often.
	suspectAfter = anvilclock.Millis(900)
	// leaderSuspectAfter is the same for the instance that schedules: nothing starts while it is partitioned. It hears from the
	// store every 25 to 300 ms, and from a slow one every 240 ms.
	leaderSuspectAfter = anvilclock.Millis(500)
	// maxReachableAge is the age up to which another instance counts as reaching the store.
	maxReachableAge = anvilclock.Millis(700)
	// minReplyLead is how much later than this instance another one must have heard from the store: in an outage for
	// all, some have heard up to 300 ms later than others.
	minReplyLead = anvilclock.Millis(350)
	// connectivityInterval is the pause between two looks at the age, contactTimeout bounds a question.
	connectivityInterval = anvilclock.Millis(200)
	peerQueryTimeout     = anvilclock.Millis(300)
	// peersPerQuery is how many instances are asked at a time.
	peersPerQuery = 3
	// maxEndNotices is how many instances are told that this one no longer schedules.
	maxEndNotices = 40
	// awaitExitTimeout bounds the watch over one process, after which the row of the leadership tells whom to watch.
	awaitExitTimeout = anvilclock.Millis(2000)
	// maxForwardTargets is how many instances that reach the store are kept: one may be lost, too.
	maxForwardTargets = 3
	// peerListInterval is the pause between two readings of the list of instances, and contactListEach what each of
	// them adds: the list of 300 is 60 kB, and half of them share a link of 30 Mbit/s. The first readings follow
	// each other until two agree, contactFirst at most, because instances that start together register one after
	// the other.
	peerListInterval        = anvilclock.Millis(10_000)
	peerListIntervalPerPeer = anvilclock.Millis(100)
	maxInitialLists         = 5
	// singleListPeers is the number of instances from which on one reading is enough.
	singleListPeers = 64
)

// Connectivity is what is known of the way to the store. It is immutable.
type Connectivity struct {
	partitioned       bool
	partitionDetected <-chan struct{}
	forwardTargets    []string
}

// NewConnectivity returns what is known of the way to the store.
func NewConnectivity(partitioned bool, partitionDetected <-chan struct{}, forwardTargets ...string) *Connectivity {
	return &Connectivity{partitioned: partitioned, partitionDetected: partitionDetected, forwardTargets: forwardTargets}
}

// Partitioned reports whether this instance is partitioned from the store while others may reach it.
func (c *Connectivity) Partitioned() bool { return c.partitioned }

// PartitionDetected returns a channel that is closed when the instance turns out to be partitioned.
func (c *Connectivity) PartitionDetected() <-chan struct{} { return c.partitionDetected }

// ForwardTargets returns the addresses of instances that reach the store while this one doesn't, the newest first.
func (c *Connectivity) ForwardTargets() []string { return c.forwardTargets }

// partitionChecked says whether this instance is partitioned from the store while others may reach it, and which one does;
// addr is empty when none is known. peers are the other instances.
type partitionChecked struct {
	partitioned bool
	addr        string
	peers       []string
}

func (m partitionChecked) deliver(l *Loop) {
	c := &l.config
	changed := c.connectivity.partitioned != m.partitioned
	if changed {
		l.log.Record(anvilevent.ContactChanged, "cut", m.partitioned, "age", int64(l.StoreReplyAge()), "reached", m.addr)
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
		l.leavePartitioned(m.peers)
	}
}

// forwardTargets returns the instances that reach the store while this one doesn't, the newest first.
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

// StoreReplyAge returns how long ago the store has last answered. It is safe for concurrent use.
func (l *Loop) StoreReplyAge() anvilclock.Millis { return l.clock.Now() - l.store.LastReply() }

// watchConnectivity finds out whether this instance is partitioned when the store is silent: callers are better
// served by another instance then, while in an outage for all it is better to wait for the store.
func (l *Loop) watchConnectivity(ctx context.Context) {
	var peers []string
	nextList, listReads := anvilclock.Millis(0), 0
	results, listInFlight := make(chan peerList, 1), false
	var backoff scanBackoff
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
		default:
		}
		age := l.StoreReplyAge()
		threshold := suspectAfter
		if l.scheduling.Load() {
			threshold = leaderSuspectAfter
		}
		if age >= threshold && listReads > 0 {
			l.postPartition(l.askPeers(ctx, peers))
			continue
		}
		l.postPartition(partitionChecked{})
		if listInFlight || l.clock.Now() < nextList {
			continue
		}
		// A reading that gets no answer must not hold up the question whether this instance is partitioned.
		listInFlight = true
		l.spawn(func() { results <- l.listPeers(ctx, &backoff) })
	}
}

func (l *Loop) postPartition(m partitionChecked) {
	if m.partitioned || l.Connectivity().Partitioned() {
		l.post(m)
	}
}

// watchLeader finds out that the process of the instance that schedules is gone, long before the row of the leadership
// has stood still for long enough.
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

// peerList holds the addresses of the other instances.
type peerList struct {
	addrs []string
	err   error
}

// listPeers reads the list of instances.
func (l *Loop) listPeers(ctx context.Context, backoff *scanBackoff) peerList {
	ctx, cancel := withTimeout(ctx, backoff.timeout())
	defer cancel()
	page, err := l.store.Scan(ctx, anvilstorage.Instances)
	backoff.record(err)
	if err != nil {
		return peerList{err: err}
	}
	var out []string
	var domain []anvilstorage.Instance
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
		// Rows of former processes of a machine stay for a while.
		if addrs[in.Addr()] {
			continue
		}
		addrs[in.Addr()] = true
		out = append(out, in.Addr())
		if in.Domain() == l.self.Domain() {
			domain = append(domain, in)
		}
	}
	m.count = len(out)
	neighbors := upstreamsOf(l.self, domain)
	l.upstreams.Store(&neighbors)
	l.post(m)
	return peerList{addrs: out}
}

// askPeers finds out whether some other instance reaches the store, or none answers.
func (l *Loop) askPeers(ctx context.Context, peers []string) partitionChecked {
	asked := make(map[string]bool, peersPerQuery)
	for range peersPerQuery {
		if len(peers) > 0 {
			asked[peers[rand.IntN(len(peers))]] = true
		}
	}
	// Those drawn may all be partitioned themselves.
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
