package anvilscheduler

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
)

func withTimeout(ctx context.Context, d anvilclock.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d.Duration())
}

// sleep waits for d. It returns false at once when ctx ends before that.
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

// asOrderError returns err as an OrderError. Any other error stands for an order without an answer.
func asOrderError(err error) *OrderError {
	var e *OrderError
	if errors.As(err, &e) {
		return e
	}
	return NewOrderError(FaultNoReply, 0, err)
}

// startWatches starts the goroutines that every instance needs, leader or not.
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
	if l.witnesses != nil {
		go l.watchWitnesses(l.ctx)
	}
}

// watchStates follows the states of jobs: in a large failure domain through an upstream, else in the store.
func (l *Loop) watchStates(ctx context.Context) {
	if l.peers != nil {
		select {
		case <-l.peersKnown:
		case <-ctx.Done():
		}
	}
	source := newStateSource(l)
	l.followFeed(ctx, string(anvilstorage.States), 0, l.stateInterval, func(after int64) (int64, error) {
		page, full, err := source.read(ctx, after)
		if err != nil {
			return after, err
		}
		l.post(statesRead{page: page, full: full, readAt: source.readAt})
		return max(page.Version(), after), nil
	})
}

// stateInterval returns the least time between two reads of the states of jobs.
func (l *Loop) stateInterval() anvilclock.Millis {
	return max(stateFeedInterval, stateFeedIntervalPerPeer*anvilclock.Millis(l.peerCount.Load()))
}

// fixedInterval returns a function that always returns d.
func fixedInterval(d anvilclock.Millis) func() anvilclock.Millis {
	return func() anvilclock.Millis { return d }
}

// outageTracker logs the beginning and the end of outages of a dependency.
type outageTracker struct {
	log        *anvilevent.Log
	clock      anvilclock.Clock
	dependency string
	since      anvilclock.Millis
	down       bool
}

// record updates the tracker with the result of a call. It ignores a call that ended with ctx, or whose version was
// compacted: that shows nothing about the dependency.
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

func (l *Loop) trackOutage(dependency string) *outageTracker {
	return &outageTracker{log: l.log, clock: l.clock, dependency: dependency}
}

// followFeed reads a feed until ctx ends, each time from the version that the last read returned, and from the beginning
// when the store has compacted that version.
func (l *Loop) followFeed(ctx context.Context, dependency string, after int64, interval func() anvilclock.Millis, read func(after int64) (int64, error)) {
	tracker := l.trackOutage(dependency)
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
			sleep(ctx, readRetryDelay)
		}
	}
}

// pageTimeout returns the timeout of a read. The store answers a read of everything, with an after of 0, at once, and
// may wait for the time wait before it answers a read of changes.
func pageTimeout(after int64, wait anvilclock.Millis) anvilclock.Millis {
	if after == 0 {
		return answerTimeout
	}
	return wait + answerTimeout
}

// watchLeadership reads the leadership row while this instance is a follower.
func (l *Loop) watchLeadership(ctx context.Context) {
	tracker := l.trackOutage("tenure")
	for ctx.Err() == nil {
		since := l.clock.Now()
		call, cancel := withTimeout(ctx, pollTimeout)
		page, err := l.store.Scan(call, anvilstorage.Leaderships)
		cancel()
		tracker.record(ctx, err)
		m := leadershipRead{since: since, now: page.Now(), err: err}
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

// waitForPoll waits until the next read of the leadership row is due or requested.
func (l *Loop) waitForPoll(ctx context.Context) {
	timer := time.NewTimer(anvilclock.Millis(l.pollInterval.Load()).Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.pollRequests:
	case <-ctx.Done():
	}
}

// waitWhileLeading waits while this instance is the leader. It does not need to read the row then, because its commits
// show whether it still is.
func (l *Loop) waitWhileLeading(ctx context.Context) {
	for ctx.Err() == nil && l.isLeader.Load() {
		sleep(ctx, pollInterval)
	}
}

// watchTable follows the changes of a table after a version and posts each page with rows. With an after of 0 it reads
// the whole table first.
func (l *Loop) watchTable(ctx context.Context, table anvilstorage.Table, after int64, interval anvilclock.Millis, post func(anvilstorage.Page)) {
	l.followFeed(ctx, string(table), after, fixedInterval(interval), func(after int64) (int64, error) {
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

// readTable returns the changes of a table after a version, or the whole table when after is 0; fullTimeout bounds the
// latter.
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

// readAll reads the tables that a new leader needs, in up to maxLoadTries attempts.
func (l *Loop) readAll(ctx context.Context, token int64) leaderStateRead {
	m := leaderStateRead{token: token}
	for attempt := range maxLoadTries {
		if m.err = l.readOnce(ctx, &m, readTimeout<<min(attempt, readDoublings)); m.err == nil || !sleep(ctx, readRetryDelay) {
			break
		}
	}
	return m
}

// maxLoadTries bounds the attempts to load the tables; another instance may read them faster.
const maxLoadTries = 3

// readOnce reads the tables into m. The states are read first: a former leader may still remove the state of an ended job
// together with its submission, which would otherwise be read without its state.
func (l *Loop) readOnce(ctx context.Context, m *leaderStateRead, timeout anvilclock.Millis) error {
	ctx, cancel := withTimeout(ctx, timeout)
	defer cancel()
	var err error
	if m.states, err = l.store.Scan(ctx, anvilstorage.States); err != nil {
		return err
	}
	results := make(chan error, 5)
	go func() {
		var err error
		m.intake, err = l.store.ScanWith(ctx, anvilstorage.Intake, l.keepIntake())
		results <- err
	}()
	go func() { var err error; m.progress, err = l.store.Scan(ctx, anvilstorage.Progress); results <- err }()
	go func() { var err error; m.instances, err = l.store.Scan(ctx, anvilstorage.Instances); results <- err }()
	go func() { var err error; m.leases, err = l.store.Scan(ctx, anvilstorage.Leases); results <- err }()
	go func() { var err error; m.workers, err = l.registry.Workers(ctx, 0, 0); results <- err }()
	var errs []error
	for range cap(results) {
		errs = append(errs, <-results)
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	return l.completeIntake(ctx, m)
}

// completeIntake reads the whole submissions of the jobs with progress of which only the heads were read.
func (l *Loop) completeIntake(ctx context.Context, m *leaderStateRead) error {
	unfinished := unfinishedJobs(m.progress)
	rows := slices.Clone(m.intake.Rows())
	errs := make([]error, len(rows))
	slots := make(chan struct{}, maxSubmissionReads)
	var wg sync.WaitGroup
	for i, r := range rows {
		if _, head := anvilstorage.ParseHead(r); !head || !unfinished[r.Key()] {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			rows[i], errs[i] = l.store.Get(ctx, anvilstorage.Intake, r.Key())
			<-slots
		})
	}
	wg.Wait()
	m.intake = anvilstorage.NewPage(rows, m.intake.Version(), m.intake.Now())
	return errors.Join(errs...)
}

// watchAsLeader starts the goroutines that follow what only the leader needs, until the leadership ends.
func (l *Loop) watchAsLeader(m leaderStateRead) {
	if !l.watching {
		return
	}
	ctx, token := l.leadershipContext(), m.token
	go l.watchTable(ctx, anvilstorage.Intake, m.intake.Version(), intakeFeedInterval, func(page anvilstorage.Page) {
		l.post(intakeRead{token: token, page: page})
	})
	go l.watchTable(ctx, anvilstorage.Instances, m.instances.Version(), readRetryDelay, func(page anvilstorage.Page) {
		l.post(instancesRead{token: token, page: page})
	})
	go l.watchWorkers(ctx, token, m.workers.version)
	go l.sendPulses(ctx, token)
}

// watchWorkers follows the worker registry. The changes in an answer were written after the read before it was sent.
func (l *Loop) watchWorkers(ctx context.Context, token, after int64) {
	lastSent := anvilclock.Millis(0)
	l.followFeed(ctx, "worker list", after, fixedInterval(workerFeedInterval), func(after int64) (int64, error) {
		call, cancel := withTimeout(ctx, pageTimeout(after, feedWait))
		defer cancel()
		sent := l.clock.Now()
		page, err := l.registry.Workers(call, after, feedWait)
		if err != nil {
			return 0, err
		}
		m := workersRead{token: token, page: page, full: after == 0}
		if !m.full {
			m.writtenAfter = lastSent
		}
		if m.full || len(page.entries) > 0 {
			l.post(m)
		}
		lastSent = sent
		return page.version, nil
	})
}

// register writes this instance's row, so that other instances can reach it and the leader can query the advisor
// through it. It retries until the row is stored or ctx ends.
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
		_, err := commitWithTimeout(ctx, l.store, tx)
		tracker.record(ctx, err)
		if err == nil {
			return
		}
		sleep(ctx, readRetryDelay)
	}
}
