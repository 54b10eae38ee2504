package anvilshare_test

import (
	"testing"

	"anvilhold.org/lib/anvilshare"
	"anvilhold.org/lib/anvilsize"
)

func size(cpu, memory int64) anvilsize.Size { return anvilsize.New(cpu, memory, 0) }

func assertShare(t *testing.T, got map[string]int64, team string, want int64) {
	t.Helper()
	if d := got[team] - want; d < -1 || d > 1 {
		t.Errorf("team %s has %d ppm, want %d", team, got[team], want)
	}
}

// Guards against shares that differ from the published examples of dominant resource fairness, or that leave
// capacity unused which a team still demands.
func TestIdeal(t *testing.T) {
	ideal := func(total anvilsize.Size, weight int64, a, b anvilsize.Size) map[string]int64 {
		tree := anvilshare.New()
		tree.SetTotal(total)
		tree.SetWeight("a", weight)
		return tree.Ideal(map[string]anvilsize.Size{"a": a, "b": b, "idle": {}})
	}
	for _, c := range []struct {
		name         string
		got          map[string]int64
		wantA, wantB int64
	}{
		{"example of the paper", ideal(size(9, 18), 1, size(9, 36), size(27, 9)), 666_667, 666_667},
		{"weights", ideal(size(12, 12), 2, size(12, 12), size(12, 12)), 666_667, 333_333},
		{"others use an unused share", ideal(size(10, 10), 1, size(1, 1), size(10, 10)), 100_000, 900_000},
		{"separate dimensions", ideal(size(10, 10), 1, size(20, 0), size(0, 20)), 1_000_000, 1_000_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertShare(t, c.got, "a", c.wantA)
			assertShare(t, c.got, "b", c.wantB)
			assertShare(t, c.got, "idle", 0)
		})
	}
}

// Guards against an order that ignores weights, that loses small tasks on a large fleet, or that keeps counting
// what was refunded.
func TestOrder(t *testing.T) {
	tree := anvilshare.New()
	tree.SetTotal(size(1_000_000_000, 1_000_000_000))
	assertLess := func(name string, want bool) {
		t.Run(name, func(t *testing.T) {
			if got := tree.Less("a", "b"); got != want {
				t.Errorf("a before b is %v, want %v", got, want)
			}
		})
	}
	tree.Charge("b", "x", size(1, 0))
	assertLess("one small task counts", true)
	tree.Charge("a", "x", size(2, 0))
	assertLess("larger share", false)
	tree.SetWeight("a", 3)
	assertLess("weight", true)
	tree.ResetWeight("a")
	assertLess("reset weight", false)
	tree.Refund("a", "x", size(2, 0))
	assertLess("refund", true)
	t.Run("refund below zero", func(t *testing.T) {
		tree.Refund("b", "x", size(5, 5))
		if got := tree.Used("b"); !got.IsZero() {
			t.Errorf("b uses %v after a refund of more than it used", got)
		}
	})
	t.Run("workspace", func(t *testing.T) {
		tree.Charge("a", "x", size(1, 0))
		if !tree.LessWorkspace("a", "y", "x") || tree.LessWorkspace("a", "x", "y") {
			t.Error("the idle workspace doesn't come first")
		}
	})
}
