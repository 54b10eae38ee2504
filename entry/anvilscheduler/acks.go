package anvilscheduler

import (
	"slices"

	"anvilhold.org/lib/anvilclock"
)

// The end of a run isn't acknowledged while a start of its task may still arrive, of this run or another one: an end that goes with its
// process permits another run. As a worker's ends are acknowledged in order, the later ones wait, too. The platform wants most ends
// acknowledged within seconds, so only a share of all ends waits; the others are acknowledged with the raised token.

// ack acknowledges the ends of runs at a worker up to a number, once the changes up to seq are stored and the worker's orders carry
// the fencing token fence.
type ack struct {
	worker *worker
	number int64
	seq    int64
	fence  int64
	// ends is the number of the ends, and starts are the open starts because of which they wait.
	ends   int
	starts []openStart
	// uncovered are the open starts for which the ends don't wait. reported is when the ends were processed, stored whether their age
	// when they were stored has been observed.
	uncovered []uncovered
	reported  anvilclock.Millis
	stored    bool
	// releasable is when only guards were missing; 0 before that.
	releasable anvilclock.Millis
}

// openStart is a start at a worker of which an attempt has no answer.
type openStart struct {
	worker *worker
	key    startKey
}

// open reports whether one of the starts may still arrive.
func (a *ack) open(now anvilclock.Millis) bool {
	return slices.ContainsFunc(a.starts, func(s openStart) bool { return s.worker.startOpen(s.key, now) })
}

// openStarts returns the starts without an answer because of which the acknowledgement of an end at the worker has to wait.
func (l *Loop) openStarts(w *worker, e RunEnd, now anvilclock.Millis) []openStart {
	t := l.findTask(e.task)
	if t == nil {
		return nil
	}
	if t.stage.step.Gang() {
		l.representGang(t.stage, e.run, now)
		return nil
	}
	starts := l.sentStarts(t, e.run, now)
	if key := (startKey{t, e.run}); w.sentOpen(key, now) {
		starts = append(starts, openStart{w, key})
	}
	return starts
}

// representGang records the open starts of a gang at the workers of all its tasks: the end of one represents all of them.
func (l *Loop) representGang(s *stage, run int, now anvilclock.Millis) {
	var starts []openStart
	for t := range s.existing() {
		if key := (startKey{t, run}); t.worker != nil && t.worker.sentOpen(key, now) {
			starts = append(starts, openStart{t.worker, key})
		}
		starts = append(starts, l.sentStarts(t, run, now)...)
	}
	for t := range s.existing() {
		if t.worker != nil && t.run == run {
			t.worker.gangStarts = append(t.worker.gangStarts, starts...)
		}
	}
}

// noteStray records that the start of a task's run is open while the task is being unbound.
func (l *Loop) noteStray(t *task) {
	if key := (startKey{t, t.run}); t.worker.startOpen(key, l.clock.Now()) {
		l.addStray(t, openStart{t.worker, key})
	}
}

func (l *Loop) addStray(t *task, s openStart) {
	now := l.clock.Now()
	kept := slices.DeleteFunc(l.workload.strays[t], func(o openStart) bool { return o == s || !o.worker.startOpen(o.key, now) })
	l.workload.strays[t] = append(kept, s)
}

// trimStrays forgets the starts that can't arrive any more.
func (l *Loop) trimStrays(now anvilclock.Millis) {
	for t, list := range l.workload.strays {
		list = slices.DeleteFunc(list, func(o openStart) bool { return !o.worker.startOpen(o.key, now) })
		if len(list) == 0 {
			delete(l.workload.strays, t)
			continue
		}
		l.workload.strays[t] = list
	}
}

// otherStarts returns the starts of a task that may still arrive, but for those of a run. The present one may have been sent before the
// end of an earlier run was known.
func (l *Loop) otherStarts(t *task, run int, now anvilclock.Millis) []openStart {
	var out []openStart
	for _, s := range l.workload.strays[t] {
		if s.key.run != run && s.worker.startOpen(s.key, now) {
			out = append(out, s)
		}
	}
	if present := (startKey{t, t.run}); t.run != run && t.worker != nil && t.worker.startOpen(present, now) {
		out = append(out, openStart{t.worker, present})
	}
	return out
}

// sentStarts returns the starts of a task for which the end of a run waits: those that this leader has sent.
func (l *Loop) sentStarts(t *task, run int, now anvilclock.Millis) []openStart {
	return slices.DeleteFunc(l.otherStarts(t, run, now), func(s openStart) bool { return !s.worker.sentOpen(s.key, now) })
}

// sentOpen reports whether this leader has sent an attempt of a start that has no answer and may still arrive.
func (w *worker) sentOpen(key startKey, now anvilclock.Millis) bool {
	return w.lateStarts[key].fence != 0 && w.startOpen(key, now)
}

// endCounter counts the ends of runs in the present period and the one before.
type endCounter struct {
	since         anvilclock.Millis
	present, last int
}

func (c *endCounter) add(n int, now anvilclock.Millis) {
	if now-c.since >= endPeriod {
		c.since, c.present, c.last = now, 0, c.present
	}
	c.present += n
}

// allowance returns how many ends may wait.
func (c *endCounter) allowance() int { return (c.present + c.last) / heldEndsDivisor }

// releaseAcks acknowledges the run ends that are stored and needn't wait. The next hold carries the acknowledgement to the worker.
func (l *Loop) releaseAcks() {
	q, now := &l.commits, l.clock.Now()
	l.holdAcks(q.acks, now)
	l.observeStored(now)
	kept := q.acks[:0]
	blocked := map[*worker]bool{}
	for _, a := range q.acks {
		a.worker.awaitsGuards = false
	}
	for _, a := range q.acks {
		// An acknowledgement covers those before it.
		waits := blocked[a.worker] || a.seq > q.storedSeq || a.worker.fence < a.fence || a.worker.acksHeld
		if !waits && l.awaitGuards(&a, now) {
			waits, a.worker.awaitsGuards = true, true
		}
		if waits {
			blocked[a.worker] = true
			kept = append(kept, a)
			continue
		}
		a.worker.acked = max(a.worker.acked, a.number)
		l.recordAcked(a, now)
	}
	q.acks = kept
}

// holdAcks decides at which workers acknowledgements wait because starts may still arrive. Those that have waited longest go first.
func (l *Loop) holdAcks(acks []ack, now anvilclock.Millis) {
	ends, open := map[*worker]int{}, map[*worker]bool{}
	for _, a := range acks {
		ends[a.worker] += a.ends
		open[a.worker] = open[a.worker] || a.open(now)
	}
	allowance := l.fleet.ends.allowance()
	for _, a := range acks {
		w := a.worker
		n, first := ends[w]
		if !first {
			continue
		}
		delete(ends, w)
		held := open[w] && n <= min(allowance, maxHeldEnds)
		if held {
			allowance -= n
		}
		if held && !w.acksHeld {
			l.meter.Count("ack.held")
		}
		w.acksHeld, w.ackPassed = held, passedReason(n)
	}
}
