package anvilcontrol

import (
	"testing"

	"anvilhold.org/lib/anviltask"
)

// workersWith returns the workers on which a task is at work.
func (c *cell) workersWith(id string) []*fakeWorker {
	var out []*fakeWorker
	for _, w := range c.workers {
		for _, run := range w.ids() {
			if taskID(run) == id {
				out = append(out, w)
			}
		}
	}
	return out
}

// Guards against a second run of a task while its first one is at work: fences that a worker carries out without an answer
// extend its lease, too.
func TestLeaseOfWorkerWhoseAnswersAreLost(t *testing.T) {
	c, first, _ := startCell(t)
	task := c.batch(anviltask.WithRunTime(60_000))
	reply := c.submit(first, task)
	c.runWithReplies(1500)
	assertAccepted(t, reply)
	hosts := c.workersWith(task.ID())
	if len(hosts) != 1 {
		t.Fatalf("the task is at work on %d workers", len(hosts))
	}
	hosts[0].loseAnswers = true
	for range 20 {
		c.runWithReplies(1000)
		if n := len(c.workersWith(task.ID())); n > 1 {
			t.Fatalf("the task is at work on %d workers", n)
		}
	}
}
