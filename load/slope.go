package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"anvilhold.org/load/anvilslope"
)

// slopeTimeout ends a run on a machine that is too busy to measure.
const slopeTimeout = 150 * time.Second

func init() { subcommands.Register(&slopeCommand{}, "") }

type slopeCommand struct {
	seed uint64
}

func (*slopeCommand) Name() string     { return "slope" }
func (*slopeCommand) Synopsis() string { return "measure what control costs at several sizes" }
func (*slopeCommand) Usage() string {
	return "anvilload slope [-seed N]\n  Measures processor time, memory and bytes of control at three sizes or more and fits straight lines,\n  from which the figures of docs/CAPACITY.md are calculated. Takes less than 90 s.\n"
}

func (c *slopeCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "seed of the running tasks")
}

func (c *slopeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, slopeTimeout)
	defer stop()
	report, err := anvilslope.Measure(ctx, c.seed)
	if err != nil {
		return fail("slope", err)
	}
	if err := report.Write(os.Stdout); err != nil {
		return fail("slope", err)
	}
	return subcommands.ExitSuccess
}
