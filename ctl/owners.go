package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilview"
)

func init() {
	subcommands.Register(&ownersCommand{info{
		name: "owners", synopsis: "list the shards with owner and epoch",
		detail: "Lists the shards as known to the first entry instance that answers.",
	}}, cellGroup)
}

type ownersCommand struct{ info }

func (*ownersCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 0, 0, func(ctx context.Context, e *env) error {
		cell, err := e.anyCell(ctx)
		if err != nil {
			return err
		}
		table := anvilview.NewTable("shard", "owner", "epoch", "region", "members")
		for _, s := range cell.GetShards() {
			table.Add(s.GetShard(), s.GetOwner(), s.GetEpoch(), s.GetRegion(), len(s.GetMembers()))
		}
		return e.show(table)
	})
}
