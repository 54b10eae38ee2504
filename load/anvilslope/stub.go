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

// pendingAnswers holds the answers of one tick at the largest size.
const pendingAnswers = 1 << 16

// answerSize is the length of a service request's answer in bytes.
const answerSize = 200

// world answers the effects of a control loop from a goroutine of its own.
type world struct {
	plan    Plan
	inbox   *anvilcontrol.Inbox
	answers chan func() anvilcontrol.Message

	mu      sync.Mutex
	rows    map[string]anvilrow.Row
	version int64
	beats   int64
	started map[string][]anvilcontrol.Start // tasks that run, by worker
	counts  map[string]int
}

func newWorld(p Plan, in *anvilcontrol.Inbox) *world {
	w := &world{
		plan: p, inbox: in, answers: make(chan func() anvilcontrol.Message, pendingAnswers),
		rows: map[string]anvilrow.Row{}, version: 1, beats: 1,
		started: map[string][]anvilcontrol.Start{}, counts: map[string]int{},
	}
	for _, r := range p.rows() {
		w.put(r)
	}
	return w
}

// answer posts results in the order of the effects until stop is closed.
func (w *world) answer(stop <-chan struct{}) {
	for {
		select {
		case f := <-w.answers:
			w.inbox.Post(f())
		case <-stop:
			return
		}
	}
}

func (w *world) count(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[name]++
}

// total returns how often something was asked for.
func (w *world) total(name string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts[name]
}

// put stores a row at the present version. The caller holds mu or has the world to itself.
func (w *world) put(r anvilrow.Row) {
	v := r.Value()
	if s, ok := v.(anvilrow.Shard); ok {
		v = anvilrow.NewShard(s.Shard().Owned(s.Shard().Owner(), s.Shard().Epoch(), w.version))
	}
	w.rows[r.Key()] = anvilrow.Read(r.Key(), v, w.version, "0190a000-0000-7000-8000-000000000000", false)
}

// Commit implements anvilcontrol.Table. Every commit succeeds: the loop is alone.
func (w *world) Commit(ref anvilcontrol.Ref, c anvilcontrol.Commit) {
	w.answers <- func() anvilcontrol.Message {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.version++
		w.counts["commits"]++
		taken := map[string]bool{}
		for _, r := range c.Puts() {
			prefix, _, _ := strings.Cut(r.Key(), "/")
			w.counts["puts/"+prefix]++
			taken[prefix] = true
			// Task rows are read by a new owner only.
			if !strings.HasPrefix(r.Key(), anvilrow.TaskPrefix) {
				w.put(r)
			}
		}
		if taken["task"] {
			w.counts["row-commits"]++
		}
		return anvilcontrol.NewCommitted(ref, true, w.version, anvilrow.Row{})
	}
}

// Read implements anvilcontrol.Table. Rows pass through their encoding, so that the loop shares no
// memory with the table.
func (w *world) Read(ref anvilcontrol.Ref, prefix string, after int64) {
	w.answers <- func() anvilcontrol.Message {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.counts["reads"]++
		if prefix == anvilrow.SessionPrefix {
			w.beat()
		}
		var out []anvilrow.Row
		for _, r := range w.rows {
			if !strings.HasPrefix(r.Key(), prefix) || r.Version() <= after {
				continue
			}
			m, err := anvilcodec.Row(r)
			if err != nil {
				panic(err)
			}
			w.counts["bytes/"+prefix] += len(protojson.Format(m))
			fresh, err := anvilcodec.ParseRow(m)
			if err != nil {
				panic(err)
			}
			out = append(out, fresh)
		}
		slices.SortFunc(out, func(a, b anvilrow.Row) int { return cmp.Compare(a.Key(), b.Key()) })
		return anvilcontrol.NewRowsRead(ref, out, w.version)
	}
}

// beat renews the peers' sessions at every second read, which is once a second.
func (w *world) beat() {
	w.beats++
	if w.beats%2 != 0 {
		return
	}
	w.version++
	for i := range w.plan.peers {
		w.put(peerRow(i, w.beats))
	}
}

// Instances implements anvilcontrol.Table.
func (w *world) Instances(ref anvilcontrol.Ref) {
	w.answers <- func() anvilcontrol.Message {
		w.count("lists")
		return anvilcontrol.NewInstancesRead(ref, w.plan.list())
	}
}

// Fence implements anvilcontrol.Backends.
func (w *world) Fence(ref anvilcontrol.Ref, addr string, f anvilcontrol.Fence) {
	w.answers <- func() anvilcontrol.Message {
		tasks := w.plan.running(addr)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.counts["fences"]++
		for _, s := range w.started[addr] {
			t := s.Task()
			tasks = append(tasks, anvilcontrol.NewRunningTask(s.ID(), s.Job(), t.Team(), t.Kind(), t.Size(), t.Size(), "running", t.Once()))
		}
		return anvilcontrol.NewFenced(ref, true, f.Epoch(), bootOf(addr), workerSize, tasks, nil, 0)
	}
}

// Start implements anvilcontrol.Backends. Service requests are answered at once; other tasks run for
// as long as the loop does.
func (w *world) Start(ref anvilcontrol.Ref, addr string, s anvilcontrol.Start) {
	w.answers <- func() anvilcontrol.Message {
		w.count("starts")
		if s.Task().Kind() == anviltask.Call {
			return anvilcontrol.NewStarted(ref, "done", "", "", make([]byte, answerSize))
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.started[addr] = append(w.started[addr], s)
		return anvilcontrol.NewStarted(ref, "running", "", "", nil)
	}
}

// Control implements anvilcontrol.Backends. No run needs one.
func (w *world) Control(ref anvilcontrol.Ref, _ string, _ anvilcontrol.Control) {
	w.answers <- func() anvilcontrol.Message {
		w.count("controls")
		return anvilcontrol.NewControlled(ref, true, "", "running", "", nil)
	}
}

// Submit implements anvilcontrol.Peers.
func (w *world) Submit(ref anvilcontrol.Ref, _ string, _ anvilcontrol.Forward) {
	w.answers <- func() anvilcontrol.Message {
		w.count("forwards")
		return anvilcontrol.NewSubmitted(ref, anvilcontrol.NewAnswer(make([]byte, answerSize)))
	}
}

// Inspect implements anvilcontrol.Peers. No run needs one.
func (w *world) Inspect(ref anvilcontrol.Ref, _ string, q anvilcontrol.Query) {
	w.answers <- func() anvilcontrol.Message {
		return anvilcontrol.NewInspected(ref, anvilcontrol.NewStatus(q.ID(), q.Team(), "running"))
	}
}

// Exchange implements anvilcontrol.Peers.
func (w *world) Exchange(ref anvilcontrol.Ref, addr string, s anvilcontrol.Summary) {
	w.answers <- func() anvilcontrol.Message {
		w.count("exchanges")
		return anvilcontrol.NewExchanged(ref, peerSummary(addr, s.Version(), farDomains))
	}
}

// Push implements anvilcontrol.Peers.
func (w *world) Push(ref anvilcontrol.Ref, _ string, _ []anvilrow.Row, version int64) {
	w.answers <- func() anvilcontrol.Message {
		w.count("pushes")
		return anvilcontrol.NewPushed(ref, version, nil)
	}
}

// peerSummary returns the summary of a peer with room in n pools.
func peerSummary(name string, version int64, n int) anvilcontrol.Summary {
	pools := make([]anvilcontrol.PoolSummary, 0, n)
	for i := range n {
		pools = append(pools, anvilcontrol.NewPoolSummary(farPool, farDomain(i), anvilsize.New(6_400_000, 13_107_200, 800), workerSize, 3, 100))
	}
	return anvilcontrol.NewSummary(name, version, 100, pools, nil, false, nil).WithIntroduction(name, false)
}

// snapshot returns how often everything was asked for.
func (w *world) snapshot() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.counts)
}
