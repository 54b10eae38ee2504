package anvilscheduler

import (
	"math"
	"testing"

	"anvilhold.org/lib/anviljob"
)

// Guards against a report, or a stored record, with numbers out of range that ends the process.
func TestFindTask(t *testing.T) {
	fc, h := started(t, "w1")
	fc.submit("j1", plainQueue, "", anviljob.NewStep(2, core(1)), anviljob.NewStep(1, core(1), anviljob.WithAfter(0)))
	fc.advance(reactionTime, h)
	for name, c := range map[string]struct {
		id    anviljob.TaskID
		found bool
	}{
		"known":                   {anviljob.NewTaskID("j1", 0, 1, 0), true},
		"unknown job":             {anviljob.NewTaskID("j2", 0, 0, 0), false},
		"index out of range":      {anviljob.NewTaskID("j1", 0, 0, 2), false},
		"step out of range":       {anviljob.NewTaskID("j1", 0, 2, 0), false},
		"occurrence out of range": {anviljob.NewTaskID("j1", 1, 0, 0), false},
		"occurrence overflows":    {anviljob.NewTaskID("j1", math.MaxInt, 0, 0), false},
		"negative occurrence":     {anviljob.NewTaskID("j1", -1, 1, 0), false},
		"negative step":           {anviljob.NewTaskID("j1", 0, -1, 0), false},
		"negative index":          {anviljob.NewTaskID("j1", 0, 0, -1), false},
	} {
		t.Run(name, func(t *testing.T) {
			assertEqual(t, "found", h.loop.findTask(c.id) != nil, c.found)
		})
	}
}

// lenient is a test that ignores errors of the cluster: a worker that reports what isn't true may get a task twice.
type lenient struct{ testing.TB }

func (lenient) Errorf(string, ...any) {}

// FuzzReport guards against a worker's report that ends the process.
func FuzzReport(f *testing.F) {
	f.Add("j1.0.0.0", 1, int64(1), 50, "done", "")
	f.Add("j1.9223372036854775807.0.0", 1, int64(1), 50, "failed", "c")
	f.Add("j1.0.0.1", -5, int64(-3), -200, "unheard", "c")
	f.Add("j1.0.0.1", math.MaxInt, int64(math.MaxInt64), 900, "lapsed", "")
	f.Fuzz(func(t *testing.T, task string, run int, number int64, percent int, cause, checkpoint string) {
		id, err := anviljob.ParseTaskID(task)
		if err != nil {
			return
		}
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, "", anviljob.NewStep(2, core(1), anviljob.WithGang(true, false)), anviljob.NewStep(1, core(1), anviljob.WithAfter(0)))
		fc.advance(reactionTime, h)
		fc.t = lenient{TB: t}
		w := h.loop.fleet.byID["w1"]
		report := NewReport(w.registration.incarnation, fc.clock.Now(), []Active{NewActive(id, run, checkpoint, percent, number)},
			[]RunEnd{NewRunEnd(number, id, run, Cause(cause), checkpoint)})
		h.loop.post(holdAnswered{token: h.loop.leadership.token, worker: w, sent: fc.clock.Now(), report: report})
		h.runUntilIdle()
	})
}
