package anvilintake_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"anvilhold.org/entry/anvilintake"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilsize"
)

// ackedVersions holds when versions were acknowledged.
type ackedVersions struct {
	mu sync.Mutex
	at map[int64]time.Time
}

func (a *ackedVersions) add(version int64, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.at == nil {
		a.at = map[int64]time.Time{}
	}
	a.at[version] = at
}

// due returns the newest version that was acknowledged at least d ago.
func (a *ackedVersions) due(d time.Duration) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	newest := int64(1)
	for v, at := range a.at {
		if time.Since(at) >= d {
			newest = max(newest, v)
		}
	}
	return newest
}

// call submits a job of a queue and returns the result.
func (in *instance) call(t *testing.T, id int, queue int64) anvilintake.Result {
	t.Helper()
	spec, err := anviljob.NewSpec("p", []anviljob.Step{anviljob.NewStep(1, anvilsize.New(1, 1, 0))}, anviljob.Repeat{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	return in.intake.Submit(ctx, anvilintake.NewCall("h", fmt.Sprintf("/q%d/%016x", queue, id), "key-0"), spec).Result()
}

// tally counts the results of the calls in the far region.
type tally struct {
	mu     sync.Mutex
	counts map[anvilintake.Result]int
	stale  []string
}

// load sends calls to all instances of the far region for d: a submission to a queue of the first version, and one to the newest
// queue that must be known.
func (f *fleet) load(t *testing.T, d time.Duration, acked *ackedVersions) *tally {
	t.Helper()
	out := &tally{counts: map[anvilintake.Result]int{}}
	var wg sync.WaitGroup
	id := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, in := range f.in("far") {
			for _, queue := range []int64{1, acked.due(configBound)} {
				id++
				job := id
				wg.Go(func() {
					r := in.call(t, job, queue)
					out.mu.Lock()
					defer out.mu.Unlock()
					out.counts[r]++
					if r == anvilintake.NoQueue {
						out.stale = append(out.stale, fmt.Sprintf("%s: queue %d", in.addr, queue))
					}
				})
			}
		}
	}
	wg.Wait()
	return out
}

func (o *tally) assertServed(t *testing.T, share float64) {
	t.Helper()
	total := 0
	for _, n := range o.counts {
		total += n
	}
	if got := float64(o.counts[anvilintake.Accepted]) / float64(total); got < share {
		t.Errorf("%.2f of %d calls of the far region are accepted, want %.2f: %v", got, total, share, o.counts)
	}
	if len(o.stale) > 0 {
		t.Errorf("%d calls are refused as an older version says, the first: %s", len(o.stale), o.stale[0])
	}
}

// changes is the number of versions in a series of the tests, a change every 150 ms.
const (
	changes   = 60
	changeGap = 150 * time.Millisecond
)

func TestFarRegionIsServedDuringConfigurationChanges(t *testing.T) {
	for _, c := range []struct{ instances, mbits int }{{24, 60}, {24, 20}, {64, 60}} {
		t.Run(fmt.Sprintf("%d instances and %d Mbit per s", c.instances, c.mbits), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, c.instances, c.mbits)
				defer f.stop()
				var acked ackedVersions
				go f.series(acked.add)
				f.load(t, (changes+10)*changeGap, &acked).assertServed(t, 0.95)
			})
		})
	}
}

func TestConfigurationChangeCrossesLinkOnce(t *testing.T) {
	cost := func(t *testing.T, instances int) (perChange int) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, instances, 60)
			defer f.stop()
			before := f.link.carried()
			f.series(func(int64, time.Time) {})
			time.Sleep(configBound)
			perChange = (f.link.carried() - before) / changes
		})
		return perChange
	}
	for _, n := range []int{12, 24, 48, 100} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			if got := cost(t, n); got > 2*configRowBytes {
				t.Errorf("a change costs the link %d bytes, at most %d are allowed", got, 2*configRowBytes)
			}
		})
	}
}

func TestReaderCatchesUpAfterManyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 24, 60)
		defer f.stop()
		f.cutStore("far", true)
		f.cutStore("near", true)
		f.series(func(int64, time.Time) {})
		f.cutStore("far", false)
		f.cutStore("near", false)
		time.Sleep(configBound)
		for _, in := range f.in("far") {
			call := anvilintake.NewCall("h", fmt.Sprintf("/q%d/%016x", changes+1, 1), "key-0")
			if got := in.intake.State(t.Context(), call); got.Result() != anvilintake.NoJob {
				t.Errorf("%s: got %s (%s), want no job", in.addr, got.Result(), got.Reason())
			}
		}
	})
}

// assertConfirmed checks that the configuration of all instances was confirmed less than a time ago.
func (f *fleet) assertConfirmed(t *testing.T, maxAge anvilclock.Millis) {
	t.Helper()
	for _, in := range f.instances {
		if age := in.loop.Clock().Now() - in.loop.View().Confirmed(); age > maxAge {
			t.Fatalf("the configuration of %s in %s was confirmed %d ms ago", in.addr, in.region, age)
		}
	}
}

func TestInstancesKeepUpWhenOthersDoNotRelay(t *testing.T) {
	for _, how := range []failure{silent, gone} {
		t.Run(string(how), func(t *testing.T) {
			// Guards against instances whose configuration gets too old because those that they ask fail.
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 24, 60)
				defer f.stop()
				for _, addr := range []string{"10.0.0.1:7", "10.0.0.10:7", "10.0.0.11:7", "10.0.0.12:7"} {
					f.failing.Store(addr, how)
				}
				go f.series(func(int64, time.Time) {})
				for range (changes + 10) * changeGap / (100 * time.Millisecond) {
					time.Sleep(100 * time.Millisecond)
					f.assertConfirmed(t, 2500)
				}
				for _, in := range f.instances {
					assertAnswer(t, in, fmt.Sprintf("/q%d/", changes+1), "key-0", anvilintake.Answered)
				}
			})
		})
	}
}

// Guards against a count that is shown although the states of jobs have not been read for long, while other instances confirm the
// configuration.
func TestWaitingJobsAreNotCountedFromOldStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 24, 60)
		defer f.stop()
		f.cutStore("far", true)
		time.Sleep(10 * time.Second)
		f.assertConfirmed(t, 2500)
		for _, in := range f.in("far") {
			assertAnswer(t, in, "/q1/", "key-0", anvilintake.Refused)
		}
		f.cutStore("far", false)
		time.Sleep(configBound)
		for _, in := range f.in("far") {
			assertAnswer(t, in, "/q1/", "key-0", anvilintake.Answered)
		}
	})
}

func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	for name, c := range map[string]struct {
		cut, alone bool
		far        anvilintake.Result
	}{
		"the far region reaches the store":     {far: anvilintake.Unauthorized},
		"it hears of the key through others":   {cut: true, far: anvilintake.Unauthorized},
		"it is cut off from the store and all": {cut: true, alone: true, far: anvilintake.Refused},
	} {
		t.Run(name, func(t *testing.T) {
			// Guards against a key that works for longer than the bound because instances hear of changes from each other.
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 24, 60)
				defer f.stop()
				if c.alone {
					for _, in := range f.instances {
						f.failing.Store(in.addr, silent)
					}
				}
				f.cutStore("far", c.cut)
				f.store.setConfig(2, 1, "key-1")
				time.Sleep(configBound)
				for region, want := range map[string]anvilintake.Result{"near": anvilintake.Unauthorized, "far": c.far} {
					for _, in := range f.in(region) {
						assertAnswer(t, in, "/q1/", "key-0", want)
					}
				}
				assertAnswer(t, f.in("near")[0], "/q1/", "key-1", anvilintake.Answered)
			})
		})
	}
}
