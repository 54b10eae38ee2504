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

// States of the chart that the code refers to.
const (
	stateLoading       = "loading"
	stateHeld          = "held"
	stateRunning       = "running"
	stateThrottled     = "throttled"
	stateCheckpointing = "checkpointing"
)

// States in which a task ends.
const (
	endDone         = "done"
	endFailed       = "failed"
	endStopped      = "stopped"
	endCheckpointed = "checkpointed"
	endNotRun       = "not-run"
)

// checkpointPrefix precedes the id in the name of a checkpoint.
const checkpointPrefix = "checkpoint/"

// progressKey precedes the progress in the text of a checkpoint.
const progressKey = "progress="

// Work is counted in half milliseconds, because a throttled task works at half speed.
const (
	fullSpeed int64 = 2
	halfSpeed int64 = 1
)

// Answer answers a start.
type Answer struct {
	state, code, reason string
	body                []byte
}

// State returns the state of the task.
func (a Answer) State() string { return a.state }

// Code returns the reason code.
func (a Answer) Code() string { return a.code }

// Reason returns one line for people.
func (a Answer) Reason() string { return a.reason }

// Body returns the answer of a call; the caller must not change it.
func (a Answer) Body() []byte { return a.body }

// Ack answers a control request.
type Ack struct {
	ok          bool
	code, state string
	answer      []byte
}

// Answer returns the answer of a call that has ended; the caller must not change it.
func (a Ack) Answer() []byte { return a.answer }

// OK reports whether the request took effect.
func (a Ack) OK() bool { return a.ok }

// Code returns the reason code.
func (a Ack) Code() string { return a.code }

// State returns the state of the task, empty when the worker doesn't know it.
func (a Ack) State() string { return a.state }

type waiter struct {
	reply     func(Answer)
	duplicate bool
}

// task is a task that has a place on the worker.
type task struct {
	host     *Host
	order    *Order
	script   script
	machine  anvilchart.Machine
	held     bool // the trace has an EventHold
	began    bool
	slow     bool
	failing  bool
	refused  bool
	progress int64 // half milliseconds of work done
	beganAt  anvilclock.Millis
	ago      anvilclock.Millis // how long ago the end was, for the trace
	code     string            // reason of a stop
	final    *Ended
	answer   []byte
	waiters  []waiter
	savers   []func(Ack)
}

func newBinding() *anvilchart.Binding[*task] {
	return anvilchart.NewBinding(
		map[string]func(*task){
			"take":    func(t *task) { t.host.take(t) },
			"hold":    (*task).hold,
			"load":    (*task).load,
			"begin":   (*task).begin,
			"save":    (*task).save,
			"slow":    func(t *task) { t.slow = true },
			"speed":   func(t *task) { t.slow = false },
			"refuse":  func(t *task) { t.refused = true },
			"finish":  (*task).finish,
			"park":    func(t *task) { t.end(endCheckpointed, "") },
			"cut":     func(t *task) { t.end(endStopped, t.code) },
			"discard": func(t *task) { t.end(endNotRun, t.code) },
			"forget":  (*task).forget,
		},
		map[string]func(*task) bool{
			"resumes": func(t *task) bool { return t.order.resume != "" },
			"holds":   func(t *task) bool { return t.order.hold },
			"savable": func(t *task) bool { return t.order.kind != kindCall },
			"slowed":  func(t *task) bool { return t.slow },
		})
}

func (t *task) state() string { return t.machine.State() }

// reported returns the state in the vocabulary of the protocol.
func (t *task) reported() string {
	if t.state() == stateLoading {
		return stateHeld
	}
	return t.state()
}

// use returns the use that is reported now, which is the worker's usage lag old.
func (t *task) use(now anvilclock.Millis) anvilsize.Size {
	if !t.began || now-t.beganAt < t.host.usageLag {
		return anvilsize.Size{}
	}
	return t.script.use
}

func (t *task) hold() {
	t.held = true
	t.host.record(EventHold, t.order, stateHeld, "", 0)
}

func (t *task) load() {
	t.host.objects.Load(t.order.id, t.order.resume, t.budget())
}

// begin writes the trace before the first step.
func (t *task) begin() {
	h := t.host
	if _, known := h.ended.byID[t.order.id]; known || t.began {
		h.alarm.Violated(ViolatedOnce, "a task began twice", "task", t.order.id)
	}
	kind := EventStart
	if t.held {
		kind = EventGo
	}
	h.record(kind, t.order, stateRunning, "", 0)
	t.began = true
	t.beganAt = h.clock.Now()
	t.failing = h.failing > 0 && h.random.Percent() < h.failing
}

func (t *task) save() {
	text := progressKey + strconv.FormatInt(t.progress/fullSpeed, 10) + "\n"
	t.host.objects.Save(t.order.id, checkpointPrefix+t.order.id, []byte(text), t.budget())
}

// budget is the time that the lease leaves for a request to the object store.
func (t *task) budget() anvilclock.Millis {
	return t.host.shards[t.order.shard].until - t.host.clock.Now()
}

// steps reports whether the task works.
func (t *task) steps() bool { return t.state() == stateRunning || t.state() == stateThrottled }

func (t *task) speed() int64 {
	if t.slow {
		return halfSpeed
	}
	return fullSpeed
}

func (t *task) complete() bool {
	return t.failing || !t.script.endless && t.progress >= int64(t.script.work)*fullSpeed
}

// left returns the time until the task is complete at its present speed.
func (t *task) left() anvilclock.Millis {
	if t.complete() {
		return 0
	}
	if t.script.endless {
		return maxRun
	}
	rest := int64(t.script.work)*fullSpeed - t.progress
	return anvilclock.Millis((rest + t.speed() - 1) / t.speed())
}

func (t *task) finish() {
	if t.failing || t.script.fail {
		t.end(endFailed, string(anvilerror.Failed))
		return
	}
	if t.order.kind == kindCall {
		head := fmt.Sprintf("answer %s %016x\n", t.order.id, xxhash.Sum64(t.order.body))
		t.answer = append([]byte(head), t.order.body...)
	}
	t.end(endDone, "")
}

// forget ends a task whose checkpoint could not be read. Nothing of it ran, so its id may be
// started again.
func (t *task) forget() {
	t.leave(endNotRun, t.code)
}

func (t *task) end(state, code string) {
	t.leave(state, code)
	kept := *t.final
	t.host.ended.add(&kept)
}

// leave gives back the place and writes the trace.
func (t *task) leave(state, code string) {
	h := t.host
	t.final = &Ended{
		id: t.order.id, team: t.order.team, job: t.order.job, state: state, code: code, once: t.order.once,
		answer: t.answer, at: h.clock.Now() - t.ago,
	}
	delete(h.tasks, t.order.id)
	h.live = slices.DeleteFunc(h.live, func(o *task) bool { return o == t })
	h.release(t)
	h.record(EventEnd, t.order, state, code, t.ago)
}

// notify answers those who wait for the state that the task has reached.
func (t *task) notify() {
	if t.state() != stateCheckpointing {
		for _, reply := range t.savers {
			reply(t.saved())
		}
		t.savers = nil
	}
	if !t.answerable() {
		return
	}
	for _, w := range t.waiters {
		w.reply(t.answerFor(w.duplicate))
	}
	t.waiters = nil
}

func (t *task) saved() Ack {
	switch {
	case t.final == nil:
		return Ack{code: t.code, state: t.reported()}
	case t.final.state == endCheckpointed:
		return Ack{ok: true, state: endCheckpointed}
	default:
		return Ack{code: t.final.code, state: t.final.state}
	}
}

// answerable reports whether a start of the task can be answered: a call when it has ended, others
// as soon as they run or are held.
func (t *task) answerable() bool {
	if t.final != nil || t.state() == stateHeld {
		return true
	}
	return t.state() != stateLoading && (t.order.kind != kindCall || t.order.hold)
}

func (t *task) answerFor(duplicate bool) Answer {
	if t.final != nil {
		return t.final.answerFor(duplicate)
	}
	a := Answer{state: t.reported()}
	if a.state != stateHeld {
		a.state = stateRunning
	}
	if duplicate {
		a.code, a.reason = string(anvilerror.Duplicate), "the id is known"
	}
	return a
}

// answerFor returns the answer to a start of a task that has ended.
func (e *Ended) answerFor(duplicate bool) Answer {
	a := Answer{state: e.state, code: e.code, body: e.answer}
	if duplicate && e.code != codeLarge {
		a.code, a.reason = string(anvilerror.Duplicate), "the id is known"
	}
	return a
}

// parseProgress reads a checkpoint.
func parseProgress(data []byte) (int64, error) {
	text, ok := strings.CutPrefix(strings.TrimSpace(string(data)), progressKey)
	if !ok {
		return 0, badInput("object is no checkpoint")
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > int64(maxRun) {
		return 0, badInput("progress of the checkpoint is out of range")
	}
	return n * fullSpeed, nil
}
