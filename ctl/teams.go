package main

import (
	"context"
	"flag"
	"maps"
	"slices"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilclient"
	"anvilhold.org/ctl/anvilview"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilwire"
)

func init() {
	subcommands.Register(&teamsCommand{info{
		name: "teams", synopsis: "list the limits and usage of the teams",
		detail: "Sums part, running, queued and share over the entry instances at the given addresses.",
	}}, cellGroup)
}

type teamsCommand struct{ info }

// teamSum is the usage of one team, added up over entry instances. part is the sum of the allocations of the limit that
// the instances hold in escrow.
type teamSum struct {
	limit, allocated, running anvilsize.Size
	queued, share             int64
}

func (*teamsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 0, 0, func(ctx context.Context, e *env) error {
		cells, err := e.cells(ctx)
		if err != nil {
			return err
		}
		sums := sumTeams(cells)
		table := anvilview.NewTable("team", "limit", "part", "running", "queued", "share")
		for _, team := range slices.Sorted(maps.Keys(sums)) {
			s := sums[team]
			table.Add(team, s.limit, s.allocated, s.running, s.queued, anvilview.Percent(s.share))
		}
		return e.show(table)
	})
}

// sumTeams adds up the usage of each team over the entry instances. It doesn't add up the limits: each instance reports
// the limit of the whole cell, and the largest one counts if configuration versions differ.
func sumTeams(cells []*anvilwire.Cell) map[string]teamSum {
	sums := map[string]teamSum{}
	for _, cell := range cells {
		for _, m := range cell.GetTeams() {
			s := sums[m.GetTeam()]
			s.limit = s.limit.Max(anvilclient.SizeFromWire(m.GetLimit()))
			s.allocated = s.allocated.Add(anvilclient.SizeFromWire(m.GetPart()))
			s.running = s.running.Add(anvilclient.SizeFromWire(m.GetRunning()))
			s.queued += m.GetQueued()
			s.share += m.GetShare()
			sums[m.GetTeam()] = s
		}
	}
	return sums
}
