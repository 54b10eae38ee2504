package anvilscheduler

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// tickets is what the advisor has said about a stage. Which workers it approves does not change; the
// tickets lapse.
type tickets struct {
	queryInFlight bool
	retryAt       anvilclock.Millis
	// queried holds the workers about which the advisor was asked, approved those that may run the stage.
	queried  map[*worker]bool
	approved []*ticket
	// claims is the room that the stage will probably take once its question is answered.
	claims []claim
}

// claim is room of a worker.
type claim struct {
	worker *worker
	size   anvilsize.Size
}

type ticket struct {
	worker     *worker
	text       string
	validUntil anvilclock.Millis
}

// answered reports whether the advisor has answered.
func (t *tickets) answered() bool { return len(t.queried) > 0 }

// find returns the ticket for a worker; nil when it is not approved.
func (t *tickets) find(w *worker) *ticket {
	for _, tk := range t.approved {
		if tk.worker == w {
			return tk
		}
	}
	return nil
}

// forStart returns what a start on a worker carries.
func (t *tickets) forStart(w *worker) ticket {
	if tk := t.find(w); tk != nil {
		return *tk
	}
	return ticket{}
}

func (t *tickets) approves(w *worker) bool { return t.find(w) != nil }

// invalidate makes a ticket that was refused invalid.
func (t *tickets) invalidate(w *worker) {
	if tk := t.find(w); tk != nil {
		tk.validUntil = 0
	}
}

// update takes an answer about workers.
func (t *tickets) update(asked []*worker, granted []ticket) {
	if t.queried == nil {
		t.queried = make(map[*worker]bool, len(asked))
	}
	for _, w := range asked {
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
