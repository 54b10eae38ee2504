package anvilslope

import (
	"context"
	"errors"
	"time"

	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anviltask"
)

// idleCPU returns the CPU time of the loop's periodic work in µs per second. It measures from one update of the gauges
// to the next. That is the longest interval of the loop, so all periodic work runs in it.
func (h *harness) idleCPU(ctx context.Context) (float64, error) {
	h.clock.setSpeed(fastSpeed)
	if err := h.nextPeriod(ctx); err != nil {
		return 0, err
	}
	before, err := h.cpuTime()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if err := h.nextPeriod(ctx); err != nil {
		return 0, err
	}
	after, err := h.cpuTime()
	if err != nil {
		return 0, err
	}
	return micros(after-before) / time.Since(began).Seconds(), nil
}

// afterPeriod is enough time for the answers to the requests that the loop sends in the tick that updates the gauges.
const afterPeriod = 150 * time.Millisecond

// nextPeriod waits until the gauges have been updated and the requests of the same tick have been answered. It leaves
// the clock at speed 1.
func (h *harness) nextPeriod(ctx context.Context) error {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for updates := h.meter.updateCount(); h.meter.updateCount() == updates; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-poll.C:
		}
	}
	h.clock.setSpeed(1)
	return sleep(ctx, afterPeriod)
}

// cpuPerRequest sends n requests and returns the average CPU time of the loop for one of them, in µs.
func (h *harness) cpuPerRequest(n int, send func(n int) error) (float64, error) {
	h.clock.setSpeed(0)
	before, err := h.cpuTime()
	if err != nil {
		return 0, err
	}
	if err := send(n); err != nil {
		return 0, err
	}
	after, err := h.cpuTime()
	if err != nil {
		return 0, err
	}
	return micros(after-before) / float64(n), nil
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// maxInFlight is the largest number of requests that wait for an answer at a time.
const maxInFlight = 128

// submit sends n tasks and waits for their outcomes.
func (h *harness) submit(n int, task func(i int) *anviltask.Task) error {
	version := h.loop.View().Config().Version()
	replies := make(chan anvilcontrol.Result, maxInFlight)
	for sent, done := 0, 0; done < n; {
		if sent < n && sent-done < maxInFlight &&
			h.inbox.Offer(anvilcontrol.NewSubmit(anvilcontrol.NewForward(task(sent), 0, version), replies)) {
			sent++
			continue
		}
		if err := h.awaitOutcome(replies); err != nil {
			return err
		}
		done++
	}
	return nil
}

// awaitOutcome waits for the outcome of one task and returns its error.
func (h *harness) awaitOutcome(replies <-chan anvilcontrol.Result) error {
	res, err := receive(h, replies)
	if err != nil {
		return err
	}
	if err := res.Err(); err != nil {
		return err
	}
	return nil
}

// newTask returns the i-th task; teams take turns.
func (h *harness) newTask(i int, k anviltask.Kind, pool string, opts ...anviltask.Option) *anviltask.Task {
	opts = append([]anviltask.Option{
		anviltask.WithTeam(teamName(i%h.plan.teams), ""), anviltask.WithSize(taskSize),
		anviltask.WithBody(make([]byte, answerSize)),
	}, opts...)
	return anviltask.New(anviltask.NewID(), k, pool, opts...)
}

// sendCalls sends n service requests.
func (h *harness) sendCalls(n int) error {
	return h.submit(n, func(i int) *anviltask.Task { return h.newTask(i, anviltask.Call, poolName(0)) })
}

// sendNonIdempotentCalls sends n non-idempotent service requests.
func (h *harness) sendNonIdempotentCalls(n int) error {
	return h.submit(n, func(i int) *anviltask.Task {
		return h.newTask(i, anviltask.Call, poolName(0), anviltask.WithOnce(true), anviltask.WithFirst(true))
	})
}

// sendRemoteCalls sends n service requests for a pool that only peers have, so that the loop forwards them.
func (h *harness) sendRemoteCalls(n int) error {
	return h.submit(n, func(i int) *anviltask.Task { return h.newTask(i, anviltask.Call, peerPool) })
}

// submitServices submits n long-running tasks, which don't end during the measurement.
func (h *harness) submitServices(n int) error {
	return h.submit(n, func(i int) *anviltask.Task { return h.newTask(i, anviltask.Service, poolName(0)) })
}

// submitAtRate submits long-running tasks for the time d, evenly, at a rate per second.
func (h *harness) submitAtRate(ctx context.Context, rate int, d time.Duration) error {
	n := int(d.Seconds() * float64(rate))
	version := h.loop.View().Config().Version()
	replies := make(chan anvilcontrol.Result, n)
	tick := time.NewTicker(d / time.Duration(n))
	defer tick.Stop()
	for i := range n {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		t := h.newTask(i, anviltask.Service, poolName(0))
		if !h.inbox.Offer(anvilcontrol.NewSubmit(anvilcontrol.NewForward(t, 0, version), replies)) {
			return errInbox
		}
	}
	for range n {
		if err := h.awaitOutcome(replies); err != nil {
			return err
		}
	}
	return nil
}

var errInbox = errors.New("the inbox of the control loop is full")

// exchangeSummaries sends n summaries of a peer, one after the other, each after the reply to the one before.
func (h *harness) exchangeSummaries(n int) error {
	version := h.loop.View().Config().Version()
	for range n {
		reply := make(chan anvilcontrol.Summary, 1)
		if !h.inbox.Offer(anvilcontrol.NewExchangeRequest(peerSummary(peerName(0), version, peerDomains), reply)) {
			return errInbox
		}
		s, err := receive(h, reply)
		if err != nil {
			return err
		}
		if s.Instance() != self {
			return errors.New("the summary in the reply is not from the measured instance")
		}
	}
	return nil
}

// changeContracts makes n changes of contracts, each after the result of the one before.
func (h *harness) changeContracts(n int) error {
	for i := range n {
		team := teamName(i % h.plan.teams)
		c := anvilconfig.NewContract(team, anvilconfig.WithLimit(h.plan.limit), anvilconfig.WithWeight(int64(i+2)))
		reply := make(chan anvilcontrol.ChangeResult, 1)
		puts := []anvilrow.Row{anvilrow.New(anvilrow.ContractPrefix+team, anvilrow.NewContract(c))}
		if !h.inbox.Offer(anvilcontrol.NewChange(anviltask.NewID(), puts, nil, 0, reply)) {
			return errInbox
		}
		res, err := receive(h, reply)
		if err != nil {
			return err
		}
		if err := res.Err(); err != nil {
			return err
		}
	}
	return nil
}
