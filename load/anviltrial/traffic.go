package anviltrial

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/load/anvilaudit"
	"anvilhold.org/load/anvilcaller"
)

const (
	// readInterval is how often each instance is asked for its configuration version.
	readInterval = 300 * time.Millisecond
	// readTimeout limits a request for the version. A paused instance is asked again later.
	readTimeout = 2 * time.Second
)

// Traffic is a load with a limited rate and a limited number of requests in flight. Permits are offered at the rate,
// and a fixed number of senders send one request for each permit. A permit is dropped if no sender is free.
type Traffic struct {
	stop    context.CancelFunc
	senders sync.WaitGroup
}

// StartTraffic starts traffic of rate requests per second with at most concurrency requests in flight. seed determines
// the requests.
func (t *Trial) StartTraffic(ctx context.Context, seed uint64, rate, concurrency int) *Traffic {
	paceCtx, stop := context.WithCancel(ctx)
	f := &Traffic{stop: stop}
	permits := make(chan struct{})
	go anvilcaller.Pace(paceCtx, rate, permits)
	for i := range concurrency {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		f.senders.Go(func() {
			for range permits {
				t.sendRequest(ctx, drawRequest(rng, t.teams))
			}
		})
	}
	return f
}

// Stop ends the traffic. It does not wait for the requests in flight.
func (f *Traffic) Stop() { f.stop() }

// Wait waits until the traffic has ended, after Stop or because the ctx of Send is done, and every request has
// its outcome.
func (f *Traffic) Wait() { f.senders.Wait() }

// gangTasks is the number of tasks of the jobs that SendGangs sends.
const gangTasks = 3

// SendGangs submits one gang job for each team and waits for the outcomes of the submissions, but not for the
// jobs.
func (t *Trial) SendGangs(ctx context.Context) {
	for _, team := range t.teams {
		job := anviltask.New(anviltask.NewID(), anviltask.Gang, "layout", anviltask.WithTeam(team.Name(), ""),
			anviltask.WithCount(gangTasks), anviltask.WithSize(anvilsize.New(1000, 1024, 0)), anviltask.WithRunTime(1000),
			anviltask.WithBody([]byte("work=1000\n")))
		t.sendRequest(ctx, plannedRequest{task: job, key: team.keys[0]})
	}
}

func (t *Trial) sendRequest(ctx context.Context, p plannedRequest) {
	if p.task.Kind() == anviltask.Call {
		t.recorder.Request(t.client.Call(ctx, p.key, p.task), "")
		return
	}
	r, ticket := t.client.Submit(ctx, p.key, p.task)
	if r.Outcome() != anvilerror.Done {
		ticket = ""
	}
	if p.cancel && ticket != "" {
		t.client.Cancel(ctx, p.key, ticket)
		r = r.WithCancelRequested()
	}
	t.recorder.Request(r, ticket)
}

// WatchVersions records the configuration version of every running entry instance until ctx is done.
func (t *Trial) WatchVersions(ctx context.Context) {
	var readers sync.WaitGroup
	defer readers.Wait()
	known := make(map[string]bool)
	tick := time.NewTicker(readInterval)
	defer tick.Stop()
	for {
		for _, addr := range t.cell.Fronts() {
			if !known[addr] {
				known[addr] = true
				readers.Go(func() { t.readVersions(ctx, addr) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// readVersions records the versions of one instance. It sends one request at a time, so that the versions are
// recorded in the order in which the instance reported them.
func (t *Trial) readVersions(ctx context.Context, addr string) {
	tick := time.NewTicker(readInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		if v, ok := t.operator.Version(readCtx, addr); ok {
			t.recorder.VersionReading(anvilaudit.NewVersionReading(addr, t.clock.Unix(), v))
		}
		cancel()
	}
}
