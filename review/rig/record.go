package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// startEvent is a task that a minion has begun on an order.
type startEvent struct {
	at     time.Time
	task   string
	run    int
	spec   string
	token  int64
	minion string
	shape  shape
	// total is the number of tasks that run on all minions, with this one.
	total int64
}

// recorder writes what was sent, answered and run, with the seconds since the beginning.
type recorder struct {
	mu     sync.Mutex
	out    *os.File
	begin  time.Time
	starts []startEvent
	total  int64
	// noted holds when the first ends "done" of tasks were taken note of without a lapse of the lease since the end.
	noted map[string]time.Time
}

func newRecorder(path string) (*recorder, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: out, begin: time.Now(), noted: map[string]time.Time{}}, nil
}

func (r *recorder) log(words ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(words...)
}

func (r *recorder) write(words ...any) {
	_, _ = fmt.Fprintf(r.out, "%9.3f ", time.Since(r.begin).Seconds())
	_, _ = fmt.Fprintln(r.out, words...)
}

// started records a start. The caller holds the lock of the life.
func (r *recorder) started(l *life, o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	e := startEvent{at: time.Now(), task: o.Task, run: o.Run, spec: o.Spec, token: o.Token, minion: l.m.id, shape: l.shape, total: r.total}
	r.starts = append(r.starts, e)
	r.write("start", o.Task, "run", o.Run, "on", l.m.id, "kind", l.shape.kind, "token", o.Token, "spec", o.Spec, "running", r.total)
}

// endedRun records the end of a run.
func (r *recorder) endedRun(m *minion, x *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total--
	r.write("end", x.task, "run", x.number, "on", m.id, "how", how)
}

// endedAll records that a minion's process has ended with everything that ran there.
func (r *recorder) endedAll(m *minion, runs int, dark bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total -= int64(runs)
	r.write("minion", m.id, "crashes", "runs", runs, "dark", dark)
}

// snapshot returns the starts so far.
func (r *recorder) snapshot() []startEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]startEvent(nil), r.starts...)
}

// endNoted records that the system has taken note of an end.
func (r *recorder) endNoted(m *minion, e end) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("end", e.number, "of", m.id, "is taken note of:", e.task, "run", e.run, "how", e.how, "lapsed", e.lapsed)
	if _, known := r.noted[e.task]; e.how == "done" && !e.lapsed && !known {
		r.noted[e.task] = time.Now()
	}
}

// doneNoted reports when an end "done" of a task was taken note of.
func (r *recorder) doneNoted(task string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.noted[task]
	return at, ok
}
