package main

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilview"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilwire"
)

func init() {
	subcommands.Register(&explainCommand{info{
		name: "explain", args: "ID", synopsis: "print a task's state and the decisions made on it",
		detail: "ID is the task id in the response to the request that created the task.",
	}}, taskGroup)
}

type explainCommand struct{ info }

func (*explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 1, 1, func(ctx context.Context, e *env) error {
		m, err := e.client.Explain(ctx, f.Arg(0))
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

// taskText formats the state of a task, followed by a table of the decisions made on it if there are any.
func taskText(m *anvilwire.Status) (string, error) {
	var b strings.Builder
	record := anvilview.NewRecord().Set("id", m.GetId()).Set("team", m.GetTeam()).Set("state", m.GetState()).
		Set("code", m.GetCode()).Set("reason", m.GetReason()).Set("shard", m.GetShard()).Set("owner", m.GetOwner()).
		Set("workers", m.GetWorkers()).Set("tries", m.GetTries())
	if err := record.WriteText(&b); err != nil {
		return "", err
	}
	if len(m.GetDecisions()) == 0 {
		return b.String(), nil
	}
	b.WriteString("\n")
	table := anvilview.NewTable("time", "event", "name", "text")
	for _, d := range m.GetDecisions() {
		table.Add(time.UnixMilli(d.GetAt()).UTC().Format("2006-01-02T15:04:05.000Z"), d.GetEvent(),
			anvilevent.ID(d.GetEvent()).Name(), d.GetText())
	}
	err := table.WriteText(&b)
	return b.String(), err
}
