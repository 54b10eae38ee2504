package anvilsoak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"

	"anvilhold.org/standin/anvilplatform"
	"anvilhold.org/standin/anvilplatformapi"
	"anvilhold.org/standin/anvilplatformworker"
)

// WithShortJobs submits rate jobs a second with one task each, which works for 20 to 100 ms, instead of random jobs. Rows
// of ended jobs then accumulate faster than with random jobs.
func WithShortJobs(rate int) Option { return func(s *Soak) { s.rate = rate } }

// WithSchedule injects the given faults instead of random ones.
func WithSchedule(faults []Fault) Option {
	return func(s *Soak) { s.fixed, s.noFaults = faults, true }
}

// ParseSchedule parses a list of faults, each as NAME@START or NAME@START+DURATION. NAME is kill-leader, pause-leader, kill-all,
// evacuate-domain or a fault of the store, such as compact or slow; the times are durations such as 285s. The first evacuation
// is that of the first failure domain, the second one that of the second, and so on.
func ParseSchedule(text string) ([]Fault, error) {
	var out []Fault
	evacuations := 0
	for item := range strings.SplitSeq(text, ",") {
		name, times, ok := strings.Cut(item, "@")
		start, span, _ := strings.Cut(times, "+")
		f := Fault{kind: Kind(name)}
		if i := slices.Index(anvilplatform.FaultKinds(), anvilplatform.FaultKind(name)); i >= 0 {
			f.kind, f.variant = StoreFault, i+scheduledStrength
		} else if f.kind == EvacuateDomain {
			f.target = evacuations
			evacuations++
		} else if !slices.Contains([]Kind{KillLeader, PauseLeader, KillAll}, f.kind) {
			ok = false
		}
		var err, spanErr error
		f.at, err = time.ParseDuration(start)
		if span != "" {
			f.span, spanErr = time.ParseDuration(span)
		}
		if err := errors.Join(err, spanErr); !ok || err != nil {
			return nil, fmt.Errorf("fault %q: want NAME@START or NAME@START+DURATION: %w", item, err)
		}
		out = append(out, f)
	}
	return out, nil
}

// scheduledStrength is added to the variant of a scheduled store fault, which selects its strength: slow is about 60
// times the usual time, which is a quarter of a second. It is a multiple of the number of kinds.
const scheduledStrength = 48

// newShortJob returns a job with one short task. One in eight goes to the queue with an advisor.
func newShortJob(rng *rand.Rand) (*jobPlan, error) {
	team := rng.IntN(teamCount)
	j := &jobPlan{
		id: fmt.Sprintf("%016x", rng.Uint64()), queue: batchQueue, team: teamName(team), key: keySecret(team, rng.IntN(keyCount)),
		attempts: attempts, occurrences: 1,
	}
	if rng.IntN(8) == 0 {
		j.queue = quickQueue
	}
	size, millis := anvilsize.New(500, 256, 0), anvilclock.Millis(20+rng.IntN(80))
	j.steps = []stepPlan{{count: 1, size: size}}
	payload, err := anvilplatformworker.Payload(anvilplatformworker.NewTaskSpec(size, millis))
	if err != nil {
		return nil, err
	}
	j.payload = payload
	j.wire = anvilplatformapi.NewJob(payload, []anvilplatformapi.Step{anvilplatformapi.NewStep(1, size, millis)})
	return j, nil
}

// nextJob returns the next job of the load after n jobs.
func (s *Soak) nextJob(rng *rand.Rand, n int) (*jobPlan, error) {
	switch {
	case s.longRunning && n < longRunningJobs:
		return newLongRunningJob(rng, n, s.workers)
	case s.longRunning || s.rate > 0:
		return newShortJob(rng)
	}
	return newJob(rng, s.mix)
}
