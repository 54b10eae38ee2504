package anvilqueue

import (
	"container/heap"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviltask"
)

// Verdict is what the caller of Pass decides about an offered task.
type Verdict int

// The verdicts. A task that is not placed stays in the queue.
const (
	Placed     Verdict = iota // the task was placed and leaves the queue
	NoCapacity                // the pass skips tasks of the pool and kind that are at least as large
	OverLimit                 // the pass skips the team's tasks, or only those for the task's home shard
	Skip                      // the pass skips only this task
	Stop                      // the pass ends
)

type limitKey struct {
	team  string
	shard string
}

// pass holds the tries that are left in the current pass, the limits that exclude tasks from the rest of it, and the
// lanes whose cursors are reset after it.
type pass struct {
	tries     int
	skips     int
	number    uint64
	overLimit map[limitKey]bool
	lanes     []*lane
	pending   []*node
}

// Pass calls try for waiting tasks, in this order: urgent tasks first, then calls and services, then the
// others. Within each of these ranks the team and workspace with the smallest share come first and the empty
// team comes last; within a workspace tasks come in the order of arrival. Tasks whose deadline has passed are
// skipped. Pass returns the number of tasks placed. try may change the queue; tasks that it pushes are offered
// in the next pass. A nested call of Pass does nothing.
func (q *Queue) Pass(now anvilclock.Millis, try func(*anviltask.Task) Verdict) int {
	if len(q.nodes) == 0 || q.pass != nil {
		return 0
	}
	q.passes++
	p := &pass{tries: q.maxTries, skips: q.maxTries * skipsPerTry, number: q.passes}
	q.pass = p
	placed := 0
	for _, r := range q.ranks {
		n, more := q.passRank(r, now, try)
		placed += n
		if !more {
			break
		}
	}
	q.pass = nil
	q.restore(p)
	return placed
}

func (q *Queue) passRank(r *rank, now anvilclock.Millis, try func(*anviltask.Task) Verdict) (placed int, more bool) {
	teams := q.teamsByShare(r)
	for len(teams) > 0 {
		l := q.nextLane(teams[0])
		if q.pass.skips <= 0 || q.pass.tries <= 0 {
			return placed, false
		}
		if l == nil {
			heap.Pop(&teams)
			continue
		}
		n := l.cursor
		if n.deadline > 0 && n.deadline <= now {
			q.pass.skips--
			q.advance(l)
			continue
		}
		q.pass.tries--
		v := try(n.task)
		if v == Stop {
			return placed, false
		}
		if q.apply(n, v) {
			placed++
			q.refreshShare(l.workspace)
			heap.Fix(&teams, 0)
		}
	}
	return placed, true
}

// teamsByShare returns the teams of a rank as a heap. Each share is read once in a pass and again after the
// team was served.
func (q *Queue) teamsByShare(r *rank) teamHeap {
	q.heap = q.heap[:0]
	for _, tm := range r.teams {
		if q.pass.overLimit[limitKey{tm.name, ""}] && q.share != nil {
			continue
		}
		if q.share != nil {
			tm.share = q.share.WeightedShare(tm.name)
		}
		q.heap = append(q.heap, tm)
	}
	teams := q.heap
	heap.Init(&teams)
	return teams
}

// refreshShare reads the team's share again and marks that of the workspace to be read again.
func (q *Queue) refreshShare(ws *workspace) {
	ws.shareRead = false
	if q.share != nil {
		ws.team.share = q.share.WeightedShare(ws.team.name)
	}
}

// nextLane returns the lane of a team to offer next, or nil when the pass skips all of them. On a full fleet
// most teams have no lane with capacity, so the shares of workspaces are read only when there is a choice.
func (q *Queue) nextLane(tm *team) *lane {
	var best *workspace
	for _, ws := range tm.workspaces {
		if ws.pass != q.pass.number {
			ws.pass, ws.next, ws.shareRead = q.pass.number, 0, false
		}
		for ws.next < len(ws.lanes) && q.pass.skips > 0 && q.pass.excluded(ws.lanes[ws.next]) {
			ws.next++
			q.pass.skips--
		}
		if q.pass.skips <= 0 {
			return nil
		}
		if ws.next < len(ws.lanes) && (best == nil || q.less(ws, best)) {
			best = ws
		}
	}
	if best == nil {
		return nil
	}
	return best.lanes[best.next]
}

func (q *Queue) less(a, b *workspace) bool {
	sa, sb := q.shareOf(a), q.shareOf(b)
	return sa < sb || sa == sb && a.lastServed < b.lastServed
}

func (q *Queue) shareOf(ws *workspace) float64 {
	if q.share != nil && !ws.shareRead {
		ws.shareRead, ws.share = true, q.share.WeightedWorkspaceShare(ws.team.name, ws.name)
	}
	return ws.share
}

// apply carries out the verdict on a task, which try may have removed. It reports whether the task was placed.
func (q *Queue) apply(n *node, v Verdict) bool {
	if q.nodes[n.task.ID()] != n {
		return v == Placed
	}
	l := n.lane
	switch v {
	case Placed:
		q.seq++
		l.workspace.lastServed, l.workspace.team.lastServed = q.seq, q.seq
		q.drop(n)
		q.deadlines.remove(n)
		return true
	case NoCapacity:
		q.pass.excludeShape(l.key.state)
	case OverLimit:
		q.pass.excludeOverLimit(l)
	default:
		q.advance(l)
	}
	return false
}

func (p *pass) excludeShape(st *shapeState) {
	g := st.group
	if g.pass != p.number {
		g.pass, g.failed = p.number, g.failed[:0]
	}
	g.failed = append(g.failed, &st.shape)
}

// excludeOverLimit excludes the team for the rest of the pass, or only its tasks for the home shard if the task
// has one.
func (p *pass) excludeOverLimit(l *lane) {
	if p.overLimit == nil {
		p.overLimit = map[limitKey]bool{}
	}
	p.overLimit[limitKey{l.key.team, l.key.state.shape.shard}] = true
}

func (p *pass) excluded(l *lane) bool {
	st := l.key.state
	if len(p.overLimit) > 0 && (p.overLimit[limitKey{l.key.team, ""}] || p.overLimit[limitKey{l.key.team, st.shape.shard}]) {
		return true
	}
	g := st.group
	if g.pass != p.number {
		return false
	}
	if st.pass != p.number {
		st.pass, st.compared, st.excluded = p.number, 0, false
	}
	for ; st.compared < len(g.failed) && !st.excluded; st.compared++ {
		st.excluded = g.failed[st.compared].covers(&st.shape)
	}
	return st.excluded
}

// saveCursor records that the cursor of a lane has to be reset after the pass.
func (q *Queue) saveCursor(l *lane) {
	if q.pass != nil && l.pass != q.pass.number {
		l.pass = q.pass.number
		q.pass.lanes = append(q.pass.lanes, l)
	}
}

// restore resets the cursors that the pass moved, and adds the tasks pushed during the pass to their lanes.
func (q *Queue) restore(p *pass) {
	for _, l := range p.lanes {
		if l.head == nil || l.cursor == l.head {
			continue
		}
		if l.cursor != nil {
			l.workspace.remove(l)
		}
		l.cursor = l.head
		l.workspace.insert(l)
	}
	for _, n := range p.pending {
		if q.nodes[n.task.ID()] == n {
			q.link(n)
		}
	}
}

// teamHeap orders teams by share. The empty team, which holds the tasks of the open queues, comes last.
type teamHeap []*team

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if (a.name == "") != (b.name == "") {
		return b.name == ""
	}
	if a.share != b.share {
		return a.share < b.share
	}
	return a.lastServed < b.lastServed
}

func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(*team)) }

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	old := *h
	tm := old[len(old)-1]
	*h = old[:len(old)-1]
	return tm
}
