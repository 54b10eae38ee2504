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

// rest returns the processor time of the loop's periodic work in µs a second. It measures one
// period of the longest interval, from one update of the gauges to the next, so that everything
// periodic is in it once.
func (r *rig) rest(ctx context.Context) (float64, error) {
	r.clock.run(fast)
	if err := r.nextPeriod(ctx); err != nil {
		return 0, err
	}
	before, err := r.cpu()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if err := r.nextPeriod(ctx); err != nil {
		return 0, err
	}
	after, err := r.cpu()
	if err != nil {
		return 0, err
	}
	return micros(after-before) / time.Since(began).Seconds(), nil
}

// afterPeriod covers the answers to what the loop sends in the tick that updates the gauges.
const afterPeriod = 150 * time.Millisecond

// nextPeriod waits until the gauges have been updated and what was sent in the same tick has been
// answered. From then on the loop's time is the machine's.
func (r *rig) nextPeriod(ctx context.Context) error {
	poll := time.NewTicker(pollEvery)
	defer poll.Stop()
	for seen := r.meter.updated(); r.meter.updated() == seen; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-poll.C:
		}
	}
	r.clock.run(1)
	return sleep(ctx, afterPeriod)
}

// each returns the processor time of the loop in µs for each of n requests.
func (r *rig) each(n int, work func(n int) error) (float64, error) {
	r.clock.run(0)
	before, err := r.cpu()
	if err != nil {
		return 0, err
	}
	if err := work(n); err != nil {
		return 0, err
	}
	after, err := r.cpu()
	if err != nil {
		return 0, err
	}
	return micros(after-before) / float64(n), nil
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// flight bounds the requests that wait for an answer.
const flight = 128

// submit sends n tasks and waits for their outcomes.
func (r *rig) submit(n int, task func(i int) *anviltask.Task) error {
	version := r.loop.View().Config().Version()
	replies := make(chan anvilcontrol.Result, flight)
	for sent, done := 0, 0; done < n; {
		if sent < n && sent-done < flight &&
			r.inbox.Offer(anvilcontrol.NewSubmit(anvilcontrol.NewForward(task(sent), 0, version), replies)) {
			sent++
			continue
		}
		if err := r.outcome(replies); err != nil {
			return err
		}
		done++
	}
	return nil
}

// outcome waits for the outcome of one task.
func (r *rig) outcome(replies <-chan anvilcontrol.Result) error {
	res, err := receive(r, replies)
	if err != nil {
		return err
	}
	if err := res.Err(); err != nil {
		return err
	}
	return nil
}

func (r *rig) task(i int, k anviltask.Kind, pool string, opts ...anviltask.Option) *anviltask.Task {
	opts = append([]anviltask.Option{
		anviltask.WithTeam(teamName(i%r.plan.teams), ""), anviltask.WithSize(taskSize),
		anviltask.WithBody(make([]byte, answerSize)),
	}, opts...)
	return anviltask.New(anviltask.NewID(), k, pool, opts...)
}

// calls sends service requests.
func (r *rig) calls(n int) error {
	return r.submit(n, func(i int) *anviltask.Task { return r.task(i, anviltask.Call, poolName(0)) })
}

// onces sends non-idempotent service requests.
func (r *rig) onces(n int) error {
	return r.submit(n, func(i int) *anviltask.Task {
		return r.task(i, anviltask.Call, poolName(0), anviltask.WithOnce(true), anviltask.WithFirst(true))
	})
}

// forwards sends service requests for a pool that only peers have.
func (r *rig) forwards(n int) error {
	return r.submit(n, func(i int) *anviltask.Task { return r.task(i, anviltask.Call, farPool) })
}

// services submits long-running tasks, which stay.
func (r *rig) services(n int) error {
	return r.submit(n, func(i int) *anviltask.Task { return r.task(i, anviltask.Service, poolName(0)) })
}

// pace submits long-running tasks at an even rate a second.
func (r *rig) pace(ctx context.Context, rate int, d time.Duration) error {
	n := int(d.Seconds() * float64(rate))
	version := r.loop.View().Config().Version()
	replies := make(chan anvilcontrol.Result, n)
	tick := time.NewTicker(d / time.Duration(n))
	defer tick.Stop()
	for i := range n {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		t := r.task(i, anviltask.Service, poolName(0))
		if !r.inbox.Offer(anvilcontrol.NewSubmit(anvilcontrol.NewForward(t, 0, version), replies)) {
			return errInbox
		}
	}
	for range n {
		if err := r.outcome(replies); err != nil {
			return err
		}
	}
	return nil
}

var errInbox = errors.New("the inbox of the control loop is full")

// swaps lets a peer exchange summaries.
func (r *rig) swaps(n int) error {
	version := r.loop.View().Config().Version()
	for range n {
		reply := make(chan anvilcontrol.Summary, 1)
		if !r.inbox.Offer(anvilcontrol.NewExchangeRequest(peerSummary(peerName(0), version, farDomains), reply)) {
			return errInbox
		}
		s, err := receive(r, reply)
		if err != nil {
			return err
		}
		if s.Instance() != self {
			return errors.New("the peer is not known")
		}
	}
	return nil
}

// changes makes n changes of contracts, one after the other.
func (r *rig) changes(n int) error {
	for i := range n {
		team := teamName(i % r.plan.teams)
		c := anvilconfig.NewContract(team, anvilconfig.WithLimit(r.plan.limit), anvilconfig.WithWeight(int64(i+2)))
		reply := make(chan anvilcontrol.ChangeResult, 1)
		puts := []anvilrow.Row{anvilrow.New(anvilrow.ContractPrefix+team, anvilrow.NewContract(c))}
		if !r.inbox.Offer(anvilcontrol.NewChange(anviltask.NewID(), puts, nil, 0, reply)) {
			return errInbox
		}
		res, err := receive(r, reply)
		if err != nil {
			return err
		}
		if err := res.Err(); err != nil {
			return err
		}
	}
	return nil
}
