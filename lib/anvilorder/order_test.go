package anvilorder

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/internal/anvilassert"
)

const (
	quick = "quick"
	wide  = "wide"
)

func core(n int64) anvilsize.Size { return anvilsize.New(n*1000, 0, 0) }

// job returns a stage of a queue whose tasks take cores for length, and which must start by a time.
func job(queue string, priority int, cores int64, length, latest anvilclock.Millis) Stage {
	return NewStage(queue, priority, core(cores), length, latest, latest+10_000, WithCost(cores*int64(length)))
}

func assertClasses(t *testing.T, got []Class, want ...Class) {
	t.Helper()
	anvilassert.Equal(t, "classes", fmt.Sprint(got), fmt.Sprint(want))
}

// Guards against overload in which every stage is late because of those before it.
func TestClassify(t *testing.T) {
	t.Run("capacity for all", func(t *testing.T) {
		stages := []Stage{job(quick, 0, 40, 1000, 1500), job(wide, 2, 40, 3000, 9000)}
		assertClasses(t, NewForecast(0, core(100)).Classify(stages), Timely, Timely)
	})
	t.Run("the costliest of one queue is set aside", func(t *testing.T) {
		stages := []Stage{job(quick, 0, 60, 1000, 1000), job(quick, 0, 70, 1000, 1100), job(quick, 0, 20, 1000, 1200)}
		assertClasses(t, NewForecast(0, core(100)).Classify(stages), Timely, Late, Timely)
	})
	t.Run("the less urgent queue is set aside first", func(t *testing.T) {
		r := NewForecast(0, core(100))
		r.Occupy(wide, core(12), 20_000)
		assertClasses(t, r.Classify([]Stage{job(wide, 2, 60, 1000, 1000), job(quick, 0, 70, 1000, 1100)}), Late, Timely)
	})
	t.Run("what is past its latest start is late, and unmet without capacity", func(t *testing.T) {
		r := NewForecast(2000, core(100))
		stages := []Stage{
			NewStage(quick, 0, core(50), 1000, 1900, 3500, WithCost(1)), NewStage(quick, 0, core(90), 3000, 1900, 3500, WithCost(2)),
		}
		assertClasses(t, r.Classify(stages), Late, Unmet)
	})
	t.Run("running tasks free their capacity", func(t *testing.T) {
		r := NewForecast(0, core(100))
		r.Occupy(wide, core(60), 500)
		r.Occupy(quick, core(12), 500)
		assertClasses(t, r.Classify([]Stage{job(quick, 0, 50, 1000, 400)}), Late)
		assertClasses(t, r.Classify([]Stage{job(quick, 0, 50, 1000, 600)}), Timely)
	})
	t.Run("short stages follow each other", func(t *testing.T) {
		r := NewForecast(0, core(100))
		stages := []Stage{job(quick, 0, 80, 200, 600), job(quick, 0, 80, 200, 600), job(quick, 0, 80, 200, 600)}
		assertClasses(t, r.Classify(stages), Timely, Timely, Timely)
	})
	t.Run("long stages do not", func(t *testing.T) {
		r := NewForecast(0, core(100))
		stages := []Stage{job(quick, 0, 80, 900, 600), job(quick, 0, 60, 900, 600)}
		assertClasses(t, r.Classify(stages), Late, Timely)
	})
	t.Run("a queue keeps its least share", func(t *testing.T) {
		stages := []Stage{job(wide, 2, 10, 900, 1000)}
		for range 20 {
			stages = append(stages, job(quick, 0, 10, 500, 400))
		}
		anvilassert.Equal(t, "class of the wide stage", NewForecast(0, core(100)).Classify(stages)[0], Timely)
	})
}

// stages draws stages of two queues that differ in each respect.
func stages(t *rapid.T) []Stage {
	out := make([]Stage, 0, 40)
	for i := range rapid.IntRange(1, 40).Draw(t, "stages") {
		queue, priority := quick, 0
		if rapid.Bool().Draw(t, "wide") {
			queue, priority = wide, 2
		}
		latest := anvilclock.Millis(rapid.Int64Range(0, 15_000).Draw(t, "latest"))
		s := job(queue, priority, rapid.Int64Range(1, 50).Draw(t, "cores"), anvilclock.Millis(rapid.Int64Range(1, 5000).Draw(t, "length")), latest)
		s.cost = s.cost*100 + int64(i)
		out = append(out, s)
	}
	return out
}

// Guards against stages that are set aside beside free capacity.
func TestCapacityForAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list, sum := stages(t), anvilsize.Size{}
		for _, s := range list {
			sum = sum.Add(s.size)
		}
		for i, c := range NewForecast(0, sum.Ratio(10, 8)).Classify(list) {
			if c != Timely {
				t.Fatalf("stage %d has class %d", i, c)
			}
		}
	})
}

// Guards against a less urgent queue that takes the capacity of a more urgent one: once it runs its least share, stages of the
// more urgent queue are classified as if it had no other ones.
func TestUrgentQueueFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		forecast := func() *Forecast {
			r := NewForecast(0, core(100))
			r.Occupy(wide, core(30), 20_000)
			return r
		}
		list := stages(t)
		var urgent []Stage
		for _, s := range list {
			if s.queue == quick {
				urgent = append(urgent, s)
			}
		}
		alone, beside, n := forecast().Classify(urgent), forecast().Classify(list), 0
		for i, s := range list {
			if s.queue != quick {
				continue
			}
			if beside[i] == Late && alone[n] == Timely {
				t.Fatalf("stage %d has class %d, and %d without the other queue", i, beside[i], alone[n])
			}
			n++
		}
	})
}
