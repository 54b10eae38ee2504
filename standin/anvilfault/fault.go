// Package anvilfault decides which requests of the stand-in meet an injected fault.
package anvilfault

import (
	"fmt"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
)

// The kinds of faults.
const (
	None = "none"
	Down = "down"
	Slow = "slow"
	Lose = "lose"
)

// Bounds of the injected faults.
const (
	maxFaults                   = 64
	maxDelay  anvilclock.Millis = 60_000
)

// Rand draws the requests that a fault hits.
type Rand interface {
	// Percent returns a number from 0 to 99.
	Percent() int
}

// Fault is an injected fault.
type Fault struct {
	kind     string
	region   string
	duration anvilclock.Millis
	delay    anvilclock.Millis
	percent  int
	until    anvilclock.Millis
}

// Option sets an optional part of a Fault.
type Option func(*Fault)

// WithLength ends the fault after a time; 0 keeps it until it is cleared.
func WithDuration(d anvilclock.Millis) Option { return func(f *Fault) { f.duration = d } }

// WithDelay sets the time that a slow request waits before it is handled.
func WithDelay(d anvilclock.Millis) Option { return func(f *Fault) { f.delay = d } }

// WithPercent limits the fault to a share of the requests; 0 means all.
func WithPercent(n int) Option { return func(f *Fault) { f.percent = n } }

// WithRegion limits the fault to requests from one region.
func WithRegion(region string) Option { return func(f *Fault) { f.region = region } }

// New returns a fault, or the reason why it is malformed.
func New(kind string, opts ...Option) (*Fault, error) {
	f := &Fault{kind: kind}
	for _, opt := range opts {
		opt(f)
	}
	switch {
	case kind != None && kind != Down && kind != Slow && kind != Lose:
		return nil, badInput("kind must be none, down, slow or lose, not %q", kind)
	case f.duration < 0:
		return nil, badInput("ms must not be negative")
	case f.delay < 0 || f.delay > maxDelay:
		return nil, badInput("delay must be between 0 and %d", maxDelay)
	case f.percent < 0 || f.percent > 100:
		return nil, badInput("percent must be between 0 and 100")
	}
	return f, nil
}

// Verdict says what happens to one request.
type Effect struct {
	down            bool
	delay           anvilclock.Millis
	loseResponse    bool
	closeConnection bool
}

// Down reports whether the request is answered with 503 without being handled.
func (v Effect) Down() bool { return v.down }

// Delay returns how long the request waits before it is handled.
func (v Effect) Delay() anvilclock.Millis { return v.delay }

// Lose reports whether the response is lost after the request was handled.
func (v Effect) LoseResponse() bool { return v.loseResponse }

// Cut reports whether a lost response closes the connection; if not, it becomes a 504.
func (v Effect) CloseConnection() bool { return v.closeConnection }

// Set holds the active faults.
type Set struct {
	clock  anvilclock.Clock
	random Rand
	list   []*Fault
}

// NewSet returns a set without faults.
func NewSet(clock anvilclock.Clock, random Rand) *Set { return &Set{clock: clock, random: random} }

// Add activates f; one of kind None clears all.
func (s *Set) Add(f *Fault) error {
	if f.kind == None {
		s.list = nil
		return nil
	}
	s.expire()
	if len(s.list) >= maxFaults {
		return anvilerror.Refuse(anvilerror.TooLarge, fmt.Sprintf("%d faults are active", maxFaults))
	}
	if f.duration > 0 {
		f.until = s.clock.Now() + f.duration
	}
	s.list = append(s.list, f)
	return nil
}

// Judge returns what happens to a request from a region. Each fault draws on its own; of several
// delays the longest counts.
func (s *Set) Effect(region string) Effect {
	s.expire()
	var v Effect
	for _, f := range s.list {
		if f.region != "" && f.region != region {
			continue
		}
		if f.percent > 0 && s.random.Percent() >= f.percent {
			continue
		}
		switch f.kind {
		case Down:
			v.down = true
		case Slow:
			v.delay = max(v.delay, f.delay)
		case Lose:
			v.loseResponse = true
			v.closeConnection = s.random.Percent() < 50
		}
	}
	return v
}

func (s *Set) expire() {
	now := s.clock.Now()
	kept := s.list[:0]
	for _, f := range s.list {
		if f.until == 0 || now < f.until {
			kept = append(kept, f)
		}
	}
	s.list = kept
}

func badInput(format string, args ...any) error {
	return anvilerror.Refuse(anvilerror.BadInput, fmt.Sprintf(format, args...))
}
