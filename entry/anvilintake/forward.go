package anvilintake

import (
	"context"
	"time"

	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anviljob"
)

// Kind is what a call asks.
type Kind string

// The kinds of call that another instance may decide on.
const (
	KindSubmit Kind = "submit"
	KindState  Kind = "state"
	KindCancel Kind = "cancel"
)

// forwardTimeout bounds one try to have another instance decide on a call: its commit takes up to a quarter of a
// second on a slow store, after up to half a second of others that wait.
const forwardTimeout = 900 * time.Millisecond

func refusePartitioned() *Reply {
	return refuse("this instance does not reach the store; another one may")
}

// Decide decides on a call that another instance has passed on. It is not passed on again.
func (in *Intake) Decide(ctx context.Context, kind Kind, c Call, spec *anviljob.Spec) Reply {
	reply, unknown := in.decide(ctx, kind, c, spec)
	return settle(reply, unknown)
}

// decide decides on a call with what this instance knows and reaches.
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

// settle turns a refusal into doubt when an earlier try may have been carried out.
func settle(r Reply, unknown bool) Reply {
	if r.result == Refused && unknown {
		return Reply{result: Unknown, reason: r.reason}
	}
	return r
}

// serve decides on a call, through another instance when this one turns out to be partitioned from the store.
// Every try for an id concerns the same job, so a try that may have been carried out does no harm.
func (in *Intake) serve(ctx context.Context, kind Kind, c Call, spec *anviljob.Spec) Reply {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, remaining(ctx))
	defer cancel()
	reply, unknown := in.decide(ctx, kind, c, spec)
	if reply.result == Refused && in.control.Connectivity().Partitioned() {
		reply, unknown = in.forward(ctx, kind, c, spec, reply, unknown)
	}
	reply = settle(reply, unknown)
	in.note(string(kind), c, reply, begin)
	return reply
}

// forward asks the instances that reach the store, one after another, until one decides.
func (in *Intake) forward(ctx context.Context, kind Kind, c Call, spec *anviljob.Spec, last Reply, unknown bool) (Reply, bool) {
	for _, addr := range in.control.Connectivity().ForwardTargets() {
		if ctx.Err() != nil {
			break
		}
		try, cancel := context.WithTimeout(ctx, forwardTimeout)
		reply, err := in.forwarder.Forward(try, addr, kind, c, spec)
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
