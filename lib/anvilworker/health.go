package anvilworker

import (
	"anvilhold.org/lib/anvilclock"
)

// Defaults of the options, and the numbers of teams and of tasks that must fail before a worker is
// quarantined; one of the two suffices. Section 6 of the design sets them.
const (
	defaultMinFailures     = 5
	minTeams               = 2
	minTasks               = 3
	defaultFirstProbeDelay = anvilclock.Millis(30_000)
	defaultMaxProbeDelay   = anvilclock.Millis(600_000)
	defaultMaxPercent      = 20
)

// Health records which workers fail the tasks that they start. A worker is quarantined after consecutive
// failures of several teams or tasks, while other workers of its pool succeed; failures of one faulty
// task, or of a whole pool, don't count against a worker. It is not safe for concurrent use.
type Health struct {
	minFailures     int
	firstProbeDelay anvilclock.Millis
	maxProbeDelay   anvilclock.Millis
	maxPercent      int
	workers         map[string]*workerHealth
	pools           map[string]*poolHealth
}

type workerHealth struct {
	pool         string
	consecutive  int
	firstFailure anvilclock.Millis
	teams        map[string]bool
	tasks        map[string]bool
	quarantined  bool
	backoff      anvilclock.Millis
	nextProbe    anvilclock.Millis // time from which a probe is allowed
}

type poolHealth struct {
	workers     int
	quarantined int
	lastSuccess anvilclock.Millis
	hasSuccess  bool
}

// HealthOption configures a Health.
type HealthOption func(*Health)

// WithMinFailures sets the number of consecutive failures from which a worker may be quarantined.
func WithMinFailures(n int) HealthOption { return func(h *Health) { h.minFailures = n } }

// WithBackoff sets the time before the first probe and the longest time between probes.
func WithBackoff(first, longest anvilclock.Millis) HealthOption {
	return func(h *Health) { h.firstProbeDelay, h.maxProbeDelay = first, longest }
}

// WithMaxPercent sets the largest percentage of a pool's workers that may be quarantined. One
// worker may be quarantined whatever the percentage.
func WithMaxPercent(n int) HealthOption { return func(h *Health) { h.maxPercent = n } }

// NewHealth returns a Health that knows no workers.
func NewHealth(opts ...HealthOption) *Health {
	h := &Health{
		minFailures: defaultMinFailures, firstProbeDelay: defaultFirstProbeDelay, maxProbeDelay: defaultMaxProbeDelay, maxPercent: defaultMaxPercent,
		workers: map[string]*workerHealth{}, pools: map[string]*poolHealth{},
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Add records that a worker belongs to a pool, so that it counts in the size of the pool and its
// successes count as those of a peer. A worker that was never added is recorded at its first result.
func (h *Health) Add(worker, pool string) { h.workerHealthOf(worker, pool) }

// Drop removes a worker and its quarantine.
func (h *Health) Drop(worker string) {
	e := h.workers[worker]
	if e == nil {
		return
	}
	delete(h.workers, worker)
	p := h.pool(e.pool)
	p.workers--
	if e.quarantined {
		p.quarantined--
	}
	if p.workers == 0 {
		delete(h.pools, e.pool)
	}
}

// Succeeded records that a worker ran a task successfully, which ends its quarantine.
func (h *Health) Succeeded(worker, _, _ string, now anvilclock.Millis) {
	e := h.workers[worker]
	if e == nil {
		// The worker's pool is unknown, so the success counts for every pool.
		e = h.workerHealthOf(worker, "")
	}
	p := h.pool(e.pool)
	p.lastSuccess, p.hasSuccess = now, true
	if e.quarantined {
		e.quarantined = false
		p.quarantined--
	}
	e.consecutive = 0
	clear(e.teams)
	clear(e.tasks)
}

// Failed records a failure that the worker may have caused: the task could not be started or ended
// abnormally.
func (h *Health) Failed(worker, pool, team, task string, now anvilclock.Millis) {
	e := h.workerHealthOf(worker, pool)
	if e.consecutive == 0 {
		e.firstFailure = now
	}
	e.consecutive++
	// The sizes of the sets are only compared with these thresholds, so they need not grow further.
	if len(e.teams) < minTeams {
		e.teams[team] = true
	}
	if len(e.tasks) < minTasks {
		e.tasks[task] = true
	}
	if e.quarantined {
		e.backoff = min(e.backoff*2, h.maxProbeDelay)
		e.nextProbe = now + e.backoff
		return
	}
	if h.attributable(e) && h.quotaLeft(e.pool) {
		e.quarantined = true
		h.pool(e.pool).quarantined++
		e.backoff = h.firstProbeDelay
		e.nextProbe = now + e.backoff
	}
}

// attributable reports whether the worker, and not a task or the pool, causes the failures.
func (h *Health) attributable(e *workerHealth) bool {
	if e.consecutive < h.minFailures || len(e.teams) < minTeams && len(e.tasks) < minTasks {
		return false
	}
	return h.succeededSince(e.pool, e.firstFailure) || h.succeededSince("", e.firstFailure)
}

// succeededSince reports whether a worker of a pool has succeeded since a time. The caller passes the
// time of a worker's first consecutive failure, so the success is that of a peer.
func (h *Health) succeededSince(pool string, since anvilclock.Millis) bool {
	p := h.pools[pool]
	return p != nil && p.hasSuccess && p.lastSuccess >= since
}

// quotaLeft reports whether one more worker of the pool may be quarantined. One is always allowed, or
// small pools would have no quarantine at all.
func (h *Health) quotaLeft(pool string) bool {
	p := h.pool(pool)
	return p.quarantined < max(p.workers*h.maxPercent/100, 1)
}

// Quarantined reports whether the worker gets no tasks except probes.
func (h *Health) Quarantined(worker string, _ anvilclock.Millis) bool {
	e := h.workers[worker]
	return e != nil && e.quarantined
}

// TryProbe reports whether a quarantined worker may be given one task as a probe now. When it returns true,
// the next probe is allowed only after the backoff, which doubles when the probe fails, so that a probe
// whose result is never reported doesn't block later ones.
func (h *Health) TryProbe(worker string, now anvilclock.Millis) bool {
	e := h.workers[worker]
	if e == nil || !e.quarantined || now < e.nextProbe {
		return false
	}
	e.nextProbe = now + e.backoff
	return true
}

func (h *Health) workerHealthOf(worker, pool string) *workerHealth {
	e := h.workers[worker]
	if e == nil {
		e = &workerHealth{pool: pool, teams: map[string]bool{}, tasks: map[string]bool{}}
		h.workers[worker] = e
		h.pool(pool).workers++
	} else if pool != "" && e.pool != pool {
		h.pool(e.pool).workers--
		h.pool(pool).workers++
		if e.quarantined {
			h.pool(e.pool).quarantined--
			h.pool(pool).quarantined++
		}
		e.pool = pool
	}
	return e
}

func (h *Health) pool(name string) *poolHealth {
	p := h.pools[name]
	if p == nil {
		p = &poolHealth{}
		h.pools[name] = p
	}
	return p
}
