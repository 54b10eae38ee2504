package anvilhost

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
)

// States of charts/task.toml that the code refers to.
const (
	stateLoading       = "loading"
	stateHeld          = "held"
	stateRunning       = "running"
	stateThrottled     = "throttled"
	stateCheckpointing = "checkpointing"
)

// Final states of a task, as the protocol reports them.
const (
	endDone         = "done"
	endFailed       = "failed"
	endStopped      = "stopped"
	endCheckpointed = "checkpointed"
	endNotRun       = "not-run"
)

// checkpointPrefix precedes the task id in the object name of a checkpoint.
const checkpointPrefix = "checkpoint/"

// progressKey precedes the progress in milliseconds in the text of a checkpoint.
const progressKey = "progress="

// Units of work for each millisecond of time. A unit is half a millisecond of work, because a throttled task works at
// half speed.
const (
	fullSpeed int64 = 2
	halfSpeed int64 = 1
)

// StartReply is the reply to Host.Start.
type StartReply struct {
	state, code, reason string
	body                []byte
}

// State returns held, running or the final state of the task; not-run when the start was refused.
func (r StartReply) State() string { return r.state }

// Code returns the reason code: duplicate for a known id, large when the answer of a call was not kept, otherwise the
// reason of a refusal or failure or the empty string.
func (r StartReply) Code() string { return r.code }

// Reason explains a refusal in one line of text; it may be empty.
func (r StartReply) Reason() string { return r.reason }

// Body returns the answer of a call that has ended, nil otherwise. The caller must not change it.
func (r StartReply) Body() []byte { return r.body }

// ControlReply is the reply to Host.Control.
type ControlReply struct {
	ok          bool
	code, state string
	answer      []byte
}

// Answer returns the answer of a call that had ended before the request, nil otherwise. The caller must not change it.
func (r ControlReply) Answer() []byte { return r.answer }

// OK reports whether the request took effect.
func (r ControlReply) OK() bool { return r.ok }

// Code returns the reason code of a refused request or of the task's end, empty when there is none.
func (r ControlReply) Code() string { return r.code }

// State returns the state of the task, empty when the worker doesn't know it.
func (r ControlReply) State() string { return r.state }

// waiter is a start request that has not been answered yet.
type waiter struct {
	reply     func(StartReply)
	duplicate bool
}

// task is a task that reserves capacity on the worker.
type task struct {
	host              *Host
	req               *StartRequest
	instructions      instructions
	machine           anvilchart.Machine
	holdRecorded      bool // the trace has an EventHold of the task
	started           bool
	throttled         bool
	startFails        bool
	refused           bool
	progress          int64 // units of work done
	startedAt         anvilclock.Millis
	endAge            anvilclock.Millis // how long ago the task ended, for the trace
	code              string            // reason code of a stop, or of a failed load or checkpoint
	final             *EndedTask
	answer            []byte
	startWaiters      []waiter
	checkpointWaiters []func(ControlReply)
}

func newBinding() *anvilchart.Binding[*task] {
	return anvilchart.NewBinding(
		map[string]func(*task){
			"take":    func(t *task) { t.host.reserve(t) },
			"hold":    (*task).hold,
			"load":    (*task).load,
			"begin":   (*task).begin,
			"save":    (*task).save,
			"slow":    func(t *task) { t.throttled = true },
			"speed":   func(t *task) { t.throttled = false },
			"refuse":  func(t *task) { t.refused = true },
			"finish":  (*task).finish,
			"park":    func(t *task) { t.end(endCheckpointed, "") },
			"cut":     func(t *task) { t.end(endStopped, t.code) },
			"discard": func(t *task) { t.end(endNotRun, t.code) },
			"forget":  (*task).forget,
		},
		map[string]func(*task) bool{
			"resumes": func(t *task) bool { return t.req.resume != "" },
			"holds":   func(t *task) bool { return t.req.hold },
			"savable": func(t *task) bool { return t.req.kind != kindCall },
			"slowed":  func(t *task) bool { return t.throttled },
		})
}

func (t *task) state() string { return t.machine.State() }

// protocolState returns the state as the protocol reports it, which has no loading state.
func (t *task) protocolState() string {
	if t.state() == stateLoading {
		return stateHeld
	}
	return t.state()
}

// usage returns the resource usage that is reported at now. It is zero until the worker's usage lag after the start has
// passed, because the platform's measurements lag by that time.
func (t *task) usage(now anvilclock.Millis) anvilsize.Size {
	if !t.started || now-t.startedAt < t.host.usageLag {
		return anvilsize.Size{}
	}
	return t.instructions.usage
}

func (t *task) hold() {
	t.holdRecorded = true
	t.host.record(EventHold, t.req, stateHeld, "", 0)
}

func (t *task) load() {
	t.host.objects.Load(t.req.id, t.req.resume, t.budget())
}

// begin records the start of the task before any of its work is done.
func (t *task) begin() {
	h := t.host
	if _, known := h.ended.byID[t.req.id]; known || t.started {
		h.alarm.Violated(ViolatedOnce, "a task began twice", "task", t.req.id)
	}
	kind := EventStart
	if t.holdRecorded {
		kind = EventGo
	}
	h.record(kind, t.req, stateRunning, "", 0)
	t.started = true
	t.startedAt = h.clock.Now()
	t.startFails = h.failPercent > 0 && h.random.Percent() < h.failPercent
}

func (t *task) save() {
	text := progressKey + strconv.FormatInt(t.progress/fullSpeed, 10) + "\n"
	t.host.objects.Save(t.req.id, checkpointPrefix+t.req.id, []byte(text), t.budget())
}

// budget returns the remaining time of the shard's lease, in which a request to the object store must end.
func (t *task) budget() anvilclock.Millis {
	return t.host.shards[t.req.shard].leaseEnd - t.host.clock.Now()
}

// working reports whether the task makes progress in its present state.
func (t *task) working() bool { return t.state() == stateRunning || t.state() == stateThrottled }

func (t *task) speed() int64 {
	if t.throttled {
		return halfSpeed
	}
	return fullSpeed
}

func (t *task) complete() bool {
	return t.startFails || !t.instructions.endless && t.progress >= int64(t.instructions.work)*fullSpeed
}

// remaining returns the time until the task is complete at its present speed, maxRunTime for an endless one.
func (t *task) remaining() anvilclock.Millis {
	if t.complete() {
		return 0
	}
	if t.instructions.endless {
		return maxRunTime
	}
	workLeft := int64(t.instructions.work)*fullSpeed - t.progress
	return anvilclock.Millis((workLeft + t.speed() - 1) / t.speed())
}

func (t *task) finish() {
	if t.startFails || t.instructions.fail {
		t.end(endFailed, string(anvilerror.Failed))
		return
	}
	if t.req.kind == kindCall {
		head := fmt.Sprintf("answer %s %016x\n", t.req.id, xxhash.Sum64(t.req.body))
		t.answer = append([]byte(head), t.req.body...)
	}
	t.end(endDone, "")
}

// forget ends a task whose checkpoint could not be read. None of its work was done, so it is not added to the list of
// ended tasks and its id may be started again.
func (t *task) forget() {
	t.remove(endNotRun, t.code)
}

func (t *task) end(state, code string) {
	t.remove(state, code)
	kept := *t.final
	t.host.ended.add(&kept)
}

// remove releases the task's capacity and records its end in the trace.
func (t *task) remove(state, code string) {
	h := t.host
	t.final = &EndedTask{
		id: t.req.id, team: t.req.team, job: t.req.job, state: state, code: code, once: t.req.once,
		answer: t.answer, at: h.clock.Now() - t.endAge,
	}
	delete(h.tasks, t.req.id)
	h.live = slices.DeleteFunc(h.live, func(o *task) bool { return o == t })
	h.release(t)
	h.record(EventEnd, t.req, state, code, t.endAge)
}

// notify answers the start and checkpoint requests that can be answered in the task's present state.
func (t *task) notify() {
	if t.state() != stateCheckpointing {
		for _, reply := range t.checkpointWaiters {
			reply(t.checkpointReply())
		}
		t.checkpointWaiters = nil
	}
	if !t.canReplyToStart() {
		return
	}
	for _, w := range t.startWaiters {
		w.reply(t.startReply(w.duplicate))
	}
	t.startWaiters = nil
}

func (t *task) checkpointReply() ControlReply {
	switch {
	case t.final == nil:
		return ControlReply{code: t.code, state: t.protocolState()}
	case t.final.state == endCheckpointed:
		return ControlReply{ok: true, state: endCheckpointed}
	default:
		return ControlReply{code: t.final.code, state: t.final.state}
	}
}

// canReplyToStart reports whether a start of the task can be answered: that of a call when the call is held or has ended,
// others as soon as the task runs or is held.
func (t *task) canReplyToStart() bool {
	if t.final != nil || t.state() == stateHeld {
		return true
	}
	return t.state() != stateLoading && (t.req.kind != kindCall || t.req.hold)
}

func (t *task) startReply(duplicate bool) StartReply {
	if t.final != nil {
		return t.final.startReply(duplicate)
	}
	r := StartReply{state: t.protocolState()}
	if r.state != stateHeld {
		r.state = stateRunning
	}
	if duplicate {
		r.code, r.reason = string(anvilerror.Duplicate), "the id is already known"
	}
	return r
}

// startReply returns the reply to a start of a task that has ended. duplicate says that another start came first.
func (e *EndedTask) startReply(duplicate bool) StartReply {
	r := StartReply{state: e.state, code: e.code, body: e.answer}
	if duplicate && e.code != codeLarge {
		r.code, r.reason = string(anvilerror.Duplicate), "the id is already known"
	}
	return r
}

// parseProgress returns the units of work that a checkpoint records.
func parseProgress(data []byte) (int64, error) {
	text, ok := strings.CutPrefix(strings.TrimSpace(string(data)), progressKey)
	if !ok {
		return 0, badInput("object is not a checkpoint")
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > int64(maxRunTime) {
		return 0, badInput("progress of the checkpoint is out of range")
	}
	return n * fullSpeed, nil
}
