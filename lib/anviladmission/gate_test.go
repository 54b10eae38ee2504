package anviladmission

import (
	"fmt"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/internal/anvilassert"
)

const (
	queue = "quick"
	now   = anvilclock.Millis(50_000)
)

func core(n int64) anvilsize.Size { return anvilsize.New(n*1000, 0, 0) }

func spec(t *testing.T, tasks int, opts ...anviljob.StepOption) *anviljob.Spec {
	t.Helper()
	opts = append([]anviljob.StepOption{anviljob.WithEstimate(1000)}, opts...)
	s, err := anviljob.NewSpec("payload", []anviljob.Step{anviljob.NewStep(tasks, core(1), opts...)}, anviljob.Repeat{})
	anvilassert.NoError(t, err)
	return s
}

// full returns a backlog of a pool of 100 cores without capacity for jobs of ten tasks or more.
func full(t *testing.T) *Backlog {
	t.Helper()
	return NewBacklog(now, NewShortage(queue, core(100), Cost(spec(t, 10), core(100)), 4000))
}

func assertRefused(t *testing.T, b *Backlog, at anvilclock.Millis, s *anviljob.Spec, want bool) {
	t.Helper()
	_, got := NewGate().Refuses(b, at, "id", queue, s)
	anvilassert.Equal(t, "refused", got, want)
}

// Guards against refusals of jobs that could be served, or that nothing is known about.
func TestRefuses(t *testing.T) {
	t.Run("a job that takes as much as those without capacity", func(t *testing.T) {
		assertRefused(t, full(t), now, spec(t, 10), true)
	})
	t.Run("a smaller job", func(t *testing.T) { assertRefused(t, full(t), now, spec(t, 9), false) })
	t.Run("no shortage", func(t *testing.T) { assertRefused(t, NewBacklog(now), now, spec(t, 10), false) })
	t.Run("no leader", func(t *testing.T) { assertRefused(t, nil, now, spec(t, 10), false) })
	t.Run("old knowledge", func(t *testing.T) { assertRefused(t, full(t), now+maxBacklogAge+1, spec(t, 10), false) })
	t.Run("another queue", func(t *testing.T) {
		_, got := NewGate().Refuses(full(t), now, "id", "other", spec(t, 10))
		anvilassert.Equal(t, "refused", got, false)
	})
	t.Run("a job that does not end", func(t *testing.T) {
		assertRefused(t, full(t), now, spec(t, 10, anviljob.WithLongRunning(true)), false)
	})
}

// Guards against callers that are refused again and again while new ones are accepted.
func TestReturningJobComesFirst(t *testing.T) {
	g := NewGate()
	g.Record("id")
	_, returning := g.Refuses(full(t), now, "id", queue, spec(t, 15))
	_, fresh := g.Refuses(full(t), now, "other", queue, spec(t, 15))
	anvilassert.Equal(t, "returning job refused", returning, false)
	anvilassert.Equal(t, "new job refused", fresh, true)
}

// Guards against a memory of refused jobs that grows without bound.
func TestGateIsBounded(t *testing.T) {
	g := NewGate()
	for i := range 3 * maxRefused {
		g.Record(fmt.Sprint(i))
	}
	anvilassert.Equal(t, "remembered jobs", len(g.refused), maxRefused)
}

// Guards against refused callers who return together.
func TestRetriesAreSpread(t *testing.T) {
	seconds := map[anvilclock.Millis]int{}
	for i := range 400 {
		after, _ := NewGate().Refuses(full(t), now, fmt.Sprintf("%016x", i), queue, spec(t, 10))
		anvilassert.True(t, after >= minRetry && after < minRetry+4000, "retry after %d", after)
		seconds[after/1000]++
	}
	for at, n := range seconds {
		anvilassert.True(t, n <= 200, "%d of 400 return in second %d", n, at)
	}
	anvilassert.Equal(t, "seconds in which callers return", len(seconds), 4)
}

// Guards against an instance that refuses by other shortages than the leader's.
func TestEncode(t *testing.T) {
	b, err := Decode(full(t).Encode(now), now)
	anvilassert.NoError(t, err)
	anvilassert.Equal(t, "backlog", fmt.Sprint(*b), fmt.Sprint(*full(t)))
	anvilassert.Equal(t, "text of old knowledge", full(t).Encode(now+maxBacklogAge+1), "")
	_, err = Decode("{", now)
	anvilassert.True(t, err != nil, "a text that is cut is decoded")
}
