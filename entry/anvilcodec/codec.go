// Package anvilcodec converts between the domain's values and the messages of every protocol.
package anvilcodec

import (
	"fmt"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilwire"
)

// Size returns the message of a size.
func Size(s anvilsize.Size) *anvilwire.Size {
	return anvilwire.Size_builder{Cpu: s.CPU(), Memory: s.Memory(), Accel: s.Accel()}.Build()
}

// ParseSize returns the size in a message; nil is the zero size.
func ParseSize(m *anvilwire.Size) anvilsize.Size {
	return anvilsize.New(m.GetCpu(), m.GetMemory(), m.GetAccel())
}

// Refusal returns the message of an error; nil becomes the outcome done.
func Refusal(err *anvilerror.Error) *anvilwire.Refusal {
	if err == nil {
		return anvilwire.Refusal_builder{Outcome: string(anvilerror.Done)}.Build()
	}
	return anvilwire.Refusal_builder{
		Outcome: string(err.Outcome()), Code: string(err.Code()), Reason: err.Reason(), Retry: int64(err.Retry()),
	}.Build()
}

// ParseRefusal returns the error in a message; nil for the outcome done. An outcome that is not in
// the catalogue may have run.
func ParseRefusal(m *anvilwire.Refusal) *anvilerror.Error {
	retry := anvilerror.WithRetry(anvilclock.Millis(m.GetRetry()))
	switch code := anvilerror.Code(m.GetCode()); anvilerror.Outcome(m.GetOutcome()) {
	case anvilerror.Done:
		if code == "" {
			return nil
		}
		return anvilerror.New(anvilerror.Done, code, m.GetReason(), retry)
	case anvilerror.NotRun:
		return anvilerror.Refuse(code, m.GetReason(), retry)
	case anvilerror.Unknown:
		return anvilerror.UnknownOutcome(code, m.GetReason(), retry)
	default:
		return anvilerror.UnknownOutcome(anvilerror.Internal, fmt.Sprintf("outcome %q is not in the catalogue", m.GetOutcome()))
	}
}

// Spec returns the message of a task. The team and the home shard are not part of it.
func Spec(t *anviltask.Task) *anvilwire.Spec {
	return anvilwire.Spec_builder{
		Id: t.ID(), Pool: t.Pool(), Kind: string(t.Kind()), Count: int64(t.Count()), Size: Size(t.Size()),
		Run: int64(t.Run()), Body: t.Body(), Once: t.Once(), Urgent: t.Urgent(), Deadline: int64(t.Wait()),
		Workspace: t.Workspace(), First: t.First(),
	}.Build()
}

// ParseSpec returns the task in a message that another instance or the table holds.
func ParseSpec(m *anvilwire.Spec, team, shard string) *anviltask.Task {
	return anviltask.New(m.GetId(), anviltask.Kind(m.GetKind()), m.GetPool(),
		anviltask.WithTeam(team, m.GetWorkspace()),
		anviltask.WithShard(shard),
		anviltask.WithSize(ParseSize(m.GetSize())),
		anviltask.WithCount(int(m.GetCount())),
		anviltask.WithRun(anvilclock.Millis(m.GetRun())),
		anviltask.WithWait(anvilclock.Millis(m.GetDeadline())),
		anviltask.WithBody(m.GetBody()),
		anviltask.WithOnce(m.GetOnce()),
		anviltask.WithFirst(m.GetFirst()),
		anviltask.WithUrgent(m.GetUrgent()),
	)
}
