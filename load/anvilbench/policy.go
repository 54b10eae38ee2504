package anvilbench

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilplacement"
	"anvilhold.org/lib/anvilqueue"
	"anvilhold.org/lib/anvilshare"
	"anvilhold.org/lib/anviltask"
)

// queue has the methods of anvilqueue.Queue that trials use, so that a policy may replace it.
type queue interface {
	Push(t *anviltask.Task, now anvilclock.Millis) *anvilerror.Error
	RemoveExpired(now anvilclock.Millis) []*anviltask.Task
	Pass(now anvilclock.Millis, try func(*anviltask.Task) anvilqueue.Verdict) int
}

// policy selects the parts of the scheduler that a trial uses. Each baseline differs from anvilhold's own policy in
// one part only.
type policy struct {
	name         string
	newPlacement func(seed uint64) anvilplacement.Policy
	newQueue     func(*anvilshare.Tree) queue
	health       bool // failing workers are quarantined
	headroom     bool // capacity is kept free for calls
	own          bool // the policy that anvilhold uses
}

func indexedPlacement(uint64) anvilplacement.Policy { return anvilplacement.Indexed() }

func fairQueue(t *anvilshare.Tree) queue { return anvilqueue.New(anvilqueue.WithShare(t)) }

// ownName is the name of the policy that anvilhold uses.
const ownName = "anvilhold"

func policies() []policy {
	own := policy{name: ownName, newPlacement: indexedPlacement, newQueue: fairQueue, health: true, headroom: true, own: true}
	with := func(name string, change func(*policy)) policy {
		p := own
		p.name = name
		p.own = false
		change(&p)
		return p
	}
	return []policy{
		own,
		with("first-fit", func(p *policy) {
			p.newPlacement = func(uint64) anvilplacement.Policy { return anvilplacement.FirstFit() }
		}),
		with("random", func(p *policy) { p.newPlacement = anvilplacement.Random }),
		with("round-robin", func(p *policy) {
			p.newPlacement = func(uint64) anvilplacement.Policy { return anvilplacement.RoundRobin() }
		}),
		with("scan", func(p *policy) { p.newPlacement = func(uint64) anvilplacement.Policy { return anvilplacement.Scan() } }),
		with("fifo", func(p *policy) { p.newQueue = func(*anvilshare.Tree) queue { return &fifo{} } }),
		with("no-share", func(p *policy) { p.newQueue = func(*anvilshare.Tree) queue { return anvilqueue.New() } }),
		with("no-health", func(p *policy) { p.health = false }),
		with("no-headroom", func(p *policy) { p.headroom = false }),
	}
}

// fifo is a queue that offers tasks strictly in the order of arrival: a task that can't be placed blocks all later
// tasks for its pool.
type fifo struct {
	tasks []queuedTask
}

type queuedTask struct {
	task     *anviltask.Task
	deadline anvilclock.Millis
}

func (f *fifo) Push(t *anviltask.Task, now anvilclock.Millis) *anvilerror.Error {
	q := queuedTask{task: t}
	if t.MaxWait() > 0 {
		q.deadline = now + t.MaxWait()
	}
	f.tasks = append(f.tasks, q)
	return nil
}

func (f *fifo) RemoveExpired(now anvilclock.Millis) []*anviltask.Task {
	var expired []*anviltask.Task
	remaining := f.tasks[:0]
	for _, q := range f.tasks {
		if q.deadline > 0 && q.deadline <= now {
			expired = append(expired, q.task)
		} else {
			remaining = append(remaining, q)
		}
	}
	f.tasks = remaining
	return expired
}

func (f *fifo) Pass(_ anvilclock.Millis, try func(*anviltask.Task) anvilqueue.Verdict) int {
	blocked := map[string]bool{}
	placed := 0
	var remaining []queuedTask
	for _, q := range f.tasks {
		if !blocked[q.task.Pool()] && try(q.task) == anvilqueue.Placed {
			placed++
			continue
		}
		blocked[q.task.Pool()] = true
		remaining = append(remaining, q)
	}
	f.tasks = remaining
	return placed
}
