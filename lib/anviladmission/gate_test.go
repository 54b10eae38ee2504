package anviladmission

import (
	"fmt"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/internal/anvilassert"
)

const now = anvilclock.Millis(50_000)

var (
	queue = anvilpolicy.NewQueue("quick", "h", "/q/", "pool", anvilpolicy.WithObjective(1, 9000))
	other = anvilpolicy.NewQueue("other", "h", "/o/", "pool")
)

func core(n int64) anvilsize.Size { return anvilsize.New(n*1000, 0, 0) }

func spec(t *testing.T, tasks int, opts ...anviljob.StepOption) *anviljob.Spec {
	t.Helper()
	opts = append([]anviljob.StepOption{anviljob.WithEstimate(1000)}, opts...)
	s, err := anviljob.NewSpec("payload", []anviljob.Step{anviljob.NewStep(tasks, core(1), opts...)}, anviljob.Repeat{})
	anvilassert.NoError(t, err)
	return s
}

// serial returns a job of steps with one task each that run one after another.
func serial(t *testing.T, steps int, size anvilsize.Size) *anviljob.Spec {
	t.Helper()
	list := make([]anviljob.Step, 0, steps)
	for i := range steps {
		opts := []anviljob.StepOption{anviljob.WithEstimate(1000)}
		if i > 0 {
			opts = append(opts, anviljob.WithAfter(i-1))
		}
		list = append(list, anviljob.NewStep(1, size, opts...))
	}
	s, err := anviljob.NewSpec("payload", list, anviljob.Repeat{})
	anvilassert.NoError(t, err)
	return s
}

// full returns a backlog of a pool of 100 cores without capacity for jobs of ten tasks or more.
func full(t *testing.T) *Backlog {
	t.Helper()
	return NewBacklog(now, NewShortage(queue.Name(), core(100), DemandOf(spec(t, 10), core(100)), 4000))
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
		_, got := NewGate().Refuses(full(t), now, "id", other, spec(t, 10))
		anvilassert.Equal(t, "refused", got, false)
	})
	t.Run("a job with the same work in one step after another", func(t *testing.T) {
		assertRefused(t, full(t), now, serial(t, 20, core(1)), false)
	})
	t.Run("a job with more work in a longer chain of steps", func(t *testing.T) {
		assertRefused(t, full(t), now, serial(t, 2, core(10)), false)
	})
	t.Run("a job that needs nothing of what lacks", func(t *testing.T) {
		total, lacking := anvilsize.New(100_000, 0, 8), serial(t, 1, anvilsize.New(1000, 0, 1))
		b := NewBacklog(now, NewShortage(queue.Name(), total, DemandOf(lacking, total), 4000))
		assertRefused(t, b, now, spec(t, 100), false)
		assertRefused(t, b, now, lacking, true)
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

// Guards against callers who are sent away for longer than their jobs may take.
func TestRetryWithinObjective(t *testing.T) {
	short := anvilpolicy.NewQueue(queue.Name(), "h", "/q/", "pool", anvilpolicy.WithObjective(1, 500))
	for i := range 400 {
		after, _ := NewGate().Refuses(full(t), now, fmt.Sprintf("%016x", i), short, spec(t, 10))
		anvilassert.True(t, after >= minRetry && after < minRetry+1500, "retry after %d", after)
	}
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
