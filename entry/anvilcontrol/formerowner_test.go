package anvilcontrol

import (
	"testing"

	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// cutBackends are the workers as an instance sees them that doesn't reach some of them.
type cutBackends struct {
	*node
	cut map[string]bool
}

// Fence implements Backends.
func (b cutBackends) Fence(ref Ref, addr string, f Fence) {
	if !b.cut[addr] {
		b.node.Fence(ref, addr, f)
		return
	}
	b.cell.queueResult(b.node, func() Message {
		return NewFenceFailure(ref, anvilerror.Refuse(anvilerror.NoOwner, "no answer"))
	})
}

// Guards against a second run of a task whose lease a former owner goes on renewing: it reaches the worker, but
// neither the table nor the others, and the next owner counts the lease from its own takeover.
func TestFormerOwnerStillReachesWorker(t *testing.T) {
	c := newCell(t)
	c.addNode("e1", "d1")
	c.addNode("e2", "d1")
	for _, id := range []string{"w1", "w2", "w3", "w4", "w5", "w6"} {
		c.addWorker(id, "d1", smallWorker)
	}
	c.contract(anvilsize.New(48_000, 98_304, 0))
	c.runWithReplies(8000)
	task := c.batch(anviltask.WithRunTime(120_000))
	reply := c.submit(c.nodes["e1"], task)
	c.runWithReplies(1500)
	id := assertAccepted(t, reply)
	owner := c.owner(t, id)
	next := c.other(owner)
	hosts := c.workersWith(task.ID())
	if len(hosts) != 1 {
		t.Fatalf("the task is at work on %d workers", len(hosts))
	}
	name, _ := anviltask.SplitID(id)
	others := map[string]bool{}
	for worker := range owner.loop.shards[name].workers {
		others[worker] = worker != hosts[0].id
	}
	// A partition of the network: the owner with one worker is on one side, all others are on the other.
	owner.loop.backends = cutBackends{node: owner, cut: others}
	next.loop.backends = cutBackends{node: next, cut: map[string]bool{hosts[0].id: true}}
	owner.partitioned = true
	for range 60 {
		c.runWithReplies(1000)
		if n := len(c.workersWith(task.ID())); n > 1 {
			t.Fatalf("the task is at work on %d workers", n)
		}
	}
	t.Logf("at work on %d workers, on the first one: %v", len(c.workersWith(task.ID())), c.workersWith(task.ID())[0] == hosts[0])
}
