package anvilworker_test

import (
	"fmt"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilworker"
)

func newHealth(n int) *anvilworker.Health {
	h := anvilworker.NewHealth()
	for i := range n {
		h.Add(fmt.Sprint("w", i), "p")
	}
	return h
}

func assertQuarantined(t *testing.T, h *anvilworker.Health, worker string, want bool) {
	t.Helper()
	if got := h.Quarantined(worker, 0); got != want {
		t.Errorf("quarantine of %s is %v, want %v", worker, got, want)
	}
}

func fail(h *anvilworker.Health, worker string, teams, tasks, n int) {
	for i := range n {
		h.Failed(worker, "p", fmt.Sprint("team", i%teams), fmt.Sprint("task", i%tasks), 10)
	}
}

// Guards against the quarantine of a worker for failures that it did not cause, and against a worker that
// fails every task but isn't quarantined.
func TestQuarantine(t *testing.T) {
	for _, c := range []struct {
		name                 string
		teams, tasks, n      int
		peers, own, expected bool
	}{
		{"two teams", 2, 1, 5, true, false, true},
		{"three tasks", 1, 3, 5, true, false, true},
		{"one faulty task", 1, 1, 50, true, false, false},
		{"too few failures", 2, 4, 3, true, false, false},
		{"whole pool fails", 2, 5, 5, false, false, false},
		{"own success in between", 2, 5, 4, true, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHealth(10)
			fail(h, "w0", c.teams, c.tasks, c.n)
			if c.own {
				h.Succeeded("w0", "team", "task", 11)
			}
			if c.peers {
				h.Succeeded("w1", "team", "task", 12)
			}
			fail(h, "w0", c.teams, c.tasks, 1)
			assertQuarantined(t, h, "w0", c.expected)
		})
	}
	t.Run("at most a fifth of the pool", func(t *testing.T) {
		h := newHealth(11)
		for i := range 3 {
			h.Succeeded("w9", "team", "task", 10)
			fail(h, fmt.Sprint("w", i), 2, 5, 5)
		}
		assertQuarantined(t, h, "w1", true)
		assertQuarantined(t, h, "w2", false)
		h.Drop("w1")
		fail(h, "w2", 2, 5, 1)
		assertQuarantined(t, h, "w2", true)
	})
}

// Guards against probes that are too frequent, run at the same time, or stop for good.
func TestProbe(t *testing.T) {
	h := newHealth(10)
	h.Succeeded("w1", "team", "task", 10)
	fail(h, "w0", 2, 5, 5)
	for _, c := range []struct {
		at   anvilclock.Millis
		want bool
		fail bool
	}{
		{30_009, false, false}, {30_010, true, false}, {30_011, false, true},
		{90_010, false, false}, {90_011, true, false}, {150_011, true, false},
	} {
		if got := h.TryProbe("w0", c.at); got != c.want {
			t.Errorf("probe at %v is %v, want %v", c.at, got, c.want)
		}
		if c.fail {
			h.Failed("w0", "p", "team", "task", c.at)
		}
	}
	h.Succeeded("w0", "team", "task", 150_012)
	assertQuarantined(t, h, "w0", false)
}

// Guards against usage reports that shrink a reservation, exceed the worker, or leave something
// reserved after the task has ended.
func TestUsage(t *testing.T) {
	w := anvilworker.New("w", anvilworker.WithCapacity(anvilsize.New(10, 10, 0)))
	u := anvilworker.NewUsage(w)
	if err := u.Reserve("a", anvilsize.New(2, 4, 0)); err != nil {
		t.Fatal(err)
	}
	u.Adopt("b", anvilsize.New(3, 3, 0))
	for _, c := range []struct {
		name   string
		use    anvilsize.Size
		expect anvilsize.Size
	}{
		{"grows", anvilsize.New(4, 1, 0), anvilsize.New(4, 4, 0)},
		{"does not shrink", anvilsize.New(1, 1, 0), anvilsize.New(4, 4, 0)},
		{"stays within capacity", anvilsize.New(9, 9, 0), anvilsize.New(7, 7, 0)},
	} {
		t.Run(c.name, func(t *testing.T) {
			u.Report("a", c.use)
			if got := u.Reservation("a"); got != c.expect {
				t.Errorf("reservation is %v, want %v", got, c.expect)
			}
		})
	}
	t.Run("release", func(t *testing.T) {
		u.Release("a")
		u.Release("a")
		u.Release("b")
		if !w.Reserved().IsZero() || w.Tasks() != 0 {
			t.Errorf("%v and %d tasks stay reserved", w.Reserved(), w.Tasks())
		}
	})
}
