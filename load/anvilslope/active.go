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

// idleTime returns the processor time of the loop's periodic work in µs per second. It measures from one update of the
// gauges to the next, which is the longest interval of the loop, so that all periodic work is included.
func (h *harness) idleTime(ctx context.Context) (float64, error) {
	h.clock.setSpeed(fastSpeed)
	if err := h.awaitUpdate(ctx); err != nil {
		return 0, err
	}
	before, err := h.cpu()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if err := h.awaitUpdate(ctx); err != nil {
		return 0, err
	}
	after, err := h.cpu()
	if err != nil {
		return 0, err
	}
	return micros(after-before) / time.Since(began).Seconds(), nil
}

// answerTime is enough for the answers to all requests that the loop sends in the tick that updates the gauges.
const answerTime = 150 * time.Millisecond

// awaitUpdate waits until the gauges have been updated and the requests of the same tick have been answered. It leaves
// the loop's clock at normal speed.
func (h *harness) awaitUpdate(ctx context.Context) error {
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
	return sleep(ctx, answerTime)
}

// timePerRequest returns the processor time of the loop in µs per request, averaged over n requests.
func (h *harness) timePerRequest(n int, send func(n int) error) (float64, error) {
	h.clock.setSpeed(0)
	before, err := h.cpu()
	if err != nil {
		return 0, err
	}
	if err := send(n); err != nil {
		return 0, err
	}
	after, err := h.cpu()
	if err != nil {
		return 0, err
	}
	return micros(after-before) / float64(n), nil
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// maxInFlight limits the requests that have not been answered yet.
const maxInFlight = 128

// submit submits n tasks and waits for their outcomes. It stops at the first error.
func (h *harness) submit(n int, task func(i int) *anviltask.Task) error {
	version := h.loop.View().Config().Version()
	replies := make(chan anvilcontrol.Result, maxInFlight)
	for sent, done := 0, 0; done < n; {
		if sent < n && sent-done < maxInFlight &&
			h.inbox.Offer(anvilcontrol.NewSubmit(anvilcontrol.NewForward(task(sent), 0, version), replies)) {
			sent++
			continue
		}
		if err := h.receiveOutcome(replies); err != nil {
			return err
		}
		done++
	}
	return nil
}

// receiveOutcome waits for the outcome of one task and returns its error.
func (h *harness) receiveOutcome(replies <-chan anvilcontrol.Result) error {
	res, err := receive(h, replies)
	if err != nil {
		return err
	}
	if err := res.Err(); err != nil {
		return err
	}
	return nil
}

func (h *harness) task(i int, k anviltask.Kind, pool string, opts ...anviltask.Option) *anviltask.Task {
	opts = append([]anviltask.Option{
		anviltask.WithTeam(teamName(i%h.plan.teams), ""), anviltask.WithSize(taskSize),
		anviltask.WithBody(make([]byte, answerSize)),
	}, opts...)
	return anviltask.New(anviltask.NewID(), k, pool, opts...)
}

// calls submits n service requests.
func (h *harness) calls(n int) error {
	return h.submit(n, func(i int) *anviltask.Task { return h.task(i, anviltask.Call, poolName(0)) })
}

// onceCalls submits n service requests that are not idempotent.
func (h *harness) onceCalls(n int) error {
	return h.submit(n, func(i int) *anviltask.Task {
		return h.task(i, anviltask.Call, poolName(0), anviltask.WithNonIdempotent(true), anviltask.WithFirstAttempt(true))
	})
}

// forwards submits n service requests for a pool that only peers have.
func (h *harness) forwards(n int) error {
	return h.submit(n, func(i int) *anviltask.Task { return h.task(i, anviltask.Call, remotePool) })
}

// services submits n long-running tasks, which keep running.
func (h *harness) services(n int) error {
	return h.submit(n, func(i int) *anviltask.Task { return h.task(i, anviltask.Service, poolName(0)) })
}

// submitAtRate submits rate long-running tasks per second for d, at even intervals, and waits for their outcomes.
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
		t := h.task(i, anviltask.Service, poolName(0))
		if !h.inbox.Offer(anvilcontrol.NewSubmit(anvilcontrol.NewForward(t, 0, version), replies)) {
			return errInboxFull
		}
	}
	for range n {
		if err := h.receiveOutcome(replies); err != nil {
			return err
		}
	}
	return nil
}

var errInboxFull = errors.New("the inbox of the control loop is full")

// exchanges sends n summaries to the loop as a peer does, and waits for its summary after each.
func (h *harness) exchanges(n int) error {
	version := h.loop.View().Config().Version()
	for range n {
		reply := make(chan anvilcontrol.Summary, 1)
		if !h.inbox.Offer(anvilcontrol.NewExchangeRequest(peerSummary(peerName(0), version, remoteDomains), reply)) {
			return errInboxFull
		}
		s, err := receive(h, reply)
		if err != nil {
			return err
		}
		if s.Instance() != self {
			return errors.New("the summary is not from the measured instance")
		}
	}
	return nil
}

// changes makes n changes of contracts, one after another.
func (h *harness) changes(n int) error {
	for i := range n {
		team := teamName(i % h.plan.teams)
		c := anvilconfig.NewContract(team, anvilconfig.WithLimit(h.plan.limit), anvilconfig.WithWeight(int64(i+2)))
		reply := make(chan anvilcontrol.ChangeResult, 1)
		puts := []anvilrow.Row{anvilrow.New(anvilrow.ContractPrefix+team, anvilrow.NewContract(c))}
		if !h.inbox.Offer(anvilcontrol.NewChange(anviltask.NewID(), puts, nil, 0, reply)) {
			return errInboxFull
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
