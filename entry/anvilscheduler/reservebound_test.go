package anvilscheduler

import (
	"fmt"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
)

// Names of the queues of newWaitingGang, the first with the more urgent priority, the label of its last three workers and that of
// the others.
const (
	urgentQueue = "urgent"
	commonQueue = "common"
	gangLabel   = "b"
	otherLabel  = "a"
)

// newWaitingGang returns a cluster of 12 workers. A gang waits for the three workers with a label, two of which are empty; on
// the third, a task runs that blocks it.
func newWaitingGang(t *testing.T, blocking anviljob.Step) (*fakeCluster, *harness) {
	t.Helper()
	objective := anvilpolicy.WithObjective(3, 20_000)
	fc := newFakeCluster(t, anvilpolicy.New(1, []anvilpolicy.Queue{
		anvilpolicy.NewQueue(urgentQueue, "h", "/u/", poolName, anvilpolicy.WithPriority(0), objective),
		anvilpolicy.NewQueue(commonQueue, "h", "/c/", poolName, anvilpolicy.WithPriority(1), objective),
	}))
	for i := range 12 {
		label := otherLabel
		if i >= 9 {
			label = gangLabel
		}
		fc.addWorker(fmt.Sprintf("w%02d", i), core(8), label)
	}
	h := fc.newHarness("e1")
	fc.advance(firstClaimTime, h)
	fc.submit("blocker", commonQueue, "", blocking)
	fc.advance(reactionTime, h)
	assertStarted(t, fc, "blocker.0.0.0")
	fc.submit("gang", commonQueue, "", anviljob.NewStep(3, core(6), anviljob.WithLabel(gangLabel), anviljob.WithGang(true, false),
		anviljob.WithEstimate(20_000)))
	fc.advance(reactionTime, h)
	return fc, h
}

// emptyWorker returns the id of a worker that the gang can use and on which nothing runs.
func emptyWorker(fc *fakeCluster) string {
	for id, fw := range fc.workers {
		if len(fw.runs) == 0 && id >= "w09" {
			return id
		}
	}
	fc.t.Fatal("no worker is empty")
	return ""
}

// fillOthers fills workers that the gang can't use, so that over half of the pool is in use.
func (fc *fakeCluster) fillOthers(h *harness) {
	fc.submit("others", commonQueue, "", anviljob.NewStep(6, core(8), anviljob.WithLabel(otherLabel), anviljob.WithLongRunning(true)))
	fc.advance(reactionTime, h)
}

func blockingStep(estimate anvilclock.Millis) anviljob.Step {
	return anviljob.NewStep(1, core(5), anviljob.WithLabel(gangLabel), anviljob.WithEstimate(estimate))
}

func labelledStep(estimate anvilclock.Millis) anviljob.Step {
	return anviljob.NewStep(1, core(3), anviljob.WithLabel(gangLabel), anviljob.WithEstimate(estimate))
}

// advanceLate advances the clock while the blocking task reports progress and doesn't end.
func (fc *fakeCluster) advanceLate(d anvilclock.Millis, h *harness) {
	for end := fc.clock.Now() + d; fc.clock.Now() < end; {
		for _, r := range fc.workerOf("blocker.0.0.0").runs {
			if r.percent = max(r.percent, 50); fc.clock.Now()%1500 < 500 {
				r.percent = min(r.percent+1, 99)
			}
		}
		fc.advance(500, h)
	}
}

func assertNotStarted(t *testing.T, fc *fakeCluster, task string) {
	t.Helper()
	if fc.workerOf(task) != nil {
		t.Fatalf("task %s runs", task)
	}
}

func TestReservationOfWaitingGang(t *testing.T) {
	t.Run("isn't made where a long-running task stays", func(t *testing.T) {
		// Guards against jobs that starve beside empty workers, which a gang reserves though it can't start (review case 7).
		fc, h := newWaitingGang(t, anviljob.NewStep(1, core(5), anviljob.WithLabel(gangLabel), anviljob.WithLongRunning(true)))
		fc.submit("j1", commonQueue, "", labelledStep(60_000))
		fc.advance(reactionTime, h)
		assertStarted(t, fc, "j1.0.0.0")
	})
	t.Run("doesn't hold back a more urgent queue", func(t *testing.T) {
		// Guards against an urgent job that waits for the gang of a queue with a lower priority.
		fc, h := newWaitingGang(t, blockingStep(10_000))
		fc.submit("j1", urgentQueue, "", labelledStep(60_000))
		fc.advance(reactionTime, h)
		assertStarted(t, fc, "j1.0.0.0")
	})
	t.Run("doesn't hold back a long-running task", func(t *testing.T) {
		// Guards against a long-running task that is away for as long as a gang waits.
		fc, h := newWaitingGang(t, blockingStep(10_000))
		fc.submit("j1", commonQueue, "", anviljob.NewStep(1, core(3), anviljob.WithLabel(gangLabel), anviljob.WithLongRunning(true)))
		fc.advance(reactionTime, h)
		assertStarted(t, fc, "j1.0.0.0")
	})
	t.Run("lets tasks go ahead that end before the gang can start", func(t *testing.T) {
		// Guards against reserved workers that are idle although short tasks could use them.
		fc, h := newWaitingGang(t, blockingStep(10_000))
		fc.submit("j1", commonQueue, "", labelledStep(1000))
		fc.submit("j2", commonQueue, "", labelledStep(9000))
		fc.advance(reactionTime, h)
		assertStarted(t, fc, "j1.0.0.0")
		assertNotStarted(t, fc, "j2.0.0.0")
	})
	t.Run("leaves what the gang doesn't need", func(t *testing.T) {
		// Guards against a reservation of more than the gang can use, where the end of the blocking task leaves more than it needs.
		fc, h := newWaitingGang(t, blockingStep(10_000))
		fc.submit("j1", commonQueue, "", anviljob.NewStep(3, core(2), anviljob.WithLabel(gangLabel), anviljob.WithEstimate(60_000)))
		fc.advance(reactionTime, h)
		assertEqual(t, "running tasks", len(fc.running()), 4)
	})
	t.Run("lasts until the expected start", func(t *testing.T) {
		// Guards against a gang that starves because its reservation ends before the tasks that it waits for.
		fc, h := newWaitingGang(t, blockingStep(10_000))
		fc.fillOthers(h)
		fc.submit("j1", commonQueue, "", labelledStep(60_000))
		fc.advanceLate(2*freePoolGrace, h)
		assertNotStarted(t, fc, "j1.0.0.0")
	})
	t.Run("is short where most of the pool is free", func(t *testing.T) {
		// Guards against a job that has nothing running for over 3 s beside free workers while under half of the pool is in use.
		fc, h := newWaitingGang(t, blockingStep(30_000))
		fc.submit("j1", commonQueue, "", labelledStep(60_000))
		fc.advance(reactionTime, h)
		assertNotStarted(t, fc, "j1.0.0.0")
		fc.advanceLate(freePoolGrace, h)
		assertStarted(t, fc, "j1.0.0.0")
	})
	t.Run("is longer after it has lapsed in a busy pool", func(t *testing.T) {
		// Guards against a gang that starves because all workers of its kind are always in use by tasks whose estimates are too
		// short.
		fc, h := newWaitingGang(t, blockingStep(1000))
		fc.fillOthers(h)
		fc.advanceLate(1000+reservationGrace+reservationPause+reactionTime, h)
		fc.submit("j1", commonQueue, "", labelledStep(60_000))
		fc.advanceLate(3*reservationGrace, h)
		assertNotStarted(t, fc, "j1.0.0.0")
		fc.advanceLate(3*reservationGrace, h)
		assertStarted(t, fc, "j1.0.0.0")
	})
	t.Run("isn't longer after it has lapsed where most of the pool is free", func(t *testing.T) {
		// Guards against a job that has nothing running for over 3 s beside free workers, because a gang has reserved them again.
		fc, h := newWaitingGang(t, blockingStep(30_000))
		fc.advanceLate(freePoolGrace+reservationPause, h)
		fc.submit("j1", commonQueue, "", labelledStep(60_000))
		fc.advance(reactionTime, h)
		assertNotStarted(t, fc, "j1.0.0.0")
		fc.advanceLate(freePoolGrace, h)
		assertStarted(t, fc, "j1.0.0.0")
	})
	t.Run("lets very short tasks go ahead after the expected start", func(t *testing.T) {
		// Guards against short tasks that wait beside free workers until the reservation lapses, which can take minutes.
		fc, h := newWaitingGang(t, blockingStep(1000))
		fc.fillOthers(h)
		fc.advanceLate(3000, h)
		fc.submit("j1", commonQueue, "", labelledStep(100))
		fc.submit("j2", commonQueue, "", labelledStep(1000))
		fc.advanceLate(1000, h)
		assertStarted(t, fc, "j1.0.0.0")
		assertNotStarted(t, fc, "j2.0.0.0")
	})
	t.Run("lapses when the gang doesn't start as expected", func(t *testing.T) {
		// Guards against jobs that wait without a bound for a gang whose estimate of its start is wrong.
		fc, h := newWaitingGang(t, blockingStep(1000))
		fc.fillOthers(h)
		fc.submit("j1", commonQueue, "", labelledStep(60_000))
		fc.advance(reactionTime, h)
		assertNotStarted(t, fc, "j1.0.0.0")
		fc.advanceLate(1000+reservationGrace, h)
		assertStarted(t, fc, "j1.0.0.0")
	})
	t.Run("is made again after a pause", func(t *testing.T) {
		// Guards against a gang that starves because its reservation has lapsed once.
		fc, h := newWaitingGang(t, blockingStep(1000))
		fc.fillOthers(h)
		fc.advanceLate(1000+reservationGrace+reservationPause+reactionTime, h)
		fc.submit("j1", commonQueue, "", labelledStep(60_000))
		fc.advance(reactionTime, h)
		assertNotStarted(t, fc, "j1.0.0.0")
		fc.endRun("blocker.0.0.0", CauseDone, "")
		fc.advance(reactionTime, h)
		assertStarted(t, fc, "gang.0.0.2")
	})
	t.Run("begins anew after a worker of it was drained", func(t *testing.T) {
		// Guards against a gang that must pause because a reservation lapses which it no longer had.
		fc, h := newWaitingGang(t, blockingStep(1000))
		fc.fillOthers(h)
		id := emptyWorker(fc)
		drain := func(draining bool) {
			fc.setEntry(id, func(r Registration) Registration { r.draining = draining; return r })
		}
		drain(true)
		fc.advanceLate(1000+reservationGrace, h)
		drain(false)
		fc.advance(reactionTime, h)
		fc.submit("j1", commonQueue, "", labelledStep(60_000))
		fc.advance(reactionTime, h)
		assertReserved(t, h, "gang")
		assertNotStarted(t, fc, "j1.0.0.0")
	})
	t.Run("outlasts estimates that are too short", func(t *testing.T) {
		// Guards against a gang of a large part of a pool that starves among tasks which take three times their estimates.
		b := newBusyCluster(t, 8)
		b.estimate = 300
		b.cluster.submit("j1", "wide", "", anviljob.NewStep(3, core(8), anviljob.WithEstimate(4000), anviljob.WithGang(true, false)))
		b.run(reservationGrace)
		assertStarted(t, b.cluster, "j1.0.0.2")
	})
}
