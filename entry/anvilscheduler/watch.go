package anvilscheduler

import (
	"context"
	"errors"
	"time"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
)

func withTimeout(ctx context.Context, d anvilclock.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d.Duration())
}

// sleep waits and reports whether ctx goes on.
func sleep(ctx context.Context, d anvilclock.Millis) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func asOrderError(err error) *OrderError {
	var e *OrderError
	if errors.As(err, &e) {
		return e
	}
	return NewOrderError(FaultNoReply, 0, err)
}

// startWatches starts what every instance reads.
func (l *Loop) startWatches() {
	l.watching = true
	go l.watchPolicy(l.ctx)
	go l.watchLeadership(l.ctx)
	go l.watchStates(l.ctx)
	go l.register(l.ctx)
	if l.peers != nil {
		go l.watchConnectivity(l.ctx)
		go l.watchLeader(l.ctx)
	}
}

// watchStates follows the states of jobs, in a large fleet through a neighbor.
func (l *Loop) watchStates(ctx context.Context) {
	if l.peers != nil {
		select {
		case <-l.peersKnown:
		case <-ctx.Done():
		}
	}
	source := newStateSource(l)
	l.follow(ctx, string(anvilstorage.States), 0, l.stateInterval, func(after int64) (int64, error) {
		page, full, err := source.read(ctx, after)
		if err != nil {
			return after, err
		}
		l.post(statesRead{page: page, full: full})
		return max(page.Version(), after), nil
	})
}

// stateInterval is the least time between two readings of the states of jobs.
func (l *Loop) stateInterval() anvilclock.Millis {
	return max(stateFeedInterval, stateFeedIntervalPerPeer*anvilclock.Millis(l.peerCount.Load()))
}

// fixedInterval returns a pause that does not change.
func fixedInterval(d anvilclock.Millis) func() anvilclock.Millis {
	return func() anvilclock.Millis { return d }
}

// outageTracker logs the beginning and the end of a time in which something can't be read.
type outageTracker struct {
	log        *anvilevent.Log
	clock      anvilclock.Clock
	dependency string
	since      anvilclock.Millis
	down       bool
}

func (o *outageTracker) record(ctx context.Context, err error) {
	if ctx.Err() != nil || (err != nil && anvilstorage.As(err).Kind() == anvilstorage.Compacted) {
		return
	}
	switch now := o.clock.Now(); {
	case err != nil && !o.down:
		o.down, o.since = true, now
		o.log.Record(anvilevent.DependencyLost, "what", o.dependency, "error", err.Error())
	case err == nil && o.down:
		o.down = false
		o.log.Record(anvilevent.DependencyBack, "what", o.dependency, "after", int64(now-o.since))
	}
}

func (l *Loop) trackOutage(what string) *outageTracker {
	return &outageTracker{log: l.log, clock: l.clock, dependency: what}
}

// follow reads a feed again and again from the version that the last read returned, and from the beginning when
// the store no longer knows that version.
func (l *Loop) follow(ctx context.Context, what string, after int64, interval func() anvilclock.Millis, read func(after int64) (int64, error)) {
	tracker := l.trackOutage(what)
	for ctx.Err() == nil {
		version, err := read(after)
		tracker.record(ctx, err)
		switch {
		case err == nil:
			after = version
			sleep(ctx, interval())
		case anvilstorage.As(err).Kind() == anvilstorage.Compacted:
			after = 0
		default:
			sleep(ctx, readRetry)
		}
	}
}

// pageTimeout bounds a reading: the store answers at once unless it waits for changes after a version.
func pageTimeout(after int64, wait anvilclock.Millis) anvilclock.Millis {
	if after == 0 {
		return answerTimeout
	}
	return wait + answerTimeout
}

// watchPolicy follows the configuration. Every answer confirms the version in force.
func (l *Loop) watchPolicy(ctx context.Context) {
	l.follow(ctx, "configuration", 0, fixedInterval(policyFeedInterval), func(after int64) (int64, error) {
		since := l.clock.Now()
		call, cancel := withTimeout(ctx, pageTimeout(after, policyWait))
		defer cancel()
		page, err := l.registry.Policy(call, after, policyWait)
		if err != nil {
			return 0, err
		}
		// The answer is as new as its sending, which is not known; the call's begin is safe.
		l.post(policyRead{page: page, since: since})
		return page.Version(), nil
	})
}

// watchLeadership looks at who schedules while this instance doesn't.
func (l *Loop) watchLeadership(ctx context.Context) {
	tracker := l.trackOutage("tenure")
	for ctx.Err() == nil {
		since := l.clock.Now()
		call, cancel := withTimeout(ctx, maxPollGap)
		page, err := l.store.Scan(call, anvilstorage.Leaderships)
		cancel()
		tracker.record(ctx, err)
		m := leadershipRead{since: since, err: err}
		for _, r := range page.Rows() {
			if r.Key() == anvilstorage.LeadershipKey {
				m.row = r
			}
		}
		l.post(m)
		l.waitForPoll(ctx)
		l.waitWhileLeading(ctx)
	}
}

// waitForPoll waits until the next look at the row of the leadership is due, or is asked for.
func (l *Loop) waitForPoll(ctx context.Context) {
	timer := time.NewTimer(anvilclock.Millis(l.pollInterval.Load()).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.pollRequests:
	case <-ctx.Done():
	}
}

// waitWhileLeading waits while this instance schedules: its commits tell whether it still does.
func (l *Loop) waitWhileLeading(ctx context.Context) {
	for ctx.Err() == nil && l.scheduling.Load() {
		sleep(ctx, pollInterval)
	}
}

// watchTable reads a table and follows its changes. An after of 0 begins with everything.
func (l *Loop) watchTable(ctx context.Context, table anvilstorage.Table, after int64, interval anvilclock.Millis, post func(anvilstorage.Page)) {
	l.follow(ctx, string(table), after, fixedInterval(interval), func(after int64) (int64, error) {
		page, err := l.readTable(ctx, table, after, readTimeout)
		if err != nil {
			return 0, err
		}
		if after == 0 || len(page.Rows()) > 0 {
			post(page)
		}
		return page.Version(), nil
	})
}

// readTable returns the changes of a table after a version, or within whole the whole table when after is 0.
func (l *Loop) readTable(ctx context.Context, table anvilstorage.Table, after int64, fullTimeout anvilclock.Millis) (anvilstorage.Page, error) {
	if after == 0 {
		ctx, cancel := withTimeout(ctx, fullTimeout)
		defer cancel()
		return l.store.Scan(ctx, table)
	}
	ctx, cancel := withTimeout(ctx, pageTimeout(after, feedWait))
	defer cancel()
	return l.store.Changes(ctx, table, after, feedWait)
}

// readAll reads what a new leader must know.
func (l *Loop) readAll(ctx context.Context, token int64) loadAnswered {
	m := loadAnswered{token: token}
	for range maxLoadTries {
		if m.err = l.readOnce(ctx, &m); m.err == nil || !sleep(ctx, readRetry) {
			break
		}
	}
	return m
}

// maxLoadTries bounds the tries to read everything; the leadership lapses meanwhile.
const maxLoadTries = 5

func (l *Loop) readOnce(ctx context.Context, m *loadAnswered) error {
	ctx, cancel := withTimeout(ctx, readTimeout)
	defer cancel()
	results := make(chan error, 5)
	go func() { var err error; m.states, err = l.store.Scan(ctx, anvilstorage.States); results <- err }()
	go func() { var err error; m.intake, err = l.store.Scan(ctx, anvilstorage.Intake); results <- err }()
	go func() { var err error; m.progress, err = l.store.Scan(ctx, anvilstorage.Progress); results <- err }()
	go func() { var err error; m.instances, err = l.store.Scan(ctx, anvilstorage.Instances); results <- err }()
	go func() { var err error; m.workers, err = l.registry.Workers(ctx, 0, 0); results <- err }()
	var errs []error
	for range cap(results) {
		errs = append(errs, <-results)
	}
	return errors.Join(errs...)
}

// watchAsLeader follows what only the leader needs, until the leadership ends.
func (l *Loop) watchAsLeader(m loadAnswered) {
	if !l.watching {
		return
	}
	ctx, token := l.leadershipContext(), m.token
	go l.watchTable(ctx, anvilstorage.Intake, m.intake.Version(), intakeFeedInterval, func(page anvilstorage.Page) {
		l.post(intakeRead{token: token, page: page})
	})
	go l.watchTable(ctx, anvilstorage.Instances, m.instances.Version(), readRetry, func(page anvilstorage.Page) {
		l.post(instancesRead{token: token, page: page})
	})
	go l.watchWorkers(ctx, token, m.workers.version)
}

func (l *Loop) watchWorkers(ctx context.Context, token, after int64) {
	l.follow(ctx, "worker list", after, fixedInterval(workerFeedInterval), func(after int64) (int64, error) {
		call, cancel := withTimeout(ctx, pageTimeout(after, feedWait))
		defer cancel()
		page, err := l.registry.Workers(call, after, feedWait)
		if err != nil {
			return 0, err
		}
		if full := after == 0; full || len(page.entries) > 0 {
			l.post(workersRead{token: token, page: page, full: full})
		}
		return page.version, nil
	})
}

// register writes this instance's row, so that the leader can have it ask the advisor.
func (l *Loop) register(ctx context.Context) {
	row, err := anvilstorage.InstanceRow(l.self)
	if err != nil {
		l.log.Fault(anvilevent.RowUnreadable, err)
		return
	}
	tx := anvilstorage.NewTx(anvilstorage.CallsPartition)
	tx.Set(row)
	tracker := l.trackOutage("registration")
	for ctx.Err() == nil {
		_, err := commitWithin(ctx, l.store, tx)
		tracker.record(ctx, err)
		if err == nil {
			return
		}
		sleep(ctx, readRetry)
	}
}
