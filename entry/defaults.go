package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"anvilhold.org/entry/anvilsetting"
)

func init() { subcommands.Register(&defaultsCommand{}, "") }

type defaultsCommand struct{}

func (*defaultsCommand) Name() string { return "defaults" }

func (*defaultsCommand) Synopsis() string { return "print the commented default settings" }

func (*defaultsCommand) Usage() string {
	return "defaults\n\nPrints a settings file with every key, its range and its default.\n"
}

func (*defaultsCommand) SetFlags(*flag.FlagSet) {}

func (*defaultsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Print(anvilsetting.Defaults())
	return subcommands.ExitSuccess
}
