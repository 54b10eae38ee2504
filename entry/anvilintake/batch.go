package anvilintake

import (
	"context"
	"errors"
	"sync"

	"anvilhold.org/entry/anvilstorage"
)

// batchMost is how many submissions one transaction may hold; each takes three of its 100 entries.
const batchMost = 30

// batcher stores submissions with one transaction at a time. The store carries out the transactions of a
// part one after another: when it is slow, those of all instances together must leave turns to the
// scheduling instance.
type batcher struct {
	store   Store
	mu      sync.Mutex
	waiting []*entry
	byID    map[string]*entry
	busy    bool
}

// entry is a submission that waits to be stored, or is being stored.
type entry struct {
	id     string
	rows   []anvilstorage.Row
	policy int64
	taken  bool
	// done is closed once receipt or err is set.
	done    chan struct{}
	receipt anvilstorage.Receipt
	err     error
}

func newBatcher(s Store) *batcher { return &batcher{store: s, byID: map[string]*entry{}} }

var errNotSent = errors.New("nothing was sent")

// commit stores the rows of a submission if its id is new and the configuration has not changed. A second
// submission of the same id waits for the first. It no longer waits for the store once cut is closed.
func (b *batcher) commit(ctx context.Context, partitioned <-chan struct{}, id string, rows []anvilstorage.Row, policy int64) (anvilstorage.Receipt, error) {
	b.mu.Lock()
	e := b.byID[id]
	if e == nil {
		e = &entry{id: id, rows: rows, policy: policy, done: make(chan struct{})}
		b.byID[id] = e
		b.waiting = append(b.waiting, e)
		if !b.busy {
			b.busy = true
			go b.run()
		}
	}
	b.mu.Unlock()
	select {
	case <-e.done:
		return e.receipt, e.err
	case <-partitioned:
	case <-ctx.Done():
	}
	return b.giveUp(e)
}

// giveUp withdraws a submission that was not sent yet.
func (b *batcher) giveUp(e *entry) (anvilstorage.Receipt, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.taken {
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

// finish tells the callers of a submission. The caller holds mu.
func (b *batcher) finish(e *entry, r anvilstorage.Receipt, err error) {
	e.receipt, e.err = r, err
	delete(b.byID, e.id)
	close(e.done)
}

// run stores what waits until nothing does.
func (b *batcher) run() {
	for {
		batch := b.take()
		if len(batch) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		receipt, err := b.store.Commit(ctx, transaction(batch))
		cancel()
		b.settle(batch, receipt, err)
	}
}

// take returns the submissions that wait under the same configuration as the first of them.
func (b *batcher) take() []*entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*entry
	for _, e := range b.waiting {
		if len(batch) < batchMost && (len(batch) == 0 || e.policy == batch[0].policy) {
			e.taken = true
			batch = append(batch, e)
			continue
		}
		rest = append(rest, e)
	}
	b.waiting = rest
	b.busy = len(batch) > 0
	return batch
}

func transaction(batch []*entry) *anvilstorage.Tx {
	tx := anvilstorage.NewTx(anvilstorage.CallsPartition)
	tx.ExpectPolicy(batch[0].policy)
	for _, e := range batch {
		tx.Expect(anvilstorage.States, e.id, 0)
		for _, r := range e.rows {
			tx.Set(r)
		}
	}
	return tx
}

// settle tells the callers what became of their submissions. When some ids were known already, the others
// are stored with the next transaction.
func (b *batcher) settle(batch []*entry, receipt anvilstorage.Receipt, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var conflict *anvilstorage.Error
	if err != nil && anvilstorage.As(err).Kind() == anvilstorage.Conflict {
		conflict = anvilstorage.As(err)
	}
	known := 0
	for _, e := range batch {
		if conflict != nil && conflict.Row(anvilstorage.States, e.id).Version() != 0 {
			known++
		}
	}
	for _, e := range batch {
		if known > 0 && conflict.Row(anvilstorage.States, e.id).Version() == 0 {
			e.taken = false
			b.waiting = append(b.waiting, e)
			continue
		}
		b.finish(e, receipt, err)
	}
}
