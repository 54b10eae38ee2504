// Package anvilcell starts the programs of a small cell on loopback ports, kills, pauses and replaces them, and
// collects their traces. One goroutine owns all state of the cell; for each process another one waits for its
// exit and reports it to that goroutine.
package anvilcell

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"syscall"
	"time"

	"anvilhold.org/lib/anvilclock"
)

// Bootstrap is the secret with which the first operator key of a new cell is set. It is the same in every cell that
// the harness starts.
const Bootstrap = "anvilload-bootstrap-secret"

// errClosed is the error of every operation after Close.
var errClosed = errors.New("the cell is closed")

// Cell is a running cell. It is safe for concurrent use.
type Cell struct {
	bin    string
	dir    string
	plan   Plan
	clock  anvilclock.Clock
	ops    chan func(*state)
	closed chan struct{}
}

// state is the state of a cell. The control goroutine owns it.
type state struct {
	usedAddrs map[string]bool
	procs     []*process
	platform  string
	entries   int
}

// Start starts a cell with the programs in the directory bin and with its files in the directory dir. It waits
// until every worker listens and every entry instance is ready. The caller must call Close; if Start fails, it
// has ended all processes.
func Start(ctx context.Context, bin, dir string, plan Plan) (*Cell, error) {
	c := &Cell{
		bin: bin, dir: dir, plan: plan, clock: anvilclock.NewSystem(),
		ops: make(chan func(*state)), closed: make(chan struct{}),
	}
	go c.control()
	if err := c.startAll(ctx); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

func (c *Cell) startAll(ctx context.Context) error {
	if err := c.do(c.startPlatform); err != nil {
		return err
	}
	if err := c.WaitListening(ctx, "platform"); err != nil {
		return err
	}
	for i := range c.plan.workers {
		if _, err := c.StartWorker(i); err != nil {
			return err
		}
	}
	var names []string
	for i := range c.plan.entries {
		name, err := c.StartEntry(i)
		if err != nil {
			return err
		}
		names = append(names, name)
	}
	for _, w := range c.plan.workers {
		if err := c.WaitListening(ctx, w.id); err != nil {
			return err
		}
	}
	for _, n := range names {
		if err := c.WaitReady(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// control runs the operations on the state until Close. It is locked to its thread; see spawn.
func (c *Cell) control() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	s := &state{usedAddrs: make(map[string]bool)}
	for {
		select {
		case op := <-c.ops:
			op(s)
		case <-c.closed:
			return
		}
	}
}

// do runs an operation on the control goroutine, waits for it and returns its error.
func (c *Cell) do(op func(*state) error) error {
	result := make(chan error, 1)
	select {
	case c.ops <- func(s *state) { result <- op(s) }:
		return <-result
	case <-c.closed:
		return errClosed
	}
}

func (c *Cell) path(name string) string { return filepath.Join(c.dir, name) }

func (c *Cell) launch(s *state, p *process, program string, args ...string) error {
	p.log = c.path(fmt.Sprintf("%s.%d.log", p.name, len(s.procs)))
	cmd, err := spawn(filepath.Join(c.bin, program), p.log, args...)
	if err != nil {
		return err
	}
	p.cmd, p.startedAt = cmd, c.clock.Unix()
	s.procs = append(s.procs, p)
	go c.awaitExit(p, cmd)
	return nil
}

// awaitExit waits for the exit of a process and then updates the state on the control goroutine.
func (c *Cell) awaitExit(p *process, cmd *exec.Cmd) {
	// An error only repeats the exit status, which exitCode returns.
	_ = cmd.Wait()
	at := c.clock.Unix()
	_ = c.do(func(*state) error {
		p.endedAt, p.status = at, exitCode(cmd)
		for _, w := range p.exitWaiters {
			w <- p.status
		}
		p.exitWaiters = nil
		return nil
	})
}

func (c *Cell) startPlatform(s *state) error {
	addr, err := freeAddr(s.usedAddrs)
	if err != nil {
		return err
	}
	s.platform = addr
	return c.launch(s, &process{name: "platform", role: PlatformRole, addr: addr}, "anvilplatform",
		"serve", "-addr", addr, "-lag", fmt.Sprint(int64(c.plan.lag)), "-writes", "400", "-reads", "2000")
}

// StartWorker starts worker i of the plan, also again after it has ended, and returns its id. It does not wait
// until the worker listens. A worker keeps its address, so that the platform's worker list, which may be stale,
// stays correct.
func (c *Cell) StartWorker(i int) (string, error) {
	w := c.plan.workers[i]
	return w.id, c.do(func(s *state) error {
		p := &process{name: w.id, role: WorkerRole, planIndex: i}
		if old := s.find(w.id); old != nil {
			if old.alive() {
				return fmt.Errorf("worker %s is still running", w.id)
			}
			p.addr = old.addr
		} else {
			addr, err := freeAddr(s.usedAddrs)
			if err != nil {
				return err
			}
			p.addr = addr
		}
		p.trace = c.path(fmt.Sprintf("%s.%d.trace", w.id, len(s.procs)))
		return c.launch(s, p, "anvilplatform", "worker", "-id", w.id, "-addr", p.addr, "-platform", s.platform,
			"-domain", w.domain, "-region", w.region, "-pool", w.pool, "-size", w.size.String(), "-trace", p.trace)
	})
}

// StartEntry starts a new entry instance with the domain and region of entry i of the plan, and returns its
// name, which no other instance of the cell has had. It does not wait until the instance is ready.
func (c *Cell) StartEntry(i int) (string, error) {
	var name string
	err := c.do(func(s *state) error {
		front, err := freeAddr(s.usedAddrs)
		if err != nil {
			return err
		}
		peer, err := freeAddr(s.usedAddrs)
		if err != nil {
			return err
		}
		s.entries++
		name = fmt.Sprintf("e%d", s.entries)
		sum := sha256.Sum256([]byte(Bootstrap))
		text := c.plan.settings(name, c.plan.entries[i], front, peer, s.platform, hex.EncodeToString(sum[:]))
		file := c.path(name + ".toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return err
		}
		return c.launch(s, &process{name: name, role: EntryRole, addr: front, planIndex: i}, "anvilentry", "serve", "-settings", file)
	})
	return name, err
}

// find returns the last process that was started under a name, or nil.
func (s *state) find(name string) *process {
	for _, p := range slices.Backward(s.procs) {
		if p.name == name {
			return p
		}
	}
	return nil
}

// Kill kills a process with SIGKILL and waits for its exit.
func (c *Cell) Kill(name string) error {
	_, err := c.signalAndWait(name, syscall.SIGKILL)
	return err
}

// Signal sends a process a signal that asks it to stop, and does not wait for its exit.
func (c *Cell) Signal(name string, sig syscall.Signal) error {
	return c.do(func(s *state) error {
		p := s.find(name)
		if p == nil || !p.alive() {
			return fmt.Errorf("no process %s is running", name)
		}
		p.stopRequested = true
		return p.signal(sig)
	})
}

// Stop asks a process to stop with SIGTERM, waits for its exit and returns its exit status.
func (c *Cell) Stop(name string) (int, error) { return c.signalAndWait(name, syscall.SIGTERM) }

func (c *Cell) signalAndWait(name string, sig syscall.Signal) (int, error) {
	done := make(chan int, 1)
	err := c.do(func(s *state) error {
		p := s.find(name)
		if p == nil || !p.alive() {
			return fmt.Errorf("no process %s is running", name)
		}
		p.stopRequested = true
		if sig == syscall.SIGKILL {
			p.killedAt = c.clock.Unix()
		}
		if err := p.signal(sig); err != nil {
			return err
		}
		p.exitWaiters = append(p.exitWaiters, done)
		return nil
	})
	if err != nil {
		return 0, err
	}
	select {
	case code := <-done:
		return code, nil
	case <-c.closed:
		return 0, errClosed
	}
}

// Freeze pauses a process with SIGSTOP until Thaw. It returns after all threads of the process have stopped.
func (c *Cell) Freeze(name string) error { return c.pause(name, syscall.SIGSTOP, 0) }

// Thaw resumes a paused process.
func (c *Cell) Thaw(name string) error { return c.pause(name, syscall.SIGCONT, 1) }

// pause sends a signal if the number of earlier calls of Freeze and Thaw for the process has the given parity, which
// is 0 for a running process and 1 for a paused one.
func (c *Cell) pause(name string, sig syscall.Signal, parity int) error {
	return c.do(func(s *state) error {
		p := s.find(name)
		if p == nil || !p.alive() {
			return fmt.Errorf("no process %s is running", name)
		}
		if len(p.pauseTimes)%2 != parity {
			return fmt.Errorf("process %s is already paused or already running", name)
		}
		if err := p.signal(sig); err != nil {
			return err
		}
		if sig == syscall.SIGSTOP {
			if err := p.waitStopped(); err != nil {
				return err
			}
		}
		p.pauseTimes = append(p.pauseTimes, c.clock.Unix())
		return nil
	})
}

// Close kills every process that still runs, waits for their exits and ends the control goroutine. It may be
// called again.
func (c *Cell) Close() error {
	var waits []chan int
	err := c.do(func(s *state) error {
		var failed error
		for _, p := range s.procs {
			if !p.alive() {
				continue
			}
			done := make(chan int, 1)
			p.stopRequested, p.killedAt = true, c.clock.Unix()
			p.exitWaiters = append(p.exitWaiters, done)
			waits = append(waits, done)
			failed = errors.Join(failed, p.signal(syscall.SIGKILL))
		}
		return failed
	})
	if errors.Is(err, errClosed) {
		return nil
	}
	for _, w := range waits {
		<-w
	}
	close(c.closed)
	return err
}

// StopAll stops the entry instances gracefully, then the workers, then the platform. If the processes of a role
// don't exit within the limit, it returns an error that names the role, and leaves them to Close.
func (c *Cell) StopAll(limit time.Duration) error {
	deadline := time.After(limit)
	var failed error
	for _, role := range []Role{EntryRole, WorkerRole, PlatformRole} {
		names := c.Names(role)
		ends := make(chan error, len(names))
		for _, n := range names {
			go func() {
				code, err := c.Stop(n)
				if err == nil && code != 0 {
					err = fmt.Errorf("%s stopped with status %d", n, code)
				}
				ends <- err
			}()
		}
		for range names {
			select {
			case err := <-ends:
				failed = errors.Join(failed, err)
			case <-deadline:
				return errors.Join(failed, fmt.Errorf("not every %s process stopped within %s", role, limit))
			}
		}
	}
	return failed
}
