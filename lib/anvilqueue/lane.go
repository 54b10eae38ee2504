package anvilqueue

import (
	"cmp"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// The ranks, in the order in which a pass offers them. Long-running services rank with calls: both have short
// deadlines, and behind overnight batch work a service waited for more than a minute.
const (
	urgentRank = iota
	callRank
	otherRank
	ranks
)

func rankOf(t *anviltask.Task) int {
	switch {
	case t.Urgent():
		return urgentRank
	case t.Kind() == anviltask.Call || t.Kind() == anviltask.Service:
		return callRank
	default:
		return otherRank
	}
}

// node is a task in the list of its lane.
type node struct {
	task     *anviltask.Task
	seq      uint64
	deadline anvilclock.Millis
	removed  bool
	lane     *lane
	prev     *node
	next     *node
}

// shape holds the properties of a task that decide whether a worker has capacity for it.
type shape struct {
	pool  string
	kind  anviltask.Kind
	size  anvilsize.Size
	count int
	shard string
}

func shapeOf(t *anviltask.Task) shape {
	return shape{pool: t.Pool(), kind: t.Kind(), size: t.Size(), count: t.Count(), shard: t.Shard()}
}

// covers reports whether a lack of capacity for shape s implies one for shape o of the same pool and kind: o is
// at least as large, and s has the same home shard or none.
func (s *shape) covers(o *shape) bool {
	return (s.shard == "" || s.shard == o.shard) && s.count <= o.count && s.size.Fits(o.size)
}

// shapeState is a shape that some lanes have, with what the current pass knows about capacity for it.
type shapeState struct {
	shape    shape
	lanes    int
	group    *group
	pass     uint64
	compared int // number of failed shapes of the group that have been compared
	excluded bool
}

// group holds the shapes of a pool and kind for which the current pass found no capacity.
type group struct {
	shapes int
	pass   uint64
	failed []*shape
}

type groupKey struct {
	pool string
	kind anviltask.Kind
}

// laneKey identifies a lane within a workspace. Lanes of one workspace have different teams only in a queue
// without shares.
type laneKey struct {
	team  string
	state *shapeState
}

// lane is a list of tasks in the order of arrival. The cursor is the task that the current pass offers next;
// between passes it is the head.
type lane struct {
	key       laneKey
	workspace *workspace
	head      *node
	tail      *node
	cursor    *node
	pass      uint64
}

// workspace holds the lanes of a team's workspace, in the order of their cursors. lastServed orders workspaces
// of equal share: the one that was served longest ago comes first.
type workspace struct {
	name       string
	team       *team
	lastServed uint64
	lanes      []*lane
	byKey      map[laneKey]*lane
	next       int // index of the lane that the current pass offers next
	pass       uint64

	share     float64
	shareRead bool // whether share was read in the current pass
}

// team holds the workspaces of a team. lastServed has the same use as in workspace.
type team struct {
	name       string
	rank       *rank
	lastServed uint64
	workspaces []*workspace
	byName     map[string]*workspace
	share      float64
}

// rank holds the teams that have tasks of one rank.
type rank struct {
	teams  []*team
	byName map[string]*team
}

func (q *Queue) link(n *node) {
	l := q.laneOf(n.task)
	n.lane = l
	n.prev = l.tail
	if l.tail != nil {
		l.tail.next = n
	} else {
		l.head = n
	}
	l.tail = n
	if l.cursor == nil {
		l.cursor = n
		l.workspace.insert(l)
	}
}

func (q *Queue) laneOf(t *anviltask.Task) *lane {
	teamName, workspaceName := t.Team(), t.Workspace()
	if q.share == nil {
		// All tasks of a rank wait in one workspace, which keeps them in the order of arrival.
		teamName, workspaceName = "", ""
	}
	r := q.ranks[rankOf(t)]
	tm := r.byName[teamName]
	if tm == nil {
		tm = &team{name: teamName, rank: r, lastServed: q.seq, byName: map[string]*workspace{}}
		r.byName[teamName] = tm
		r.teams = append(r.teams, tm)
	}
	ws := tm.byName[workspaceName]
	if ws == nil {
		ws = &workspace{name: workspaceName, team: tm, lastServed: q.seq, byKey: map[laneKey]*lane{}}
		tm.byName[workspaceName] = ws
		tm.workspaces = append(tm.workspaces, ws)
	}
	key := laneKey{team: t.Team(), state: q.shapeStateOf(shapeOf(t))}
	l := ws.byKey[key]
	if l == nil {
		l = &lane{key: key, workspace: ws}
		ws.byKey[key] = l
		key.state.lanes++
	}
	return l
}

func (q *Queue) shapeStateOf(s shape) *shapeState {
	st := q.shapes[s]
	if st == nil {
		key := groupKey{s.pool, s.kind}
		g := q.groups[key]
		if g == nil {
			g = &group{}
			q.groups[key] = g
		}
		g.shapes++
		st = &shapeState{shape: s, group: g}
		q.shapes[s] = st
	}
	return st
}

func (q *Queue) unlink(n *node) {
	l := n.lane
	if l == nil {
		return // pushed during the current pass
	}
	if l.cursor == n {
		q.advance(l)
	}
	if n.prev != nil {
		n.prev.next = n.next
	} else {
		l.head = n.next
	}
	if n.next != nil {
		n.next.prev = n.prev
	} else {
		l.tail = n.prev
	}
	if l.head == nil {
		q.discard(l)
	}
}

// advance moves the cursor to the next task. A lane without one is left out of its workspace's list until the
// pass ends.
func (q *Queue) advance(l *lane) {
	q.saveCursor(l)
	l.workspace.remove(l)
	l.cursor = l.cursor.next
	if l.cursor != nil {
		l.workspace.insert(l)
	}
}

func (ws *workspace) find(seq uint64) int {
	i, _ := slices.BinarySearchFunc(ws.lanes, seq, func(l *lane, seq uint64) int { return cmp.Compare(l.cursor.seq, seq) })
	return i
}

func (ws *workspace) insert(l *lane) {
	i := ws.find(l.cursor.seq)
	ws.lanes = slices.Insert(ws.lanes, i, l)
	if i < ws.next {
		ws.next++
	}
}

func (ws *workspace) remove(l *lane) {
	i := ws.find(l.cursor.seq)
	ws.lanes = slices.Delete(ws.lanes, i, i+1)
	if i < ws.next {
		ws.next--
	}
}

// discard removes a lane without tasks, and its workspace and team when they have no lanes left.
func (q *Queue) discard(l *lane) {
	q.releaseShape(l.key.state)
	ws := l.workspace
	delete(ws.byKey, l.key)
	if len(ws.byKey) > 0 {
		return
	}
	tm := ws.team
	delete(tm.byName, ws.name)
	tm.workspaces = without(tm.workspaces, ws)
	if len(tm.workspaces) > 0 {
		return
	}
	delete(tm.rank.byName, tm.name)
	tm.rank.teams = without(tm.rank.teams, tm)
}

func without[T comparable](list []T, x T) []T {
	i := slices.Index(list, x)
	return slices.Delete(list, i, i+1)
}

func (q *Queue) releaseShape(st *shapeState) {
	st.lanes--
	if st.lanes > 0 {
		return
	}
	delete(q.shapes, st.shape)
	st.group.shapes--
	if st.group.shapes == 0 {
		delete(q.groups, groupKey{st.shape.pool, st.shape.kind})
	}
}
