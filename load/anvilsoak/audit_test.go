package anvilsoak

import (
	"slices"
	"strings"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilsize"

	"anvilhold.org/standin/anvilplatformapi"
	"anvilhold.org/standin/anvilplatformworker"
)

const testJob = "00000000000000a1"

// history builds the events that an audit checks. Times are in milliseconds from the start of the test.
type history struct {
	events []anvilplatformapi.TraceEvent
}

func (h *history) add(worker string, at anvilclock.Millis, e anvilplatformworker.Event) *history {
	h.events = append(h.events, anvilplatformapi.NewTraceEvent(worker, at, e))
	return h
}

func (h *history) lease(worker string, at, until anvilclock.Millis) *history {
	return h.add(worker, at, anvilplatformworker.NewEvent(anvilplatformworker.LeaseExtended, anviljob.TaskID{}, 0, anvilplatformworker.WithUntil(until)))
}

func (h *history) start(worker string, at anvilclock.Millis, task anviljob.TaskID, run int) *history {
	return h.add(worker, at, anvilplatformworker.NewEvent(anvilplatformworker.Started, task, run))
}

// end adds the end of the first run of a task.
func (h *history) end(worker string, at anvilclock.Millis, task anviljob.TaskID, number int64, cause string) *history {
	return h.add(worker, at, anvilplatformworker.NewEvent(anvilplatformworker.Ended, task, 1, anvilplatformworker.WithEnd(number, cause)))
}

func (h *history) ack(worker string, at anvilclock.Millis, number int64) *history {
	return h.add(worker, at, anvilplatformworker.NewEvent(anvilplatformworker.Acknowledged, anviljob.TaskID{}, 0, anvilplatformworker.WithEnd(number, "")))
}

func (h *history) exit(worker string, at anvilclock.Millis) *history {
	return h.add(worker, at, anvilplatformworker.NewEvent(exited, anviljob.TaskID{}, 0))
}

// newTestAudit returns an audit that knows a job, and the state of the job. Worker w2 has a clock that is 2% slow.
func newTestAudit(plan *jobPlan) (*audit, *jobState) {
	a, j := newAudit(), newJobState(plan)
	a.call(func(a *audit) {
		a.jobs[testJob] = j
		a.limits["team0"] = []limitChange{{limit: anvilsize.New(100_000, 100_000, 0)}}
		a.lagPPM["w2"] = 20_000
	})
	return a, j
}

// assertViolated checks that the audit has found violations of exactly these rules.
func assertViolated(t *testing.T, a *audit, want ...string) {
	t.Helper()
	var rules []string
	a.call(func(a *audit) {
		for _, v := range a.violations {
			rule, _, _ := strings.Cut(v, ":")
			rules = append(rules, rule)
		}
	})
	if !slices.Equal(rules, want) {
		t.Errorf("got violations %v, want %v", rules, want)
	}
}

// assertRules checks that the audit finds violations of exactly these rules.
func assertRules(t *testing.T, h *history, want ...string) {
	t.Helper()
	size := anvilsize.New(500, 128, 0)
	a, _ := newTestAudit(&jobPlan{
		id: testJob, team: "team0", occurrences: 2,
		steps: []stepPlan{{count: 2, size: size}, {count: 2, size: size, after: []int{0}, gang: true}},
	})
	defer close(a.closed)
	a.call(func(a *audit) {
		a.pending = h.events
		a.processUntil(1 << 40)
	})
	assertViolated(t, a, want...)
}

func TestTwice(t *testing.T) {
	first := anviljob.NewTaskID(testJob, 0, 0, 0)
	second := anviljob.NewTaskID(testJob, 0, 0, 1)
	later := anviljob.NewTaskID(testJob, 0, 1, 0)
	repeated := anviljob.NewTaskID(testJob, 1, 0, 0)
	// running is a run of first on worker w1, whose lease ends at 5000.
	running := func() *history { return new(history).lease("w1", 100, 5000).start("w1", 100, first, 1) }
	t.Run("a run on a second worker during the lease of the first is found", func(t *testing.T) {
		assertRules(t, running().lease("w3", 4900, 9000).start("w3", 4999, first, 2), "TWICE")
	})
	t.Run("a run after the lease of the first is allowed", func(t *testing.T) {
		assertRules(t, running().lease("w3", 4900, 9000).start("w3", 5000, first, 2))
	})
	t.Run("a lease lasts longer on a slow clock", func(t *testing.T) {
		// A lease of 4900 ms that is 2% slow ends after 5000 ms.
		assertRules(t, new(history).lease("w2", 100, 5000).start("w2", 100, first, 1).start("w3", 5090, first, 2), "TWICE")
		assertRules(t, new(history).lease("w2", 100, 5000).start("w2", 100, first, 1).start("w3", 5100, first, 2))
	})
	t.Run("a run after the exit of the first worker is allowed", func(t *testing.T) {
		assertRules(t, running().exit("w1", 1000).start("w3", 1001, first, 2))
	})
	t.Run("a run after an acknowledged success is found", func(t *testing.T) {
		assertRules(t, running().end("w1", 1000, first, 1, "done").ack("w1", 1100, 1).start("w3", 1200, first, 2), "TWICE")
	})
	t.Run("a run between a success and its acknowledgement is found", func(t *testing.T) {
		assertRules(t, running().end("w1", 1000, first, 1, "done").start("w3", 1050, first, 2).ack("w1", 1100, 1), "TWICE")
	})
	t.Run("a success whose lease expired before its acknowledgement does not count", func(t *testing.T) {
		assertRules(t, running().end("w1", 4000, first, 1, "done").lease("w1", 5500, 9000).ack("w1", 5600, 1).start("w3", 5700, first, 2))
	})
	t.Run("a success counts when the lease of a slow clock has not expired yet", func(t *testing.T) {
		assertRules(t, new(history).lease("w2", 100, 5000).start("w2", 100, first, 1).end("w2", 4000, first, 1, "done").
			lease("w2", 5050, 9000).ack("w2", 5060, 1).start("w3", 5200, first, 2), "TWICE")
	})
	t.Run("a success of an earlier incarnation is not acknowledged by the next", func(t *testing.T) {
		assertRules(t, running().end("w1", 1000, first, 1, "done").exit("w1", 1100).start("w3", 1200, first, 2).
			lease("w1", 1300, 5000).ack("w1", 1400, 1))
	})
	t.Run("a run after a failure is allowed", func(t *testing.T) {
		assertRules(t, running().end("w1", 1000, first, 1, "failed").ack("w1", 1100, 1).start("w3", 1200, first, 2))
	})
	t.Run("occurrences are different tasks", func(t *testing.T) {
		assertRules(t, running().start("w3", 200, repeated, 1))
	})
	t.Run("a second run of an occurrence is found", func(t *testing.T) {
		assertRules(t, running().lease("w3", 100, 5000).start("w3", 200, repeated, 1).start("w1", 300, repeated, 2), "TWICE")
	})
	t.Run("a second run of a gang member of a later step is found", func(t *testing.T) {
		assertRules(t, running().start("w1", 100, second, 1).end("w1", 200, first, 1, "done").end("w1", 200, second, 2, "done").ack("w1", 210, 2).
			start("w1", 300, later, 1).lease("w3", 300, 5000).start("w3", 400, later, 2), "TWICE")
	})
	t.Run("an occurrence whose first step is not done is out of order", func(t *testing.T) {
		assertRules(t, running().end("w1", 200, first, 1, "done").start("w1", 300, anviljob.NewTaskID(testJob, 1, 1, 0), 1), "ORDER")
	})
}
