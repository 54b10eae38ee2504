package anvilsoak

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	testWorkers = 10
	testLength  = 3 * time.Minute
)

// roundsOf returns the faults of a seed and asserts that they depend on it only.
func roundsOf(t *testing.T, seed uint64) []Fault {
	t.Helper()
	all := roundSchedule(seed, testLength, testWorkers)
	if !slices.Equal(all, roundSchedule(seed, testLength, testWorkers)) {
		t.Fatalf("seed %d gives different faults", seed)
	}
	return all
}

// Guards against long-running tasks that count as lost although no room is left for them.
func TestLongRunningJobs(t *testing.T) {
	for workers := maxLost + 1; workers <= maxNodes; workers++ {
		s, rng, used := &Soak{workers: workers, longRunning: true}, rand.New(rand.NewPCG(1, 1)), map[string]int64{}
		for n := range longRunningJobs + 10 {
			j, err := s.nextJob(rng, n)
			if err != nil || j.endless() != (n < longRunningJobs) {
				t.Fatalf("job %d is %+v, error %v", n, j, err)
			}
			if j.endless() {
				used[j.team] += j.steps[0].size.CPU() * int64(j.steps[0].count)
			}
		}
		var sum int64
		for team, cpu := range used {
			if sum += cpu; cpu*2 >= teamLimit(false).CPU() {
				t.Errorf("%d workers: the tasks of %s take %d", workers, team, cpu)
			}
		}
		if room := int64(workers-maxLost) * workerCPU; sum == 0 || sum*2 > room {
			t.Errorf("%d workers: the tasks take %d of %d", workers, sum, room)
		}
	}
}

// Guards against rounds that don't bring the loss of workers and the faults of the leader close together, or that leave too
// little time to check that all tasks run again.
func TestRoundSchedule(t *testing.T) {
	t.Run("all kinds occur", func(t *testing.T) {
		seen := map[Kind]bool{}
		for seed := range uint64(20) {
			for _, f := range roundsOf(t, seed) {
				seen[f.kind] = true
			}
		}
		for _, kind := range slices.Concat(roundWorkerKinds, roundLeaderKinds, []Kind{StoreFault}) {
			if !seen[kind] {
				t.Errorf("%s never occurs", kind)
			}
		}
	})
	t.Run("faults are close together, and a calm time follows", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, roundStream))
		for range 200 {
			round, end := newRound(rng, firstRound, testWorkers)
			for _, f := range round {
				after := f.at - firstRound
				switch {
				case f.kind == ReplaceWorker:
					if f.at != end-calmTime+replaceDelay {
						t.Errorf("%s comes %s before the end of the round", f, end-f.at)
					}
					continue
				case slices.Contains(roundWorkerKinds, f.kind) && after != 0, after < -leaderLead, after >= leaderLag:
					t.Errorf("%s comes %s after the loss of workers", f, after)
				}
				if calm := end - f.at - f.span; calm < calmTime {
					t.Errorf("the time after %s is only %s", f, calm)
				}
			}
		}
	})
	t.Run("rounds don't overlap", func(t *testing.T) {
		for seed := range uint64(20) {
			var end time.Duration
			for _, f := range roundsOf(t, seed) {
				if f.kind == ReplaceWorker {
					end = f.at
				} else if f.at < end {
					t.Errorf("seed %d: %s begins before lost workers are replaced", seed, f)
				}
			}
		}
	})
	t.Run("only lost workers are replaced", func(t *testing.T) {
		for seed := range uint64(20) {
			lost := map[int]bool{}
			for _, f := range roundsOf(t, seed) {
				switch f.kind {
				case LoseWorker:
					lost[f.target] = true
				case ReplaceWorker:
					if !lost[f.target] {
						t.Errorf("seed %d: worker %d is replaced but not lost", seed, f.target)
					}
					delete(lost, f.target)
				default:
					if slices.Contains(roundWorkerKinds, f.kind) && lost[f.target] {
						t.Errorf("seed %d: %s hits a lost worker", seed, f)
					}
				}
			}
			if len(lost) > 0 {
				t.Errorf("seed %d: %v are not replaced", seed, lost)
			}
		}
	})
}
