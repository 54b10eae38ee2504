package anvilscheduler

import (
	"fmt"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
)

// The names in the cluster of startedDeferrable.
const (
	quickQueue = "quick"
	batchQueue = "batch"
	smallTeam  = "small"
)

// startedDeferrable returns a cluster of four workers of 64 cores, with a deferrable queue and a team that may use limit
// cores and submit two jobs a second.
func startedDeferrable(t *testing.T, limit int64) (*fakeCluster, *harness) {
	t.Helper()
	fc := newFakeCluster(t, anvilpolicy.New(1, []anvilpolicy.Queue{
		anvilpolicy.NewQueue(quickQueue, "h", "/q/", poolName, anvilpolicy.WithAttempts(3), anvilpolicy.WithObjective(2, 1000)),
		anvilpolicy.NewQueue(batchQueue, "h", "/b/", poolName, anvilpolicy.WithAttempts(3), anvilpolicy.WithPriority(2),
			anvilpolicy.WithObjective(4, 3000)),
	}, anvilpolicy.WithTeams(anvilpolicy.NewTeam(smallTeam, 2, core(limit), []string{"key"}))))
	for i := range 4 {
		fc.addWorker(fmt.Sprintf("w%d", i), core(64))
	}
	h := fc.newHarness("e1")
	fc.advance(firstClaimTime, h)
	return fc, h
}

// advanceEnding advances the cluster for a duration and ends each run that has worked for at least 300 ms, but for those of
// the job "lasting".
func (fc *fakeCluster) advanceEnding(d anvilclock.Millis, h *harness) {
	const step = anvilclock.Millis(300)
	for ; d > 0; d -= step {
		before := fc.running()
		fc.advance(step, h)
		for _, task := range before {
			if fc.workerOf(task) != nil && task[:7] != "lasting" {
				fc.endRun(task, CauseDone, "")
			}
		}
	}
}

// burstJobs is the number of jobs of a burst, which are named j00, j01 and so on.
const burstJobs = 30

func assertBurstEnded(t *testing.T, fc *fakeCluster) {
	t.Helper()
	for i := range burstJobs {
		assertEqual(t, fmt.Sprintf("state of job %d", i), fc.state(fmt.Sprintf("j%02d", i)), anviljob.Completed)
	}
}

// Guards against accepted jobs that never start on idle workers: the headroom for more urgent queues must not keep out
// work that is too large for what is left beside it, once its job is beyond the team's share or too late to be of worth.
func TestHeadroomStarvesNoJob(t *testing.T) {
	const limit = 16
	estimate := anviljob.WithEstimate(300)
	for _, share := range []int64{5, 8, 12, 14, 15, 16} {
		t.Run(fmt.Sprintf("a burst of tasks of %d of %d cores", share, limit), func(t *testing.T) {
			fc, h := startedDeferrable(t, limit)
			for i := range burstJobs {
				fc.submit(fmt.Sprintf("j%02d", i), batchQueue, smallTeam, anviljob.NewStep(1, core(share), estimate))
				fc.advance(75, h)
			}
			fc.advanceEnding(burstJobs*900, h)
			assertBurstEnded(t, fc)
		})
		t.Run(fmt.Sprintf("a burst of gangs of %d of %d cores", share, limit), func(t *testing.T) {
			fc, h := startedDeferrable(t, limit)
			for i := range burstJobs {
				fc.submit(fmt.Sprintf("j%02d", i), batchQueue, smallTeam, anviljob.NewStep(int(share), core(1), estimate, anviljob.WithGang(true, false)))
				fc.advance(75, h)
			}
			fc.advanceEnding(burstJobs*900, h)
			assertBurstEnded(t, fc)
		})
	}
	lasting := anviljob.NewStep(1, core(7), anviljob.WithLongRunning(true))
	t.Run("beside a lasting task of under half of the limit", func(t *testing.T) {
		fc, h := startedDeferrable(t, limit)
		fc.submit("lasting", quickQueue, smallTeam, lasting)
		for i := range burstJobs {
			fc.submit(fmt.Sprintf("j%02d", i), batchQueue, smallTeam, anviljob.NewStep(1, core(9), estimate))
			fc.advance(75, h)
		}
		fc.advanceEnding(burstJobs*900, h)
		assertBurstEnded(t, fc)
	})
	t.Run("beside lasting tasks of over half of the limit", func(t *testing.T) {
		fc, h := startedDeferrable(t, limit)
		fc.submit("lasting", quickQueue, smallTeam, anviljob.NewStep(1, core(10), anviljob.WithLongRunning(true)))
		for i := range burstJobs {
			fc.submit(fmt.Sprintf("j%02d", i), batchQueue, smallTeam, anviljob.NewStep(1, core(6), estimate))
			fc.advance(75, h)
		}
		fc.advanceEnding(maxDeferral+burstJobs*900, h)
		assertBurstEnded(t, fc)
	})
	t.Run("of over the pool's share", func(t *testing.T) {
		fc, h := startedDeferrable(t, 0)
		for i := range burstJobs {
			fc.submit(fmt.Sprintf("j%02d", i), batchQueue, smallTeam, anviljob.NewStep(4, core(60), estimate, anviljob.WithGang(true, false)))
			fc.advance(75, h)
		}
		fc.advanceEnding(burstJobs*900, h)
		assertBurstEnded(t, fc)
	})
}

// Guards against headroom that vanishes while a team or a pool is busy: a burst of urgent tasks would wait for long ones.
func TestHeadroomOfBusyTeam(t *testing.T) {
	fc, h := startedDeferrable(t, 16)
	for i := range 20 {
		fc.submit(fmt.Sprintf("j%02d", i), batchQueue, smallTeam, anviljob.NewStep(1, anvilsize.New(2500, 0, 0), anviljob.WithEstimate(8000)))
	}
	fc.advance(reactionTime, h)
	assertEqual(t, "running long tasks", len(fc.running()), 5)
	fc.submit("q1", quickQueue, smallTeam, anviljob.NewStep(1, core(2), anviljob.WithEstimate(300)))
	fc.advance(reactionTime, h)
	assertEqual(t, "running tasks of both queues", len(fc.running()), 6)
}
