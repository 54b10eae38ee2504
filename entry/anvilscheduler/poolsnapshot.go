package anvilscheduler

import (
	"cmp"
	"slices"
	"strings"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
)

// poolSnapshot is the state of a worker pool in one pass. With it, a pass over a full pool skips most stages without a
// check of each worker.
type poolSnapshot struct {
	// candidates are the schedulable workers, in descending order of their free CPU.
	candidates []*candidate
	// used and capacity are sums over the schedulable workers.
	used     anvilsize.Size
	capacity anvilsize.Size
	// maxFree is, for each dimension, the largest free capacity of a worker when the pass began.
	maxFree anvilsize.Size
	// maxCapacity is, for each dimension, the largest capacity of a worker.
	maxCapacity anvilsize.Size
	// suspects is the number of candidates that are suspect.
	suspects int
	// reserved is the number of candidates on which stages hold a reservation from an earlier pass.
	reserved int
	// mostUrgent is the most urgent priority among the queues of the pool; lower numbers are more urgent.
	mostUrgent int
	// racks are the racks of the workers, the most common first; nil until commonRacks is called.
	racks []string
	// projections hold the expected free capacity of each candidate, keyed by the time in multiples of projectionStep.
	projections map[anvilclock.Millis][]anvilsize.Size
	// shortfalls are sizes for which no candidate will have unclaimed capacity. An entry stays valid until the pass ends,
	// because claims only grow during a pass.
	shortfalls []sizeShortfall
}

// sizeShortfall is a size for which no candidate has capacity up to a time.
type sizeShortfall struct {
	size  anvilsize.Size
	until anvilclock.Millis
}

// candidate is a worker that may get starts in a pass.
type candidate struct {
	worker *worker
	index  int
	// freeCPU is the CPU in millicores that was free when the pass began. It is an upper bound: free CPU only shrinks
	// during a pass.
	freeCPU int64
	// reserved is capacity that more urgent stages hold while they wait for tickets, reservations what stages hold that wait for
	// enough capacity.
	reserved     anvilsize.Size
	reservations []reservation
	// claimed is capacity that more urgent stages will probably use once their advisor queries are answered.
	claimed anvilsize.Size
}

// pool returns the snapshot of a pool, which it takes at the first call in a pass.
func (p *passState) pool(pool string) *poolSnapshot {
	if snap := p.pools[pool]; snap != nil {
		return snap
	}
	snap := &poolSnapshot{mostUrgent: mostUrgentPriority(p.loop.state.policy, pool),
		projections: map[anvilclock.Millis][]anvilsize.Size{}}
	for _, w := range p.loop.fleet.pools[pool] {
		w.candidate = nil
		if !w.schedulable(p.now) {
			continue
		}
		free := w.free()
		w.candidate = &candidate{worker: w, freeCPU: free.CPU()}
		snap.candidates = append(snap.candidates, w.candidate)
		if w.health.suspect(p.now) {
			snap.suspects++
		}
		snap.used, snap.capacity = snap.used.Add(w.used), snap.capacity.Add(w.registration.capacity)
		snap.maxFree = snap.maxFree.Max(free)
		snap.maxCapacity = snap.maxCapacity.Max(w.registration.capacity)
	}
	slices.SortFunc(snap.candidates, func(x, y *candidate) int {
		return cmp.Or(cmp.Compare(y.freeCPU, x.freeCPU), strings.Compare(x.worker.id(), y.worker.id()))
	})
	for i, c := range snap.candidates {
		c.index = i
	}
	p.pools[pool] = snap
	return snap
}

// avoids reports whether a worker gets no work because it is suspect. When many workers are, the tasks or the platform are
// at fault, and excluding all of them would stop the pool.
func (snap *poolSnapshot) avoids(w *worker, now anvilclock.Millis) bool {
	return snap.suspects*maxSuspectDivisor <= len(snap.candidates) && w.health.suspect(now)
}

// commonRacks returns the racks of the pool's workers, the most common first. When no worker names its rack, each label
// is tried as one.
func (snap *poolSnapshot) commonRacks() []string {
	if snap.racks != nil {
		return snap.racks
	}
	counts := map[string]int{}
	for _, c := range snap.candidates {
		if rack := c.worker.registration.rack; rack != "" {
			counts[rack]++
		}
	}
	if len(counts) == 0 {
		for _, c := range snap.candidates {
			for _, label := range c.worker.registration.labels {
				counts[label]++
			}
		}
	}
	snap.racks = make([]string, 0, len(counts))
	for label := range counts {
		snap.racks = append(snap.racks, label)
	}
	slices.SortFunc(snap.racks, func(x, y string) int { return cmp.Or(cmp.Compare(counts[y], counts[x]), strings.Compare(x, y)) })
	return snap.racks
}

// lacksCapacity reports whether an earlier stage of the pass has found that no candidate will have capacity for a size
// at a time.
func (snap *poolSnapshot) lacksCapacity(size anvilsize.Size, at anvilclock.Millis) bool {
	return slices.ContainsFunc(snap.shortfalls, func(f sizeShortfall) bool { return at <= f.until && f.size.Fits(size) })
}

// projectionStep is the resolution of the times for which free capacity is projected.
const projectionStep = anvilclock.Millis(100)

// projectedFree returns the free capacity that the candidates will probably have at a time, by their index. Claims and
// reservations are not subtracted.
func (snap *poolSnapshot) projectedFree(at, now anvilclock.Millis) []anvilsize.Size {
	slot := (at + projectionStep - 1) / projectionStep
	if sizes, ok := snap.projections[slot]; ok {
		return sizes
	}
	sizes := make([]anvilsize.Size, len(snap.candidates))
	for i, c := range snap.candidates {
		sizes[i] = c.worker.free()
		for t := range c.worker.tasks {
			if t.expectedEnd(now) <= slot*projectionStep {
				sizes[i] = sizes[i].Add(t.stage.step.Reservation())
			}
		}
	}
	snap.projections[slot] = sizes
	return sizes
}

func mostUrgentPriority(policy *anvilpolicy.Policy, pool string) int {
	priority, found := 0, false
	for _, q := range policy.Queues() {
		if q.Pool() == pool && (!found || q.Priority() < priority) {
			priority, found = q.Priority(), true
		}
	}
	return priority
}
