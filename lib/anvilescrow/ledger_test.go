package anvilescrow

import (
	"fmt"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/internal/anvilassert"
)

// bench is a ledger of shards s1 and s2 with the table's row of team red.
type bench struct {
	*Ledger
	now anvilclock.Millis
	row int64
}

func newBench(opts ...Option) *bench {
	b := &bench{Ledger: NewLedger(opts...), row: 10}
	b.SetShards([]string{"s1", "s2"})
	b.SetTeam("red", size(100), 5)
	b.AddShard("s1")
	b.AddShard("s2")
	b.step(0)
	return b
}

// step commits what Plan wants after a time.
func (b *bench) step(d anvilclock.Millis) []Transfer {
	b.now += d
	transfers := b.Plan(b.now)
	for _, m := range transfers {
		b.row++
		b.Committed(m.ID(), b.row)
	}
	return transfers
}

// rest lets the idle time pass.
func (b *bench) rest() {
	for range 8 {
		b.step(500)
	}
}

func (b *bench) parts(t *testing.T, s1, s2 anvilsize.Size) {
	t.Helper()
	anvilassert.Equal(t, "part of s1", b.Account("s1", "red").Part(), s1)
	anvilassert.Equal(t, "part of s2", b.Account("s2", "red").Part(), s2)
}

// Guards against a transfer that is too small, too large or kept for ever.
func TestPlan(t *testing.T) {
	t.Run("even floor", func(t *testing.T) {
		newBench().parts(t, size(25), size(25))
	})
	t.Run("shortage and a quarter", func(t *testing.T) {
		b := newBench()
		b.RecordDemand("s1", "red", size(45), b.now)
		b.step(100)
		b.parts(t, size(50), size(25))
	})
	t.Run("no more than is free", func(t *testing.T) {
		b := newBench()
		b.RecordDemand("s1", "red", size(74), b.now)
		b.step(100)
		b.parts(t, size(75), size(25))
	})
	t.Run("nothing when no start would fit", func(t *testing.T) {
		b := newBench()
		b.RecordDemand("s1", "red", size(80), b.now)
		b.step(100)
		b.parts(t, size(25), size(25))
	})
	t.Run("wants are forgotten", func(t *testing.T) {
		b := newBench()
		b.RecordDemand("s1", "red", size(45), b.now)
		b.step(Idle)
		b.parts(t, size(25), size(25))
	})
	t.Run("idle room returns", func(t *testing.T) {
		b := newBench()
		b.RecordDemand("s1", "red", size(70), b.now)
		b.step(100)
		b.step(Idle - 200)
		b.parts(t, size(75), size(25))
		b.rest()
		b.parts(t, size(25), size(25))
	})
	t.Run("room in use stays", func(t *testing.T) {
		b := newBench()
		b.RecordDemand("s1", "red", size(70), b.now)
		b.step(100)
		anvilassert.True(t, b.Account("s1", "red").Reserve(size(70)), "no room")
		b.rest()
		b.parts(t, size(70), size(25))
	})
	t.Run("small remainders stay while much is free", func(t *testing.T) {
		b := newBench()
		b.RecordDemand("s1", "red", size(40), b.now)
		b.step(100)
		anvilassert.True(t, b.Account("s1", "red").Reserve(size(35)), "no room")
		part := b.Account("s1", "red").Part()
		b.rest()
		b.parts(t, part, size(25))
	})
	t.Run("own shards exchange in one move", func(t *testing.T) {
		b := newBench()
		b.RecordDemand("s1", "red", size(70), b.now)
		b.step(100)
		for range 6 {
			b.RecordDemand("s2", "red", size(70), b.now)
			b.step(500)
		}
		b.parts(t, size(25), size(75))
	})
	t.Run("many teams", func(t *testing.T) {
		b := newBench()
		for i := range 100 {
			b.SetTeam(fmt.Sprint(i), size(100), 5)
		}
		seen := map[string]bool{}
		for range 4 {
			transfers := b.step(10)
			anvilassert.True(t, len(transfers) <= teamsPerPlan, "%d moves in one plan", len(transfers))
			for _, m := range transfers {
				seen[m.Team()] = true
			}
		}
		anvilassert.Equal(t, "teams with a move", len(seen), 100)
	})
	t.Run("views", func(t *testing.T) {
		b := newBench()
		b.Account("s1", "red").Adopt(size(3))
		b.Account("s2", "red").Adopt(size(4))
		anvilassert.Equal(t, "used", b.Used("red"), size(7))
		anvilassert.Equal(t, "part", b.Part("red"), size(50))
		anvilassert.Equal(t, "limit", b.Limit("red"), size(100))
		anvilassert.Equal(t, "free", b.Free("red"), size(50))
		anvilassert.Equal(t, "teams", b.Teams(), []string{"red"})
		anvilassert.Equal(t, "limit of an unknown team", b.Limit("none"), anvilsize.Size{})
	})
}

// Guards against starts while a team's parts exceed its limit.
func TestLimit(t *testing.T) {
	lowered := func(t *testing.T) *bench {
		b := newBench()
		anvilassert.True(t, b.Account("s1", "red").Reserve(size(20)), "no room")
		b.SetTeam("red", size(30), 50)
		anvilassert.True(t, !b.Account("s1", "red").Reserve(size(1)), "a start above the limit")
		return b
	}
	t.Run("lowered", func(t *testing.T) {
		b := lowered(t)
		transfers := b.step(100)
		anvilassert.Equal(t, "contract row", transfers[0].ContractRow(), int64(50))
		b.parts(t, size(20), anvilsize.Size{})
		b.step(100)
		b.parts(t, size(20), anvilsize.New(75, 7, 0))
	})
	t.Run("raised again", func(t *testing.T) {
		b := lowered(t)
		b.SetTeam("red", size(100), 51)
		anvilassert.True(t, b.Account("s1", "red").Reserve(size(5)), "no start after the limit was raised")
	})
	t.Run("old contract dropped", func(t *testing.T) {
		b := lowered(t)
		b.SetTeam("red", size(100), 49)
		anvilassert.Equal(t, "limit", b.Limit("red"), size(30))
	})
	t.Run("withdrawn", func(t *testing.T) {
		b := lowered(t)
		b.DropTeam("red")
		b.Account("s1", "red").Release(size(20))
		b.rest()
		b.parts(t, anvilsize.Size{}, anvilsize.Size{})
		anvilassert.Equal(t, "teams", len(b.Teams()), 0)
	})
	t.Run("unknown contract", func(t *testing.T) {
		l := NewLedger()
		l.AddShard("s1")
		l.PutRow("red", map[string]anvilsize.Size{"s1": size(10)}, 3)
		anvilassert.True(t, !l.Account("s1", "red").Reserve(size(1)), "a start without a known contract")
		anvilassert.Equal(t, "moves", len(l.Plan(0)), 0)
	})
}

// grown returns a bench whose part of s1 is lowered by a transfer without a result.
func grown(t *testing.T) (*bench, Transfer) {
	t.Helper()
	b := newBench()
	b.RecordDemand("s1", "red", size(70), b.now)
	b.step(100)
	for range 8 {
		b.now += 500
		if transfers := b.Plan(b.now); len(transfers) > 0 {
			b.parts(t, size(25), size(25))
			return b, transfers[0]
		}
	}
	t.Fatalf("nothing was given back")
	return nil, Transfer{}
}

// Guards against transfers whose result is late, lost or a refusal.
func TestResults(t *testing.T) {
	t.Run("one in flight", func(t *testing.T) {
		b, _ := grown(t)
		anvilassert.Equal(t, "moves", len(b.Plan(b.now+5000)), 0)
	})
	t.Run("rejected", func(t *testing.T) {
		b, m := grown(t)
		b.Rejected(m.ID())
		b.parts(t, size(75), size(25))
		anvilassert.Equal(t, "moves at once", len(b.Plan(b.now)), 0)
		anvilassert.Equal(t, "moves later", len(b.Plan(b.now+retryAfter)), 1)
	})
	t.Run("newer row after a conflict", func(t *testing.T) {
		b, m := grown(t)
		b.Rejected(m.ID())
		b.PutRow("red", map[string]anvilsize.Size{"s1": size(75), "s2": size(25)}, b.row+1)
		anvilassert.Equal(t, "moves", len(b.Plan(b.now)), 1)
	})
	t.Run("newer row before the answer", func(t *testing.T) {
		b, m := grown(t)
		b.PutRow("red", map[string]anvilsize.Size{"s1": size(60), "s2": size(25)}, b.row+2)
		b.Committed(m.ID(), b.row+1)
		b.parts(t, size(60), size(25))
	})
	t.Run("older row", func(t *testing.T) {
		b := newBench()
		b.PutRow("red", nil, b.row)
		b.parts(t, size(25), size(25))
	})
	t.Run("doubtful and unchanged", func(t *testing.T) {
		b, m := grown(t)
		b.OutcomeUnknown(m.ID())
		b.Refreshed("red")
		b.parts(t, size(25), size(25))
		next := b.Plan(b.now)
		anvilassert.Equal(t, "moves", len(next), 1)
		anvilassert.Equal(t, "base row", next[0].Row(), m.Row())
	})
	t.Run("doubtful and superseded", func(t *testing.T) {
		b, m := grown(t)
		b.OutcomeUnknown(m.ID())
		b.Refreshed("red")
		b.Account("s1", "red").note(size(75)) // the demand is back, so the row is right as it is
		b.step(0)
		b.parts(t, size(75), size(25))
	})
	t.Run("doubtful and read back", func(t *testing.T) {
		b, m := grown(t)
		b.OutcomeUnknown(m.ID())
		b.Committed(m.ID(), b.row+1)
		b.parts(t, size(25), size(25))
		anvilassert.Equal(t, "moves", len(b.Plan(b.now)), 0)
	})
	t.Run("many doubts", func(t *testing.T) {
		b, m := grown(t)
		for range 3 * openBound {
			b.OutcomeUnknown(m.ID())
			b.Refreshed("red")
			m = b.Plan(b.now)[0]
		}
		anvilassert.True(t, len(b.teams["red"].open) <= openBound, "%d open moves", len(b.teams["red"].open))
		b.parts(t, size(25), size(25))
	})
	t.Run("unknown move", func(t *testing.T) {
		b := newBench()
		b.Committed(99, 99)
		b.Rejected(99)
		b.OutcomeUnknown(99)
		b.Refreshed("none")
		b.parts(t, size(25), size(25))
	})
}

// Guards against parts and usage that outlive the ownership of their shard.
func TestShards(t *testing.T) {
	t.Run("disowned", func(t *testing.T) {
		b := newBench()
		a := b.Account("s1", "red")
		a.Adopt(size(5))
		b.RemoveShard("s1")
		anvilassert.True(t, !a.Reserve(size(1)), "a start in a lost shard")
		anvilassert.Equal(t, "used", b.Used("red"), anvilsize.Size{})
		anvilassert.True(t, !b.Account("s1", "red").Reserve(size(1)), "a start in a foreign shard")
	})
	t.Run("foreign parts stay", func(t *testing.T) {
		b := newBench()
		b.RemoveShard("s2")
		b.RecordDemand("s1", "red", size(30), b.now)
		transfers := b.step(100)
		anvilassert.Equal(t, "part of s2", transfers[0].Parts()["s2"], size(25))
		anvilassert.Equal(t, "shards", transfers[0].Shards(), []string{"s1"})
	})
	t.Run("owned again", func(t *testing.T) {
		b := newBench()
		b.RemoveShard("s1")
		b.AddShard("s1")
		b.parts(t, size(25), size(25))
	})
	t.Run("vanished shard kept", func(t *testing.T) {
		b := newBench()
		b.PutRow("red", map[string]anvilsize.Size{"old": size(20), "s1": size(25), "s2": size(25)}, b.row+1)
		anvilassert.Equal(t, "moves", len(b.step(100)), 0)
	})
	t.Run("vanished shard reclaimed", func(t *testing.T) {
		b := newBench(WithReclaim())
		b.PutRow("red", map[string]anvilsize.Size{"old": size(20), "s1": size(25), "s2": size(25)}, b.row+1)
		anvilassert.Equal(t, "part of old", b.step(100)[0].Parts()["old"], anvilsize.Size{})
	})
}

// A floor that can't start the smallest request must not strand half of a small limit.
func TestLeastFloor(t *testing.T) {
	shards := []string{"s1", "s2", "s3", "s4", "s5", "s6"}
	for name, c := range map[string]struct {
		limit   anvilsize.Size
		largest anvilsize.Size
	}{
		"too small to keep": {anvilsize.New(4000, 8192, 0), anvilsize.New(4000, 8192, 0)},
		"kept":              {anvilsize.New(12000, 12288, 0), anvilsize.New(7000, 7168, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger(WithLeastFloor(anvilsize.New(500, 256, 0)))
			l.SetShards(shards)
			l.SetTeam("a", c.limit, 1)
			if got := l.Largest("a"); got != c.largest {
				t.Fatalf("largest part of a shard: got %s, want %s", got, c.largest)
			}
		})
	}
}
