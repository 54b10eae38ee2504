package anvilhost

import (
	"fmt"
	"strings"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Guards against starts by an instance that no longer owns the shard or whose lease has expired.
func TestEpochs(t *testing.T) {
	runEach(t, map[string]func(f *fixture){
		"no fence": func(f *fixture) {
			f.host.shards = map[string]*shard{}
			f.start("a", "batch").wantReply("not-run", "stale")
		},
		"older epoch": func(f *fixture) {
			f.fence(2, 0)
			f.start("a", "batch").wantReply("not-run", "stale")
		},
		"newer epoch without its fence": func(f *fixture) { f.startAt(2, "a", "batch").wantReply("not-run", "stale") },
		"fence with an older epoch": func(f *fixture) {
			f.fence(5, 0)
			if r := f.fence(4, 0); r.OK() || r.Epoch() != 5 {
				f.t.Fatalf("report = %+v, want refusal with epoch 5", r)
			}
			f.startAt(5, "a", "batch").wantReply("running", "")
		},
		"older epoch does not renew the lease": func(f *fixture) {
			f.fence(5, 0)
			f.advance(leaseTime - 1)
			f.fence(4, 0)
			f.advance(1)
			f.startAt(5, "a", "batch").wantReply("not-run", "stale")
		},
		"control with another epoch": func(f *fixture) {
			f.start("a", "service")
			for _, epoch := range []int64{0, 2} {
				if replies := f.sendControl(epoch, "a", "stop"); replies[0].OK() || replies[0].Code() != "stale" {
					f.t.Fatalf("stop at epoch %d = %+v, want stale", epoch, replies)
				}
			}
			wantTasks(f, f.fence(1, 0), "a running")
		},
		"a new owner finds the tasks": func(f *fixture) {
			f.start("a", "service")
			f.start("b", "call", withInstructions("hi"))
			r := f.fence(2, 0)
			wantTasks(f, r, "a running")
			wantEnded(f, r, "b done")
		},
		"another shard": func(f *fixture) {
			f.start("a", "service")
			if _, err := f.host.Fence("other", 1, leaseTime, 0); err != nil {
				f.t.Fatalf("Fence: %v", err)
			}
			var replies []ControlReply
			if err := f.host.Control("other", 1, "a", "stop", 0, func(r ControlReply) { replies = append(replies, r) }); err != nil {
				f.t.Fatalf("Control: %v", err)
			}
			if replies[0].OK() || replies[0].Code() != "forbidden" {
				f.t.Fatalf("reply = %+v, want forbidden", replies[0])
			}
		},
	})
}

// Guards against a task that continues, or reports success, after the lease has expired and the shard's owner may have
// started it elsewhere.
func TestLeaseExpiry(t *testing.T) {
	runEach(t, map[string]func(f *fixture){
		"after a pause": func(f *fixture) {
			call := f.start("c", "call", withInstructions("work=500"))
			f.start("b", "batch", WithRunTime(600))
			f.pause(leaseTime)
			f.host.Tick()
			call.wantReply("stopped", "lease")
			wantEnded(f, f.fence(1, 0), "c stopped lease", "b stopped lease")
		},
		"a fence after the pause does not restart the task": func(f *fixture) {
			f.start("b", "batch", WithRunTime(600))
			f.pause(leaseTime + 5000)
			r := f.fence(1, 0)
			wantTasks(f, r)
			wantEnded(f, r, "b stopped lease")
		},
		"a start after the pause": func(f *fixture) {
			f.pause(leaseTime)
			f.start("a", "call").wantReply("not-run", "stale")
		},
		"a checkpoint requested after the pause": func(f *fixture) {
			f.start("b", "batch", WithRunTime(600))
			f.pause(leaseTime)
			f.mustControl("b", "checkpoint", false, "stopped")
			if len(f.saves) != 0 {
				f.t.Fatalf("saved %v after the lease expired", f.saves)
			}
		},
		"a checkpoint written before the pause": func(f *fixture) {
			f.start("b", "batch", WithRunTime(600))
			f.sendControl(1, "b", "checkpoint")
			f.pause(leaseTime)
			f.host.Saved("b", nil)
			wantEnded(f, f.fence(1, 0), "b stopped lease")
		},
		"a held task has not run": func(f *fixture) {
			f.start("h", "gang", WithHold(true))
			f.advance(leaseTime)
			wantEnded(f, f.fence(1, 0), "h not-run lease")
		},
		"ids are remembered": func(f *fixture) {
			f.start("b", "batch", WithRunTime(60_000))
			f.advance(leaseTime)
			f.fence(1, 0)
			f.start("b", "batch").wantReply("stopped", "duplicate")
		},
		"the trace dates the end at the expiry": func(f *fixture) {
			f.start("b", "batch", WithRunTime(60_000))
			f.pause(leaseTime + 700)
			f.host.Tick()
			if e := f.events[len(f.events)-1]; e.Kind() != EventEnd || e.At() != 1000+leaseTime {
				f.t.Fatalf("last event = %s at %d, want an end at %d", e.Kind(), e.At(), 1000+leaseTime)
			}
		},
		"a renewed lease keeps the task running": func(f *fixture) {
			f.start("b", "batch", WithRunTime(3*leaseTime))
			for range 3 {
				f.advance(leaseTime - 1)
				f.fence(1, 0)
			}
			wantTasks(f, f.fence(1, 0), "b running")
			f.advance(3)
			wantEnded(f, f.fence(1, 0), "b done")
		},
		"a pause within the lease does not count as work": func(f *fixture) {
			f.start("b", "batch", WithRunTime(1000))
			f.pause(leaseTime - 1)
			f.host.Tick()
			wantTasks(f, f.fence(1, 0), "b running")
		},
	})
}

// Guards against an owner that misses the end of a task or reads it twice.
func TestCursor(t *testing.T) {
	f := newLeasedFixture(t)
	for i := range 3 {
		f.start(fmt.Sprint(i), "call")
	}
	t.Run("all", func(t *testing.T) {
		f.t = t
		r := f.fence(1, 0)
		wantEnded(f, r, "0 done", "1 done", "2 done")
		wantEnded(f, f.fence(1, r.Cursor()))
	})
	t.Run("after a position", func(t *testing.T) { f.t = t; wantEnded(f, f.fence(1, 1), "1 done", "2 done") })
	t.Run("cursor from an earlier start of the process", func(t *testing.T) {
		f.t = t
		wantEnded(f, f.fence(1, 99), "0 done", "1 done", "2 done")
	})
	t.Run("after the retention time", func(t *testing.T) {
		f.t = t
		f.pause(retention)
		wantEnded(f, f.fence(1, 0))
		f.start("4", "call")
		wantEnded(f, f.fence(1, 0), "4 done")
	})
}

// Guards against kept answers that use memory without bound, and against an answer that is dropped without a
// reason code.
func TestEndedLogBounds(t *testing.T) {
	large := WithBody([]byte(strings.Repeat("x", maxAnswer)))
	t.Run("a large answer is replaced by a code", func(t *testing.T) {
		f := newLeasedFixture(t)
		f.start("a", "call", large).wantBody("answer a ", "xxx")
		f.start("a", "call", large).wantReply("done", codeLarge)
	})
	t.Run("the oldest answers are dropped first", func(t *testing.T) {
		l := newEndedLog()
		for i := range maxAnswerTotal/maxAnswer + 2 {
			l.add(&EndedTask{id: fmt.Sprint(i), answer: make([]byte, maxAnswer)})
		}
		if l.bytes > maxAnswerTotal || l.byID["1"].code != codeLarge || l.byID["2"].code != "" {
			t.Fatalf("kept %d bytes, codes %q %q", l.bytes, l.byID["1"].code, l.byID["2"].code)
		}
	})
	t.Run("a full list refuses starts and accepts stops", func(t *testing.T) {
		f := newLeasedFixture(t)
		for i := range maxTaskIDs - reservedForStops {
			f.host.ended.add(&EndedTask{id: fmt.Sprint(i), at: f.clock.Now()})
		}
		f.start("a", "call").wantReply("not-run", "room")
		f.mustControl("a", "stop", true, "not-run")
	})
}

// Guards against a usage that is reported before the platform's measurements, which lag, could show it.
func TestUsageLag(t *testing.T) {
	f := newLeasedFixture(t, WithUsageLag(1000))
	f.start("a", "service", withInstructions("use=700,64,1"))
	for _, tc := range []struct {
		name string
		wait anvilclock.Millis
		want anvilsize.Size
	}{
		{"before the lag", 999, anvilsize.Size{}},
		{"after the lag", 1, anvilsize.New(700, 64, 1)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f.advance(tc.wait)
			if got := f.fence(1, 0).Tasks()[0].Usage(); got != tc.want {
				t.Fatalf("use = %s, want %s", got, tc.want)
			}
		})
	}
}
