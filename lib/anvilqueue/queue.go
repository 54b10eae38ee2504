// Package anvilqueue holds tasks that wait for capacity, in a bounded queue with deadlines.
//
// Tasks wait in lanes. All tasks of a lane have the same rank, team, workspace, pool, kind, size, count and
// home shard, so one failed try is enough to skip the whole lane. The cost of a pass depends on the number of
// teams, and on the numbers of tries and of skipped lanes, which are bounded. It doesn't depend on the number
// of tasks.
package anvilqueue

import (
	"fmt"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anviltask"
)

// Share orders teams, and the workspaces within a team, by their present use: the one with the smaller value is
// served first.
type Share interface {
	WeightedShare(team string) float64
	WeightedWorkspaceShare(team, workspace string) float64
}

// Defaults of the options.
const (
	defaultBound = 4096
	// A pass of 256 tries that all fail takes less than a millisecond.
	defaultMaxTries = 256
	// Skipping a lane costs a hundredth of a try. With the default bound a pass can skip all lanes of a full
	// queue.
	skipsPerTry       = 16
	defaultRetryDelay = anvilclock.Millis(1000)
)

// Queue is a bounded queue of tasks. It is not safe for concurrent use.
type Queue struct {
	bound     int
	maxTries  int
	teamBound int
	retry     anvilclock.Millis
	share     Share
	seq       uint64
	nodes     map[string]*node
	pools     map[string]int
	teams     map[string]int
	ranks     [ranks]*rank
	shapes    map[shape]*shapeState
	groups    map[groupKey]*group
	heap      teamHeap
	deadlines deadlines
	pass      *pass
	passes    uint64
}

// Option configures a Queue.
type Option func(*Queue)

// WithBound sets the largest number of tasks that can wait.
func WithBound(n int) Option { return func(q *Queue) { q.bound = n } }

// WithTeamBound sets the largest number of tasks of one team that can wait; 0 means no bound.
func WithTeamBound(n int) Option { return func(q *Queue) { q.teamBound = n } }

// WithShare sets the order of teams and workspaces. Without it the tasks of a rank are offered in the order of
// arrival.
func WithShare(s Share) Option { return func(q *Queue) { q.share = s } }

// WithMaxTries sets the largest number of tasks that one pass offers.
func WithMaxTries(n int) Option { return func(q *Queue) { q.maxTries = n } }

// WithRetry sets the retry delay that the error of a full queue advises.
func WithRetry(d anvilclock.Millis) Option { return func(q *Queue) { q.retry = d } }

// New returns an empty queue.
func New(opts ...Option) *Queue {
	q := &Queue{
		bound:    defaultBound,
		maxTries: defaultMaxTries,
		retry:    defaultRetryDelay,
		nodes:    map[string]*node{},
		pools:    map[string]int{},
		teams:    map[string]int{},

		shapes: map[shape]*shapeState{},
		groups: map[groupKey]*group{},
	}
	for i := range q.ranks {
		q.ranks[i] = &rank{byName: map[string]*team{}}
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Push puts a task at the end of its lane. It fails with code QueueFull when the queue or the team has reached
// its bound, and with Duplicate when a task with the same id waits. The deadline is now plus the task's MaxWait;
// a MaxWait of 0 sets none.
func (q *Queue) Push(t *anviltask.Task, now anvilclock.Millis) *anvilerror.Error {
	if q.Has(t.ID()) {
		return anvilerror.Refuse(anvilerror.Duplicate, fmt.Sprintf("task %s is already in the queue", t.ID()))
	}
	if len(q.nodes) >= q.bound {
		return q.full(fmt.Sprintf("the queue has reached its bound of %d tasks", q.bound))
	}
	if q.teamBound > 0 && q.teams[t.Team()] >= q.teamBound {
		return q.full(fmt.Sprintf("team %s has reached its bound of %d tasks in the queue", t.Team(), q.teamBound))
	}
	q.seq++
	n := &node{task: t, seq: q.seq}
	q.nodes[t.ID()] = n
	q.pools[t.Pool()]++
	q.teams[t.Team()]++
	if q.pass != nil {
		q.pass.pending = append(q.pass.pending, n)
	} else {
		q.link(n)
	}
	if t.MaxWait() > 0 {
		q.deadlines.add(n, now+t.MaxWait())
	}
	return nil
}

func (q *Queue) full(reason string) *anvilerror.Error {
	return anvilerror.Refuse(anvilerror.QueueFull, reason, anvilerror.WithRetry(q.retry))
}

// Remove takes a task out of the queue and returns it, or false when no task with the id waits. Its average
// cost doesn't depend on the number of tasks.
func (q *Queue) Remove(id string) (*anviltask.Task, bool) {
	n := q.nodes[id]
	if n == nil {
		return nil, false
	}
	q.drop(n)
	q.deadlines.remove(n)
	return n.task, true
}

func (q *Queue) drop(n *node) {
	delete(q.nodes, n.task.ID())
	decrement(q.pools, n.task.Pool())
	decrement(q.teams, n.task.Team())
	q.unlink(n)
}

func decrement(m map[string]int, key string) {
	m[key]--
	if m[key] == 0 {
		delete(m, key)
	}
}

// RemoveExpired removes and returns the tasks whose deadline has passed, the earliest first.
func (q *Queue) RemoveExpired(now anvilclock.Millis) []*anviltask.Task {
	var out []*anviltask.Task
	for n := q.deadlines.popDue(now); n != nil; n = q.deadlines.popDue(now) {
		q.drop(n)
		out = append(out, n.task)
	}
	return out
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return len(q.nodes) }

// LenPool returns the number of waiting tasks for a pool.
func (q *Queue) LenPool(pool string) int { return q.pools[pool] }

// LenTeam returns the number of waiting tasks of a team.
func (q *Queue) LenTeam(team string) int { return q.teams[team] }

// Has reports whether a task with the id is in the queue.
func (q *Queue) Has(id string) bool { return q.nodes[id] != nil }
