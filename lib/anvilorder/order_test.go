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
		assertClasses(t, NewForecast(0, core(100)).Classify(stages), timely, timely)
	})
	t.Run("the costliest of one queue is set aside", func(t *testing.T) {
		stages := []Stage{job(quick, 0, 60, 1000, 1000), job(quick, 0, 70, 1000, 1100), job(quick, 0, 20, 1000, 1200)}
		assertClasses(t, NewForecast(0, core(100)).Classify(stages), timely, late, timely)
	})
	t.Run("the less urgent queue is set aside first", func(t *testing.T) {
		r := NewForecast(0, core(100))
		r.Occupy(wide, core(12), 20_000)
		assertClasses(t, r.Classify([]Stage{job(wide, 2, 60, 1000, 1000), job(quick, 0, 70, 1000, 1100)}), late, timely)
	})
	t.Run("what is past its latest start is late, and unmet without capacity", func(t *testing.T) {
		r := NewForecast(2000, core(100))
		stages := []Stage{
			NewStage(quick, 0, core(50), 1000, 1900, 3500, WithCost(1)), NewStage(quick, 0, core(90), 3000, 1900, 3500, WithCost(2)),
		}
		assertClasses(t, r.Classify(stages), late, Unmet)
	})
	t.Run("running tasks free their capacity", func(t *testing.T) {
		r := NewForecast(0, core(100))
		r.Occupy(wide, core(60), 500)
		r.Occupy(quick, core(12), 500)
		assertClasses(t, r.Classify([]Stage{job(quick, 0, 50, 1000, 400)}), late)
		assertClasses(t, r.Classify([]Stage{job(quick, 0, 50, 1000, 600)}), timely)
	})
	t.Run("short stages follow each other", func(t *testing.T) {
		r := NewForecast(0, core(100))
		stages := []Stage{job(quick, 0, 80, 200, 600), job(quick, 0, 80, 200, 600), job(quick, 0, 80, 200, 600)}
		assertClasses(t, r.Classify(stages), timely, timely, timely)
	})
	t.Run("long stages do not", func(t *testing.T) {
		r := NewForecast(0, core(100))
		stages := []Stage{job(quick, 0, 80, 900, 600), job(quick, 0, 60, 900, 600)}
		assertClasses(t, r.Classify(stages), late, timely)
	})
	t.Run("a queue keeps its least share", func(t *testing.T) {
		stages := []Stage{job(wide, 2, 10, 900, 1000)}
		for range 20 {
			stages = append(stages, job(quick, 0, 10, 500, 400))
		}
		anvilassert.Equal(t, "class of the wide stage", NewForecast(0, core(100)).Classify(stages)[0], timely)
	})
}

// stuck returns a pool without a free accelerator, a stage of a queue that is entitled to one, and others that need none.
func stuck(n int) (*Forecast, []Stage) {
	f := NewForecast(0, anvilsize.New(64_000*350, 0, 32))
	f.Occupy("long", anvilsize.New(1000, 0, 32), 60_000)
	list := []Stage{NewStage(wide, 0, anvilsize.New(1000, 0, 8), 600, 1000, 9000)}
	for i := range n {
		list = append(list, job(quick, 0, 1, 600, 1001+anvilclock.Millis(i)))
	}
	return f, list
}

// Guards against a search that takes a time that grows with the square of the stages, because it looks for capacity of an exhausted
// dimension among all of them. Each item that enters a heap is an allocation.
func TestExhaustedDimension(t *testing.T) {
	allocations := func(n int) float64 {
		f, list := stuck(n)
		return testing.AllocsPerRun(1, func() { f.Classify(list) })
	}
	few, many := allocations(400), allocations(1600)
	anvilassert.True(t, many < 8*few, "%.0f allocations for 400 stages, %.0f for 1,600", few, many)
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
			if c != timely {
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
			if beside[i] == late && alone[n] == timely {
				t.Fatalf("stage %d has class %d, and %d without the other queue", i, beside[i], alone[n])
			}
			n++
		}
	})
}
