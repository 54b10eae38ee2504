package main

import (
	"context"
	"flag"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"anvilhold.org/lib/anvilclock"

	"anvilhold.org/standin/anvilactor"
	"anvilhold.org/standin/anvilapi"
	"anvilhold.org/standin/anvilplatform"
	"anvilhold.org/standin/anvilplatformapi"
)

func init() { subcommands.Register(&platformCommand{}, "users' platform") }

type platformCommand struct {
	addr string
}

func (*platformCommand) Name() string { return anvilplatformapi.PlatformCommand }
func (*platformCommand) Synopsis() string {
	return "run store, worker registry and advisor of the users' platform"
}
func (*platformCommand) Usage() string { return anvilplatformapi.PlatformCommand + " [-addr ADDR]\n" }

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.addr, "addr", "127.0.0.1:7200", "address to listen on")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log, err := newLog()
	if err != nil {
		return subcommands.ExitFailure
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	actor := anvilactor.New[*anvilplatform.Platform]()
	srv, err := anvilapi.Serve(c.addr, anvilplatformapi.NewPlatform(actor))
	if err != nil {
		log.Error(err, "cannot listen", "addr", c.addr)
		return subcommands.ExitFailure
	}
	log.Info("serving", "event", 4204, "addr", srv.Addr())
	actor.Run(ctx, anvilplatform.New(anvilclock.NewBoot(), randomPercent{}, anvilplatformapi.HeartbeatInterval))
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(shutdownCtx); err != nil {
		log.Info("connections were still open", "reason", err.Error())
	}
	return subcommands.ExitSuccess
}
