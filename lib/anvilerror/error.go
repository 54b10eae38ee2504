// Package anvilerror defines the errors that callers and operators see: an outcome, a reason code, a
// human-readable reason of one line and the time to wait before a retry.
package anvilerror

import (
	"errors"
	"fmt"

	"anvilhold.org/lib/anvilclock"
)

// Outcome says whether the request ran.
type Outcome string

// The three outcomes of a request.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Code is a reason code, by which programs distinguish errors; docs/errors.md lists all.
type Code string

// The reason codes.
const (
	BadInput    Code = "input"       // the request is malformed
	TooLarge    Code = "large"       // a body, header or count exceeds its bound
	BadKey      Code = "key"         // no key, an unknown key or a revoked key
	Forbidden   Code = "forbidden"   // the key gives no access to what was requested
	Missing     Code = "missing"     // no such task, pool or row
	Never       Code = "never"       // the pool or the team's limit is too small for the task
	QueueFull   Code = "queue"       // the queue is at its bound
	Deadline    Code = "deadline"    // the task did not start, or no answer came, within the deadline
	OverLimit   Code = "limit"       // the team's upper limit is reached
	OverRate    Code = "rate"        // the team's admission rate or concurrency is reached
	NoOwner     Code = "owner"       // the shard has no reachable owner
	NoCapacity  Code = "room"        // no worker has free capacity now
	Stale       Code = "stale"       // the owner's epoch was older than the worker's
	NoTable     Code = "table"       // the table service can't be reached or didn't answer
	Unconfirmed Code = "unconfirmed" // the configuration version can't be confirmed
	Leaving     Code = "leaving"     // the instance is leaving
	Conflict    Code = "conflict"    // the request conflicts with an earlier change
	Duplicate   Code = "duplicate"   // the id was used before
	Lost        Code = "lost"        // the connection broke or the process exited after the start was sent
	Expired     Code = "expired"     // the id is older than the retention time
	Failed      Code = "failed"      // the task ran and failed
	Cancelled   Code = "cancelled"   // the caller cancelled the task
	Internal    Code = "internal"    // a fault of anvilhold itself
)

// Codes returns all reason codes, in the order of docs/errors.md.
func Codes() []Code {
	return []Code{
		BadInput, TooLarge, BadKey, Forbidden, Missing, Never, QueueFull, Deadline, OverLimit, OverRate,
		NoOwner, NoCapacity, Stale, NoTable, Unconfirmed, Leaving, Conflict, Duplicate, Lost, Expired, Failed,
		Cancelled, Internal,
	}
}

// Error is the error of a request that was refused or that failed. It is immutable.
type Error struct {
	outcome Outcome
	code    Code
	reason  string
	retry   anvilclock.Millis
	cause   error
}

// Option configures an Error.
type Option func(*Error)

// WithRetry sets the time to wait before a retry.
func WithRetry(d anvilclock.Millis) Option { return func(e *Error) { e.retry = d } }

// WithCause sets the error that caused this one and that Unwrap returns.
func WithCause(err error) Option { return func(e *Error) { e.cause = err } }

// New returns an Error with an outcome, a code and a one-line reason.
func New(o Outcome, c Code, reason string, opts ...Option) *Error {
	e := &Error{outcome: o, code: c, reason: reason}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Refuse returns an Error with outcome NotRun: the request did not run.
func Refuse(c Code, reason string, opts ...Option) *Error { return New(NotRun, c, reason, opts...) }

// UnknownOutcome returns an Error with outcome Unknown: the request may have run.
func UnknownOutcome(c Code, reason string, opts ...Option) *Error {
	return New(Unknown, c, reason, opts...)
}

// Outcome returns whether the request ran.
func (e *Error) Outcome() Outcome { return e.outcome }

// Code returns the reason code.
func (e *Error) Code() Code { return e.code }

// Reason returns the one-line reason, without outcome, code and cause.
func (e *Error) Reason() string { return e.reason }

// Retry returns the time to wait before a retry; 0 when a retry can't help.
func (e *Error) Retry() anvilclock.Millis { return e.retry }

// Unwrap returns the cause set by WithCause; nil when there is none.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the outcome, the code, the reason and the cause, if any, on one line.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", e.outcome, e.code, e.reason, e.cause)
	}
	return fmt.Sprintf("%s (%s): %s", e.outcome, e.code, e.reason)
}

// As returns the Error that err is or wraps. Any other error becomes an Error with outcome Unknown and
// code Internal, because nothing is known about whether the request ran.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return UnknownOutcome(Internal, "internal error", WithCause(err))
}
