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

// Role is the kind of program that a process of the cell runs.
type Role string

// The roles, by the kind of process.
const (
	PlatformRole Role = "platform"
	WorkerRole   Role = "worker"
	EntryRole    Role = "entry"
)

// process is one incarnation of a program of the cell. The cell's control goroutine owns it.
type process struct {
	name          string
	role          Role
	addr          string
	planIndex     int // index in the plan's workers or entry instances
	trace         string
	log           string
	cmd           *exec.Cmd
	startedAt     anvilclock.Millis
	killedAt      anvilclock.Millis   // when the harness sent SIGKILL
	endedAt       anvilclock.Millis   // when the harness observed its exit
	stopRequested bool                // the harness has sent a signal to end it
	pauseTimes    []anvilclock.Millis // of each Freeze and Thaw in turn
	exitWaiters   []chan int
	status        int
}

func (p *process) alive() bool { return p.endedAt == 0 }

// pauses returns the times during which the process was paused; the last may not have ended.
func (p *process) pauses() []anvilaudit.Interval {
	var intervals []anvilaudit.Interval
	for i := 0; i < len(p.pauseTimes); i += 2 {
		var to anvilclock.Millis
		if i+1 < len(p.pauseTimes) {
			to = p.pauseTimes[i+1]
		}
		intervals = append(intervals, anvilaudit.NewInterval(p.pauseTimes[i], to))
	}
	return intervals
}

// spawn starts a program with its output in a log file. The kernel kills the child when the thread that started
// it exits, so that no child outlives a harness that panics or is killed. The control goroutine is locked to
// its thread for this.
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
	// In a process group of its own the child does not receive an interrupt from the terminal; the harness stops it.
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

// waitStopped waits until every thread of a process that was sent SIGSTOP has stopped. Until then the process
// can still answer, and a task could start after the recorded time of the pause. It does not consume the exit
// status of the process, which awaitExit needs.
func (p *process) waitStopped() error {
	for {
		err := unix.Waitid(unix.P_PID, p.cmd.Process.Pid, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

// exitCode returns the exit status of a finished command, −1 if a signal ended it.
func exitCode(cmd *exec.Cmd) int { return cmd.ProcessState.ExitCode() }
