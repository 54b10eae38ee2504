package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"anvilhold.org/ctl/anvilclient"
	"anvilhold.org/lib/anvilerror"
)

// Exit statuses in addition to those of package subcommands. docs/man/anvilctl.1.md lists all of them.
const (
	exitConflict    subcommands.ExitStatus = 3 // the change was refused because another change came first
	exitUnreachable subcommands.ExitStatus = 4 // no entry instance could be reached; nothing was changed
	exitUnknown     subcommands.ExitStatus = 5 // it is unknown whether the request ran or, with -wait, whether a change is in force everywhere
)

// Names of the groups in which the command help lists the commands.
const (
	contractGroup = "contracts"
	keyGroup      = "keys"
	leaveGroup    = "leave marks"
	cellGroup     = "cell"
	taskGroup     = "tasks"
	localGroup    = "local files"
)

// info implements the methods of subcommands.Command that describe a command. Commands embed it and add Execute.
// args is empty for commands without arguments.
type info struct {
	name, args, synopsis, detail string
}

func (i info) Name() string { return i.name }

// Synopsis returns the one-line description that the list of commands shows.
func (i info) Synopsis() string { return i.synopsis }

func (i info) Usage() string { return fmt.Sprintf("%s %s\n\n%s\n", i.name, i.args, i.detail) }

// SetFlags declares no flags. Commands with flags override it.
func (info) SetFlags(*flag.FlagSet) {}

// usageError describes a mistake in the arguments or flags; it ends the command with exit status 2.
type usageError string

func (e usageError) Error() string { return string(e) }

// run calls execute if the number of arguments is within the bounds, prints its error and returns the exit status.
func run(ctx context.Context, f *flag.FlagSet, minArgs, maxArgs int, execute func(context.Context, *env) error) subcommands.ExitStatus {
	if n := f.NArg(); n < minArgs || n > maxArgs {
		return reportError(f.Name(), usageError(fmt.Sprintf("%d arguments; see anvilctl help %s", n, f.Name())))
	}
	e, err := global.open()
	if err == nil {
		err = execute(ctx, e)
	}
	return reportError(f.Name(), err)
}

// reportError prints err, unless it is nil, and returns the exit status for it.
func reportError(name string, err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintf(os.Stderr, "anvilctl %s: %v\n", name, err)
	}
	return exitStatus(err)
}

func exitStatus(err error) subcommands.ExitStatus {
	var usage usageError
	var conflict *anvilclient.ConflictError
	var unreachable *anvilclient.UnreachableError
	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case errors.As(err, &usage):
		return subcommands.ExitUsageError
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unreachable):
		return exitUnreachable
	case anvilclient.Outcome(err) == anvilerror.Unknown:
		return exitUnknown
	default:
		return subcommands.ExitFailure
	}
}

// missingError returns an error with code anvilerror.Missing, for a name or id that the command can't find.
func missingError(format string, args ...any) error {
	return anvilerror.Refuse(anvilerror.Missing, fmt.Sprintf(format, args...))
}
