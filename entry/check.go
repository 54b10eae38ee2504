package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"anvilhold.org/entry/anvilsetting"
)

func init() { subcommands.Register(&checkCommand{}, "") }

type checkCommand struct {
	settings string
}

func (*checkCommand) Name() string { return "check" }

func (*checkCommand) Synopsis() string { return "check a settings file" }

func (*checkCommand) Usage() string {
	return "check -settings FILE\n\nPrints every mistake in the settings without starting anything.\n"
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) { settingsFlag(f, &c.settings) }

func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := anvilsetting.Load(c.settings); err != nil {
		return fail(err)
	}
	fmt.Println(c.settings + ": ok")
	return subcommands.ExitSuccess
}
