package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilview"
)

func init() {
	subcommands.Register(&instancesCommand{info{
		name: "instances", synopsis: "list the entry instances",
		detail: "Lists the live entry instances with the version of the configuration in force there. The address is that\nof the peer protocol.",
	}}, cellGroup)
}

type instancesCommand struct{ info }

func (*instancesCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 0, 0, func(ctx context.Context, e *env) error {
		cell, err := e.anyCell(ctx)
		if err != nil {
			return err
		}
		table := anvilview.NewTable("instance", "state", "version", "domain", "region", "peer")
		for _, s := range cell.GetSessions() {
			table.Add(s.GetInstance(), s.GetState(), s.GetVersion(), s.GetDomain(), s.GetRegion(), s.GetAddr())
		}
		return e.show(table)
	})
}
