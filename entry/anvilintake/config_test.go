package anvilintake

import (
	"testing"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
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

func assertConditions(t *testing.T, h *harness, want ...int64) {
	t.Helper()
	if len(h.store.conditions) != len(want) {
		t.Fatalf("conditions %v, want %v", h.store.conditions, want)
	}
	for i, v := range want {
		if h.store.conditions[i] != v {
			t.Fatalf("conditions %v, want %v", h.store.conditions, want)
		}
	}
}

func TestConditionOnConfiguration(t *testing.T) {
	t.Run("a confirmed configuration is no condition", func(t *testing.T) {
		// Guards against calls that conflict with changes that don't concern them, and get the whole configuration each time.
		h := newHarness(t)
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Accepted)
		assertResult(t, h.in.Cancel(t.Context(), NewCall("h", "/k/"+goodID, "key")), Accepted)
		assertConditions(t, h, 0, 0)
	})
	t.Run("the store confirms an old one with the commit", func(t *testing.T) {
		// Guards against a job that is stored with a withdrawn key while the reads of the configuration fail.
		h := newHarness(t)
		h.control.clock.Advance(maxConfigAge)
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Accepted)
		assertConditions(t, h, 3)
	})
	t.Run("a conflict confirms it for the next try", func(t *testing.T) {
		// Guards against a call that conflicts with each change of a series.
		h := newHarness(t)
		h.control.clock.Advance(maxConfigAge)
		page := anvilstorage.NewPolicyPage(policy(2), 5, 5).SentAt(h.control.clock.Now())
		h.store.errs = []error{anvilstorage.NewConflict(nil, &page)}
		assertResult(t, submit(t, h, "/k/"+goodID, "key"), Accepted)
		assertConditions(t, h, 3, 0)
	})
}

// Guards against calls with a withdrawn key, or for a removed queue, that are accepted after the bound: the instance doesn't hear of the
// change, which is acknowledged right after its last read.
func TestWithdrawalHoldsWithinBound(t *testing.T) {
	const bound = anvilclock.Millis(2500)
	withoutBoth := anvilpolicy.New(2, nil, anvilpolicy.WithTeams(anvilpolicy.NewTeam("mosaic", 1, anvilsize.Size{}, nil)))
	for name, next := range map[string]*anvilpolicy.Policy{
		"key": withoutKey().Policy(), "queue": withoutQueue().Policy(), "both": withoutBoth,
	} {
		t.Run(name, func(t *testing.T) {
			for _, age := range []anvilclock.Millis{0, bound / 2, bound - 1, bound, bound + 1, 2 * bound} {
				h := newHarness(t, WithConfigBound(bound))
				h.control.clock.Advance(age)
				h.store.onCommit = func() {
					if h.store.conditions[len(h.store.conditions)-1] != 0 {
						page := anvilstorage.NewPolicyPage(next, 5, 5).SentAt(h.control.clock.Now())
						h.store.errs = []error{anvilstorage.NewConflict(nil, &page)}
					}
				}
				got := submit(t, h, "/k/"+goodID, "key").Result()
				if accepted := got == Accepted; accepted != (age < bound) {
					t.Fatalf("%d ms after the change: %s", age, got)
				}
			}
		})
	}
}
