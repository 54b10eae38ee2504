package anvilcontrol

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilinvariant"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// cell runs several loops with a fake table and fake workers on one manual clock. Results of the loops' calls are
// delivered in order, so that every run of a test is the same.
type cell struct {
	t          *testing.T
	clock      *anvilclock.Manual
	results    []func()
	table      *fakeTable
	workers    map[string]*fakeWorker
	nodes      map[string]*node
	violations []string
	// changeList, unless nil, changes what reads of the platform's registry return.
	changeList func([]Registration) []Registration
}

// node is a loop, and the fake Backends, Table and Peers that it calls.
type node struct {
	cell         *cell
	loop         *Loop
	exited       bool
	paused       bool
	partitioned  bool // it reaches neither the table nor peers
	unresponsive bool // it accepts connections and gives no answers
}

const startTime = anvilclock.Millis(1_700_000_000_000)

func newCell(t *testing.T) *cell {
	t.Helper()
	return &cell{
		t: t, clock: anvilclock.NewManual(startTime), workers: map[string]*fakeWorker{}, nodes: map[string]*node{},
		table: &fakeTable{rows: map[string]anvilrow.Row{}},
	}
}

func (c *cell) addNode(name, domain string) *node {
	c.t.Helper()
	n := &node{cell: c}
	check := anvilinvariant.New(anvilinvariant.WithReport(func(name, detail string) {
		c.violations = append(c.violations, name+": "+detail)
	}))
	l, err := New(NewIdentity(name, name, domain, "r1"), NewInbox(), n, n, n, WithClock(c.clock), WithChecker(check))
	if err != nil {
		c.t.Fatal(err)
	}
	n.loop = l
	c.nodes[name] = n
	return n
}

func (c *cell) addWorker(id, domain string, size anvilsize.Size) {
	w := &fakeWorker{cell: c, id: id, domain: domain, pool: "layout", boot: id + "-1", size: size}
	w.reset()
	c.workers[id] = w
}

// run advances the clock by d in ticks, and runs the workers and the nodes in each.
func (c *cell) run(d anvilclock.Millis) {
	for end := c.clock.Now() + d; c.clock.Now() < end; {
		c.clock.Advance(25)
		for _, w := range c.workers {
			w.advance()
		}
		for _, name := range c.names() {
			if n := c.nodes[name]; !n.exited && !n.paused {
				n.loop.tick()
				n.loop.passIfDue()
			}
		}
		c.deliver()
	}
}

func (c *cell) names() []string {
	var names []string
	for name := range c.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (c *cell) deliver() {
	for len(c.results) > 0 {
		f := c.results[0]
		c.results = c.results[1:]
		f()
	}
}

// queueResult queues the result of a call of n. A node whose process has exited doesn't get it.
func (c *cell) queueResult(n *node, f func() Message) {
	c.results = append(c.results, func() {
		m := f()
		if m == nil || n.exited {
			return
		}
		n.loop.handle(m)
		n.loop.passIfDue()
	})
}

// configure writes configuration rows together with the next version number, as an operator's change does.
func (c *cell) configure(puts ...anvilrow.Row) {
	number := int64(1)
	if r, ok := c.table.rows[anvilrow.VersionKey]; ok {
		number = r.Value().(anvilrow.Version).Number() + 1
	}
	puts = append(puts, anvilrow.New(anvilrow.VersionKey, anvilrow.NewVersion(number)))
	c.table.apply(newCommit(fmt.Sprintf("change-%d", number), nil, puts, nil))
}

// contract sets the limit of team a.
func (c *cell) contract(limit anvilsize.Size) {
	ct := anvilconfig.NewContract("a", anvilconfig.WithLimit(limit))
	c.configure(anvilrow.New(anvilrow.ContractPrefix+"a", anvilrow.NewContract(ct)))
}

func (c *cell) newID() string {
	id := anviltask.NewID()
	// Replaces the time in the id by that of the manual clock.
	ms := fmt.Sprintf("%012x", int64(c.clock.Unix()))
	return ms[:8] + "-" + ms[8:12] + id[13:]
}

// submit sends a task to a node and returns the channel of its result.
func (c *cell) submit(n *node, t *anviltask.Task) <-chan Result {
	reply := make(chan Result, 1)
	n.loop.handle(NewSubmit(NewForward(t, 0, n.loop.View().Config().Version()), reply))
	n.loop.passIfDue()
	c.deliver()
	return reply
}

// Methods of Peers.

func (n *node) peerAt(addr string) *node {
	if n.partitioned || n.cell.nodes[addr] == nil || n.cell.nodes[addr].exited || n.cell.nodes[addr].partitioned {
		return nil
	}
	return n.cell.nodes[addr]
}

func (n *node) Submit(ref Ref, addr string, f Forward) {
	to := n.peerAt(addr)
	if to == nil || to.paused {
		err := anvilerror.Refuse(anvilerror.NoOwner, "the peer is unreachable")
		n.cell.queueResult(n, func() Message { return NewSubmitted(ref, NewFailure(err)) })
		return
	}
	n.cell.results = append(n.cell.results, func() {
		reply := make(chan Result, 1)
		to.loop.handle(NewSubmit(f, reply))
		to.loop.passIfDue()
		n.cell.pollReply(n, reply, to, ref)
	})
}

// pollReply delivers a reply once it has arrived. If the node's process has exited, the outcome is unknown.
func (c *cell) pollReply(n *node, reply chan Result, to *node, ref Ref) {
	c.table.replyPolls = append(c.table.replyPolls, func() bool {
		select {
		case r := <-reply:
			c.queueResult(n, func() Message { return NewSubmitted(ref, r) })
			return true
		default:
		}
		if to.exited {
			err := anvilerror.UnknownOutcome(anvilerror.Lost, "the owner's process has exited")
			c.queueResult(n, func() Message { return NewSubmitted(ref, NewFailure(err)) })
			return true
		}
		return false
	})
}

func (n *node) Inspect(ref Ref, addr string, q Query) {
	to := n.peerAt(addr)
	n.cell.queueResult(n, func() Message {
		if to == nil {
			return NewInspected(ref, NewStatusFailure(anvilerror.Refuse(anvilerror.NoOwner, "the peer is unreachable")))
		}
		reply := make(chan Status, 1)
		to.loop.handle(NewInspect(q, reply))
		return NewInspected(ref, <-reply)
	})
}

func (n *node) Exchange(ref Ref, addr string, s Summary) {
	to := n.peerAt(addr)
	n.cell.queueResult(n, func() Message {
		switch {
		case n.partitioned || to != nil && to.unresponsive:
			return NewExchangeFailure(ref, anvilerror.UnknownOutcome(anvilerror.Lost, "no answer"))
		case to == nil:
			return NewExchangeFailure(ref, anvilerror.Refuse(anvilerror.NoOwner, "connection refused"))
		}
		reply := make(chan Summary, 1)
		to.loop.handle(NewExchangeRequest(s, reply))
		return NewExchanged(ref, <-reply)
	})
}

func (n *node) Push(ref Ref, addr string, rows []anvilrow.Row, version int64) {
	to := n.peerAt(addr)
	n.cell.queueResult(n, func() Message {
		if to == nil || to.paused {
			return NewPushed(ref, 0, anvilerror.Refuse(anvilerror.NoOwner, "the peer is unreachable"))
		}
		reply := make(chan int64, 1)
		to.loop.handle(NewPushRequest(rows, version, reply))
		return NewPushed(ref, <-reply, nil)
	})
}

// The fake table, and the methods of Table that use it.

// fakeTable keeps rows and applies commits at once.
type fakeTable struct {
	rows        map[string]anvilrow.Row
	version     int64
	down        bool
	loseAnswers bool
	replyPolls  []func() bool
}

func (ft *fakeTable) apply(c Commit) (bool, anvilrow.Row) {
	for _, check := range c.checks {
		have := ft.rows[check.key]
		version := have.Version()
		if have.Deleted() {
			version = 0
		}
		if version != check.version {
			return false, have
		}
	}
	ft.version++
	for _, r := range c.puts {
		v := r.Value()
		if s, ok := v.(anvilrow.Shard); ok {
			sh := s.Shard()
			v = anvilrow.NewShard(sh.WithOwner(sh.Owner(), sh.Epoch(), ft.version))
		}
		ft.rows[r.Key()] = anvilrow.Read(r.Key(), v, ft.version, c.change, false)
	}
	for _, key := range c.deletes {
		ft.rows[key] = anvilrow.Read(key, nil, ft.version, c.change, true)
	}
	return true, anvilrow.Row{}
}

func (n *node) Commit(ref Ref, c Commit) {
	ft := n.cell.table
	n.cell.queueResult(n, func() Message {
		if ft.down || n.partitioned {
			return NewCommitFailure(ref, anvilerror.Refuse(anvilerror.NoTable, "the table is down"))
		}
		ok, conflict := ft.apply(c)
		if ft.loseAnswers {
			return NewCommitFailure(ref, anvilerror.UnknownOutcome(anvilerror.Lost, "the answer was lost"))
		}
		return NewCommitted(ref, ok, ft.version, conflict)
	})
}

func (n *node) Read(ref Ref, prefix string, after int64) {
	ft := n.cell.table
	n.cell.queueResult(n, func() Message {
		if ft.down || n.partitioned {
			return NewReadFailure(ref, anvilerror.Refuse(anvilerror.NoTable, "the table is down"))
		}
		var rows []anvilrow.Row
		for key, r := range ft.rows {
			if strings.HasPrefix(key, prefix) && r.Version() > after {
				rows = append(rows, r)
			}
		}
		slices.SortFunc(rows, func(a, b anvilrow.Row) int { return strings.Compare(a.Key(), b.Key()) })
		return NewRowsRead(ref, rows, ft.version)
	})
}

func (n *node) Instances(ref Ref) {
	n.cell.queueResult(n, func() Message {
		var list []Registration
		for _, w := range n.cell.workers {
			if !w.exited && !w.unregistered {
				list = append(list, NewRegistration(w.id, workerKind, w.id, w.domain, "r1", w.pool, w.leaving, w.size))
			}
		}
		slices.SortFunc(list, func(a, b Registration) int { return strings.Compare(a.id, b.id) })
		if n.cell.changeList != nil {
			list = n.cell.changeList(list)
		}
		return NewInstancesRead(ref, list)
	})
}

// pollReplies polls the outstanding replies of other nodes, once for each tick of a test.
func (c *cell) pollReplies() {
	c.table.replyPolls = slices.DeleteFunc(c.table.replyPolls, func(f func() bool) bool { return f() })
	c.deliver()
}
