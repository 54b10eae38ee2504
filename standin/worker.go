package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/subcommands"
	"github.com/google/uuid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"

	"anvilhold.org/standin/anvilactor"
	"anvilhold.org/standin/anvilagent"
	"anvilhold.org/standin/anvilapi"
	"anvilhold.org/standin/anvilhost"
)

func init() { subcommands.Register(&workerCommand{}, "") }

type workerCommand struct {
	id, addr, platform   string
	domain, region, pool string
	size, trace          string
	usageLag             int64
	failPercent          int
}

func (*workerCommand) Name() string     { return "worker" }
func (*workerCommand) Synopsis() string { return "run a worker" }
func (*workerCommand) Usage() string    { return "worker -id ID [flags]\n" }

func (c *workerCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.id, "id", "", "id of the worker")
	f.StringVar(&c.addr, "addr", "127.0.0.1:7101", "address to listen on")
	f.StringVar(&c.platform, "platform", "127.0.0.1:7000", "address of the platform")
	f.StringVar(&c.domain, "domain", "d1", "failure domain")
	f.StringVar(&c.region, "region", "r1", "region")
	f.StringVar(&c.pool, "pool", "layout", "pool")
	f.StringVar(&c.size, "size", "64,131072,0", "capacity: cores, MiB and accelerators")
	f.StringVar(&c.trace, "trace", "", "file to append the trace to; none when empty")
	f.Int64Var(&c.usageLag, "usage", 1000, "lag of the reported usage in ms")
	f.IntVar(&c.failPercent, "failing", 0, "percent of the starts that fail at once")
}

func (c *workerCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log, err := newLog()
	if err != nil {
		return subcommands.ExitFailure
	}
	log = log.WithValues("worker", c.id)
	size, err := anvilsize.Parse(c.size)
	if err != nil || f.NArg() > 0 || c.id == "" || c.usageLag < 0 || c.failPercent < 0 || c.failPercent > 100 {
		log.Info("id must be set, size must be cores,MiB,accelerators, usage must not be negative, " +
			"failing must be between 0 and 100, and no arguments are allowed")
		return subcommands.ExitUsageError
	}
	if err := c.run(ctx, size, log); err != nil {
		log.Error(err, "worker failed")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *workerCommand) run(ctx context.Context, size anvilsize.Size, log logr.Logger) error {
	// The signal handler is installed before the worker registers; otherwise an early SIGTERM would end the process
	// without a drain.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	boot := uuid.NewString()
	clock := anvilclock.NewSystem()
	alarm := anvilagent.NewAlarm(log)
	trace, err := c.openTrace(boot, alarm)
	if err != nil {
		return err
	}
	trace.Boot(clock.Unix(), size)
	actor := anvilactor.New[*anvilhost.Host]()
	host, err := anvilhost.New(c.id, boot, size, anvilagent.NewObjects(c.platform, c.region, actor), trace, alarm,
		anvilhost.WithClock(clock),
		anvilhost.WithUsageLag(anvilclock.Millis(c.usageLag)),
		anvilhost.WithStartFailures(c.failPercent, randomPercent{}))
	if err != nil {
		return err
	}
	srv, err := anvilapi.Serve(c.addr, anvilapi.NewWorker(actor, boot))
	if err != nil {
		return err
	}
	log.Info("serving", "event", 4202, "addr", srv.Addr(), "boot", boot)
	reg := anvilagent.NewRegistrar(c.platform, c.id, anvilagent.NewRegistration(srv.Addr(), c.domain, c.region, c.pool), size, log)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	unregistered := make(chan struct{})
	go func() {
		defer close(unregistered)
		reg.Run(ctx)
	}()
	actorDone := make(chan struct{})
	go func() {
		defer close(actorDone)
		actor.Run(ctx, host)
	}()
	<-signals
	log.Info("leaving", "event", 4203)
	reg.Leave()
	anvilagent.Drain(actor)
	shutdownCtx, stop := context.WithTimeout(ctx, 500*time.Millisecond)
	defer stop()
	if err := srv.Shutdown(shutdownCtx); err != nil {
		log.Info("connections were still open", "reason", err.Error())
	}
	cancel()
	<-actorDone
	<-unregistered
	return nil
}

func (c *workerCommand) openTrace(boot string, alarm *anvilagent.Alarm) (*anvilagent.Trace, error) {
	name := c.trace
	if name == "" {
		name = os.DevNull
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return anvilagent.NewTrace(file, c.id, boot, alarm.TraceFailed), nil
}
