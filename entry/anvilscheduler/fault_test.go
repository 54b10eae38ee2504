package anvilscheduler

import (
	"slices"
	"testing"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
)

// takeoverTime is longer than a successor needs for its claim.
const takeoverTime = vacantAfter + reactionTime

// Guards against accepted jobs of a removed queue that a new leader never continues.
func TestJobsOfRemovedQueue(t *testing.T) {
	for name, takeover := range map[string]bool{"by the same leader": false, "by a new leader": true} {
		t.Run(name, func(t *testing.T) {
			fc, h := started(t, "w1")
			fc.submit("j1", plainQueue, teamName, anviljob.NewStep(2, core(1)), anviljob.NewStep(2, core(1), anviljob.WithAfter(0)))
			fc.advance(reactionTime, h)
			assertRunning(t, fc, "j1.0.0.0", "j1.0.0.1")
			fc.policy = anvilpolicy.New(2, nil, anvilpolicy.WithTeams(anvilpolicy.NewTeam(teamName, 100, core(8), []string{"key"})))
			fc.advance(reactionTime, h)
			if takeover {
				h.paused = true
				h = fc.newHarness("e2")
				fc.advance(takeoverTime, h)
			}
			fc.endRun("j1.0.0.0", CauseDone, "")
			fc.endRun("j1.0.0.1", CauseDone, "")
			fc.advance(reactionTime, h)
			assertRunning(t, fc, "j1.0.1.0", "j1.0.1.1")
			fc.endRun("j1.0.1.0", CauseDone, "")
			fc.endRun("j1.0.1.1", CauseDone, "")
			fc.advance(reactionTime, h)
			assertState(t, fc, anviljob.Completed)
		})
	}
}

func TestTakeover(t *testing.T) {
	t.Run("a successor adopts running tasks", func(t *testing.T) {
		// Guards against a second run of a task that the former leader has started.
		fc, h := started(t, "w1", "w2")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(2, core(1)))
		fc.advance(reactionTime, h)
		next := fc.newHarness("e2")
		fc.advance(takeoverTime, next)
		assertEqual(t, "the successor is leader", next.loop.leading(), true)
		assertRunning(t, fc, "j1.0.0.0", "j1.0.0.1")
		fc.endRun("j1.0.0.0", CauseDone, "")
		fc.endRun("j1.0.0.1", CauseDone, "")
		fc.advance(reactionTime, next)
		assertState(t, fc, anviljob.Completed)
	})
	t.Run("a new process of the leader's machine claims at once", func(t *testing.T) {
		// Guards against a fleet that gets no starts for as long as a takeover takes after all processes were killed.
		fc := newFakeCluster(t, testPolicy())
		fc.addWorker("w1", core(4))
		fc.advance(firstClaimTime, fc.newHarness("m1-aaaa", WithMachine("m1")))
		next := fc.newHarness("m1-bbbb", WithMachine("m1"))
		other := fc.newHarness("m2-cccc", WithMachine("m2"))
		fc.advance(100, other, next)
		assertEqual(t, "the machine's new process is leader", next.loop.leading(), true)
	})
	t.Run("a leader that was paused steps down", func(t *testing.T) {
		// Guards against two leaders that start the same work.
		fc, h := started(t, "w1")
		next := fc.newHarness("e2")
		fc.advance(takeoverTime, next)
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(2, core(1)))
		fc.advance(reactionTime, h, next)
		assertEqual(t, "the former leader is still leader", h.loop.leading(), false)
		assertEqual(t, "the new instance is leader", next.loop.leading(), true)
		assertRunning(t, fc, "j1.0.0.0", "j1.0.0.1")
	})
	t.Run("a leader whose token a worker refuses steps down", func(t *testing.T) {
		// Guards against a leader that continues after a worker has refused its token as outdated.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.workers["w1"].token = 99
		fc.advance(50, h)
		fc.advance(50, h)
		assertEqual(t, "is leader", h.loop.leading(), false)
	})
	t.Run("the failure of a run is counted once", func(t *testing.T) {
		// Guards against a job that fails early because a worker reports the end of a run again to a successor.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(reactionTime, h)
		fc.endRun("j1.0.0.0", CauseFailed, "")
		unacked := slices.Clone(fc.workers["w1"].ends)
		fc.advance(reactionTime, h)
		fc.endRun("j1.0.0.0", CauseFailed, "")
		unacked = append(unacked, fc.workers["w1"].ends...)
		fc.advance(reactionTime, h)
		fc.workers["w1"].ends = unacked
		next := fc.newHarness("e2")
		fc.advance(takeoverTime, next)
		assertState(t, fc, anviljob.Running)
		assertRunning(t, fc, "j1.0.0.0")
	})
	t.Run("no instance becomes leader before it knows the configuration", func(t *testing.T) {
		// Guards against jobs that fail because their queue's attempts are not known yet.
		fc := newFakeCluster(t, nil)
		fc.addWorker("w1", core(4))
		h := fc.newHarness("e1")
		fc.advance(firstClaimTime, h)
		assertEqual(t, "is leader", h.loop.leading(), false)
	})
	t.Run("a new leader that reads large tables keeps the leadership", func(t *testing.T) {
		// Guards against instances that take the leadership from each other for ever, because none reads all tables before the
		// next one claims it.
		fc, h := started(t, "w1")
		h.paused = true
		second, third := fc.newHarness("e2"), fc.newHarness("e3")
		var load func()
		second.loop.spawn = func(f func()) {
			if load == nil && second.loop.leadership.token != 0 {
				load = f
				return
			}
			f()
		}
		fc.advance(takeoverTime, second)
		fc.advance(2*readTimeout, second, third)
		assertEqual(t, "the second instance still loads", second.loop.loading(), true)
		assertEqual(t, "state of the third instance", third.loop.leadership.machine.State(), stateFollowing)
		load()
		fc.advance(reactionTime, second, third)
		assertEqual(t, "the second instance is leader", second.loop.leading(), true)
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(reactionTime, second, third)
		assertRunning(t, fc, "j1.0.0.0")
	})
	t.Run("a planned shutdown releases the leadership at once", func(t *testing.T) {
		// Guards against a planned shutdown after which the takeover takes as long as after a crash.
		fc, h := started(t, "w1")
		next := fc.newHarness("e2")
		fc.advance(reactionTime, h, next)
		released := h.loop.Shutdown()
		fc.advance(reactionTime, h, next)
		select {
		case <-released:
		default:
			t.Fatal("the leadership was not released")
		}
		assertEqual(t, "the successor is leader", next.loop.leading(), true)
	})
	t.Run("a failed job stays failed after a takeover", func(t *testing.T) {
		// Guards against another attempt at a failed job by a new leader.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)), anviljob.NewStep(1, core(1)))
		for range 3 {
			fc.advance(reactionTime, h)
			fc.workers["w1"].loseAnswers = false
			fc.endRun("j1.0.0.0", CauseFailed, "")
		}
		fc.advance(reactionTime, h)
		next := fc.newHarness("e2")
		fc.advance(takeoverTime, next)
		assertState(t, fc, anviljob.Failed)
		assertRunning(t, fc)
	})
}

func TestStore(t *testing.T) {
	t.Run("a commit whose answer is lost is applied once", func(t *testing.T) {
		// Guards against a leader that steps down, or commits twice, because an answer was lost.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.store.loseAnswers = 2
		fc.advance(reactionTime, h)
		assertEqual(t, "is leader", h.loop.leading(), true)
		assertRunning(t, fc, "j1.0.0.0")
	})
	t.Run("a former leader's commit fails", func(t *testing.T) {
		// Guards against a start that is stored by an instance that is no longer the leader.
		fc, h := started(t, "w1")
		next := fc.newHarness("e2")
		fc.advance(takeoverTime, next)
		h.loop.commits.lastSent = 0
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		h.loop.processIntake(mustScan(t, fc, anvilstorage.Intake))
		h.runUntilIdle()
		assertEqual(t, "is leader", h.loop.leading(), false)
		assertRunning(t, fc)
	})
	t.Run("an intake page older than a job's end does not restart the job", func(t *testing.T) {
		// Guards against a job that runs again because a slow read of the intake table arrives after the job's end.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		staleIntake := mustScan(t, fc, anvilstorage.Intake)
		fc.advance(reactionTime, h)
		fc.endRun("j1.0.0.0", CauseDone, "")
		fc.advance(reactionTime, h)
		assertState(t, fc, anviljob.Completed)
		h.loop.post(intakeRead{token: h.loop.leadership.token, page: staleIntake})
		h.loop.ReceiveRows(staleIntake.Rows())
		fc.advance(reactionTime, h)
		assertRunning(t, fc)
	})
	t.Run("an unreadable row is skipped", func(t *testing.T) {
		// Guards against an invalid row, stored by another writer, that stops scheduling.
		fc, h := started(t, "w1")
		fc.commit(anvilstorage.NewRow(anvilstorage.Intake, "bad", []byte("{")), anvilstorage.NewRow(anvilstorage.States, "bad", []byte("7")))
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(reactionTime, h)
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

// startedBeforeRegistration returns a cluster in which w1 was restarted, its new process has started j1 before the
// registry showed the restart, and the registry shows the new incarnation now.
func startedBeforeRegistration(t *testing.T) (*fakeCluster, *harness) {
	t.Helper()
	fc, h := started(t, "w1", "w2")
	fw := fc.workers["w1"]
	fc.workers["w2"].unreachable = true
	fc.advance(2*reactionTime, h)
	fw.restart()
	// A hold would show the restart before the start is sent.
	fw.loseHolds = true
	fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
	fc.advance(50, h)
	assertRunning(t, fc, "j1.0.0.0")
	fw.loseHolds = false
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
	t.Run("an unreachable worker's tasks start elsewhere once its lease has expired", func(t *testing.T) {
		// Guards against a second run while the first one continues on a worker that can't be reached.
		fc, h := started(t, "w1", "w2")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(reactionTime, h)
		fw := fc.workerOf("j1.0.0.0")
		fw.unreachable = true
		fc.advance(leaseDuration-1500, h)
		assertEqual(t, "the first run's worker", fc.workerOf("j1.0.0.0").id, fw.id)
		fc.advance(4000, h)
		if current := fc.workerOf("j1.0.0.0"); current == nil || current == fw {
			t.Fatal("the task did not start on the other worker")
		}
	})
	t.Run("a run that is no longer needed uses capacity until it has been stopped", func(t *testing.T) {
		// Guards against an overcommitted worker when the first run ended unnoticed and the second one still runs.
		fc, h := started(t, "w1", "w2")
		fc.submit("j1", plainQueue, "", anviljob.NewStep(1, core(4), anviljob.WithEstimate(60_000)))
		fc.advance(reactionTime, h)
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
		fc.setEntry(first.id, func(r Registration) Registration {
			r.capacity = core(0)
			return r
		})
		fc.advance(reactionTime, h)
		assertState(t, fc, anviljob.Completed)
		assertRunning(t, fc, "j1.0.0.0")
		fc.endRun("j1.0.0.0", CauseStopped, "")
		fc.advance(reactionTime, h)
		assertRunning(t, fc, "j2.0.0.0")
	})
	t.Run("a start without an answer is sent again and runs once", func(t *testing.T) {
		// Guards against a task that runs twice, or never, after a lost answer.
		fc, h := started(t, "w1")
		fc.workers["w1"].loseAnswers = true
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(1000, h)
		assertRunning(t, fc, "j1.0.0.0")
		fc.workers["w1"].loseAnswers = false
		fc.advance(1000, h)
		assertEqual(t, "starts", fc.workers["w1"].starts, 1)
		fc.endRun("j1.0.0.0", CauseDone, "")
		fc.advance(reactionTime, h)
		assertState(t, fc, anviljob.Completed)
	})
	t.Run("repeated stops do not delay the end of a run that the worker does not have", func(t *testing.T) {
		// Guards against a task that stays in state stopping forever because the worker does not have that task's run.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(reactionTime, h)
		id, _ := anviljob.ParseTaskID("j1.0.0.0")
		task := h.loop.findTask(id)
		task.confirmedAt = 0
		for range 2 {
			fc.clock.Advance(stopRetryDelay)
			stopAnswered{token: h.loop.leadership.token, worker: task.worker, task: task, run: task.run}.deliver(h.loop)
		}
		assertEqual(t, "age of the confirmation", fc.clock.Now()-task.confirmedAt, stopRetryDelay)
	})
	t.Run("a restarted worker's tasks start again", func(t *testing.T) {
		// Guards against tasks that count as running on a worker whose new process does not have them.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(reactionTime, h)
		fc.workers["w1"].restart()
		fc.registry[0].incarnation = fc.workers["w1"].incarnation
		fc.advance(reactionTime, h)
		assertRunning(t, fc, "j1.0.0.0")
		assertEqual(t, "starts", fc.workers["w1"].starts, 2)
	})
	t.Run("a run that a restarted worker has started continues", func(t *testing.T) {
		// Guards against a second run while the first one runs: the worker was restarted under its id, and its new process
		// received the start before the registry showed the restart.
		fc, h := startedBeforeRegistration(t)
		fc.advance(2*reactionTime, h)
		assertStartedOnce(t, fc)
	})
	t.Run("the run of a restarted worker continues after a takeover", func(t *testing.T) {
		// Guards against a second run while the first one runs: the former leader's record names the earlier incarnation.
		fc, h := startedBeforeRegistration(t)
		h.paused = true
		next := fc.newHarness("e2")
		fc.advance(2*vacantAfter, next)
		assertEqual(t, "the new instance is leader", next.loop.leading(), true)
		assertStartedOnce(t, fc)
	})
	t.Run("a draining worker gets no starts", func(t *testing.T) {
		// Guards against starts on a worker that is about to leave.
		fc, h := started(t, "w1")
		fc.registry[0] = fc.registry[0].Draining(5000)
		fc.advance(reactionTime, h)
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(reactionTime, h)
		assertRunning(t, fc)
	})
	t.Run("a stalled run is moved to another worker", func(t *testing.T) {
		// Guards against tasks that make no progress on a worker that answers.
		fc, h := started(t, "w1", "w2")
		fc.submit("j1", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(500)))
		fc.advance(reactionTime, h)
		fw := fc.workerOf("j1.0.0.0")
		fc.advance(stallTimeout+2*reactionTime, h)
		if current := fc.workerOf("j1.0.0.0"); current == nil || current == fw {
			t.Fatal("the task did not start on the other worker")
		}
	})
	t.Run("opportunistic tasks are paused beside a task that is close to its latency target", func(t *testing.T) {
		// Guards against tasks that exceed their latency target because of opportunistic tasks on the same worker.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, "", anviljob.NewStep(1, core(1), anviljob.WithLongRunning(true), anviljob.WithLatencyTarget(100)),
			anviljob.NewStep(1, core(8), anviljob.WithOpportunistic(true)))
		fc.advance(reactionTime, h)
		serving, _ := anviljob.ParseTaskID("j1.0.0.0")
		opportunistic, _ := anviljob.ParseTaskID("j1.0.1.0")
		fw := fc.workers["w1"]
		fw.runs[serving].load = 150
		fc.advance(2*leaseRefreshAge, h)
		assertEqual(t, "pace at a high latency", fw.runs[opportunistic].pace, 0)
		fw.runs[serving].load = 20
		fc.advance(2*leaseRefreshAge, h)
		assertEqual(t, "pace at a low latency", fw.runs[opportunistic].pace, 100)
	})
}

func TestAdvice(t *testing.T) {
	t.Run("only approved workers run a step", func(t *testing.T) {
		// Guards against starts on workers that the advisor has not approved.
		fc := newFakeCluster(t, testPolicy())
		fc.approves = func(id string) bool { return id == "w2" }
		fc.addWorker("w1", core(4))
		fc.addWorker("w2", core(4))
		h := fc.newHarness("e1")
		fc.advance(firstClaimTime, h)
		fc.submit("j1", advisedQueue, teamName, anviljob.NewStep(3, core(1)))
		fc.advance(reactionTime, h)
		assertEqual(t, "starts at w1", fc.workers["w1"].starts, 0)
		assertEqual(t, "starts at w2", fc.workers["w2"].starts, 3)
	})
	t.Run("a worker that is added later is queried", func(t *testing.T) {
		// Guards against a step that never starts because none of the first workers was approved.
		fc := newFakeCluster(t, testPolicy())
		fc.approves = func(id string) bool { return id == "w2" }
		fc.addWorker("w1", core(4))
		h := fc.newHarness("e1")
		fc.advance(firstClaimTime, h)
		fc.submit("j1", advisedQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(reactionTime, h)
		fc.addWorker("w2", core(4))
		fc.advance(reactionTime, h)
		assertRunning(t, fc, "j1.0.0.0")
	})
	t.Run("a query without an answer is repeated without another event", func(t *testing.T) {
		// Guards against a step that never starts on an idle fleet because no event requests a scheduling pass.
		fc, h := started(t, "w1")
		fc.failQueries = 1
		fc.submit("j1", advisedQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(1000, h)
		assertRunning(t, fc, "j1.0.0.0")
	})
	t.Run("no query is sent while there is no capacity", func(t *testing.T) {
		// Guards against queries whose tickets expire before they can be used.
		fc, h := started(t, "w1")
		fc.submit("j1", plainQueue, "", anviljob.NewStep(4, core(1), anviljob.WithEstimate(60_000)))
		fc.advance(reactionTime, h)
		fc.submit("j2", advisedQueue, "", anviljob.NewStep(1, core(1)))
		fc.advance(reactionTime, h)
		assertEqual(t, "queries", len(fc.queries), 0)
	})
	t.Run("a step with approved workers queries again when there is capacity", func(t *testing.T) {
		// Guards against a step that never starts because steps that can't start claim all capacity.
		fc, h := started(t, "w1", "w2")
		fc.approves = func(id string) bool { return id == "w1" }
		fc.submit("j1", advisedQueue, "", anviljob.NewStep(1, core(4), anviljob.WithEstimate(500)))
		fc.advance(reactionTime, h)
		fc.submit("j2", advisedQueue, "", anviljob.NewStep(9, core(4), anviljob.WithEstimate(500)))
		fc.submit("j3", advisedQueue, "", anviljob.NewStep(1, core(1), anviljob.WithEstimate(60_000)))
		fc.advance(reactionTime, h)
		fc.approves = func(string) bool { return true }
		fc.advance(1000, h)
		fc.endRun("j1.0.0.0", CauseDone, "")
		for range 9 {
			fc.advance(reactionTime, h)
			for _, task := range fc.running() {
				if task[:2] == "j2" {
					fc.endRun(task, CauseDone, "")
				}
			}
		}
		fc.advance(reactionTime, h)
		assertRunning(t, fc, "j3.0.0.0")
	})
	t.Run("an expired ticket is not used", func(t *testing.T) {
		// Guards against starts that are refused because their commit took longer than the ticket was valid.
		fc, h := started(t, "w1")
		fc.submit("j1", advisedQueue, teamName, anviljob.NewStep(1, core(1)))
		fc.advance(reactionTime, h)
		asked := len(fc.queries)
		fc.advanceWorking(2500, h)
		fc.endRun("j1.0.0.0", CauseStopped, "")
		fc.advance(reactionTime, h)
		assertRunning(t, fc, "j1.0.0.0")
		if len(fc.queries) == asked {
			t.Error("the task was started again without a new ticket")
		}
	})
}

func TestTeamShare(t *testing.T) {
	t.Run("jobs beyond their team's share start last", func(t *testing.T) {
		// Guards against one team whose burst of jobs delays the jobs of other teams.
		fc := newFakeCluster(t, testPolicy())
		fc.addWorker("w1", anvilsize.New(1000, 0, 0))
		h := fc.newHarness("e1")
		fc.advance(firstClaimTime, h)
		fc.submit("first", plainQueue, "", anviljob.NewStep(1, core(1), anviljob.WithEstimate(500)))
		fc.advance(reactionTime, h)
		fc.submit("flood", plainQueue, teamName, anviljob.NewStep(1, core(1), anviljob.WithEstimate(500)))
		fc.submit("other", plainQueue, "", anviljob.NewStep(1, core(1), anviljob.WithEstimate(500)))
		h.loop.workload.shareBuckets[teamName] = &shareBucket{updatedAt: fc.clock.Now() + 1000}
		fc.advance(reactionTime, h)
		fc.endRun("first.0.0.0", CauseDone, "")
		fc.advance(reactionTime, h)
		assertRunning(t, fc, "other.0.0.0")
	})
}

func TestHeadroom(t *testing.T) {
	policy := anvilpolicy.New(1, []anvilpolicy.Queue{
		anvilpolicy.NewQueue("quick", "h", "/q/", poolName, anvilpolicy.WithObjective(2, 1000)),
		anvilpolicy.NewQueue("batch", "h", "/b/", poolName, anvilpolicy.WithPriority(2), anvilpolicy.WithObjective(4, 3000)),
	})
	long := anviljob.WithEstimate(8000)
	t.Run("deferrable jobs leave headroom to more urgent queues", func(t *testing.T) {
		// Guards against a burst of short jobs that waits for long tasks, which fill every worker.
		fc := newFakeCluster(t, policy)
		for _, id := range []string{"w1", "w2", "w3"} {
			fc.addWorker(id, core(4))
		}
		h := fc.newHarness("e1")
		fc.advance(firstClaimTime, h)
		fc.submit("b1", "batch", "", anviljob.NewStep(12, core(1), long))
		fc.advance(reactionTime, h)
		assertEqual(t, "running long tasks", len(fc.running()), 10)
		fc.submit("q1", "quick", "", anviljob.NewStep(2, core(1)))
		fc.advance(reactionTime, h)
		assertEqual(t, "running tasks of both queues", len(fc.running()), 12)
	})
	t.Run("urgent jobs use the headroom, too", func(t *testing.T) {
		// Guards against jobs that are late because capacity is kept free for jobs that never arrive.
		fc := newFakeCluster(t, policy)
		fc.addWorker("w1", core(4))
		h := fc.newHarness("e1")
		fc.advance(firstClaimTime, h)
		fc.submit("b1", "batch", "", anviljob.NewStep(4, core(1), anviljob.WithEstimate(100)))
		fc.advance(reactionTime, h)
		assertEqual(t, "running tasks", len(fc.running()), 3)
		fc.advance(2500, h)
		assertEqual(t, "running tasks once the job is urgent", len(fc.running()), 4)
	})
}
