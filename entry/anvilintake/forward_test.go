package anvilintake

import (
	"fmt"
	"testing"
	"time"

	"anvilhold.org/entry/anvilscheduler"
	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anviljob"
)

// partition makes the instance partitioned from the store, with others as forward targets.
func (h *harness) partition(others ...string) {
	closed := make(chan struct{})
	close(closed)
	h.control.connectivity.Store(anvilscheduler.NewConnectivity(true, closed, others...))
}

func assertForwarded(t *testing.T, h *harness, want ...string) {
	t.Helper()
	if got := fmt.Sprint(h.forwarder.calls); got != fmt.Sprint(want) {
		t.Fatalf("forwarded: %s, want %s", got, want)
	}
}

func TestForward(t *testing.T) {
	t.Run("a partitioned instance forwards calls", func(t *testing.T) {
		// Guards against refusing callers while another instance can serve them.
		h := newHarness(t)
		h.partition("e2")
		h.forwarder.replies["e2"] = NewReply(Accepted, "")
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Accepted)
		assertResult(t, h.in.Cancel(t.Context(), NewCall("h", "/k/"+goodID, "key")), Accepted)
		h.forwarder.replies["e2"] = RestoreReply(Answered, "", anviljob.Running, 0)
		reply := h.in.State(t.Context(), NewCall("h", "/k/"+goodID, "key"))
		assertResult(t, reply, Answered)
		if reply.State() != anviljob.Running {
			t.Fatalf("state %s", reply.State())
		}
		assertForwarded(t, h, "submit e2 /k/"+goodID, "cancel e2 /k/"+goodID, "state e2 /k/"+goodID)
		if h.store.commits != 0 {
			t.Fatalf("%d commits", h.store.commits)
		}
	})
	t.Run("the next target is tried when one refuses or does not answer", func(t *testing.T) {
		// Guards against calls that all fail because one forward target is down.
		h := newHarness(t)
		h.partition("silent", "refuses", "e2")
		h.forwarder.replies["refuses"] = *refuse("the store does not answer")
		h.forwarder.replies["e2"] = NewReply(Accepted, "")
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Accepted)
	})
	t.Run("a refusal after a target without an answer is an unknown outcome", func(t *testing.T) {
		// Guards against refusing a job that the instance that did not answer may have stored.
		h := newHarness(t)
		h.partition("silent", "refuses")
		h.forwarder.replies["refuses"] = *refuse("the store does not answer")
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Unknown)
	})
	t.Run("a call that every target refuses is refused", func(t *testing.T) {
		// Guards against an unknown outcome although nothing was done.
		h := newHarness(t)
		h.partition("refuses")
		h.forwarder.replies["refuses"] = *refuse("the store does not answer")
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Refused)
		h.partition()
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Refused)
	})
	t.Run("a submission in flight is forwarded when a partition is detected", func(t *testing.T) {
		// Guards against callers that wait for a store that the instance no longer reaches.
		h := newHarness(t)
		h.store.gate = make(chan struct{})
		defer close(h.store.gate)
		h.forwarder.replies["e2"] = NewReply(Accepted, "")
		partitionDetected := make(chan struct{})
		h.control.connectivity.Store(anvilscheduler.NewConnectivity(false, partitionDetected))
		time.AfterFunc(50*time.Millisecond, func() {
			h.control.connectivity.Store(anvilscheduler.NewConnectivity(true, partitionDetected, "e2"))
			close(partitionDetected)
		})
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Accepted)
	})
	t.Run("a forwarded call is not forwarded again", func(t *testing.T) {
		// Guards against calls that loop between partitioned instances.
		h := newHarness(t)
		h.partition("e2")
		h.forwarder.replies["e2"] = NewReply(Accepted, "")
		assertResult(t, h.in.Decide(t.Context(), KindSubmit, NewCall("h", "/k/"+goodID, "key"), spec(t)), Refused)
		assertForwarded(t, h)
	})
	t.Run("calls are not forwarded during an outage of the store", func(t *testing.T) {
		// Guards against instances that forward calls to each other while none reaches the store.
		h := newHarness(t)
		h.store.errs = []error{anvilstorage.NewError(anvilstorage.Refused, errStore), anvilstorage.NewError(anvilstorage.Refused, errStore),
			anvilstorage.NewError(anvilstorage.Refused, errStore), anvilstorage.NewError(anvilstorage.Refused, errStore)}
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Refused)
		assertForwarded(t, h)
	})
}
