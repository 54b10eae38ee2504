package anvilscheduler

import (
	"testing"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilsize"
)

// started returns a world with workers of 4 cores each, and an instance that is the leader.
func started(t *testing.T, workers ...string) (*world, *rig) {
	t.Helper()
	w := newWorld(t, testPolicy())
	for _, id := range workers {
		w.addWorker(id, core(4))
	}
	r := w.newRig("e1")
	w.pass(firstTime, r)
	if !r.loop.leading() {
		t.Fatal("the only instance is not the leader")
	}
	return w, r
}

func TestPath(t *testing.T) {
	t.Run("steps run in order and the job completes", func(t *testing.T) {
		// Guards against a step that begins before the steps it waits for are done.
		w, r := started(t, "w1")
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(2, core(1)), anviljob.NewStep(1, core(1), anviljob.WithAfter(0)))
		w.pass(settleTime, r)
		assertRunning(t, w, "j1.0.0.0", "j1.0.0.1")
		assertState(t, w, anviljob.Running)
		w.end("j1.0.0.0", CauseDone, "")
		w.pass(settleTime, r)
		assertRunning(t, w, "j1.0.0.1")
		w.end("j1.0.0.1", CauseDone, "")
		w.pass(settleTime, r)
		assertRunning(t, w, "j1.0.1.0")
		w.end("j1.0.1.0", CauseDone, "")
		w.pass(settleTime, r)
		assertState(t, w, anviljob.Completed)
		w.pass(cleanInterval, r)
		assertEqual(t, "intake rows", w.store.count(anvilstorage.Intake), 0)
		assertEqual(t, "progress rows", w.store.count(anvilstorage.Progress), 0)
		assertEqual(t, "ends that are kept", len(w.workers["w1"].ends), 0)
	})
	t.Run("a failed task runs again until its attempts are spent", func(t *testing.T) {
		// Guards against a job that is failed early, or never.
		w, r := started(t, "w1")
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		for range 2 {
			w.pass(settleTime, r)
			w.end("j1.0.0.0", CauseFailed, "")
		}
		w.pass(settleTime, r)
		assertState(t, w, anviljob.Running)
		w.end("j1.0.0.0", CauseFailed, "")
		w.pass(settleTime, r)
		assertState(t, w, anviljob.Failed)
		assertRunning(t, w)
	})
	t.Run("room and the team's limit are kept", func(t *testing.T) {
		// Guards against an overcommitted worker and a team beyond its limit of 8 cores.
		w, r := started(t, "w1", "w2", "w3")
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(12, core(1)))
		w.pass(settleTime, r)
		assertEqual(t, "running", len(w.running()), 8)
		w.submit("j2", plainQueue, "", anviljob.NewStep(9, core(1)))
		w.pass(settleTime, r)
		assertEqual(t, "running with another team's", len(w.running()), 12)
	})
	t.Run("labels and the spread over workers are kept", func(t *testing.T) {
		// Guards against tasks on workers that their step excludes.
		w, r := started(t, "w1", "w2")
		k := w.addWorker("w3", core(4), "b")
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(2, core(1), anviljob.WithLabel("b")))
		w.submit("j2", plainQueue, teamName, anviljob.NewStep(4, core(1), anviljob.WithMaxPerWorker(1)))
		w.pass(settleTime, r)
		assertEqual(t, "starts at the labelled worker", k.starts, 3)
		assertEqual(t, "running", len(w.running()), 5)
	})
	t.Run("a checkpoint is carried to the next start", func(t *testing.T) {
		// Guards against work that is done twice although it was saved.
		w, r := started(t, "w1")
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithCheckpoints(true)))
		w.pass(settleTime, r)
		w.end("j1.0.0.0", CauseStopped, "half")
		w.pass(settleTime, r)
		id, _ := anviljob.ParseTaskID("j1.0.0.0")
		assertEqual(t, "checkpoint", w.workers["w1"].runs[id].checkpoint, "half")
	})
	t.Run("tasks that fill take no processor room", func(t *testing.T) {
		// Guards against filling tasks that displace others.
		w, r := started(t, "w1")
		w.submit("j1", plainQueue, "", anviljob.NewStep(1, core(16), anviljob.WithOpportunistic(true)), anviljob.NewStep(4, core(1)))
		w.pass(settleTime, r)
		assertEqual(t, "running", len(w.running()), 5)
	})
}

func TestCancel(t *testing.T) {
	t.Run("running tasks are stopped and waiting ones never start", func(t *testing.T) {
		// Guards against work that goes on after its cancellation.
		w, r := started(t, "w1")
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(6, core(1)))
		w.pass(settleTime, r)
		assertEqual(t, "running", len(w.running()), 4)
		w.cancel("j1")
		w.pass(settleTime, r)
		assertRunning(t, w)
		assertState(t, w, anviljob.Cancelled)
		assertEqual(t, "starts", w.workers["w1"].starts, 4)
		w.pass(cleanInterval, r)
		assertEqual(t, "intake rows", w.store.count(anvilstorage.Intake), 0)
	})
	t.Run("a cancellation that is read before its job", func(t *testing.T) {
		// Guards against a cancellation that is lost because the job was not known yet.
		w, r := started(t, "w1")
		w.cancel("j1")
		w.pass(settleTime, r)
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		w.pass(settleTime, r)
		assertState(t, w, anviljob.Cancelled)
		assertEqual(t, "starts", w.workers["w1"].starts, 0)
	})
}

func TestGang(t *testing.T) {
	gang := func(n int, size anvilsize.Size) anviljob.Step {
		return anviljob.NewStep(n, size, anviljob.WithGang(true, false), anviljob.WithCheckpoints(true))
	}
	t.Run("starts whole or not at all", func(t *testing.T) {
		// Guards against tasks that wait for the rest of their gang.
		w, r := started(t, "w1", "w2")
		w.submit("j1", plainQueue, "", anviljob.NewStep(1, core(3)))
		w.pass(settleTime, r)
		w.submit("j2", plainQueue, "", gang(2, core(4)))
		w.pass(settleTime, r)
		assertRunning(t, w, "j1.0.0.0")
		w.end("j1.0.0.0", CauseDone, "")
		w.pass(settleTime, r)
		assertRunning(t, w, "j2.0.0.0", "j2.0.0.1")
	})
	t.Run("smaller tasks do not keep it from starting", func(t *testing.T) {
		// Guards against a gang that starves because freed room goes to later, smaller tasks.
		w, r := started(t, "w1")
		w.submit("j1", plainQueue, "", anviljob.NewStep(2, core(2)))
		w.pass(settleTime, r)
		w.submit("j2", plainQueue, "", gang(1, core(4)))
		w.pass(settleTime, r)
		w.submit("j3", plainQueue, "", anviljob.NewStep(4, core(1)))
		w.end("j1.0.0.0", CauseDone, "")
		w.pass(settleTime, r)
		assertRunning(t, w, "j1.0.0.1")
		w.end("j1.0.0.1", CauseDone, "")
		w.pass(settleTime, r)
		assertRunning(t, w, "j2.0.0.0")
	})
	t.Run("is stopped whole and starts again with one run and checkpoint", func(t *testing.T) {
		// Guards against members of a gang in different runs.
		w, r := started(t, "w1", "w2")
		w.submit("j1", plainQueue, "", gang(2, core(4)))
		w.pass(settleTime, r)
		w.end("j1.0.0.0", CauseFailed, "c7")
		w.pass(settleTime, r)
		assertRunning(t, w, "j1.0.0.0", "j1.0.0.1")
		for _, k := range w.workers {
			for _, run := range k.runs {
				assertEqual(t, "run", run.run, 2)
				assertEqual(t, "checkpoint", run.checkpoint, "c7")
			}
		}
		w.end("j1.0.0.0", CauseDone, "")
		w.end("j1.0.0.1", CauseDone, "")
		w.pass(settleTime, r)
		assertState(t, w, anviljob.Completed)
	})
}

func TestRepeat(t *testing.T) {
	t.Run("occurrences start when they are due and the job ends with the last", func(t *testing.T) {
		// Guards against occurrences that start early, or a job that ends before its last one.
		w, r := started(t, "w1")
		spec, err := anviljob.NewSpec("payload", []anviljob.Step{anviljob.NewStep(1, core(1))},
			anviljob.NewRepeat(2, w.clock.Now()+1000, 1000))
		if err != nil {
			t.Fatal(err)
		}
		w.submitSpec("j1", plainQueue, teamName, spec)
		w.pass(900, r)
		assertRunning(t, w)
		w.pass(500, r)
		assertRunning(t, w, "j1.0.0.0")
		w.end("j1.0.0.0", CauseDone, "")
		w.pass(settleTime, r)
		assertState(t, w, anviljob.Running)
		w.pass(settleTime, r)
		assertRunning(t, w, "j1.1.0.0")
		w.end("j1.1.0.0", CauseDone, "")
		w.pass(settleTime, r)
		assertState(t, w, anviljob.Completed)
	})
}
