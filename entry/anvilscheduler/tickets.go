package anvilscheduler

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// tickets holds the advisor's answers for a stage. An approval is permanent; the ticket for it expires.
type tickets struct {
	// queriesInFlight is the number of queries that wait for an answer. They were sent together, for different workers.
	queriesInFlight int
	// retryAt is the time from which the next query may be sent.
	retryAt anvilclock.Millis
	// queried holds the workers that answered queries have named, approved the newest tickets of those that may run the
	// stage, expired ones included.
	queried  map[*worker]bool
	approved []*ticket
	// claims is the capacity that the stage will probably use once its query is answered.
	claims []capacityClaim
}

// capacityClaim is capacity of a worker that a stage will probably use.
type capacityClaim struct {
	worker *worker
	size   anvilsize.Size
}

// ticket is the advisor's permission for a stage to run on a worker. The zero value stands for none.
type ticket struct {
	worker *worker
	text   string
	// validUntil is a time of the loop's clock; 0 after the worker has refused the ticket.
	validUntil anvilclock.Millis
}

// answered reports whether the advisor has answered a query of the stage.
func (t *tickets) answered() bool { return len(t.queried) > 0 }

// find returns the newest ticket for a worker, expired or not; nil when the worker is not approved.
func (t *tickets) find(w *worker) *ticket {
	for _, tk := range t.approved {
		if tk.worker == w {
			return tk
		}
	}
	return nil
}

// forStart returns the ticket that a start on a worker carries; the zero ticket when there is none.
func (t *tickets) forStart(w *worker) ticket {
	if tk := t.find(w); tk != nil {
		return *tk
	}
	return ticket{}
}

func (t *tickets) approves(w *worker) bool { return t.find(w) != nil }

// invalidate marks the ticket for a worker as expired after the worker has refused it.
func (t *tickets) invalidate(w *worker) {
	if tk := t.find(w); tk != nil {
		tk.validUntil = 0
	}
}

// update records an answer: the workers that the query named, and the tickets that were granted.
func (t *tickets) update(workers []*worker, granted []ticket) {
	if t.queried == nil {
		t.queried = make(map[*worker]bool, len(workers))
	}
	for _, w := range workers {
		t.queried[w] = true
	}
	for _, g := range granted {
		if tk := t.find(g.worker); tk != nil {
			*tk = g
			continue
		}
		t.approved = append(t.approved, &g)
	}
}
