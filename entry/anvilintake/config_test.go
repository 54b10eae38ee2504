package anvilintake

import (
	"testing"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
)

// assertRefusals checks the results of all kinds of calls to a path with a key.
func assertRefusals(t *testing.T, h *harness, path, key string, want Result) {
	t.Helper()
	call := NewCall("h", path+goodID, key)
	assertResult(t, submit(t, h, path+goodID, key), want)
	assertResult(t, h.in.State(t.Context(), call), want)
	assertResult(t, h.in.Cancel(t.Context(), call), want)
	assertResult(t, h.in.Waiting(NewCall("h", path, key)), want)
	assertResult(t, h.in.Check(call), want)
}

func TestRefusalByOldConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		result    Result
	}{
		"of an unknown queue": {"/x/", "key", NoQueue},
		"of an unknown key":   {"/k/", "wrong", Unauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			// Guards against a final refusal by an instance that has missed the version that allows the call.
			const bound = anvilclock.Millis(2500)
			h := newHarness(t, WithConfigBound(bound))
			h.control.clock.Advance(bound - 1)
			assertRefusals(t, h, c.path, c.key, c.result)
			h.control.clock.Advance(1)
			assertRefusals(t, h, c.path, c.key, Refused)
		})
	}
	t.Run("the platform's bound doesn't exceed that of withdrawn keys", func(t *testing.T) {
		// Guards against a platform with a long bound, or none, by which a withdrawn key works for too long.
		for _, bound := range []anvilclock.Millis{0, 60_000} {
			h := newHarness(t, WithConfigBound(bound))
			h.control.clock.Advance(maxConfigAge)
			assertRefusals(t, h, "/x/", "key", Refused)
		}
	})
}

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
