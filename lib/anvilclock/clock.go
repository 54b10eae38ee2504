// Package anvilclock provides time in milliseconds, from the system or from a clock that tests control.
package anvilclock

import (
	"strconv"
	"sync/atomic"
	"time"
)

// Millis is a point in time or a duration in milliseconds.
type Millis int64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// String formats m with its unit, for example "150ms".
func (m Millis) String() string { return strconv.FormatInt(int64(m), 10) + "ms" }

// FromDuration converts d to milliseconds, rounding towards zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock is a source of time. Now never decreases and is for measuring durations and timeouts. Unix is the time
// since 1970 and is for times that other processes see.
type Clock interface {
	Now() Millis
	Unix() Millis
}

// System is the clock of the machine. Its Now is monotonic and starts at 0 when the clock is created. It is
// safe for concurrent use.
type System struct {
	start time.Time
}

// NewSystem returns a clock whose Now starts at 0.
func NewSystem() *System { return &System{start: time.Now()} }

// Now returns the milliseconds since the clock was created.
func (s *System) Now() Millis { return FromDuration(time.Since(s.start)) }

// Unix returns the milliseconds since 1970 in UTC.
func (s *System) Unix() Millis { return Millis(time.Now().UnixMilli()) }

// Manual is a clock that only Advance moves. It is safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a clock whose time is start.
func NewManual(start Millis) *Manual {
	m := &Manual{}
	m.now.Store(int64(start))
	return m
}

// Now returns start plus all advances.
func (m *Manual) Now() Millis { return Millis(m.now.Load()) }

// Unix returns the same time as Now.
func (m *Manual) Unix() Millis { return m.Now() }

// Advance moves the clock forward by d; a negative d is ignored.
func (m *Manual) Advance(d Millis) {
	if d > 0 {
		m.now.Add(int64(d))
	}
}
