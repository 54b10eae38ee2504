package anvilsoak

import (
	"fmt"
	"math/rand/v2"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"

	"anvilhold.org/standin/anvilplatformapi"
	"anvilhold.org/standin/anvilplatformworker"
)

// The configuration and the jobs of a run.
const (
	host       = "soak.example"
	pool       = "layout"
	quickQueue = "quick"
	batchQueue = "batch"
	attempts   = 4
	teamCount  = 2
	keyCount   = 2
)

func teamName(i int) string        { return fmt.Sprintf("team%d", i) }
func keySecret(team, n int) string { return fmt.Sprintf("key-%d-%d", team, n) }
func prefixOf(queue string) string {
	return "/" + queue + "/"
}

// stepPlan is a step of a job as the audit checks it.
type stepPlan struct {
	count int
	size  anvilsize.Size
	after []int
	gang  bool
}

// jobPlan is a job that a client submits. wire is the job as it is submitted.
type jobPlan struct {
	id          string
	queue       string
	team        string
	key         string
	payload     string
	attempts    int
	longRunning bool
	steps       []stepPlan
	// occurrences is how often the steps run.
	occurrences int
	wire        anvilplatformapi.Job
	// cancelAfter is how long after the acceptance the client cancels the job; 0 if it does not.
	cancelAfter anvilclock.Millis
}

// endless reports whether the job runs until the end of the soak.
func (j *jobPlan) endless() bool { return j.longRunning && j.cancelAfter == 0 }

func (j *jobPlan) path() string { return prefixOf(j.queue) + j.id }

// jobMix says which jobs a run submits besides the usual ones.
type jobMix struct {
	// gangs adds gang jobs. long adds repeated jobs and tasks that outlast a lease, and makes tasks smaller, so that
	// the fleet can still complete them. bursts makes the tasks of long short again.
	gangs, long, bursts bool
}

// newJob returns a random job of a mix.
func newJob(rng *rand.Rand, mix jobMix) (*jobPlan, error) {
	team := rng.IntN(teamCount)
	j := &jobPlan{
		id: fmt.Sprintf("%016x", rng.Uint64()), queue: quickQueue, team: teamName(team), key: keySecret(team, rng.IntN(keyCount)),
		attempts: attempts, occurrences: 1,
	}
	if rng.IntN(3) == 0 {
		j.queue = batchQueue
	}
	kind := rng.IntN(10)
	j.longRunning = kind == 0
	var specs []anvilplatformworker.TaskSpec
	var wire []anvilplatformapi.Step
	for s := range 1 + rng.IntN(2) {
		if j.longRunning && s > 0 {
			break
		}
		p := stepPlan{
			count: 1 + rng.IntN(4), gang: mix.gangs && kind == 1,
			size: anvilsize.New(int64(500+rng.IntN(3500)), int64(256+rng.IntN(2048)), 0),
		}
		millis := anvilclock.Millis(150 + rng.IntN(1500))
		if mix.long {
			p.size = anvilsize.New(p.size.CPU()/2, p.size.Memory()/2, 0)
			if rng.IntN(2) == 0 && !mix.bursts {
				millis += anvilclock.Millis(1000 + rng.IntN(8000))
			}
		}
		opts := []anvilplatformapi.StepOption{}
		if s > 0 {
			p.after = []int{s - 1}
			opts = append(opts, anvilplatformapi.After(s-1))
		}
		specOpts := []anvilplatformworker.TaskSpecOption{anvilplatformworker.WithLongRunning(j.longRunning)}
		if j.longRunning {
			opts = append(opts, anvilplatformapi.LongRunning())
		}
		if p.gang {
			opts, specOpts = append(opts, anvilplatformapi.Gang()), append(specOpts, anvilplatformworker.WithGang(p.count))
		}
		if rng.IntN(3) == 0 && !j.longRunning {
			opts, specOpts = append(opts, anvilplatformapi.Checkpointing()), append(specOpts, anvilplatformworker.WithCheckpoints(true))
		}
		if rng.IntN(6) == 0 && !p.gang {
			specOpts = append(specOpts, anvilplatformworker.WithFailures(1))
		}
		specs = append(specs, anvilplatformworker.NewTaskSpec(p.size, millis, specOpts...))
		j.steps = append(j.steps, p)
		wire = append(wire, anvilplatformapi.NewStep(p.count, p.size, millis, opts...))
	}
	if j.longRunning || rng.IntN(12) == 0 {
		j.cancelAfter = anvilclock.Millis(200 + rng.IntN(4000))
	}
	payload, err := anvilplatformworker.Payload(specs...)
	if err != nil {
		return nil, err
	}
	j.payload = payload
	var opts []anvilplatformapi.JobOption
	if mix.long && !j.longRunning && rng.IntN(5) == 0 {
		j.occurrences = 2 + rng.IntN(2)
		opts = append(opts, anvilplatformapi.Repeated(j.occurrences, nowMillis()+anvilclock.Millis(rng.IntN(1500)), anvilclock.Millis(500+rng.IntN(2500))))
	}
	j.wire = anvilplatformapi.NewJob(payload, wire, opts...)
	return j, nil
}
