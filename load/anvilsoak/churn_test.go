package anvilsoak

import (
	"math/rand/v2"
	"testing"
	"time"

	"anvilhold.org/standin/anvilplatform"
)

// Guards against a scheduled fault that is injected as another kind, or at another strength, than its name says.
func TestParseSchedule(t *testing.T) {
	t.Run("faults of the store", func(t *testing.T) {
		for _, kind := range anvilplatform.FaultKinds() {
			f := assertParsed(t, string(kind)+"@2s+1m")
			if f.kind != StoreFault || f.storeFault() != kind || f.at != 2*time.Second || f.span != time.Minute {
				t.Errorf("%s is parsed as %s of %s", kind, f, f.storeFault())
			}
			if n := new(Soak).faultStrength(f); kind == anvilplatform.Slow && (n < 55 || n > 65) {
				t.Errorf("slow has strength %d", n)
			}
		}
	})
	t.Run("kill of the leader", func(t *testing.T) {
		if f := assertParsed(t, "kill-leader@285s"); f.kind != KillLeader || f.at != 285*time.Second {
			t.Errorf("parsed as %s", f)
		}
	})
	t.Run("evacuations", func(t *testing.T) {
		all, err := ParseSchedule("evacuate-domain@1s+9s,kill-all@2s,evacuate-domain@3s+9s")
		if err != nil || len(all) != 3 || all[0].kind != EvacuateDomain || all[0].target != 0 || all[2].kind != EvacuateDomain || all[2].target != 1 {
			t.Errorf("parsed as %s, error %v", all, err)
		}
	})
	for _, text := range []string{"", "kill-leader", "kill-entry@2s", "compact@2", "slow@2s+x"} {
		t.Run("invalid "+text, func(t *testing.T) {
			if _, err := ParseSchedule(text); err == nil {
				t.Error("no error")
			}
		})
	}
}

func assertParsed(t *testing.T, text string) Fault {
	t.Helper()
	all, err := ParseSchedule(text)
	if err != nil || len(all) != 1 {
		t.Fatalf("%q: got %d faults and error %v", text, len(all), err)
	}
	return all[0]
}

// Guards against short jobs whose work differs from the estimate, or that never go to the queue with an advisor.
func TestShortJobs(t *testing.T) {
	rng, queues := rand.New(rand.NewPCG(1, 1)), map[string]int{}
	s := &Soak{rate: 50}
	for range 200 {
		j, err := s.nextJob(rng, 0)
		interval := s.untilNextJob(rng, 1, 0)
		if err != nil || interval != 20*time.Millisecond || len(j.steps) != 1 || j.steps[0].count != 1 || j.cancelAfter != 0 {
			t.Fatalf("got %+v after %s, error %v", j, interval, err)
		}
		queues[j.queue]++
	}
	if queues[quickQueue] < 10 || queues[batchQueue] < 100 {
		t.Errorf("the queues got %v", queues)
	}
}
