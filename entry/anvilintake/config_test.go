package anvilintake

import (
	"testing"

	"anvilhold.org/entry/anvilstorage"
)

// Guards against an age that is counted from the answer to a call: the configuration can have changed while it was on its way.
func TestConflictConfirmsFromItsSending(t *testing.T) {
	h := newHarness(t)
	h.control.clock.Advance(maxConfigAge)
	sent := h.control.clock.Now()
	page := anvilstorage.NewPolicyPage(policy(2), 5, 5).SentAt(sent)
	h.store.errs = []error{anvilstorage.NewConflict(nil, &page)}
	h.store.onCommit = func() { h.control.clock.Advance(700) }
	assertResult(t, submit(t, h, "/k/"+goodID, "key"), Accepted)
	if got := h.control.View().Confirmed(); got != sent {
		t.Fatalf("confirmed as of %d, the call was sent at %d", got, sent)
	}
}
