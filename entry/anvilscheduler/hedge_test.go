package anvilscheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"anvilhold.org/lib/anvilclock"
)

// muteWorkers implements Workers. Start gets the answers in order; an answer of nil means that none comes.
type muteWorkers struct {
	Workers
	answers []*startAnswer
	starts  atomic.Int32
}

func (m *muteWorkers) Start(ctx context.Context, _ Target, _ StartOrder) (anvilclock.Millis, error) {
	a := m.answers[m.starts.Add(1)-1]
	if a == nil {
		<-ctx.Done()
		return 0, NewOrderError(FaultNoReply, 0, ctx.Err())
	}
	return a.clock, a.err
}

// Guards against a task that waits for the timeout of a start that a worker leaves unanswered.
func TestStartTwice(t *testing.T) {
	refusal := &startAnswer{err: NewOrderError(FaultNoCapacity, 7, errDown)}
	broken := &startAnswer{err: NewOrderError(FaultNoReply, 0, errDown)}
	for name, c := range map[string]struct {
		answers []*startAnswer
		starts  int32
		fault   Fault
	}{
		"answered":                       {[]*startAnswer{{clock: 5}}, 1, ""},
		"refused":                        {[]*startAnswer{refusal}, 1, FaultNoCapacity},
		"broken at once":                 {[]*startAnswer{broken}, 1, FaultNoReply},
		"the second attempt is answered": {[]*startAnswer{nil, {clock: 5}}, 2, ""},
		"the second attempt is refused":  {[]*startAnswer{nil, refusal}, 2, FaultNoCapacity},
		"neither attempt is answered":    {[]*startAnswer{nil, nil}, 2, FaultNoReply},
		"the second is broken as well":   {[]*startAnswer{nil, broken}, 2, FaultNoReply},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			w := &muteWorkers{answers: c.answers}
			a := startTwice(ctx, w, Target{}, StartOrder{}, time.Millisecond)
			if c.fault == "" {
				assertEqual(t, "error", a.err, nil)
				assertEqual(t, "clock", a.clock, anvilclock.Millis(5))
			} else {
				assertEqual(t, "fault", asOrderError(a.err).fault, c.fault)
			}
			assertEqual(t, "may be carried out late", a.unanswered, c.starts > 1 || c.fault == FaultNoReply)
			assertEqual(t, "attempts", w.starts.Load(), c.starts)
		})
	}
}
