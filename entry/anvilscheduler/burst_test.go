package anvilscheduler

import (
	"fmt"
	"strings"
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
)

// burstLoad plays jobs of a quick queue in a pool of 160 cores, with runs that take what their steps estimate.
type burstLoad struct {
	cluster *fakeCluster
	harness *harness
	// submitted and ended hold the times of each job, by its id.
	submitted map[string]anvilclock.Millis
	ended     map[string]anvilclock.Millis
	// length holds how long the tasks of each job take.
	length map[string]anvilclock.Millis
	// runSince holds when each running task was first seen.
	runSince map[string]anvilclock.Millis
}

const (
	quickLength = anvilclock.Millis(500)
	// quickAim is the objective of the jobs of quickLength.
	quickAim = quickLength*3/2 + 400
)

func newBurstLoad(t *testing.T, opts ...anvilpolicy.Option) *burstLoad {
	t.Helper()
	fc := newFakeCluster(t, anvilpolicy.New(1, []anvilpolicy.Queue{
		anvilpolicy.NewQueue(quickQueue, "h", "/q/", poolName, anvilpolicy.WithAttempts(3), anvilpolicy.WithObjective(1.5, 400)),
	}, opts...))
	for i := range 20 {
		fc.addWorker(fmt.Sprintf("w%02d", i), core(8))
	}
	h := fc.newHarness("e1", WithRefusals())
	fc.advance(firstClaimTime, h)
	return &burstLoad{cluster: fc, harness: h, submitted: map[string]anvilclock.Millis{}, ended: map[string]anvilclock.Millis{},
		length: map[string]anvilclock.Millis{}, runSince: map[string]anvilclock.Millis{}}
}

// submit submits a job of a team with tasks of two cores.
func (b *burstLoad) submit(team, id string, tasks int, length anvilclock.Millis) {
	b.submitted[id], b.length[id] = b.cluster.clock.Now(), length
	b.cluster.submit(id, quickQueue, team, anviljob.NewStep(tasks, core(2), anviljob.WithEstimate(length)))
}

// advance plays one step of 25 ms and ends the runs that are over.
func (b *burstLoad) advance() {
	now := b.cluster.clock.Now()
	for _, task := range b.cluster.running() {
		since, ok := b.runSince[task]
		if !ok {
			b.runSince[task] = now
			continue
		}
		id, _, _ := strings.Cut(task, ".")
		if now-since >= b.length[id] {
			b.cluster.endRun(task, CauseDone, "")
		}
	}
	b.cluster.advance(25, b.harness)
	for id := range b.submitted {
		if b.ended[id] == 0 && b.cluster.state(id) == anviljob.Completed {
			b.ended[id] = b.cluster.clock.Now()
		}
	}
}

// inTime returns the share of the submitted jobs whose ids begin with a letter, in percent, that ended within a time.
func (b *burstLoad) inTime(letter byte, within anvilclock.Millis) int {
	n, total := 0, 0
	for id, at := range b.submitted {
		if id[0] != letter {
			continue
		}
		total++
		if end := b.ended[id]; end != 0 && end-at <= within {
			n++
		}
	}
	return 100 * n / total
}

// finish advances until all submitted jobs have ended.
func (b *burstLoad) finish(t *testing.T) {
	t.Helper()
	for range 2000 {
		if len(b.ended) == len(b.submitted) {
			return
		}
		b.advance()
	}
	t.Fatalf("%d of %d jobs have ended", len(b.ended), len(b.submitted))
}

func assertAtLeast(t *testing.T, what string, got, want int) {
	t.Helper()
	if got < want {
		t.Errorf("%s: %d%%, want at least %d%%", what, got, want)
	}
}
