// Package anvilcodec converts between the Go types of the libraries and the control loop, and the protobuf messages of
// all protocols.
package anvilcodec

import (
	"fmt"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilwire"
)

// Size converts a size to its message.
func Size(s anvilsize.Size) *anvilwire.Size {
	return anvilwire.Size_builder{Cpu: s.CPU(), Memory: s.Memory(), Accel: s.Accel()}.Build()
}

// ParseSize converts a message to a size; nil gives the zero size.
func ParseSize(m *anvilwire.Size) anvilsize.Size {
	return anvilsize.New(m.GetCpu(), m.GetMemory(), m.GetAccel())
}

// Refusal converts an error to its message; nil gives the outcome "done". The cause is not part of the message.
func Refusal(err *anvilerror.Error) *anvilwire.Refusal {
	if err == nil {
		return anvilwire.Refusal_builder{Outcome: string(anvilerror.Done)}.Build()
	}
	return anvilwire.Refusal_builder{
		Outcome: string(err.Outcome()), Code: string(err.Code()), Reason: err.Reason(), Retry: int64(err.Retry()),
	}.Build()
}

// ParseRefusal converts a message to an error. It returns nil for the outcome "done" without a code. An outcome that
// this version doesn't know is taken as unknown, because the request may have run.
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
		return anvilerror.UnknownOutcome(anvilerror.Internal, fmt.Sprintf("unknown outcome %q", m.GetOutcome()))
	}
}

// Spec converts a task to its message, which does not contain the team and the home shard.
func Spec(t *anviltask.Task) *anvilwire.Spec {
	return anvilwire.Spec_builder{
		Id: t.ID(), Pool: t.Pool(), Kind: string(t.Kind()), Count: int64(t.Count()), Size: Size(t.Size()),
		Run: int64(t.RunTime()), Body: t.Body(), Once: t.NonIdempotent(), Urgent: t.Urgent(), Deadline: int64(t.MaxWait()),
		Workspace: t.Workspace(), First: t.FirstAttempt(),
	}.Build()
}

// ParseSpec converts a message to a task of a team and a home shard. It checks nothing.
func ParseSpec(m *anvilwire.Spec, team, shard string) *anviltask.Task {
	return anviltask.New(m.GetId(), anviltask.Kind(m.GetKind()), m.GetPool(),
		anviltask.WithTeam(team, m.GetWorkspace()),
		anviltask.WithShard(shard),
		anviltask.WithSize(ParseSize(m.GetSize())),
		anviltask.WithCount(int(m.GetCount())),
		anviltask.WithRunTime(anvilclock.Millis(m.GetRun())),
		anviltask.WithMaxWait(anvilclock.Millis(m.GetDeadline())),
		anviltask.WithBody(m.GetBody()),
		anviltask.WithNonIdempotent(m.GetOnce()),
		anviltask.WithFirstAttempt(m.GetFirst()),
		anviltask.WithUrgent(m.GetUrgent()),
	)
}
