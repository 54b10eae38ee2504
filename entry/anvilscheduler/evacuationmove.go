package anvilscheduler

import (
	"cmp"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
)

// Long-running tasks never end by themselves, so they are moved out of an evacuated domain, one after the other and only while
// the rest of their pool has room. Other tasks end where they are.
const (
	// evacuationMoveDelay is how long an evacuation lasts before long-running tasks are moved: a domain that is taken back soon
	// keeps them.
	evacuationMoveDelay = anvilclock.Millis(20_000)
	// evacuationMoveInterval is the least time between two moves. A moved task is away for about a second.
	evacuationMoveInterval = anvilclock.Millis(500)
	// workingPercent is the progress that workers report of a long-running task that is at work.
	workingPercent = 100
)

// movesTasks reports whether the evacuation has lasted for long enough to move tasks.
func (e *evacuation) movesTasks(now anvilclock.Millis) bool {
	return now-e.since >= evacuationMoveDelay
}

// moveEvacuated stops a long-running task in an evacuated domain, so that it starts elsewhere, if one is due and may be moved.
func (l *Loop) moveEvacuated(p *passState) {
	es := &l.evacuations
	if len(es.active) == 0 || p.now-es.lastMove < evacuationMoveInterval || !l.mayOrder(p.now) {
		return
	}
	es.lastMove = p.now
	var best *task
	// movable holds the answer for each stage, because a stage has many tasks and the answer is costly.
	movable := map[*stage]bool{}
	for _, w := range l.fleet.byID {
		e := es.active[w.registration.domain]
		if e == nil || !e.movesTasks(p.now) || w.machine.State() != workerReady || w.registration.draining {
			continue
		}
		for t := range w.tasks {
			if best != nil && !t.cheaperToMove(best) {
				continue
			}
			ok, known := movable[t.stage]
			if !known {
				ok = t.stage.allAtWork() && p.hasRoomElsewhere(t)
				movable[t.stage] = ok
			}
			if ok {
				best = t
			}
		}
	}
	if best == nil {
		return
	}
	l.log.Record(anvilevent.RunMoved, "task", best.id.String(), "run", best.run, "worker", best.worker.id(),
		"domain", best.worker.registration.domain)
	l.meter.Count("evacuation.moved")
	l.fireTask(best, "halt")
}

// allAtWork reports whether a stage is long-running and all its tasks are at work, so that it lacks only the one that is moved.
func (s *stage) allAtWork() bool {
	if !s.step.LongRunning() || s.step.Gang() || s.job.final() {
		return false
	}
	for i := range s.size() {
		if t := s.peek(i); t == nil || t.machine.State() != taskRunning || t.percent < workingPercent {
			return false
		}
	}
	return true
}

// cheaperToMove reports whether t should be moved before other: a task with a latency target has users of its own.
func (t *task) cheaperToMove(other *task) bool {
	return cmp.Or(cmp.Compare(t.stage.step.LatencyTarget(), other.stage.step.LatencyTarget()), compareTasks(t, other)) < 0
}

// hasRoomElsewhere reports whether a worker that gets work can take the task now, the pool keeps its headroom with it, and the
// team may start it again.
func (p *passState) hasRoomElsewhere(t *task) bool {
	q, ok := p.loop.queueOf(t.stage.job)
	if !ok {
		return false
	}
	snap, size := p.pool(q.Pool()), t.stage.step.Reservation()
	return p.loop.withinLimit(t.stage, 0) && snap.used.Add(size).Dominant(snap.capacity) <= maxDeferrablePoolUse &&
		p.choose(readyStage{stage: t.stage, queue: q}, t, false, "") != nil
}
