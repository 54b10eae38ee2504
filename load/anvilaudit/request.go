package anvilaudit

import (
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anviltask"
)

// NoAnswer is the outcome of an attempt that was not answered although its connection stayed open.
const NoAnswer anvilerror.Outcome = ""

// Broken is the code that callers set for an attempt whose connection failed before the answer was complete.
const Broken anvilerror.Code = "broken"

// Attempt is one transmission of a request to an entry instance.
type Attempt struct {
	instance string
	key      string
	sent     anvilclock.Millis
	answered anvilclock.Millis
	outcome  anvilerror.Outcome
	code     anvilerror.Code
	mismatch string
}

// Unsent is the code of an attempt that was never sent, because no connection could be opened.
const Unsent anvilerror.Code = "unsent"

// NewAttempt returns an attempt to send a request to the instance at an address. sent and answered are when the
// caller sent it and when it knew the outcome.
func NewAttempt(instance, key string, sent, answered anvilclock.Millis, o anvilerror.Outcome, c anvilerror.Code) Attempt {
	return Attempt{instance: instance, key: key, sent: sent, answered: answered, outcome: o, code: c}
}

// WithMismatch returns a copy of a whose answer did not match the request; mismatch says how.
func (a Attempt) WithMismatch(mismatch string) Attempt {
	a.mismatch = mismatch
	return a
}

// Mismatch returns how the answer did not match the request; it is empty if the answer matched.
func (a Attempt) Mismatch() string { return a.mismatch }

// Outcome returns the outcome that the caller knows, or NoAnswer.
func (a Attempt) Outcome() anvilerror.Outcome { return a.outcome }

// Code returns the reason code, which is empty if there is none.
func (a Attempt) Code() anvilerror.Code { return a.code }

// Sent returns when the attempt was sent.
func (a Attempt) Sent() anvilclock.Millis { return a.sent }

// Answered returns when the caller knew the outcome.
func (a Attempt) Answered() anvilclock.Millis { return a.answered }

// Instance returns the front address that the attempt was sent to.
func (a Attempt) Instance() string { return a.instance }

// Request is what a caller knows about one of its requests.
type Request struct {
	id              string
	team            string
	kind            anviltask.Kind
	once            bool
	count           int
	attempts        []Attempt
	state           string
	cancelRequested bool
}

// NewRequest returns a request of count tasks, which is 1 except for gang jobs. once marks it as
// non-idempotent. The request keeps the slice of attempts.
func NewRequest(id, team string, k anviltask.Kind, once bool, count int, attempts ...Attempt) Request {
	return Request{id: baseID(id), team: team, kind: k, once: once, count: max(count, 1), attempts: attempts}
}

// WithState returns a copy of r with the state that an instance last reported.
func (r Request) WithState(state string) Request {
	r.state = state
	return r
}

// WithCancelRequested returns a copy of r whose caller has requested its cancellation.
func (r Request) WithCancelRequested() Request {
	r.cancelRequested = true
	return r
}

// ID returns the id without its home shard.
func (r Request) ID() string { return r.id }

// Team returns the name of the team that sent the request.
func (r Request) Team() string { return r.team }

// Kind returns whether r is a call, a batch task or a gang job.
func (r Request) Kind() anviltask.Kind { return r.kind }

// State returns the state of a task or gang job that was last reported; it is empty if none was reported.
func (r Request) State() string { return r.state }

// Attempts returns a copy of the attempts, in the order in which they were sent.
func (r Request) Attempts() []Attempt { return slices.Clone(r.attempts) }

// Outcome returns the outcome of the request: Done if an attempt has it, else Unknown, NoAnswer or NotRun, in
// this order.
func (r Request) Outcome() anvilerror.Outcome {
	best := anvilerror.NotRun
	for _, a := range r.attempts {
		switch a.outcome {
		case anvilerror.Done:
			return anvilerror.Done
		case anvilerror.Unknown:
			best = anvilerror.Unknown
		case NoAnswer:
			if best == anvilerror.NotRun {
				best = NoAnswer
			}
		case anvilerror.NotRun:
		}
	}
	return best
}

// Accepted reports whether the request may have been accepted: an attempt has an outcome other than "not run".
func (r Request) Accepted() bool { return r.Outcome() != anvilerror.NotRun }

// finalStates are the states that a task or gang job never leaves.
var finalStates = []string{"done", "failed", "stopped", "cancelled", "unknown", "not-run", "refused"}

// Final reports whether a state is final: a task or gang job never leaves it.
func Final(state string) bool { return slices.Contains(finalStates, state) }
