package anvilscheduler

import (
	"context"
	"errors"

	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
)

// While a start without an answer may still arrive at the next process of a worker, the leader holds the worker with a token that bars the
// start (exposure.go). Guards do the same beside it: instances that go on when the leader is taken away, until it is too late for
// the start. They use the token that the leader's own orders to the worker carry, acknowledge nothing and extend no lease, so
// their orders do nothing else, also when they are carried out late.

const (
	// maxGuards bounds the workers that an instance guards.
	maxGuards = 512
	// guardWait is how long a worker may wait for the end of a run before it answers a guard's hold, guardInterval the least time
	// between two holds that it answers sooner.
	guardWait     = anvilclock.Millis(1000)
	guardInterval = anvilclock.Millis(400)
	// After a worker has refused a guard's token because it knows a higher one, guardFencedInterval is the time between two
	// holds. A higher token bars the start, too, and its owner holds the worker itself, so the guard gives up after guardFencedLimit.
	guardFencedInterval = anvilclock.Millis(500)
	guardFencedLimit    = anvilclock.Millis(2000)
)

// GuardRequest asks an instance to hold a worker.
type GuardRequest struct {
	worker Target
	token  int64
	last   anvilclock.Millis
}

// NewGuardRequest returns a request to hold a worker with a fencing token for the time last.
func NewGuardRequest(worker Target, token int64, last anvilclock.Millis) GuardRequest {
	return GuardRequest{worker: worker, token: token, last: last}
}

// Worker returns the worker to hold.
func (r GuardRequest) Worker() Target { return r.worker }

// Token returns the fencing token of the holds. The leader has given orders with it.
func (r GuardRequest) Token() int64 { return r.token }

// Last returns how long the worker is to be held.
func (r GuardRequest) Last() anvilclock.Millis { return r.last }

var (
	errTooManyGuards = errors.New("this instance guards as many workers as it may")
	errGuardEnded    = errors.New("the worker could not be held")
)

// guard holds one worker for a leader.
type guard struct {
	machine anvilchart.Machine
	worker  Target
	token   int64
	until   anvilclock.Millis
	// calls is the number of holds in flight; the next one is due at due once there is none.
	calls int
	due   anvilclock.Millis
	// fencedSince is when the worker has first refused the token; 0 if it hasn't.
	fencedSince anvilclock.Millis
	// waiting are the requests that are answered once the worker is known to know the token.
	waiting []func(error)
}

// States of the guard chart that the code refers to.
const guardAsking = "asking"

func bindGuard() *anvilchart.Binding[*guard] {
	return anvilchart.NewBinding(map[string]func(*guard){
		"answer": func(g *guard) { g.answer(nil) },
		"refuse": func(g *guard) { g.answer(errGuardEnded) },
	}, nil)
}

func (g *guard) answer(err error) {
	for _, done := range g.waiting {
		done(err)
	}
	g.waiting = nil
}

// Guard holds a worker, and returns once the worker has shown that it knows the token of the request. The holds go on after that. It is
// safe for concurrent use.
func (l *Loop) Guard(ctx context.Context, r GuardRequest) error {
	done := make(chan error, 1)
	l.post(guardRequested{request: r, done: func(err error) { done <- err }})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// guardRequested is a request of a leader. done is called once on the loop's goroutine and must not block.
type guardRequested struct {
	request GuardRequest
	done    func(error)
}

func (m guardRequested) deliver(l *Loop) {
	r, now := m.request, l.clock.Now()
	g := l.guards[r.worker.id]
	if g == nil && len(l.guards) >= maxGuards {
		m.done(errTooManyGuards)
		return
	}
	if g == nil {
		g = &guard{machine: l.charts.guard.NewMachine(), worker: r.worker}
		l.guards[r.worker.id] = g
	}
	if r.token > g.token || r.worker != g.worker {
		l.fireGuard(g, "ask")
	}
	g.worker, g.token, g.fencedSince = r.worker, max(g.token, r.token), 0
	g.until = max(g.until, now+min(r.last, lateOrderWindow+guardMargin))
	if g.machine.State() != guardAsking {
		m.done(nil)
		return
	}
	g.waiting = append(g.waiting, m.done)
	l.sendGuardHold(g, now)
}

// sendGuardHold sends a hold on a traffic goroutine. One whose token the worker doesn't know yet is answered at once.
func (l *Loop) sendGuardHold(g *guard, now anvilclock.Millis) {
	o := HoldOrder{token: g.token, reconnect: reconnectInterval}
	if g.machine.State() != guardAsking {
		o.wait = guardWait
	}
	g.calls++
	m := guardHeld{guard: g, token: g.token, sent: now, wait: o.wait}
	ctx, workers, to := l.ctx, l.workers, g.worker
	l.spawn(func() {
		ctx, cancel := withTimeout(ctx, o.wait+orderTimeout)
		defer cancel()
		_, m.err = workers.Hold(ctx, to, o)
		l.post(m)
	})
}

// guardHeld is the result of a guard's hold.
type guardHeld struct {
	guard *guard
	token int64
	sent  anvilclock.Millis
	wait  anvilclock.Millis
	err   error
}

func (m guardHeld) deliver(l *Loop) {
	g, now := m.guard, l.clock.Now()
	g.calls--
	if l.guards[g.worker.id] != g {
		return
	}
	fault := Fault("")
	if m.err != nil {
		fault = asOrderError(m.err).fault
	}
	switch fault {
	case "":
		g.fencedSince, g.due = 0, now
		if now-m.sent < m.wait/2 {
			g.due = m.sent + guardInterval
		}
		if m.token == g.token {
			l.fireGuard(g, "held")
		}
	case FaultFenced:
		if g.fencedSince == 0 {
			g.fencedSince = now
		}
		g.due = now + guardFencedInterval
		if m.token == g.token {
			l.fireGuard(g, "fenced")
		}
	case FaultReplaced:
		l.endGuard(g)
		return
	default:
		// The process may have ended: the next one knows no token.
		l.fireGuard(g, "silent")
		g.due = now + reconnectInterval
	}
	if g.calls == 0 && g.due <= now {
		l.continueGuard(g, now)
	}
}

// continueGuard sends the next hold of a guard, or ends it.
func (l *Loop) continueGuard(g *guard, now anvilclock.Millis) {
	if now >= g.until || (g.fencedSince != 0 && now-g.fencedSince >= guardFencedLimit) {
		l.endGuard(g)
		return
	}
	l.sendGuardHold(g, now)
}

func (l *Loop) endGuard(g *guard) {
	delete(l.guards, g.worker.id)
	l.fireGuard(g, "end")
}

// tickGuards continues the guards that are due.
func (l *Loop) tickGuards(now anvilclock.Millis) {
	for _, g := range l.guards {
		if g.calls == 0 && now >= g.due {
			l.continueGuard(g, now)
		}
	}
}
