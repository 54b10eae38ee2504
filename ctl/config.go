package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilview"
)

func init() {
	subcommands.Register(&configCommand{info{
		name: "config", synopsis: "print the version of the configuration",
		detail: "Prints the version in force at the entry instance that answers, and the lowest one in force on any live\nentry instance.",
	}}, cellGroup)
}

type configCommand struct{ info }

func (*configCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 0, 0, func(ctx context.Context, e *env) error {
		cfg, err := e.client.Config(ctx)
		if err != nil {
			return err
		}
		return e.show(anvilview.NewRecord().Set("version", cfg.GetVersion()).Set("everywhere", cfg.GetEverywhere()).
			Set("contracts", len(cfg.GetContracts())).Set("keys", len(cfg.GetKeys())).Set("leaves", len(cfg.GetLeaves())))
	})
}
