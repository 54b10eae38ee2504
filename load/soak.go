package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"anvilhold.org/load/anvilsoak"
)

func init() { subcommands.Register(&soakCommand{}, "") }

type soakCommand struct {
	bin     string
	seed    uint64
	seeds   int
	seconds int
	entries int
	workers int
	domains bool
	lasting bool
	idle    int
	rate    int
	faults  string
	logs    string
	link    int
}

func (*soakCommand) Name() string { return "soak" }
func (*soakCommand) Synopsis() string {
	return "run the programs on the stand-in of the users' platform under faults and check the promises"
}
func (*soakCommand) Usage() string {
	return "anvilload soak [-bin DIR] [-seed N] [-seeds N] [-seconds N] [-entries N] [-workers N] [-domains] [-lasting]\n" +
		"    [-idle N] [-rate N] [-faults LIST] [-logs DIR] [-link N]\n" +
		"  Runs seeds one after the other. The logs of a seed with a violation are kept.\n"
}

func (c *soakCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.bin, "bin", "bin", "directory of the programs")
	f.Uint64Var(&c.seed, "seed", 1, "first seed")
	f.IntVar(&c.seeds, "seeds", 1, "number of seeds")
	f.IntVar(&c.seconds, "seconds", 15, "for how long a run injects faults")
	f.IntVar(&c.entries, "entries", 4, "number of entry instances")
	f.IntVar(&c.workers, "workers", 8, "number of workers")
	f.BoolVar(&c.domains, "domains", false, "add faults of whole failure domains and of the leader, and long jobs")
	f.BoolVar(&c.lasting, "lasting", false, "submit long-running jobs, and inject rounds of lost workers and disturbed leaders")
	f.IntVar(&c.idle, "idle", 0, "for how many seconds no job is submitted before the first fault")
	f.IntVar(&c.rate, "rate", 0, "submit this many jobs a second of one short task each, and no random jobs and faults")
	f.StringVar(&c.faults, "faults", "", "with -rate, the faults to inject, such as compact@285s,kill-leader@290s,slow@60s+120s,evacuate-domain@9s+20s")
	f.IntVar(&c.link, "link", 0, "width of the link to a second region in Mbit/s, with a large configuration that changes in series; 0 for none")
	f.StringVar(&c.logs, "logs", "", "existing directory in which the logs of all seeds are kept")
}

func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if c.seeds < 1 || c.seconds < 3 || c.seconds > 600 || c.idle < 0 || c.idle > 300 || c.rate < 0 || c.rate > 200 || c.link < 0 {
		return fail("soak", errors.New("-seeds must be positive, -seconds from 3 to 600, -idle from 0 to 300, -rate at most 200, -link not negative"))
	}
	withViolations := 0
	for i := range c.seeds {
		violated, err := c.run(ctx, c.seed+uint64(i))
		if err != nil {
			return fail("soak", err)
		}
		if violated {
			withViolations++
		}
	}
	fmt.Printf("soak: seeds=%d with_violations=%d\n", c.seeds, withViolations)
	if withViolations > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *soakCommand) run(ctx context.Context, seed uint64) (bool, error) {
	opts := []anvilsoak.Option{
		anvilsoak.WithLength(time.Duration(c.seconds) * time.Second), anvilsoak.WithSizes(c.entries, c.workers), anvilsoak.WithGangs(),
		anvilsoak.WithIdle(time.Duration(c.idle) * time.Second),
	}
	if c.rate > 0 {
		var faults []anvilsoak.Fault
		if c.faults != "" {
			var err error
			if faults, err = anvilsoak.ParseSchedule(c.faults); err != nil {
				return false, err
			}
		}
		opts = append(opts, anvilsoak.WithShortJobs(c.rate), anvilsoak.WithSchedule(faults))
	}
	if c.link > 0 {
		opts = append(opts, anvilsoak.WithLink(c.link))
	}
	if c.domains {
		opts = append(opts, anvilsoak.WithDomainFaults())
	}
	if c.lasting {
		opts = append(opts, anvilsoak.WithLongRunning())
	}
	dir, err := os.MkdirTemp(c.logs, fmt.Sprintf("anvilload-soak-%d-", seed))
	if err != nil {
		return false, err
	}
	s, err := anvilsoak.New(seed, c.bin, dir, opts...)
	if err != nil {
		return false, err
	}
	r, err := s.Run(ctx)
	if err != nil {
		return false, fmt.Errorf("seed %d: %w; logs are in %s", seed, err, dir)
	}
	fmt.Printf("seed=%d %s\n", seed, r)
	if len(r.Violations()) == 0 && c.logs != "" {
		return false, nil
	}
	if len(r.Violations()) == 0 {
		return false, os.RemoveAll(dir)
	}
	for _, v := range r.Violations() {
		fmt.Println("  " + v)
	}
	fmt.Printf("  logs are in %s\n", dir)
	return true, nil
}
