package anvilcell

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"golang.org/x/sys/unix"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/load/anvilaudit"
)

// Role is what a process does in the cell.
type Role string

// The roles.
const (
	PlatformRole Role = "platform"
	WorkerRole   Role = "worker"
	EntryRole    Role = "entry"
)

// process is one incarnation of a program of the cell. Only the cell's control goroutine touches it.
type process struct {
	name   string
	role   Role
	addr   string
	place  int // index of the plan's worker or entry instance
	trace  string
	log    string
	cmd    *exec.Cmd
	born   anvilclock.Millis
	killed anvilclock.Millis // when the harness ended it
	died   anvilclock.Millis // when it was found ended
	asked  bool              // the harness asked it to stop
	frozen []anvilclock.Millis
	waits  []chan int
	status int
}

func (p *process) alive() bool { return p.died == 0 }

// spans returns the times during which the process was frozen.
func (p *process) spans() []anvilaudit.Span {
	var spans []anvilaudit.Span
	for i := 0; i < len(p.frozen); i += 2 {
		var to anvilclock.Millis
		if i+1 < len(p.frozen) {
			to = p.frozen[i+1]
		}
		spans = append(spans, anvilaudit.NewSpan(p.frozen[i], to))
	}
	return spans
}

// spawn starts a program with its output in a log file. The kernel ends the child when the thread
// that started it ends, which covers a panic or a kill of the harness; the control goroutine is
// locked to its thread for this.
func spawn(bin, log string, args ...string) (*exec.Cmd, error) {
	f, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	path, err := filepath.Abs(bin)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = f, f
	// A group of its own keeps an interrupt at the terminal from the child; the harness stops it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", bin, err)
	}
	return cmd, nil
}

func (p *process) signal(s syscall.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// stopped waits until every thread of a process that was sent SIGSTOP has stopped. Until then the
// process can still answer, and a task that starts meanwhile would be later than the recorded freeze.
// The wait leaves an end of the process to its watcher.
func (p *process) stopped() error {
	for {
		err := unix.Waitid(unix.P_PID, p.cmd.Process.Pid, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

// exitCode returns the exit status of a finished command, −1 when a signal ended it.
func exitCode(cmd *exec.Cmd) int { return cmd.ProcessState.ExitCode() }
