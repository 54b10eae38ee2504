package anvilcontrol

import (
	"testing"

	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// running returns the sum of the sizes of team a's tasks that run or are held.
func (c *cell) running() anvilsize.Size {
	var sum anvilsize.Size
	for _, w := range c.workers {
		for _, f := range w.tasks {
			if f.start.task.Team() == "a" {
				sum = sum.Add(f.start.task.Size())
			}
		}
	}
	return sum
}

// assertLimit runs the cell for d milliseconds and checks in every tick that team a stays within a limit.
func assertLimit(t *testing.T, c *cell, limit anvilsize.Size, d int64) {
	t.Helper()
	for ; d > 0; d -= 25 {
		c.runWithReplies(25)
		if sum := c.running(); !sum.Fits(limit) {
			t.Fatalf("the team has %s running, its limit is %s", sum, limit)
		}
	}
}

func (c *cell) submitMany(n *node, count int, opts ...anviltask.Option) {
	for range count {
		c.submit(n, c.batch(append([]anviltask.Option{anviltask.WithRunTime(700)}, opts...)...))
	}
}

func TestLimit(t *testing.T) {
	limit := anvilsize.New(6000, 8192, 0)
	start := func(t *testing.T) (c *cell, first, second *node) {
		c, first, second = startCell(t)
		c.contract(limit)
		c.runWithReplies(8000) // by then the allocations of the former limit have been released
		return c, first, second
	}
	t.Run("holds across owners", func(t *testing.T) {
		c, first, second := start(t)
		c.submitMany(first, 30)
		c.submitMany(second, 30)
		assertLimit(t, c, limit, 10_000)
	})
	t.Run("holds when an owner's process exits", func(t *testing.T) {
		c, first, second := start(t)
		c.submitMany(first, 30, anviltask.WithRunTime(3000))
		assertLimit(t, c, limit, 1500)
		second.exited = true
		c.submitMany(first, 30)
		assertLimit(t, c, limit, 15_000)
	})
	t.Run("holds when answers of the table are lost", func(t *testing.T) {
		c, first, second := start(t)
		for range 5 {
			c.submitMany(first, 8)
			c.submitMany(second, 8)
			assertLimit(t, c, limit, 400)
			c.table.loseAnswers = true
			assertLimit(t, c, limit, 800)
			c.table.loseAnswers = false
		}
		assertLimit(t, c, limit, 4000)
	})
	t.Run("nothing starts above a lowered limit", func(t *testing.T) {
		c, first, _ := start(t)
		c.submitMany(first, 40, anviltask.WithRunTime(2000))
		c.runWithReplies(1500)
		low := anvilsize.New(2000, 8192, 0)
		c.contract(low)
		c.runWithReplies(6000)
		assertLimit(t, c, low, 6000)
	})
}

func TestHome(t *testing.T) {
	c := newCell(t)
	first, second := c.addNode("e1", "d1"), c.addNode("e2", "d2")
	for _, id := range []string{"w1", "w2", "w3", "w4"} {
		c.addWorker(id, "d"+id[1:], smallWorker)
	}
	c.contract(anvilsize.New(16000, 32768, 0))
	c.runWithReplies(8000)
	task := c.call(anviltask.WithNonIdempotent(true))
	home, err := first.loop.homeOf(task)
	if err != nil {
		t.Fatal(err)
	}
	t.Run("the same at every instance", func(t *testing.T) {
		other, err := second.loop.homeOf(task)
		if err != nil || other.Name() != home.Name() {
			t.Fatalf("got home %s (%v), want %s", other.Name(), err, home.Name())
		}
	})
	t.Run("kept when the platform's registry loses its workers", func(t *testing.T) {
		for _, w := range c.workers {
			w.unregistered = true
		}
		c.runWithReplies(2000)
		after, err := first.loop.homeOf(task)
		if err != nil || after.Name() != home.Name() {
			t.Fatalf("got home %s (%v), want %s", after.Name(), err, home.Name())
		}
	})
	t.Run("service requests are answered while the registry is empty", func(t *testing.T) {
		assertAnswerSoon(t, c, c.submit(first, c.call()))
	})
	assertInvariants(t, c)
}

func TestAcceptOnce(t *testing.T) {
	c, first, second := startCell(t)
	task := c.batch(anviltask.WithRunTime(500))
	one := c.submit(first, task)
	c.runWithReplies(300)
	two := c.submit(second, task)
	c.runWithReplies(3000)
	got := assertAccepted(t, one)
	if again := assertAccepted(t, two); again != got {
		t.Errorf("the second request got id %s, want %s", again, got)
	}
	third := c.submit(second, task)
	c.runWithReplies(500)
	if again := assertAccepted(t, third); again != got {
		t.Errorf("the request after the end of the task got id %s, want %s", again, got)
	}
	assertStarts(t, c, task.ID(), 1)
}

func TestConfirmation(t *testing.T) {
	t.Run("lost by a partitioned instance", func(t *testing.T) {
		c, first, second := startCell(t)
		first.partitioned = true
		c.runWithReplies(4000)
		if first.loop.View().Confirmed() {
			t.Error("the partitioned instance still trusts keys")
		}
		if !second.loop.View().Confirmed() {
			t.Error("the other instance doesn't trust keys")
		}
		assertOutcome(t, c.submit(first, c.call()), anvilerror.NotRun)
	})
	t.Run("kept while no instance reaches the table", func(t *testing.T) {
		c, first, second := startCell(t)
		c.table.down = true
		for range 20 {
			c.runWithReplies(1000)
			if !first.loop.View().Confirmed() || !second.loop.View().Confirmed() {
				t.Fatal("an instance doesn't trust keys in an outage of the table for all instances")
			}
		}
	})
	t.Run("kept while the table is down and a peer's process has exited", func(t *testing.T) {
		c, first, second := startCell(t)
		c.table.down = true
		c.runWithReplies(2000)
		second.exited = true
		c.runWithReplies(10_000)
		if !first.loop.View().Confirmed() {
			t.Error("the remaining instance doesn't trust keys")
		}
	})
	t.Run("lost while the table is down and a peer doesn't answer", func(t *testing.T) {
		c, first, second := startCell(t)
		c.table.down = true
		second.paused, second.unresponsive = true, true
		c.runWithReplies(6000)
		if first.loop.View().Confirmed() {
			t.Error("keys are trusted although the unresponsive peer may reach the table")
		}
	})
}

func TestLeavingWorker(t *testing.T) {
	c, first, _ := startCell(t)
	c.submitMany(first, 8, anviltask.WithRunTime(20_000))
	c.runWithReplies(2000)
	leaving := c.workers["w1"]
	leaving.leaving = true
	c.runWithReplies(4000)
	before := total(leaving.starts)
	c.submitMany(first, 8)
	c.runWithReplies(3000)
	if after := total(leaving.starts); after != before {
		t.Errorf("%d tasks were started on a worker that is leaving", after-before)
	}
	if n := len(leaving.tasks); n > 0 {
		t.Errorf("%d batch tasks were left on a worker that is leaving", n)
	}
}

func total(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}
