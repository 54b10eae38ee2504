package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"anvilhold.org/load/anvilbench"
)

func init() { subcommands.Register(&benchCommand{}, "") }

// benchCommand measures the packages that make decisions.
type benchCommand struct {
	seed  uint64
	quick bool
}

// Name implements subcommands.Command.
func (*benchCommand) Name() string { return "bench" }

// Synopsis implements subcommands.Command.
func (*benchCommand) Synopsis() string { return "compare the decision packages with baseline policies" }

// Usage implements subcommands.Command.
func (*benchCommand) Usage() string {
	return "bench [-seed N] [-quick]: print rows `measure policy value unit` and `bench: rows=N`\n"
}

// SetFlags implements subcommands.Command.
func (c *benchCommand) SetFlags(f *flag.FlagSet) {
	f.String("bin", "", "directory of the programs; not used by this command")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the loads")
	f.BoolVar(&c.quick, "quick", false, "shorter loads and fewer timed decisions")
}

// Execute implements subcommands.Command.
func (c *benchCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	rows, err := anvilbench.Run(os.Stdout, c.seed, c.quick)
	if err != nil {
		fmt.Fprintln(os.Stderr, "anvilload:", err)
		return subcommands.ExitFailure
	}
	fmt.Printf("bench: rows=%d\n", rows)
	return subcommands.ExitSuccess
}
