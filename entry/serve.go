package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"anvilhold.org/entry/anvilsetting"
)

func init() { subcommands.Register(&serveCommand{}, "") }

type serveCommand struct {
	settings string
}

func (*serveCommand) Name() string { return "serve" }

func (*serveCommand) Synopsis() string { return "run an entry instance" }

func (*serveCommand) Usage() string {
	return "serve -settings FILE\n\nRuns an entry instance until SIGTERM or SIGINT. A second signal ends it at once.\n"
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) { settingsFlag(f, &c.settings) }

func (c *serveCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	set, err := anvilsetting.Load(c.settings)
	if err != nil {
		return fail(err)
	}
	log, err := newLog(set.Log().Level())
	if err != nil {
		return fail(err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	n, err := newNode(set, log)
	if err != nil {
		return fail(err)
	}
	if err := n.start(); err != nil {
		return fail(err)
	}
	select {
	case <-signals:
		err = n.leave(signals)
	case err = <-n.errs:
	}
	if err != nil {
		log.Error(err, "stopped")
		return subcommands.ExitFailure
	}
	log.Info("stopped")
	return subcommands.ExitSuccess
}

func settingsFlag(f *flag.FlagSet, to *string) {
	f.StringVar(to, "settings", "anvilentry.toml", "settings file")
}

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}
