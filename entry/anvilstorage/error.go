package anvilstorage

import (
	"errors"
	"fmt"
)

// Kind tells what is known after a call to the store failed.
type Kind int

// The kinds of failure.
const (
	Refused   Kind = iota // the store did nothing
	Unknown               // the store may have done it, or may still do it
	Conflict              // a condition did not hold, so nothing was done
	Compacted             // the changes asked for are no longer kept
)

// String returns the name of the kind.
func (k Kind) String() string { return [...]string{"refused", "unknown", "conflict", "compacted"}[k] }

// Error is a failed call to the store.
type Error struct {
	kind   Kind
	rows   []Row
	policy *PolicyPage
	cause  error
}

// NewError returns an error of a kind.
func NewError(kind Kind, cause error) *Error { return &Error{kind: kind, cause: cause} }

// NewConflict returns the error of a transaction whose conditions did not hold, with the rows as they
// are, and the configuration when it was among the conditions.
func NewConflict(rows []Row, policy *PolicyPage) *Error {
	return &Error{kind: Conflict, rows: rows, policy: policy, cause: errors.New("a condition does not hold")}
}

// Kind returns the kind.
func (e *Error) Kind() Kind { return e.kind }

// Row returns the current form of a row that was a condition; its version is 0 when it does not exist.
func (e *Error) Row(table Table, key string) Row {
	for _, r := range e.rows {
		if r.table == table && r.key == key {
			return r
		}
	}
	return Row{table: table, key: key}
}

// Policy returns the current configuration when it was a condition; nil otherwise.
func (e *Error) Policy() *PolicyPage { return e.policy }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Error formats e on one line.
func (e *Error) Error() string { return fmt.Sprintf("store: %s: %v", e.kind, e.cause) }

// As returns err as an Error; a foreign error says that nothing is known.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewError(Unknown, err)
}
