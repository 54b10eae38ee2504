package anvilhost

import (
	"errors"

	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
)

const (
	// maxStep is the longest time for which tasks work between two checks of their leases.
	maxStep anvilclock.Millis = 20
	// maxWorkTime is the longest time between two ticks that counts as work. A process that got no processor time for
	// longer was paused, so its tasks were not working either.
	maxWorkTime anvilclock.Millis = 100
)

// Next returns the time until the next Tick is due, or false when none is.
func (h *Host) Next() (anvilclock.Millis, bool) {
	now := h.clock.Now()
	next, found := maxRunTime, false
	consider := func(d anvilclock.Millis) { next, found = max(0, min(next, d)), true }
	for _, t := range h.live {
		if t.working() {
			consider(min(maxStep, t.remaining()) - (now - h.lastTick))
		}
	}
	for _, s := range h.shards {
		if s.leased {
			consider(s.leaseEnd - now)
		}
	}
	if len(h.ended.list) > 0 {
		consider(h.ended.list[0].at + retention - now)
	}
	return next, found
}

// Tick stops the tasks whose lease has expired and adds the work done since the last Tick to the progress of the
// others. It also removes ended tasks after the retention time.
func (h *Host) Tick() {
	now := h.clock.Now()
	h.expireLeases(now)
	workTime := int64(min(now-h.lastTick, maxWorkTime))
	h.lastTick = now
	var complete []*task
	for _, t := range h.live {
		if !t.working() {
			continue
		}
		t.progress += workTime * t.speed()
		if t.complete() {
			complete = append(complete, t)
		}
	}
	for _, t := range complete {
		h.fire(t, "finish")
	}
	h.ended.expire(now)
}

// fire applies an event to the task's state machine and answers the requests that wait for the new state.
func (h *Host) fire(t *task, event string) {
	if err := h.apply(t, event); err != nil {
		t.refused = true
	}
	// A call without work, and a task that is made to fail, end within the request that starts them.
	if t.working() && t.complete() && (t.startFails || t.req.kind == kindCall) {
		if err := h.apply(t, "finish"); err != nil {
			t.refused = true
		}
	}
	t.notify()
}

// apply applies an event to the task's state machine without answering waiting requests.
func (h *Host) apply(t *task, event string) error {
	return anvilchart.Fire(&t.machine, h.binding, event, t)
}

// stop ends a task by event, which is stop or lapse. code becomes the reason code of its end.
func (h *Host) stop(t *task, event, code string) {
	t.code = code
	h.fire(t, event)
}

// Saved receives the result of Objects.Save for a task; err is nil when the checkpoint was written.
func (h *Host) Saved(id string, err error) {
	h.Tick()
	t := h.tasks[id]
	if t == nil || t.state() != stateCheckpointing {
		return
	}
	if err != nil {
		t.code = string(codeOf(err))
		h.fire(t, "unsaved")
		return
	}
	h.fire(t, "saved")
}

// Loaded receives the result of Objects.Load for a task.
func (h *Host) Loaded(id string, data []byte, err error) {
	h.Tick()
	t := h.tasks[id]
	if t == nil || t.state() != stateLoading {
		return
	}
	if err == nil {
		t.progress, err = parseProgress(data)
	}
	if err != nil {
		t.code = string(codeOf(err))
		h.fire(t, "unloaded")
		return
	}
	h.fire(t, "loaded")
}

// codeOf returns the reason code of an error of the object store, NoTable when the error has none.
func codeOf(err error) anvilerror.Code {
	var e *anvilerror.Error
	if errors.As(err, &e) {
		return e.Code()
	}
	return anvilerror.NoTable
}
