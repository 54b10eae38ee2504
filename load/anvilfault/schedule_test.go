package anvilfault_test

import (
	"fmt"
	"slices"
	"testing"

	"anvilhold.org/load/anvilfault"
)

const length = 40_000

var targetCounts = anvilfault.NewTargetCounts(3, 6, 2)

// assertValid checks that a schedule has at least 30 faults, sorted by their start and within the run.
func assertValid(t *testing.T, faults []anvilfault.Fault) {
	t.Helper()
	if len(faults) < 30 {
		t.Errorf("got %d faults, want at least 30", len(faults))
	}
	if !slices.IsSortedFunc(faults, func(x, y anvilfault.Fault) int { return int(x.At() - y.At()) }) {
		t.Error("the faults are not sorted by their start")
	}
	for _, f := range faults {
		if f.At() < 0 || f.Span() < 0 || f.At()+f.Span() > length {
			t.Errorf("fault %s is not within the run", f)
		}
	}
}

// Guards against a schedule that its seed does not reproduce, so that a failed run can't be repeated.
func TestSameSeedSameSchedule(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			a, b := anvilfault.Schedule(seed, length, targetCounts), anvilfault.Schedule(seed, length, targetCounts)
			if !slices.Equal(a, b) {
				t.Errorf("two schedules differ: %v and %v", a, b)
			}
			assertValid(t, a)
		})
	}
	t.Run("another seed, another schedule", func(t *testing.T) {
		if slices.Equal(anvilfault.Schedule(1, length, targetCounts), anvilfault.Schedule(2, length, targetCounts)) {
			t.Error("seeds 1 and 2 give the same schedule")
		}
	})
}

// Guards against kinds of faults that no schedule contains, and against schedules without simultaneous faults.
func TestVariety(t *testing.T) {
	seen := make(map[anvilfault.Kind]bool)
	pairs := 0
	for seed := range uint64(20) {
		faults := anvilfault.Schedule(seed, length, targetCounts)
		for i, f := range faults {
			seen[f.Kind()] = true
			if i > 0 && faults[i-1].At() == f.At() {
				pairs++
			}
		}
	}
	for _, k := range anvilfault.Kinds() {
		if !seen[k] {
			t.Errorf("no schedule contains a fault of kind %s", k)
		}
	}
	if pairs == 0 {
		t.Error("no schedule contains two faults with the same start")
	}
}
