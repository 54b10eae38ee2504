// Command anvilload is the load and fault injection tool: it starts cells, sends load, injects faults, audits what
// happened and measures costs. Its man page is docs/man/anvilload.1.md.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
