package anvilrelay

import (
	"testing"

	"anvilhold.org/lib/anvilclock"
)

// newRelay returns a relay with the configuration of version 3, which was confirmed now, and its clock.
func newRelay(t *testing.T) (*Relay, *anvilclock.Manual) {
	t.Helper()
	clock := anvilclock.NewManual(10_000)
	r := NewRelay(clock)
	r.Add(knownRow, document(knownVersion))
	r.Confirm(clock.Now(), cursor, []string{"d2"})
	return r, clock
}

func assertUpdate(t *testing.T, r *Relay, q Query, rows []int64, lead anvilclock.Millis, mark, version int64) {
	t.Helper()
	s, err := r.Answer(t.Context(), q)
	assertEqual(t, "error", err, nil)
	assertEqual(t, "row and base", []int64{s.RowVersion(), s.Base()}, rows)
	assertEqual(t, "lead", s.Lead(), lead)
	assertEqual(t, "mark and version", []int64{s.Mark(), s.Version()}, []int64{mark, version})
	assertEqual(t, "evacuated domains", s.Evacuated(), []string{"d2"})
}

func TestAnswer(t *testing.T) {
	upToDate := NewQuery(knownRow, 10_000, maxWait)
	t.Run("a newer configuration", func(t *testing.T) {
		// Guards against a change that waits for the next confirmation.
		r, clock := newRelay(t)
		clock.Advance(100)
		go r.Add(45, document(4))
		assertUpdate(t, r, upToDate, []int64{45, knownRow}, -100, 10_000, cursor)
	})
	t.Run("a newer confirmation", func(t *testing.T) {
		// Guards against confirmations that get older with each instance on their way.
		r, _ := newRelay(t)
		go r.Confirm(10_050, 70, []string{"d2"})
		assertUpdate(t, r, upToDate, []int64{0, 0}, 50, 10_050, 70)
	})
	t.Run("nothing newer", func(t *testing.T) {
		// Guards against a caller that waits for longer than its configuration stays confirmed.
		r, _ := newRelay(t)
		assertUpdate(t, r, NewQuery(knownRow, 10_000, 1), []int64{0, 0}, 0, 10_000, cursor)
	})
	t.Run("an older configuration or confirmation", func(t *testing.T) {
		// Guards against a version that decreases when answers arrive out of order.
		r, _ := newRelay(t)
		r.Add(knownRow-1, document(2))
		r.Confirm(9_000, cursor-1, []string{"d2"})
		assertUpdate(t, r, NewQuery(0, 0, maxWait), []int64{knownRow, 0}, 0, 10_000, cursor)
	})
	t.Run("an old confirmation, or none", func(t *testing.T) {
		// Guards against an instance without contact to the store that others go on asking.
		r, clock := newRelay(t)
		clock.Advance(maxAge + 1)
		for _, r := range []*Relay{r, NewRelay(clock)} {
			_, err := r.Answer(t.Context(), NewQuery(0, 0, maxWait))
			assertEqual(t, "error", err, errStale)
		}
	})
}
