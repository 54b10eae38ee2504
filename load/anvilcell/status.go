package anvilcell

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/load/anvilaudit"
)

// invariantStatus is the exit status of a process in which an invariant was violated.
const invariantStatus = 3

// pollInterval is the time between two checks of a process that starts.
const pollInterval = 50 * time.Millisecond

// startTimeout is how long a process may take to start. A new entry instance must first read the whole table, which
// takes milliseconds unless the machine is busy.
const startTimeout = 15 * time.Second

// Plan returns the plan that the cell was started with.
func (c *Cell) Plan() Plan { return c.plan }

// Dir returns the directory with logs, settings and traces.
func (c *Cell) Dir() string { return c.dir }

// Platform returns the address of the platform process; it is empty after Close.
func (c *Cell) Platform() string {
	var addr string
	_ = c.do(func(s *state) error {
		addr = s.platform
		return nil
	})
	return addr
}

// Names returns the names of the running processes of a role, in the order in which they were started. A paused
// process counts as running.
func (c *Cell) Names(role Role) []string {
	var names []string
	_ = c.do(func(s *state) error {
		for _, p := range s.procs {
			if p.role == role && p.alive() {
				names = append(names, p.name)
			}
		}
		return nil
	})
	return names
}

// Fronts returns the front addresses of the running entry instances, in the order in which they were started.
func (c *Cell) Fronts() []string {
	var addrs []string
	_ = c.do(func(s *state) error {
		for _, p := range s.procs {
			if p.role == EntryRole && p.alive() {
				addrs = append(addrs, p.addr)
			}
		}
		return nil
	})
	return addrs
}

// Entry returns the name of the running entry instance for entry planIndex of the plan; it is empty if there is
// none.
func (c *Cell) Entry(planIndex int) string {
	var name string
	_ = c.do(func(s *state) error {
		for _, p := range s.procs {
			if p.role == EntryRole && p.planIndex == planIndex && p.alive() {
				name = p.name
			}
		}
		return nil
	})
	return name
}

// Addr returns the address of the last process that was started under a name; it is empty if there was none.
func (c *Cell) Addr(name string) string {
	var addr string
	_ = c.do(func(s *state) error {
		if p := s.find(name); p != nil {
			addr = p.addr
		}
		return nil
	})
	return addr
}

// incarnation is one process of a worker: its trace file, when it ended and when it was paused.
type incarnation struct {
	trace  string
	ended  anvilclock.Millis
	pauses []anvilaudit.Interval
}

// Evidence holds the exits, pauses and trace files of the processes of a cell, as input of the audit.
type Evidence struct {
	incarnations []incarnation
	exits        []anvilaudit.Exit
}

// Exits returns the processes that exited although the harness had not ended them, and those that exited
// because an invariant was violated.
func (e *Evidence) Exits() []anvilaudit.Exit { return e.exits }

// Traces reads the traces of all workers, also of those that still run.
func (e *Evidence) Traces() ([]anvilaudit.Trace, error) {
	var traces []anvilaudit.Trace
	for _, inc := range e.incarnations {
		f, err := os.Open(inc.trace)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		events, err := anvilaudit.ReadTrace(f)
		if err := errors.Join(err, f.Close()); err != nil {
			return nil, fmt.Errorf("%s: %w", inc.trace, err)
		}
		traces = append(traces, anvilaudit.NewTrace(events, inc.ended, inc.pauses...))
	}
	return traces, nil
}

// Evidence returns the evidence about all processes that have been started so far. It fails after Close.
func (c *Cell) Evidence() (*Evidence, error) {
	e := &Evidence{}
	err := c.do(func(s *state) error {
		for _, p := range s.procs {
			if !p.alive() && (!p.stopRequested || p.status == invariantStatus) {
				e.exits = append(e.exits, anvilaudit.NewExit(p.endedAt, p.name, fmt.Sprintf("ended with status %d, log %s", p.status, p.log)))
			}
			if p.role != WorkerRole {
				continue
			}
			ended := p.endedAt
			if p.killedAt > 0 {
				ended = p.killedAt
			}
			e.incarnations = append(e.incarnations, incarnation{trace: p.trace, ended: ended, pauses: p.pauses()})
		}
		return nil
	})
	return e, err
}

// WaitReady waits until an entry instance reports that it is ready, for 15 s at most.
func (c *Cell) WaitReady(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	addr := c.Addr(name)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return poll(ctx, name, func() bool {
		resp, err := client.Get("http://" + addr + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// WaitListening waits until a process listens on its address, for 15 s at most. Before that, the process may not have
// installed its signal handlers, and SIGTERM would end it at once instead of gracefully.
func (c *Cell) WaitListening(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	addr := c.Addr(name)
	var d net.Dialer
	return poll(ctx, name, func() bool {
		conn, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
}

func poll(ctx context.Context, name string, ready func() bool) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for !ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", name, ctx.Err())
		case <-t.C:
		}
	}
	return nil
}
