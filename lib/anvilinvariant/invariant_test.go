package anvilinvariant

import (
	"sync"
	"testing"

	"anvilhold.org/lib/internal/anvilassert"
)

// Guards against violations that are lost or counted twice, and against formatting the detail of a check that
// holds.
func TestChecker(t *testing.T) {
	t.Run("holds", func(t *testing.T) {
		c := New(WithReport(func(string, string) { t.Fatalf("a violation was reported") }), WithExit(func(int) { t.Fatalf("the process was ended") }))
		c.Check(true, "limit", "%d", 1)
		anvilassert.Equal(t, "count", c.Count("limit"), int64(0))
		anvilassert.Equal(t, "counts", len(c.Counts()), 0)
	})
	t.Run("violated", func(t *testing.T) {
		var log []string
		c := New(
			WithReport(func(name, detail string) { log = append(log, name+": "+detail) }),
			WithExit(func(code int) {
				anvilassert.Equal(t, "exit code", code, 1)
				log = append(log, "exit")
			}),
		)
		c.Check(false, "limit", "team %s has %d", "red", 7)
		anvilassert.Equal(t, "log", log, []string{"limit: team red has 7", "exit"})
		anvilassert.Equal(t, "counts", c.Counts(), map[string]int64{"limit": 1})
	})
	t.Run("without options", func(t *testing.T) {
		c := New()
		c.Check(false, "limit", "x")
		c.Check(false, "limit", "x")
		anvilassert.Equal(t, "count", c.Count("limit"), int64(2))
	})
	t.Run("counts are a copy", func(t *testing.T) {
		c := New()
		c.Counts()["limit"] = 5
		anvilassert.Equal(t, "count", c.Count("limit"), int64(0))
	})
	t.Run("from many goroutines", func(t *testing.T) {
		c := New()
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for range 100 {
					c.Check(false, "limit", "x")
				}
			})
		}
		wg.Wait()
		anvilassert.Equal(t, "count", c.Count("limit"), int64(800))
	})
}
