package anvilcontrol

import (
	"testing"

	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// takeover is a cell in which the owner of an accepted task exits while the task runs. A second worker of the shard does
// not answer, so the next owner has adopted the runs and can't reconcile the shard yet.
type takeover struct {
	*cell
	task   *anviltask.Task
	id     string
	next   *node
	hosts  []*fakeWorker // the workers that run the task
	silent *fakeWorker
}

func startTakeover(t *testing.T, task func(c *cell) *anviltask.Task) *takeover {
	t.Helper()
	c := newCell(t)
	c.addNode("e1", "d1")
	c.addNode("e2", "d1")
	for _, id := range []string{"w1", "w2", "w3", "w4", "w5", "w6"} {
		c.addWorker(id, "d1", smallWorker)
	}
	c.contract(anvilsize.New(48_000, 98_304, 0))
	c.runWithReplies(8000)
	t.Cleanup(func() { assertInvariants(t, c) })
	k := &takeover{cell: c, task: task(c)}
	reply := c.submit(c.nodes["e1"], k.task)
	c.runWithReplies(1500)
	k.id = assertAccepted(t, reply)
	owner := c.owner(t, k.id)
	k.next = c.other(owner)
	name, _ := anviltask.SplitID(k.id)
	for id := range owner.loop.shards[name].workers {
		if w := c.workers[id]; w.starts[k.task.ID()] > 0 {
			k.hosts = append(k.hosts, w)
		} else if k.silent == nil {
			k.silent = w
		}
	}
	if len(k.hosts) == 0 || k.silent == nil {
		t.Fatalf("shard %s has %d workers with the task, silent: %v", name, len(k.hosts), k.silent)
	}
	owner.exited = true
	k.silent.unresponsive = true
	for range 400 {
		c.runWithReplies(25)
		if s := k.next.loop.shards[name]; s.owned() && len(s.adoptedRuns[k.task.ID()]) == k.task.Count() {
			return k
		}
	}
	t.Fatal("the next owner has not adopted the task")
	return nil
}

// end ends n of the task's runs in a state, as the worker's own decision.
func (k *takeover) end(state string, n int) {
	for _, w := range k.hosts {
		for _, id := range w.ids() {
			if f := w.tasks[id]; n > 0 && taskID(id) == k.task.ID() {
				n--
				w.finish(f, state, nil)
			}
		}
	}
}

// reconcile makes the silent worker answer again.
func (k *takeover) reconcile(t *testing.T) {
	t.Helper()
	k.silent.unresponsive = false
	for range 400 {
		k.runWithReplies(25)
		if name, _ := anviltask.SplitID(k.id); k.next.loop.shards[name].reconciled {
			return
		}
	}
	t.Fatal("the next owner has not reconciled the shard")
}

// assertEnds checks that the task ends in a state after the given number of starts.
func (k *takeover) assertEnds(t *testing.T, state string, starts int) {
	t.Helper()
	k.runWithReplies(60_000)
	assertState(t, k.cell, k.next, k.id, state)
	assertStarts(t, k.cell, k.task.ID(), starts)
}

// Guards against a task whose run ends between its adoption and the reconciliation of the shard, or just after it, and
// that is believed to run for ever.
func TestEndDuringTakeover(t *testing.T) {
	batch := func(c *cell) *anviltask.Task { return c.batch(anviltask.WithRunTime(20_000)) }
	once := func(c *cell) *anviltask.Task {
		return c.batch(anviltask.WithRunTime(20_000), anviltask.WithNonIdempotent(true))
	}
	for _, tc := range []struct {
		name, state string
		task        func(c *cell) *anviltask.Task
		want        string
		starts      int
	}{
		{"done", reportDone, batch, reportDone, 1},
		{"failed", reportFailed, batch, reportDone, 2},
		{"stopped", reportStopped, batch, reportDone, 2},
		{"checkpointed", reportCheckpointed, batch, reportDone, 2},
		{"not run", reportNotRun, batch, reportDone, 2},
		{"done, non-idempotent", reportDone, once, reportDone, 1},
		{"failed, non-idempotent", reportFailed, once, reportFailed, 1},
		{"stopped, non-idempotent", reportStopped, once, "unknown", 1},
	} {
		t.Run(tc.name+" before the reconciliation", func(t *testing.T) {
			k := startTakeover(t, tc.task)
			k.end(tc.state, 1)
			k.runWithReplies(1500)
			k.reconcile(t)
			k.assertEnds(t, tc.want, tc.starts)
		})
		t.Run(tc.name+" after the reconciliation", func(t *testing.T) {
			k := startTakeover(t, tc.task)
			k.reconcile(t)
			k.end(tc.state, 1)
			k.assertEnds(t, tc.want, tc.starts)
		})
	}
	t.Run("the worker restarts before the reconciliation", func(t *testing.T) {
		k := startTakeover(t, batch)
		k.hosts[0].restart()
		k.runWithReplies(1500)
		k.reconcile(t)
		k.assertEnds(t, reportDone, 2)
	})
	t.Run("the worker restarts before the reconciliation, non-idempotent", func(t *testing.T) {
		k := startTakeover(t, once)
		k.hosts[0].restart()
		k.runWithReplies(1500)
		k.reconcile(t)
		k.assertEnds(t, "unknown", 1)
	})
}

// Guards against a gang job of which some tasks end during a takeover, and that runs again although all of its tasks
// have ended as done, or is believed to run for ever.
func TestGangEndDuringTakeover(t *testing.T) {
	gang := func(c *cell) *anviltask.Task {
		return anviltask.New(c.newID(), anviltask.Gang, "layout", anviltask.WithTeam("a", ""), anviltask.WithSize(oneCore),
			anviltask.WithCount(3), anviltask.WithRunTime(20_000))
	}
	for _, tc := range []struct {
		name, state string
		ended       int
		starts      int
	}{
		{"one done", reportDone, 1, 3},
		{"all done", reportDone, 3, 3},
		{"one failed", reportFailed, 1, 6},
		{"one stopped", reportStopped, 1, 6},
		{"all stopped", reportStopped, 3, 6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			k := startTakeover(t, gang)
			k.end(tc.state, tc.ended)
			k.runWithReplies(1500)
			k.reconcile(t)
			k.assertEnds(t, reportDone, tc.starts)
		})
	}
	t.Run("all done before the owner wrote it", func(t *testing.T) {
		k := startTakeover(t, gang)
		k.end(reportDone, 3)
		k.next.exited = true
		third := k.addNode("e3", "d1")
		k.silent.unresponsive = false
		k.runWithReplies(12_000)
		k.next = third
		k.assertEnds(t, reportDone, 3)
	})
}

// Guards against the end of an earlier run that hides the end of the last one in the workers' lists.
func TestLastEnd(t *testing.T) {
	s := &shard{formerEnds: map[string][]formerEnd{}}
	for _, e := range []formerEnd{
		{run: "t/2.7", outcome: outcomeDone}, {run: "t/3.9", outcome: outcomeFailed}, {run: "u/1.3", outcome: outcomeCheckpointed},
		{run: "u/1.12", outcome: outcomeStopped}, {run: "u/1.4", outcome: outcomeFailed},
		{run: "v/other", outcome: outcomeFailed}, {run: "g.1/1.5", outcome: outcomeDone}, {run: "g.0/1.9", outcome: outcomeDone},
		{run: "g.1/1.10", outcome: outcomeDone},
	} {
		s.addFormerEnd(e)
	}
	for id, want := range map[string]string{"t": "t/2.7", "u": "u/1.12", "v": "v/other"} {
		t.Run(id, func(t *testing.T) {
			if e, ok := s.lastEnd(id); !ok || e.run != want {
				t.Errorf("got %q, want %q", e.run, want)
			}
		})
	}
	t.Run("members of one start", func(t *testing.T) {
		if n := s.doneMembers("g", startOf("g.0/1.9")); n != 2 {
			t.Errorf("got %d done members of the second start, want 2", n)
		}
	})
}

// Guards against an adopted task that stays running although nothing is known to run it.
func TestCheckAdopted(t *testing.T) {
	k := startTakeover(t, func(c *cell) *anviltask.Task { return c.batch(anviltask.WithRunTime(20_000)) })
	k.reconcile(t)
	k.next.loop.jobs[k.task.ID()].runs = nil
	k.runWithReplies(1500)
	if len(k.violations) != 1 {
		t.Errorf("got violations %q, want one", k.violations)
	}
	k.violations = nil
	k.assertEnds(t, reportDone, 2)
}
