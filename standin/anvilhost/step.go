package anvilhost

import (
	"errors"

	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
)

const (
	// step is the longest time that tasks work between two checks of their lease.
	step anvilclock.Millis = 20
	// maxCredit is the longest time that one step counts as work. A process that got no processor
	// for longer was paused, and its tasks were not working either.
	maxCredit anvilclock.Millis = 100
)

// Next returns the time until the next Tick.
func (h *Host) Next() (anvilclock.Millis, bool) {
	now := h.clock.Now()
	next, found := maxRun, false
	due := func(d anvilclock.Millis) { next, found = max(0, min(next, d)), true }
	for _, t := range h.live {
		if t.steps() {
			due(min(step, t.left()) - (now - h.last))
		}
	}
	for _, s := range h.shards {
		if s.leased {
			due(s.until - now)
		}
	}
	if len(h.ended.list) > 0 {
		due(h.ended.list[0].at + retention - now)
	}
	return next, found
}

// Tick stops tasks without a lease, then lets the others work up to now.
func (h *Host) Tick() {
	now := h.clock.Now()
	h.lapse(now)
	credit := int64(min(now-h.last, maxCredit))
	h.last = now
	var complete []*task
	for _, t := range h.live {
		if !t.steps() {
			continue
		}
		t.progress += credit * t.speed()
		if t.complete() {
			complete = append(complete, t)
		}
	}
	for _, t := range complete {
		h.fire(t, "finish")
	}
	h.ended.expire(now)
}

// fire applies an event of the chart and answers those who wait for the outcome.
func (h *Host) fire(t *task, event string) {
	if err := h.apply(t, event); err != nil {
		t.refused = true
	}
	// A call without work, and a start that is made to fail, end in the request that starts them.
	if t.steps() && t.complete() && (t.failing || t.order.kind == kindCall) {
		if err := h.apply(t, "finish"); err != nil {
			t.refused = true
		}
	}
	t.notify()
}

// apply fires event without answering anyone.
func (h *Host) apply(t *task, event string) error {
	return anvilchart.Fire(&t.machine, h.binding, event, t)
}

func (h *Host) stop(t *task, event, code string) {
	t.code = code
	h.fire(t, event)
}

// Saved takes the result of Objects.Save.
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

// Loaded takes the result of Objects.Load.
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

// codeOf returns the reason code of an error of the object store.
func codeOf(err error) anvilerror.Code {
	var e *anvilerror.Error
	if errors.As(err, &e) {
		return e.Code()
	}
	return anvilerror.NoTable
}
