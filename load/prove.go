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

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/load/anvilaudit"
	"anvilhold.org/load/anvilcell"
	"anvilhold.org/load/anvilfault"
	"anvilhold.org/load/anviltrial"
)

const (
	proveRate = 250
	// proveConcurrency is high enough for the traffic to continue while a process is paused: a paused entry instance or
	// worker delays its requests for seconds, and with fewer senders all of them would wait for its answers.
	proveConcurrency = 160
	// recoveryTimeout is how long accepted tasks may take to end after the last fault.
	recoveryTimeout = 15 * time.Second
	// proveTimeout limits the whole run. The wait for recovery is cut short if necessary.
	proveTimeout = 57 * time.Second
	// defaultSeconds leaves all 15 s of recoveryTimeout after the last fault. With 40 s the last faults end 53 s after the
	// start, and tasks that are accepted while the table is down have only 4 s left to run.
	defaultSeconds = 30
	// proveNotice, in milliseconds, is shorter than the daemon's default, but longer than the check interval of the
	// balancer.
	proveNotice = 1500
)

func init() { subcommands.Register(&proveCommand{}, "") }

type proveCommand struct {
	bin     string
	seed    uint64
	seconds int
}

func (*proveCommand) Name() string     { return "prove" }
func (*proveCommand) Synopsis() string { return "run a cell under randomised faults and audit it" }
func (*proveCommand) Usage() string {
	return "anvilload prove -seed N [-bin DIR] [-seconds N]\n  Applies a schedule of faults that is a function of the seed, under traffic of all kinds, and checks\n  what happened. Takes less than a minute.\n"
}

func (c *proveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.bin, "bin", "bin", "directory of the programs")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the schedule and of the traffic")
	f.IntVar(&c.seconds, "seconds", defaultSeconds, "length of the schedule")
}

func (c *proveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if c.seconds < 1 || c.seconds > 40 {
		return fail("prove", errors.New("-seconds must be from 1 to 40"))
	}
	violations, err := c.run(ctx, time.Now().Add(proveTimeout))
	if err != nil {
		return fail("prove", err)
	}
	if violations > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *proveCommand) run(ctx context.Context, deadline time.Time) (violations int, err error) {
	dir, err := os.MkdirTemp("", "anvilload-prove-")
	if err != nil {
		return 0, err
	}
	plan := anvilcell.NewPlan(anvilcell.WithNotice(proveNotice))
	t, err := anviltrial.Open(ctx, c.bin, dir, plan, anviltrial.DemoTeams())
	if err != nil {
		return 0, fmt.Errorf("%w; logs are in %s", err, dir)
	}
	defer func() { err = errors.Join(err, t.Close()) }()
	faults := anvilfault.Schedule(c.seed, anvilclock.Millis(c.seconds)*1000,
		anvilfault.NewTargetCounts(plan.Entries(), len(plan.Workers()), len(t.Teams())))
	if err := c.load(ctx, t, faults, deadline); err != nil {
		return 0, err
	}
	report, err := t.Audit()
	if err != nil {
		return 0, err
	}
	printViolations(dir, report)
	n := t.Count()
	fmt.Printf("accepted=%d answered=%d refused=%d starts=%d %s\n", n.Accepted(), n.Answered(), n.Refused(), report.Starts(), n)
	fmt.Printf("%s\n", byRule(report))
	violations = len(report.Violations())
	fmt.Printf("prove: seed=%d faults=%d steps=%d violations=%d\n", c.seed, len(faults), t.Recorder().Steps()+len(faults), violations)
	return violations, nil
}

// load sends traffic while the faults are injected, and then waits until the accepted tasks have ended.
func (c *proveCommand) load(ctx context.Context, t *anviltrial.Trial, faults []anvilfault.Fault, deadline time.Time) error {
	runCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	go t.WatchVersions(watchCtx)
	traffic := t.StartTraffic(runCtx, c.seed, proveRate, proveConcurrency)
	t.SendGangs(runCtx)
	t.Inject(runCtx, faults, func(s string) { fmt.Println(s) })
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := t.ClearFaults(ctx); err != nil {
		return err
	}
	traffic.Stop()
	recoveryCtx, cancel := context.WithTimeout(runCtx, recoveryTimeout)
	defer cancel()
	if n := t.AwaitTasks(recoveryCtx); n > 0 {
		fmt.Printf("%d accepted tasks have not ended\n", n)
	}
	traffic.Wait()
	// A task may have been accepted after the first AwaitTasks found none pending.
	t.AwaitTasks(recoveryCtx)
	return ctx.Err()
}

// byRule returns the number of violations of each rule on one line.
func byRule(r *anvilaudit.Report) string {
	text := "by rule:"
	for _, rule := range anvilaudit.Rules() {
		text += fmt.Sprintf(" %s=%d", rule, r.Count(rule))
	}
	return text
}
