package anvilpolicy

import (
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/internal/anvilassert"
)

func TestRoute(t *testing.T) {
	p := New(7, []Queue{NewQueue("short", "h", "/a/", "x"), NewQueue("long", "h", "/a/b/", "y"), NewQueue("other", "g", "/", "z")})
	for name, c := range map[string]struct{ host, path, queue, rest string }{
		"longest prefix": {"h", "/a/b/1", "long", "1"},
		"shorter prefix when the longer doesn't match": {"h", "/a/1", "short", "1"},
		"host": {"g", "/a/b/1", "other", "a/b/1"},
	} {
		t.Run(name, func(t *testing.T) {
			// Guards against jobs that are sent to the wrong queue.
			q, rest, ok := p.Route(c.host, c.path)
			anvilassert.True(t, ok, "no queue")
			anvilassert.Equal(t, "queue and rest", q.Name()+" "+rest, c.queue+" "+c.rest)
		})
	}
	t.Run("an unknown host or path has no queue", func(t *testing.T) {
		// Guards against jobs that are accepted without a matching queue.
		_, _, host := p.Route("k", "/a/1")
		_, _, path := p.Route("h", "/c/1")
		anvilassert.True(t, !host && !path, "a queue was found")
	})
}

func TestTeam(t *testing.T) {
	t.Run("a limit of 0 means unlimited", func(t *testing.T) {
		// Guards against a team that can't run anything because one dimension has no limit.
		team := NewTeam("a", 1, anvilsize.New(1000, 0, 2), nil)
		anvilassert.True(t, team.WithinLimit(anvilsize.New(1000, 1<<40, 2)), "a size at the limit is over it")
		anvilassert.True(t, !team.WithinLimit(anvilsize.New(1001, 0, 0)), "a size over the processor limit is within it")
		anvilassert.True(t, !team.WithinLimit(anvilsize.New(0, 0, 3)), "a size over the accelerator limit is within it")
	})
	t.Run("team by key", func(t *testing.T) {
		// Guards against a key that is accepted for another team than its own, and against an unknown key that is accepted.
		p := New(1, nil, WithTeams(NewTeam("a", 1, anvilsize.Size{}, []string{"k1"})))
		name, ok := p.TeamByKey("k1")
		_, unknown := p.TeamByKey("k2")
		anvilassert.Equal(t, "team", []any{name, ok, unknown}, []any{"a", true, false})
	})
}

func TestQueue(t *testing.T) {
	t.Run("objective and cost of advice", func(t *testing.T) {
		// Guards against jobs that are ordered by a wrong latency objective or advice cost.
		q := NewQueue("q", "h", "/", "p", WithObjective(1.5, 400), WithAdvice(NewAdvice(17, 0.25, 2000)))
		anvilassert.Equal(t, "objective", q.Objective(1000), anvilclock.Millis(1900))
		anvilassert.Equal(t, "cost", q.Advice().Cost(36), anvilclock.Millis(26))
		anvilassert.True(t, !NewQueue("q", "h", "/", "p").Advice().Needed(), "a queue without advice needs a ticket")
	})
}
