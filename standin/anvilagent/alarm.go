package anvilagent

import (
	"os"

	"github.com/go-logr/logr"
)

// Numbers of the events that this package logs. Violated invariants have the numbers of anvilhost.
const (
	eventRegister = 4101
	eventTrace    = 4102
)

// exitViolated is the exit status after a violated invariant.
const exitViolated = 3

// Alarm ends the process when an invariant is violated, before the worker acts on wrong state.
type Alarm struct {
	log logr.Logger
}

// NewAlarm returns an alarm that logs to log.
func NewAlarm(log logr.Logger) *Alarm { return &Alarm{log: log} }

// Violated logs a numbered event and exits with status 3.
func (a *Alarm) Violated(number int, message string, args ...any) {
	a.log.Error(nil, message, append([]any{"event", number}, args...)...)
	os.Exit(exitViolated)
}

// TraceFailed ends the process: without a trace nothing shows what ran.
func (a *Alarm) TraceFailed(err error) {
	a.log.Error(err, "trace could not be written", "event", eventTrace)
	os.Exit(exitViolated)
}
