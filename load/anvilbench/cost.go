package anvilbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilplacement"
	"anvilhold.org/lib/anvilqueue"
	"anvilhold.org/lib/anvilshare"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilworker"
)

const (
	largeFleet = 5600
	smallFleet = 48
	manyTasks  = 100_000
	fewTasks   = 100
	teamCount  = 140

	// fullQueueLength is the queue length above which newCell regards the fleet as full. The queued tasks differ in
	// size, so few more of them would fit.
	fullQueueLength = 64
)

// cell is a fleet with running and queued tasks, on which single decisions are timed.
type cell struct {
	rng       *rand.Rand
	index     *anvilplacement.Index
	share     *anvilshare.Tree
	queue     *anvilqueue.Queue
	workers   []*anvilworker.Worker
	running   []placement
	taskCount int
	maxCores  int64 // largest CPU request of a task, in cores
}

type placement struct {
	task   *anviltask.Task
	worker *anvilworker.Worker
}

// newCell returns a cell with running tasks and a backlog of queued ones. It starts fewer running tasks than given when
// the fleet is full. 18 tasks for each worker, as with 100,000 tasks on 5,600 workers, use most of the fleet's
// capacity.
func newCell(seed uint64, workers, tasks, backlog int) *cell {
	c := &cell{
		rng: rand.New(rand.NewPCG(seed, uint64(workers))), index: anvilplacement.NewIndex(), share: anvilshare.New(),
		maxCores: 5,
	}
	c.queue = anvilqueue.New(anvilqueue.WithShare(c.share), anvilqueue.WithBound(4096+4*backlog))
	capacity := anvilsize.New(64_000, 128*1024, 0)
	for i := range workers {
		w := anvilworker.New(fmt.Sprintf("w%05d", i), anvilworker.WithPool("p"), anvilworker.WithCapacity(capacity),
			anvilworker.WithLocation(fmt.Sprintf("d%02d", i%12), "r"))
		w.SetSchedulable(true)
		c.workers = append(c.workers, w)
		c.index.Add(w)
	}
	c.share.SetTotal(capacity.Scale(int64(workers)))
	for range tasks {
		if c.queue.Len() > fullQueueLength {
			break
		}
		c.submit(c.task())
	}
	for range backlog {
		c.push(c.task())
	}
	return c
}

func (c *cell) task() *anviltask.Task {
	c.taskCount++
	kind := anviltask.Batch
	if c.taskCount%5 == 0 {
		kind = anviltask.Call
	}
	return anviltask.New(fmt.Sprintf("t%07d", c.taskCount), kind, "p",
		anviltask.WithTeam(fmt.Sprintf("team%03d", c.rng.IntN(teamCount)), fmt.Sprintf("ws%d", c.rng.IntN(6))),
		anviltask.WithSize(anvilsize.New((1+c.rng.Int64N(2*c.maxCores))*500, (1+c.rng.Int64N(2*c.maxCores))*1024, 0)))
}

func (c *cell) push(t *anviltask.Task) {
	if err := c.queue.Push(t, 0); err != nil {
		panic(err)
	}
}

// submit makes one whole decision: it queues the task and runs a pass, which uses the queue, the team shares, the
// placement index and the reservation on the worker.
func (c *cell) submit(t *anviltask.Task) {
	c.push(t)
	c.queue.Pass(0, c.tryPlace)
}

func (c *cell) tryPlace(t *anviltask.Task) anvilqueue.Verdict {
	ws := c.index.Place(c.request(t))
	if ws == nil {
		return anvilqueue.NoCapacity
	}
	w := ws[0]
	if err := w.Reserve(t.Size()); err != nil {
		panic(err)
	}
	c.index.Update(w)
	c.share.Charge(t.Team(), t.Workspace(), t.Size())
	c.running = append(c.running, placement{t, w})
	return anvilqueue.Placed
}

func (c *cell) request(t *anviltask.Task) anvilplacement.Request {
	return anvilplacement.NewRequest(t.Pool(), t.Kind(), t.Size())
}

func (c *cell) endRandomTask() {
	if len(c.running) == 0 {
		return
	}
	i := c.rng.IntN(len(c.running))
	p := c.running[i]
	last := len(c.running) - 1
	c.running[i] = c.running[last]
	c.running = c.running[:last]
	p.worker.Release(p.task.Size())
	c.index.Update(p.worker)
	c.share.Refund(p.task.Team(), p.task.Workspace(), p.task.Size())
}

// timing holds the durations of decisions and of scans in nanoseconds, and the rate of decisions per second.
type timing struct {
	decisions *hdrhistogram.Histogram
	scans     *hdrhistogram.Histogram
	rate      float64
}

// timeDecisions ends one task and submits one, n times. Every tenth time it also times a scan of all workers for the
// same request, so that both are measured on the same state and under the same load of the machine.
func (c *cell) timeDecisions(n int) timing {
	t := timing{decisions: hdrhistogram.New(1, 1e10, 3), scans: hdrhistogram.New(1, 1e10, 3)}
	scan := anvilplacement.Scan()
	var elapsed time.Duration
	for i := range n {
		task := c.task()
		if i%10 == 0 {
			start := time.Now()
			scan.Place(c.index, c.request(task))
			_ = t.scans.RecordValue(time.Since(start).Nanoseconds())
		}
		start := time.Now()
		c.endRandomTask()
		decisionStart := time.Now()
		c.submit(task)
		end := time.Now()
		_ = t.decisions.RecordValue(end.Sub(decisionStart).Nanoseconds())
		elapsed += end.Sub(start)
	}
	t.rate = float64(n) / elapsed.Seconds()
	return t
}

// timeCosts prints the durations and rates of decisions, and their ratios between fleets of different sizes.
func timeCosts(out *rowWriter, seed uint64, quick bool) {
	n := 20_000
	if quick {
		n = 2000
	}
	// The first cell of a process is slower than later ones, so one runs as a warm-up.
	newCell(seed, smallFleet, fewTasks, 0).timeDecisions(n / 4)
	large := newCell(seed, largeFleet, manyTasks, 0).timeDecisions(n)
	few := newCell(seed, largeFleet, fewTasks, 0).timeDecisions(n)
	small := newCell(seed, smallFleet, manyTasks*smallFleet/largeFleet, 0).timeDecisions(n)
	ratio := large.decisions.Mean() / large.scans.Mean()
	out.row("decision.rate.5600", ownName, large.rate, "1/s")
	out.row("decision.p50.5600", ownName, micros(large.decisions, 50), "us")
	out.row("decision.p99.5600", ownName, micros(large.decisions, 99), "us")
	out.row("decision.p50.5600", "scan", micros(large.scans, 50), "us")
	out.row("decision.p99.5600", "scan", micros(large.scans, 99), "us")
	out.row("decision.ratio.to-scan", ownName, ratio, "ratio")
	out.row("decision.slope.workers", ownName, large.decisions.Mean()/small.decisions.Mean(), "ratio")
	out.row("decision.slope.running", ownName, large.decisions.Mean()/few.decisions.Mean(), "ratio")
	out.bound("decision-p99-under-2ms", micros(large.decisions, 99) < 2000)
	out.bound("decisions-5000-a-second", large.rate >= 5000)
	out.bound("decision-under-2-scans", ratio < 2)
	timeFull(out, seed, n)
	timeCancel(out, seed)
}

// timeFull times decisions on a full fleet with a long queue.
func timeFull(out *rowWriter, seed uint64, n int) {
	c := newCell(seed, largeFleet, 3*manyTasks/2, 4000)
	t := c.timeDecisions(n)
	out.row("decision.rate.full", ownName, t.rate, "1/s")
	out.row("decision.p50.full", ownName, micros(t.decisions, 50), "us")
	out.row("decision.p99.full", ownName, micros(t.decisions, 99), "us")
	out.row("decision.queue.full", ownName, float64(c.queue.Len()), "tasks")
	out.bound("full-decision-p99-under-2ms", micros(t.decisions, 99) < 2000)
	out.bound("full-decisions-5000-a-second", t.rate >= 5000)
}

// timeCancel times ten thousand cancellations of queued tasks, in random order.
func timeCancel(out *rowWriter, seed uint64) {
	const cancellations = 10_000
	c := newCell(seed, smallFleet, 0, 0)
	c.queue = anvilqueue.New(anvilqueue.WithShare(c.share), anvilqueue.WithBound(cancellations))
	var ids []string
	for range cancellations {
		t := c.task().With(anviltask.WithMaxWait(anvilclock.Millis(60_000)))
		c.push(t)
		ids = append(ids, t.ID())
	}
	c.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	start := time.Now()
	for _, id := range ids {
		c.queue.Remove(id)
	}
	out.row("cancel.each", ownName, float64(time.Since(start).Nanoseconds())/cancellations/1000, "us")
}

func micros(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
