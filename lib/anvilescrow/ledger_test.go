package anvilescrow

import (
	"fmt"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/internal/anvilassert"
)

// harness is a ledger that owns shards s1 and s2, with the version of team red's row in the table.
type harness struct {
	*Ledger
	now        anvilclock.Millis
	rowVersion int64
}

func newHarness(opts ...Option) *harness {
	h := &harness{Ledger: NewLedger(opts...), rowVersion: 10}
	h.SetShards([]string{"s1", "s2"})
	h.SetTeam("red", size(100), 5)
	h.AddShard("s1")
	h.AddShard("s2")
	h.advance(0)
	return h
}

// advance moves the clock and commits the transfers that Plan returns.
func (h *harness) advance(d anvilclock.Millis) []Transfer {
	h.now += d
	transfers := h.Plan(h.now)
	for _, tr := range transfers {
		h.rowVersion++
		h.Committed(tr.ID(), h.rowVersion)
	}
	return transfers
}

func (h *harness) passIdleTime() {
	for range 8 {
		h.advance(500)
	}
}

func (h *harness) assertAllocations(t *testing.T, s1, s2 anvilsize.Size) {
	t.Helper()
	anvilassert.Equal(t, "allocation of s1", h.Account("s1", "red").Allocation(), s1)
	anvilassert.Equal(t, "allocation of s2", h.Account("s2", "red").Allocation(), s2)
}

// Guards against allocations that are too small, too large or never given back.
func TestPlan(t *testing.T) {
	t.Run("equal floors", func(t *testing.T) {
		newHarness().assertAllocations(t, size(25), size(25))
	})
	t.Run("shortage and extra", func(t *testing.T) {
		h := newHarness()
		h.RecordDemand("s1", "red", size(45), h.now)
		h.advance(100)
		h.assertAllocations(t, size(50), size(25))
	})
	t.Run("no more than is free", func(t *testing.T) {
		h := newHarness()
		h.RecordDemand("s1", "red", size(74), h.now)
		h.advance(100)
		h.assertAllocations(t, size(75), size(25))
	})
	t.Run("unchanged when no start would fit", func(t *testing.T) {
		h := newHarness()
		h.RecordDemand("s1", "red", size(80), h.now)
		h.advance(100)
		h.assertAllocations(t, size(25), size(25))
	})
	t.Run("demand is forgotten", func(t *testing.T) {
		h := newHarness()
		h.RecordDemand("s1", "red", size(45), h.now)
		h.advance(DefaultIdle)
		h.assertAllocations(t, size(25), size(25))
	})
	t.Run("unused allocation is given back", func(t *testing.T) {
		h := newHarness()
		h.RecordDemand("s1", "red", size(70), h.now)
		h.advance(100)
		h.advance(DefaultIdle - 200)
		h.assertAllocations(t, size(75), size(25))
		h.passIdleTime()
		h.assertAllocations(t, size(25), size(25))
	})
	t.Run("allocation in use stays", func(t *testing.T) {
		h := newHarness()
		h.RecordDemand("s1", "red", size(70), h.now)
		h.advance(100)
		anvilassert.True(t, h.Account("s1", "red").Reserve(size(70)), "the reservation was refused")
		h.passIdleTime()
		h.assertAllocations(t, size(70), size(25))
	})
	t.Run("small remainders stay while much is free", func(t *testing.T) {
		h := newHarness()
		h.RecordDemand("s1", "red", size(40), h.now)
		h.advance(100)
		anvilassert.True(t, h.Account("s1", "red").Reserve(size(35)), "the reservation was refused")
		allocation := h.Account("s1", "red").Allocation()
		h.passIdleTime()
		h.assertAllocations(t, allocation, size(25))
	})
	t.Run("owned shards exchange in one transfer", func(t *testing.T) {
		h := newHarness()
		h.RecordDemand("s1", "red", size(70), h.now)
		h.advance(100)
		for range 6 {
			h.RecordDemand("s2", "red", size(70), h.now)
			h.advance(500)
		}
		h.assertAllocations(t, size(25), size(75))
	})
	t.Run("many teams", func(t *testing.T) {
		h := newHarness()
		for i := range 100 {
			h.SetTeam(fmt.Sprint(i), size(100), 5)
		}
		seen := map[string]bool{}
		for range 4 {
			transfers := h.advance(10)
			anvilassert.True(t, len(transfers) <= teamsPerPlan, "%d transfers in one plan", len(transfers))
			for _, tr := range transfers {
				seen[tr.Team()] = true
			}
		}
		anvilassert.Equal(t, "teams with a transfer", len(seen), 100)
	})
	t.Run("sums", func(t *testing.T) {
		h := newHarness()
		h.Account("s1", "red").Adopt(size(3))
		h.Account("s2", "red").Adopt(size(4))
		anvilassert.Equal(t, "used", h.Used("red"), size(7))
		anvilassert.Equal(t, "allocated", h.Allocated("red"), size(50))
		anvilassert.Equal(t, "limit", h.Limit("red"), size(100))
		anvilassert.Equal(t, "free", h.Free("red"), size(50))
		anvilassert.Equal(t, "teams", h.Teams(), []string{"red"})
		anvilassert.Equal(t, "limit of an unknown team", h.Limit("none"), anvilsize.Size{})
	})
}

// Guards against starts while a team's allocations exceed its limit.
func TestLimit(t *testing.T) {
	lowered := func(t *testing.T) *harness {
		h := newHarness()
		anvilassert.True(t, h.Account("s1", "red").Reserve(size(20)), "the reservation was refused")
		h.SetTeam("red", size(30), 50)
		anvilassert.True(t, !h.Account("s1", "red").Reserve(size(1)), "a start above the limit")
		return h
	}
	t.Run("lowered", func(t *testing.T) {
		h := lowered(t)
		transfers := h.advance(100)
		anvilassert.Equal(t, "contract row version", transfers[0].ContractRowVersion(), int64(50))
		h.assertAllocations(t, size(20), anvilsize.Size{})
		h.advance(100)
		h.assertAllocations(t, size(20), anvilsize.New(75, 7, 0))
	})
	t.Run("raised again", func(t *testing.T) {
		h := lowered(t)
		h.SetTeam("red", size(100), 51)
		anvilassert.True(t, h.Account("s1", "red").Reserve(size(5)), "no start after the limit was raised")
	})
	t.Run("older contract ignored", func(t *testing.T) {
		h := lowered(t)
		h.SetTeam("red", size(100), 49)
		anvilassert.Equal(t, "limit", h.Limit("red"), size(30))
	})
	t.Run("withdrawn", func(t *testing.T) {
		h := lowered(t)
		h.DropTeam("red")
		h.Account("s1", "red").Release(size(20))
		h.passIdleTime()
		h.assertAllocations(t, anvilsize.Size{}, anvilsize.Size{})
		anvilassert.Equal(t, "teams", len(h.Teams()), 0)
	})
	t.Run("unknown contract", func(t *testing.T) {
		l := NewLedger()
		l.AddShard("s1")
		l.PutRow("red", map[string]anvilsize.Size{"s1": size(10)}, 3)
		anvilassert.True(t, !l.Account("s1", "red").Reserve(size(1)), "a start without a known contract")
		anvilassert.Equal(t, "transfers", len(l.Plan(0)), 0)
	})
}

// withUnresolvedTransfer returns a harness in which a transfer without a result lowers the allocation of s1.
func withUnresolvedTransfer(t *testing.T) (*harness, Transfer) {
	t.Helper()
	h := newHarness()
	h.RecordDemand("s1", "red", size(70), h.now)
	h.advance(100)
	for range 8 {
		h.now += 500
		if transfers := h.Plan(h.now); len(transfers) > 0 {
			h.assertAllocations(t, size(25), size(25))
			return h, transfers[0]
		}
	}
	t.Fatalf("the unused allocation was not given back")
	return nil, Transfer{}
}

// Guards against wrong allocations after a transfer that is answered late, not answered or rejected.
func TestTransferResults(t *testing.T) {
	t.Run("one in flight", func(t *testing.T) {
		h, _ := withUnresolvedTransfer(t)
		anvilassert.Equal(t, "transfers", len(h.Plan(h.now+5000)), 0)
	})
	t.Run("rejected", func(t *testing.T) {
		h, tr := withUnresolvedTransfer(t)
		h.Rejected(tr.ID())
		h.assertAllocations(t, size(75), size(25))
		anvilassert.Equal(t, "transfers at once", len(h.Plan(h.now)), 0)
		anvilassert.Equal(t, "transfers later", len(h.Plan(h.now+planRetryDelay)), 1)
	})
	t.Run("newer row after a conflict", func(t *testing.T) {
		h, tr := withUnresolvedTransfer(t)
		h.Rejected(tr.ID())
		h.PutRow("red", map[string]anvilsize.Size{"s1": size(75), "s2": size(25)}, h.rowVersion+1)
		anvilassert.Equal(t, "transfers", len(h.Plan(h.now)), 1)
	})
	t.Run("newer row before the answer", func(t *testing.T) {
		h, tr := withUnresolvedTransfer(t)
		h.PutRow("red", map[string]anvilsize.Size{"s1": size(60), "s2": size(25)}, h.rowVersion+2)
		h.Committed(tr.ID(), h.rowVersion+1)
		h.assertAllocations(t, size(60), size(25))
	})
	t.Run("older row", func(t *testing.T) {
		h := newHarness()
		h.PutRow("red", nil, h.rowVersion)
		h.assertAllocations(t, size(25), size(25))
	})
	t.Run("outcome unknown and row unchanged", func(t *testing.T) {
		h, tr := withUnresolvedTransfer(t)
		h.OutcomeUnknown(tr.ID())
		h.Refreshed("red")
		h.assertAllocations(t, size(25), size(25))
		next := h.Plan(h.now)
		anvilassert.Equal(t, "transfers", len(next), 1)
		anvilassert.Equal(t, "row version", next[0].RowVersion(), tr.RowVersion())
	})
	t.Run("outcome unknown and superseded", func(t *testing.T) {
		h, tr := withUnresolvedTransfer(t)
		h.OutcomeUnknown(tr.ID())
		h.Refreshed("red")
		h.Account("s1", "red").recordNeed(size(75)) // the allocation is needed again, so the row needs no change
		h.advance(0)
		h.assertAllocations(t, size(75), size(25))
	})
	t.Run("outcome unknown, then committed", func(t *testing.T) {
		h, tr := withUnresolvedTransfer(t)
		h.OutcomeUnknown(tr.ID())
		h.Committed(tr.ID(), h.rowVersion+1)
		h.assertAllocations(t, size(25), size(25))
		anvilassert.Equal(t, "transfers", len(h.Plan(h.now)), 0)
	})
	t.Run("many unknown outcomes", func(t *testing.T) {
		h, tr := withUnresolvedTransfer(t)
		for range 3 * maxUnresolved {
			h.OutcomeUnknown(tr.ID())
			h.Refreshed("red")
			tr = h.Plan(h.now)[0]
		}
		anvilassert.True(t, len(h.teams["red"].unresolved) <= maxUnresolved, "%d unresolved transfers", len(h.teams["red"].unresolved))
		h.assertAllocations(t, size(25), size(25))
	})
	t.Run("unknown transfer", func(t *testing.T) {
		h := newHarness()
		h.Committed(99, 99)
		h.Rejected(99)
		h.OutcomeUnknown(99)
		h.Refreshed("none")
		h.assertAllocations(t, size(25), size(25))
	})
}

// Guards against allocations and use that outlive the ownership of their shard.
func TestShards(t *testing.T) {
	t.Run("removed", func(t *testing.T) {
		h := newHarness()
		a := h.Account("s1", "red")
		a.Adopt(size(5))
		h.RemoveShard("s1")
		anvilassert.True(t, !a.Reserve(size(1)), "a start in a lost shard")
		anvilassert.Equal(t, "used", h.Used("red"), anvilsize.Size{})
		anvilassert.True(t, !h.Account("s1", "red").Reserve(size(1)), "a start in a shard of another owner")
	})
	t.Run("allocations of other owners stay", func(t *testing.T) {
		h := newHarness()
		h.RemoveShard("s2")
		h.RecordDemand("s1", "red", size(30), h.now)
		transfers := h.advance(100)
		anvilassert.Equal(t, "allocation of s2", transfers[0].Allocations()["s2"], size(25))
		anvilassert.Equal(t, "shards", transfers[0].Shards(), []string{"s1"})
	})
	t.Run("owned again", func(t *testing.T) {
		h := newHarness()
		h.RemoveShard("s1")
		h.AddShard("s1")
		h.assertAllocations(t, size(25), size(25))
	})
	t.Run("shard outside the fleet kept", func(t *testing.T) {
		h := newHarness()
		h.PutRow("red", map[string]anvilsize.Size{"old": size(20), "s1": size(25), "s2": size(25)}, h.rowVersion+1)
		anvilassert.Equal(t, "transfers", len(h.advance(100)), 0)
	})
	t.Run("shard outside the fleet reclaimed", func(t *testing.T) {
		h := newHarness(WithReclaim())
		h.PutRow("red", map[string]anvilsize.Size{"old": size(20), "s1": size(25), "s2": size(25)}, h.rowVersion+1)
		anvilassert.Equal(t, "allocation of old", h.advance(100)[0].Allocations()["old"], anvilsize.Size{})
	})
}

// Guards against floors that can't start the smallest request and withhold half of a small limit.
func TestMinFloor(t *testing.T) {
	shards := []string{"s1", "s2", "s3", "s4", "s5", "s6"}
	for name, c := range map[string]struct {
		limit   anvilsize.Size
		largest anvilsize.Size
	}{
		"too small to keep": {anvilsize.New(4000, 8192, 0), anvilsize.New(4000, 8192, 0)},
		"kept":              {anvilsize.New(12000, 12288, 0), anvilsize.New(7000, 7168, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(WithMinFloor(anvilsize.New(500, 256, 0)))
			l.SetShards(shards)
			l.SetTeam("a", c.limit, 1)
			if got := l.LargestAllocation("a"); got != c.largest {
				t.Fatalf("largest allocation of a shard: got %s, want %s", got, c.largest)
			}
		})
	}
}
