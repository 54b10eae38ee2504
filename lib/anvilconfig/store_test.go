package anvilconfig

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/internal/anvilassert"
)

func redContract(rowVersion int64, limit int64) Entry {
	return ContractEntry("config/contract/red", rowVersion, NewContract("red", WithLimit(anvilsize.New(limit, 0, 0))))
}

func limitOf(s *Store) int64 {
	c, _ := s.Snapshot().Contract("red")
	return c.Limit().CPU()
}

// Guards against a configuration that reverts or whose version is ahead of its content.
func TestStore(t *testing.T) {
	t.Run("newer row", func(t *testing.T) {
		s := NewStore()
		anvilassert.True(t, s.Apply(1, []Entry{redContract(10, 5)}), "no change")
		anvilassert.True(t, s.Apply(2, []Entry{redContract(11, 6)}), "no change")
		anvilassert.Equal(t, "limit", limitOf(s), int64(6))
		anvilassert.Equal(t, "row version", s.Snapshot().ContractRowVersion("red"), int64(11))
	})
	t.Run("stale read", func(t *testing.T) {
		s := NewStore()
		s.Apply(2, []Entry{redContract(11, 6)})
		anvilassert.True(t, !s.Apply(1, []Entry{redContract(10, 5)}), "a stale read changed something")
		anvilassert.Equal(t, "limit", limitOf(s), int64(6))
		anvilassert.Equal(t, "version", s.Snapshot().Version(), int64(2))
	})
	t.Run("deleted row stays deleted", func(t *testing.T) {
		s := NewStore()
		s.Apply(2, []Entry{DeletedEntry("config/contract/red", 12)})
		s.Apply(2, []Entry{redContract(11, 6)})
		_, ok := s.Snapshot().Contract("red")
		anvilassert.True(t, !ok, "a deleted contract was restored")
	})
	t.Run("push in order", func(t *testing.T) {
		s := NewStore()
		s.Push(1, []Entry{redContract(10, 5)})
		anvilassert.Equal(t, "version", s.Snapshot().Version(), int64(1))
		anvilassert.True(t, !s.HasGap(), "a gap")
	})
	t.Run("push with a gap", func(t *testing.T) {
		s := NewStore()
		s.Push(2, []Entry{redContract(11, 6)})
		anvilassert.Equal(t, "version", s.Snapshot().Version(), int64(0))
		anvilassert.Equal(t, "limit", limitOf(s), int64(6))
		anvilassert.True(t, s.HasGap(), "no gap")
		s.Push(1, nil)
		anvilassert.Equal(t, "version", s.Snapshot().Version(), int64(2))
		anvilassert.True(t, !s.HasGap(), "a gap")
	})
	t.Run("snapshot is immutable", func(t *testing.T) {
		s := NewStore()
		s.Apply(1, []Entry{redContract(10, 5)})
		old := s.Snapshot()
		s.Apply(2, []Entry{redContract(11, 6)})
		anvilassert.Equal(t, "version", old.Version(), int64(1))
		anvilassert.Equal(t, "row version", old.ContractRowVersion("red"), int64(10))
	})
	t.Run("entries", func(t *testing.T) {
		s := NewStore()
		s.Apply(3, []Entry{
			redContract(10, 5), LeaveEntry("config/leave/w1", 9, "w1"), DeletedEntry("config/key/b", 8),
			KeyEntry("config/key/a", 7, NewKey(HashKey("secret"), "red", TeamRole, "note")),
		})
		var deleted []bool
		for _, e := range s.Entries() {
			deleted = append(deleted, e.Deleted())
		}
		anvilassert.Equal(t, "deleted entries", deleted, []bool{false, false, true, false})
		c, ok := s.Entries()[0].Contract()
		anvilassert.True(t, ok && c.Team() == "red", "no contract")
		k, ok := s.Entries()[1].Key()
		anvilassert.True(t, ok && k.Label() == "note", "no key")
		w, ok := s.Entries()[3].Leave()
		anvilassert.True(t, ok && w == "w1" && s.Entries()[3].RowVersion() == 9, "no leave mark")
		anvilassert.True(t, s.Snapshot().Leaving("w1"), "the instance is not marked as leaving")
		anvilassert.Equal(t, "leaves", s.Snapshot().Leaves(), []string{"w1"})
		_, ok = s.Entries()[2].Contract()
		anvilassert.True(t, !ok && s.Entries()[2].Name() == "config/key/b", "a deleted entry has a contract")
	})
	t.Run("keys", func(t *testing.T) {
		s := NewStore()
		s.Apply(1, []Entry{KeyEntry("config/key/a", 7, NewKey(HashKey("secret"), "red", TeamRole, ""))})
		k, ok := s.Snapshot().Authenticate("secret")
		anvilassert.True(t, ok && k.Team() == "red" && k.Role() == TeamRole, "the secret of a key is not accepted")
		_, ok = s.Snapshot().Authenticate("other")
		anvilassert.True(t, !ok, "a secret without a key is accepted")
		s.Apply(2, []Entry{DeletedEntry("config/key/a", 8)})
		_, ok = s.Snapshot().Authenticate("secret")
		anvilassert.True(t, !ok && len(s.Snapshot().Keys()) == 0, "a revoked key is accepted")
	})
	t.Run("contract", func(t *testing.T) {
		c := NewContract("red", WithWeight(0), WithRate(5), WithMaxInFlight(6), WithPools("cpu"))
		anvilassert.Equal(t, "weight", c.Weight(), int64(1))
		anvilassert.Equal(t, "rate", c.Rate(), int64(5))
		anvilassert.Equal(t, "requests in flight", c.MaxInFlight(), int64(6))
		anvilassert.True(t, c.Allows("cpu") && !c.Allows("gpu"), "pools are not kept: %v", c.Pools())
		anvilassert.True(t, NewContract("red").Allows("gpu"), "no pools must mean all")
	})
}

// Guards against a result that depends on the order in which changes are pushed.
func TestStoreOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "changes")
		order := rapid.Permutation(sequence(n)).Draw(t, "order")
		s, inOrder := NewStore(), NewStore()
		var version int64
		for i := range n {
			inOrder.Push(int64(i+1), []Entry{redContract(int64(i+1), int64(i+1))})
		}
		for _, i := range order {
			s.Push(int64(i), []Entry{redContract(int64(i), int64(i))})
			anvilassert.True(t, s.Snapshot().Version() >= version, "the version decreased")
			version = s.Snapshot().Version()
		}
		anvilassert.Equal(t, "version", s.Snapshot().Version(), inOrder.Snapshot().Version())
		anvilassert.Equal(t, "contracts", s.Snapshot().Contracts(), inOrder.Snapshot().Contracts())
	})
}

func sequence(n int) []int {
	var out []int
	for i := range n {
		out = append(out, i+1)
	}
	return out
}

// Guards against a status that is still trusted after its confirmation or its peers' answers have expired.
func TestStatus(t *testing.T) {
	peers := []string{"a", "b"}
	assertStatus := func(t *testing.T, c *Confirmation, now anvilclock.Millis, want Status) {
		t.Helper()
		anvilassert.Equal(t, "status at "+now.String(), c.Status(now, peers), want)
		anvilassert.Equal(t, "trusted at "+now.String(), c.Until(now) >= now, want.Trusted())
	}
	duringOutage := func(asked anvilclock.Millis) *Confirmation {
		c := NewConfirmation()
		c.Confirmed(1000)
		c.TableFailed(1500)
		c.PeerTableFailed("a", asked)
		c.PeerTableFailed("b", asked)
		return c
	}
	t.Run("never confirmed", func(t *testing.T) {
		c := NewConfirmation()
		c.TableFailed(0)
		c.PeerTableFailed("a", 0)
		c.PeerTableFailed("b", 0)
		c.PeerConfirmed("a", 0)
		assertStatus(t, c, 0, Unconfirmed)
	})
	t.Run("ages", func(t *testing.T) {
		c := NewConfirmation()
		c.Confirmed(1000)
		assertStatus(t, c, 2500, Current)
		assertStatus(t, c, 2501, Expiring)
		assertStatus(t, c, 4000, Expiring)
		assertStatus(t, c, 4001, Unconfirmed)
		anvilassert.Equal(t, "peers", c.Peers(), peers)
	})
	t.Run("max age", func(t *testing.T) {
		c := NewConfirmation(WithMaxAge(100))
		c.Confirmed(1000)
		assertStatus(t, c, 1101, Unconfirmed)
	})
	t.Run("peer confirms", func(t *testing.T) {
		c := duringOutage(4500)
		c.PeerConfirmed("a", 4600)
		assertStatus(t, c, 5000, Current)
		assertStatus(t, c, 7700, Unconfirmed)
	})
	t.Run("outage", func(t *testing.T) {
		c := duringOutage(4500)
		assertStatus(t, c, 4600, Outage)
		assertStatus(t, c, 6000, Outage)
		assertStatus(t, c, 6001, Unconfirmed)
	})
	t.Run("own reads succeed", func(t *testing.T) {
		c := duringOutage(4500)
		c.Confirmed(1200)
		anvilassert.True(t, c.TableReachable(), "the table counts as unreachable")
		assertStatus(t, c, 4600, Unconfirmed)
	})
	t.Run("unresponsive peer", func(t *testing.T) {
		c := duringOutage(4500)
		c.PeerUnanswered("b", 4600)
		assertStatus(t, c, 4700, Unconfirmed)
	})
	t.Run("fewer peers without a read", func(t *testing.T) {
		c := duringOutage(4500)
		c.Status(4500, []string{"a", "b", "c"})
		assertStatus(t, c, 4600, Unconfirmed)
	})
	t.Run("new instance", func(t *testing.T) {
		c := duringOutage(4500)
		c.PeerIntroduced("new", 4550)
		assertStatus(t, c, 4600, Unconfirmed)
	})
	t.Run("new instance after the read began", func(t *testing.T) {
		c := duringOutage(4500)
		c.PeerIntroduced("new", 1100)
		c.Confirmed(1050)
		anvilassert.True(t, slices.Contains(c.Peers(), "new"), "the new instance was removed")
		c.Confirmed(1200)
		anvilassert.True(t, !slices.Contains(c.Peers(), "new"), "a peer without a session was kept")
	})
	t.Run("answer to an older request", func(t *testing.T) {
		c := duringOutage(4500)
		c.PeerTableFailed("a", 3000)
		assertStatus(t, c, 6000, Outage)
	})
}

// Guards against changes by an instance that other instances don't know.
func TestIntroduction(t *testing.T) {
	t.Run("before the first read", func(t *testing.T) {
		i := NewIntroduction()
		i.Answered("a")
		anvilassert.True(t, !i.Done(), "done without a read")
	})
	t.Run("only instance", func(t *testing.T) {
		i := NewIntroduction()
		i.SetInstances(nil)
		anvilassert.True(t, i.Done(), "not done without other instances")
	})
	t.Run("all answered", func(t *testing.T) {
		i := NewIntroduction()
		i.SetInstances([]string{"a", "b"})
		i.Answered("a")
		anvilassert.Equal(t, "missing", i.Missing(), []string{"b"})
		anvilassert.True(t, !i.Done(), "done before all have answered")
		i.Answered("b")
		i.SetInstances([]string{"a", "b", "later"})
		anvilassert.True(t, i.Done(), "no longer done because of a later instance")
	})
}
