package anvilplatform

import (
	"testing"
	"time"

	"anvilhold.org/lib/anvilclock"
)

// never is dice that hit no call with a share below 100.
type never struct{}

func (never) Percent() int { return 99 }

func newPlatform() (*Platform, *anvilclock.Manual) {
	clock := anvilclock.NewManual(1000)
	return New(clock, never{}, 500), clock
}

func assertOutcome(t *testing.T, p Page, want Outcome) {
	t.Helper()
	if p.Outcome() != want {
		t.Fatalf("fate %d, want %d", p.Outcome(), want)
	}
}

// create returns a transaction that writes a row which does not exist.
func create(key, value string) *Tx {
	t := &Tx{}
	t.Expect(NewPlace("mine", "p", key), 0)
	t.Set(NewPlace("mine", "p", key), []byte(value))
	return t
}

func TestTransact(t *testing.T) {
	t.Run("conditions hold or nothing is done", func(t *testing.T) {
		// Guards against a stand-in that lets two instances hold one row.
		s, _ := newPlatform()
		assertOutcome(t, s.Transact(create("a", "1")), Answered)
		p := s.Transact(create("a", "2"))
		assertOutcome(t, p, Conflict)
		if len(p.Rows()) != 1 || string(p.Rows()[0].Value()) != "1" {
			t.Fatalf("the conflict shows %v", p.Rows())
		}
	})
	t.Run("the tables of others are refused", func(t *testing.T) {
		// Guards against a system that writes its own configuration.
		s, _ := newPlatform()
		tx := &Tx{}
		tx.Set(NewPlace(TableOperator, "", "config"), nil)
		assertOutcome(t, s.Transact(tx), Refused)
	})
	t.Run("a part that is behind by a second refuses", func(t *testing.T) {
		// Guards against a slow store that takes any number of transactions.
		s, _ := newPlatform()
		s.Inject(Slow, 10_000, 200)
		assertOutcome(t, s.Transact(create("a", "1")), Answered)
		assertOutcome(t, s.Transact(create("b", "1")), Answered)
		assertOutcome(t, s.Transact(create("c", "1")), Overloaded)
	})
	t.Run("a lost answer is done", func(t *testing.T) {
		// Guards against faults that test nothing.
		s, _ := newPlatform()
		s.Inject(Lose, 1000, 100)
		assertOutcome(t, s.Transact(create("a", "1")), ReplyLost)
		if p := s.Read("mine", "p", "", ""); len(p.Rows()) != 1 {
			t.Fatal("the row was not written")
		}
	})
}

func TestFollow(t *testing.T) {
	t.Run("a change wakes those who wait", func(t *testing.T) {
		// Guards against feeds that only answer when their wait is over.
		s, _ := newPlatform()
		reply := make(chan Page, 1)
		s.Follow("mine", 0, 5000, reply)
		s.Transact(create("a", "1"))
		if p := <-reply; len(p.Rows()) != 1 {
			t.Fatalf("%d rows", len(p.Rows()))
		}
	})
	t.Run("a history that was dropped is said to be gone", func(t *testing.T) {
		// Guards against a reader that misses changes without knowing.
		s, clock := newPlatform()
		s.Transact(create("a", "1"))
		s.Inject(Compact, 0, 0)
		clock.Advance(deafTime)
		s.Tick()
		reply := make(chan Page, 1)
		s.Follow("mine", 0, 0, reply)
		assertOutcome(t, <-reply, Compacted)
	})
}

func TestList(t *testing.T) {
	t.Run("a silent worker is removed after three beats", func(t *testing.T) {
		// Guards against a list that never shrinks.
		s, clock := newPlatform()
		s.Heartbeat("w1", []byte("{}"))
		clock.Advance(missedHeartbeats * 500)
		s.Tick()
		if p := s.Read(TableWorkers, "", "", ""); len(p.Rows()) != 1 {
			t.Fatal("removed too early")
		}
		clock.Advance(1)
		s.Tick()
		if p := s.Read(TableWorkers, "", "", ""); len(p.Rows()) != 0 {
			t.Fatal("not removed")
		}
	})
	t.Run("tickets lapse and fit one step and worker", func(t *testing.T) {
		// Guards against starts on workers that were not approved.
		now := time.UnixMilli(5000)
		k := Ticket("j.0.0", "w1", now)
		for name, ok := range map[string]bool{
			"fits":   ValidTicket(k, "j.0.0", "w1", now.Add(ticketTime)),
			"worker": !ValidTicket(k, "j.0.0", "w2", now),
			"step":   !ValidTicket(k, "j.0.1", "w1", now),
			"lapsed": !ValidTicket(k, "j.0.0", "w1", now.Add(ticketTime+time.Millisecond)),
		} {
			if !ok {
				t.Errorf("%s is wrong", name)
			}
		}
	})
}
