package anvilrecord

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/internal/anvilassert"
)

// The model of the state machine test: the workers of one shard with their task lists, and the owner,
// which is replaced by an owner with another clock.

const (
	retention anvilclock.Millis = 60_000
	skew      anvilclock.Millis = 5_000
)

type task struct {
	state State
	ended anvilclock.Millis
}

type worker struct {
	up        bool
	startedAt anvilclock.Millis
	epoch     int
	tasks     map[string]task
}

// request is the test's own record of an id.
type request struct {
	at            anvilclock.Millis // the time in the id
	freshVerdicts int               // Fresh verdicts since the last start that certainly did not run
	ran           bool
}

// start is an unanswered start request of the owner.
type start struct {
	id     string
	worker *worker
	epoch  int
	ran    bool
}

type fleet struct {
	now         anvilclock.Millis
	clockOffset anvilclock.Millis // of the owner's clock
	epoch       int
	record      *Record
	workers     []*worker
	requests    map[string]*request
	starts      []*start
}

func newFleet() *fleet {
	f := &fleet{now: 1_000_000, requests: map[string]*request{}, epoch: 1}
	for range 2 {
		f.workers = append(f.workers, &worker{up: true, startedAt: f.now - 10*retention, epoch: 1, tasks: map[string]task{}})
	}
	f.record = New(WithRetention(retention), WithSkew(skew), WithBound(50))
	return f
}

func (f *fleet) ownerClock() anvilclock.Millis { return f.now + f.clockOffset }

// admit sends a request to the owner, which starts it at a worker if its id is fresh.
func (f *fleet) admit(t anvilassert.T, id string, w *worker) {
	r := f.requests[id]
	v := f.record.Admit(id, r.at, "s", f.ownerClock())
	switch v.Kind() {
	case Fresh:
		r.freshVerdicts++
		anvilassert.True(t, r.freshVerdicts == 1, "id %s is fresh again", id)
		anvilassert.True(t, !r.ran, "id %s is fresh after it ran", id)
		f.starts = append(f.starts, &start{id: id, worker: w, epoch: f.epoch})
	case Ended:
		anvilassert.True(t, r.ran, "id %s has ended as %s but never ran", id, v.Outcome())
	default:
	}
}

// deliver lets a start reach its worker, which refuses an older epoch and an id that it knows.
func (f *fleet) deliver(s *start) {
	if !s.worker.up || s.epoch < s.worker.epoch {
		return
	}
	if _, known := s.worker.tasks[s.id]; known {
		return
	}
	s.ran = true
	s.worker.tasks[s.id] = task{state: Running}
	f.requests[s.id].ran = true
}

// answer ends a start at the owner, with its answer or with a lost connection.
func (f *fleet) answer(s *start, lost bool) {
	f.starts = slices.DeleteFunc(f.starts, func(o *start) bool { return o == s })
	switch {
	case s.epoch != f.epoch:
	case lost:
		f.record.Finish(s.id, anvilerror.Unknown, anvilerror.Lost, nil, f.ownerClock())
	case s.ran:
		f.record.Finish(s.id, anvilerror.Done, "", []byte("ok"), f.ownerClock())
	default: // refused, so it certainly did not run
		f.requests[s.id].freshVerdicts = 0
		f.record.Finish(s.id, anvilerror.NotRun, anvilerror.Stale, nil, f.ownerClock())
	}
}

// takeOver replaces the owner. The new one fences each worker and reads its task list. A worker that
// can't be read, or that restarted within the retention time, causes a gap.
func (f *fleet) takeOver(clockOffset anvilclock.Millis, complete bool) {
	f.epoch++
	f.clockOffset = clockOffset
	f.record = New(WithRetention(retention), WithSkew(skew), WithBound(50))
	gap := false
	for _, w := range f.workers {
		if !w.up || !complete {
			gap = true
			continue
		}
		gap = gap || f.now-w.startedAt < retention
		w.epoch = f.epoch
		for id, t := range w.tasks {
			f.record.Adopt("s", id, t.state, nil, f.ownerClock())
		}
	}
	if gap {
		f.record.AddGap("s", f.ownerClock()+skew)
	}
	// A start that was in flight when the worker was fenced can't run any more. For a worker that was
	// not read, the gap covers the id.
	for id, r := range f.requests {
		if !f.inFlight(id) && !r.ran {
			r.freshVerdicts = 0
		}
	}
}

func (f *fleet) inFlight(id string) bool {
	return slices.ContainsFunc(f.starts, func(s *start) bool {
		return s.id == id && s.worker.up && s.epoch >= s.worker.epoch
	})
}

// advance moves the clock. Workers forget tasks that ended the retention time ago.
func (f *fleet) advance(d anvilclock.Millis) {
	f.now += d
	for _, w := range f.workers {
		maps.DeleteFunc(w.tasks, func(_ string, t task) bool { return t.state == Done && f.now-t.ended >= retention })
	}
	f.record.Expire(f.ownerClock())
}

func pick[V any](t *rapid.T, from []V, name string) V {
	if len(from) == 0 {
		t.Skip("no " + name)
	}
	return rapid.SampledFrom(from).Draw(t, name)
}

func (f *fleet) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			anvilassert.True(t, f.record.Len() <= 50+40, "%d ids", f.record.Len())
		},
		"wait": func(t *rapid.T) {
			f.advance(anvilclock.Millis(rapid.SampledFrom([]int{100, 4000, 15_000, 50_000, 56_000}).Draw(t, "ms")))
		},
		"request": func(t *rapid.T) { // the caller's clock differs as well
			id := fmt.Sprint(len(f.requests))
			f.requests[id] = &request{at: f.now + anvilclock.Millis(rapid.IntRange(-5000, 5000).Draw(t, "offset"))}
			f.admit(t, id, pick(t, f.workers, "worker"))
		},
		"admit duplicate": func(t *rapid.T) {
			id := pick(t, slices.Sorted(maps.Keys(f.requests)), "id")
			f.admit(t, id, pick(t, f.workers, "worker"))
		},
		"arrive": func(t *rapid.T) { f.deliver(pick(t, f.starts, "start")) },
		"answer": func(t *rapid.T) {
			s := pick(t, f.starts, "start")
			f.deliver(s)
			if s.ran {
				s.worker.tasks[s.id] = task{state: Done, ended: f.now}
			}
			f.answer(s, !s.worker.up || rapid.Bool().Draw(t, "lost"))
		},
		"end": func(t *rapid.T) {
			w := pick(t, f.workers, "worker")
			for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
				if w.tasks[id].state == Running {
					w.tasks[id] = task{state: Done, ended: f.now}
					return
				}
			}
			t.Skip("nothing runs")
		},
		"takeover": func(t *rapid.T) {
			clockOffset := anvilclock.Millis(rapid.IntRange(-2500, 2500).Draw(t, "offset"))
			f.takeOver(clockOffset, rapid.IntRange(0, 3).Draw(t, "complete") > 0)
		},
		"crash": func(t *rapid.T) {
			w := pick(t, f.workers, "worker")
			w.up = !w.up
			if w.up { // with an empty task list, and fenced by the owner before it accepts starts
				w.startedAt, w.tasks, w.epoch = f.now, map[string]task{}, f.epoch
			}
		},
		"isolate": func(t *rapid.T) { // the worker keeps its task list
			w := pick(t, f.workers, "worker")
			w.up = !w.up
		},
	}
}

// Guards against an id that starts twice, during takeovers with and without unreadable workers, worker
// restarts, lost answers and clocks that differ.
func TestRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newFleet().actions()) })
}
