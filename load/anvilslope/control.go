package anvilslope

import (
	"context"
	"errors"
	"fmt"
	"time"

	"anvilhold.org/lib/anvilclock"
)

// Numbers of requests over which the cost of one request is averaged.
const (
	callCount     = 4000
	onceCount     = 1000
	exchangeCount = 200
	changeCount   = 10
)

// sweep varies one number of the plan. At each size it measures the loop first idle and then under requests.
type sweep struct {
	name  string
	sizes []int
	plan  func(size int) PlanOption
	// requests lists the kinds of requests that are measured at each size.
	requests []request
}

// request is a kind of request to the loop. send returns the function that sends n requests and waits for the replies.
type request struct {
	name  string
	count int
	send  func(*harness) func(int) error
}

var (
	callRequest     = request{"call", callCount, func(h *harness) func(int) error { return h.sendCalls }}
	onceRequest     = request{"once", onceCount, func(h *harness) func(int) error { return h.sendNonIdempotentCalls }}
	forwardRequest  = request{"forward", callCount, func(h *harness) func(int) error { return h.sendRemoteCalls }}
	exchangeRequest = request{"swap", exchangeCount, func(h *harness) func(int) error { return h.exchangeSummaries }}
	changeRequest   = request{"change", changeCount, func(h *harness) func(int) error { return h.changeContracts }}
)

func sweeps() []sweep {
	return []sweep{
		{"worker", []int{48, 480, 1400}, func(n int) PlanOption { return WithWorkers(n, 0) },
			[]request{exchangeRequest, changeRequest, callRequest}},
		{"task", []int{2400, 9600, 28800}, func(n int) PlanOption { return WithWorkers(480, n/480) },
			[]request{callRequest}},
		{"shard", []int{8, 24, 96}, func(n int) PlanOption { return WithShards(8, 1, n/8) },
			[]request{callRequest, onceRequest, changeRequest}},
		{"team", []int{10, 70, 140}, WithTeams, []request{callRequest, exchangeRequest, changeRequest}},
		{"listed", []int{100, 1400, 5600}, WithPeerWorkers, []request{onceRequest}},
		{"peer", []int{3, 10, 30}, WithPeers, []request{forwardRequest}},
	}
}

// sweepSeries holds the series of a sweep. requests has one series for each request of the sweep.
type sweepSeries struct {
	idle, memory, reads, commits, decisions *Series
	requests                                []*Series
}

func (s sweep) addSeries(out *Report) sweepSeries {
	const role = "entry"
	set := sweepSeries{
		idle: out.AddSeries(role, "rest", s.name, "us/s"), memory: out.AddSeries(role, "memory", s.name, "bytes"),
		reads: out.AddSeries("table", "reads", s.name, "1/s"), commits: out.AddSeries("table", "commits", s.name, "1/s"),
	}
	for _, q := range s.requests {
		set.requests = append(set.requests, out.AddSeries(role, q.name, s.name, "us"))
	}
	set.decisions = out.AddSeries(role, "decision-p99", s.name, "us")
	return set
}

// run measures the sweep at all sizes. Each size has a new loop.
func (s sweep) run(ctx context.Context, seed uint64, out *Report) error {
	set := s.addSeries(out)
	for _, size := range s.sizes {
		if err := s.measure(ctx, NewPlan(seed, s.plan(size)), float64(size), set); err != nil {
			return fmt.Errorf("%s=%d: %w", s.name, size, err)
		}
	}
	return nil
}

func (s sweep) measure(ctx context.Context, p Plan, size float64, set sweepSeries) (err error) {
	h, err := startHarness(ctx, p)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, h.close()) }()
	before, began := h.env.allCounts(), h.clock.Now()
	idle, err := h.idleCPU(ctx)
	if err != nil {
		return err
	}
	after, elapsed := h.env.allCounts(), (h.clock.Now() - began).Duration().Seconds()
	set.idle.Add(size, idle)
	set.reads.Add(size, float64(after["reads"]-before["reads"])/elapsed)
	set.commits.Add(size, float64(after["commits"]-before["commits"])/elapsed)
	memory, err := s.measureRequests(h, size, set.requests)
	if err != nil {
		return err
	}
	if n := h.meter.decisionPercentile(99); n > 0 {
		set.decisions.Add(size, n)
	}
	set.memory.Add(size, memory)
	return nil
}

// measureRequests measures the requests, closes the harness and returns the memory that the loop held before them.
func (s sweep) measureRequests(h *harness, size float64, series []*Series) (memory float64, err error) {
	h.clock.setSpeed(0)
	before := liveHeap()
	for i, q := range s.requests {
		cpu, err := h.cpuPerRequest(q.count, q.send(h))
		if err != nil {
			return 0, fmt.Errorf("%s: %w", q.name, err)
		}
		series[i].Add(size, cpu)
	}
	grown := liveHeap() - before
	memory, err = h.closeAndMeasure()
	return memory - grown, err
}

// decisionPercentile returns a percentile of the durations of decisions in µs, 0 if there were none.
func (m *meter) decisionPercentile(p float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return float64(m.decisions.ValueAtPercentile(p)) / 1000
}

// ramp raises the number of tasks that one loop keeps and measures the loop at each size.
type ramp struct {
	name        string
	sizes       []int
	opts        []PlanOption
	send        func(*harness) func(int) error
	gauge       string // the loop has reached a size when this gauge has it; empty means at once
	measureIdle bool
}

func ramps() []ramp {
	return []ramp{
		{"started-task", []int{1000, 4000, 10000}, []PlanOption{WithWorkers(480, 0)},
			func(h *harness) func(int) error { return h.submitServices }, "tasks.running", true},
		{"queued-task", []int{500, 2000, 4000}, []PlanOption{WithWorkers(480, 1), WithFullWorkers()},
			func(h *harness) func(int) error { return h.submitServices }, "queue", true},
		{"ended-call", []int{2000, 8000, 16000}, nil,
			func(h *harness) func(int) error { return h.sendCalls }, "", false},
		{"ended-once", []int{2000, 8000, 16000}, nil,
			func(h *harness) func(int) error { return h.sendNonIdempotentCalls }, "", false},
	}
}

func (r ramp) run(ctx context.Context, seed uint64, out *Report) (err error) {
	memory := out.AddSeries("entry", "memory", r.name, "bytes")
	var idle *Series
	if r.measureIdle {
		idle = out.AddSeries("entry", "rest", r.name, "us/s")
	}
	commits := out.AddSeries("table", "commits-in-all", r.name, "commits")
	h, err := startHarness(ctx, NewPlan(seed, r.opts...))
	if err != nil {
		return fmt.Errorf("%s: %w", r.name, err)
	}
	defer func() {
		if closeErr := h.close(); err == nil {
			err = closeErr
		}
	}()
	h.clock.setSpeed(0)
	emptyHeap, count := liveHeap(), 0
	for _, size := range r.sizes {
		h.clock.setSpeed(1)
		before := h.env.countOf("commits")
		if err := r.send(h)(size - count); err != nil {
			return fmt.Errorf("%s=%d: %w", r.name, size, err)
		}
		commits.Add(float64(size-count), float64(h.env.countOf("commits")-before))
		count = size
		if r.gauge != "" {
			if err := h.awaitGauge(ctx, r.gauge, int64(size)); err != nil {
				return fmt.Errorf("%s=%d: %w", r.name, size, err)
			}
		}
		h.clock.setSpeed(0)
		memory.Add(float64(size), liveHeap()-emptyHeap)
		if idle != nil {
			cpu, err := h.idleCPU(ctx)
			if err != nil {
				return err
			}
			idle.Add(float64(size), cpu)
		}
	}
	return nil
}

// The measurement of transfers starts tasks until each team uses transferUsePercent of its limit. Half of the limit is
// spread evenly over the shards, so most shards need a larger allocation. transferTime is enough for the transfers.
const (
	transferStarts     = 2000 // tasks of all teams
	transferUsePercent = 80
	transferTime       = anvilclock.Millis(10_000)
	transferSpeed      = 4
)

// measureTransfers measures the commits of transfers of allocations when every team starts tasks up to most of its
// limit, and how many of the tasks run in the end.
func measureTransfers(ctx context.Context, seed uint64, out *Report) error {
	commits := out.AddSeries("table", "escrow-commits-for-2000-starts", "team", "commits")
	running := out.AddSeries("entry", "running-of-2000-starts", "team", "tasks")
	for _, teams := range []int{10, 70, 140} {
		limit := taskSize.Scale(transferStarts*100/int64(teams*transferUsePercent) + 1)
		h, err := startHarness(ctx, NewPlan(seed, WithTeams(teams), WithLimit(limit)))
		if err != nil {
			return fmt.Errorf("transfers: %w", err)
		}
		h.clock.setSpeed(transferSpeed)
		before := h.env.countOf("puts/escrow")
		if err = h.submitServices(transferStarts); err == nil {
			err = sleep(ctx, transferTime.Duration()/transferSpeed)
		}
		commits.Add(float64(teams), float64(h.env.countOf("puts/escrow")-before))
		running.Add(float64(teams), float64(h.meter.gauge("tasks.running")))
		if err := errors.Join(err, h.close()); err != nil {
			return fmt.Errorf("transfers of %d teams: %w", teams, err)
		}
	}
	return nil
}

// rateDuration is how long tasks are submitted at each rate.
const rateDuration = 2 * time.Second

// measureAcceptCommits measures the commits of an instance that accepts tasks at a steady rate. A task's row is written
// once when the task is accepted. The commits that record its end and delete the row aren't part of the measurement.
func measureAcceptCommits(ctx context.Context, seed uint64, out *Report) error {
	commits := out.AddSeries("table", "accept-commits", "accepted/s", "1/s")
	h, err := startHarness(ctx, NewPlan(seed))
	if err != nil {
		return fmt.Errorf("accept commits: %w", err)
	}
	h.clock.setSpeed(1)
	for _, rate := range []int{12, 24, 72, 288} {
		before := h.env.countOf("row-commits")
		if err = h.submitAtRate(ctx, rate, rateDuration); err != nil {
			err = fmt.Errorf("%d tasks a second: %w", rate, err)
			break
		}
		commits.Add(float64(rate), float64(h.env.countOf("row-commits")-before)/rateDuration.Seconds())
	}
	return errors.Join(err, h.close())
}

// Control adds the series of the control loop to out: CPU time, memory, decision times, and reads and commits of the
// table.
func Control(ctx context.Context, seed uint64, out *Report) error {
	for _, s := range sweeps() {
		if err := s.run(ctx, seed, out); err != nil {
			return err
		}
	}
	for _, r := range ramps() {
		if err := r.run(ctx, seed, out); err != nil {
			return err
		}
	}
	if err := measureTransfers(ctx, seed, out); err != nil {
		return err
	}
	return measureAcceptCommits(ctx, seed, out)
}
