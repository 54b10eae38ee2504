package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/subcommands"

	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/load/anvilaudit"
	"anvilhold.org/load/anvilcaller"
)

// Limits of the flags, so that a wrong value can't overload a machine.
const (
	maxRate        = 20_000
	maxSeconds     = 600
	maxConcurrency = 1000
)

func init() { subcommands.Register(&sendCommand{}, "") }

type sendCommand struct {
	rate        int
	seconds     int
	concurrency int
	key         string
	pool        string
	size        string
	body        string
	once        bool
}

func (*sendCommand) Name() string     { return "send" }
func (*sendCommand) Synopsis() string { return "send bounded load to front addresses" }
func (*sendCommand) Usage() string {
	return "anvilload send [flags] IP:PORT...\n  Sends calls to the given entry instances and prints outcomes and response times.\n"
}

func (c *sendCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.rate, "rate", 100, "calls per second")
	f.IntVar(&c.seconds, "seconds", 10, "duration of the load in seconds")
	f.IntVar(&c.concurrency, "concurrency", 16, "calls in flight")
	f.StringVar(&c.key, "key", "", "team key; empty for the open queues")
	f.StringVar(&c.pool, "pool", "layout", "pool")
	f.StringVar(&c.size, "size", "500m,256,0", "size of a call")
	f.StringVar(&c.body, "body", "work=10", "body of a call; a line break is added")
	f.BoolVar(&c.once, "once", false, "mark the calls as non-idempotent")
}

func (c *sendCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	size, err := c.check(f.Args())
	if err != nil {
		fmt.Fprintf(os.Stderr, "anvilload send: %v\n", err)
		return subcommands.ExitUsageError
	}
	balancer := anvilcaller.NewBalancer(ctx, anvilcaller.FixedFronts(f.Args()))
	defer balancer.Close()
	client := anvilcaller.New(balancer)
	defer client.Close()
	results := make(chan anvilaudit.Request, c.concurrency)
	go c.send(ctx, client, size, results)
	newTally().collect(results).print()
	return subcommands.ExitSuccess
}

func (c *sendCommand) check(fronts []string) (anvilsize.Size, error) {
	switch {
	case len(fronts) == 0:
		return anvilsize.Size{}, errors.New("no front address")
	case c.rate < 1 || c.rate > maxRate:
		return anvilsize.Size{}, fmt.Errorf("-rate must be from 1 to %d", maxRate)
	case c.seconds < 1 || c.seconds > maxSeconds:
		return anvilsize.Size{}, fmt.Errorf("-seconds must be from 1 to %d", maxSeconds)
	case c.concurrency < 1 || c.concurrency > maxConcurrency:
		return anvilsize.Size{}, fmt.Errorf("-concurrency must be from 1 to %d", maxConcurrency)
	}
	return anvilsize.Parse(c.size)
}

// send sends the calls, and closes results after the last one.
func (c *sendCommand) send(ctx context.Context, client *anvilcaller.Client, size anvilsize.Size, results chan<- anvilaudit.Request) {
	defer close(results)
	paceCtx, cancel := context.WithTimeout(ctx, time.Duration(c.seconds)*time.Second)
	defer cancel()
	permits := make(chan struct{})
	go anvilcaller.Pace(paceCtx, c.rate, permits)
	var senders sync.WaitGroup
	for range c.concurrency {
		senders.Go(func() {
			for range permits {
				t := anviltask.New(anviltask.NewID(), anviltask.Call, c.pool, anviltask.WithSize(size),
					anviltask.WithBody([]byte(c.body+"\n")), anviltask.WithNonIdempotent(c.once))
				results <- client.Call(ctx, c.key, t)
			}
		})
	}
	senders.Wait()
}

// Range of the histogram: one millisecond to five minutes, with three significant digits.
const (
	minWait    = 1
	maxWait    = 300_000
	waitDigits = 3
)

// tally counts results by outcome and records their response times. It is not safe for concurrent use.
type tally struct {
	outcomes map[string]int
	wrong    int
	waits    *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{outcomes: make(map[string]int), waits: hdrhistogram.New(minWait, maxWait, waitDigits)}
}

func (t *tally) collect(results <-chan anvilaudit.Request) *tally {
	for r := range results {
		attempts := r.Attempts()
		last := attempts[len(attempts)-1]
		t.outcomes[strings.TrimSpace(fmt.Sprintf("%s %s", last.Outcome(), last.Code()))]++
		if last.Mismatch() != "" {
			t.wrong++
		}
		// A longer wait is recorded as maxWait.
		_ = t.waits.RecordValue(min(int64(last.Answered()-attempts[0].Sent()), maxWait))
	}
	return t
}

func (t *tally) print() {
	names := make([]string, 0, len(t.outcomes))
	for n := range t.outcomes {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		fmt.Printf("%-24s %d\n", n, t.outcomes[n])
	}
	fmt.Printf("%-24s %d\n", "wrong answers", t.wrong)
	for _, q := range []float64{50, 90, 99, 99.9, 100} {
		fmt.Printf("p%-23g %d ms\n", q, t.waits.ValueAtQuantile(q))
	}
}
