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

// invariantStatus is the exit status with which a process reports that an assertion failed.
const invariantStatus = 3

// pollInterval is the pause between two looks at a process that starts.
const pollInterval = 50 * time.Millisecond

// startLimit bounds the start of a process. A new entry instance needs its first full read of the
// table, which takes milliseconds; the rest allows for a busy machine.
const startLimit = 15 * time.Second

// Plan returns the plan.
func (c *Cell) Plan() Plan { return c.plan }

// Dir returns the directory with logs, settings and traces.
func (c *Cell) Dir() string { return c.dir }

// Platform returns the platform's address.
func (c *Cell) Platform() string {
	var addr string
	_ = c.do(func(s *state) error {
		addr = s.platform
		return nil
	})
	return addr
}

// Names returns the names of the live processes of a role.
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

// Fronts returns the front addresses of the live entry instances.
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

// Entry returns the name of the live entry instance at a place of the plan, empty when there is none.
func (c *Cell) Entry(place int) string {
	var name string
	_ = c.do(func(s *state) error {
		for _, p := range s.procs {
			if p.role == EntryRole && p.place == place && p.alive() {
				name = p.name
			}
		}
		return nil
	})
	return name
}

// Addr returns the address of the last process with a name.
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

// incarnation is the end of a worker's process and its trace.
type incarnation struct {
	trace  string
	died   anvilclock.Millis
	frozen []anvilaudit.Span
}

// Evidence is what the cell itself knows for the audit.
type Evidence struct {
	incarnations []incarnation
	exits        []anvilaudit.Exit
}

// Exits returns the processes that ended though the harness had not ended them, and those that ended
// because an assertion failed.
func (e *Evidence) Exits() []anvilaudit.Exit { return e.exits }

// Traces reads the traces of all workers, also while they run.
func (e *Evidence) Traces() ([]anvilaudit.Trace, error) {
	var traces []anvilaudit.Trace
	for _, l := range e.incarnations {
		f, err := os.Open(l.trace)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		events, err := anvilaudit.ReadTrace(f)
		if err := errors.Join(err, f.Close()); err != nil {
			return nil, fmt.Errorf("%s: %w", l.trace, err)
		}
		traces = append(traces, anvilaudit.NewTrace(events, l.died, l.frozen...))
	}
	return traces, nil
}

// Evidence returns the log of ends and freezes. It must be called before Close.
func (c *Cell) Evidence() (*Evidence, error) {
	e := &Evidence{}
	err := c.do(func(s *state) error {
		for _, p := range s.procs {
			if !p.alive() && (!p.asked || p.status == invariantStatus) {
				e.exits = append(e.exits, anvilaudit.NewExit(p.died, p.name, fmt.Sprintf("ended with status %d, log %s", p.status, p.log)))
			}
			if p.role != WorkerRole {
				continue
			}
			died := p.died
			if p.killed > 0 {
				died = p.killed
			}
			e.incarnations = append(e.incarnations, incarnation{trace: p.trace, died: died, frozen: p.spans()})
		}
		return nil
	})
	return e, err
}

// WaitReady waits until an entry instance is ready.
func (c *Cell) WaitReady(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
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

// WaitUp waits until a process listens on its address. Before that, a process may not handle signals
// yet, so that a request to stop would end it as a kill does.
func (c *Cell) WaitUp(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
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

func poll(ctx context.Context, what string, ready func() bool) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for !ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", what, ctx.Err())
		case <-t.C:
		}
	}
	return nil
}
