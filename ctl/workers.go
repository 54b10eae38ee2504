package main

import (
	"cmp"
	"context"
	"flag"
	"slices"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilclient"
	"anvilhold.org/ctl/anvilview"
	"anvilhold.org/lib/anvilwire"
)

func init() {
	subcommands.Register(&workersCommand{info{
		name: "workers", synopsis: "list the workers",
		detail: "Lists the workers of the shards that the entry instances at the given addresses own.",
	}}, cellGroup)
}

type workersCommand struct{ info }

func (*workersCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 0, 0, func(ctx context.Context, e *env) error {
		cfg, err := e.client.Config(ctx)
		if err != nil {
			return err
		}
		cells, err := e.cells(ctx)
		if err != nil {
			return err
		}
		var workers []*anvilwire.WorkerInfo
		for _, cell := range cells {
			workers = append(workers, cell.GetWorkers()...)
		}
		slices.SortFunc(workers, func(a, b *anvilwire.WorkerInfo) int { return cmp.Compare(a.GetId(), b.GetId()) })
		table := anvilview.NewTable("worker", "shard", "state", "marked", "size", "reserved", "tasks")
		for _, w := range workers {
			table.Add(w.GetId(), w.GetShard(), w.GetState(), hasLeaveMark(cfg, w.GetId()), anvilclient.SizeFromWire(w.GetSize()),
				anvilclient.SizeFromWire(w.GetReserved()), w.GetTasks())
		}
		return e.show(table)
	})
}
