package anviljob

import (
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/internal/anvilassert"
)

func step(count int, estimate anvilclock.Millis, after ...int) Step {
	return NewStep(count, anvilsize.New(1, 1, 0), WithEstimate(estimate), WithAfter(after...))
}

func TestCriticalPath(t *testing.T) {
	t.Run("longest chain", func(t *testing.T) {
		// Guards against an objective that is computed from a shorter branch.
		s, err := NewSpec("", []Step{step(1, 100), step(1, 500, 0), step(1, 200, 0), step(1, 50, 1, 2)}, Repeat{})
		anvilassert.NoError(t, err)
		anvilassert.Equal(t, "critical path", s.CriticalPath(10), anvilclock.Millis(680))
		anvilassert.Equal(t, "critical paths", s.CriticalPaths(0), []anvilclock.Millis{650, 550, 250, 50})
		anvilassert.Equal(t, "depths", s.Depths(), []int{3, 2, 2, 1})
	})
}

func TestSpec(t *testing.T) {
	for name, steps := range map[string][]Step{
		"no steps": nil, "a step of no tasks": {step(0, 1)}, "a step after itself": {step(1, 1, 0)},
		"a step after a later one": {step(1, 1, 1), step(1, 1)}, "too many tasks": {step(maxTasks, 1), step(1, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			// Guards against a job that can never run, or whose record is too large for a row.
			_, err := NewSpec("", steps, Repeat{})
			anvilassert.True(t, err != nil, "the job was accepted")
		})
	}
}

func TestTaskID(t *testing.T) {
	t.Run("parse of the printed form", func(t *testing.T) {
		// Guards against the end of a task that is attributed to another task.
		id := NewTaskID("5c0e7a21d94b36f8", 1, 2, 17)
		got, err := ParseTaskID(id.String())
		anvilassert.NoError(t, err)
		anvilassert.Equal(t, "id", got, id)
		anvilassert.Equal(t, "step id", id.StepID(), "5c0e7a21d94b36f8.1.2")
	})
	t.Run("other texts are rejected", func(t *testing.T) {
		// Guards against a text in another form that is parsed as a task's id.
		for _, text := range []string{"", "a.1.2", "a.1.2.x", "a.-1.2.3", "a.1.2.3.4"} {
			_, err := ParseTaskID(text)
			anvilassert.True(t, err != nil, "%q was accepted", text)
		}
	})
}
