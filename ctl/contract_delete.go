package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilclient"
	"anvilhold.org/ctl/anvilview"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilwire"
)

func init() {
	subcommands.Register(&contractDelete{info: info{
		name: "contract-delete", args: "[-base VERSION] TEAM", synopsis: "delete a contract",
		detail: "Deletes a team's contract. Its keys stay; withdraw them with key-withdraw.",
	}}, contractGroup)
}

type contractDelete struct {
	info
	baseFlag
}

func (c *contractDelete) SetFlags(f *flag.FlagSet) { c.declare(f) }

func (c *contractDelete) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 1, 1, func(ctx context.Context, e *env) error {
		team := f.Arg(0)
		accepted, err := e.change(ctx, c.baseFlag, func(cfg *anvilwire.Config, base int64) (anvilclient.AcceptedChange, error) {
			if _, ok := findContract(cfg, team); !ok {
				return anvilclient.AcceptedChange{}, missingError("team %s has no contract at version %d", team, cfg.GetVersion())
			}
			return e.client.ChangeContract(ctx, anvilclient.Delete, anvilconfig.NewContract(team), base)
		})
		if err != nil {
			return err
		}
		return e.reportChange(ctx, accepted, anvilview.NewRecord().Set("deleted", team))
	})
}
