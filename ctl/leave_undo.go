package main

import (
	"context"
	"flag"
	"slices"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilclient"
	"anvilhold.org/ctl/anvilview"
	"anvilhold.org/lib/anvilwire"
)

func init() {
	subcommands.Register(&leaveUndo{info: info{
		name: "leave-undo", args: "[-base VERSION] WORKER", synopsis: "remove a leave mark",
		detail: "The worker gets new work again.",
	}}, leaveGroup)
}

type leaveUndo struct {
	info
	baseFlag
}

func (c *leaveUndo) SetFlags(f *flag.FlagSet) { c.declare(f) }

func (c *leaveUndo) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 1, 1, func(ctx context.Context, e *env) error {
		worker := f.Arg(0)
		accepted, err := e.change(ctx, c.baseFlag, func(cfg *anvilwire.Config, base int64) (anvilclient.AcceptedChange, error) {
			if !hasLeaveMark(cfg, worker) {
				return anvilclient.AcceptedChange{}, missingError("worker %s has no leave mark at version %d", worker, cfg.GetVersion())
			}
			return e.client.ChangeLeaveMark(ctx, anvilclient.Delete, worker, base)
		})
		if err != nil {
			return err
		}
		return e.reportChange(ctx, accepted, anvilview.NewRecord().Set("staying", worker))
	})
}

func hasLeaveMark(cfg *anvilwire.Config, worker string) bool {
	return slices.ContainsFunc(cfg.GetLeaves(), func(l *anvilwire.Leave) bool { return l.GetInstance() == worker })
}
