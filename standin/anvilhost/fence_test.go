package anvilhost

import (
	"fmt"
	"strings"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Guards against starts by an owner that has been replaced, or that has no lease.
func TestEpochs(t *testing.T) {
	each(t, map[string]func(f *fixture){
		"no fence": func(f *fixture) {
			f.host.shards = map[string]*shard{}
			f.start("a", "batch").want("not-run", "stale")
		},
		"older epoch": func(f *fixture) {
			f.fence(2, 0)
			f.start("a", "batch").want("not-run", "stale")
		},
		"newer epoch without its fence": func(f *fixture) { f.startAt(2, "a", "batch").want("not-run", "stale") },
		"fence with an older epoch": func(f *fixture) {
			f.fence(5, 0)
			if r := f.fence(4, 0); r.OK() || r.Epoch() != 5 {
				f.t.Fatalf("report = %+v, want refusal with epoch 5", r)
			}
			f.startAt(5, "a", "batch").want("running", "")
		},
		"older epoch does not renew the lease": func(f *fixture) {
			f.fence(5, 0)
			f.run(leaseTime - 1)
			f.fence(4, 0)
			f.run(1)
			f.startAt(5, "a", "batch").want("not-run", "stale")
		},
		"control with another epoch": func(f *fixture) {
			f.start("a", "service")
			for _, epoch := range []int64{0, 2} {
				if acks := f.ask(epoch, "a", "stop"); acks[0].OK() || acks[0].Code() != "stale" {
					f.t.Fatalf("stop at epoch %d = %+v, want stale", epoch, acks)
				}
			}
			wantTasks(f, f.fence(1, 0), "a running")
		},
		"a new owner finds the tasks": func(f *fixture) {
			f.start("a", "service")
			f.start("b", "call", text("hi"))
			r := f.fence(2, 0)
			wantTasks(f, r, "a running")
			wantEnded(f, r, "b done")
		},
		"another shard": func(f *fixture) {
			f.start("a", "service")
			if _, err := f.host.Fence("other", 1, leaseTime, 0); err != nil {
				f.t.Fatalf("Fence: %v", err)
			}
			var acks []Ack
			if err := f.host.Control("other", 1, "a", "stop", 0, func(a Ack) { acks = append(acks, a) }); err != nil {
				f.t.Fatalf("Control: %v", err)
			}
			if acks[0].OK() || acks[0].Code() != "forbidden" {
				f.t.Fatalf("ack = %+v, want forbidden", acks[0])
			}
		},
	})
}

// Guards against a task that goes on, or reports success, after its owner may have restarted it.
func TestLapse(t *testing.T) {
	each(t, map[string]func(f *fixture){
		"after a pause": func(f *fixture) {
			call := f.start("c", "call", text("work=500"))
			f.start("b", "batch", WithRun(600))
			f.pause(leaseTime)
			f.host.Tick()
			call.want("stopped", "lease")
			wantEnded(f, f.fence(1, 0), "c stopped lease", "b stopped lease")
		},
		"a fence after the pause does not revive it": func(f *fixture) {
			f.start("b", "batch", WithRun(600))
			f.pause(leaseTime + 5000)
			r := f.fence(1, 0)
			wantTasks(f, r)
			wantEnded(f, r, "b stopped lease")
		},
		"a start after the pause": func(f *fixture) {
			f.pause(leaseTime)
			f.start("a", "call").want("not-run", "stale")
		},
		"a checkpoint asked for after the pause": func(f *fixture) {
			f.start("b", "batch", WithRun(600))
			f.pause(leaseTime)
			f.control("b", "checkpoint", false, "stopped")
			if len(f.saves) != 0 {
				f.t.Fatalf("saved %v after the lapse", f.saves)
			}
		},
		"a checkpoint written before the pause": func(f *fixture) {
			f.start("b", "batch", WithRun(600))
			f.ask(1, "b", "checkpoint")
			f.pause(leaseTime)
			f.host.Saved("b", nil)
			wantEnded(f, f.fence(1, 0), "b stopped lease")
		},
		"a held task has not run": func(f *fixture) {
			f.start("h", "gang", WithHold(true))
			f.run(leaseTime)
			wantEnded(f, f.fence(1, 0), "h not-run lease")
		},
		"ids are remembered": func(f *fixture) {
			f.start("b", "batch", WithRun(60_000))
			f.run(leaseTime)
			f.fence(1, 0)
			f.start("b", "batch").want("stopped", "duplicate")
		},
		"the trace dates the end at the lapse": func(f *fixture) {
			f.start("b", "batch", WithRun(60_000))
			f.pause(leaseTime + 700)
			f.host.Tick()
			if e := f.events[len(f.events)-1]; e.Kind() != EventEnd || e.At() != 1000+leaseTime {
				f.t.Fatalf("last event = %s at %d, want an end at %d", e.Kind(), e.At(), 1000+leaseTime)
			}
		},
		"a renewed lease keeps it": func(f *fixture) {
			f.start("b", "batch", WithRun(3*leaseTime))
			for range 3 {
				f.run(leaseTime - 1)
				f.fence(1, 0)
			}
			wantTasks(f, f.fence(1, 0), "b running")
			f.run(3)
			wantEnded(f, f.fence(1, 0), "b done")
		},
		"a short pause is no work": func(f *fixture) {
			f.start("b", "batch", WithRun(1000))
			f.pause(leaseTime - 1)
			f.host.Tick()
			wantTasks(f, f.fence(1, 0), "b running")
		},
	})
}

// Guards against an owner that misses the end of a task or reads the same one again.
func TestCursor(t *testing.T) {
	f := leased(t)
	for i := range 3 {
		f.start(fmt.Sprint(i), "call")
	}
	t.Run("all", func(t *testing.T) {
		f.t = t
		r := f.fence(1, 0)
		wantEnded(f, r, "0 done", "1 done", "2 done")
		wantEnded(f, f.fence(1, r.Cursor()))
	})
	t.Run("the rest", func(t *testing.T) { f.t = t; wantEnded(f, f.fence(1, 1), "1 done", "2 done") })
	t.Run("cursor of an earlier process", func(t *testing.T) {
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

// Guards against memory that grows with answers, and against an answer that is silently cut.
func TestLedgerBounds(t *testing.T) {
	large := WithBody([]byte(strings.Repeat("x", maxAnswer)))
	t.Run("a large answer is marked", func(t *testing.T) {
		f := leased(t)
		f.start("a", "call", large).wantBody("answer a ", "xxx")
		f.start("a", "call", large).want("done", codeLarge)
	})
	t.Run("old answers go first", func(t *testing.T) {
		l := newLedger()
		for i := range maxAnswers/maxAnswer + 2 {
			l.add(&Ended{id: fmt.Sprint(i), answer: make([]byte, maxAnswer)})
		}
		if l.bytes > maxAnswers || l.byID["1"].code != codeLarge || l.byID["2"].code != "" {
			t.Fatalf("kept %d bytes, codes %q %q", l.bytes, l.byID["1"].code, l.byID["2"].code)
		}
	})
	t.Run("a full list refuses starts and takes stops", func(t *testing.T) {
		f := leased(t)
		for i := range maxKnown - stopReserve {
			f.host.ended.add(&Ended{id: fmt.Sprint(i), at: f.clock.Now()})
		}
		f.start("a", "call").want("not-run", "room")
		f.control("a", "stop", true, "not-run")
	})
}

// Guards against reported use that is newer than the platform's.
func TestUsageLag(t *testing.T) {
	f := leased(t, WithUsageLag(1000))
	f.start("a", "service", text("use=700,64,1"))
	for _, tc := range []struct {
		name string
		wait anvilclock.Millis
		want anvilsize.Size
	}{
		{"before the lag", 999, anvilsize.Size{}},
		{"after the lag", 1, anvilsize.New(700, 64, 1)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f.run(tc.wait)
			if got := f.fence(1, 0).Tasks()[0].Use(); got != tc.want {
				t.Fatalf("use = %s, want %s", got, tc.want)
			}
		})
	}
}
