package anvilhost

import (
	"errors"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Guards against tasks whose sizes exceed the worker's capacity.
func TestCapacity(t *testing.T) {
	cpu := func(n int64) StartOption { return WithSize(anvilsize.New(n, 0, 0)) }
	runEach(t, map[string]func(f *fixture){
		"exactly full": func(f *fixture) {
			f.start("a", "service", cpu(3000)).wantReply("running", "")
			f.start("b", "service", cpu(1000)).wantReply("running", "")
			f.start("c", "service", cpu(1)).wantReply("not-run", "room")
		},
		"too many accelerators": func(f *fixture) {
			f.start("a", "service", WithSize(anvilsize.New(1, 1, 2))).wantReply("not-run", "room")
		},
		"a held task reserves capacity": func(f *fixture) {
			f.start("a", "gang", cpu(4000), WithHold(true)).wantReply("held", "")
			f.start("b", "call", cpu(1)).wantReply("not-run", "room")
		},
		"a loading task reserves capacity": func(f *fixture) {
			f.start("a", "batch", cpu(4000), WithResume("checkpoint/a")).wantNoReply()
			f.start("b", "call", cpu(1)).wantReply("not-run", "room")
		},
		"the end of a task releases its capacity": func(f *fixture) {
			f.start("a", "batch", cpu(4000), WithRunTime(100)).wantReply("running", "")
			f.advance(100)
			f.start("b", "call", cpu(4000)).wantReply("done", "")
		},
		"a refused id can be started later": func(f *fixture) {
			f.start("a", "service", cpu(4000)).wantReply("running", "")
			f.start("b", "call").wantReply("not-run", "room")
			f.mustControl("a", "stop", true, "stopped")
			f.start("b", "call").wantReply("done", "")
		},
		"a leaving worker refuses starts": func(f *fixture) {
			f.host.Leave()
			f.start("a", "call").wantReply("not-run", "leaving")
		},
	})
}

// Guards against a task that runs twice because its start request was sent twice.
func TestDuplicates(t *testing.T) {
	runEach(t, map[string]func(f *fixture){
		"of an ended call": func(f *fixture) {
			f.start("a", "call", withInstructions("hi")).wantReply("done", "")
			again := f.start("a", "call", withInstructions("hi"))
			again.wantReply("done", "duplicate")
			again.wantBody("answer a ", "\nhi")
			wantTrace(f, "start a running", "end a done", "refuse a done")
		},
		"of a running call waits": func(f *fixture) {
			first := f.start("a", "call", withInstructions("work=100"))
			again := f.start("a", "call", withInstructions("work=100"))
			f.advance(99)
			again.wantNoReply()
			f.advance(1)
			first.wantReply("done", "")
			again.wantReply("done", "duplicate")
			again.wantBody("answer a ", "work=100")
		},
		"of a running task": func(f *fixture) {
			f.start("a", "service").wantReply("running", "")
			f.start("a", "service").wantReply("running", "duplicate")
		},
		"of a held task": func(f *fixture) {
			f.start("a", "gang", WithHold(true)).wantReply("held", "")
			f.start("a", "gang", WithHold(true)).wantReply("held", "duplicate")
		},
		"with an older epoch is not reported as not-run": func(f *fixture) {
			f.start("a", "service").wantReply("running", "")
			f.fence(2, 0)
			f.start("a", "service").wantReply("running", "duplicate")
		},
	})
}

// Guards against a start that arrives after its own stop and runs, and against a task that runs although it was reported
// as not-run.
func TestStop(t *testing.T) {
	runEach(t, map[string]func(f *fixture){
		"before the start": func(f *fixture) {
			f.mustControl("a", "stop", true, "not-run")
			f.start("a", "call").wantReply("not-run", "duplicate")
			f.mustControl("a", "stop", true, "not-run")
			wantTrace(f, "refuse a not-run", "refuse a not-run")
			wantEnded(f, f.fence(1, 0), "a not-run cancelled")
		},
		"of a call whose answer was lost": func(f *fixture) {
			f.start("a", "call", withInstructions("hi"))
			f.mustControl("a", "stop", true, "done")
			r := f.fence(1, 0)
			wantEnded(f, r, "a done")
			if got := string(r.Ended()[0].Answer()); got[:9] != "answer a " {
				f.t.Fatalf("answer = %q", got)
			}
		},
		"of a running call": func(f *fixture) {
			call := f.start("a", "call", withInstructions("work=100"))
			f.mustControl("a", "stop", true, "stopped")
			call.wantReply("stopped", "cancelled")
		},
		"of a held task": func(f *fixture) {
			f.start("a", "gang", WithHold(true))
			f.mustControl("a", "stop", true, "not-run")
			f.mustControl("a", "go", false, "not-run")
			wantTrace(f, "hold a held", "end a not-run")
		},
		"of a loading task": func(f *fixture) {
			start := f.start("a", "batch", WithResume("checkpoint/a"))
			f.mustControl("a", "stop", true, "not-run")
			start.wantReply("not-run", "cancelled")
			f.host.Loaded("a", []byte("progress=1"), nil)
			wantTrace(f, "hold a held", "end a not-run")
		},
		"of all tasks at the exit": func(f *fixture) {
			f.start("a", "service")
			f.host.Abort()
			wantEnded(f, f.fence(1, 0), "a stopped leaving")
		},
	})
}

// Guards against gang tasks that run before they receive the operation go.
func TestHold(t *testing.T) {
	runEach(t, map[string]func(f *fixture){
		"runs only after go": func(f *fixture) {
			f.start("a", "gang", WithHold(true), WithRunTime(50)).wantReply("held", "")
			f.advance(1000)
			wantTasks(f, f.fence(1, 0), "a held")
			f.mustControl("a", "go", true, "running")
			f.mustControl("a", "go", true, "running")
			f.advance(50)
			wantTrace(f, "hold a held", "go a running", "end a done")
		},
		"cannot be throttled": func(f *fixture) {
			f.start("a", "gang", WithHold(true))
			f.mustControl("a", "throttle", false, "held")
		},
		"go for an unknown id": func(f *fixture) { f.mustControl("a", "go", false, "") },
	})
}

// Guards against work that is lost or repeated when a task is checkpointed and resumed.
func TestCheckpoint(t *testing.T) {
	saving := func(f *fixture) {
		f.start("a", "batch", WithRunTime(1000))
		f.advance(400)
		if replies := f.sendControl(1, "a", "checkpoint"); len(replies) != 0 {
			f.t.Fatalf("replies = %+v before the checkpoint was written", replies)
		}
		f.advance(5000)
		if got := f.saves["a"]; got != "progress=400\n" {
			f.t.Fatalf("saved %q", got)
		}
	}
	runEach(t, map[string]func(f *fixture){
		"ends the task": func(f *fixture) {
			saving(f)
			f.host.Saved("a", nil)
			wantEnded(f, f.fence(1, 0), "a checkpointed")
		},
		"that fails lets the task continue": func(f *fixture) {
			saving(f)
			f.host.Saved("a", errors.New("no reply"))
			f.advance(599)
			wantTasks(f, f.fence(1, 0), "a running")
			f.advance(1)
			wantEnded(f, f.fence(1, 0), "a done")
		},
		"of a call": func(f *fixture) {
			f.start("a", "call", withInstructions("work=100"))
			f.mustControl("a", "checkpoint", false, "running")
		},
		"resumed continues from the saved progress": func(f *fixture) {
			start := f.start("a", "batch", WithRunTime(1000), WithResume("checkpoint/x"))
			start.wantNoReply()
			f.host.Loaded("a", []byte("progress=400\n"), nil)
			start.wantReply("running", "")
			f.advance(599)
			wantTasks(f, f.fence(1, 0), "a running")
			f.advance(1)
			wantEnded(f, f.fence(1, 0), "a done")
		},
		"resumed and held": func(f *fixture) {
			start := f.start("a", "gang", WithHold(true), WithResume("checkpoint/x"))
			f.host.Loaded("a", []byte("progress=4"), nil)
			start.wantReply("held", "")
			f.mustControl("a", "go", true, "running")
		},
		"that can't be read": func(f *fixture) {
			start := f.start("a", "batch", WithResume("checkpoint/x"))
			f.host.Loaded("a", nil, errors.New("no reply"))
			start.wantReply("not-run", "table")
			f.start("a", "batch", WithRunTime(10)).wantReply("running", "")
		},
		"that is damaged": func(f *fixture) {
			start := f.start("a", "batch", WithResume("checkpoint/x"))
			f.host.Loaded("a", []byte("odd"), nil)
			start.wantReply("not-run", "input")
		},
	})
}

// Guards against tasks whose run time differs from what their instructions say.
func TestWorkTime(t *testing.T) {
	for _, tc := range []struct {
		name string
		kind string
		opts []StartOption
		want anvilclock.Millis
		end  string
	}{
		{"run time of a batch task", "batch", []StartOption{WithRunTime(130)}, 130, "a done"},
		{"work instruction overrides the run time", "batch", []StartOption{WithRunTime(130), withInstructions("x", "work=50", "y")}, 50, "a done"},
		{"a call ignores the run time", "call", []StartOption{WithRunTime(130)}, 0, "a done"},
		{"failure", "batch", []StartOption{withInstructions("work=50", "fail")}, 50, "a failed failed"},
		{"malformed lines are payload", "batch", []StartOption{WithRunTime(30), withInstructions("work=x", "fail=no", "use=1")}, 30, "a done"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newLeasedFixture(t)
			f.start("a", tc.kind, tc.opts...)
			if tc.want > 0 {
				f.advance(tc.want - 1)
				wantEnded(f, f.fence(1, 0))
				f.advance(1)
			}
			wantEnded(f, f.fence(1, 0), tc.end)
		})
	}
	runEach(t, map[string]func(f *fixture){
		"throttled": func(f *fixture) {
			f.start("a", "batch", WithRunTime(200))
			f.advance(100)
			f.mustControl("a", "throttle", true, "throttled")
			f.advance(100)
			f.mustControl("a", "resume", true, "running")
			f.advance(49)
			wantTasks(f, f.fence(1, 0), "a running")
			f.advance(1)
			wantEnded(f, f.fence(1, 0), "a done")
		},
		"a service runs until it is stopped": func(f *fixture) {
			f.start("a", "service")
			for range 100 {
				f.advance(leaseTime / 2)
				f.fence(1, 0)
			}
			wantTasks(f, f.fence(1, 0), "a running")
		},
	})
}

// Guards against starts that should fail but succeed, or that fail above the configured percentage.
func TestStartFailures(t *testing.T) {
	random := &fixture{}
	f := newLeasedFixture(t, WithStartFailures(30, random))
	for _, tc := range []struct {
		name, kind string
		drawn      int
		want, code string
	}{
		{"call", "call", 29, "failed", "failed"},
		{"batch", "batch", 29, "failed", "failed"},
		{"draw at the percentage succeeds", "call", 30, "done", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f.t, random.percent = t, tc.drawn
			f.start(tc.name, tc.kind).wantReply(tc.want, tc.code)
		})
	}
}
