package anvilintake

import (
	"context"
	"strconv"
	"testing"
	"time"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anviladmission"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// newFullHarness returns a harness whose leader has no capacity for any job of the queue keyed.
func newFullHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.control.backlog = anviladmission.NewBacklog(h.control.clock.Now(), anviladmission.NewShortage("keyed", anvilsize.New(1000, 1000, 0), anviladmission.Demand{}, 3000))
	return h
}

// Guards against jobs that are accepted although they get no capacity in time, and against refusals of jobs that may be stored: a
// refusal promises that the job never runs.
func TestOverload(t *testing.T) {
	t.Run("a job without capacity is refused and not stored", func(t *testing.T) {
		h := newFullHarness(t)
		reply := submit(t, h, "/k/"+goodID, "key")
		assertResult(t, reply, Overloaded)
		if reply.Retry() < 1000 || h.store.commits != 0 {
			t.Fatalf("retry after %d, %d commits", reply.Retry(), h.store.commits)
		}
	})
	t.Run("another queue has capacity", func(t *testing.T) {
		assertResult(t, submit(t, newFullHarness(t), "/o/"+goodID, "key"), Accepted)
	})
	t.Run("a job that is stored", func(t *testing.T) {
		h := newFullHarness(t)
		h.store.row = anvilstorage.ReadRow(anvilstorage.States, goodID, nil, 4, false)
		h.store.errs = []error{anvilstorage.NewConflict([]anvilstorage.Row{h.store.row}, nil)}
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Accepted)
	})
	t.Run("the store doesn't answer", func(t *testing.T) {
		h := newFullHarness(t)
		h.store.getErr = errStore
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Accepted)
	})
	t.Run("after a commit without an answer", func(t *testing.T) {
		h := newHarness(t)
		full := newFullHarness(t).control.backlog
		h.store.errs = []error{anvilstorage.NewError(anvilstorage.Unknown, errStore)}
		h.store.onCommit = func() { h.control.backlog = full }
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Accepted)
	})
	t.Run("old knowledge", func(t *testing.T) {
		h := newFullHarness(t)
		h.control.clock.Advance(5000)
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Accepted)
	})
}

// slowStore is a store whose commits succeed once release is closed.
type slowStore struct {
	*store
	begun, release chan struct{}
}

func (s *slowStore) Commit(context.Context, *anvilstorage.Tx) (anvilstorage.Receipt, error) {
	close(s.begun)
	<-s.release
	return anvilstorage.NewReceipt(9, 1), nil
}

// Guards against a refusal, which promises that the job never runs, of a job that an earlier call may store.
func TestOverloadAfterEarlierCall(t *testing.T) {
	t.Run("whose commit is in flight", func(t *testing.T) {
		h := newHarness(t)
		s := &slowStore{store: h.store, begun: make(chan struct{}), release: make(chan struct{})}
		h.in.batch.store = s
		first := make(chan Reply)
		go func() { first <- h.in.Submit(t.Context(), NewCall("h", "/k/"+goodID, "key"), spec(t)) }()
		<-s.begun
		h.control.backlog = newFullHarness(t).control.backlog
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Unknown)
		assertResult(t, submit(t, h, "/k/"+otherID, "key"), Overloaded)
		close(s.release)
		assertResult(t, <-first, Accepted)
	})
	t.Run("whose commit got no answer", func(t *testing.T) {
		h := newHarness(t)
		h.store.errs = []error{anvilstorage.NewError(anvilstorage.Unknown, errStore)}
		ctx, cancel := context.WithTimeout(t.Context(), 130*time.Millisecond)
		defer cancel()
		assertResult(t, h.in.Submit(ctx, NewCall("h", "/k/"+goodID, "key"), spec(t)), Unknown)
		h.control.backlog = newFullHarness(t).control.backlog
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Accepted)
	})
	t.Run("which another instance did not answer", func(t *testing.T) {
		h := newFullHarness(t)
		h.partition("silent")
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Unknown)
		h.control.connectivity.Store(nil)
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Accepted)
	})
}

// Guards against a refusal, which promises that the job never runs, of a job that another instance is storing. See KNOWN-RED.txt.
func TestOverloadWhileAnotherInstanceStores(t *testing.T) {
	first, second := newHarness(t), newFullHarness(t)
	s := &slowStore{store: first.store, begun: make(chan struct{}), release: make(chan struct{})}
	first.in.batch.store = s
	stored := make(chan Reply)
	go func() { stored <- first.in.Submit(t.Context(), NewCall("h", "/k/"+goodID, "key"), spec(t)) }()
	<-s.begun
	refused := submit(t, second, "/k/"+goodID, "key")
	close(s.release)
	if reply := <-stored; reply.Result() == Accepted && refused.Result() == Overloaded {
		t.Fatal("one instance has refused what another one has stored")
	}
}

// Guards against a memory that grows without bound, and against refusals of jobs that did not fit.
func TestUnknownCommits(t *testing.T) {
	clock := anvilclock.NewManual(10_000)
	u := newUnknownCommits(clock)
	u.add("first")
	assertHas(t, u, "first", true)
	assertHas(t, u, "other", false)
	for i := range maxUnknownCommits {
		u.add(strconv.Itoa(i))
	}
	assertHas(t, u, "other", true)
	if len(u.at) > maxUnknownCommits || len(u.order) > maxUnknownCommits {
		t.Fatalf("%d ids and %d entries", len(u.at), len(u.order))
	}
	clock.Advance(maxApplyDelay)
	assertHas(t, u, "first", false)
	assertHas(t, u, "other", false)
}

func assertHas(t *testing.T, u *unknownCommits, id string, want bool) {
	t.Helper()
	if got := u.has(id); got != want {
		t.Fatalf("%s may be stored: %v, want %v", id, got, want)
	}
}

// silentReads is a store that answers no read.
type silentReads struct{ *store }

func (s silentReads) Get(ctx context.Context, _ anvilstorage.Table, _ string) (anvilstorage.Row, error) {
	<-ctx.Done()
	return anvilstorage.Row{}, ctx.Err()
}

// Guards against a read before a refusal that uses up the call's deadline.
func TestOverloadWithSilentReads(t *testing.T) {
	h := newFullHarness(t)
	h.in.store = silentReads{h.store}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assertResult(t, h.in.Submit(ctx, NewCall("h", "/k/"+goodID, "key"), spec(t)), Accepted)
}
