// Package anvilfault decides what injected faults do to the requests that the platform stand-in receives. It does no I/O
// and is not safe for concurrent use.
package anvilfault

import (
	"fmt"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
)

// Kinds of faults: None removes all faults, Down refuses requests, Slow delays them and Lose handles them but loses the
// response.
const (
	None = "none"
	Down = "down"
	Slow = "slow"
	Lose = "lose"
)

// Limits of the injected faults: the number of active ones and the delay of a request.
const (
	maxFaults                   = 64
	maxDelay  anvilclock.Millis = 60_000
)

// Rand selects the requests that a fault affects.
type Rand interface {
	// Percent returns a random number from 0 to 99.
	Percent() int
}

// Fault is an injected fault. Set.Add keeps and changes it, so a Fault must be added to one Set only.
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

// WithDuration ends the fault after a time; with 0, the default, it stays until all faults are removed.
func WithDuration(d anvilclock.Millis) Option { return func(f *Fault) { f.duration = d } }

// WithDelay sets how long a fault of kind Slow delays a request, from 0 to 60 s.
func WithDelay(d anvilclock.Millis) Option { return func(f *Fault) { f.delay = d } }

// WithPercent limits the fault to a random percentage of the requests; 0, the default, means all of them.
func WithPercent(n int) Option { return func(f *Fault) { f.percent = n } }

// WithRegion limits the fault to requests from one region; empty, the default, means all regions.
func WithRegion(region string) Option { return func(f *Fault) { f.region = region } }

// New returns a fault, or an error with code BadInput that says why it is malformed.
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

// Effect is what the active faults do to one request. The zero value is no effect.
type Effect struct {
	down            bool
	delay           anvilclock.Millis
	loseResponse    bool
	closeConnection bool
}

// Down reports whether the request is answered with 503 without being handled.
func (e Effect) Down() bool { return e.down }

// Delay returns how long the request is delayed before it is handled, 0 for no delay.
func (e Effect) Delay() anvilclock.Millis { return e.delay }

// LoseResponse reports whether the response is lost after the request was handled.
func (e Effect) LoseResponse() bool { return e.loseResponse }

// CloseConnection reports whether the connection is closed in place of a lost response; if not, the response is a 504.
func (e Effect) CloseConnection() bool { return e.closeConnection }

// Set is the set of active faults.
type Set struct {
	clock  anvilclock.Clock
	random Rand
	list   []*Fault
}

// NewSet returns a set without faults.
func NewSet(clock anvilclock.Clock, random Rand) *Set { return &Set{clock: clock, random: random} }

// Add activates f; a fault of kind None removes all others instead. It fails when 64 faults are active.
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

// Effect returns what the active faults do to a request from a region. Whether a request is within the percentage of a
// fault is drawn for each fault and call. If several faults delay the request, the longest delay applies.
func (s *Set) Effect(region string) Effect {
	s.expire()
	var e Effect
	for _, f := range s.list {
		if f.region != "" && f.region != region {
			continue
		}
		if f.percent > 0 && s.random.Percent() >= f.percent {
			continue
		}
		switch f.kind {
		case Down:
			e.down = true
		case Slow:
			e.delay = max(e.delay, f.delay)
		case Lose:
			e.loseResponse = true
			e.closeConnection = s.random.Percent() < 50
		}
	}
	return e
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
