package anvilintake

import (
	"testing"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anviladmission"
	"anvilhold.org/lib/anvilsize"
)

// newFullHarness returns a harness whose leader has no capacity for any job of the queue keyed.
func newFullHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.control.backlog = anviladmission.NewBacklog(h.control.clock.Now(), anviladmission.NewShortage("keyed", anvilsize.New(1000, 1000, 0), 0, 3000))
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
