package anvilcontrol

import (
	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilworker"
)

// States of the worker chart that the code asks for.
const (
	workerUnfenced = "unfenced"
	workerReady    = "ready"
	workerExpired  = "expired"
)

// Renewals of leases also report the tasks that have ended, so they are more frequent than the lease
// alone would need. One more is made when a task is expected to end: with renewals of 1 s alone, tasks
// of 1 s held their place for half as long again.
const (
	renewInterval    = anvilclock.Millis(1000)
	minRenewInterval = anvilclock.Millis(100)
	endReportDelay   = anvilclock.Millis(20) // a task is reported a moment after its declared run time
)

// worker is a worker of an owned shard.
type worker struct {
	spec        *anvilworker.Worker
	shard       *shard
	machine     anvilchart.Machine
	boot        string
	cursor      int64
	workerClock anvilclock.Millis // the worker's clock as it answered the last fence
	fencedAt    anvilclock.Millis // when the last answered fence was sent
	renewAt     anvilclock.Millis
	nextEnd     anvilclock.Millis // when the first of its batch tasks is expected to end
	fencing     bool
	fenceTried  bool // a fence was answered or has failed
	leaving     bool
	probing     bool // one task is tried on the worker while it is quarantined
	runs        map[string]*run
}

func newWorker(item Registration, s *shard, m anvilchart.Machine, now anvilclock.Millis) *worker {
	return &worker{
		spec: anvilworker.New(item.id, anvilworker.WithAddr(item.addr), anvilworker.WithPlace(item.domain, item.region),
			anvilworker.WithPool(item.pool), anvilworker.WithCapacity(item.size)),
		shard: s, machine: m, fencedAt: now, leaving: item.leaving, runs: map[string]*run{},
	}
}

// expectEnds works out anew when the next task should end. The estimate for one that is late doubles,
// so a wrong run time costs few renewals.
func (w *worker) updateNextEnd(now anvilclock.Millis) {
	w.nextEnd = now + assumedRunTime
	for _, r := range w.runs {
		if !r.startInFlight {
			w.nextEnd = min(w.nextEnd, max(r.expectedEnd(now), now+minRenewInterval)+endReportDelay)
		}
	}
}

// startValid is how long a start may be on its way. It bounds how long a start that waits in the
// buffers of a paused worker can outlive the limit and the key that it was decided under.
const maxStartDelay = anvilclock.Millis(2000)

// until returns the time of the worker's clock after which what is sent now must not start. The
// estimate of that clock is late by at most the round trip of the last fence.
func (w *worker) startDeadline(now anvilclock.Millis) anvilclock.Millis {
	if w.workerClock == 0 {
		return 0
	}
	return w.workerClock + now - w.fencedAt + maxStartDelay
}

// runList returns the runs, so that they may end while the caller goes through them.
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

// refreshWorker works out whether the worker takes new tasks.
func (l *Loop) updateSchedulable(w *worker) {
	open := w.machine.State() == workerReady && w.shard.open() && l.isMember(w) && !w.leaving &&
		!l.configStore.Snapshot().Leaving(w.spec.ID()) && (w.probing || !l.health.Quarantined(w.spec.ID(), l.clock.Now()))
	w.spec.SetSchedulable(open)
	l.index.Update(w.spec)
	if open {
		l.passDue = true
		return
	}
	if w.machine.State() == workerReady {
		l.checkpointTasks(w)
	}
}

// moveTasks checkpoints the batch tasks of a worker that is leaving, so that they go on elsewhere.
func (l *Loop) checkpointTasks(w *worker) {
	if !w.leaving && !l.configStore.Snapshot().Leaving(w.spec.ID()) {
		return
	}
	for _, r := range w.runList() {
		if r.checkpointable() && !r.checkpointing {
			r.checkpointing = true
			l.sendControl(r, Checkpoint)
		}
	}
}

// settleWorker ends all runs of a worker whose lease has passed.
func (l *Loop) expireWorker(w *worker) {
	l.log.Record(anvilevent.WorkerExpired, "worker", w.spec.ID(), "tasks", len(w.runs))
	w.spec.SetSchedulable(false)
	l.index.Update(w.spec)
	for _, r := range w.runList() {
		l.fireRun(r, "gone")
	}
	l.extendRecordGap(w.shard)
}

func (l *Loop) removeWorker(w *worker) {
	l.log.Record(anvilevent.WorkerRemoved, "worker", w.spec.ID(), "shard", w.shard.name)
	w.spec.SetSchedulable(false)
	l.index.Remove(w.spec)
	l.health.Drop(w.spec.ID())
	for _, r := range w.runs {
		l.detachRun(r)
	}
	if l.workers[w.spec.ID()] == w {
		delete(l.workers, w.spec.ID())
	}
	if w.shard.workers[w.spec.ID()] == w {
		delete(w.shard.workers, w.spec.ID())
	}
}

// probeWorkers lets quarantined workers try one task each when their time has come.
func (l *Loop) probeWorkers(now anvilclock.Millis) {
	for _, w := range l.workers {
		if w.machine.State() != workerReady || w.probing || !l.health.Quarantined(w.spec.ID(), now) {
			continue
		}
		if l.health.Probe(w.spec.ID(), now) {
			w.probing = true
			l.log.Record(anvilevent.WorkerProbe, "worker", w.spec.ID())
			l.updateSchedulable(w)
		}
	}
}
