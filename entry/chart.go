package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"

	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilchart"
)

func init() { subcommands.Register(&chartCommand{}, "") }

type chartCommand struct {
	dot bool
}

func (*chartCommand) Name() string { return "chart" }

func (*chartCommand) Synopsis() string { return "print a state chart" }

func (*chartCommand) Usage() string {
	return "chart [-dot] NAME\n\nPrints the file of a state chart; NAME is one of " + strings.Join(anvilcontrol.ChartNames(), ", ") + ".\n"
}

func (c *chartCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.dot, "dot", false, "print Graphviz text instead")
}

func (c *chartCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		_, _ = fmt.Fprint(f.Output(), c.Usage())
		return subcommands.ExitUsageError
	}
	name := f.Arg(0)
	text, err := anvilcontrol.ChartText(name)
	if err != nil {
		return fail(err)
	}
	if c.dot {
		chart, err := anvilchart.Load("charts/"+name+".toml", text, nil)
		if err != nil {
			return fail(err)
		}
		text = chart.Dot()
	}
	fmt.Print(text)
	return subcommands.ExitSuccess
}
