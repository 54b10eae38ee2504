package anvilslope

import (
	"context"
	"errors"
	"fmt"
	"time"

	"anvilhold.org/lib/anvilclock"
)

// Numbers of requests over which the processor time of each kind is averaged.
const (
	callCount     = 4000
	onceCount     = 1000
	exchangeCount = 200
	changeCount   = 10
)

// sweep varies one number of the plan. At each size it measures the idle loop, and then the loop under requests.
type sweep struct {
	name  string
	sizes []int
	plan  func(size int) PlanOption
	// requests lists the kinds of requests that are measured at each size.
	requests []request
}

// request is a kind of request to the loop, with the number of requests to measure.
type request struct {
	name  string
	count int
	send  func(*harness) func(int) error
}

var (
	callRequest     = request{"call", callCount, func(h *harness) func(int) error { return h.calls }}
	onceRequest     = request{"once", onceCount, func(h *harness) func(int) error { return h.onceCalls }}
	forwardRequest  = request{"forward", callCount, func(h *harness) func(int) error { return h.forwards }}
	exchangeRequest = request{"swap", exchangeCount, func(h *harness) func(int) error { return h.exchanges }}
	changeRequest   = request{"change", changeCount, func(h *harness) func(int) error { return h.changes }}
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
		{"listed", []int{100, 1400, 5600}, WithRemoteWorkers, []request{onceRequest}},
		{"peer", []int{3, 10, 30}, WithPeers, []request{forwardRequest}},
	}
}

// sweepSeries are the series that a sweep fills.
type sweepSeries struct {
	idle, memory, reads, commits, decisions *Series
	requests                                []*Series
}

func (s sweep) newSeries(out *Report) sweepSeries {
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

// run measures all sizes of the sweep.
func (s sweep) run(ctx context.Context, seed uint64, out *Report) error {
	set := s.newSeries(out)
	for _, size := range s.sizes {
		if err := s.measure(ctx, NewPlan(seed, s.plan(size)), float64(size), set); err != nil {
			return fmt.Errorf("%s=%d: %w", s.name, size, err)
		}
	}
	return nil
}

func (s sweep) measure(ctx context.Context, p Plan, size float64, set sweepSeries) (err error) {
	h, err := open(ctx, p)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, h.close()) }()
	before, began := h.env.snapshot(), h.clock.Now()
	idleTime, err := h.idleTime(ctx)
	if err != nil {
		return err
	}
	after, elapsed := h.env.snapshot(), (h.clock.Now() - began).Duration().Seconds()
	set.idle.Add(size, idleTime)
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

// measureRequests measures the requests and returns the memory in bytes that the loop used before them.
func (s sweep) measureRequests(h *harness, size float64, series []*Series) (memory float64, err error) {
	h.clock.setSpeed(0)
	before := heap()
	for i, q := range s.requests {
		used, err := h.timePerRequest(q.count, q.send(h))
		if err != nil {
			return 0, fmt.Errorf("%s: %w", q.name, err)
		}
		series[i].Add(size, used)
	}
	grown := heap() - before
	memory, err = h.release()
	return memory - grown, err
}

// decisionPercentile returns a percentile of the decision times in µs.
func (m *meter) decisionPercentile(p float64) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return float64(m.decisions.ValueAtPercentile(p)) / 1000
}

// ramp raises the number of tasks or calls that one loop has accepted, step by step, and measures the loop at each
// number.
type ramp struct {
	name  string
	sizes []int
	opts  []PlanOption
	send  func(*harness) func(int) error
	// gauge names the metric whose value reaches the size; it is empty if there is none to wait for.
	gauge string
	// idle is set if the processor time of the idle loop is measured too.
	idle bool
}

func ramps() []ramp {
	return []ramp{
		{"started-task", []int{1000, 4000, 10000}, []PlanOption{WithWorkers(480, 0)},
			func(h *harness) func(int) error { return h.services }, "tasks.running", true},
		{"queued-task", []int{500, 2000, 4000}, []PlanOption{WithWorkers(480, 1), WithFullWorkers()},
			func(h *harness) func(int) error { return h.services }, "queue", true},
		{"ended-call", []int{2000, 8000, 16000}, nil,
			func(h *harness) func(int) error { return h.calls }, "", false},
		{"ended-once", []int{2000, 8000, 16000}, nil,
			func(h *harness) func(int) error { return h.onceCalls }, "", false},
	}
}

func (r ramp) run(ctx context.Context, seed uint64, out *Report) (err error) {
	memory := out.AddSeries("entry", "memory", r.name, "bytes")
	var idle *Series
	if r.idle {
		idle = out.AddSeries("entry", "rest", r.name, "us/s")
	}
	commits := out.AddSeries("table", "commits-in-all", r.name, "commits")
	h, err := open(ctx, NewPlan(seed, r.opts...))
	if err != nil {
		return fmt.Errorf("%s: %w", r.name, err)
	}
	defer func() {
		if cerr := h.close(); err == nil {
			err = cerr
		}
	}()
	h.clock.setSpeed(0)
	empty, reached := heap(), 0
	for _, size := range r.sizes {
		h.clock.setSpeed(1)
		before := h.env.total("commits")
		if err := r.send(h)(size - reached); err != nil {
			return fmt.Errorf("%s=%d: %w", r.name, size, err)
		}
		commits.Add(float64(size-reached), float64(h.env.total("commits")-before))
		reached = size
		if r.gauge != "" {
			if err := h.await(ctx, r.gauge, int64(size)); err != nil {
				return fmt.Errorf("%s=%d: %w", r.name, size, err)
			}
		}
		h.clock.setSpeed(0)
		memory.Add(float64(size), heap()-empty)
		if idle != nil {
			used, err := h.idleTime(ctx)
			if err != nil {
				return err
			}
			idle.Add(float64(size), used)
		}
	}
	return nil
}

// Parameters of the measurement of escrow transfers. At first, half of each team's limit is allocated evenly to the
// shards, so that most shards need more than their allocation.
const (
	transferStarts = 2000
	// limitUsePercent is the percentage of its limit that each team uses.
	limitUsePercent = 80
	// transferTime is the time on the loop's clock after which the allocations have reached the shards that need
	// them.
	transferTime = anvilclock.Millis(10_000)
	// transferSpeed is the speed of the loop's clock during the measurement.
	transferSpeed = 4
)

// transfers measures how many escrow rows are written while every team starts tasks up to limitUsePercent of its limit,
// and how many of the tasks run at the end.
func transfers(ctx context.Context, seed uint64, out *Report) error {
	commits := out.AddSeries("table", "escrow-commits-for-2000-starts", "team", "commits")
	running := out.AddSeries("entry", "running-of-2000-starts", "team", "tasks")
	for _, teams := range []int{10, 70, 140} {
		limit := taskSize.Scale(transferStarts*100/int64(teams*limitUsePercent) + 1)
		h, err := open(ctx, NewPlan(seed, WithTeams(teams), WithLimit(limit)))
		if err != nil {
			return fmt.Errorf("escrow transfers: %w", err)
		}
		h.clock.setSpeed(transferSpeed)
		before := h.env.total("puts/escrow")
		if err = h.services(transferStarts); err == nil {
			err = sleep(ctx, transferTime.Duration()/transferSpeed)
		}
		commits.Add(float64(teams), float64(h.env.total("puts/escrow")-before))
		running.Add(float64(teams), float64(h.meter.gauge("tasks.running")))
		if err := errors.Join(err, h.close()); err != nil {
			return fmt.Errorf("escrow transfers of %d teams: %w", teams, err)
		}
	}
	return nil
}

// rateTime is how long tasks are submitted at each rate.
const rateTime = 2 * time.Second

// acceptRates measures the commits of an instance that accepts tasks at a steady rate. Each task writes its row once when
// it is accepted. The commits for the end of a task and for its deletion are not measured and must be added.
func acceptRates(ctx context.Context, seed uint64, out *Report) error {
	commits := out.AddSeries("table", "accept-commits", "accepted/s", "1/s")
	h, err := open(ctx, NewPlan(seed))
	if err != nil {
		return fmt.Errorf("accept rates: %w", err)
	}
	h.clock.setSpeed(1)
	for _, rate := range []int{12, 24, 72, 288} {
		before := h.env.total("row-commits")
		if err = h.submitAtRate(ctx, rate, rateTime); err != nil {
			err = fmt.Errorf("%d tasks per second: %w", rate, err)
			break
		}
		commits.Add(float64(rate), float64(h.env.total("row-commits")-before)/rateTime.Seconds())
	}
	return errors.Join(err, h.close())
}

// Control adds to out the series of the control loop: processor time, memory and commits by size of the fleet.
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
	if err := transfers(ctx, seed, out); err != nil {
		return err
	}
	return acceptRates(ctx, seed, out)
}
