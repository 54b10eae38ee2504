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

// cell runs several loops over a fake table and fake workers on one manual clock. Results of
// effects are delivered in order, so that every run is the same.
type cell struct {
	t          *testing.T
	clock      *anvilclock.Manual
	pending    []func()
	table      *fakeTable
	workers    map[string]*fakeWorker
	nodes      map[string]*node
	violations []string
}

// node is one loop with its effects.
type node struct {
	cell         *cell
	loop         *Loop
	dead         bool
	paused       bool
	partitioned  bool // neither table nor peers are reached
	unresponsive bool // connections to it open and get no answer
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

func (c *cell) addWorker(id, domain, pool string, size anvilsize.Size) {
	w := &fakeWorker{cell: c, id: id, domain: domain, pool: pool, boot: id + "-1", size: size}
	w.reset()
	c.workers[id] = w
}

// run moves the clock forward in ticks.
func (c *cell) run(d anvilclock.Millis) {
	for end := c.clock.Now() + d; c.clock.Now() < end; {
		c.clock.Advance(25)
		for _, w := range c.workers {
			w.advance()
		}
		for _, name := range c.names() {
			if n := c.nodes[name]; !n.dead && !n.paused {
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
	for len(c.pending) > 0 {
		f := c.pending[0]
		c.pending = c.pending[1:]
		f()
	}
}

// later queues the result of an effect of n. A frozen node gets it when it goes on.
func (c *cell) queueResult(n *node, f func() Message) {
	c.pending = append(c.pending, func() {
		m := f()
		if m == nil || n.dead {
			return
		}
		n.loop.handle(m)
		n.loop.passIfDue()
	})
}

// configure writes a configuration row together with the next version, as an operator's change.
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
	// The id carries the manual clock's time instead of that of the machine.
	ms := fmt.Sprintf("%012x", int64(c.clock.Unix()))
	return ms[:8] + "-" + ms[8:12] + id[13:]
}

// submit sends a task to a node and returns the channel of its outcome.
func (c *cell) submit(n *node, t *anviltask.Task) <-chan Result {
	reply := make(chan Result, 1)
	n.loop.handle(NewSubmit(NewForward(t, 0, n.loop.View().Config().Version()), reply))
	n.loop.passIfDue()
	c.deliver()
	return reply
}

// peer effects

func (n *node) reachable(addr string) *node {
	if n.partitioned || n.cell.nodes[addr] == nil || n.cell.nodes[addr].dead || n.cell.nodes[addr].partitioned {
		return nil
	}
	return n.cell.nodes[addr]
}

func (n *node) Submit(ref Ref, addr string, f Forward) {
	to := n.reachable(addr)
	if to == nil || to.paused {
		err := anvilerror.Refuse(anvilerror.NoOwner, "not reached")
		n.cell.queueResult(n, func() Message { return NewSubmitted(ref, NewFailure(err)) })
		return
	}
	n.cell.pending = append(n.cell.pending, func() {
		reply := make(chan Result, 1)
		to.loop.handle(NewSubmit(f, reply))
		to.loop.passIfDue()
		n.cell.watchReply(n, reply, to, ref)
	})
}

// await passes a reply on when it has come; a reply of a node that died is unknown.
func (c *cell) watchReply(n *node, reply chan Result, to *node, ref Ref) {
	c.table.watched = append(c.table.watched, func() bool {
		select {
		case r := <-reply:
			c.queueResult(n, func() Message { return NewSubmitted(ref, r) })
			return true
		default:
		}
		if to.dead {
			err := anvilerror.UnknownOutcome(anvilerror.Lost, "the owner died")
			c.queueResult(n, func() Message { return NewSubmitted(ref, NewFailure(err)) })
			return true
		}
		return false
	})
}

func (n *node) Inspect(ref Ref, addr string, q Query) {
	to := n.reachable(addr)
	n.cell.queueResult(n, func() Message {
		if to == nil {
			return NewInspected(ref, NewStatusFailure(anvilerror.Refuse(anvilerror.NoOwner, "not reached")))
		}
		reply := make(chan Status, 1)
		to.loop.handle(NewInspect(q, reply))
		return NewInspected(ref, <-reply)
	})
}

func (n *node) Exchange(ref Ref, addr string, s Summary) {
	to := n.reachable(addr)
	n.cell.queueResult(n, func() Message {
		switch {
		case n.partitioned || to != nil && to.unresponsive:
			return NewExchangeFailure(ref, anvilerror.UnknownOutcome(anvilerror.Lost, "no answer"))
		case to == nil:
			return NewExchangeFailure(ref, anvilerror.Refuse(anvilerror.NoOwner, "refused"))
		}
		reply := make(chan Summary, 1)
		to.loop.handle(NewExchangeRequest(s, reply))
		return NewExchanged(ref, <-reply)
	})
}

func (n *node) Push(ref Ref, addr string, rows []anvilrow.Row, version int64) {
	to := n.reachable(addr)
	n.cell.queueResult(n, func() Message {
		if to == nil || to.paused {
			return NewPushed(ref, 0, anvilerror.Refuse(anvilerror.NoOwner, "not reached"))
		}
		reply := make(chan int64, 1)
		to.loop.handle(NewPushRequest(rows, version, reply))
		return NewPushed(ref, <-reply, nil)
	})
}

// table effects

// fakeTable keeps rows and applies commits at once.
type fakeTable struct {
	rows        map[string]anvilrow.Row
	version     int64
	down        bool
	loseAnswers bool
	watched     []func() bool
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
			v = anvilrow.NewShard(sh.Owned(sh.Owner(), sh.Epoch(), ft.version))
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
			return NewCommitFailure(ref, anvilerror.Refuse(anvilerror.NoTable, "down"))
		}
		ok, conflict := ft.apply(c)
		if ft.loseAnswers {
			return NewCommitFailure(ref, anvilerror.UnknownOutcome(anvilerror.Lost, "lost"))
		}
		return NewCommitted(ref, ok, ft.version, conflict)
	})
}

func (n *node) Read(ref Ref, prefix string, after int64) {
	ft := n.cell.table
	n.cell.queueResult(n, func() Message {
		if ft.down || n.partitioned {
			return NewReadFailure(ref, anvilerror.Refuse(anvilerror.NoTable, "down"))
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
		return NewInstancesRead(ref, list)
	})
}

// watchReplies polls the replies that other nodes owe, once for each tick of the test.
func (c *cell) watchReplies() {
	c.table.watched = slices.DeleteFunc(c.table.watched, func(f func() bool) bool { return f() })
	c.deliver()
}
