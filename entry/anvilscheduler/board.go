package anvilscheduler

import (
	"cmp"
	"slices"
	"strings"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
)

// poolSnapshot is the snapshot of a pool in one pass. Most stages of a full pool are turned away by it without a
// look at each worker.
type poolSnapshot struct {
	// candidates are the usable workers, the most free processor time first.
	candidates []*candidate
	// used and capacity add up the usable workers.
	used     anvilsize.Size
	capacity anvilsize.Size
	// maxFree is the most room, in each dimension, that some worker had when the pass began.
	maxFree anvilsize.Size
	// maxCapacity is the most that some worker can hold, in each dimension.
	maxCapacity anvilsize.Size
	// reserved is the number of seats that stages keep free since an earlier pass.
	reserved int
	// mostUrgent is the most urgent priority of the queues of the pool.
	mostUrgent int
	// racks are the labels that the workers have, the most common first; nil until they are asked for.
	racks []string
	// projections hold the room that the seats will have, by the time in horizonSteps.
	projections map[anvilclock.Millis][]anvilsize.Size
	// shortfalls are sizes for which no seat will have room that nobody claims. Claims only grow in a pass.
	shortfalls []sizeShortfall
}

// sizeShortfall is a size for which there is no room up to a time.
type sizeShortfall struct {
	size  anvilsize.Size
	until anvilclock.Millis
}

// candidate is a usable worker in a pass.
type candidate struct {
	worker *worker
	index  int
	// freeCPU is the processor time that was free when the pass began; it only becomes less in a pass.
	freeCPU int64
	// reserved is room that more urgent stages keep while they wait for tickets or for the rest of a gang.
	reserved anvilsize.Size
	// claimed is room that more urgent stages will probably take once their questions are answered.
	claimed anvilsize.Size
}

func (c *candidate) free() anvilsize.Size { return c.worker.free().Sub(c.reserved) }

// pool returns the board of a pool.
func (p *passState) pool(pool string) *poolSnapshot {
	if snap := p.pools[pool]; snap != nil {
		return snap
	}
	snap := &poolSnapshot{mostUrgent: mostUrgentPriority(p.loop.config.policy, pool), projections: map[anvilclock.Millis][]anvilsize.Size{}}
	for _, w := range p.loop.fleet.pools[pool] {
		w.candidate = nil
		if !w.usable(p.now) {
			continue
		}
		free := w.free()
		w.candidate = &candidate{worker: w, freeCPU: free.CPU()}
		snap.candidates = append(snap.candidates, w.candidate)
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

// commonRacks returns the labels that workers of the pool have, the most common first.
func (snap *poolSnapshot) commonRacks() []string {
	if snap.racks != nil {
		return snap.racks
	}
	counts := map[string]int{}
	for _, c := range snap.candidates {
		for _, label := range c.worker.registration.labels {
			counts[label]++
		}
	}
	snap.racks = make([]string, 0, len(counts))
	for label := range counts {
		snap.racks = append(snap.racks, label)
	}
	slices.SortFunc(snap.racks, func(x, y string) int { return cmp.Or(cmp.Compare(counts[y], counts[x]), strings.Compare(x, y)) })
	return snap.racks
}

// lacksCapacity reports whether no seat will have room for a size by a time.
func (snap *poolSnapshot) lacksCapacity(size anvilsize.Size, at anvilclock.Millis) bool {
	return slices.ContainsFunc(snap.shortfalls, func(f sizeShortfall) bool { return at <= f.until && f.size.Fits(size) })
}

// projectionStep is the resolution of the times for which the room to come is worked out.
const projectionStep = anvilclock.Millis(100)

// projectedFree returns the room that the seats will probably have at a time, by their index.
func (snap *poolSnapshot) projectedFree(at, now anvilclock.Millis) []anvilsize.Size {
	k := (at + projectionStep - 1) / projectionStep
	if sizes, ok := snap.projections[k]; ok {
		return sizes
	}
	sizes := make([]anvilsize.Size, len(snap.candidates))
	for i, c := range snap.candidates {
		sizes[i] = c.worker.free()
		for t := range c.worker.tasks {
			if t.endsAt(now) <= k*projectionStep {
				sizes[i] = sizes[i].Add(t.stage.step.Reservation())
			}
		}
	}
	snap.projections[k] = sizes
	return sizes
}

func mostUrgentPriority(policy *anvilpolicy.Policy, pool string) int {
	first, found := 0, false
	for _, q := range policy.Queues() {
		if q.Pool() == pool && (!found || q.Priority() < first) {
			first, found = q.Priority(), true
		}
	}
	return first
}
