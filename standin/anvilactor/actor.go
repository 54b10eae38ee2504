// Package anvilactor runs the one goroutine that owns a program's control state. Other goroutines
// send it typed messages and wait for their replies.
package anvilactor

import (
	"context"
	"time"

	"anvilhold.org/lib/anvilclock"
)

// inboxSize lets a burst of requests queue without blocking their goroutines one by one.
const inboxSize = 1024

// State is control state that also changes with time.
type State interface {
	// Next returns the time until the next Tick, or false when none is needed.
	Next() (anvilclock.Millis, bool)
	// Tick applies the changes that are due.
	Tick()
}

// Message changes or reads the state. Apply runs on the goroutine that owns it and must not block.
type Message[S State] interface {
	Apply(s S)
}

// Actor is the mailbox of the goroutine that owns a state.
type Actor[S State] struct {
	inbox chan Message[S]
	done  chan struct{}
}

// New returns an owner whose Run has not been called.
func New[S State]() *Actor[S] {
	return &Actor[S]{inbox: make(chan Message[S], inboxSize), done: make(chan struct{})}
}

// Send delivers a message. It waits while the inbox is full and reports false when Run has ended.
func (o *Actor[S]) Send(m Message[S]) bool {
	select {
	case o.inbox <- m:
		return true
	case <-o.done:
		return false
	}
}

// Run applies messages to s until ctx ends.
func (o *Actor[S]) Run(ctx context.Context, s S) {
	defer close(o.done)
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
		case m := <-o.inbox:
			m.Apply(s)
		case <-timer.C:
			s.Tick()
		}
	}
}

// Ask sends m and waits for the reply that its Apply causes. It reports false when Run has ended.
func Ask[S State, T any](o *Actor[S], m Message[S], reply <-chan T) (T, bool) {
	var zero T
	if !o.Send(m) {
		return zero, false
	}
	select {
	case v := <-reply:
		return v, true
	case <-o.done:
		return zero, false
	}
}
