// Package anvilbench compares the scheduler's decision packages with baselines in simulations on a virtual clock, and
// measures the time of single decisions on the machine that it runs on. A simulation models only the free capacity of
// workers and the ends of tasks. The rows of simulations (waiting times, packing, shares) depend only on the seed and
// the length of the loads.
package anvilbench

import (
	"fmt"
	"io"
	"sync"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

const (
	fullHorizon  = anvilclock.Millis(600_000)
	quickHorizon = anvilclock.Millis(120_000)
	// parallelTrials is how many trials run at once. It should be smaller than the number of processors.
	parallelTrials = 4
)

// rowWriter prints rows. It counts them, and keeps the first error.
type rowWriter struct {
	w    io.Writer
	rows int
	err  error
}

func (rw *rowWriter) row(measure, policy string, value float64, unit string) {
	rw.rows++
	if _, err := fmt.Fprintf(rw.w, "%s %s %.3f %s\n", measure, policy, value, unit); err != nil && rw.err == nil {
		rw.err = err
	}
}

// bound prints a row with value 1 if a bound of the design is met and 0 if not.
func (rw *rowWriter) bound(name string, met bool) {
	v := 0.0
	if met {
		v = 1
	}
	rw.row("bound."+name, ownName, v, "bool")
}

// Run takes all measurements and prints a row "measure policy value unit" to w for each value. It returns the number of
// rows and the first error of w. With quick the loads are shorter and fewer decisions are timed.
func Run(w io.Writer, seed uint64, quick bool) (int, error) {
	out := &rowWriter{w: w}
	// Decisions are timed first, while nothing else runs in the process.
	timeCosts(out, seed, quick)
	countCollisions(out, seed)
	horizon := fullHorizon
	if quick {
		horizon = quickHorizon
	}
	results := runTrials(seed, horizon)
	for _, r := range results {
		r.print(out)
	}
	printBounds(out, results)
	return out.rows, out.err
}

// result is the outcome of one trial; stats is nil until the trial has ended.
type result struct {
	load   string
	policy policy
	stats  *stats
}

func runTrials(seed uint64, horizon anvilclock.Millis) []*result {
	var results []*result
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallelTrials)
	add := func(l load, p policy) {
		r := &result{load: l.name, policy: p}
		results = append(results, r)
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			r.stats = newTrial(l, p, seed).simulate()
			<-slots
		}()
	}
	for _, s := range loadSpecs() {
		for _, failing := range []bool{false, true} {
			l := s.build(seed, horizon, failing)
			for _, p := range policies() {
				if p.health || failing {
					add(l, p)
				}
			}
		}
	}
	// Load "burst" without its batch tasks, for the ratio of the waiting times of calls.
	withoutBatch := loadSpec{"burst", pamoja, studio}.build(seed, horizon, false)
	withoutBatch.name = "burst.alone"
	add(withoutBatch, policies()[0])
	wg.Wait()
	return results
}

func (r *result) print(out *rowWriter) {
	st := r.stats
	row := func(measure string, value float64, unit string) {
		out.row(measure+"."+r.load, r.policy.name, value, unit)
	}
	for _, class := range []string{"call", "service", "batch", "gang", "urgent"} {
		for _, q := range []float64{50, 99, 100} {
			v, ok := st.quantile(class, q)
			if !ok || q == 100 && class != "urgent" {
				continue
			}
			name := fmt.Sprintf("wait.p%.0f.%s", q, class)
			if q == 100 {
				name = "wait.max." + class
			}
			row(name, float64(v), "ms")
		}
	}
	for _, d := range anvilsize.Dimensions() {
		if p := st.packed[d]; p != nil {
			row("packed."+d.String(), p.value(), "%")
		}
	}
	if len(st.shares) > 0 {
		largest, average := st.distance()
		row("distance.largest", largest, "%")
		row("distance.mean", average, "%")
	}
	row("expired", float64(st.expired), "tasks")
	row("never", float64(st.refused), "tasks")
	row("lost", float64(st.lost), "tasks")
	row("stopped", float64(st.preempted), "tasks")
	row("overcommitted", float64(st.overcommitted), "samples")
}
