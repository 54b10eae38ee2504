package anvilstorage

import (
	"errors"
	"fmt"
)

// Kind is what the caller knows about the effect of a failed call on the stored rows.
type Kind int

// The kinds of failure.
const (
	Refused   Kind = iota // nothing was changed
	Unknown               // the call may have been carried out, or may still be
	Conflict              // a condition did not hold, so nothing was changed
	Compacted             // the feed no longer has the requested changes
)

// String returns the name that error texts use; it panics for a value that isn't a constant above.
func (k Kind) String() string { return [...]string{"refused", "unknown", "conflict", "compacted"}[k] }

// Error is the error of a failed call to the store.
type Error struct {
	kind   Kind
	rows   []Row
	policy *PolicyPage
	cause  error
}

// NewError returns an error of kind that wraps cause. NewConflict makes those of kind Conflict.
func NewError(kind Kind, cause error) *Error { return &Error{kind: kind, cause: cause} }

// NewConflict returns the error of a transaction whose conditions did not hold. rows are the current rows of the
// conditions; policy is the current configuration, or nil when it was not a condition.
func NewConflict(rows []Row, policy *PolicyPage) *Error {
	return &Error{kind: Conflict, rows: rows, policy: policy, cause: errors.New("a condition does not hold")}
}

// Kind returns what is known about the effect of the call.
func (e *Error) Kind() Kind { return e.kind }

// Row returns the current row of a condition of the failed transaction. Its version is 0 when the row does not exist or
// was not a condition.
func (e *Error) Row(table Table, key string) Row {
	for _, r := range e.rows {
		if r.table == table && r.key == key {
			return r
		}
	}
	return Row{table: table, key: key}
}

// Policy returns the current configuration when it was a condition of the failed transaction, and nil otherwise.
func (e *Error) Policy() *PolicyPage { return e.policy }

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.cause }

// Error returns the kind and the cause on one line.
func (e *Error) Error() string { return fmt.Sprintf("store: %s: %v", e.kind, e.cause) }

// As returns the Error in the chain of err, or one of kind Unknown that wraps err when there is none. err must not be
// nil.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewError(Unknown, err)
}
