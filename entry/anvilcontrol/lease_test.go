package anvilcontrol

import (
	"fmt"
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

// startOnWorkerWithLostAnswers returns a cell with a batch task, and the worker on which it is at work, whose answers are
// lost from now on.
func startOnWorkerWithLostAnswers(t *testing.T) (*cell, string, *fakeWorker) {
	t.Helper()
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
	return c, task.ID(), hosts[0]
}

// Guards against a second run of a task while its first one is at work: fences that a worker carries out without an answer
// extend its lease, too.
func TestLeaseOfWorkerWhoseAnswersAreLost(t *testing.T) {
	c, id, host := startOnWorkerWithLostAnswers(t)
	for range 20 {
		c.runWithReplies(1000)
		if n := len(c.workersWith(id)); n > 1 {
			t.Fatalf("the task is at work on %d workers", n)
		}
	}
	if now := c.workersWith(id); len(now) != 1 || now[0] == host {
		t.Fatalf("the task did not start on another worker, it is at work on %d", len(now))
	}
}

// Guards against work that is lost although its worker answers again before the lease has expired.
func TestLeaseOfWorkerThatAnswersAgain(t *testing.T) {
	for silence := int64(6500); silence < 7800; silence += 100 {
		t.Run(fmt.Sprintf("after %d ms", silence), func(t *testing.T) {
			c, id, host := startOnWorkerWithLostAnswers(t)
			c.runWithReplies(silence)
			answersInTime := host.leaseExpiry-c.clock.Now() > renewInterval
			host.loseAnswers = false
			c.runWithReplies(4000)
			if now := c.workersWith(id); answersInTime && (len(now) != 1 || now[0] != host || host.starts[id] != 1) {
				t.Fatalf("the task did not go on, it is at work on %d workers", len(now))
			}
		})
	}
}
