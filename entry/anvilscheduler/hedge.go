package anvilscheduler

import (
	"context"
	"time"

	"anvilhold.org/lib/anvilclock"
)

// startAnswer is the answer to a start.
type startAnswer struct {
	clock anvilclock.Millis
	err   error
	// unanswered means that an attempt got no answer, so the worker may still carry it out.
	unanswered bool
}

// startTwice sends a start, and once more when no answer has come for a delay: a worker may leave an order unanswered and
// carry it out seconds later. It carries out a run's start only once, whichever order comes first. It returns the first
// answer, and an error only when both attempts failed or the first one failed before the delay.
func startTwice(ctx context.Context, w Workers, to Target, o StartOrder, delay time.Duration) startAnswer {
	answers := make(chan startAnswer, 2)
	send := func() {
		clock, err := w.Start(ctx, to, o)
		answers <- startAnswer{clock: clock, err: err, unanswered: err != nil && asOrderError(err).fault == FaultNoReply}
	}
	go send()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case a := <-answers:
		return a
	case <-timer.C:
	}
	go send()
	a := <-answers
	if a.unanswered {
		a = <-answers
	}
	a.unanswered = true
	return a
}
