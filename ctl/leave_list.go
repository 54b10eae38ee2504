package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilview"
)

func init() {
	subcommands.Register(&leaveList{info{
		name: "leave-list", synopsis: "list the leave marks",
		detail: "Lists the workers that operators have marked as leaving.",
	}}, leaveGroup)
}

type leaveList struct{ info }

func (*leaveList) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 0, 0, func(ctx context.Context, e *env) error {
		cfg, err := e.client.Config(ctx)
		if err != nil {
			return err
		}
		table := anvilview.NewTable("worker")
		for _, l := range cfg.GetLeaves() {
			table.Add(l.GetInstance())
		}
		return e.show(table)
	})
}
