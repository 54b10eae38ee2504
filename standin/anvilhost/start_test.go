package anvilhost

import (
	"errors"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Guards against more on the worker than it has.
func TestCapacity(t *testing.T) {
	cpu := func(n int64) OrderOption { return WithSize(anvilsize.New(n, 0, 0)) }
	each(t, map[string]func(f *fixture){
		"exactly full": func(f *fixture) {
			f.start("a", "service", cpu(3000)).want("running", "")
			f.start("b", "service", cpu(1000)).want("running", "")
			f.start("c", "service", cpu(1)).want("not-run", "room")
		},
		"another dimension": func(f *fixture) {
			f.start("a", "service", WithSize(anvilsize.New(1, 1, 2))).want("not-run", "room")
		},
		"held places count": func(f *fixture) {
			f.start("a", "gang", cpu(4000), WithHold(true)).want("held", "")
			f.start("b", "call", cpu(1)).want("not-run", "room")
		},
		"loading places count": func(f *fixture) {
			f.start("a", "batch", cpu(4000), WithResume("checkpoint/a")).wantNone()
			f.start("b", "call", cpu(1)).want("not-run", "room")
		},
		"an end gives the place back": func(f *fixture) {
			f.start("a", "batch", cpu(4000), WithRun(100)).want("running", "")
			f.run(100)
			f.start("b", "call", cpu(4000)).want("done", "")
		},
		"a refused id may come again": func(f *fixture) {
			f.start("a", "service", cpu(4000)).want("running", "")
			f.start("b", "call").want("not-run", "room")
			f.control("a", "stop", true, "stopped")
			f.start("b", "call").want("done", "")
		},
		"a leaving worker": func(f *fixture) {
			f.host.Leave()
			f.start("a", "call").want("not-run", "leaving")
		},
	})
}

// Guards against a task that runs twice because its start was sent twice.
func TestDuplicates(t *testing.T) {
	each(t, map[string]func(f *fixture){
		"of an ended call": func(f *fixture) {
			f.start("a", "call", text("hi")).want("done", "")
			again := f.start("a", "call", text("hi"))
			again.want("done", "duplicate")
			again.wantBody("answer a ", "\nhi")
			wantTrace(f, "start a running", "end a done", "refuse a done")
		},
		"of a running call waits": func(f *fixture) {
			first := f.start("a", "call", text("work=100"))
			again := f.start("a", "call", text("work=100"))
			f.run(99)
			again.wantNone()
			f.run(1)
			first.want("done", "")
			again.want("done", "duplicate")
			again.wantBody("answer a ", "work=100")
		},
		"of a running task": func(f *fixture) {
			f.start("a", "service").want("running", "")
			f.start("a", "service").want("running", "duplicate")
		},
		"of a held task": func(f *fixture) {
			f.start("a", "gang", WithHold(true)).want("held", "")
			f.start("a", "gang", WithHold(true)).want("held", "duplicate")
		},
		"with an older epoch is not called not-run": func(f *fixture) {
			f.start("a", "service").want("running", "")
			f.fence(2, 0)
			f.start("a", "service").want("running", "duplicate")
		},
	})
}

// Guards against a start that overtakes its own stop, and against a false "not run".
func TestStop(t *testing.T) {
	each(t, map[string]func(f *fixture){
		"before the start": func(f *fixture) {
			f.control("a", "stop", true, "not-run")
			f.start("a", "call").want("not-run", "duplicate")
			f.control("a", "stop", true, "not-run")
			wantTrace(f, "refuse a not-run", "refuse a not-run")
			wantEnded(f, f.fence(1, 0), "a not-run cancelled")
		},
		"of a call whose answer was lost": func(f *fixture) {
			f.start("a", "call", text("hi"))
			f.control("a", "stop", true, "done")
			r := f.fence(1, 0)
			wantEnded(f, r, "a done")
			if got := string(r.Ended()[0].Answer()); got[:9] != "answer a " {
				f.t.Fatalf("answer = %q", got)
			}
		},
		"of a running call": func(f *fixture) {
			call := f.start("a", "call", text("work=100"))
			f.control("a", "stop", true, "stopped")
			call.want("stopped", "cancelled")
		},
		"of a held task": func(f *fixture) {
			f.start("a", "gang", WithHold(true))
			f.control("a", "stop", true, "not-run")
			f.control("a", "go", false, "not-run")
			wantTrace(f, "hold a held", "end a not-run")
		},
		"of a loading task": func(f *fixture) {
			start := f.start("a", "batch", WithResume("checkpoint/a"))
			f.control("a", "stop", true, "not-run")
			start.want("not-run", "cancelled")
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

// Guards against gang tasks that run before they are told to.
func TestHold(t *testing.T) {
	each(t, map[string]func(f *fixture){
		"runs only after go": func(f *fixture) {
			f.start("a", "gang", WithHold(true), WithRun(50)).want("held", "")
			f.run(1000)
			wantTasks(f, f.fence(1, 0), "a held")
			f.control("a", "go", true, "running")
			f.control("a", "go", true, "running")
			f.run(50)
			wantTrace(f, "hold a held", "go a running", "end a done")
		},
		"cannot be throttled": func(f *fixture) {
			f.start("a", "gang", WithHold(true))
			f.control("a", "throttle", false, "held")
		},
		"of an unknown id": func(f *fixture) { f.control("a", "go", false, "") },
	})
}

// Guards against work that is lost or done twice around a checkpoint.
func TestCheckpoint(t *testing.T) {
	saving := func(f *fixture) {
		f.start("a", "batch", WithRun(1000))
		f.run(400)
		if acks := f.ask(1, "a", "checkpoint"); len(acks) != 0 {
			f.t.Fatalf("acks = %+v before the checkpoint was written", acks)
		}
		f.run(5000)
		if got := f.saves["a"]; got != "progress=400\n" {
			f.t.Fatalf("saved %q", got)
		}
	}
	each(t, map[string]func(f *fixture){
		"ends the task": func(f *fixture) {
			saving(f)
			f.host.Saved("a", nil)
			wantEnded(f, f.fence(1, 0), "a checkpointed")
		},
		"that fails lets it run on": func(f *fixture) {
			saving(f)
			f.host.Saved("a", errors.New("no answer"))
			f.run(599)
			wantTasks(f, f.fence(1, 0), "a running")
			f.run(1)
			wantEnded(f, f.fence(1, 0), "a done")
		},
		"of a call": func(f *fixture) {
			f.start("a", "call", text("work=100"))
			f.control("a", "checkpoint", false, "running")
		},
		"resumed does the rest": func(f *fixture) {
			start := f.start("a", "batch", WithRun(1000), WithResume("checkpoint/x"))
			start.wantNone()
			f.host.Loaded("a", []byte("progress=400\n"), nil)
			start.want("running", "")
			f.run(599)
			wantTasks(f, f.fence(1, 0), "a running")
			f.run(1)
			wantEnded(f, f.fence(1, 0), "a done")
		},
		"resumed and held": func(f *fixture) {
			start := f.start("a", "gang", WithHold(true), WithResume("checkpoint/x"))
			f.host.Loaded("a", []byte("progress=4"), nil)
			start.want("held", "")
			f.control("a", "go", true, "running")
		},
		"that can't be read": func(f *fixture) {
			start := f.start("a", "batch", WithResume("checkpoint/x"))
			f.host.Loaded("a", nil, errors.New("no answer"))
			start.want("not-run", "table")
			f.start("a", "batch", WithRun(10)).want("running", "")
		},
		"that is damaged": func(f *fixture) {
			start := f.start("a", "batch", WithResume("checkpoint/x"))
			f.host.Loaded("a", []byte("odd"), nil)
			start.want("not-run", "input")
		},
	})
}

// Guards against a stand-in that works at another speed than its instructions say.
func TestWork(t *testing.T) {
	for _, tc := range []struct {
		name string
		kind string
		opts []OrderOption
		want anvilclock.Millis
		end  string
	}{
		{"run of a batch task", "batch", []OrderOption{WithRun(130)}, 130, "a done"},
		{"work before run", "batch", []OrderOption{WithRun(130), text("x", "work=50", "y")}, 50, "a done"},
		{"a call ignores run", "call", []OrderOption{WithRun(130)}, 0, "a done"},
		{"failure", "batch", []OrderOption{text("work=50", "fail")}, 50, "a failed failed"},
		{"malformed lines are payload", "batch", []OrderOption{WithRun(30), text("work=x", "fail=no", "use=1")}, 30, "a done"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := leased(t)
			f.start("a", tc.kind, tc.opts...)
			if tc.want > 0 {
				f.run(tc.want - 1)
				wantEnded(f, f.fence(1, 0))
				f.run(1)
			}
			wantEnded(f, f.fence(1, 0), tc.end)
		})
	}
	each(t, map[string]func(f *fixture){
		"throttled": func(f *fixture) {
			f.start("a", "batch", WithRun(200))
			f.run(100)
			f.control("a", "throttle", true, "throttled")
			f.run(100)
			f.control("a", "resume", true, "running")
			f.run(49)
			wantTasks(f, f.fence(1, 0), "a running")
			f.run(1)
			wantEnded(f, f.fence(1, 0), "a done")
		},
		"a service runs until it is stopped": func(f *fixture) {
			f.start("a", "service")
			for range 100 {
				f.run(leaseTime / 2)
				f.fence(1, 0)
			}
			wantTasks(f, f.fence(1, 0), "a running")
		},
	})
}

// Guards against a failing worker that looks healthy.
func TestFailing(t *testing.T) {
	random := &fixture{}
	f := leased(t, WithFailing(30, random))
	for _, tc := range []struct {
		name, kind string
		drawn      int
		want, code string
	}{
		{"call", "call", 29, "failed", "failed"},
		{"batch", "batch", 29, "failed", "failed"},
		{"lucky", "call", 30, "done", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f.t, random.drawn = t, tc.drawn
			f.start(tc.name, tc.kind).want(tc.want, tc.code)
		})
	}
}
