package anvilscript

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/load/anvilaudit"
	"anvilhold.org/load/anvilcaller"
)

// tasksTimeout is how long accepted tasks may take to end: the lease and margin of a lost worker, a takeover
// and the run times of the scripts.
const tasksTimeout = 20 * time.Second

// recordNamed returns the record of the request that the script sent under the name in args, and the client for the
// entry instance at; see client.
func (s *session) recordNamed(args []string, at string) (*record, *anvilcaller.Client, error) {
	client, err := s.client(at)
	if err != nil {
		return nil, nil, err
	}
	if len(args) != 1 || s.records[args[0]] == nil {
		return nil, nil, fmt.Errorf("nothing was sent under the name %v", args)
	}
	return s.records[args[0]], client, nil
}

// audit audits everything that has happened so far. It first ends the faults of the table service, stops the
// traffic and waits for all outcomes and accepted tasks. Every script must call it, once; finish does so for a
// script that has ended without it.
func (s *session) audit(args []string) error {
	if len(args) > 0 || s.trial == nil {
		return fmt.Errorf("audit takes no arguments and needs a running cell")
	}
	if s.audited {
		return fmt.Errorf("the cell has already been audited")
	}
	s.audited = true
	if err := s.trial.ClearFaults(s.ctx); err != nil {
		return err
	}
	if err := s.stopTraffic(); err != nil {
		return err
	}
	for name := range s.inFlight {
		if err := s.answer([]string{name, "any"}); err != nil {
			return err
		}
	}
	s.recordRequests()
	tasksCtx, cancel := context.WithTimeout(s.ctx, tasksTimeout)
	defer cancel()
	pending := s.trial.AwaitTasks(tasksCtx)
	report, err := s.trial.Audit()
	if err != nil {
		return err
	}
	var lines []string
	for _, v := range report.Violations() {
		lines = append(lines, v.String())
	}
	s.output += fmt.Sprintf("audit: starts=%d open=%d violations=%d %s\n", report.Starts(), pending, len(lines), s.trial.Count())
	if len(lines) > 0 {
		return fmt.Errorf("%d violations:\n%s", len(lines), strings.Join(lines, "\n"))
	}
	s.passed = true
	return nil
}

// recordRequests passes the script's own requests, and the withdrawals and departures that have not ended, to the
// recorder of the trial.
func (s *session) recordRequests() {
	for _, rec := range s.sent {
		t := rec.task
		// The attempts are in the order of their answers.
		slices.SortStableFunc(rec.attempts, func(x, y anvilaudit.Attempt) int { return cmp.Compare(x.Sent(), y.Sent()) })
		r := anvilaudit.NewRequest(t.ID(), t.Team(), t.Kind(), t.NonIdempotent(), t.Count(), rec.attempts...)
		if rec.cancelled {
			r = r.WithCancelRequested()
		}
		ticket := ""
		if t.Kind() != anviltask.Call && r.Outcome() == anvilerror.Done {
			ticket = rec.ticket
		}
		s.trial.Recorder().Request(r, ticket)
	}
	s.sent = nil
	for key, from := range s.withdrawn {
		s.trial.Recorder().Withdrawal(key, from, 0)
	}
	for worker, from := range s.leaving {
		s.trial.Recorder().Departure(worker, from, 0)
	}
	clear(s.withdrawn)
	clear(s.leaving)
}

// finish audits the cell of a script that has ended before its audit, and returns an error for it. Without
// that, a built-in command of testscript such as stop could end a script early and let it pass.
func (s *session) finish() error {
	if s.audited {
		return nil
	}
	errEarly := errors.New("the script ended before its audit")
	if s.trial == nil {
		return errEarly
	}
	err := errors.Join(errEarly, s.audit(nil))
	s.passed = false
	return err
}
