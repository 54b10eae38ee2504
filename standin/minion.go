package main

import (
	"context"
	"flag"
	"math"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/subcommands"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"

	"anvilhold.org/standin/anvilactor"
	"anvilhold.org/standin/anvilapi"
	"anvilhold.org/standin/anvilplatformapi"
	"anvilhold.org/standin/anvilplatformworker"
)

func init() { subcommands.Register(&minionCommand{}, "users' platform") }

type minionCommand struct {
	id, addr, advertisedAddr, platform string
	pool, domain, rack                 string
	size                               string
	latePercent, lingerMillis          int
	maxLeaseMillis                     int64
	slowPercent                        float64
}

func (*minionCommand) Name() string     { return anvilplatformapi.WorkerCommand }
func (*minionCommand) Synopsis() string { return "run a worker of the users' platform" }
func (*minionCommand) Usage() string {
	return anvilplatformapi.WorkerCommand + " -id ID [flags]\n\nWrites a trace to standard output. On SIGTERM the worker drains and leaves.\n"
}

func (c *minionCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.id, "id", "", "id of the worker")
	f.StringVar(&c.addr, "addr", "127.0.0.1:7300", "address to listen on")
	f.StringVar(&c.advertisedAddr, "listed", "", "address in the worker registry; the address to listen on when empty")
	f.StringVar(&c.platform, "site", "127.0.0.1:7200", "address of the users' platform")
	f.StringVar(&c.pool, "pool", "layout", "pool")
	f.StringVar(&c.domain, "domain", "d1", "failure domain")
	f.StringVar(&c.rack, "rack", "r1", "label of the rack")
	f.StringVar(&c.size, "size", "16,32768,0", "capacity: cores, MiB and accelerators")
	f.IntVar(&c.latePercent, "late", 0, "percent of the starts that are carried out late and not answered")
	f.Float64Var(&c.slowPercent, "slow", 0, "percent by which the worker's clock is slow, with up to four decimals")
	f.IntVar(&c.lingerMillis, "linger", 0, "milliseconds that the worker serves on after the time for draining")
	f.Int64Var(&c.maxLeaseMillis, "lease", int64(anvilplatformapi.MaxLease), "milliseconds of the longest lease")
}

// slowClock is a clock that starts at 1 and runs slower than the machine's by ppm parts per million.
type slowClock struct {
	anvilclock.Clock
	start anvilclock.Millis
	ppm   int
}

// Now returns the time since the start, reduced by the lag. It is never 0, which stands for no time.
func (s slowClock) Now() anvilclock.Millis {
	return (s.Clock.Now()-s.start)*anvilclock.Millis(1_000_000-s.ppm)/1_000_000 + 1
}

func (c *minionCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	log, err := newLog()
	if err != nil {
		return subcommands.ExitFailure
	}
	log = log.WithValues("worker", c.id)
	size, err := anvilsize.Parse(c.size)
	if err != nil || c.id == "" || c.latePercent < 0 || c.latePercent > 100 || c.slowPercent < 0 || c.slowPercent > 50 || c.lingerMillis < 0 || c.maxLeaseMillis < 1 {
		log.Info("id must be set, size must be cores,MiB,accelerators, late 0 to 100, slow 0 to 50, linger not negative and lease positive")
		return subcommands.ExitUsageError
	}
	if err := c.run(ctx, size, log); err != nil {
		log.Error(err, "worker failed")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *minionCommand) run(ctx context.Context, size anvilsize.Size, log logr.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	boot := anvilclock.NewBoot()
	clock := slowClock{Clock: boot, start: boot.Now(), ppm: int(math.Round(c.slowPercent * 10_000))}
	startedAt := time.Now().UnixMilli()
	actor := anvilactor.New[*anvilplatformworker.Worker]()
	worker, err := anvilplatformworker.New(c.id, size, clock, anvilplatformapi.NewTracer(os.Stdout, c.id, clock), anvilplatformapi.NewGangs(c.platform, actor),
		anvilplatformworker.WithSlowClock(clock.ppm), anvilplatformworker.WithMaxLease(anvilclock.Millis(c.maxLeaseMillis)))
	if err != nil {
		return err
	}
	srv, err := anvilapi.Serve(c.addr, anvilplatformapi.NewWorker(actor, c.id, startedAt, c.latePercent, randomPercent{}, anvilplatformapi.NewResumeGate(ctx)))
	if err != nil {
		return err
	}
	log.Info("serving", "event", 4205, "addr", srv.Addr(), "born", startedAt)
	if c.advertisedAddr == "" {
		c.advertisedAddr = srv.Addr()
	}
	go actor.Run(ctx, worker)
	reg := anvilplatformapi.NewRegistrar(c.platform, c.id, startedAt, anvilplatformapi.NewRegistration(c.advertisedAddr, c.pool, c.domain, c.rack, size))
	c.sendHeartbeats(ctx, reg, signals, log)
	return nil
}

// sendHeartbeats sends a heartbeat every interval until a signal has arrived and the time for draining has passed. Then
// it removes the worker from the registry.
func (c *minionCommand) sendHeartbeats(ctx context.Context, reg *anvilplatformapi.Registrar, signals <-chan os.Signal, log logr.Logger) {
	ticker := time.NewTicker(anvilplatformapi.HeartbeatInterval.Duration())
	defer ticker.Stop()
	var leaveAt time.Time // zero until a signal has arrived
	for {
		remaining := anvilclock.Millis(0)
		if !leaveAt.IsZero() {
			if remaining = anvilclock.FromDuration(time.Until(leaveAt)); remaining <= 0 {
				break
			}
		}
		if err := reg.Heartbeat(ctx, remaining); err != nil {
			log.Info("heartbeat failed", "event", 4206, "reason", err.Error())
		}
		select {
		case <-signals:
			leaveAt = time.Now().Add((anvilplatformapi.DrainTime + 2*anvilplatformapi.HeartbeatInterval + anvilclock.Millis(c.lingerMillis)).Duration())
			log.Info("draining", "event", 4207)
		case <-ticker.C:
		}
	}
	if err := reg.Unregister(ctx); err != nil {
		log.Info("could not unregister; the registration lasts until it expires", "event", 4206, "reason", err.Error())
	}
}
