package anvilscheduler

import (
	"context"
	"sync/atomic"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
)

// commitQueue holds what the leader has to commit. One commit is in flight at a time. Each checks the version of the
// leadership row and writes the row, so a former leader's commit fails, and a commit that is applied late, after its
// answer was lost, can't overwrite a newer one.
type commitQueue struct {
	// jobs holds the jobs whose records or states have changed, oldest first. The first one may be in part in a commit.
	jobs []*job
	// lastSeq is the sequence number of the newest entry of jobs; storedSeq is the last one that is stored.
	lastSeq   int64
	storedSeq int64
	// inflight is the commit that waits for its answer; nil when there is none.
	inflight *batch
	lastSent anvilclock.Millis
	// renewals counts the commits of this leadership. The row holds it, so that a leader recognizes its own commit.
	renewals int64
	// acks are acknowledgements of run ends that wait until the ends are stored.
	acks []ack
}

// binding is a run whose choice of a worker is in a commit; its start is sent after the commit.
type binding struct {
	task *task
	run  int
}

// batch is one commit. Its traffic goroutine writes sent and rowVersion before it closes done or posts the answer.
type batch struct {
	tx       *anvilstorage.Tx
	jobs     []*job
	states   []stateWrite
	bindings []binding
	seq      int64
	renewals int64
	sent     anvilclock.Millis
	// extendsUntil is the local time until which the row allows extensions of leases. row returns the leadership row that
	// allows them until a local time; the traffic goroutine calls it.
	extendsUntil anvilclock.Millis
	row          func(until anvilclock.Millis) (anvilstorage.Row, error)
	// unbounded are the workers whose bounds of leases the commit removes, witnesses those that it stores, or nil.
	unbounded []string
	witnesses []string
	// fence is the fencing token that the row states.
	fence int64
	// rowVersion is the version of the leadership row after the commit, 0 when it was not applied or the outcome is
	// unknown. done is closed once rowVersion is final.
	rowVersion atomic.Int64
	done       chan struct{}
}

// stateWrite is a new state of a job in a commit.
type stateWrite struct {
	job   *job
	state anvilstorage.JobState
	row   anvilstorage.Row
}

func newCommitQueue() commitQueue { return commitQueue{} }

// markChanged queues a job for the next commit: its state, and the segments of its record that are dirty.
func (l *Loop) markChanged(j *job) {
	if j.changed {
		return
	}
	j.changed = true
	l.commits.lastSeq++
	j.seq = l.commits.lastSeq
	l.commits.jobs = append(l.commits.jobs, j)
}

// flush sends the next commit when one is due: for queued records, or to renew the leadership.
func (l *Loop) flush(now anvilclock.Millis) {
	q := &l.commits
	if q.inflight != nil || (!l.leading() && !l.loading()) {
		return
	}
	if len(q.jobs) == 0 && len(l.fleet.bounds.queued) == 0 && l.nextFence() == l.leadership.fence && now-l.leadership.lastRenewed < renewInterval {
		return
	}
	if now-q.lastSent < minCommitInterval {
		return
	}
	b, err := l.nextBatch(now)
	if err != nil {
		l.log.Fault(anvilevent.RowUnreadable, err, "during", "commit")
		l.stepDown("a record can't be encoded")
		return
	}
	q.inflight, q.lastSent = b, now
	l.sendBatch(b)
}

func (l *Loop) nextBatch(now anvilclock.Millis) (*batch, error) {
	q, ls := &l.commits, &l.leadership
	b := &batch{tx: anvilstorage.NewTx(anvilstorage.FleetPartition), renewals: q.renewals + 1, seq: q.storedSeq,
		done: make(chan struct{})}
	b.tx.Expect(anvilstorage.Leaderships, anvilstorage.LeadershipKey, ls.rowVersion)
	b.fence = l.nextFence()
	m := anvilstorage.NewLeadership(l.self.Name(), l.self.Addr(), b.fence, b.renewals).WithFirst(ls.token).WithBacklog(l.state.backlog.Encode(now)).
		WithExposed(l.exposedWorkers(now))
	clock, e := l.storeTime, ls.extension
	// The witnesses that have confirmed extensions may not be those that the commit stores.
	b.extendsUntil = max(now+extensionValidity, e.confirmedUntil)
	b.row = func(until anvilclock.Millis) (anvilstorage.Row, error) { return extensionRow(m, clock, until, e) }
	row, err := b.row(b.extendsUntil)
	if err != nil {
		return nil, err
	}
	b.tx.Set(row)
	if err := l.addBounds(b); err != nil {
		return nil, err
	}
	if err := l.addWitnesses(b); err != nil {
		return nil, err
	}
	n := 0
	for n < len(q.jobs) {
		j := q.jobs[n]
		complete, err := l.addJob(b, j, now)
		if err != nil {
			return nil, err
		}
		if !complete {
			break
		}
		n++
		j.changed = false
		b.seq = j.seq
		b.jobs = append(b.jobs, j)
	}
	q.jobs = q.jobs[n:]
	if len(q.jobs) == 0 {
		b.seq = q.lastSeq
	}
	return b, nil
}

// sendBatch commits on a traffic goroutine, which retries until the outcome is known or leaseGrace has passed.
func (l *Loop) sendBatch(b *batch) {
	ctx, store, clock := l.ctx, l.store, l.clock
	l.spawn(func() {
		defer close(b.done)
		begin, tx, until := clock.Now(), b.tx, b.extendsUntil
		for {
			b.sent = clock.Now()
			receipt, err := commitWithTimeout(ctx, store, tx)
			if err == nil {
				b.extendsUntil = until
				b.rowVersion.Store(receipt.Version())
				l.post(commitAnswered{batch: b, rowVersion: receipt.Version(), now: receipt.Now()})
				return
			}
			if anvilstorage.As(err).Kind() == anvilstorage.Conflict {
				l.post(commitAnswered{batch: b, err: err})
				return
			}
			l.meter.Count("commit.retried")
			if !sleep(ctx, commitRetryDelay) || clock.Now()-begin > leaseGrace {
				l.post(commitAnswered{batch: b, err: err})
				return
			}
			// A row with the time of the first attempt would allow the extension of no lease when it is applied.
			until = max(until, clock.Now()+extensionValidity)
			if row, err := b.row(until); err == nil {
				tx = b.tx.Replace(row)
			}
		}
	})
}

// commitWithTimeout makes one attempt of a commit, within commitTimeout.
func commitWithTimeout(ctx context.Context, s Store, tx *anvilstorage.Tx) (anvilstorage.Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout.Duration())
	defer cancel()
	return s.Commit(ctx, tx)
}

func (m commitAnswered) deliver(l *Loop) {
	q := &l.commits
	if q.inflight != m.batch {
		return
	}
	rowVersion := m.rowVersion
	if m.err != nil {
		current := anvilstorage.As(m.err).Row(anvilstorage.Leaderships, anvilstorage.LeadershipKey)
		stored, err := anvilstorage.ParseLeadership(current)
		if current.Version() == 0 || err != nil || stored.Leader() != l.self.Name() || stored.Count() != m.batch.renewals {
			l.stepDown(m.err.Error())
			return
		}
		// An earlier attempt was applied, and its answer was lost.
		rowVersion = current.Version()
	}
	q.inflight = nil
	q.renewals, q.storedSeq = m.batch.renewals, m.batch.seq
	l.leadership.rowVersion, l.leadership.lastRenewed = rowVersion, m.batch.sent
	l.leadership.extension.until = m.batch.extendsUntil
	l.renewedAt.Store(int64(m.batch.sent))
	if m.err == nil {
		l.storeTime.observe(m.batch.sent, l.clock.Now(), m.now)
	}
	if m.now != 0 {
		l.workload.storeOffset = m.now - l.clock.Now()
	}
	l.meter.Observe("commit", (l.clock.Now() - m.batch.sent).Duration())
	l.finishBatch(m.batch, rowVersion)
}

// finishBatch continues after a commit was applied: it publishes the new states, sends starts and acknowledges run
// ends.
func (l *Loop) finishBatch(b *batch, rowVersion int64) {
	var ends []anvilstorage.Row
	for _, s := range b.states {
		l.directory.Put(s.state, rowVersion)
		if s.state.State().Ended() {
			ends = append(ends, anvilstorage.ReadRow(anvilstorage.States, s.row.Key(), s.row.Value(), rowVersion, false))
		}
	}
	l.notifyEnds(ends)
	for _, j := range b.jobs {
		if j.recordDeleted && !j.changed {
			l.forgetJob(j)
			l.workload.cleaning.addJob(j.id())
		}
	}
	if b.witnesses != nil {
		l.leadership.extension.stored, l.leadership.extension.sending = b.witnesses, nil
	}
	l.raiseFence(b.fence)
	l.publishWitnesses()
	l.finishBounds(b)
	l.sendBound(b.bindings)
	l.releaseAcks()
}

// notifyEnds notifies the other instances of ended jobs, so that callers learn of them at once at any instance. One
// instance of each failure domain forwards the notification to the others there: that saves work of the leader, and
// traffic between domains is charged for.
func (l *Loop) notifyEnds(rows []anvilstorage.Row) {
	if len(rows) == 0 {
		return
	}
	for addr, others := range l.proxies.relays(l.clock.Now()) {
		l.notifier.Notify(addr, others, rows...)
	}
}

// storeNow converts a time of the loop's clock to the store's clock.
func (l *Loop) storeNow(now anvilclock.Millis) anvilclock.Millis { return now + l.workload.storeOffset }
