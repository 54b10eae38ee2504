package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilview"
)

func init() {
	subcommands.Register(&keyList{info{
		name: "key-list", synopsis: "list the keys", detail: "Lists the keys in force by their hashes.",
	}}, keyGroup)
}

type keyList struct{ info }

func (*keyList) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 0, 0, func(ctx context.Context, e *env) error {
		cfg, err := e.client.Config(ctx)
		if err != nil {
			return err
		}
		table := anvilview.NewTable("hash", "role", "team", "label")
		for _, k := range cfg.GetKeys() {
			table.Add(k.GetHash(), k.GetRole(), k.GetTeam(), k.GetLabel())
		}
		return e.show(table)
	})
}
