// Package anvilscript provides commands for scripts of testscript that start a cell, send requests and changes,
// inject faults and audit what happened. The goroutine of a script owns the state of its session; goroutines
// for requests in flight return their results over channels.
package anvilscript

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// sessionTimeout limits a script, so that one that hangs fails with its own log. The longest script contains a
// table outage of 60 s.
const sessionTimeout = 110 * time.Second

// sessionKey is the key of the session among the values of a script.
type sessionKey struct{}

// Runner provides the commands of scripts and limits how many scripts run at once.
type Runner struct {
	bin   string
	slots chan struct{}
}

// Option configures a Runner.
type Option func(*Runner)

// WithParallel sets how many scripts run at once; the default is 1.
func WithParallel(n int) Option { return func(r *Runner) { r.slots = make(chan struct{}, n) } }

// New returns a runner that starts the programs in the directory bin.
func New(bin string, opts ...Option) *Runner {
	r := &Runner{bin: bin, slots: make(chan struct{}, 1)}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Params returns the parameters with which testscript runs the scripts in a directory.
func (r *Runner) Params(dir string) testscript.Params {
	return testscript.Params{Dir: dir, Setup: r.setup, Cmds: r.commands(), ContinueOnError: false}
}

// reporter is the part of testing.T that setup needs to report an error outside of a command.
type reporter interface {
	Errorf(format string, args ...any)
	Logf(format string, args ...any)
}

// setup waits for a free slot and creates the session of the script. When the script ends, for whatever reason, its
// cell is audited and all processes of the cell are ended.
func (r *Runner) setup(env *testscript.Env) error {
	r.slots <- struct{}{}
	ctx, cancel := context.WithTimeout(context.Background(), sessionTimeout)
	s := newSession(ctx, r.bin, env.WorkDir)
	env.Values[sessionKey{}] = s
	env.Defer(func() {
		defer func() { <-r.slots }()
		defer cancel()
		t, _ := env.T().(reporter)
		for _, err := range []error{s.finish(), s.close()} {
			if err != nil && t != nil {
				t.Errorf("%v", err)
			}
		}
		if t != nil && len(s.output) > 0 {
			t.Logf("%s", s.output)
		}
	})
	return nil
}

// command is a command of scripts. Names of testscript's own commands (kill, stop, wait) can't be used, because
// those take precedence.
type command func(s *session, args []string) error

func (r *Runner) commands() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]command{
		"answer": (*session).answer, "audit": (*session).audit, "await": (*session).await, "call": (*session).call, "cancel": (*session).cancel,
		"cell": (*session).cell, "contract": (*session).contract, "expect": (*session).expect, "freeze": (*session).freeze,
		"crash": (*session).crash,
		"gang":  (*session).gang, "key": (*session).key, "leave": (*session).leave,
		"pause": (*session).pause, "race": (*session).race, "replace": (*session).replace, "shutdown": (*session).shutdown,
		"table": (*session).table, "task": (*session).task, "thaw": (*session).thaw, "traffic": (*session).traffic,
	}
	cmds := make(map[string]func(*testscript.TestScript, bool, []string))
	for _, name := range slices.Collect(maps.Keys(all)) {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s can't be negated; name the expected outcome instead", name)
			}
			s, _ := ts.Value(sessionKey{}).(*session)
			err := all[name](s, args)
			for k, v := range s.variables {
				ts.Setenv(k, v)
			}
			if err != nil {
				ts.Fatalf("%v", err)
			}
		}
	}
	return cmds
}

// parse parses the flags of a command and returns its other arguments.
func parse(name string, args []string, declare func(*flag.FlagSet)) ([]string, error) {
	f := flag.NewFlagSet(name, flag.ContinueOnError)
	f.SetOutput(io.Discard)
	declare(f)
	if err := f.Parse(args); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return f.Args(), nil
}
