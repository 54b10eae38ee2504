package anvilhost

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
)

// The operations of Control.
const (
	opStop       = "stop"
	opCheckpoint = "checkpoint"
	opThrottle   = "throttle"
	opResume     = "resume"
	opGo         = "go"
)

// Start runs a task or holds its place. reply is called exactly once: for a call when it has
// ended, for others as soon as they run or are held. It must not block.
//
// A known id is answered with what is known of it before epoch and lease are looked at: "not run"
// must be true for every sender.
func (h *Host) Start(o *Order, reply func(Answer)) {
	h.Tick()
	if t := h.tasks[o.id]; t != nil {
		h.record(EventRefuse, o, t.reported(), string(anvilerror.Duplicate), 0)
		t.waiters = append(t.waiters, waiter{reply: reply, duplicate: true})
		t.notify()
		return
	}
	if e := h.ended.byID[o.id]; e != nil {
		h.record(EventRefuse, o, e.state, string(anvilerror.Duplicate), 0)
		reply(e.answerFor(true))
		return
	}
	if code, reason := h.refusal(o); code != "" {
		h.record(EventRefuse, o, endNotRun, string(code), 0)
		reply(Answer{state: endNotRun, code: string(code), reason: reason})
		return
	}
	t := &task{
		host: h, order: o, script: parseScript(o), machine: h.chart.NewMachine(),
		waiters: []waiter{{reply: reply}},
	}
	h.tasks[o.id] = t
	h.live = append(h.live, t)
	h.fire(t, "place")
}

// refusal returns why o can't start, or an empty code.
func (h *Host) refusal(o *Order) (code anvilerror.Code, reason string) {
	s := h.shards[o.shard]
	switch {
	case s == nil || o.epoch != s.epoch:
		return anvilerror.Stale, "the epoch is not the installed one"
	case !s.leased:
		return anvilerror.Stale, "the lease has lapsed"
	case o.until > 0 && h.clock.Now() > o.until:
		return anvilerror.Stale, "the start came too late"
	case h.leaving:
		return anvilerror.Leaving, "the worker is leaving"
	case !o.size.Fits(h.capacity.Sub(h.used)):
		return anvilerror.NoRoom, "the task does not fit what is free"
	case len(h.live) >= maxLive:
		return anvilerror.NoRoom, "the worker has too many tasks"
	case len(h.live)+len(h.ended.list) >= maxKnown-stopReserve:
		return anvilerror.NoRoom, "the list of ended tasks is full"
	}
	return "", ""
}

// Control changes a task. reply is called exactly once: for a checkpoint when it has been written
// or has failed, for others at once. It must not block.
//
// A go after until, in the worker's clock, is refused; 0 means no bound.
func (h *Host) Control(name string, epoch int64, id, op string, until anvilclock.Millis, reply func(Ack)) error {
	h.Tick()
	switch {
	case name == "" || id == "":
		return badInput("shard and id must be set")
	case len(name) > maxText || len(id) > maxText:
		return badInput("a name has more than %d bytes", maxText)
	case op != opStop && op != opCheckpoint && op != opThrottle && op != opResume && op != opGo:
		return badInput("op must be stop, checkpoint, throttle, resume or go, not %q", op)
	}
	s, t, e := h.shards[name], h.tasks[id], h.ended.byID[id]
	switch {
	case s == nil || epoch != s.epoch:
		reply(Ack{code: string(anvilerror.Stale)})
	case op == opGo && until > 0 && h.clock.Now() > until:
		reply(Ack{code: string(anvilerror.Stale)})
	case t != nil && t.order.shard != name:
		reply(Ack{code: string(anvilerror.Forbidden), state: t.reported()})
	case t != nil:
		h.control(t, op, reply)
	case e != nil:
		reply(Ack{ok: op == opStop, code: e.code, state: e.state, answer: e.answer})
	case op == opStop:
		reply(h.bar(name, epoch, id))
	default:
		reply(Ack{code: string(anvilerror.Missing)})
	}
	return nil
}

func (h *Host) control(t *task, op string, reply func(Ack)) {
	t.refused = false
	if op == opCheckpoint {
		t.savers = append(t.savers, reply)
	}
	if op == opStop {
		h.stop(t, op, string(anvilerror.Cancelled))
	} else {
		if op == opCheckpoint && t.state() != stateCheckpointing {
			t.code = string(anvilerror.Conflict)
		}
		h.fire(t, op)
	}
	switch {
	case op == opCheckpoint:
		// Answered by notify, which knows the outcome.
	case t.final != nil:
		reply(Ack{ok: true, state: t.final.state, code: t.final.code})
	case t.refused:
		reply(Ack{code: string(anvilerror.Conflict), state: t.reported()})
	default:
		reply(Ack{ok: true, state: t.reported()})
	}
}

// bar records the id of a task that never came, so that a start which is still on its way is
// refused and "not run" stays true.
func (h *Host) bar(name string, epoch int64, id string) Ack {
	if len(h.live)+len(h.ended.list) >= maxKnown {
		return Ack{code: string(anvilerror.QueueFull)}
	}
	o := &Order{shard: name, epoch: epoch, id: id}
	h.record(EventRefuse, o, endNotRun, string(anvilerror.Cancelled), 0)
	h.ended.add(&Ended{id: id, state: endNotRun, code: string(anvilerror.Cancelled), at: h.clock.Now()})
	return Ack{ok: true, state: endNotRun, code: string(anvilerror.Cancelled)}
}
