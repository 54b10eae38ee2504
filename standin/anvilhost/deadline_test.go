package anvilhost

import "testing"

// Guards against a start that waited in a buffer while the worker was paused and then runs: the team's limit or the API
// key that allowed it may have been withdrawn since.
func TestLateStart(t *testing.T) {
	t.Run("start refused after its deadline", func(t *testing.T) {
		f := newFixture(t)
		f.fence(1, 0)
		deadline := f.host.clock.Now() + 2000
		f.clock.Advance(2001)
		f.start("a", "batch", WithStartDeadline(deadline)).wantReply("not-run", "stale")
	})
	t.Run("start runs before its deadline", func(t *testing.T) {
		f := newFixture(t)
		f.fence(1, 0)
		f.start("a", "batch", WithStartDeadline(f.host.clock.Now()+2000)).wantReply("running", "")
	})
	t.Run("go refused after its deadline", func(t *testing.T) {
		f := newFixture(t)
		f.fence(1, 0)
		f.start("a", "gang", WithHold(true)).wantReply("held", "")
		deadline := f.host.clock.Now() + 2000
		f.clock.Advance(2001)
		var replies []ControlReply
		if err := f.host.Control(shardName, 1, "a", "go", deadline, func(r ControlReply) { replies = append(replies, r) }); err != nil {
			t.Fatal(err)
		}
		if len(replies) != 1 || replies[0].OK() || replies[0].Code() != "stale" {
			t.Fatalf("go = %+v, want it refused as stale", replies)
		}
	})
}
