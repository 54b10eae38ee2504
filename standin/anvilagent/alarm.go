package anvilagent

import (
	"os"

	"github.com/go-logr/logr"
)

// Event numbers of this package's log lines. Those of violated invariants are declared in anvilhost.
const (
	eventRegister = 4101
	eventTrace    = 4102
)

// exitViolated is the exit status after a violated invariant or a failed write of the trace.
const exitViolated = 3

// Alarm ends the process when an invariant is violated, before the worker can act on inconsistent state.
type Alarm struct {
	log logr.Logger
}

// NewAlarm returns an alarm that writes to log before it ends the process.
func NewAlarm(log logr.Logger) *Alarm { return &Alarm{log: log} }

// Violated logs an event under its number and exits with status 3. args are alternating keys and values for the log.
func (a *Alarm) Violated(number int, message string, args ...any) {
	a.log.Error(nil, message, append([]any{"event", number}, args...)...)
	os.Exit(exitViolated)
}

// TraceFailed logs err and exits with status 3, because without a complete trace nobody can check what ran.
func (a *Alarm) TraceFailed(err error) {
	a.log.Error(err, "trace could not be written", "event", eventTrace)
	os.Exit(exitViolated)
}
