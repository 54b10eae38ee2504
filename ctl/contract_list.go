package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilclient"
	"anvilhold.org/ctl/anvilview"
)

func init() {
	subcommands.Register(&contractList{info{
		name: "contract-list", synopsis: "list the contracts", detail: "Lists the contracts in force.",
	}}, contractGroup)
}

type contractList struct{ info }

func (*contractList) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 0, 0, func(ctx context.Context, e *env) error {
		cfg, err := e.client.Config(ctx)
		if err != nil {
			return err
		}
		table := anvilview.NewTable("team", "limit", "weight", "rate", "flight", "pools")
		for _, m := range cfg.GetContracts() {
			c := anvilclient.ContractFromWire(m)
			table.Add(c.Team(), c.Limit(), c.Weight(), c.Rate(), c.MaxInFlight(), c.Pools())
		}
		return e.show(table)
	})
}
