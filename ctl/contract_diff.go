package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilcontract"
	"anvilhold.org/ctl/anvilview"
)

func init() {
	subcommands.Register(&contractDiff{info{
		name: "contract-diff", args: "FILE", synopsis: "compare a contract file with the contract in force",
		detail: "Prints the keys whose values in FILE differ from the team's contract in force.",
	}}, contractGroup)
}

type contractDiff struct{ info }

func (*contractDiff) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 1, 1, func(ctx context.Context, e *env) error {
		fromFile, err := anvilcontract.Load(f.Arg(0))
		if err != nil {
			return err
		}
		cfg, err := e.client.Config(ctx)
		if err != nil {
			return err
		}
		inForce, ok := findContract(cfg, fromFile.Team())
		if !ok {
			return missingError("team %s has no contract at version %d", fromFile.Team(), cfg.GetVersion())
		}
		table := anvilview.NewTable("key", "force", "file")
		for _, d := range anvilcontract.Diff(inForce, fromFile) {
			table.Add(d.Key(), d.Before(), d.After())
		}
		if table.Len() == 0 {
			e.note("no difference at version %d", cfg.GetVersion())
		}
		return e.show(table)
	})
}
