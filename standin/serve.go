package main

import (
	"context"
	"flag"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"anvilhold.org/lib/anvilclock"

	"anvilhold.org/standin/anvilactor"
	"anvilhold.org/standin/anvilapi"
	"anvilhold.org/standin/anvilcontrolplane"
)

func init() { subcommands.Register(&serveCommand{}, "") }

// shutdownTimeout is how long the server waits for open connections at shutdown.
const shutdownTimeout = time.Second

type serveCommand struct {
	addr   string
	lag    int64
	writes int64
	reads  int64
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run table, object store and instance registry" }
func (*serveCommand) Usage() string    { return "serve [flags]\n" }

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.addr, "addr", "127.0.0.1:7000", "address to listen on")
	f.Int64Var(&c.lag, "lag", anvilcontrolplane.DefaultLag, "lag of the instance registry in ms")
	f.Int64Var(&c.writes, "writes", anvilcontrolplane.DefaultWriteRate, "limit of writes per second")
	f.Int64Var(&c.reads, "reads", anvilcontrolplane.DefaultReadRate, "limit of reads per second")
}

func (c *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log, err := newLog()
	if err != nil {
		return subcommands.ExitFailure
	}
	if f.NArg() > 0 || c.lag < 0 || c.writes < 1 || c.reads < 1 {
		log.Info("lag must not be negative, writes and reads must be positive, and no arguments are allowed")
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	controlPlane := anvilcontrolplane.New(randomPercent{},
		anvilcontrolplane.WithLag(anvilclock.Millis(c.lag)), anvilcontrolplane.WithRates(c.writes, c.reads))
	actor := anvilactor.New[*anvilcontrolplane.ControlPlane]()
	srv, err := anvilapi.Serve(c.addr, anvilapi.NewControlPlane(actor))
	if err != nil {
		log.Error(err, "cannot listen", "addr", c.addr)
		return subcommands.ExitFailure
	}
	log.Info("serving", "event", 4201, "addr", srv.Addr())
	actor.Run(ctx, controlPlane)
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(shutdownCtx); err != nil {
		log.Info("connections were still open", "reason", err.Error())
	}
	return subcommands.ExitSuccess
}
