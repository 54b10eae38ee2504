package main

import (
	"context"
	"flag"
	"strings"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilclient"
	"anvilhold.org/ctl/anvilcontract"
	"anvilhold.org/ctl/anvilview"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilwire"
)

func init() {
	subcommands.Register(&contractPut{info: info{
		name: "contract-put", args: "[flags] [FILE]", synopsis: "write a contract",
		detail: "Writes the contract in FILE. Flags replace its values; without FILE they replace those of the team's\ncontract in force, or make a new contract.",
	}}, contractGroup)
}

type contractPut struct {
	info
	baseFlag
	team, limit, pools   string
	weight, rate, flight int64
}

// SetFlags declares the flags.
func (c *contractPut) SetFlags(f *flag.FlagSet) {
	c.declare(f)
	f.StringVar(&c.team, "team", "", "`NAME` of the team")
	f.StringVar(&c.limit, "limit", "", "upper limit `CPU,MEMORY,ACCEL`, such as 16,32768,0")
	f.Int64Var(&c.weight, "weight", 1, "weight of the team's share")
	f.Int64Var(&c.rate, "rate", 0, "requests a second that each entry instance admits; 0 means no limit")
	f.Int64Var(&c.flight, "flight", 0, "requests in flight that each entry instance admits; 0 means no limit")
	f.StringVar(&c.pools, "pools", "", "pools `NAME,...` that the team may use, or all")
}

// Execute runs the command.
func (c *contractPut) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 0, 1, func(ctx context.Context, t *tool) error {
		var contract anvilconfig.Contract
		done, err := t.change(ctx, c.baseFlag, func(cfg *anvilwire.Config, base int64) (anvilclient.Changed, error) {
			var err error
			if contract, err = c.contract(f, cfg); err != nil {
				return anvilclient.Changed{}, err
			}
			return t.client.Contract(ctx, anvilclient.Put, contract, base)
		})
		if err != nil {
			return err
		}
		return t.settle(ctx, done, anvilview.NewRecord().Set("contract", contract.Team()))
	})
}

// contract returns the contract of the file or else the one in force, with the flags that were given.
func (c *contractPut) contract(f *flag.FlagSet, cfg *anvilwire.Config) (anvilconfig.Contract, error) {
	v := anvilconfig.NewContract(c.team)
	if f.NArg() == 1 {
		var err error
		if v, err = anvilcontract.Load(f.Arg(0)); err != nil {
			return v, err
		}
	} else if c.team == "" {
		return v, usageError("a contract needs FILE or -team")
	} else if now, ok := findContract(cfg, c.team); ok {
		v = now
	} else if c.limit == "" {
		return v, usageError("team " + c.team + " has no contract yet; a new one needs -limit")
	}
	var err error
	var opts []anvilconfig.ContractOption
	f.Visit(func(given *flag.Flag) {
		switch given.Name {
		case "team":
			if c.team != v.Team() {
				err = usageError("the contract in the file is that of team " + v.Team())
			}
		case "limit":
			limit, wrong := anvilsize.Parse(c.limit)
			if wrong != nil {
				err = usageError(wrong.Error())
			}
			opts = append(opts, anvilconfig.WithLimit(limit))
		case "weight":
			if c.weight < 1 {
				err = usageError("-weight is below 1")
			}
			opts = append(opts, anvilconfig.WithWeight(c.weight))
		case "rate":
			opts = append(opts, anvilconfig.WithRate(c.rate))
		case "flight":
			opts = append(opts, anvilconfig.WithMaxInFlight(c.flight))
		case "pools":
			opts = append(opts, anvilconfig.WithPools(parsePools(c.pools)...))
		}
	})
	if err != nil {
		return v, err
	}
	for _, opt := range opts {
		opt(&v)
	}
	if _, err := anvilcontract.Parse("contract", anvilcontract.Format(v)); err != nil {
		return v, usageError(err.Error())
	}
	return v, nil
}

func parsePools(text string) []string {
	if text == "" || text == "all" {
		return nil
	}
	return strings.Split(text, ",")
}

func findContract(cfg *anvilwire.Config, team string) (anvilconfig.Contract, bool) {
	for _, m := range cfg.GetContracts() {
		if m.GetTeam() == team {
			return anvilclient.Contract(m), true
		}
	}
	return anvilconfig.Contract{}, false
}
