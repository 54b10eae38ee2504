package anvilscheduler

import (
	"context"
	"sync/atomic"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anviljob"
)

// journal is the leader's stream of commits. One is on its way at a time, and each checks and writes the
// row of the leadership: a former leader's commit fails, and a commit that is applied late, after its answer
// was lost, can't overwrite a newer one.
type journal struct {
	// queue holds the jobs whose records have changed, oldest first.
	queue []*job
	// marks numbers the entries of queue; flushed is the last one that is stored.
	marks    int64
	flushed  int64
	inflight *batch
	sent     anvilclock.Millis
	count    int64
	// acks are ends that the workers may forget once the marks up to theirs are stored.
	acks []ack
}

// ack lets a worker forget its ends up to seen once the mark is stored.
type ack struct {
	w    *worker
	seen int64
	mark int64
}

// binding is a run whose choice of a worker is in a commit.
type binding struct {
	t   *task
	run int
}

// batch is one commit.
type batch struct {
	tx       *anvilstorage.Tx
	jobs     []*job
	states   []stateWrite
	bindings []binding
	mark     int64
	count    int64
	sent     anvilclock.Millis
	// row is the version of the leadership's row after the commit; settled is closed when it is known.
	row     atomic.Int64
	settled chan struct{}
}

// stateWrite is a state of a job that is in a commit.
type stateWrite struct {
	j     *job
	state anvilstorage.JobState
	row   anvilstorage.Row
}

func newJournal() journal { return journal{} }

// mark notes that a job's record must be stored.
func (l *Loop) mark(j *job) {
	if j.marked {
		return
	}
	j.marked = true
	l.journal.marks++
	j.mark = l.journal.marks
	l.journal.queue = append(l.journal.queue, j)
}

// flush sends the next commit when one is due.
func (l *Loop) flush(now anvilclock.Millis) {
	g := &l.journal
	if g.inflight != nil || !l.leading() {
		return
	}
	if len(g.queue) == 0 && now-l.leadership.renewed < renewEvery {
		return
	}
	if now-g.sent < commitGap {
		return
	}
	b, err := l.nextBatch(now)
	if err != nil {
		l.log.Fault(anvilevent.RowUnreadable, err, "during", "commit")
		l.depose("the records can't be written")
		return
	}
	g.inflight, g.sent = b, now
	l.sendBatch(b)
}

func (l *Loop) nextBatch(now anvilclock.Millis) (*batch, error) {
	g, t := &l.journal, &l.leadership
	b := &batch{tx: anvilstorage.NewTx(anvilstorage.FleetPartition), count: g.count + 1, mark: g.flushed, settled: make(chan struct{})}
	b.tx.Expect(anvilstorage.Leaderships, anvilstorage.LeadershipKey, t.row)
	row, err := anvilstorage.LeadershipRow(anvilstorage.NewLeadership(l.self.Name(), l.self.Addr(), t.token, b.count))
	if err != nil {
		return nil, err
	}
	b.tx.Set(row)
	n := 0
	for n < len(g.queue) && b.tx.Len()+commitReserve <= anvilstorage.MaxEntries {
		j := g.queue[n]
		n++
		j.marked = false
		b.mark = j.mark
		b.jobs = append(b.jobs, j)
		if err := l.addJob(b, j, now); err != nil {
			return nil, err
		}
	}
	g.queue = g.queue[n:]
	if len(g.queue) == 0 {
		b.mark = g.marks
	}
	return b, nil
}

// addJob adds what has changed of a job to a commit.
func (l *Loop) addJob(b *batch, j *job, now anvilclock.Millis) error {
	state := anviljob.State(j.machine.State())
	if state != j.stored {
		ended := anvilclock.Millis(0)
		if state.Ended() {
			ended = l.storeNow(now)
		}
		s := anvilstorage.NewJobState(j.id(), j.sub.Queue(), j.sub.Team(), state, ended)
		row, err := anvilstorage.StateRow(s)
		if err != nil {
			return err
		}
		b.tx.Set(row)
		b.states = append(b.states, stateWrite{j: j, state: s, row: row})
	}
	if state.Ended() && j.bound == 0 {
		b.tx.Delete(anvilstorage.Progress, j.id())
		j.closed = true
		return nil
	}
	row, err := anvilstorage.ProgressRow(j.id(), j.runs())
	if err != nil {
		return err
	}
	b.tx.Set(row)
	for _, t := range j.placed {
		b.bindings = append(b.bindings, binding{t: t, run: t.run})
	}
	j.placed = j.placed[:0]
	return nil
}

// sendBatch commits on a traffic goroutine until the outcome is known.
func (l *Loop) sendBatch(b *batch) {
	ctx, store, clock := l.ctx, l.store, l.clock
	l.spawn(func() {
		defer close(b.settled)
		begin := clock.Now()
		for {
			b.sent = clock.Now()
			receipt, err := commitWithin(ctx, store, b.tx)
			if err == nil {
				b.row.Store(receipt.Version())
				l.post(committed{batch: b, row: receipt.Version(), now: receipt.Now()})
				return
			}
			if anvilstorage.As(err).Kind() == anvilstorage.Conflict {
				l.post(committed{batch: b, err: err})
				return
			}
			l.meter.Count("commit.retried")
			if !sleep(ctx, commitRetry) || clock.Now()-begin > leaseGrace {
				l.post(committed{batch: b, err: err})
				return
			}
		}
	})
}

// commitWithin commits with a time limit.
func commitWithin(ctx context.Context, s Store, tx *anvilstorage.Tx) (anvilstorage.Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout.Duration())
	defer cancel()
	return s.Commit(ctx, tx)
}

func (m committed) deliver(l *Loop) {
	g := &l.journal
	if g.inflight != m.batch {
		return
	}
	row := m.row
	if m.err != nil {
		current := anvilstorage.As(m.err).Row(anvilstorage.Leaderships, anvilstorage.LeadershipKey)
		own, err := anvilstorage.ParseLeadership(current)
		if current.Version() == 0 || err != nil || own.Leader() != l.self.Name() || own.Count() != m.batch.count {
			l.depose(m.err.Error())
			return
		}
		// An earlier try was applied, and its answer was lost.
		row = current.Version()
	}
	g.inflight = nil
	g.count, g.flushed = m.batch.count, m.batch.mark
	l.leadership.row, l.leadership.renewed = row, m.batch.sent
	if m.now != 0 {
		l.work.storeOffset = m.now - l.clock.Now()
	}
	l.meter.Observe("commit", (l.clock.Now() - m.batch.sent).Duration())
	l.settleBatch(m.batch, row)
}

// settleBatch does what had to wait for a commit.
func (l *Loop) settleBatch(b *batch, row int64) {
	var ends []anvilstorage.Row
	for _, s := range b.states {
		s.j.stored = s.state.State()
		l.directory.Put(s.state, row)
		if s.state.State().Ended() {
			ends = append(ends, anvilstorage.ReadRow(anvilstorage.States, s.row.Key(), s.row.Value(), row, false))
		}
	}
	l.announceEnds(ends)
	for _, j := range b.jobs {
		if j.closed && !j.marked {
			l.forget(j)
			l.work.spent = append(l.work.spent, j.id())
		}
	}
	l.sendBound(b.bindings)
	l.releaseAcks()
}

// announceEnds tells the other instances which jobs have ended, so that callers learn it at once wherever they
// ask. One instance of each failure domain passes the news on to the rest: the leader has enough to do, and links
// between domains are paid for.
func (l *Loop) announceEnds(rows []anvilstorage.Row) {
	if len(rows) == 0 {
		return
	}
	for addr, relays := range l.asking.relays(l.clock.Now()) {
		l.notifier.Notify(addr, relays, rows...)
	}
}

// releaseAcks lets workers forget the ends that are stored.
func (l *Loop) releaseAcks() {
	g := &l.journal
	kept := g.acks[:0]
	for _, a := range g.acks {
		if a.mark > g.flushed {
			kept = append(kept, a)
			continue
		}
		a.w.acked = max(a.w.acked, a.seen)
	}
	g.acks = kept
}

// storeNow estimates the store's clock.
func (l *Loop) storeNow(now anvilclock.Millis) anvilclock.Millis { return now + l.work.storeOffset }
