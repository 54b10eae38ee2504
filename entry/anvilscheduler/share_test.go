package anvilscheduler

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
)

// Names and weights of the teams of the tests.
const (
	steadyTeam   = "steady"
	floodTeam    = "flood"
	steadyWeight = 8
	floodWeight  = 4
)

// sharedLoad returns a load in a pool of 160 cores for two teams without limits.
func sharedLoad(t *testing.T) *burstLoad {
	t.Helper()
	return newBurstLoad(t, anvilpolicy.WithTeams(anvilpolicy.NewTeam(steadyTeam, steadyWeight, anvilsize.Size{}, []string{"s"}),
		anvilpolicy.NewTeam(floodTeam, floodWeight, anvilsize.Size{}, []string{"f"})))
}

// flood plays a steady team, whose jobs come at its weight, beside one that sends a multiple of its weight, until the jobs of
// the first one have ended.
func (b *burstLoad) flood(times int, length anvilclock.Millis) {
	const duration = anvilclock.Millis(12_000)
	for at := anvilclock.Millis(0); at < duration; at += 25 {
		if at%(1000/steadyWeight) == 0 {
			b.submit(steadyTeam, fmt.Sprintf("q%05d", at), 4, quickLength)
		}
		for i := range times * floodWeight {
			if (int64(at)+int64(i)*25)%1000 == 0 {
				b.submit(floodTeam, fmt.Sprintf("f%05d-%d", at, i), 6, length)
			}
		}
		b.advance()
	}
	for range 100 {
		b.advance()
	}
}

// Guards against a team that floods a pool at the expense of another one, which stays within its share: whatever the first
// one sends, the other one's jobs meet their objective as they do without it.
func TestFloodKeepsOthersInTime(t *testing.T) {
	for _, c := range []struct {
		times  int
		length anvilclock.Millis
	}{{1, 500}, {12, 2000}} {
		t.Run(fmt.Sprintf("%d times the weight, of %d ms", c.times, c.length), func(t *testing.T) {
			b := sharedLoad(t)
			b.flood(c.times, c.length)
			assertAtLeast(t, "jobs of the steady team in time", b.inTime('q', quickAim), 95)
		})
	}
}

// Guards against shares that depend on the order in which a new leader reads the submissions.
func TestShareIgnoresOrderOfReads(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		times := rapid.SliceOfN(rapid.Int64Range(0, 20_000), 1, 120).Draw(rt, "arrivals")
		slices.Sort(times)
		within := func(order []int64) int {
			fc := newFakeCluster(t, anvilpolicy.New(1, []anvilpolicy.Queue{
				anvilpolicy.NewQueue(quickQueue, "h", "/q/", poolName, anvilpolicy.WithObjective(1.5, 400)),
			}, anvilpolicy.WithTeams(anvilpolicy.NewTeam(floodTeam, floodWeight, anvilsize.Size{}, []string{"f"}))))
			start := fc.clock.Now()
			for i, at := range order {
				fc.submitAt(fmt.Sprintf("j%03d", i), quickQueue, floodTeam, start+anvilclock.Millis(at))
			}
			fc.clock.Advance(20_000)
			h := fc.newHarness("e1")
			fc.advance(firstClaimTime, h)
			n := 0
			for _, j := range h.loop.workload.jobs {
				if !j.overShare {
					n++
				}
			}
			return n
		}
		if got, want := within(rapid.Permutation(times).Draw(rt, "order")), within(times); got != want {
			rt.Fatalf("%d jobs are within the share, and %d of those in order", got, want)
		}
	})
}

// submitAt stores a job that arrived at a time.
func (fc *fakeCluster) submitAt(id, queue, team string, at anvilclock.Millis) {
	fc.t.Helper()
	spec, err := anviljob.NewSpec("payload", []anviljob.Step{anviljob.NewStep(1, core(1), anviljob.WithEstimate(500))}, anviljob.Repeat{})
	if err != nil {
		fc.t.Fatal(err)
	}
	fc.submitSpecAt(id, queue, team, spec, at)
}
