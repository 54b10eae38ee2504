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
		name: "events", args: "[-count N]", synopsis: "print changes of the cell as they are seen",
		detail: "Asks the entry instances at the given addresses each second and prints what is different: versions,\nentry instances, owners, workers and contracts' limits.",
	}}, cellGroup)
}

type eventsCommand struct {
	info
	count int
}

const eventsPause = time.Second

// SetFlags declares the flags.
func (c *eventsCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.count, "count", 0, "end after `N` looks; 0 means not to end")
}

// Execute runs the command.
func (c *eventsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 0, 0, func(ctx context.Context, t *tool) error {
		ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		tick := time.NewTicker(eventsPause)
		defer tick.Stop()
		before, err := t.look(ctx)
		if err != nil {
			return err
		}
		for n := 1; c.count == 0 || n < c.count; n++ {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
			}
			after, err := t.look(ctx)
			if err != nil && ctx.Err() == nil {
				t.note("%v", err)
			}
			if err != nil {
				continue
			}
			if err := t.showDifferences(differences(before, after)); err != nil {
				return err
			}
			before = after
		}
		return nil
	})
}

func (t *tool) showDifferences(list []difference) error {
	now := time.Now().UTC().Format("15:04:05")
	for _, d := range list {
		if !t.json {
			if _, err := fmt.Fprintln(t.out, now, d); err != nil {
				return err
			}
			continue
		}
		if err := t.show(anvilview.NewRecord().Set("time", now).Set("name", d.name).Set("before", d.before).Set("after", d.after)); err != nil {
			return err
		}
	}
	return nil
}

// look returns the state of the cell, in which an address that doesn't answer is a difference too.
func (t *tool) look(ctx context.Context) (snapshot, error) {
	p := snapshot{}
	var last error
	answers := 0
	for _, addr := range t.client.Addrs() {
		cell, err := t.client.Cell(ctx, addr)
		if err != nil {
			p["address "+addr], last = "no answer", err
			continue
		}
		answers++
		p["address "+addr] = "instance " + cell.GetInstance()
		p.add(cell)
	}
	if answers == 0 {
		return nil, last
	}
	return p, nil
}

func (p snapshot) add(cell *anvilwire.Cell) {
	p["instance "+cell.GetInstance()] = fmt.Sprintf("version %d", cell.GetVersion())
	for _, s := range cell.GetSessions() {
		p["session "+s.GetInstance()] = s.GetState()
	}
	for _, s := range cell.GetShards() {
		p["shard "+s.GetShard()] = fmt.Sprintf("owner %s, epoch %d", cmp.Or(s.GetOwner(), "none"), s.GetEpoch())
	}
	for _, w := range cell.GetWorkers() {
		p["worker "+w.GetId()] = fmt.Sprintf("%s at %s", w.GetState(), cell.GetInstance())
	}
	for _, m := range cell.GetTeams() {
		p["limit of "+m.GetTeam()] = sizeText(m.GetLimit())
	}
}
