package anvilscheduler

import (
	"context"
	"testing"

	"anvilhold.org/entry/anvilstorage"
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
func (fc *fakeCluster) advanceWorking(d anvilclock.Millis, harnesses ...*harness) {
	const step = anvilclock.Millis(500)
	for ; d > 0; d -= step {
		for _, fw := range fc.workers {
			for _, r := range fw.runs {
				r.percent += 3
			}
		}
		fc.advance(step, harnesses...)
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

// testHeartbeat is the interval at which the workers of these tests renew their entries.
const testHeartbeat = anvilclock.Millis(1500)

// startedDraining returns a cluster whose draining worker w1 has tasks, and whose other worker w2 is idle. The last change
// of the registry that the leader has read is the renewal of w1's entry.
func startedDraining(t *testing.T) (*fakeCluster, *harness) {
	t.Helper()
	fc := newFakeCluster(t, testPolicy())
	fc.addWorker("w1", core(4))
	h := fc.newHarness("e1", WithHeartbeat(testHeartbeat))
	fc.advance(firstClaimTime, h)
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(2, core(1), anviljob.WithEstimate(100)))
	fc.advance(reactionTime, h)
	fc.addWorker("w2", core(4))
	fc.setEntry("w1", func(r Registration) Registration { return r.Draining(60_000) })
	fc.advance(reactionTime, h)
	h.deliverRenewal("w1")
	return fc, h
}

// deliverRenewal delivers the change of a worker's entry, which was written after the last step.
func (h *harness) deliverRenewal(id string) {
	for _, r := range h.cluster.registry {
		if r.id == id {
			h.loop.post(workersRead{token: h.loop.leadership.token, page: NewWorkerPage([]Registration{r}, 0), writtenAfter: h.cluster.clock.Now()})
		}
	}
	h.runUntilIdle()
}

// Guards against a second run of a task while its first one is at work: a network partition can refuse connections, and the
// entry of a worker that doesn't reach the store is removed, so neither shows that a draining worker has exited. The cluster
// fails the test when a task starts while its earlier run is alive.
func TestRefusedConnectionToDrainingWorker(t *testing.T) {
	for name, play := range map[string]func(*fakeCluster, *harness){
		"whose entry is removed after its silence": func(fc *fakeCluster, h *harness) {
			fc.advance(3*testHeartbeat, h)
			fc.registry = fc.registry[1:]
		},
		"whose entry is removed at an unknown time after its renewal": func(fc *fakeCluster, h *harness) {
			h.loop.fleet.byID["w1"].renewedAfter = 0
			fc.registry = fc.registry[1:]
		},
		"whose entry is unreadable, and then removed": func(fc *fakeCluster, h *harness) {
			fc.setEntry("w1", func(Registration) Registration { return NewUnreadable("w1") })
			fc.advance(reactionTime, h)
			fc.registry = fc.registry[1:]
		},
		"whose entry stays": func(*fakeCluster, *harness) {},
	} {
		t.Run(name, func(t *testing.T) {
			fc, h := startedDraining(t)
			fw := fc.workers["w1"]
			fw.refusing = true
			play(fc, h)
			fc.advance(reactionTime, h)
			assertEqual(t, "starts at the other worker", fc.workers["w2"].starts, 0)
			fc.advanceWorking(2*leaseDuration, h)
			assertEqual(t, "starts at the other worker after the lease", fc.workers["w2"].starts, 2)
		})
	}
}

// Guards against waiting for the lease of a draining worker that has left as planned: its entry is removed sooner than that
// of a silent worker.
func TestDepartureOfDrainingWorker(t *testing.T) {
	fc, h := startedDraining(t)
	fw := fc.workers["w1"]
	fw.runs, fw.refusing = map[anviljob.TaskID]*fakeRun{}, true
	fc.registry = fc.registry[1:]
	fc.advance(reactionTime, h)
	assertRunning(t, fc, "j1.0.0.0", "j1.0.0.1")
}

// scriptedRegistry answers each read of the worker registry with the next result. A read takes 100 ms.
type scriptedRegistry struct {
	Registry
	clock   *anvilclock.Manual
	results []error
	end     context.CancelFunc
}

// Workers implements Registry.
func (r *scriptedRegistry) Workers(_ context.Context, after int64, _ anvilclock.Millis) (WorkerPage, error) {
	r.clock.Advance(100)
	if len(r.results) == 0 {
		r.end()
		return WorkerPage{}, errDown
	}
	err := r.results[0]
	r.results = r.results[1:]
	return NewWorkerPage([]Registration{NewDeregistration("w1")}, after+1), err
}

// Guards against a removal that counts as that of a worker that has left, because a change that was read late is taken for
// a new one.
func TestAgeOfRegistryChanges(t *testing.T) {
	fc := newFakeCluster(t, testPolicy())
	h := fc.newHarness("e1")
	ctx, cancel := context.WithCancel(t.Context())
	begin := fc.clock.Now()
	h.loop.registry = &scriptedRegistry{clock: fc.clock, end: cancel, results: []error{
		nil, nil, errDown, nil, anvilstorage.NewError(anvilstorage.Compacted, errDown), nil, nil,
	}}
	h.loop.watchWorkers(ctx, 1, 1)
	var got []anvilclock.Millis
	for len(h.loop.inbox) > 0 {
		if m, ok := (<-h.loop.inbox).(workersRead); ok {
			got = append(got, max(m.writtenAfter-begin, -1))
		}
	}
	// The first changes and those of a whole list have no known age; later ones are no older than the last answered read.
	assertEqual(t, "times after which the changes were written", got, []anvilclock.Millis{-1, 0, 100, -1, 500})
}
