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

type benchCommand struct {
	seed  uint64
	quick bool
}

func (*benchCommand) Name() string { return "bench" }

func (*benchCommand) Synopsis() string { return "compare the decision packages with baseline policies" }

func (*benchCommand) Usage() string {
	return "bench [-seed N] [-quick]: print rows `measure policy value unit` and `bench: rows=N`\n"
}

func (c *benchCommand) SetFlags(f *flag.FlagSet) {
	f.String("bin", "", "directory of the programs; not used by this command")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the loads")
	f.BoolVar(&c.quick, "quick", false, "shorter loads and fewer timed decisions")
}

func (c *benchCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	rows, err := anvilbench.Run(os.Stdout, c.seed, c.quick)
	if err != nil {
		fmt.Fprintln(os.Stderr, "anvilload:", err)
		return subcommands.ExitFailure
	}
	fmt.Printf("bench: rows=%d\n", rows)
	return subcommands.ExitSuccess
}
