package anvilsoak

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// process is a program that the soak has started. The soak signals only such processes, by their ids.
type process struct {
	name          string
	cmd           *exec.Cmd
	done          chan struct{}
	mu            sync.Mutex
	stopRequested bool
	outputRead    chan struct{}
}

// spawner starts processes from one locked thread, because the kernel sends their death signal when the thread
// that started them exits.
type spawner struct {
	work chan func()
}

func newSpawner() *spawner {
	s := &spawner{work: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range s.work {
			f()
		}
	}()
	return s
}

// start runs a program with its error output appended to the file log. Its standard output is appended too, or
// passed to read if that is not nil.
func (s *spawner) start(name, log string, env []string, read func(io.Reader), bin string, args ...string) (*process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(bin, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	p := &process{name: name, cmd: cmd, done: make(chan struct{}), outputRead: make(chan struct{})}
	var pipe io.ReadCloser
	if read != nil {
		cmd.Stdout = nil
		if pipe, err = cmd.StdoutPipe(); err != nil {
			return nil, err
		}
	}
	started := make(chan error, 1)
	s.work <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		if read != nil {
			read(pipe)
		}
		close(p.outputRead)
	}()
	go func() {
		<-p.outputRead
		// An error only repeats the exit status, which the method status returns.
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// signal sends a signal; it does nothing if the process has exited.
func (p *process) signal(sig syscall.Signal) {
	if p.exited() {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		p.mu.Lock()
		p.stopRequested = true
		p.mu.Unlock()
	}
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		fmt.Fprintf(os.Stderr, "signal %s to %s: %v\n", sig, p.name, err)
	}
}

func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// wait waits for the exit of the process for at most d and reports whether it has exited.
func (p *process) wait(d time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(d):
		return false
	}
}

// exitedUnexpectedly reports whether the process has exited without having been sent SIGTERM or SIGKILL.
func (p *process) exitedUnexpectedly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited() && !p.stopRequested
}

func (p *process) status() int { return p.cmd.ProcessState.ExitCode() }
