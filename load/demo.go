package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/load/anvilaudit"
	"anvilhold.org/load/anvilcell"
	"anvilhold.org/load/anviltrial"
)

const (
	demoSeconds     = 15
	demoRate        = 300
	demoConcurrency = 16
	// demoTasksTimeout covers the restart of the killed worker's batch tasks after lease and margin (10 s) and
	// their run time.
	demoTasksTimeout = 18 * time.Second
	// shownViolations limits the violations that are printed.
	shownViolations = 50
)

func init() { subcommands.Register(&demoCommand{}, "") }

type demoCommand struct {
	bin  string
	seed uint64
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run a bounded load with two failures and audit it" }
func (*demoCommand) Usage() string {
	return "anvilload demo [-bin DIR] [-seed N]\n  Runs calls, tasks and gang jobs of two teams through a cell, kills an entry instance and a worker\n  half-way and checks what happened. Takes less than a minute.\n"
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.bin, "bin", "bin", "directory of the programs")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the traffic")
}

func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	clean, err := c.run(ctx)
	if err != nil {
		return fail("demo", err)
	}
	if !clean {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// demoPlan returns the default plan with a second worker in the shards of the worker that the demo kills, so
// that the accepted tasks of that worker can be started again.
func demoPlan() anvilcell.Plan {
	workers := append(anvilcell.NewPlan().Workers(),
		anvilcell.NewWorker("w7", "d1", "r1", "layout", anvilsize.New(64_000, 131_072, 0)),
		anvilcell.NewWorker("w8", "d1", "r1", "cutting", anvilsize.New(32_000, 262_144, 8)))
	return anvilcell.NewPlan(anvilcell.WithWorkers(workers...))
}

func (c *demoCommand) run(ctx context.Context) (clean bool, err error) {
	dir, err := os.MkdirTemp("", "anvilload-demo-")
	if err != nil {
		return false, err
	}
	t, err := anviltrial.Open(ctx, c.bin, dir, demoPlan(), anviltrial.DemoTeams())
	if err != nil {
		return false, fmt.Errorf("%w; logs are in %s", err, dir)
	}
	defer func() { err = errors.Join(err, t.Close()) }()
	if err := c.load(ctx, t); err != nil {
		return false, err
	}
	if err := t.Cell().StopAll(stopTimeout); err != nil {
		fmt.Printf("graceful stop: %v\n", err)
	}
	report, err := t.Audit()
	if err != nil {
		return false, err
	}
	clean = len(report.Violations()) == 0
	printViolations(dir, report)
	n := t.Count()
	fmt.Printf("starts=%d %s\n", report.Starts(), n)
	fmt.Printf("demo: accepted=%d answered=%d refused=%d lost=%d doubled=%d overcommitted=%d overlimit=%d\n",
		n.Accepted(), n.Answered(), n.Refused(), report.Count(anvilaudit.Lost), report.Count(anvilaudit.Doubled),
		report.Count(anvilaudit.Overcommitted), report.Count(anvilaudit.Overlimit))
	return clean, nil
}

// load sends the traffic, kills two processes half-way and waits until the accepted tasks have ended.
func (c *demoCommand) load(ctx context.Context, t *anviltrial.Trial) error {
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	go t.WatchVersions(watchCtx)
	t.SendGangs(ctx)
	traffic := t.StartTraffic(ctx, c.seed, demoRate, demoConcurrency)
	half := time.NewTimer(demoSeconds * time.Second / 2)
	defer half.Stop()
	end := time.NewTimer(demoSeconds * time.Second)
	defer end.Stop()
	var failed error
	for running := true; running; {
		select {
		case <-half.C:
			failed = t.KillEntryAndWorker()
		case <-end.C:
			running = false
		case <-ctx.Done():
			running = false
		}
	}
	traffic.Stop()
	traffic.Wait()
	if err := errors.Join(failed, ctx.Err()); err != nil {
		return err
	}
	tasksCtx, cancel := context.WithTimeout(ctx, demoTasksTimeout)
	defer cancel()
	if n := t.AwaitTasks(tasksCtx); n > 0 {
		fmt.Printf("%d accepted tasks have not ended\n", n)
	}
	return nil
}

// printViolations prints the violations and the directory of the cell's files. Without violations it removes the
// files.
func printViolations(dir string, report *anvilaudit.Report) {
	v := report.Violations()
	if len(v) == 0 {
		_ = os.RemoveAll(dir)
		return
	}
	for _, x := range v[:min(len(v), shownViolations)] {
		fmt.Printf("violation: %s\n", x)
	}
	if n := len(v) - shownViolations; n > 0 {
		fmt.Printf("and %d more\n", n)
	}
	fmt.Printf("logs and traces are in %s\n", dir)
}
