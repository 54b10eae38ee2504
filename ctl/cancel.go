package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilview"
)

func init() {
	subcommands.Register(&cancelCommand{info{
		name: "cancel", args: "ID", synopsis: "cancel a task",
		detail: "Prints the state of the task right after the request to cancel it.",
	}}, taskGroup)
}

type cancelCommand struct{ info }

func (*cancelCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 1, 1, func(ctx context.Context, e *env) error {
		m, err := e.client.Cancel(ctx, f.Arg(0))
		if err != nil {
			return err
		}
		text, err := taskText(m)
		if err != nil {
			return err
		}
		return e.show(anvilview.NewMessage(text, m))
	})
}
