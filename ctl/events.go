package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilview"
	"anvilhold.org/lib/anvilwire"
)

func init() {
	subcommands.Register(&eventsCommand{info: info{
		name: "events", args: "[-count N]", synopsis: "watch the cell and print its changes",
		detail: "Polls the entry instances at the given addresses every second and prints changes of versions, entry\ninstances, shard owners, workers and contract limits.",
	}}, cellGroup)
}

type eventsCommand struct {
	info
	count int
}

const eventsInterval = time.Second

func (c *eventsCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.count, "count", 0, "exit after `N` polls; 0 means no limit")
}

func (c *eventsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 0, 0, func(ctx context.Context, e *env) error {
		ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		tick := time.NewTicker(eventsInterval)
		defer tick.Stop()
		before, err := e.readSnapshot(ctx)
		if err != nil {
			return err
		}
		for n := 1; c.count == 0 || n < c.count; n++ {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
			}
			after, err := e.readSnapshot(ctx)
			if err != nil && ctx.Err() == nil {
				e.note("%v", err)
			}
			if err != nil {
				continue
			}
			if err := e.showDifferences(differences(before, after)); err != nil {
				return err
			}
			before = after
		}
		return nil
	})
}

func (e *env) showDifferences(list []difference) error {
	now := time.Now().UTC().Format("15:04:05")
	for _, d := range list {
		if !e.json {
			if _, err := fmt.Fprintln(e.stdout, now, d); err != nil {
				return err
			}
			continue
		}
		if err := e.show(anvilview.NewRecord().Set("time", now).Set("name", d.name).Set("before", d.before).Set("after", d.after)); err != nil {
			return err
		}
	}
	return nil
}

// readSnapshot polls every address. The snapshot records which addresses answer, so that an instance that stops
// answering shows as a difference. It returns an error only if no address answers.
func (e *env) readSnapshot(ctx context.Context) (snapshot, error) {
	snap := snapshot{}
	var lastErr error
	replies := 0
	for _, addr := range e.client.Addrs() {
		cell, err := e.client.Cell(ctx, addr)
		if err != nil {
			snap["address "+addr], lastErr = "no answer", err
			continue
		}
		replies++
		snap["address "+addr] = "instance " + cell.GetInstance()
		snap.add(cell)
	}
	if replies == 0 {
		return nil, lastErr
	}
	return snap, nil
}

func (snap snapshot) add(cell *anvilwire.Cell) {
	snap["instance "+cell.GetInstance()] = fmt.Sprintf("version %d", cell.GetVersion())
	for _, s := range cell.GetSessions() {
		snap["session "+s.GetInstance()] = s.GetState()
	}
	for _, s := range cell.GetShards() {
		snap["shard "+s.GetShard()] = fmt.Sprintf("owner %s, epoch %d", cmp.Or(s.GetOwner(), "none"), s.GetEpoch())
	}
	for _, w := range cell.GetWorkers() {
		snap["worker "+w.GetId()] = fmt.Sprintf("%s at %s", w.GetState(), cell.GetInstance())
	}
	for _, m := range cell.GetTeams() {
		snap["limit of "+m.GetTeam()] = sizeText(m.GetLimit())
	}
}
