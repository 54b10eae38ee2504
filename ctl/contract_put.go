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
		detail: "Writes the contract in FILE. Flags override its values; without FILE they override those of the team's\ncontract in force, or create a contract.",
	}}, contractGroup)
}

type contractPut struct {
	info
	baseFlag
	team, limit, pools        string
	weight, rate, maxInFlight int64
}

func (c *contractPut) SetFlags(f *flag.FlagSet) {
	c.declare(f)
	f.StringVar(&c.team, "team", "", "`NAME` of the team")
	f.StringVar(&c.limit, "limit", "", "upper limit `CPU,MEMORY,ACCEL`, such as 16,32768,0")
	f.Int64Var(&c.weight, "weight", 1, "weight of the team's share")
	f.Int64Var(&c.rate, "rate", 0, "requests a second that each entry instance admits; 0 means no limit")
	f.Int64Var(&c.maxInFlight, "flight", 0, "requests in flight that each entry instance admits; 0 means no limit")
	f.StringVar(&c.pools, "pools", "", "pools `NAME,...` that the team may use, or all")
}

func (c *contractPut) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 0, 1, func(ctx context.Context, e *env) error {
		var contract anvilconfig.Contract
		accepted, err := e.change(ctx, c.baseFlag, func(cfg *anvilwire.Config, base int64) (anvilclient.AcceptedChange, error) {
			var err error
			if contract, err = c.newContract(f, cfg); err != nil {
				return anvilclient.AcceptedChange{}, err
			}
			return e.client.ChangeContract(ctx, anvilclient.Put, contract, base)
		})
		if err != nil {
			return err
		}
		return e.reportChange(ctx, accepted, anvilview.NewRecord().Set("contract", contract.Team()))
	})
}

// newContract returns the contract in the file, if there is one, or else the team's contract in force or an empty
// one, with its values replaced by those of the flags that are set.
func (c *contractPut) newContract(f *flag.FlagSet, cfg *anvilwire.Config) (anvilconfig.Contract, error) {
	v := anvilconfig.NewContract(c.team)
	if f.NArg() == 1 {
		var err error
		if v, err = anvilcontract.Load(f.Arg(0)); err != nil {
			return v, err
		}
	} else if c.team == "" {
		return v, usageError("a contract needs FILE or -team")
	} else if inForce, ok := findContract(cfg, c.team); ok {
		v = inForce
	} else if c.limit == "" {
		return v, usageError("team " + c.team + " has no contract yet; a new one needs -limit")
	}
	var err error
	var opts []anvilconfig.ContractOption
	f.Visit(func(fl *flag.Flag) {
		switch fl.Name {
		case "team":
			if c.team != v.Team() {
				err = usageError("the contract in the file belongs to team " + v.Team())
			}
		case "limit":
			limit, parseErr := anvilsize.Parse(c.limit)
			if parseErr != nil {
				err = usageError(parseErr.Error())
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
			opts = append(opts, anvilconfig.WithMaxInFlight(c.maxInFlight))
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

// parsePools returns nil, which allows every pool, for an empty text and for "all".
func parsePools(text string) []string {
	if text == "" || text == "all" {
		return nil
	}
	return strings.Split(text, ",")
}

func findContract(cfg *anvilwire.Config, team string) (anvilconfig.Contract, bool) {
	for _, m := range cfg.GetContracts() {
		if m.GetTeam() == team {
			return anvilclient.ContractFromWire(m), true
		}
	}
	return anvilconfig.Contract{}, false
}
