package anvilscheduler

import (
	"fmt"
	"testing"

	"anvilhold.org/lib/anviladmission"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
)

// refuses reports whether an instance would refuse a quick job with a number of tasks.
func (h *harness) refuses(t *testing.T, tasks int) bool {
	t.Helper()
	spec, err := anviljob.NewSpec("payload", []anviljob.Step{anviljob.NewStep(tasks, core(2), anviljob.WithEstimate(quickLength))}, anviljob.Repeat{})
	if err != nil {
		t.Fatal(err)
	}
	q, _ := h.loop.state.policy.Queue(quickQueue)
	_, refused := anviladmission.NewGate().Refuses(h.loop.Backlog(), h.cluster.clock.Now(), "id", q, spec)
	return refused
}

// overload submits for a time quick jobs that need several times the capacity, except those that a gate refuses, and returns how
// many it refuses.
func (b *burstLoad) overload(duration anvilclock.Millis, refuses func(tasks int) bool) int {
	refused := 0
	for at := anvilclock.Millis(0); at < duration; at += 25 {
		for i := range 3 {
			tasks := 1 + (int(at/25)+i)%8
			if refuses(tasks) {
				refused++
				continue
			}
			b.submit("", fmt.Sprintf("q%05d-%d", at, i), tasks, quickLength)
		}
		b.advance()
	}
	return refused
}

func accepts(int) bool { return false }

// Guards against refusals where the settings don't ask for them.
func TestNoRefusalsByDefault(t *testing.T) {
	b := newBurstLoad(t)
	b.harness.loop.refusals = false
	assertEqual(t, "refused", b.overload(3000, func(tasks int) bool { return b.harness.refuses(t, tasks) }), 0)
}

// Guards against jobs that are accepted in overload although they can't get capacity, against refusals of those that can, and
// against instances that do not know what the leader knows.
func TestBacklogOfOverload(t *testing.T) {
	b := newBurstLoad(t)
	follower := b.cluster.newHarness("e2", WithRefusals())
	assertEqual(t, "refusal while there is capacity", b.harness.refuses(t, 8), false)
	b.overload(3500, accepts)
	assertEqual(t, "refusal of a large job", b.harness.refuses(t, 8), true)
	assertEqual(t, "refusal of a small job", b.harness.refuses(t, 1), false)
	b.cluster.advance(reactionTime, b.harness, follower)
	assertEqual(t, "refusal by another instance", follower.refuses(t, 8), true)
	b.cluster.clock.Advance(2000)
	assertEqual(t, "refusal on old knowledge", follower.refuses(t, 8), false)
	b.finish(t)
	assertEqual(t, "refusal after the burst", b.harness.refuses(t, 8), false)
	b.cluster.advance(reactionTime, b.harness, follower)
	assertEqual(t, "refusal by another instance after the burst", follower.refuses(t, 8), false)
}

// Guards against a shortage that other instances keep when no job is left that would make the leader look again.
func TestBacklogAfterCancellation(t *testing.T) {
	for since := anvilclock.Millis(0); since < backlogInterval; since += 50 {
		b := newBurstLoad(t)
		follower := b.cluster.newHarness("e2", WithRefusals())
		b.overload(3500, accepts)
		b.cluster.advance(reactionTime+since, b.harness, follower)
		assertEqual(t, "refusal in overload", follower.refuses(t, 8), true)
		for id := range b.submitted {
			if b.ended[id] == 0 {
				b.cluster.cancel(id)
			}
		}
		b.cluster.advance(3000, b.harness, follower)
		assertEqual(t, "refusal without any job", follower.refuses(t, 8), false)
	}
}

// Guards against refusals that serve nobody: in the same overload, more jobs have to end while they have a value.
func TestRefusalsServeCallers(t *testing.T) {
	const duration = anvilclock.Millis(6000)
	without := newBurstLoad(t)
	without.overload(duration, accepts)
	without.finish(t)
	with := newBurstLoad(t)
	refused := with.overload(duration, func(tasks int) bool { return with.harness.refuses(t, tasks) })
	with.finish(t)
	of := len(with.submitted) + refused
	assertAtLeast(t, "jobs that end while they have a value",
		with.inTime('q', worthlessFactor*quickAim)*len(with.submitted)/of, without.inTime('q', worthlessFactor*quickAim)+1)
}

// Guards against jobs that are lost or wait for ever when the leader fails in overload, and against refusals before the next
// one knows the capacity.
func TestTakeoverInOverload(t *testing.T) {
	b := newBurstLoad(t)
	next := b.cluster.newHarness("e2", WithRefusals())
	b.cluster.advance(reactionTime, b.harness, next)
	b.overload(2500, accepts)
	b.harness.paused = true
	for !next.loop.leading() {
		b.cluster.advance(100, next)
	}
	assertEqual(t, "refusal by the next leader", next.refuses(t, 8), false)
	b.harness = next
	b.finish(t)
}

// Guards against refusals beside free capacity, because work waits for something else than the capacity of the pool.
func TestNoShortageOfCapacity(t *testing.T) {
	limited := anvilpolicy.WithTeams(anvilpolicy.NewTeam("capped", 1000, core(16), []string{"c"}))
	t.Run("a team's limit", func(t *testing.T) {
		b := newBurstLoad(t, limited)
		assertNeverRefused(t, b, func(id string, tasks int) { b.submit("capped", id, tasks, quickLength) })
	})
	t.Run("a team's limit, and long runs of others", func(t *testing.T) {
		b := newBurstLoad(t, limited)
		b.submit("", "l", 68, 60_000)
		assertNeverRefused(t, b, func(id string, tasks int) { b.submit("capped", id, tasks, quickLength) })
	})
	t.Run("a label of one worker", func(t *testing.T) {
		b := newBurstLoad(t)
		b.cluster.addWorker("x", core(8), "special")
		b.cluster.advance(reactionTime, b.harness)
		assertNeverRefused(t, b, func(id string, tasks int) { b.submitLabelled(id, tasks) })
	})
	t.Run("a label of one worker, and long runs of others", func(t *testing.T) {
		b := newBurstLoad(t)
		b.cluster.addWorker("x", core(8), "special")
		b.submit("", "l", 68, 60_000)
		b.cluster.advance(reactionTime, b.harness)
		assertNeverRefused(t, b, func(id string, tasks int) { b.submitLabelled(id, tasks) })
	})
}

func (b *burstLoad) submitLabelled(id string, tasks int) {
	b.submitted[id], b.length[id] = b.cluster.clock.Now(), quickLength
	b.cluster.submit(id, quickQueue, "", anviljob.NewStep(tasks, core(2), anviljob.WithEstimate(quickLength), anviljob.WithLabel("special")))
}

// assertNeverRefused submits quick jobs for a time and fails when another one would be refused.
func assertNeverRefused(t *testing.T, b *burstLoad, submit func(id string, tasks int)) {
	t.Helper()
	for at := anvilclock.Millis(0); at < 3500; at += 25 {
		for i := range 3 {
			submit(fmt.Sprintf("q%05d-%d", at, i), 1+(int(at/25)+i)%8)
		}
		b.advance()
		if b.harness.refuses(t, 8) {
			t.Fatalf("refused after %d ms with %d tasks at work", at, len(b.cluster.running()))
		}
	}
}
