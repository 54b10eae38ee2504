package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

func init() { subcommands.Register(&versionCommand{}, "") }

type versionCommand struct{}

func (*versionCommand) Name() string { return "version" }

func (*versionCommand) Synopsis() string { return "print the version" }

func (*versionCommand) Usage() string {
	return "version\n\nPrints the versions of the program and of the Go toolchain that built it.\n"
}

func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fail(fmt.Errorf("the program was built without module information"))
	}
	fmt.Println("anvilentry", info.Main.Version, info.GoVersion)
	return subcommands.ExitSuccess
}
