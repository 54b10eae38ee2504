package anvilintake

import (
	"context"
	"errors"
	"sync"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
)

// maxBatch is the largest number of submissions in a transaction; each takes three of its 100 entries.
const maxBatch = 30

// batcher stores submissions in batches, one transaction at a time. The store carries out the transactions of a table
// partition one after another: when it is slow, the submissions of all instances together must leave capacity for the
// leader's commits.
type batcher struct {
	store   Store
	mu      sync.Mutex
	waiting []*batchEntry
	byID    map[string]*batchEntry
	running bool
	unknown *unknownCommits
}

// batchEntry is a submission that waits for a transaction or is part of the one in flight.
type batchEntry struct {
	id               string
	rows             []anvilstorage.Row
	policyRowVersion int64 // the version that the configuration's row must have; 0 for no condition
	sent             bool
	// done is closed once receipt or err is set.
	done    chan struct{}
	receipt anvilstorage.Receipt
	err     error
}

func newBatcher(s Store, clock anvilclock.Clock) *batcher {
	return &batcher{store: s, byID: map[string]*batchEntry{}, unknown: newUnknownCommits(clock)}
}

var errNotSent = errors.New("nothing was sent")

// commit stores the rows of a submission if its id is new and the configuration's row has a version, which 0 leaves open. A second
// submission of the same id waits for the first and gets its result. Once partitionDetected is closed, commit stops
// waiting for the store.
func (b *batcher) commit(ctx context.Context, partitionDetected <-chan struct{}, id string, rows []anvilstorage.Row, policyRowVersion int64) (anvilstorage.Receipt, error) {
	b.mu.Lock()
	e := b.byID[id]
	if e == nil {
		e = &batchEntry{id: id, rows: rows, policyRowVersion: policyRowVersion, done: make(chan struct{})}
		b.byID[id] = e
		b.waiting = append(b.waiting, e)
		if !b.running {
			b.running = true
			go b.run()
		}
	}
	b.mu.Unlock()
	select {
	case <-e.done:
		return e.receipt, e.err
	case <-partitionDetected:
	case <-ctx.Done():
	}
	return b.withdraw(e)
}

// withdraw removes a submission that was not sent yet. The outcome of one that was sent is unknown until its
// transaction has ended.
func (b *batcher) withdraw(e *batchEntry) (anvilstorage.Receipt, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.sent {
		select {
		case <-e.done:
			return e.receipt, e.err
		default:
			return anvilstorage.Receipt{}, anvilstorage.NewError(anvilstorage.Unknown, context.DeadlineExceeded)
		}
	}
	for i, w := range b.waiting {
		if w == e {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			b.finish(e, anvilstorage.Receipt{}, anvilstorage.NewError(anvilstorage.Refused, errNotSent))
			break
		}
	}
	return e.receipt, e.err
}

// finish sets the result of a submission and wakes the callers that wait for it. The caller holds mu.
func (b *batcher) finish(e *batchEntry, r anvilstorage.Receipt, err error) {
	e.receipt, e.err = r, err
	delete(b.byID, e.id)
	if err != nil && anvilstorage.As(err).Kind() == anvilstorage.Unknown {
		b.unknown.add(e.id)
	}
	close(e.done)
}

// mayStore reports whether a submission of an id waits, is in flight, or has ended without an answer so recently that the
// store may still apply it.
func (b *batcher) mayStore(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byID[id] != nil || b.unknown.has(id)
}

// addUnknown records a submission that another instance may have sent to the store.
func (b *batcher) addUnknown(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unknown.add(id)
}

// run stores the waiting submissions batch by batch and returns when none is left.
func (b *batcher) run() {
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		receipt, err := b.store.Commit(ctx, transaction(batch))
		cancel()
		b.complete(batch, receipt, err)
	}
}

// maxBatchBytes is the size of a batch's rows above which no other submission is added.
const maxBatchBytes = anvilstorage.MaxBytes / 2

// nextBatch removes the next batch from the queue: submissions with the same condition on the configuration as the first one,
// as many as a transaction can hold.
func (b *batcher) nextBatch() []*batchEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*batchEntry
	size := 0
	for _, e := range b.waiting {
		if len(batch) < maxBatch && size < maxBatchBytes && (len(batch) == 0 || e.policyRowVersion == batch[0].policyRowVersion) {
			e.sent = true
			batch = append(batch, e)
			for _, r := range e.rows {
				size += r.Size()
			}
			continue
		}
		rest = append(rest, e)
	}
	b.waiting = rest
	b.running = len(batch) > 0
	return batch
}

func transaction(batch []*batchEntry) *anvilstorage.Tx {
	tx := anvilstorage.NewTx(anvilstorage.CallsPartition)
	tx.ExpectPolicy(batch[0].policyRowVersion)
	for _, e := range batch {
		tx.Expect(anvilstorage.States, e.id, 0)
		for _, r := range e.rows {
			tx.Set(r)
		}
	}
	return tx
}

// complete passes the result of a transaction to the callers. When it failed because some ids were already stored, the
// others go into the next transaction.
func (b *batcher) complete(batch []*batchEntry, receipt anvilstorage.Receipt, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var conflict *anvilstorage.Error
	if err != nil && anvilstorage.As(err).Kind() == anvilstorage.Conflict {
		conflict = anvilstorage.As(err)
	}
	alreadyStored := 0
	for _, e := range batch {
		if conflict != nil && conflict.Row(anvilstorage.States, e.id).Version() != 0 {
			alreadyStored++
		}
	}
	for _, e := range batch {
		if alreadyStored > 0 && conflict.Row(anvilstorage.States, e.id).Version() == 0 {
			e.sent = false
			b.waiting = append(b.waiting, e)
			continue
		}
		b.finish(e, receipt, err)
	}
}
