package anvilclient

import (
	"errors"
	"fmt"
	"strings"

	"anvilhold.org/lib/anvilerror"
)

// UnreachableError means that no entry instance could be reached, or that a read got no complete response. Nothing
// was changed.
type UnreachableError struct {
	addrs []string
	cause error
}

// Addrs returns the addresses that were tried. The caller must not modify the slice.
func (e *UnreachableError) Addrs() []string { return e.addrs }

// Unwrap returns the failure at the last address.
func (e *UnreachableError) Unwrap() error { return e.cause }

// Error lists the addresses and gives the failure at the last one.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no entry instance can be reached at %s: %v", strings.Join(e.addrs, ", "), e.cause)
}

// ConflictError means that a change was refused because another change came first.
type ConflictError struct {
	version int64
	cause   *anvilerror.Error
}

// Version returns the configuration version that conflicts with the base of the change, 0 if it is not known.
func (e *ConflictError) Version() int64 { return e.version }

// Unwrap returns the refusal, whose code is anvilerror.Conflict.
func (e *ConflictError) Unwrap() error { return e.cause }

// Error gives the version in conflict and the reason of the refusal.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict at version %d: %s", e.version, e.cause.Reason())
}

// PendingError means that Wait ended before a version was known to be in force on every live entry instance.
type PendingError struct {
	version, everywhere int64
}

// Version returns the configuration version that Wait was called with.
func (e *PendingError) Version() int64 { return e.version }

// Everywhere returns the lowest version in force on any live entry instance, as last read; 0 if no read succeeded.
func (e *PendingError) Everywhere() int64 { return e.everywhere }

// Error gives the version that was waited for and the one last known to be in force everywhere.
func (e *PendingError) Error() string {
	return fmt.Sprintf("version %d is not in force everywhere after %s; the latest version known to be in force everywhere is %d", e.version, waitTimeout, e.everywhere)
}

// Outcome returns whether the request that ended with err has run: Done for nil, the outcome of an anvilerror.Error that
// err wraps, Unknown for a PendingError. Other errors, such as those of files that can't be read, mean NotRun, because
// nothing was changed.
func Outcome(err error) anvilerror.Outcome {
	var outcomeErr *anvilerror.Error
	var pending *PendingError
	switch {
	case err == nil:
		return anvilerror.Done
	case errors.As(err, &outcomeErr):
		return outcomeErr.Outcome()
	case errors.As(err, &pending):
		return anvilerror.Unknown
	default:
		return anvilerror.NotRun
	}
}
