package anvilbench

import (
	"anvilhold.org/lib/anvilsize"
)

// The numeric bounds of section 1.5 of the design page.
const (
	maxUrgentWait    = 3400 // ms
	maxShareDistance = 5.0  // percent of the ideal share
	maxWaitRatio     = 1.5  // p99 wait of calls with overnight batch tasks, divided by that without
)

type results []*result

func (rs results) find(load, policy string) *stats {
	for _, r := range rs {
		if r.load == load && r.policy.name == policy {
			return r.stats
		}
	}
	return nil
}

func printBounds(out *rowWriter, rs results) {
	printUrgent(out, rs)
	printShare(out, rs)
	printPacking(out, rs)
	printServiceRatio(out, rs)
	overcommitted := 0
	for _, r := range rs {
		overcommitted += r.stats.overcommitted
	}
	out.bound("never-overcommitted", overcommitted == 0)
}

func printUrgent(out *rowWriter, rs results) {
	var longest int64
	for _, r := range rs {
		if v, ok := r.stats.quantile("urgent", 100); ok && r.policy.own {
			longest = max(longest, v)
		}
	}
	out.row("wait.max.urgent.every-load", ownName, float64(longest), "ms")
	out.bound("urgent-within-3400ms", longest <= maxUrgentWait)
}

func printShare(out *rowWriter, rs results) {
	for _, load := range []string{"greedy", "greedy.failing"} {
		largest, _ := rs.find(load, ownName).distance()
		out.bound("share-within-5-percent."+load, largest <= maxShareDistance)
	}
}

// printPacking compares the packed percentage of the dominant dimension with that of best fit, which is policy "scan",
// in every load. The means over all loads show whether one policy is better overall.
func printPacking(out *rowWriter, rs results) {
	var own, scan mean
	for _, r := range rs {
		other := rs.find(r.load, "scan")
		if !r.policy.own || other == nil {
			continue
		}
		own.add(r.stats.dominantPacked())
		scan.add(other.dominantPacked())
		out.bound("packed-at-least-best-fit."+r.load, r.stats.dominantPacked() >= other.dominantPacked())
	}
	out.row("packed.mean", ownName, own.value(), "%")
	out.row("packed.mean", "scan", scan.value(), "%")
}

// dominantPacked returns the packed percentage of the dimension that is packed most.
func (st *stats) dominantPacked() float64 {
	var largest float64
	for _, d := range anvilsize.Dimensions() {
		if p := st.packed[d]; p != nil {
			largest = max(largest, p.value())
		}
	}
	return largest
}

// printServiceRatio prints for each policy the ratio of the p99 waiting time of calls with overnight batch tasks to
// that of anvilhold without them. Times below a millisecond count as one millisecond.
func printServiceRatio(out *rowWriter, rs results) {
	withoutBatch, _ := rs.find("burst.alone", ownName).quantile("call", 99)
	for _, p := range policies() {
		st := rs.find("burst", p.name)
		if st == nil {
			continue
		}
		withBatch, _ := st.quantile("call", 99)
		ratio := float64(max(withBatch, 1)) / float64(max(withoutBatch, 1))
		out.row("wait.p99.call.ratio", p.name, ratio, "ratio")
		if p.own {
			out.bound("service-p99-within-1.5", ratio <= maxWaitRatio)
		}
	}
}
