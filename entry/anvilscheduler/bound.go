package anvilscheduler

import (
	"maps"
	"slices"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
)

// maxBoundRows is how many bounds of leases a commit changes at most.
const maxBoundRows = 32

// leaseBounds are the stored bounds of the leases of workers that don't answer, so that a successor needn't wait for longer. A
// worker's leases are extended again only once its row is removed.
type leaseBounds struct {
	// stored holds the local times by the rows that the store has, or may have, for each worker's id; 0 when the time is
	// not known.
	stored map[string]anvilclock.Millis
	// queued holds the ids of the workers whose rows have to change, removing those whose removal is in flight.
	queued   map[string]bool
	removing map[string]bool
}

func newLeaseBounds() leaseBounds {
	return leaseBounds{stored: map[string]anvilclock.Millis{}, queued: map[string]bool{}, removing: map[string]bool{}}
}

// leasesBounded reports whether a stored bound may forbid to extend the worker's leases.
func (w *worker) leasesBounded() bool {
	_, ok := w.loop.fleet.bounds.stored[w.id()]
	return ok
}

// needsBound reports whether a bound of the worker's leases has to be stored. That of a former leader stays until the
// worker answers.
func (w *worker) needsBound() bool {
	if len(w.tasks) == 0 || w.registration.incarnation == 0 || w.machine.State() == workerEnded {
		return false
	}
	return w.failures >= unresponsiveAfter ||
		(w.machine.State() == workerUnfenced && (w.registration.removed || w.leasesBounded()))
}

// queueBounds queues the rows that have to change.
func (l *Loop) queueBounds() {
	b := &l.fleet.bounds
	if !l.storeTime.known() {
		return
	}
	for id, w := range l.fleet.byID {
		until, ok := b.stored[id]
		if needs := w.needsBound(); needs != ok || (needs && w.leaseExpiry > until) {
			b.queued[id] = true
		}
	}
	for id := range b.stored {
		if l.fleet.byID[id] == nil {
			b.queued[id] = true
		}
	}
	for id := range b.removing {
		delete(b.queued, id)
	}
}

// addBounds adds queued changes of bounds to a commit.
func (l *Loop) addBounds(b *batch) error {
	bounds := &l.fleet.bounds
	ids := slices.Sorted(maps.Keys(bounds.queued))
	for _, id := range ids[:min(len(ids), maxBoundRows)] {
		delete(bounds.queued, id)
		w := l.fleet.byID[id]
		if w == nil || !w.needsBound() {
			b.tx.Delete(anvilstorage.Leases, id)
			b.unbounded = append(b.unbounded, id)
			bounds.removing[id] = true
			continue
		}
		unanswered := w.unansweredExpiry()
		if unanswered != 0 {
			unanswered = l.storeTime.latestAt(unanswered)
		}
		row, err := anvilstorage.LeaseRow(anvilstorage.NewLeaseBound(id, w.registration.incarnation, l.leadership.token,
			l.storeTime.latestAt(w.leaseExpiry), unanswered))
		if err != nil {
			return err
		}
		b.tx.Set(row)
		bounds.stored[id] = w.leaseExpiry
		l.log.Record(anvilevent.LeaseBounded, "worker", id, "tasks", len(w.tasks), "lapse", int64(w.leaseExpiry-l.clock.Now()))
	}
	return nil
}

// finishBounds records that a commit has removed bounds.
func (l *Loop) finishBounds(b *batch) {
	for _, id := range b.unbounded {
		delete(l.fleet.bounds.stored, id)
		delete(l.fleet.bounds.removing, id)
		if w := l.fleet.byID[id]; w != nil {
			l.holdIfDue(w, l.clock.Now())
		}
	}
}

// adoptBounds applies the bounds that former leaders have stored.
func (l *Loop) adoptBounds(page anvilstorage.Page) {
	since := l.leadership.extension.formerBoundedSince
	for _, r := range page.Rows() {
		l.fleet.bounds.stored[r.Key()] = 0
		bound, err := anvilstorage.ParseLease(r)
		if err != nil {
			l.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.Leases), "key", r.Key())
			continue
		}
		w := l.fleet.byID[r.Key()]
		if w == nil || since == 0 || bound.Token() < since || bound.Incarnation() != w.registration.incarnation {
			continue
		}
		w.leaseExpiry = l.storeTime.passedBy(bound.Until())
		w.formerClockExpiry = min(w.formerClockExpiry, w.leaseExpiry)
		l.fleet.bounds.stored[r.Key()] = w.leaseExpiry
		for t := range w.tasks {
			t.lastStart = 0
			if bound.Unanswered() != 0 {
				t.lastStart = l.storeTime.passedBy(bound.Unanswered()) - l.leaseExpiryAfter(l.limits.maxLease)
			}
		}
	}
}

// unansweredExpiry returns the local time until which runs of the worker may last whose start got no answer; 0 when there are
// none.
func (w *worker) unansweredExpiry() anvilclock.Millis {
	latest := anvilclock.Millis(0)
	for t := range w.tasks {
		latest = max(latest, t.unansweredExpiry())
	}
	return latest
}
