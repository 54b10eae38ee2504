package anvilscheduler

import (
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// setEntry replaces the registry's entry of a worker.
func (fc *fakeCluster) setEntry(id string, change func(Registration) Registration) {
	for i, r := range fc.registry {
		if r.id == id {
			fc.registry[i] = change(r)
		}
	}
}

// Guards against an unreadable entry, which another writer left under the id of a worker, that counts as proof that the
// worker has left.
func TestUnreadableEntry(t *testing.T) {
	for name, draining := range map[string]bool{"of a draining worker": true, "of a worker that serves": false} {
		t.Run(name, func(t *testing.T) {
			fc, h := started(t, "w1")
			fc.submit("j1", plainQueue, teamName, anviljob.NewStep(2, core(1)))
			fc.advance(reactionTime, h)
			assertRunning(t, fc, "j1.0.0.0", "j1.0.0.1")
			fc.addWorker("w2", core(4))
			if draining {
				fc.setEntry("w1", func(r Registration) Registration { return r.Draining(60_000) })
				fc.advance(reactionTime, h)
			}
			fc.setEntry("w1", func(Registration) Registration { return NewUnreadable("w1") })
			fc.advanceWorking(5000, h)
			// The cluster fails the test when a task starts while its earlier run is alive.
			assertRunning(t, fc, "j1.0.0.0", "j1.0.0.1")
			fc.submit("j2", plainQueue, "", anviljob.NewStep(1, core(1)))
			fc.advance(reactionTime, h)
			assertEqual(t, "worker of the next task", fc.workerOf("j2.0.0.0").id, "w2")
		})
	}
	t.Run("under an unknown id", func(t *testing.T) {
		fc, h := started(t, "w1")
		fc.registry = append(fc.registry, NewUnreadable("odd"))
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(4, core(1)))
		fc.advance(reactionTime, h)
		assertEqual(t, "running tasks", len(fc.running()), 4)
		assertEqual(t, "known workers", len(h.loop.fleet.byID), 1)
	})
}

// advanceWorking advances the cluster for a duration in which all runs make progress.
func (fc *fakeCluster) advanceWorking(d anvilclock.Millis, h *harness) {
	const step = anvilclock.Millis(500)
	for ; d > 0; d -= step {
		for _, fw := range fc.workers {
			for _, r := range fw.runs {
				r.percent += 3
			}
		}
		fc.advance(step, h)
	}
}

// Guards against work that is started again because the registry has lost a draining worker that still runs: an entry is
// also removed when the worker could not renew it.
func TestDrainingWorkerWithoutEntry(t *testing.T) {
	start := func(t *testing.T) (*fakeCluster, *harness) {
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(2, core(1)))
		fc.advance(reactionTime, h)
		fc.addWorker("w2", core(4))
		fc.setEntry("w1", func(r Registration) Registration { return r.Draining(60_000) })
		fc.advance(reactionTime, h)
		fc.registry = fc.registry[1:]
		return fc, h
	}
	t.Run("that answers", func(t *testing.T) {
		fc, h := start(t)
		fc.advanceWorking(12_000, h)
		assertRunning(t, fc, "j1.0.0.0", "j1.0.0.1")
		assertEqual(t, "starts at the other worker", fc.workers["w2"].starts, 0)
	})
	t.Run("that doesn't answer", func(t *testing.T) {
		fc, h := start(t)
		fc.workers["w1"].unreachable = true
		fc.advance(2*reactionTime, h)
		assertEqual(t, "starts at the other worker", fc.workers["w2"].starts, 0)
		fc.advanceWorking(12_000, h)
		assertEqual(t, "starts at the other worker after the lease", fc.workers["w2"].starts, 2)
	})
}
