package anvilbench

import (
	"maps"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// stats collects the results of a trial.
type stats struct {
	waits          map[string]*hdrhistogram.Histogram // waiting times in ms, by class
	dropped        map[string]bool                    // ids of expired, lost and refused jobs
	waiting        map[string]anvilsize.Size          // size of the waiting tasks, by team
	backlog        map[string]int                     // number of waiting batch tasks, by pool
	packed         map[anvilsize.Dimension]*mean
	shares         map[string]*mean // mean share by team, in ppm
	ideals         map[string]*mean
	sampleDistance mean // distance of each team and sample from the ideal share, in percent
	expired        int
	lost           int
	refused        int
	pushesRefused  int
	preempted      int
	overcommitted  int
}

// mean is a running average, 0 while it has no values.
type mean struct {
	sum float64
	n   int
}

func (m *mean) add(x float64) { m.sum, m.n = m.sum+x, m.n+1 }

func (m *mean) value() float64 {
	if m.n == 0 {
		return 0
	}
	return m.sum / float64(m.n)
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 10_000_000, 3) }

func newStats() *stats {
	return &stats{
		waits: map[string]*hdrhistogram.Histogram{}, dropped: map[string]bool{}, waiting: map[string]anvilsize.Size{},
		backlog: map[string]int{}, packed: map[anvilsize.Dimension]*mean{},
		shares: map[string]*mean{}, ideals: map[string]*mean{},
	}
}

// waitClass returns the class under which the waiting time of a task is recorded: its kind, or "urgent".
func waitClass(t *anviltask.Task) string {
	if t.Urgent() {
		return "urgent"
	}
	return string(t.Kind())
}

func (st *stats) recordWait(j *job, now anvilclock.Millis) {
	st.recordValue(waitClass(j.task), int64(now-j.arrival))
}

func (st *stats) recordValue(class string, wait int64) {
	h := st.waits[class]
	if h == nil {
		h = newHistogram()
		st.waits[class] = h
	}
	_ = h.RecordValue(wait) // bounded by the horizon, which is below the histogram's limit
}

// countExpired counts a job that expired. Its waiting time is all the time that it was allowed to wait.
func (st *stats) countExpired(j *job) {
	st.expired++
	st.dropped[j.task.ID()] = true
	st.recordValue(waitClass(j.task), int64(j.task.MaxWait()))
	st.addWaiting(j.task, -1)
}

// countLost counts a job that is not started again because it failed on too many workers.
func (st *stats) countLost(j *job) {
	st.lost++
	st.dropped[j.task.ID()] = true
}

// countRefused counts a job that could never run, because the empty fleet has too few slots for it.
func (st *stats) countRefused(j *job) {
	st.refused++
	st.dropped[j.task.ID()] = true
}

// addWaiting counts a task as waiting if n is 1, and as no longer waiting if n is −1.
func (st *stats) addWaiting(t *anviltask.Task, n int64) {
	st.waiting[t.Team()] = st.waiting[t.Team()].Add(t.Total().Scale(n))
	if t.Kind() == anviltask.Batch {
		st.backlog[t.Pool()] += int(n)
	}
}

func (st *stats) sample(t *trial) {
	st.samplePacking(t)
	if t.now >= t.load.sharesFrom {
		st.sampleShares(t)
	}
	for _, h := range t.hostList {
		if !h.worker.Reserved().Fits(h.worker.Capacity()) {
			st.overcommitted++
		}
	}
}

// samplePacking samples the reserved percentage of each dimension over the pools in which batch tasks wait. In other
// pools a low percentage only shows a lack of work.
func (st *stats) samplePacking(t *trial) {
	for _, d := range anvilsize.Dimensions() {
		var used, total int64
		for _, h := range t.hostList {
			if st.backlog[h.worker.Pool()] > 0 {
				used += h.worker.Reserved().In(d)
				total += h.worker.Capacity().In(d)
			}
		}
		if total > 0 {
			if st.packed[d] == nil {
				st.packed[d] = &mean{}
			}
			st.packed[d].add(float64(used) / float64(total) * 100)
		}
	}
}

// sampleShares samples the teams' shares and their ideals while tasks of at least two teams wait.
func (st *stats) sampleShares(t *trial) {
	demands := map[string]anvilsize.Size{}
	teams := 0
	for team, s := range st.waiting {
		demands[team] = s.Add(t.share.Used(team))
		if !s.IsZero() {
			teams++
		}
	}
	if teams < 2 {
		return
	}
	ideal := t.share.Ideal(demands)
	for _, team := range slices.Sorted(maps.Keys(ideal)) {
		if ideal[team] == 0 {
			continue
		}
		if st.shares[team] == nil {
			st.shares[team], st.ideals[team] = &mean{}, &mean{}
		}
		st.shares[team].add(float64(t.share.Share(team)))
		st.ideals[team].add(float64(ideal[team]))
		st.sampleDistance.add(math.Abs(float64(t.share.Share(team)-ideal[team])) / float64(ideal[team]) * 100)
	}
}

// distance returns the largest distance of a team's mean share from its mean ideal, and the mean distance over all
// teams and samples, both in percent of the ideal.
func (st *stats) distance() (largest, average float64) {
	for team, s := range st.shares {
		if ideal := st.ideals[team].value(); ideal > 0 {
			largest = max(largest, math.Abs(s.value()-ideal)/ideal*100)
		}
	}
	return largest, st.sampleDistance.value()
}

// quantile returns the waiting time in ms at percentile q; false when none is recorded for the class.
func (st *stats) quantile(class string, q float64) (int64, bool) {
	h := st.waits[class]
	if h == nil {
		return 0, false
	}
	return h.ValueAtQuantile(q), true
}
