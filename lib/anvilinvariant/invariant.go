// Package anvilinvariant checks invariants at run time. A violation is counted, reported and, if WithExit is
// set, ends the process.
package anvilinvariant

import (
	"fmt"
	"maps"
	"sync"
)

// Checker counts and reports violations. It is safe for concurrent use.
type Checker struct {
	exit   func(int)
	report func(name, detail string)
	mu     sync.Mutex
	counts map[string]int64
}

// Option configures a Checker.
type Option func(*Checker)

// WithExit sets a function that ends the process. It is called with status 1 after a violation is reported.
// Without it the process continues.
func WithExit(exit func(int)) Option { return func(c *Checker) { c.exit = exit } }

// WithReport sets a function that is called for each violation, in the goroutine that called Check.
func WithReport(report func(name, detail string)) Option {
	return func(c *Checker) { c.report = report }
}

// New returns a Checker without violations.
func New(opts ...Option) *Checker {
	c := &Checker{counts: map[string]int64{}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Check records a violation of the named invariant unless ok is true. The detail is formatted only for a
// violation, so a check that holds allocates nothing but its arguments.
func (c *Checker) Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	c.mu.Lock()
	c.counts[name]++
	c.mu.Unlock()
	if c.report != nil {
		c.report(name, fmt.Sprintf(format, args...))
	}
	if c.exit != nil {
		c.exit(1)
	}
}

// Count returns the number of violations of one invariant.
func (c *Checker) Count(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

// Counts returns the number of violations of each violated invariant. The caller owns the map.
func (c *Checker) Counts() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}
