package anvilscheduler

import (
	"slices"
	"testing"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
)

// takeoverTime is longer than a successor needs for its claim.
const takeoverTime = vacantAfter + settleTime

func TestTakeover(t *testing.T) {
	t.Run("a successor goes on with what runs", func(t *testing.T) {
		// Guards against a second run of a task that the former leader has started.
		w, r := started(t, "w1", "w2")
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(2, core(1)))
		w.pass(settleTime, r)
		next := w.newRig("e2")
		w.pass(takeoverTime, next)
		assertEqual(t, "holding", next.loop.leading(), true)
		assertRunning(t, w, "j1.0.0.0", "j1.0.0.1")
		w.end("j1.0.0.0", CauseDone, "")
		w.end("j1.0.0.1", CauseDone, "")
		w.pass(settleTime, next)
		assertState(t, w, anviljob.Completed)
	})
	t.Run("a new process of the leader's machine claims at once", func(t *testing.T) {
		// Guards against a fleet that stands still for the time of a takeover after all processes were killed.
		w := newWorld(t, testPolicy())
		w.addWorker("w1", core(4))
		w.pass(firstTime, w.newRig("m1-aaaa", WithMachine("m1")))
		next := w.newRig("m1-bbbb", WithMachine("m1"))
		other := w.newRig("m2-cccc", WithMachine("m2"))
		w.pass(100, other, next)
		assertEqual(t, "the machine's new process holds", next.loop.leading(), true)
	})
	t.Run("a leader that was frozen gives way", func(t *testing.T) {
		// Guards against two leaders that start the same work.
		w, r := started(t, "w1")
		next := w.newRig("e2")
		w.pass(takeoverTime, next)
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(2, core(1)))
		w.pass(settleTime, r, next)
		assertEqual(t, "the former one holds", r.loop.leading(), false)
		assertEqual(t, "the new one holds", next.loop.leading(), true)
		assertRunning(t, w, "j1.0.0.0", "j1.0.0.1")
	})
	t.Run("a worker's newer token deposes the leader", func(t *testing.T) {
		// Guards against a leader that goes on after a worker has refused its token.
		w, r := started(t, "w1")
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		w.workers["w1"].token = 99
		w.pass(50, r)
		w.pass(50, r)
		assertEqual(t, "holds", r.loop.leading(), false)
	})
	t.Run("the failure of a run is counted once", func(t *testing.T) {
		// Guards against a job that fails early: a worker lists an end again to a successor.
		w, r := started(t, "w1")
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		w.pass(settleTime, r)
		w.end("j1.0.0.0", CauseFailed, "")
		kept := slices.Clone(w.workers["w1"].ends)
		w.pass(settleTime, r)
		w.end("j1.0.0.0", CauseFailed, "")
		kept = append(kept, w.workers["w1"].ends...)
		w.pass(settleTime, r)
		w.workers["w1"].ends = kept
		next := w.newRig("e2")
		w.pass(takeoverTime, next)
		assertState(t, w, anviljob.Running)
		assertRunning(t, w, "j1.0.0.0")
	})
	t.Run("nobody schedules before the configuration is known", func(t *testing.T) {
		// Guards against jobs that are failed because their queue's attempts are not known yet.
		w := newWorld(t, nil)
		w.addWorker("w1", core(4))
		r := w.newRig("e1")
		w.pass(firstTime, r)
		assertEqual(t, "holds", r.loop.leading(), false)
	})
	t.Run("a planned stop hands over at once", func(t *testing.T) {
		// Guards against a stop that costs as much time as a crash.
		w, r := started(t, "w1")
		next := w.newRig("e2")
		w.pass(settleTime, r, next)
		handed := r.loop.Shutdown()
		w.pass(settleTime, r, next)
		select {
		case <-handed:
		default:
			t.Fatal("the leadership was not given up")
		}
		assertEqual(t, "the successor holds", next.loop.leading(), true)
	})
	t.Run("a job that was failed stays failed", func(t *testing.T) {
		// Guards against another attempt after a takeover.
		w, r := started(t, "w1")
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)), anviljob.NewStep(1, core(1)))
		for range 3 {
			w.pass(settleTime, r)
			w.workers["w1"].mute = false
			w.end("j1.0.0.0", CauseFailed, "")
		}
		w.pass(settleTime, r)
		next := w.newRig("e2")
		w.pass(takeoverTime, next)
		assertState(t, w, anviljob.Failed)
		assertRunning(t, w)
	})
}

func TestStore(t *testing.T) {
	t.Run("a commit whose answer is lost counts once", func(t *testing.T) {
		// Guards against a leader that gives up, or writes twice, because an answer did not come.
		w, r := started(t, "w1")
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		w.store.lost = 2
		w.pass(settleTime, r)
		assertEqual(t, "holds", r.loop.leading(), true)
		assertRunning(t, w, "j1.0.0.0")
	})
	t.Run("a former leader's commit fails", func(t *testing.T) {
		// Guards against a start that is stored by an instance that no longer is the leader.
		w, r := started(t, "w1")
		next := w.newRig("e2")
		w.pass(takeoverTime, next)
		r.loop.commits.lastSent = 0
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		r.loop.processIntake(mustScan(t, w, anvilstorage.Intake))
		r.turn()
		assertEqual(t, "holds", r.loop.leading(), false)
		assertRunning(t, w)
	})
	t.Run("a reading older than a job's end does not bring it back", func(t *testing.T) {
		// Guards against a job that runs again because a whole reading of the intake was slow.
		w, r := started(t, "w1")
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		old := mustScan(t, w, anvilstorage.Intake)
		w.pass(settleTime, r)
		w.end("j1.0.0.0", CauseDone, "")
		w.pass(settleTime, r)
		assertState(t, w, anviljob.Completed)
		r.loop.post(intakeRead{token: r.loop.leadership.token, page: old})
		r.loop.ReceiveRows(old.Rows())
		w.pass(settleTime, r)
		assertRunning(t, w)
	})
	t.Run("an unreadable row harms nothing", func(t *testing.T) {
		// Guards against a row of another writer that stops the schedule.
		w, r := started(t, "w1")
		w.commit(anvilstorage.NewRow(anvilstorage.Intake, "bad", []byte("{")), anvilstorage.NewRow(anvilstorage.States, "bad", []byte("7")))
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		w.pass(settleTime, r)
		assertRunning(t, w, "j1.0.0.0")
	})
}

func mustScan(t *testing.T, w *world, table anvilstorage.Table) anvilstorage.Page {
	t.Helper()
	page, err := w.store.Scan(t.Context(), table)
	if err != nil {
		t.Fatal(err)
	}
	return page
}

// startedUnlisted returns a world in which w1 was restarted before the list showed that, its new process has started
// j1, and the list shows its new incarnation now.
func startedUnlisted(t *testing.T) (*world, *rig) {
	t.Helper()
	w, r := started(t, "w1", "w2")
	k := w.workers["w1"]
	w.workers["w2"].silent = true
	w.pass(2*settleTime, r)
	k.crash()
	w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
	w.pass(50, r)
	assertRunning(t, w, "j1.0.0.0")
	w.workers["w2"].silent = false
	i := slices.IndexFunc(w.list, func(reg Registration) bool { return reg.id == "w1" })
	w.list[i].incarnation = k.incarnation
	return w, r
}

func assertStartedOnce(t *testing.T, w *world) {
	t.Helper()
	assertRunning(t, w, "j1.0.0.0")
	assertEqual(t, "starts", w.workers["w1"].starts+w.workers["w2"].starts, 1)
}

func TestWorkers(t *testing.T) {
	t.Run("a silent worker's tasks wait until its lease has lapsed", func(t *testing.T) {
		// Guards against a second run while the first goes on behind a cut.
		w, r := started(t, "w1", "w2")
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		w.pass(settleTime, r)
		k := w.at("j1.0.0.0")
		k.silent = true
		w.pass(leaseDuration-1500, r)
		assertEqual(t, "the first run's worker", w.at("j1.0.0.0").id, k.id)
		w.pass(4000, r)
		if now := w.at("j1.0.0.0"); now == nil || now == k {
			t.Fatal("the task did not start on the other worker")
		}
	})
	t.Run("a run that is no longer needed takes room until it has been stopped", func(t *testing.T) {
		// Guards against an overcommitted worker: the first run had ended behind a cut, the second one goes on.
		w, r := started(t, "w1", "w2")
		w.submit("j1", plainQueue, "", anviljob.NewStep(1, core(4), anviljob.WithEstimate(60_000)))
		w.pass(settleTime, r)
		first := w.at("j1.0.0.0")
		first.silent = true
		w.end("j1.0.0.0", CauseDone, "")
		w.pass(2*leaseDuration, r)
		second := w.at("j1.0.0.0")
		if second == nil {
			t.Fatal("the task did not start again")
		}
		second.slow, first.silent = true, false
		first.capacity = core(0)
		w.submit("j2", plainQueue, "", anviljob.NewStep(1, core(4)))
		i := slices.IndexFunc(w.list, func(reg Registration) bool { return reg.id == first.id })
		w.list[i].capacity = core(0)
		w.pass(settleTime, r)
		assertState(t, w, anviljob.Completed)
		assertRunning(t, w, "j1.0.0.0")
		w.end("j1.0.0.0", CauseStopped, "")
		w.pass(settleTime, r)
		assertRunning(t, w, "j2.0.0.0")
	})
	t.Run("a start without an answer is sent again and runs once", func(t *testing.T) {
		// Guards against a task that runs twice, or never, after a lost answer.
		w, r := started(t, "w1")
		w.workers["w1"].mute = true
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		w.pass(1000, r)
		assertRunning(t, w, "j1.0.0.0")
		w.workers["w1"].mute = false
		w.pass(1000, r)
		assertEqual(t, "starts", w.workers["w1"].starts, 1)
		w.end("j1.0.0.0", CauseDone, "")
		w.pass(settleTime, r)
		assertState(t, w, anviljob.Completed)
	})
	t.Run("stops that are sent again do not postpone the end of a run that is gone", func(t *testing.T) {
		// Guards against a task that is stopped for ever at a worker that does not have it.
		w, r := started(t, "w1")
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		w.pass(settleTime, r)
		id, _ := anviljob.ParseTaskID("j1.0.0.0")
		task := r.loop.findTask(id)
		task.confirmedAt = 0
		for range 2 {
			w.clock.Advance(stopRetry)
			stopAnswered{token: r.loop.leadership.token, worker: task.worker, task: task, run: task.run}.deliver(r.loop)
		}
		assertEqual(t, "age of the confirmation", w.clock.Now()-task.confirmedAt, stopRetry)
	})
	t.Run("a restarted worker's tasks start again", func(t *testing.T) {
		// Guards against tasks that are believed to run at a worker that has forgotten them.
		w, r := started(t, "w1")
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		w.pass(settleTime, r)
		w.workers["w1"].crash()
		w.list[0].incarnation = w.workers["w1"].incarnation
		w.pass(settleTime, r)
		assertRunning(t, w, "j1.0.0.0")
		assertEqual(t, "starts", w.workers["w1"].starts, 2)
	})
	t.Run("a start that a restarted worker has carried out goes on", func(t *testing.T) {
		// Guards against a second run beside the first: the worker was restarted under its id before the list shows
		// that, and its new process took the start.
		w, r := startedUnlisted(t)
		w.pass(2*settleTime, r)
		assertStartedOnce(t, w)
	})
	t.Run("a successor keeps it, too", func(t *testing.T) {
		// Guards against the same after a takeover: the former leader's record names the earlier incarnation.
		w, r := startedUnlisted(t)
		r.frozen = true
		next := w.newRig("e2")
		w.pass(2*vacantAfter, next)
		assertEqual(t, "the new one schedules", next.loop.leading(), true)
		assertStartedOnce(t, w)
	})
	t.Run("a draining worker gets nothing new", func(t *testing.T) {
		// Guards against starts on a worker that leaves.
		w, r := started(t, "w1")
		w.list[0] = w.list[0].Draining(5000)
		w.pass(settleTime, r)
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		w.pass(settleTime, r)
		assertRunning(t, w)
	})
	t.Run("a worker that drained and left frees its tasks at once", func(t *testing.T) {
		// Guards against waiting for the lease of a worker that has left as announced.
		w, r := started(t, "w1", "w2")
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(100)))
		w.pass(settleTime, r)
		k := w.at("j1.0.0.0")
		i := slices.IndexFunc(w.list, func(reg Registration) bool { return reg.id == k.id })
		w.list[i] = w.list[i].Draining(60_000)
		w.pass(settleTime, r)
		w.list = slices.Delete(w.list, i, i+1)
		k.runs, k.silent = map[anviljob.TaskID]*fakeRun{}, true
		w.pass(settleTime, r)
		assertRunning(t, w, "j1.0.0.0")
	})
	t.Run("a worker that shows no progress loses its task", func(t *testing.T) {
		// Guards against tasks that stand still on a worker that looks healthy.
		w, r := started(t, "w1", "w2")
		w.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(500)))
		w.pass(settleTime, r)
		k := w.at("j1.0.0.0")
		w.pass(stallTimeout+2*settleTime, r)
		if now := w.at("j1.0.0.0"); now == nil || now == k {
			t.Fatal("the task did not start on the other worker")
		}
	})
	t.Run("filling tasks are paced down beside a pressed serving task", func(t *testing.T) {
		// Guards against serving tasks that stay over their target because of what fills beside them.
		w, r := started(t, "w1")
		w.submit("j1", plainQueue, "", anviljob.NewStep(1, core(1), anviljob.WithLongRunning(true), anviljob.WithLatencyTarget(100)),
			anviljob.NewStep(1, core(8), anviljob.WithOpportunistic(true)))
		w.pass(settleTime, r)
		serving, _ := anviljob.ParseTaskID("j1.0.0.0")
		filling, _ := anviljob.ParseTaskID("j1.0.1.0")
		k := w.workers["w1"]
		k.runs[serving].load = 150
		w.pass(2*leaseRefreshAge, r)
		assertEqual(t, "pace under pressure", k.runs[filling].pace, 0)
		k.runs[serving].load = 20
		w.pass(2*leaseRefreshAge, r)
		assertEqual(t, "pace afterwards", k.runs[filling].pace, 100)
	})
}

func TestAdvice(t *testing.T) {
	t.Run("only approved workers run a step", func(t *testing.T) {
		// Guards against starts that the advisor forbids.
		w := newWorld(t, testPolicy())
		w.advice = func(id string) bool { return id == "w2" }
		w.addWorker("w1", core(4))
		w.addWorker("w2", core(4))
		r := w.newRig("e1")
		w.pass(firstTime, r)
		w.submit("j1", askingQueue, teamName, anviljob.NewStep(3, core(1)))
		w.pass(settleTime, r)
		assertEqual(t, "starts at w1", w.workers["w1"].starts, 0)
		assertEqual(t, "starts at w2", w.workers["w2"].starts, 3)
	})
	t.Run("a worker that comes later is asked about", func(t *testing.T) {
		// Guards against a step that stands still because none of the first workers was approved.
		w := newWorld(t, testPolicy())
		w.advice = func(id string) bool { return id == "w2" }
		w.addWorker("w1", core(4))
		r := w.newRig("e1")
		w.pass(firstTime, r)
		w.submit("j1", askingQueue, teamName, anviljob.NewStep(1, core(1)))
		w.pass(settleTime, r)
		w.addWorker("w2", core(4))
		w.pass(settleTime, r)
		assertRunning(t, w, "j1.0.0.0")
	})
	t.Run("a question without an answer is asked again while nothing else happens", func(t *testing.T) {
		// Guards against a step that stands still on an idle fleet because no event has it looked at again.
		w, r := started(t, "w1")
		w.unadvised = 1
		w.submit("j1", askingQueue, teamName, anviljob.NewStep(1, core(1)))
		w.pass(1000, r)
		assertRunning(t, w, "j1.0.0.0")
	})
	t.Run("nothing is asked while there is no room", func(t *testing.T) {
		// Guards against questions whose tickets lapse before they can be used.
		w, r := started(t, "w1")
		w.submit("j1", plainQueue, "", anviljob.NewStep(4, core(1), anviljob.WithEstimate(60_000)))
		w.pass(settleTime, r)
		w.submit("j2", askingQueue, "", anviljob.NewStep(1, core(1)))
		w.pass(settleTime, r)
		assertEqual(t, "questions", len(w.questions), 0)
	})
	t.Run("a step with approved workers asks again when there is room", func(t *testing.T) {
		// Guards against a step that stands still because steps that can't start seem to need all room.
		w, r := started(t, "w1", "w2")
		w.advice = func(id string) bool { return id == "w1" }
		w.submit("j1", askingQueue, "", anviljob.NewStep(1, core(4), anviljob.WithEstimate(500)))
		w.pass(settleTime, r)
		w.submit("j2", askingQueue, "", anviljob.NewStep(9, core(4), anviljob.WithEstimate(500)))
		w.submit("j3", askingQueue, "", anviljob.NewStep(1, core(1), anviljob.WithEstimate(60_000)))
		w.pass(settleTime, r)
		w.advice = func(string) bool { return true }
		w.pass(1000, r)
		w.end("j1.0.0.0", CauseDone, "")
		for range 9 {
			w.pass(settleTime, r)
			for _, task := range w.running() {
				if task[:2] == "j2" {
					w.end(task, CauseDone, "")
				}
			}
		}
		w.pass(settleTime, r)
		assertRunning(t, w, "j3.0.0.0")
	})
	t.Run("a lapsed ticket is not used", func(t *testing.T) {
		// Guards against starts that are refused because their commit took longer than the ticket.
		w, r := started(t, "w1")
		w.submit("j1", askingQueue, teamName, anviljob.NewStep(1, core(1)))
		w.pass(settleTime, r)
		w.end("j1.0.0.0", CauseStopped, "")
		asked := len(w.questions)
		w.pass(anvilclock.Millis(2500), r)
		assertRunning(t, w, "j1.0.0.0")
		_ = asked
	})
}

func TestTeamsShare(t *testing.T) {
	t.Run("what a team sends beyond its share comes last", func(t *testing.T) {
		// Guards against one team whose flood delays the others.
		w := newWorld(t, testPolicy())
		w.addWorker("w1", anvilsize.New(1000, 0, 0))
		r := w.newRig("e1")
		w.pass(firstTime, r)
		w.submit("first", plainQueue, "", anviljob.NewStep(1, core(1), anviljob.WithEstimate(500)))
		w.pass(settleTime, r)
		w.submit("flood", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(500)))
		w.submit("other", plainQueue, "", anviljob.NewStep(1, core(1), anviljob.WithEstimate(500)))
		r.loop.work.shareBuckets[teamName] = &shareBucket{updatedAt: w.clock.Now() + 1000}
		w.pass(settleTime, r)
		w.end("first.0.0.0", CauseDone, "")
		w.pass(settleTime, r)
		assertRunning(t, w, "other.0.0.0")
	})
}

func TestHeadroom(t *testing.T) {
	policy := anvilpolicy.New(1, []anvilpolicy.Queue{
		anvilpolicy.NewQueue("quick", "h", "/q/", poolName, anvilpolicy.WithObjective(2, 1000)),
		anvilpolicy.NewQueue("batch", "h", "/b/", poolName, anvilpolicy.WithPriority(2), anvilpolicy.WithObjective(4, 3000)),
	})
	long := anviljob.WithEstimate(8000)
	t.Run("work that can wait leaves room to urgent queues", func(t *testing.T) {
		// Guards against a burst of short jobs behind long tasks that fill every worker.
		w := newWorld(t, policy)
		for _, id := range []string{"w1", "w2", "w3"} {
			w.addWorker(id, core(4))
		}
		r := w.newRig("e1")
		w.pass(firstTime, r)
		w.submit("b1", "batch", "", anviljob.NewStep(12, core(1), long))
		w.pass(settleTime, r)
		assertEqual(t, "long tasks", len(w.running()), 10)
		w.submit("q1", "quick", "", anviljob.NewStep(2, core(1)))
		w.pass(settleTime, r)
		assertEqual(t, "all tasks", len(w.running()), 12)
	})
	t.Run("work that can no longer wait takes all room", func(t *testing.T) {
		// Guards against jobs that are late because room is kept for work that does not come.
		w := newWorld(t, policy)
		w.addWorker("w1", core(4))
		r := w.newRig("e1")
		w.pass(firstTime, r)
		w.submit("b1", "batch", "", anviljob.NewStep(4, core(1), anviljob.WithEstimate(100)))
		w.pass(settleTime, r)
		assertEqual(t, "tasks", len(w.running()), 3)
		w.pass(2500, r)
		assertEqual(t, "tasks later", len(w.running()), 4)
	})
}
