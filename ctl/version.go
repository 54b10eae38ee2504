package main

import (
	"context"
	"errors"
	"flag"
	"runtime/debug"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilview"
)

func init() {
	subcommands.Register(&versionCommand{info{
		name: "version", synopsis: "print the version",
		detail: "Prints the versions of the program and of the Go toolchain that built it.",
	}}, localGroup)
}

type versionCommand struct{ info }

func (*versionCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return run(ctx, f, 0, 0, func(_ context.Context, e *env) error {
		built, ok := debug.ReadBuildInfo()
		if !ok {
			return errors.New("the program was built without module information")
		}
		return e.show(anvilview.NewRecord().Set("anvilctl", built.Main.Version).Set("go", built.GoVersion))
	})
}
