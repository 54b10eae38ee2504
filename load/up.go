package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"anvilhold.org/load/anvilcell"
	"anvilhold.org/load/anviltrial"
)

// stopTimeout limits the graceful stop of a cell. It covers the notice of the entry instances and the requests that
// are still in flight after it.
const stopTimeout = 12 * time.Second

func init() { subcommands.Register(&upCommand{}, "") }

type upCommand struct {
	bin string
}

func (*upCommand) Name() string     { return "up" }
func (*upCommand) Synopsis() string { return "keep a small local cell running" }
func (*upCommand) Usage() string {
	return "anvilload up [-bin DIR]\n  Starts a cell on loopback and prints its addresses; runs until interrupted.\n"
}
func (c *upCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.bin, "bin", "bin", "directory of the programs")
}

func (c *upCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := c.run(ctx); err != nil {
		return fail("up", err)
	}
	return subcommands.ExitSuccess
}

func (c *upCommand) run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "anvilload-up-")
	if err != nil {
		return err
	}
	t, err := anviltrial.Open(ctx, c.bin, dir, anvilcell.NewPlan(), anviltrial.DemoTeams())
	if err != nil {
		return fmt.Errorf("%w; logs are in %s", err, dir)
	}
	printCell(t)
	<-ctx.Done()
	fmt.Println("stopping")
	stopped := t.Cell().StopAll(stopTimeout)
	if err := t.Close(); err != nil {
		return err
	}
	if stopped != nil {
		return fmt.Errorf("%w; logs are in %s", stopped, dir)
	}
	return os.RemoveAll(dir)
}

// printCell prints the addresses and keys of a cell and some example requests.
func printCell(t *anviltrial.Trial) {
	fronts := t.Cell().Fronts()
	fmt.Printf("platform  %s\n", t.Cell().Platform())
	for _, w := range t.Cell().Names(anvilcell.WorkerRole) {
		fmt.Printf("worker    %s %s\n", w, t.Cell().Addr(w))
	}
	for _, e := range t.Cell().Names(anvilcell.EntryRole) {
		fmt.Printf("entry     %s %s\n", e, t.Cell().Addr(e))
	}
	fmt.Printf("operator  %s\n", anviltrial.OperatorKey)
	for _, team := range t.Teams() {
		for _, k := range team.Keys() {
			fmt.Printf("team      %s %s\n", team.Name(), k)
		}
	}
	key := t.Teams()[0].Keys()[0]
	fmt.Printf("logs      %s\n\n", t.Cell().Dir())
	fmt.Printf("curl -i -H 'Authorization: Bearer %s' -H 'Size: 500m,256,0' --data 'work=20' http://%s/v1/call/layout\n", key, fronts[0])
	fmt.Printf("curl -i -H 'Authorization: Bearer %s' -d '{\"pool\":\"layout\",\"kind\":\"batch\",\"size\":{\"cpu\":\"1000\",\"memory\":\"512\"},\"run\":\"2000\"}' http://%s/v1/tasks\n", key, fronts[0])
	fmt.Printf("curl -H 'Authorization: Bearer %s' http://%s/v1/status\n", anviltrial.OperatorKey, fronts[len(fronts)-1])
}

// fail prints an error and returns the status of a failed command.
func fail(name string, err error) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "anvilload %s: %v\n", name, err)
	return subcommands.ExitFailure
}
