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
		fc, h := started(t, "w1", "w2")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(2, core(1)))
		fc.advance(settleTime, h)
		next := fc.newHarness("e2")
		fc.advance(takeoverTime, next)
		assertEqual(t, "holding", next.loop.leading(), true)
		assertRunning(t, fc, "j1.0.0.0", "j1.0.0.1")
		fc.endRun("j1.0.0.0", CauseDone, "")
		fc.endRun("j1.0.0.1", CauseDone, "")
		fc.advance(settleTime, next)
		assertState(t, fc, anviljob.Completed)
	})
	t.Run("a new process of the leader's machine claims at once", func(t *testing.T) {
		// Guards against a fleet that stands still for the time of a takeover after all processes were killed.
		fc := newFakeCluster(t, testPolicy())
		fc.addWorker("w1", core(4))
		fc.advance(firstTime, fc.newHarness("m1-aaaa", WithMachine("m1")))
		next := fc.newHarness("m1-bbbb", WithMachine("m1"))
		other := fc.newHarness("m2-cccc", WithMachine("m2"))
		fc.advance(100, other, next)
		assertEqual(t, "the machine's new process holds", next.loop.leading(), true)
	})
	t.Run("a leader that was frozen gives way", func(t *testing.T) {
		// Guards against two leaders that start the same work.
		fc, h := started(t, "w1")
		next := fc.newHarness("e2")
		fc.advance(takeoverTime, next)
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(2, core(1)))
		fc.advance(settleTime, h, next)
		assertEqual(t, "the former one holds", h.loop.leading(), false)
		assertEqual(t, "the new one holds", next.loop.leading(), true)
		assertRunning(t, fc, "j1.0.0.0", "j1.0.0.1")
	})
	t.Run("a worker's newer token deposes the leader", func(t *testing.T) {
		// Guards against a leader that goes on after a worker has refused its token.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.workers["w1"].token = 99
		fc.advance(50, h)
		fc.advance(50, h)
		assertEqual(t, "holds", h.loop.leading(), false)
	})
	t.Run("the failure of a run is counted once", func(t *testing.T) {
		// Guards against a job that fails early: a worker lists an end again to a successor.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(settleTime, h)
		fc.endRun("j1.0.0.0", CauseFailed, "")
		unacked := slices.Clone(fc.workers["w1"].ends)
		fc.advance(settleTime, h)
		fc.endRun("j1.0.0.0", CauseFailed, "")
		unacked = append(unacked, fc.workers["w1"].ends...)
		fc.advance(settleTime, h)
		fc.workers["w1"].ends = unacked
		next := fc.newHarness("e2")
		fc.advance(takeoverTime, next)
		assertState(t, fc, anviljob.Running)
		assertRunning(t, fc, "j1.0.0.0")
	})
	t.Run("nobody schedules before the configuration is known", func(t *testing.T) {
		// Guards against jobs that are failed because their queue's attempts are not known yet.
		fc := newFakeCluster(t, nil)
		fc.addWorker("w1", core(4))
		h := fc.newHarness("e1")
		fc.advance(firstTime, h)
		assertEqual(t, "holds", h.loop.leading(), false)
	})
	t.Run("a planned stop hands over at once", func(t *testing.T) {
		// Guards against a stop that costs as much time as a crash.
		fc, h := started(t, "w1")
		next := fc.newHarness("e2")
		fc.advance(settleTime, h, next)
		released := h.loop.Shutdown()
		fc.advance(settleTime, h, next)
		select {
		case <-released:
		default:
			t.Fatal("the leadership was not given up")
		}
		assertEqual(t, "the successor holds", next.loop.leading(), true)
	})
	t.Run("a job that was failed stays failed", func(t *testing.T) {
		// Guards against another attempt after a takeover.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)), anviljob.NewStep(1, core(1)))
		for range 3 {
			fc.advance(settleTime, h)
			fc.workers["w1"].loseReplies = false
			fc.endRun("j1.0.0.0", CauseFailed, "")
		}
		fc.advance(settleTime, h)
		next := fc.newHarness("e2")
		fc.advance(takeoverTime, next)
		assertState(t, fc, anviljob.Failed)
		assertRunning(t, fc)
	})
}

func TestStore(t *testing.T) {
	t.Run("a commit whose answer is lost counts once", func(t *testing.T) {
		// Guards against a leader that gives up, or writes twice, because an answer did not come.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.store.loseReplies = 2
		fc.advance(settleTime, h)
		assertEqual(t, "holds", h.loop.leading(), true)
		assertRunning(t, fc, "j1.0.0.0")
	})
	t.Run("a former leader's commit fails", func(t *testing.T) {
		// Guards against a start that is stored by an instance that no longer is the leader.
		fc, h := started(t, "w1")
		next := fc.newHarness("e2")
		fc.advance(takeoverTime, next)
		h.loop.commits.lastSent = 0
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		h.loop.processIntake(mustScan(t, fc, anvilstorage.Intake))
		h.runUntilIdle()
		assertEqual(t, "holds", h.loop.leading(), false)
		assertRunning(t, fc)
	})
	t.Run("a reading older than a job's end does not bring it back", func(t *testing.T) {
		// Guards against a job that runs again because a whole reading of the intake was slow.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		old := mustScan(t, fc, anvilstorage.Intake)
		fc.advance(settleTime, h)
		fc.endRun("j1.0.0.0", CauseDone, "")
		fc.advance(settleTime, h)
		assertState(t, fc, anviljob.Completed)
		h.loop.post(intakeRead{token: h.loop.leadership.token, page: old})
		h.loop.ReceiveRows(old.Rows())
		fc.advance(settleTime, h)
		assertRunning(t, fc)
	})
	t.Run("an unreadable row harms nothing", func(t *testing.T) {
		// Guards against a row of another writer that stops the schedule.
		fc, h := started(t, "w1")
		fc.commit(anvilstorage.NewRow(anvilstorage.Intake, "bad", []byte("{")), anvilstorage.NewRow(anvilstorage.States, "bad", []byte("7")))
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(settleTime, h)
		assertRunning(t, fc, "j1.0.0.0")
	})
}

func mustScan(t *testing.T, fc *fakeCluster, table anvilstorage.Table) anvilstorage.Page {
	t.Helper()
	page, err := fc.store.Scan(t.Context(), table)
	if err != nil {
		t.Fatal(err)
	}
	return page
}

// startedUnregistered returns a world in which w1 was restarted before the list showed that, its new process has started
// j1, and the list shows its new incarnation now.
func startedUnregistered(t *testing.T) (*fakeCluster, *harness) {
	t.Helper()
	fc, h := started(t, "w1", "w2")
	fw := fc.workers["w1"]
	fc.workers["w2"].unreachable = true
	fc.advance(2*settleTime, h)
	fw.restart()
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
	fc.advance(50, h)
	assertRunning(t, fc, "j1.0.0.0")
	fc.workers["w2"].unreachable = false
	i := slices.IndexFunc(fc.registry, func(reg Registration) bool { return reg.id == "w1" })
	fc.registry[i].incarnation = fw.incarnation
	return fc, h
}

func assertStartedOnce(t *testing.T, fc *fakeCluster) {
	t.Helper()
	assertRunning(t, fc, "j1.0.0.0")
	assertEqual(t, "starts", fc.workers["w1"].starts+fc.workers["w2"].starts, 1)
}

func TestWorkers(t *testing.T) {
	t.Run("a silent worker's tasks wait until its lease has lapsed", func(t *testing.T) {
		// Guards against a second run while the first goes on behind a cut.
		fc, h := started(t, "w1", "w2")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(settleTime, h)
		fw := fc.workerOf("j1.0.0.0")
		fw.unreachable = true
		fc.advance(leaseDuration-1500, h)
		assertEqual(t, "the first run's worker", fc.workerOf("j1.0.0.0").id, fw.id)
		fc.advance(4000, h)
		if now := fc.workerOf("j1.0.0.0"); now == nil || now == fw {
			t.Fatal("the task did not start on the other worker")
		}
	})
	t.Run("a run that is no longer needed takes room until it has been stopped", func(t *testing.T) {
		// Guards against an overcommitted worker: the first run had ended behind a cut, the second one goes on.
		fc, h := started(t, "w1", "w2")
		fc.submit("j1", plainQueue, "", anviljob.NewStep(1, core(4), anviljob.WithEstimate(60_000)))
		fc.advance(settleTime, h)
		first := fc.workerOf("j1.0.0.0")
		first.unreachable = true
		fc.endRun("j1.0.0.0", CauseDone, "")
		fc.advance(2*leaseDuration, h)
		second := fc.workerOf("j1.0.0.0")
		if second == nil {
			t.Fatal("the task did not start again")
		}
		second.ignoreStops, first.unreachable = true, false
		first.capacity = core(0)
		fc.submit("j2", plainQueue, "", anviljob.NewStep(1, core(4)))
		i := slices.IndexFunc(fc.registry, func(reg Registration) bool { return reg.id == first.id })
		fc.registry[i].capacity = core(0)
		fc.advance(settleTime, h)
		assertState(t, fc, anviljob.Completed)
		assertRunning(t, fc, "j1.0.0.0")
		fc.endRun("j1.0.0.0", CauseStopped, "")
		fc.advance(settleTime, h)
		assertRunning(t, fc, "j2.0.0.0")
	})
	t.Run("a start without an answer is sent again and runs once", func(t *testing.T) {
		// Guards against a task that runs twice, or never, after a lost answer.
		fc, h := started(t, "w1")
		fc.workers["w1"].loseReplies = true
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(1000, h)
		assertRunning(t, fc, "j1.0.0.0")
		fc.workers["w1"].loseReplies = false
		fc.advance(1000, h)
		assertEqual(t, "starts", fc.workers["w1"].starts, 1)
		fc.endRun("j1.0.0.0", CauseDone, "")
		fc.advance(settleTime, h)
		assertState(t, fc, anviljob.Completed)
	})
	t.Run("stops that are sent again do not postpone the end of a run that is gone", func(t *testing.T) {
		// Guards against a task that is stopped for ever at a worker that does not have it.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(settleTime, h)
		id, _ := anviljob.ParseTaskID("j1.0.0.0")
		task := h.loop.findTask(id)
		task.confirmedAt = 0
		for range 2 {
			fc.clock.Advance(stopRetry)
			stopAnswered{token: h.loop.leadership.token, worker: task.worker, task: task, run: task.run}.deliver(h.loop)
		}
		assertEqual(t, "age of the confirmation", fc.clock.Now()-task.confirmedAt, stopRetry)
	})
	t.Run("a restarted worker's tasks start again", func(t *testing.T) {
		// Guards against tasks that are believed to run at a worker that has forgotten them.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(settleTime, h)
		fc.workers["w1"].restart()
		fc.registry[0].incarnation = fc.workers["w1"].incarnation
		fc.advance(settleTime, h)
		assertRunning(t, fc, "j1.0.0.0")
		assertEqual(t, "starts", fc.workers["w1"].starts, 2)
	})
	t.Run("a start that a restarted worker has carried out goes on", func(t *testing.T) {
		// Guards against a second run beside the first: the worker was restarted under its id before the list shows
		// that, and its new process took the start.
		fc, h := startedUnregistered(t)
		fc.advance(2*settleTime, h)
		assertStartedOnce(t, fc)
	})
	t.Run("a successor keeps it, too", func(t *testing.T) {
		// Guards against the same after a takeover: the former leader's record names the earlier incarnation.
		fc, h := startedUnregistered(t)
		h.paused = true
		next := fc.newHarness("e2")
		fc.advance(2*vacantAfter, next)
		assertEqual(t, "the new one schedules", next.loop.leading(), true)
		assertStartedOnce(t, fc)
	})
	t.Run("a draining worker gets nothing new", func(t *testing.T) {
		// Guards against starts on a worker that leaves.
		fc, h := started(t, "w1")
		fc.registry[0] = fc.registry[0].Draining(5000)
		fc.advance(settleTime, h)
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(settleTime, h)
		assertRunning(t, fc)
	})
	t.Run("a worker that drained and left frees its tasks at once", func(t *testing.T) {
		// Guards against waiting for the lease of a worker that has left as announced.
		fc, h := started(t, "w1", "w2")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(100)))
		fc.advance(settleTime, h)
		fw := fc.workerOf("j1.0.0.0")
		i := slices.IndexFunc(fc.registry, func(reg Registration) bool { return reg.id == fw.id })
		fc.registry[i] = fc.registry[i].Draining(60_000)
		fc.advance(settleTime, h)
		fc.registry = slices.Delete(fc.registry, i, i+1)
		fw.runs, fw.unreachable = map[anviljob.TaskID]*fakeRun{}, true
		fc.advance(settleTime, h)
		assertRunning(t, fc, "j1.0.0.0")
	})
	t.Run("a worker that shows no progress loses its task", func(t *testing.T) {
		// Guards against tasks that stand still on a worker that looks healthy.
		fc, h := started(t, "w1", "w2")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(500)))
		fc.advance(settleTime, h)
		fw := fc.workerOf("j1.0.0.0")
		fc.advance(stallTimeout+2*settleTime, h)
		if now := fc.workerOf("j1.0.0.0"); now == nil || now == fw {
			t.Fatal("the task did not start on the other worker")
		}
	})
	t.Run("filling tasks are paced down beside a pressed serving task", func(t *testing.T) {
		// Guards against serving tasks that stay over their target because of what fills beside them.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, "", anviljob.NewStep(1, core(1), anviljob.WithLongRunning(true), anviljob.WithLatencyTarget(100)),
			anviljob.NewStep(1, core(8), anviljob.WithOpportunistic(true)))
		fc.advance(settleTime, h)
		serving, _ := anviljob.ParseTaskID("j1.0.0.0")
		filling, _ := anviljob.ParseTaskID("j1.0.1.0")
		fw := fc.workers["w1"]
		fw.runs[serving].load = 150
		fc.advance(2*leaseRefreshAge, h)
		assertEqual(t, "pace under pressure", fw.runs[filling].pace, 0)
		fw.runs[serving].load = 20
		fc.advance(2*leaseRefreshAge, h)
		assertEqual(t, "pace afterwards", fw.runs[filling].pace, 100)
	})
}

func TestAdvice(t *testing.T) {
	t.Run("only approved workers run a step", func(t *testing.T) {
		// Guards against starts that the advisor forbids.
		fc := newFakeCluster(t, testPolicy())
		fc.approves = func(id string) bool { return id == "w2" }
		fc.addWorker("w1", core(4))
		fc.addWorker("w2", core(4))
		h := fc.newHarness("e1")
		fc.advance(firstTime, h)
		fc.submit("j1", advisedQueue, teamName, anviljob.NewStep(3, core(1)))
		fc.advance(settleTime, h)
		assertEqual(t, "starts at w1", fc.workers["w1"].starts, 0)
		assertEqual(t, "starts at w2", fc.workers["w2"].starts, 3)
	})
	t.Run("a worker that comes later is asked about", func(t *testing.T) {
		// Guards against a step that stands still because none of the first workers was approved.
		fc := newFakeCluster(t, testPolicy())
		fc.approves = func(id string) bool { return id == "w2" }
		fc.addWorker("w1", core(4))
		h := fc.newHarness("e1")
		fc.advance(firstTime, h)
		fc.submit("j1", advisedQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(settleTime, h)
		fc.addWorker("w2", core(4))
		fc.advance(settleTime, h)
		assertRunning(t, fc, "j1.0.0.0")
	})
	t.Run("a question without an answer is asked again while nothing else happens", func(t *testing.T) {
		// Guards against a step that stands still on an idle fleet because no event has it looked at again.
		fc, h := started(t, "w1")
		fc.failQueries = 1
		fc.submit("j1", advisedQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(1000, h)
		assertRunning(t, fc, "j1.0.0.0")
	})
	t.Run("nothing is asked while there is no room", func(t *testing.T) {
		// Guards against questions whose tickets lapse before they can be used.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, "", anviljob.NewStep(4, core(1), anviljob.WithEstimate(60_000)))
		fc.advance(settleTime, h)
		fc.submit("j2", advisedQueue, "", anviljob.NewStep(1, core(1)))
		fc.advance(settleTime, h)
		assertEqual(t, "questions", len(fc.queries), 0)
	})
	t.Run("a step with approved workers asks again when there is room", func(t *testing.T) {
		// Guards against a step that stands still because steps that can't start seem to need all room.
		fc, h := started(t, "w1", "w2")
		fc.approves = func(id string) bool { return id == "w1" }
		fc.submit("j1", advisedQueue, "", anviljob.NewStep(1, core(4), anviljob.WithEstimate(500)))
		fc.advance(settleTime, h)
		fc.submit("j2", advisedQueue, "", anviljob.NewStep(9, core(4), anviljob.WithEstimate(500)))
		fc.submit("j3", advisedQueue, "", anviljob.NewStep(1, core(1), anviljob.WithEstimate(60_000)))
		fc.advance(settleTime, h)
		fc.approves = func(string) bool { return true }
		fc.advance(1000, h)
		fc.endRun("j1.0.0.0", CauseDone, "")
		for range 9 {
			fc.advance(settleTime, h)
			for _, task := range fc.running() {
				if task[:2] == "j2" {
					fc.endRun(task, CauseDone, "")
				}
			}
		}
		fc.advance(settleTime, h)
		assertRunning(t, fc, "j3.0.0.0")
	})
	t.Run("a lapsed ticket is not used", func(t *testing.T) {
		// Guards against starts that are refused because their commit took longer than the ticket.
		fc, h := started(t, "w1")
		fc.submit("j1", advisedQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(settleTime, h)
		fc.endRun("j1.0.0.0", CauseStopped, "")
		asked := len(fc.queries)
		fc.advance(anvilclock.Millis(2500), h)
		assertRunning(t, fc, "j1.0.0.0")
		_ = asked
	})
}

func TestTeamShare(t *testing.T) {
	t.Run("what a team sends beyond its share comes last", func(t *testing.T) {
		// Guards against one team whose flood delays the others.
		fc := newFakeCluster(t, testPolicy())
		fc.addWorker("w1", anvilsize.New(1000, 0, 0))
		h := fc.newHarness("e1")
		fc.advance(firstTime, h)
		fc.submit("first", plainQueue, "", anviljob.NewStep(1, core(1), anviljob.WithEstimate(500)))
		fc.advance(settleTime, h)
		fc.submit("flood", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(500)))
		fc.submit("other", plainQueue, "", anviljob.NewStep(1, core(1), anviljob.WithEstimate(500)))
		h.loop.work.shareBuckets[teamName] = &shareBucket{updatedAt: fc.clock.Now() + 1000}
		fc.advance(settleTime, h)
		fc.endRun("first.0.0.0", CauseDone, "")
		fc.advance(settleTime, h)
		assertRunning(t, fc, "other.0.0.0")
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
		fc := newFakeCluster(t, policy)
		for _, id := range []string{"w1", "w2", "w3"} {
			fc.addWorker(id, core(4))
		}
		h := fc.newHarness("e1")
		fc.advance(firstTime, h)
		fc.submit("b1", "batch", "", anviljob.NewStep(12, core(1), long))
		fc.advance(settleTime, h)
		assertEqual(t, "long tasks", len(fc.running()), 10)
		fc.submit("q1", "quick", "", anviljob.NewStep(2, core(1)))
		fc.advance(settleTime, h)
		assertEqual(t, "all tasks", len(fc.running()), 12)
	})
	t.Run("work that can no longer wait takes all room", func(t *testing.T) {
		// Guards against jobs that are late because room is kept for work that does not come.
		fc := newFakeCluster(t, policy)
		fc.addWorker("w1", core(4))
		h := fc.newHarness("e1")
		fc.advance(firstTime, h)
		fc.submit("b1", "batch", "", anviljob.NewStep(4, core(1), anviljob.WithEstimate(100)))
		fc.advance(settleTime, h)
		assertEqual(t, "tasks", len(fc.running()), 3)
		fc.advance(2500, h)
		assertEqual(t, "tasks later", len(fc.running()), 4)
	})
}
