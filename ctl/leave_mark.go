package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilclient"
	"anvilhold.org/ctl/anvilcontract"
	"anvilhold.org/ctl/anvilview"
	"anvilhold.org/lib/anvilwire"
)

func init() {
	subcommands.Register(&leaveMark{info: info{
		name: "leave-mark", args: "[-base VERSION] WORKER", synopsis: "mark a worker as leaving",
		detail: "The worker gets no new work. Batch tasks on it are checkpointed and continue on other workers.",
	}}, leaveGroup)
}

type leaveMark struct {
	info
	baseFlag
}

func (c *leaveMark) SetFlags(f *flag.FlagSet) { c.declare(f) }

func (c *leaveMark) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 1, 1, func(ctx context.Context, e *env) error {
		worker := f.Arg(0)
		if !anvilcontract.IsName(worker) {
			return usageError("WORKER is not a valid name")
		}
		accepted, err := e.change(ctx, c.baseFlag, func(_ *anvilwire.Config, base int64) (anvilclient.AcceptedChange, error) {
			return e.client.ChangeLeaveMark(ctx, anvilclient.Put, worker, base)
		})
		if err != nil {
			return err
		}
		return e.reportChange(ctx, accepted, anvilview.NewRecord().Set("leaving", worker))
	})
}
