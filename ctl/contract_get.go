package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilclient"
	"anvilhold.org/ctl/anvilcontract"
	"anvilhold.org/ctl/anvilview"
)

func init() {
	subcommands.Register(&contractGet{info{
		name: "contract-get", args: "TEAM", synopsis: "print a team's contract",
		detail: "Prints the contract in force as a contract file.",
	}}, contractGroup)
}

type contractGet struct{ info }

func (*contractGet) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 1, 1, func(ctx context.Context, e *env) error {
		cfg, err := e.client.Config(ctx)
		if err != nil {
			return err
		}
		c, ok := findContract(cfg, f.Arg(0))
		if !ok {
			return missingError("team %s has no contract at version %d", f.Arg(0), cfg.GetVersion())
		}
		return e.show(anvilview.NewMessage(anvilcontract.Format(c), anvilclient.ContractToWire(c)))
	})
}
