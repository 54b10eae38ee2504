package anvilcontrol

import (
	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilworker"
)

// States of the worker chart that the code refers to.
const (
	workerUnfenced = "unfenced"
	workerReady    = "ready"
	workerExpired  = "expired"
)

// The answer to a renewal of a lease also reports the tasks that have ended, so renewals are more frequent than the
// lease needs. One more is sent when a task is expected to end: with one renewal per second, tasks of 1 s occupied
// their capacity for half as long again.
const (
	renewInterval    = anvilclock.Millis(1000)
	minRenewInterval = anvilclock.Millis(100)
	endReportDelay   = anvilclock.Millis(20) // workers report a task slightly later than its declared run time
)

// worker is the state of a worker of a shard that this instance owns.
type worker struct {
	resources  *anvilworker.Worker
	shard      *shard
	machine    anvilchart.Machine
	boot       string            // id of the worker's process; empty until a fence is answered or a shard row names it
	cursor     int64             // position in the worker's list of ended tasks up to which they were handled
	clock      anvilclock.Millis // the worker's clock when it answered the last fence
	fencedAt   anvilclock.Millis // when the last fence that was answered was sent
	leasedAt   anvilclock.Millis // when the last fence that renews the lease was sent; it counts also without an answer
	renewAt    anvilclock.Millis
	nextEnd    anvilclock.Millis // when the next of its batch tasks is expected to end
	fencing    bool
	fenceTried bool // a fence was answered or has failed
	leaving    bool
	probing    bool // the worker may get one task although it is quarantined
	runs       map[string]*run
}

func newWorker(reg Registration, s *shard, m anvilchart.Machine, now anvilclock.Millis) *worker {
	return &worker{
		resources: anvilworker.New(reg.id, anvilworker.WithAddr(reg.addr), anvilworker.WithLocation(reg.domain, reg.region),
			anvilworker.WithPool(reg.pool), anvilworker.WithCapacity(reg.size)),
		shard: s, machine: m, fencedAt: now, leasedAt: now, leaving: reg.leaving, runs: map[string]*run{},
	}
}

// updateNextEnd updates the estimate of when the next task ends. The estimate for an overdue task is postponed by the
// time that it is overdue, so that a wrong run time causes few renewals.
func (w *worker) updateNextEnd(now anvilclock.Millis) {
	w.nextEnd = now + assumedRunTime
	for _, r := range w.runs {
		if !r.startInFlight {
			w.nextEnd = min(w.nextEnd, max(r.expectedEnd(now), now+minRenewInterval)+endReportDelay)
		}
	}
}

// maxStartDelay bounds the time for which a start may be in flight. A start that waits in the buffers of a paused
// worker would otherwise outlive the limit and the key under which it was decided.
const maxStartDelay = anvilclock.Millis(2000)

// startDeadline returns the time on the worker's clock after which the worker refuses what is sent now; 0 while that
// clock is unknown. The estimate of the clock is ahead by at most the round trip of the last fence.
func (w *worker) startDeadline(now anvilclock.Millis) anvilclock.Millis {
	if w.clock == 0 {
		return 0
	}
	return w.clock + now - w.fencedAt + maxStartDelay
}

// runList returns a copy of the runs, so that runs may end while the caller iterates over them.
func (w *worker) runList() []*run {
	out := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	return out
}

func (l *Loop) bindWorker() *anvilchart.Binding[*worker] {
	return anvilchart.NewBinding(map[string]func(*worker){
		"open":   l.updateSchedulable,
		"close":  l.updateSchedulable,
		"settle": l.expireWorker,
		"remove": l.removeWorker,
	}, nil)
}

// updateSchedulable updates whether the worker takes new tasks.
func (l *Loop) updateSchedulable(w *worker) {
	schedulable := w.machine.State() == workerReady && w.shard.open() && l.isMember(w) && !w.leaving &&
		!l.configStore.Snapshot().Leaving(w.resources.ID()) && (w.probing || !l.health.Quarantined(w.resources.ID(), l.clock.Now()))
	w.resources.SetSchedulable(schedulable)
	l.index.Update(w.resources)
	if schedulable {
		l.passDue = true
		return
	}
	if w.machine.State() == workerReady {
		l.checkpointTasks(w)
	}
}

// checkpointTasks checkpoints the batch tasks of a worker that is leaving, so that they continue at other workers.
func (l *Loop) checkpointTasks(w *worker) {
	if !w.leaving && !l.configStore.Snapshot().Leaving(w.resources.ID()) {
		return
	}
	for _, r := range w.runList() {
		if r.checkpointable() && !r.checkpointing {
			r.checkpointing = true
			l.sendControl(r, Checkpoint)
		}
	}
}

// expireWorker ends all runs of a worker whose lease has expired.
func (l *Loop) expireWorker(w *worker) {
	l.log.Record(anvilevent.WorkerExpired, "worker", w.resources.ID(), "tasks", len(w.runs))
	w.resources.SetSchedulable(false)
	l.index.Update(w.resources)
	for _, r := range w.runList() {
		l.fireRun(r, "gone")
	}
	l.extendRecordGap(w.shard)
}

func (l *Loop) removeWorker(w *worker) {
	l.log.Record(anvilevent.WorkerRemoved, "worker", w.resources.ID(), "shard", w.shard.name)
	w.resources.SetSchedulable(false)
	l.index.Remove(w.resources)
	l.health.Drop(w.resources.ID())
	for _, r := range w.runs {
		l.detachRun(r)
	}
	if l.workers[w.resources.ID()] == w {
		delete(l.workers, w.resources.ID())
	}
	if w.shard.workers[w.resources.ID()] == w {
		delete(w.shard.workers, w.resources.ID())
	}
}

// probeWorkers lets each quarantined worker whose next probe is due run one task.
func (l *Loop) probeWorkers(now anvilclock.Millis) {
	for _, w := range l.workers {
		if w.machine.State() != workerReady || w.probing || !l.health.Quarantined(w.resources.ID(), now) {
			continue
		}
		if l.health.TryProbe(w.resources.ID(), now) {
			w.probing = true
			l.log.Record(anvilevent.WorkerProbed, "worker", w.resources.ID())
			l.updateSchedulable(w)
		}
	}
}
