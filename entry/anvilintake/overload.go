package anvilintake

import (
	"context"
	"time"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anviljob"
)

// stateReadTimeout bounds the read before a refusal, so that a store that does not answer leaves time for the commit.
const stateReadTimeout = 300 * time.Millisecond

// overloaded returns the reply that refuses a job for which there is no capacity while it has a value, or nil. A job that may be
// stored is not refused: neither while a commit of it is in flight or has ended without an answer, nor when the store has it or
// can't be read.
func (in *Intake) overloaded(ctx context.Context, a admission, spec *anviljob.Spec, unknown bool) *Reply {
	if unknown {
		return nil
	}
	retry, refused := in.gate.Refuses(in.control.Backlog(), in.control.Clock().Now(), a.id, a.queue, spec)
	if !refused {
		return nil
	}
	if !in.unstored(ctx, a.id) {
		return nil
	}
	in.gate.Record(a.id)
	in.meter.Count("submit.overload")
	in.log.Record(anvilevent.SubmissionOverload, "job", a.id, "queue", a.queue.Name(), "team", a.team, "retry", int64(retry))
	return &Reply{result: Overloaded, reason: "there is no capacity for the job in time", retry: retry}
}

// unstored reports whether a job is not stored, and no commit that this instance knows of may store it.
func (in *Intake) unstored(ctx context.Context, id string) bool {
	if in.batch.mayStore(id) {
		return false
	}
	readCtx, cancel := context.WithTimeout(ctx, stateReadTimeout)
	defer cancel()
	if row, err := in.store.Get(readCtx, anvilstorage.States, id); err != nil || row.Version() != 0 {
		return false
	}
	// Another call may have begun or ended its commit during the read.
	_, known := in.control.Directory().Find(id)
	return !known && !in.batch.mayStore(id)
}
