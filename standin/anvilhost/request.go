package anvilhost

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
)

// Operations of Host.Control.
const (
	opStop       = "stop"
	opCheckpoint = "checkpoint"
	opThrottle   = "throttle"
	opResume     = "resume"
	opGo         = "go"
)

// Start runs a task, or reserves its capacity when the request asks to hold it. reply is called exactly once, perhaps
// after Start has returned: for a call when it has ended, for other tasks as soon as they run or are held. reply must not
// block.
//
// A request with a known id is answered with the state of that task before epoch and lease are checked. Otherwise a
// sender with an outdated epoch would receive "not-run" for a task that runs.
func (h *Host) Start(req *StartRequest, reply func(StartReply)) {
	h.Tick()
	if t := h.tasks[req.id]; t != nil {
		h.record(EventRefuse, req, t.protocolState(), string(anvilerror.Duplicate), 0)
		t.startWaiters = append(t.startWaiters, waiter{reply: reply, duplicate: true})
		t.notify()
		return
	}
	if e := h.ended.byID[req.id]; e != nil {
		h.record(EventRefuse, req, e.state, string(anvilerror.Duplicate), 0)
		reply(e.startReply(true))
		return
	}
	if code, reason := h.refusal(req); code != "" {
		h.record(EventRefuse, req, endNotRun, string(code), 0)
		reply(StartReply{state: endNotRun, code: string(code), reason: reason})
		return
	}
	t := &task{
		host: h, req: req, instructions: parseInstructions(req), machine: h.chart.NewMachine(),
		startWaiters: []waiter{{reply: reply}},
	}
	h.tasks[req.id] = t
	h.live = append(h.live, t)
	h.fire(t, "place")
}

// refusal returns the reason code and text with which a start is refused, or an empty code.
func (h *Host) refusal(req *StartRequest) (code anvilerror.Code, reason string) {
	s := h.shards[req.shard]
	switch {
	case s == nil || req.epoch != s.epoch:
		return anvilerror.Stale, "the epoch differs from the one installed by the last fence"
	case !s.leased:
		return anvilerror.Stale, "the lease has expired"
	case req.deadline > 0 && h.clock.Now() > req.deadline:
		return anvilerror.Stale, "the start arrived after its deadline"
	case h.leaving:
		return anvilerror.Leaving, "the worker is leaving"
	case !req.size.Fits(h.capacity.Sub(h.used)):
		return anvilerror.NoCapacity, "the task does not fit the free capacity"
	case len(h.live) >= maxLive:
		return anvilerror.NoCapacity, "the worker has too many tasks"
	case len(h.live)+len(h.ended.list) >= maxTaskIDs-reservedForStops:
		return anvilerror.NoCapacity, "the list of ended tasks is full"
	}
	return "", ""
}

// Control applies an operation to a task: stop, checkpoint, throttle, resume or go. When the returned error is nil, reply
// is called exactly once: for a checkpoint when it has been written or has failed, for other operations before Control
// returns. reply must not block.
//
// The operation go is refused after deadline, a time of the worker's monotonic clock; 0 means no deadline.
func (h *Host) Control(name string, epoch int64, id, op string, deadline anvilclock.Millis, reply func(ControlReply)) error {
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
		reply(ControlReply{code: string(anvilerror.Stale)})
	case op == opGo && deadline > 0 && h.clock.Now() > deadline:
		reply(ControlReply{code: string(anvilerror.Stale)})
	case t != nil && t.req.shard != name:
		reply(ControlReply{code: string(anvilerror.Forbidden), state: t.protocolState()})
	case t != nil:
		h.applyControl(t, op, reply)
	case e != nil:
		reply(ControlReply{ok: op == opStop, code: e.code, state: e.state, answer: e.answer})
	case op == opStop:
		reply(h.recordUnstarted(name, epoch, id))
	default:
		reply(ControlReply{code: string(anvilerror.Missing)})
	}
	return nil
}

func (h *Host) applyControl(t *task, op string, reply func(ControlReply)) {
	t.refused = false
	if op == opCheckpoint {
		t.checkpointWaiters = append(t.checkpointWaiters, reply)
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
		// notify replies when the outcome is known.
	case t.final != nil:
		reply(ControlReply{ok: true, state: t.final.state, code: t.final.code})
	case t.refused:
		reply(ControlReply{code: string(anvilerror.Conflict), state: t.protocolState()})
	default:
		reply(ControlReply{ok: true, state: t.protocolState()})
	}
}

// recordUnstarted records the id of a task whose stop arrived before its start. A start that is still in flight is then
// refused, so that the state not-run, which the stop reports, stays true.
func (h *Host) recordUnstarted(name string, epoch int64, id string) ControlReply {
	if len(h.live)+len(h.ended.list) >= maxTaskIDs {
		return ControlReply{code: string(anvilerror.QueueFull)}
	}
	req := &StartRequest{shard: name, epoch: epoch, id: id}
	h.record(EventRefuse, req, endNotRun, string(anvilerror.Cancelled), 0)
	h.ended.add(&EndedTask{id: id, state: endNotRun, code: string(anvilerror.Cancelled), at: h.clock.Now()})
	return ControlReply{ok: true, state: endNotRun, code: string(anvilerror.Cancelled)}
}
