package anviladmission

import (
	"hash/fnv"
	"sync"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// Queue is what a gate uses of a queue.
type Queue interface {
	Name() string
	Objective(criticalPath anvilclock.Millis) anvilclock.Millis
}

// Limits of decisions.
const (
	// maxBacklogAge is the age up to which a backlog is used. Bursts end within seconds.
	maxBacklogAge = anvilclock.Millis(1500)
	// minRetry is the shortest time after which a refused caller may return, maxSpread the longest one over which callers are
	// spread.
	minRetry  = anvilclock.Millis(1000)
	maxSpread = anvilclock.Millis(10_000)
	// returningFactor is how much more a job that was refused before may take than a new one.
	returningFactor = 2
	// maxRefused bounds the ids of refused jobs that are kept.
	maxRefused = 4096
)

// Gate decides on jobs. It remembers which jobs it has refused, so that these come before new ones when they return. It is
// safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	refused map[string]bool
	// order holds the ids of refused, the oldest first.
	order []string
}

// NewGate returns a gate that has refused nothing.
func NewGate() *Gate { return &Gate{refused: map[string]bool{}} }

// Refuses reports whether a job would get no capacity while it has a value, and when its caller may return. Jobs that don't end
// and those with set times are never refused. Callers are spread over no more than the job's objective, so that waiting does not
// cost more than it gains.
func (g *Gate) Refuses(b *Backlog, now anvilclock.Millis, id string, q Queue, spec *anviljob.Spec) (anvilclock.Millis, bool) {
	if b.Empty() || b.outdated(now) || spec.LongRunning() || spec.Repeat().Timed() {
		return 0, false
	}
	factor := int64(1)
	if g.returns(id) {
		factor = returningFactor
	}
	for _, s := range b.shortages {
		if s.queue == q.Name() && DemandOf(spec, s.total).exceeds(s.demand, factor) {
			objective := max(q.Objective(spec.CriticalPath(0)), minRetry)
			return minRetry + spread(id, min(s.wait, maxSpread, objective)), true
		}
	}
	return 0, false
}

func (g *Gate) returns(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused[id]
}

// Record records that a job was refused.
func (g *Gate) Record(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refused[id] {
		return
	}
	g.refused[id] = true
	if g.order = append(g.order, id); len(g.order) > maxRefused {
		delete(g.refused, g.order[0])
		g.order = g.order[1:]
	}
}

// spread returns a time below a limit that depends on the id, so that callers who were refused together don't return
// together.
func spread(id string, limit anvilclock.Millis) anvilclock.Millis {
	if limit <= 0 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return anvilclock.Millis(int64(h.Sum32()) % int64(limit))
}
