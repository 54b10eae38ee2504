package anvilscheduler

import (
	"cmp"
	"slices"
	"strings"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
)

// board is the snapshot of a pool in one pass. Most stages of a full pool are turned away by it without a
// look at each worker.
type board struct {
	// seats are the usable workers, the most free processor time first.
	seats []*seat
	// used and capacity add up the usable workers.
	used     anvilsize.Size
	capacity anvilsize.Size
	// widest is the most room, in each dimension, that some worker had when the pass began.
	widest anvilsize.Size
	// largest is the most that some worker can hold, in each dimension.
	largest anvilsize.Size
	// saved is the number of seats that stages keep free since an earlier pass.
	saved int
	// first is the most urgent priority of the queues of the pool.
	first int
	// racks are the labels that the workers have, the most common first; nil until they are asked for.
	racks []string
	// horizons hold the room that the seats will have, by the time in horizonSteps.
	horizons map[anvilclock.Millis][]anvilsize.Size
	// full are sizes for which no seat will have room that nobody claims. Claims only grow in a pass.
	full []shortfall
}

// shortfall is a size for which there is no room up to a time.
type shortfall struct {
	room anvilsize.Size
	by   anvilclock.Millis
}

// seat is a usable worker in a pass.
type seat struct {
	w     *worker
	index int
	// top is the processor time that was free when the pass began; it only becomes less in a pass.
	top int64
	// kept is room that more urgent stages keep while they wait for tickets or for the rest of a gang.
	kept anvilsize.Size
	// claimed is room that more urgent stages will probably take once their questions are answered.
	claimed anvilsize.Size
}

func (k *seat) free() anvilsize.Size { return k.w.free().Sub(k.kept) }

// boardOf returns the board of a pool.
func (p *placing) boardOf(pool string) *board {
	if b := p.boards[pool]; b != nil {
		return b
	}
	b := &board{first: firstPriority(p.loop.config.policy, pool), horizons: map[anvilclock.Millis][]anvilsize.Size{}}
	for _, w := range p.loop.fleet.pools[pool] {
		w.seat = nil
		if !w.usable(p.now) {
			continue
		}
		free := w.free()
		w.seat = &seat{w: w, top: free.CPU()}
		b.seats = append(b.seats, w.seat)
		b.used, b.capacity = b.used.Add(w.used), b.capacity.Add(w.registration.capacity)
		b.widest = b.widest.Max(free)
		b.largest = b.largest.Max(w.registration.capacity)
	}
	slices.SortFunc(b.seats, func(x, y *seat) int { return cmp.Or(cmp.Compare(y.top, x.top), strings.Compare(x.w.id(), y.w.id())) })
	for i, s := range b.seats {
		s.index = i
	}
	p.boards[pool] = b
	return b
}

// commonRacks returns the labels that workers of the pool have, the most common first.
func (b *board) commonRacks() []string {
	if b.racks != nil {
		return b.racks
	}
	counts := map[string]int{}
	for _, s := range b.seats {
		for _, label := range s.w.registration.labels {
			counts[label]++
		}
	}
	b.racks = make([]string, 0, len(counts))
	for label := range counts {
		b.racks = append(b.racks, label)
	}
	slices.SortFunc(b.racks, func(x, y string) int { return cmp.Or(cmp.Compare(counts[y], counts[x]), strings.Compare(x, y)) })
	return b.racks
}

// barren reports whether no seat will have room for a size by a time.
func (b *board) barren(room anvilsize.Size, by anvilclock.Millis) bool {
	return slices.ContainsFunc(b.full, func(f shortfall) bool { return by <= f.by && f.room.Fits(room) })
}

// horizonStep is the resolution of the times for which the room to come is worked out.
const horizonStep = anvilclock.Millis(100)

// soon returns the room that the seats will probably have at a time, by their index.
func (b *board) soon(at, now anvilclock.Millis) []anvilsize.Size {
	k := (at + horizonStep - 1) / horizonStep
	if sizes, ok := b.horizons[k]; ok {
		return sizes
	}
	sizes := make([]anvilsize.Size, len(b.seats))
	for i, s := range b.seats {
		sizes[i] = s.w.free()
		for t := range s.w.tasks {
			if t.endsAt(now) <= k*horizonStep {
				sizes[i] = sizes[i].Add(t.stage.step.Reservation())
			}
		}
	}
	b.horizons[k] = sizes
	return sizes
}

func firstPriority(policy *anvilpolicy.Policy, pool string) int {
	first, found := 0, false
	for _, q := range policy.Queues() {
		if q.Pool() == pool && (!found || q.Priority() < first) {
			first, found = q.Priority(), true
		}
	}
	return first
}
