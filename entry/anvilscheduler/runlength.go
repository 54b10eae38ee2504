package anvilscheduler

import "anvilhold.org/lib/anvilclock"

// runLength is the measured length of runs in multiples of their estimates, an average in parts per thousand.
type runLength struct{ ratio int64 }

// Limits of the correction of estimates.
const (
	// runLengthSamples is the number of runs over which the length is averaged.
	runLengthSamples = 64
	// minRunRatio and maxRunRatio bound the correction: a run of a wrong estimate, or on a faulty worker, says little
	// about the other ones.
	minRunRatio = 500
	maxRunRatio = 2000
	exactRatio  = 1000
)

func (m *runLength) record(ran, estimate anvilclock.Millis) {
	if estimate <= 0 {
		return
	}
	ratio := min(max(int64(ran)*exactRatio/int64(estimate), minRunRatio), maxRunRatio)
	m.ratio += (ratio - m.ratio) / runLengthSamples
}

// expected returns the expected length of a run with an estimate.
func (m *runLength) expected(estimate anvilclock.Millis) anvilclock.Millis {
	return estimate * anvilclock.Millis(m.ratio) / exactRatio
}

// runLengthOf returns the measured length of the runs of a queue.
func (l *Loop) runLengthOf(queue string) *runLength {
	m := l.workload.runLengths[queue]
	if m == nil {
		m = &runLength{ratio: exactRatio}
		l.workload.runLengths[queue] = m
	}
	return m
}
