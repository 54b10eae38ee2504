package anvilintake

import (
	"context"
	"time"

	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anviljob"
)

// Kind is the operation that a call asks for.
type Kind string

// The kinds of calls that can be forwarded to another instance.
const (
	KindSubmit Kind = "submit"
	KindState  Kind = "state"
	KindCancel Kind = "cancel"
)

// forwardTimeout bounds forwarding a call to one instance. A commit there takes up to a quarter of a second on a slow
// store, and up to half a second before that for the transactions ahead of it.
const forwardTimeout = 900 * time.Millisecond

func refusePartitioned() *Reply {
	return refuse("this instance does not reach the store; another one may")
}

// Decide decides on a call that another instance has forwarded. It is not forwarded again.
func (in *Intake) Decide(ctx context.Context, kind Kind, c Call, spec *anviljob.Spec) Reply {
	reply, unknown := in.decide(ctx, kind, c, spec)
	return refusedOrUnknown(reply, unknown)
}

// decide decides on a call without forwarding it. unknown reports whether it may have been carried out in spite of a
// refusal.
func (in *Intake) decide(ctx context.Context, kind Kind, c Call, spec *anviljob.Spec) (reply Reply, unknown bool) {
	switch kind {
	case KindSubmit:
		return in.submit(ctx, c, spec)
	case KindCancel:
		return in.cancel(ctx, c)
	case KindState:
		return in.state(ctx, c), false
	}
	return Reply{result: Invalid, reason: "the kind of call is not known"}, false
}

// refusedOrUnknown turns a refusal for any reason into an unknown outcome when an earlier try may have been carried out: the
// key or the queue can have been removed after it.
func refusedOrUnknown(r Reply, unknown bool) Reply {
	if !unknown {
		return r
	}
	switch r.result {
	case Refused, Overloaded, Unauthorized, NoQueue:
		return Reply{result: Unknown, reason: r.reason}
	default:
		return r
	}
}

// serve decides on a call, and forwards it when this instance turns out to be partitioned from the store. All tries use
// the same job id, so repeating one that may have been carried out is safe.
func (in *Intake) serve(ctx context.Context, kind Kind, c Call, spec *anviljob.Spec) Reply {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, remaining(ctx))
	defer cancel()
	reply, unknown := in.decide(ctx, kind, c, spec)
	if reply.result == Refused && in.control.Connectivity().Partitioned() {
		reply, unknown = in.forward(ctx, kind, c, spec, reply, unknown)
		if a, rejection := in.admit(c); unknown && kind == KindSubmit && rejection == nil {
			in.batch.addUnknown(a.id)
		}
	}
	reply = refusedOrUnknown(reply, unknown)
	in.record(string(kind), c, reply, begin)
	return reply
}

// forward sends the call to the instances that reach the store, one after another, until one doesn't refuse it. It
// returns last when none replies.
func (in *Intake) forward(ctx context.Context, kind Kind, c Call, spec *anviljob.Spec, last Reply, unknown bool) (Reply, bool) {
	for _, addr := range in.control.Connectivity().ForwardTargets() {
		if ctx.Err() != nil {
			break
		}
		tryCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
		reply, err := in.forwarder.Forward(tryCtx, addr, kind, c, spec)
		cancel()
		if err != nil {
			unknown = unknown || kind != KindState
			in.log.Record(anvilevent.ForwardFailed, "call", string(kind), "path", c.path, "instance", addr, "error", err.Error())
			in.meter.Count("detour.failed")
			continue
		}
		in.meter.Count("detour." + reply.result.String())
		last = reply
		if reply.result != Refused {
			break
		}
	}
	return last, unknown
}
