package anvilslope

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/encoding/protojson"

	"anvilhold.org/entry/anvilcodec"
	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// maxPendingAnswers is enough for the answers to all requests of one tick at the largest size.
const maxPendingAnswers = 1 << 16

// answerSize is the length in bytes of the answer to a service request.
const answerSize = 200

// environment stubs the table, the workers and the peers of a control loop. It answers their requests from a goroutine of
// its own, and counts them.
type environment struct {
	plan    Plan
	inbox   *anvilcontrol.Inbox
	answers chan func() anvilcontrol.Message

	mu         sync.Mutex
	rows       map[string]anvilrow.Row
	version    int64
	heartbeats int64
	started    map[string][]anvilcontrol.Start // running tasks that the loop started, by worker
	counts     map[string]int
}

func newEnvironment(p Plan, in *anvilcontrol.Inbox) *environment {
	e := &environment{
		plan: p, inbox: in, answers: make(chan func() anvilcontrol.Message, maxPendingAnswers),
		rows: map[string]anvilrow.Row{}, version: 1, heartbeats: 1,
		started: map[string][]anvilcontrol.Start{}, counts: map[string]int{},
	}
	for _, r := range p.rows() {
		e.put(r)
	}
	return e
}

// run posts the answers to the loop in the order of its requests until stop is closed.
func (e *environment) run(stop <-chan struct{}) {
	for {
		select {
		case f := <-e.answers:
			e.inbox.Post(f())
		case <-stop:
			return
		}
	}
}

func (e *environment) count(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[name]++
}

// total returns the value of a counter.
func (e *environment) total(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[name]
}

// put stores a row at the current version. The caller must have locked mu, unless no other goroutine uses e yet.
func (e *environment) put(r anvilrow.Row) {
	v := r.Value()
	if s, ok := v.(anvilrow.Shard); ok {
		v = anvilrow.NewShard(s.Shard().WithOwner(s.Shard().Owner(), s.Shard().Epoch(), e.version))
	}
	e.rows[r.Key()] = anvilrow.Read(r.Key(), v, e.version, "0190a000-0000-7000-8000-000000000000", false)
}

// Commit implements anvilcontrol.Table. Every commit succeeds, as only one loop writes.
func (e *environment) Commit(ref anvilcontrol.Ref, c anvilcontrol.Commit) {
	e.answers <- func() anvilcontrol.Message {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.version++
		e.counts["commits"]++
		prefixes := map[string]bool{}
		for _, r := range c.Puts() {
			prefix, _, _ := strings.Cut(r.Key(), "/")
			e.counts["puts/"+prefix]++
			prefixes[prefix] = true
			// Task rows are not stored, because only a new owner of a shard reads them.
			if !strings.HasPrefix(r.Key(), anvilrow.TaskPrefix) {
				e.put(r)
			}
		}
		if prefixes["task"] {
			e.counts["row-commits"]++
		}
		return anvilcontrol.NewCommitted(ref, true, e.version, anvilrow.Row{})
	}
}

// Read implements anvilcontrol.Table. Rows are encoded and decoded, so that the loop shares no memory with the table.
func (e *environment) Read(ref anvilcontrol.Ref, prefix string, after int64) {
	e.answers <- func() anvilcontrol.Message {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.counts["reads"]++
		if prefix == anvilrow.SessionPrefix {
			e.renewSessions()
		}
		var out []anvilrow.Row
		for _, r := range e.rows {
			if !strings.HasPrefix(r.Key(), prefix) || r.Version() <= after {
				continue
			}
			m, err := anvilcodec.Row(r)
			if err != nil {
				panic(err)
			}
			e.counts["bytes/"+prefix] += len(protojson.Format(m))
			decoded, err := anvilcodec.ParseRow(m)
			if err != nil {
				panic(err)
			}
			out = append(out, decoded)
		}
		slices.SortFunc(out, func(a, b anvilrow.Row) int { return cmp.Compare(a.Key(), b.Key()) })
		return anvilcontrol.NewRowsRead(ref, out, e.version)
	}
}

// renewSessions renews the sessions of the peers at every second call. The loop reads sessions twice a second, so the
// renewals are a second apart.
func (e *environment) renewSessions() {
	e.heartbeats++
	if e.heartbeats%2 != 0 {
		return
	}
	e.version++
	for i := range e.plan.peers {
		e.put(peerRow(i, e.heartbeats))
	}
}

// Instances implements anvilcontrol.Table.
func (e *environment) Instances(ref anvilcontrol.Ref) {
	e.answers <- func() anvilcontrol.Message {
		e.count("lists")
		return anvilcontrol.NewInstancesRead(ref, e.plan.registrations())
	}
}

// Fence implements anvilcontrol.Backends.
func (e *environment) Fence(ref anvilcontrol.Ref, addr string, f anvilcontrol.Fence) {
	e.answers <- func() anvilcontrol.Message {
		tasks := e.plan.running(addr)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.counts["fences"]++
		for _, s := range e.started[addr] {
			t := s.Task()
			tasks = append(tasks, anvilcontrol.NewRunningTask(s.ID(), s.Job(), t.Team(), t.Kind(), t.Size(), t.Size(), "running", t.NonIdempotent()))
		}
		return anvilcontrol.NewFenced(ref, true, f.Epoch(), bootID(addr), workerSize, tasks, nil, 0)
	}
}

// Start implements anvilcontrol.Backends. Service requests are answered at once. Other tasks run until the loop ends.
func (e *environment) Start(ref anvilcontrol.Ref, addr string, s anvilcontrol.Start) {
	e.answers <- func() anvilcontrol.Message {
		e.count("starts")
		if s.Task().Kind() == anviltask.Call {
			return anvilcontrol.NewStarted(ref, "done", "", "", make([]byte, answerSize))
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.started[addr] = append(e.started[addr], s)
		return anvilcontrol.NewStarted(ref, "running", "", "", nil)
	}
}

// Control implements anvilcontrol.Backends. No measurement uses it.
func (e *environment) Control(ref anvilcontrol.Ref, _ string, _ anvilcontrol.Control) {
	e.answers <- func() anvilcontrol.Message {
		e.count("controls")
		return anvilcontrol.NewControlled(ref, true, "", "running", "", nil)
	}
}

// Submit implements anvilcontrol.Peers.
func (e *environment) Submit(ref anvilcontrol.Ref, _ string, _ anvilcontrol.Forward) {
	e.answers <- func() anvilcontrol.Message {
		e.count("forwards")
		return anvilcontrol.NewSubmitted(ref, anvilcontrol.NewAnswer(make([]byte, answerSize)))
	}
}

// Inspect implements anvilcontrol.Peers. No measurement uses it.
func (e *environment) Inspect(ref anvilcontrol.Ref, _ string, q anvilcontrol.Query) {
	e.answers <- func() anvilcontrol.Message {
		return anvilcontrol.NewInspected(ref, anvilcontrol.NewStatus(q.ID(), q.Team(), "running"))
	}
}

// Exchange implements anvilcontrol.Peers.
func (e *environment) Exchange(ref anvilcontrol.Ref, addr string, s anvilcontrol.Summary) {
	e.answers <- func() anvilcontrol.Message {
		e.count("exchanges")
		return anvilcontrol.NewExchanged(ref, peerSummary(addr, s.Version(), remoteDomains))
	}
}

// Push implements anvilcontrol.Peers.
func (e *environment) Push(ref anvilcontrol.Ref, _ string, _ []anvilrow.Row, version int64) {
	e.answers <- func() anvilcontrol.Message {
		e.count("pushes")
		return anvilcontrol.NewPushed(ref, version, nil)
	}
}

// peerSummary returns the summary of a peer that has free capacity in n pools.
func peerSummary(name string, version int64, n int) anvilcontrol.Summary {
	pools := make([]anvilcontrol.PoolSummary, 0, n)
	for i := range n {
		pools = append(pools, anvilcontrol.NewPoolSummary(remotePool, remoteDomain(i), anvilsize.New(6_400_000, 13_107_200, 800), workerSize, 3, 100))
	}
	return anvilcontrol.NewSummary(name, version, 100, pools, nil, false, nil).WithIntroduction(name, false)
}

// snapshot returns a copy of all counters.
func (e *environment) snapshot() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.counts)
}
