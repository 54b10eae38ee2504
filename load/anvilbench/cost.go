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
	teams      = 140

	// A fleet counts as full when this many tasks, which differ in size, have found no room.
	waitingWhenFull = 64
)

// cell is a fleet with running tasks on which single decisions are timed.
type cell struct {
	rng     *rand.Rand
	index   *anvilplacement.Index
	share   *anvilshare.Tree
	queue   *anvilqueue.Queue
	workers []*anvilworker.Worker
	running []placed
	next    int
	largest int64 // cores of the largest task
}

type placed struct {
	task   *anviltask.Task
	worker *anvilworker.Worker
}

// newCell returns a cell whose running tasks take most of the fleet when there are 18 for each
// worker, as 100,000 on 5,600 are.
func newCell(seed uint64, workers, tasks, backlog int) *cell {
	c := &cell{
		rng: rand.New(rand.NewPCG(seed, uint64(workers))), index: anvilplacement.NewIndex(), share: anvilshare.New(),
		largest: 5,
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
		if c.queue.Len() > waitingWhenFull {
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
	c.next++
	kind := anviltask.Batch
	if c.next%5 == 0 {
		kind = anviltask.Call
	}
	return anviltask.New(fmt.Sprintf("t%07d", c.next), kind, "p",
		anviltask.WithTeam(fmt.Sprintf("team%03d", c.rng.IntN(teams)), fmt.Sprintf("ws%d", c.rng.IntN(6))),
		anviltask.WithSize(anvilsize.New((1+c.rng.Int64N(2*c.largest))*500, (1+c.rng.Int64N(2*c.largest))*1024, 0)))
}

func (c *cell) push(t *anviltask.Task) {
	if err := c.queue.Push(t, 0); err != nil {
		panic(err)
	}
}

// submit is a whole decision: the queue, the share, the index and the reservation.
func (c *cell) submit(t *anviltask.Task) {
	c.push(t)
	c.queue.Pass(0, c.try)
}

func (c *cell) try(t *anviltask.Task) anvilqueue.Verdict {
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
	c.running = append(c.running, placed{t, w})
	return anvilqueue.Placed
}

func (c *cell) request(t *anviltask.Task) anvilplacement.Request {
	return anvilplacement.NewRequest(t.Pool(), t.Kind(), t.Size())
}

func (c *cell) endOne() {
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

// timing is what single decisions took, in nanoseconds.
type timing struct {
	decisions *hdrhistogram.Histogram
	scans     *hdrhistogram.Histogram
	rate      float64
}

// time ends one task and submits one, n times. Every tenth round it also times a plain scan for the
// same request, so that both see the same state and the same noise.
func (c *cell) time(n int) timing {
	t := timing{decisions: hdrhistogram.New(1, 1e10, 3), scans: hdrhistogram.New(1, 1e10, 3)}
	scan := anvilplacement.Scan()
	var spent time.Duration
	for i := range n {
		task := c.task()
		if i%10 == 0 {
			start := time.Now()
			scan.Place(c.index, c.request(task))
			_ = t.scans.RecordValue(time.Since(start).Nanoseconds())
		}
		start := time.Now()
		c.endOne()
		began := time.Now()
		c.submit(task)
		end := time.Now()
		_ = t.decisions.RecordValue(end.Sub(began).Nanoseconds())
		spent += end.Sub(start)
	}
	t.rate = float64(n) / spent.Seconds()
	return t
}

// timeCosts prints the cost of decisions.
func timeCosts(out *table, seed uint64, quick bool) {
	n := 20_000
	if quick {
		n = 2000
	}
	// The first cells of a process are slower than later ones, so one runs unmeasured.
	newCell(seed, smallFleet, fewTasks, 0).time(n / 4)
	large := newCell(seed, largeFleet, manyTasks, 0).time(n)
	few := newCell(seed, largeFleet, fewTasks, 0).time(n)
	small := newCell(seed, smallFleet, manyTasks*smallFleet/largeFleet, 0).time(n)
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

// timeFull times decisions on a fleet that is full, with a long queue.
func timeFull(out *table, seed uint64, n int) {
	c := newCell(seed, largeFleet, 3*manyTasks/2, 4000)
	t := c.time(n)
	out.row("decision.rate.full", ownName, t.rate, "1/s")
	out.row("decision.p50.full", ownName, micros(t.decisions, 50), "us")
	out.row("decision.p99.full", ownName, micros(t.decisions, 99), "us")
	out.row("decision.queue.full", ownName, float64(c.queue.Len()), "tasks")
	out.bound("full-decision-p99-under-2ms", micros(t.decisions, 99) < 2000)
	out.bound("full-decisions-5000-a-second", t.rate >= 5000)
}

// timeCancel times a wave of ten thousand cancellations.
func timeCancel(out *table, seed uint64) {
	const wave = 10_000
	c := newCell(seed, smallFleet, 0, 0)
	c.queue = anvilqueue.New(anvilqueue.WithShare(c.share), anvilqueue.WithBound(wave))
	var ids []string
	for range wave {
		t := c.task().With(anviltask.WithWait(anvilclock.Millis(60_000)))
		c.push(t)
		ids = append(ids, t.ID())
	}
	c.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	start := time.Now()
	for _, id := range ids {
		c.queue.Remove(id)
	}
	out.row("cancel.each", ownName, float64(time.Since(start).Nanoseconds())/wave/1000, "us")
}

func micros(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
