package anvilintake

import (
	"fmt"
	"testing"
	"time"

	"anvilhold.org/entry/anvilscheduler"
	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anviljob"
)

// partition has the instance cut off from the store, which the others may reach.
func (b *bench) partition(others ...string) {
	closed := make(chan struct{})
	close(closed)
	b.control.connectivity.Store(anvilscheduler.NewConnectivity(true, closed, others...))
}

func assertAsked(t *testing.T, b *bench, want ...string) {
	t.Helper()
	if got := fmt.Sprint(b.forwarder.asked); got != fmt.Sprint(want) {
		t.Fatalf("passed on: %s, want %s", got, want)
	}
}

func TestDetour(t *testing.T) {
	t.Run("a call is passed on by an instance that is cut off", func(t *testing.T) {
		// Guards against callers who are turned away although the next machine could serve them.
		b := newBench(t)
		b.partition("e2")
		b.forwarder.replies["e2"] = NewReply(Accepted, "")
		assertResult(t, submit(t, b, "/k/"+goodID, "key"), Accepted)
		assertResult(t, b.in.Cancel(t.Context(), NewCall("h", "/k/"+goodID, "key")), Accepted)
		b.forwarder.replies["e2"] = RestoreReply(Answered, "", anviljob.Running, 0)
		reply := b.in.State(t.Context(), NewCall("h", "/k/"+goodID, "key"))
		assertResult(t, reply, Answered)
		if reply.State() != anviljob.Running {
			t.Fatalf("state %s", reply.State())
		}
		assertAsked(t, b, "submit e2 /k/"+goodID, "cancel e2 /k/"+goodID, "state e2 /k/"+goodID)
		if b.store.commits != 0 {
			t.Fatalf("%d commits", b.store.commits)
		}
	})
	t.Run("the next one is asked when one refuses or is silent", func(t *testing.T) {
		// Guards against one lost instance that all calls are passed on to.
		b := newBench(t)
		b.partition("silent", "refuses", "e2")
		b.forwarder.replies["refuses"] = *refuse("the store does not answer")
		b.forwarder.replies["e2"] = NewReply(Accepted, "")
		assertResult(t, submit(t, b, "/k/"+goodID, "key"), Accepted)
	})
	t.Run("a refusal after silence is in doubt", func(t *testing.T) {
		// Guards against a caller who is told that a job will never run which the silent instance has stored.
		b := newBench(t)
		b.partition("silent", "refuses")
		b.forwarder.replies["refuses"] = *refuse("the store does not answer")
		assertResult(t, submit(t, b, "/k/"+goodID, "key"), Unknown)
	})
	t.Run("a refusal by all is a refusal", func(t *testing.T) {
		// Guards against callers who are left in doubt although nothing was done.
		b := newBench(t)
		b.partition("refuses")
		b.forwarder.replies["refuses"] = *refuse("the store does not answer")
		assertResult(t, submit(t, b, "/k/"+goodID, "key"), Refused)
		b.partition()
		assertResult(t, submit(t, b, "/k/"+goodID, "key"), Refused)
	})
	t.Run("a submission on its way to the store is passed on, too", func(t *testing.T) {
		// Guards against callers who wait for a store that their instance no longer reaches.
		b := newBench(t)
		b.store.gate = make(chan struct{})
		defer close(b.store.gate)
		b.forwarder.replies["e2"] = NewReply(Accepted, "")
		partitionDetected := make(chan struct{})
		b.control.connectivity.Store(anvilscheduler.NewConnectivity(false, partitionDetected))
		time.AfterFunc(50*time.Millisecond, func() {
			b.control.connectivity.Store(anvilscheduler.NewConnectivity(true, partitionDetected, "e2"))
			close(partitionDetected)
		})
		assertResult(t, submit(t, b, "/k/"+goodID, "key"), Accepted)
	})
	t.Run("what was passed on is not passed on again", func(t *testing.T) {
		// Guards against calls that go round between instances that are cut off.
		b := newBench(t)
		b.partition("e2")
		b.forwarder.replies["e2"] = NewReply(Accepted, "")
		assertResult(t, b.in.Decide(t.Context(), KindSubmit, NewCall("h", "/k/"+goodID, "key"), spec(t)), Refused)
		assertAsked(t, b)
	})
	t.Run("an outage for all is not passed on", func(t *testing.T) {
		// Guards against instances that send each other calls while no one reaches the store.
		b := newBench(t)
		b.store.errs = []error{anvilstorage.NewError(anvilstorage.Refused, errStore), anvilstorage.NewError(anvilstorage.Refused, errStore),
			anvilstorage.NewError(anvilstorage.Refused, errStore), anvilstorage.NewError(anvilstorage.Refused, errStore)}
		assertResult(t, submit(t, b, "/k/"+goodID, "key"), Refused)
		assertAsked(t, b)
	})
}
