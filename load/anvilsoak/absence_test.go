package anvilsoak

import (
	"testing"
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// assertAbsence checks that the audit finds violations of exactly these rules until the given time, beside some
// disruptions. The job of the history has one long-running task, and change is applied to its state.
func assertAbsence(
	t *testing.T, h *history, until anvilclock.Millis, disruptions []*disruption, change func(*jobState), want ...string,
) {
	t.Helper()
	plan := &jobPlan{id: testJob, team: "team0", occurrences: 1, longRunning: true, steps: []stepPlan{{count: 1}}}
	a, j := newTestAudit(plan)
	defer close(a.closed)
	a.call(func(a *audit) {
		j.accepted, a.disruptions, a.pending = 1, disruptions, h.events
		if change != nil {
			change(j)
		}
		a.processUntil(until)
		a.checkAbsences(j, until)
	})
	assertViolated(t, a, want...)
}

// Guards against a long-running task that stays away unnoticed, and against one that counts as lost though the rule allows
// its absence.
func TestAbsence(t *testing.T) {
	task := anviljob.NewTaskID(testJob, 0, 0, 0)
	// died is a run on worker w1, which exits at 20000.
	died := func() *history {
		return new(history).lease("w1", 100, 24_000).start("w1", 100, task, 1).exit("w1", 20_000)
	}
	back := func(at anvilclock.Millis) *history {
		return died().lease("w3", at, at+5000).start("w3", at, task, 2)
	}
	fault := func(begin, end anvilclock.Millis) []*disruption { return []*disruption{{begin: begin, end: end}} }
	t.Run("an absence that ends in time is allowed", func(t *testing.T) {
		assertAbsence(t, back(29_000), 30_000, fault(20_000, 20_010), nil)
	})
	t.Run("an absence that ends too late is found", func(t *testing.T) {
		assertAbsence(t, back(29_001), 30_000, fault(20_000, 20_010), nil, "LOST")
	})
	t.Run("an absence at the end of the soak is found", func(t *testing.T) {
		assertAbsence(t, died(), 29_001, nil, nil, "LOST")
		assertAbsence(t, died(), 29_000, nil, nil)
	})
	t.Run("a run that lapses begins an absence", func(t *testing.T) {
		lapsed := new(history).lease("w1", 100, 20_000).start("w1", 100, task, 1).end("w1", 20_000, task, 1, "lapsed")
		assertAbsence(t, lapsed, 29_001, nil, nil, "LOST")
	})
	t.Run("a task that never ran is found", func(t *testing.T) {
		assertAbsence(t, new(history), 9002, nil, nil, "LOST")
	})
	t.Run("the time is counted from the end of the last disruption", func(t *testing.T) {
		assertAbsence(t, back(37_000), 40_000, fault(25_000, 30_000), nil)
		assertAbsence(t, back(37_001), 40_000, fault(25_000, 30_000), nil, "LOST")
	})
	t.Run("a disruption that lasts allows the absence", func(t *testing.T) {
		assertAbsence(t, back(37_001), 40_000, fault(25_000, 0), nil)
	})
	t.Run("an absence between two disruptions is found", func(t *testing.T) {
		assertAbsence(t, back(34_000), 40_000, []*disruption{{begin: 20_000, end: 20_010}, {begin: 29_001, end: 33_000}}, nil, "LOST")
		assertAbsence(t, back(34_000), 40_000, []*disruption{{begin: 20_000, end: 20_010}, {begin: 29_000, end: 33_000}}, nil)
	})
	t.Run("the task of a cancelled job may stay away", func(t *testing.T) {
		assertAbsence(t, died(), 40_000, nil, func(j *jobState) { j.cancelRequested = true })
	})
	t.Run("the task of a job that was not accepted may stay away", func(t *testing.T) {
		assertAbsence(t, died(), 40_000, nil, func(j *jobState) { j.accepted = 0 })
	})
	t.Run("a second run beside one on an isolated worker is found", func(t *testing.T) {
		// The isolated worker w2 works on until its lease of 4900 ms, which is 2% slow, has ended.
		isolated := func(at anvilclock.Millis) *history {
			return new(history).lease("w2", 100, 5000).start("w2", 100, task, 1).lease("w3", at, at+5000).start("w3", at, task, 2)
		}
		assertAbsence(t, isolated(5090), 6000, fault(100, 0), nil, "TWICE")
		assertAbsence(t, isolated(5100), 6000, fault(100, 0), nil)
	})
	t.Run("a disruption lasts at least its span", func(t *testing.T) {
		a := newAudit()
		defer close(a.closed)
		a.beginDisruption("", time.Minute)()
		if d := a.disruptions[0]; d.end != d.begin+60_000 {
			t.Errorf("it lasts %s", d.end-d.begin)
		}
	})
}
