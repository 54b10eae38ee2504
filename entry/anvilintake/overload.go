package anvilintake

import (
	"context"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anviljob"
)

// overloaded returns the reply that refuses a job for which there is no capacity while it has a value, or nil. A job that may be
// stored is not refused: neither after a commit without an answer, nor when the store has it or can't be read.
func (in *Intake) overloaded(ctx context.Context, a admission, spec *anviljob.Spec, unknown bool) *Reply {
	if unknown {
		return nil
	}
	retry, refused := in.gate.Refuses(in.control.Backlog(), in.control.Clock().Now(), a.id, a.queue.Name(), spec)
	if !refused {
		return nil
	}
	if row, err := in.store.Get(ctx, anvilstorage.States, a.id); err != nil || row.Version() != 0 {
		return nil
	}
	in.gate.Record(a.id)
	in.meter.Count("submit.overload")
	in.log.Record(anvilevent.SubmissionOverload, "job", a.id, "queue", a.queue.Name(), "team", a.team, "retry", int64(retry))
	return &Reply{result: Overloaded, reason: "there is no capacity for the job in time", retry: retry}
}
