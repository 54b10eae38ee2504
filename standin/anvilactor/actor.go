// Package anvilactor implements actors: one goroutine owns a program's control state, and other goroutines send it typed
// messages and wait for the replies.
package anvilactor

import (
	"context"
	"time"

	"anvilhold.org/lib/anvilclock"
)

// inboxSize is the number of messages that queue before senders block, enough for a burst of requests.
const inboxSize = 1024

// State is control state that also changes with time.
type State interface {
	// Next returns the time until the next Tick is due, or false when none is.
	Next() (anvilclock.Millis, bool)
	// Tick applies the changes that are due at the present time.
	Tick()
}

// Message reads or changes the state. Apply runs on the goroutine that owns the state and must not block.
type Message[S State] interface {
	Apply(s S)
}

// Actor is the mailbox of the goroutine that owns a state. Send may be called from any goroutine.
type Actor[S State] struct {
	inbox chan Message[S]
	done  chan struct{}
}

// New returns an actor that applies no messages until Run is called. Messages that are sent before wait in the inbox.
func New[S State]() *Actor[S] {
	return &Actor[S]{inbox: make(chan Message[S], inboxSize), done: make(chan struct{})}
}

// Send puts a message into the inbox and blocks while that is full. It returns false only if Run has returned. It can
// return true for a message that is never applied, because Run returns first.
func (a *Actor[S]) Send(m Message[S]) bool {
	select {
	case a.inbox <- m:
		return true
	case <-a.done:
		return false
	}
}

// Run applies messages and ticks to s until ctx ends. It must be called only once; its goroutine owns s until it returns.
func (a *Actor[S]) Run(ctx context.Context, s S) {
	defer close(a.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if d, ok := s.Next(); ok {
			timer.Reset(d.Duration())
		} else {
			timer.Stop()
		}
		select {
		case <-ctx.Done():
			return
		case m := <-a.inbox:
			m.Apply(s)
		case <-timer.C:
			s.Tick()
		}
	}
}

// Ask sends m and blocks until a value arrives on reply, which m.Apply must send or cause to be sent later. It returns
// false when Run has returned; m may have been applied nevertheless.
func Ask[S State, T any](a *Actor[S], m Message[S], reply <-chan T) (T, bool) {
	var zero T
	if !a.Send(m) {
		return zero, false
	}
	select {
	case v := <-reply:
		return v, true
	case <-a.done:
		return zero, false
	}
}
