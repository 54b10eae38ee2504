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
		"the longest prefix wins": {"h", "/a/b/1", "long", "1"},
		"a shorter one otherwise": {"h", "/a/1", "short", "1"},
		"the host counts":         {"g", "/a/b/1", "other", "a/b/1"},
	} {
		t.Run(name, func(t *testing.T) {
			// Guards against work that goes to the pool of another queue.
			q, rest, ok := p.Route(c.host, c.path)
			anvilassert.True(t, ok, "no queue")
			anvilassert.Equal(t, "queue and rest", q.Name()+" "+rest, c.queue+" "+c.rest)
		})
	}
	t.Run("an unknown host or path has no queue", func(t *testing.T) {
		// Guards against work that is taken for a queue that does not exist.
		_, _, host := p.Route("k", "/a/1")
		_, _, path := p.Route("h", "/c/1")
		anvilassert.True(t, !host && !path, "a queue was found")
	})
}

func TestTeam(t *testing.T) {
	t.Run("a limit of 0 is none", func(t *testing.T) {
		// Guards against a team that may run nothing because one dimension has no limit.
		team := NewTeam("a", 1, anvilsize.New(1000, 0, 2), nil)
		anvilassert.True(t, team.Admits(anvilsize.New(1000, 1<<40, 2)), "refused at its limit")
		anvilassert.True(t, !team.Admits(anvilsize.New(1001, 0, 0)), "admitted over its limit")
		anvilassert.True(t, !team.Admits(anvilsize.New(0, 0, 3)), "admitted over its limit of accelerators")
	})
	t.Run("keys tell the team", func(t *testing.T) {
		// Guards against a key that works for another team, or after it is gone.
		p := New(1, nil, WithTeams(NewTeam("a", 1, anvilsize.Size{}, []string{"k1"})))
		name, ok := p.TeamOf("k1")
		_, unknown := p.TeamOf("k2")
		anvilassert.Equal(t, "team", []any{name, ok, unknown}, []any{"a", true, false})
	})
}

func TestQueue(t *testing.T) {
	t.Run("objective and cost of advice", func(t *testing.T) {
		// Guards against an order of work by wrong times.
		q := NewQueue("q", "h", "/", "p", WithObjective(1.5, 400), WithAdvice(NewAdvice(17, 0.25, 2000)))
		anvilassert.Equal(t, "objective", q.Objective(1000), anvilclock.Millis(1900))
		anvilassert.Equal(t, "cost", q.Advice().Cost(36), anvilclock.Millis(26))
		anvilassert.True(t, !NewQueue("q", "h", "/", "p").Advice().Needed(), "advice is needed")
	})
}
