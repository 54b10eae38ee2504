// Command anvilctl is the command line of the operators of a cell: it reads and changes the configuration and
// shows entry instances, workers, teams and tasks. Its man page is docs/man/anvilctl.1.md.
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
