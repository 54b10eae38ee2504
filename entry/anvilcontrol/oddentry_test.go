package anvilcontrol

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// assertServes checks that a cell answers calls, runs batch tasks, and refuses a task that no worker is large enough for.
func assertServes(t *testing.T, c *cell, n *node) {
	t.Helper()
	assertAnswerSoon(t, c, c.submit(n, c.call()))
	accepted := c.submit(n, c.batch(anviltask.WithRunTime(300)))
	c.runWithReplies(4000)
	assertState(t, c, n, assertAccepted(t, accepted), reportDone)
	large := c.submit(n, c.batch(anviltask.WithSize(anvilsize.New(9000, 1024, 0))))
	c.runWithReplies(200)
	assertOutcome(t, large, anvilerror.NotRun)
}

// Guards against an odd entry of the platform's registry that ends an instance, keeps it from following the registry, or makes it
// accept what no worker can run.
func TestOddRegistrations(t *testing.T) {
	const most = math.MaxInt64
	entry := func(id, addr, domain, pool string, size anvilsize.Size) Registration {
		return NewRegistration(id, workerKind, addr, domain, "r1", pool, false, size)
	}
	for name, odd := range map[string]Registration{
		"too large":        entry("odd", "odd", "d1", "layout", anvilsize.New(most, most, most)),
		"negative":         entry("odd", "odd", "d1", "layout", anvilsize.New(-most-1, -1, -1)),
		"empty":            entry("", "", "", "", anvilsize.Size{}),
		"without room":     entry("odd", "odd", "d1", "layout", anvilsize.Size{}),
		"port too large":   entry("odd", "10.0.0.1:65536", "d1", "layout", oneCore),
		"control bytes":    entry("odd\x00/\r\n", "\r\n", "d1\x00/", "layout", oneCore),
		"long":             entry(strings.Repeat("i", 200), strings.Repeat("a", 200), "d1", "layout", oneCore),
		"of another kind":  NewRegistration("odd", "kind", "odd", "d1", "r1", "layout", false, anvilsize.New(most, most, most)),
		"of an odd region": NewRegistration("odd", workerKind, "odd", "d1", "\xff", "layout", true, oneCore),
	} {
		t.Run(name, func(t *testing.T) {
			c, first, _ := startCell(t)
			c.changeList = func(list []Registration) []Registration { return append(list, odd) }
			c.runWithReplies(15_000)
			assertServes(t, c, first)
		})
	}
	t.Run("many", func(t *testing.T) {
		c, first, _ := startCell(t)
		c.changeList = func(list []Registration) []Registration {
			for i := range 300 {
				list = append(list, entry(fmt.Sprintf("odd%d", i), "odd", "d1", "layout", anvilsize.New(most, most, most)))
			}
			return list
		}
		c.runWithReplies(15_000)
		assertServes(t, c, first)
	})
}

// Guards against an entry under the id of a worker at work that takes the place of that worker.
func TestOddRegistrationOfKnownWorker(t *testing.T) {
	for name, change := range map[string]func(r Registration) Registration{
		"in another pool":   func(r Registration) Registration { r.pool = "other"; return r },
		"in another domain": func(r Registration) Registration { r.domain = "d9"; return r },
		"elsewhere":         func(r Registration) Registration { r.addr = "10.0.0.1:65536"; return r },
		"too large":         func(r Registration) Registration { r.size = anvilsize.New(1<<62, 1<<62, 0); return r },
		"of another kind":   func(r Registration) Registration { r.kind = "odd"; return r },
	} {
		t.Run(name, func(t *testing.T) {
			c, first, _ := startCell(t)
			var tasks []*anviltask.Task
			var replies []<-chan Result
			for range 4 {
				task := c.batch(anviltask.WithRunTime(20_000))
				tasks, replies = append(tasks, task), append(replies, c.submit(first, task))
			}
			c.runWithReplies(1000)
			c.changeList = func(list []Registration) []Registration {
				for i := range list {
					list[i] = change(list[i])
				}
				return list
			}
			c.runWithReplies(12_000)
			c.changeList = nil
			c.runWithReplies(25_000)
			for i, reply := range replies {
				assertState(t, c, first, assertAccepted(t, reply), reportDone)
				assertStarts(t, c, tasks[i].ID(), 1)
			}
			assertServes(t, c, first)
		})
	}
}
