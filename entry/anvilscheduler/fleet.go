package anvilscheduler

import (
	"slices"
	"strings"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilsize"
)

// fleet is what the leader knows of the workers.
type fleet struct {
	byID  map[string]*worker
	pools map[string][]*worker
	// probing is the number of holds on their way to workers that have not answered before, or no longer do.
	probing int
}

func newFleet() fleet {
	return fleet{byID: map[string]*worker{}, pools: map[string][]*worker{}}
}

// worker is one incarnation of a worker.
type worker struct {
	loop         *Loop
	registration Registration
	machine      anvilchart.Machine
	used         anvilsize.Size
	tasks        map[*task]bool
	// clock is the worker's clock when it was last heard of, at the local time heard.
	clock anvilclock.Millis
	heard anvilclock.Millis
	// lapse is the local time at which the leases of all runs have certainly ended.
	lapse anvilclock.Millis
	// extended is when the last order that extends leases was sent.
	extended anvilclock.Millis
	// acked is the last end that may be forgotten; noted is the last one that was worked off.
	acked     int64
	processed int64
	sentAck   int64
	// holding says that a hold is on its way, asked when the last one was sent.
	holding  bool
	asked    anvilclock.Millis
	failures int
	// probed says that the hold on its way counts in the fleet's probing.
	probed bool
	// rest is the time up to which the worker gets no starts.
	rest     anvilclock.Millis
	unlisted anvilclock.Millis
	health   health
	// seat is the worker's place in the newest board of its pool; nil when it was not usable then.
	seat *seat
}

// States of the worker chart that the code asks for.
const (
	workerUnfenced = "unfenced"
	workerReady    = "ready"
	workerGone     = "gone"
)

func (w *worker) id() string     { return w.registration.id }
func (w *worker) target() Target { return Target{id: w.registration.id, addr: w.registration.addr} }
func (w *worker) free() anvilsize.Size {
	return w.registration.capacity.Sub(w.used)
}

// usable reports whether new runs may be bound to the worker.
func (w *worker) usable(now anvilclock.Millis) bool {
	return w.machine.State() == workerReady && !w.registration.draining && now >= w.rest && w.failures == 0 &&
		(w.unlisted == 0 || now-w.unlisted < unlistedAfter)
}

// workerNow estimates the worker's clock.
func (w *worker) workerNow(now anvilclock.Millis) anvilclock.Millis {
	return w.clock + (now - w.heard)
}

// hear takes the worker's clock from an answer.
func (w *worker) hear(clock, now anvilclock.Millis) {
	if clock > 0 {
		w.clock, w.heard = clock, now
	}
}

// promise notes that runs may be held until a time of the worker's clock.
func (w *worker) promise(until, now anvilclock.Millis) {
	w.extended = now
	w.lapse = max(w.lapse, now+w.loop.lapseAfter(max(until-w.workerNow(now), 0)))
}

// lapseAfter returns how long a lease of d on a worker's clock may last here.
func (l *Loop) lapseAfter(d anvilclock.Millis) anvilclock.Millis {
	return d*(100+slowClock)/100 + lapseMargin
}

func (l *Loop) leaseFor() anvilclock.Millis { return min(leaseTime, l.bounds.maxLease-leaseSlack) }

func (l *Loop) bindWorker() *anvilchart.Binding[*worker] {
	return anvilchart.NewBinding(map[string]func(*worker){
		"adopt": func(w *worker) {
			// From now on only this leader extends leases, and a former one has promised no more than this
			// one does.
			w.lapse = l.clock.Now() + l.lapseAfter(l.leaseFor())
			l.log.Record(anvilevent.WorkerAdopted, "worker", w.id(), "pool", w.registration.pool, "tasks", len(w.tasks))
			l.wake()
		},
		"suspect": func(w *worker) {
			l.log.Record(anvilevent.WorkerUnanswering, "worker", w.id(), "tasks", len(w.tasks), "lapse", int64(w.lapse-l.clock.Now()))
		},
		"recover": func(w *worker) {
			l.log.Record(anvilevent.WorkerRecovered, "worker", w.id(), "tasks", len(w.tasks))
			l.wake()
		},
		"lose": func(w *worker) { l.loseTasks(w) },
	}, nil)
}

// loseTasks ends the runs of a worker that can't be under way any more.
func (l *Loop) loseTasks(w *worker) {
	if len(w.tasks) == 0 {
		return
	}
	l.log.Record(anvilevent.WorkerLapsed, "worker", w.id(), "tasks", len(w.tasks), "state", w.machine.State())
	for _, t := range w.bound() {
		l.fireTask(t, "lost")
	}
}

// bound returns the tasks of a worker in a fixed order.
func (w *worker) bound() []*task {
	out := make([]*task, 0, len(w.tasks))
	for t := range w.tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, compareTasks)
	return out
}

func (l *Loop) adoptWorkers(page WorkerPage) {
	for _, e := range page.entries {
		l.list(e)
	}
	// Runs at workers that are no longer listed count until their leases have lapsed for certain.
	now := l.clock.Now()
	for _, j := range l.work.jobs {
		for _, t := range j.tasks() {
			if t.worker != nil || t.adopted == "" {
				continue
			}
			w := l.fleet.byID[t.adopted]
			if w == nil {
				w = l.newWorker(NewRegistration(t.adopted, "", "", "", nil, anvilsize.Size{}, t.incarnation))
				w.registration.removed = true
				w.unlisted = now
			}
			l.attach(t, w)
		}
	}
}

func (l *Loop) newWorker(e Registration) *worker {
	now := l.clock.Now()
	w := &worker{loop: l, registration: e, machine: l.charts.worker.NewMachine(), tasks: map[*task]bool{}}
	// What a former leader has promised: it may have extended leases until its grace ended.
	w.lapse = now + l.lapseAfter(leaseGrace+l.leaseFor())
	l.fleet.byID[e.id] = w
	if e.pool != "" {
		l.fleet.pools[e.pool] = append(l.fleet.pools[e.pool], w)
	}
	return w
}

// enlist adds an incarnation of a worker that the platform's list shows.
func (l *Loop) enlist(e Registration) *worker {
	l.log.Record(anvilevent.WorkerListed, "worker", e.id, "pool", e.pool, "address", e.addr, "life", e.incarnation)
	return l.newWorker(e)
}

// list takes an entry of the platform's list.
func (l *Loop) list(e Registration) {
	now := l.clock.Now()
	w := l.fleet.byID[e.id]
	if e.removed {
		if w != nil && w.unlisted == 0 {
			l.unlist(w, now)
		}
		return
	}
	if w != nil && w.registration.incarnation != e.incarnation && w.registration.incarnation != 0 {
		l.succeed(w, e)
		return
	}
	if w == nil {
		w = l.enlist(e)
		if l.leading() {
			l.probe(w, now)
		}
		return
	}
	if w.unlisted != 0 {
		l.log.Record(anvilevent.WorkerListed, "worker", e.id, "pool", e.pool, "away", int64(now-w.unlisted))
		w.unlisted = 0
		l.wake()
	}
	if e.draining && !w.registration.draining {
		l.log.Record(anvilevent.WorkerDraining, "worker", e.id, "remaining", int64(e.remaining), "tasks", len(w.tasks))
		w.health.leaves = now + e.remaining
	}
	if w.registration.pool != e.pool {
		l.removeFromPool(w)
		l.fleet.pools[e.pool] = append(l.fleet.pools[e.pool], w)
	}
	w.registration = e
}

// unlist notes that a worker's entry is gone. A worker that was draining has left, and so have its runs;
// any other one may only be partitioned from the store.
func (l *Loop) unlist(w *worker, now anvilclock.Millis) {
	w.unlisted = now
	l.log.Record(anvilevent.WorkerUnlisted, "worker", w.id(), "draining", w.registration.draining, "tasks", len(w.tasks))
	if w.registration.draining {
		l.replace(w, "left")
		return
	}
	l.probe(w, now)
}

// succeed replaces an incarnation of a worker by a later one under the same id. The later one knows nothing of what ran before,
// but a start that was meant for the earlier incarnation may have been carried out by it. So the runs stay bound until the
// later incarnation has told what runs there.
func (l *Loop) succeed(w *worker, e Registration) {
	tasks := w.bound()
	for _, t := range tasks {
		l.vacate(t)
	}
	l.retire(w, "restarted", len(tasks))
	next := l.enlist(e)
	for _, t := range tasks {
		l.move(t, next)
	}
	if l.leading() {
		l.probe(next, l.clock.Now())
	}
}

// move binds a task to the next incarnation of its worker.
func (l *Loop) move(t *task, next *worker) {
	t.worker, t.incarnation = next, next.registration.incarnation
	t.occupy()
	switch t.machine.State() {
	case taskPlaced:
	case taskStarting:
		// The start is sent again; a run that is there already is confirmed.
		t.inflight, t.unconfirmed, t.confirmed = false, true, 0
	default:
		t.adopted = next.id()
	}
	l.mark(t.stage.job)
}

// replace ends an incarnation of a worker.
func (l *Loop) replace(w *worker, reason string) { l.retire(w, reason, len(w.tasks)) }

// retire ends an incarnation of a worker that had so many tasks. Those still bound to it are lost.
func (l *Loop) retire(w *worker, reason string, tasks int) {
	l.log.Record(anvilevent.WorkerReplaced, "worker", w.id(), "reason", reason, "life", w.registration.incarnation, "tasks", tasks)
	l.fireWorker(w, "replaced")
	l.removeFromPool(w)
	delete(l.fleet.byID, w.id())
	l.wake()
}

func (l *Loop) removeFromPool(w *worker) {
	pool := w.registration.pool
	w.seat = nil
	l.fleet.pools[pool] = slices.DeleteFunc(l.fleet.pools[pool], func(o *worker) bool { return o == w })
}

func (m workersRead) deliver(l *Loop) {
	if m.token != l.leadership.token {
		return
	}
	listed := make(map[string]bool, len(m.page.entries))
	for _, e := range m.page.entries {
		listed[e.id] = !e.removed
		l.list(e)
	}
	if !m.whole {
		return
	}
	now := l.clock.Now()
	for _, w := range l.fleet.sorted() {
		if !listed[w.id()] && w.unlisted == 0 {
			l.unlist(w, now)
		}
	}
}

func (f *fleet) sorted() []*worker {
	out := make([]*worker, 0, len(f.byID))
	for _, w := range f.byID {
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b *worker) int { return strings.Compare(a.id(), b.id()) })
	return out
}

// tickFleet sends the holds that are due and ends runs whose leases have lapsed.
func (l *Loop) tickFleet(now anvilclock.Millis) {
	for _, w := range l.fleet.byID {
		if w.machine.State() != workerReady && now >= w.lapse && len(w.tasks) > 0 {
			l.fireWorker(w, "lapse")
		}
		if w.unlisted != 0 && len(w.tasks) == 0 && now-w.unlisted > unlistedAfter && w.machine.State() != workerReady {
			l.replace(w, "unlisted")
			continue
		}
		l.probe(w, now)
		l.leave(w, now)
	}
}

// probe sends a hold to a worker when one is due.
func (l *Loop) probe(w *worker, now anvilclock.Millis) {
	if w.holding || w.registration.addr == "" || !l.mayExtendLeases(now) || now-w.asked < holdGap {
		return
	}
	o := HoldOrder{token: l.leadership.token, acked: w.acked}
	switch {
	case w.machine.State() != workerReady || w.failures > 0:
		most := probeMost
		if len(w.tasks) == 0 {
			most = probeIdle
		}
		if (w.asked != 0 && now-w.asked < probeEvery) || l.fleet.probing >= most {
			return
		}
		w.probed = true
		l.fleet.probing++
	case w.acked > w.sentAck:
		// The ends may be forgotten; while tasks run, the same call waits for the next end.
	case len(w.tasks) == 0:
		return
	case w.processed > w.acked:
		// Ends are being stored. A hold now would only list them again, unless the store takes long.
		if now-w.extended < refreshAfter {
			return
		}
	}
	// A worker that does not answer may carry the order out late, and its lease is to lapse.
	if len(w.tasks) > 0 && w.heard != 0 && w.machine.State() == workerReady && w.failures == 0 {
		o.until = w.workerNow(now) + l.leaseFor()
		if w.processed <= w.acked {
			o.wait = holdWait
		}
	}
	l.hold(w, o, now)
}

// hold sends a hold on a traffic goroutine.
func (l *Loop) hold(w *worker, o HoldOrder, now anvilclock.Millis) {
	w.holding, w.asked = true, now
	if o.until != 0 {
		w.promise(o.until, now)
	}
	ctx, workers, to, token := l.leadershipContext(), l.workers, w.target(), l.leadership.token
	l.spawn(func() {
		ctx, cancel := withTimeout(ctx, o.wait+orderTimeout)
		defer cancel()
		report, err := workers.Hold(ctx, to, o)
		l.post(held{token: token, w: w, sent: now, acked: o.acked, report: report, err: err})
	})
}

func (m held) deliver(l *Loop) {
	w := m.w
	w.holding = false
	if m.token != l.leadership.token {
		return
	}
	if w.probed {
		w.probed = false
		l.fleet.probing--
	}
	if w.machine.State() == workerGone {
		return
	}
	now := l.clock.Now()
	if m.err != nil {
		l.orderFailed(w, m.err, now)
		return
	}
	w.failures = 0
	w.hear(m.report.clock, now)
	w.sentAck = max(w.sentAck, m.acked)
	if w.registration.incarnation != 0 && m.report.incarnation != 0 && m.report.incarnation != w.registration.incarnation {
		// The list shows the later incarnation, and what it can hold, a little later.
		l.succeed(w, w.registration.WithIncarnation(m.report.incarnation))
		return
	}
	l.reconcile(w, m, now)
	l.fireWorker(w, "report")
	l.probe(w, now)
}

// orderFailed takes an order's failure as news of the worker.
func (l *Loop) orderFailed(w *worker, err error, now anvilclock.Millis) {
	e := asOrderError(err)
	w.hear(e.clock, now)
	switch e.fault {
	case FaultFenced:
		l.depose("worker " + w.id() + " has seen a newer token")
	case FaultReplaced:
		l.replace(w, "another worker answers")
	case FaultUnavailable:
		w.rest = now + unwellPause
	case FaultNoReply, FaultInvalid:
		w.failures++
		if w.failures >= silentAfter {
			l.fireWorker(w, "silent")
		}
	default:
	}
}

// reconcile compares what a worker reports with what the leader has bound to it.
func (l *Loop) reconcile(w *worker, m held, now anvilclock.Millis) {
	l.takeEndings(w, m.report.runEnds)
	active := make(map[*task]bool, len(m.report.active))
	for _, a := range m.report.active {
		t := l.findTask(a.task)
		if t == nil || t.worker != w || t.run != a.run {
			l.stopStray(w, a, now)
			continue
		}
		active[t] = true
		l.observe(t, a, now)
	}
	for _, t := range w.bound() {
		if active[t] || t.machine.State() == taskPlaced {
			continue
		}
		// An adopted run, or one whose start was confirmed before the hold was sent, is not there any more.
		if t.adopted != "" || (t.confirmed != 0 && t.confirmed < m.sent) {
			l.log.Record(anvilevent.RunVanished, "task", t.id.String(), "run", t.run, "worker", w.id(), "state", t.machine.State())
			l.fireTask(t, "lost")
		}
	}
	l.regulate(w, now)
}

// takeEndings works off the ends that are new, and has them stored before the worker forgets them.
func (l *Loop) takeEndings(w *worker, runEnds []RunEnd) {
	last := w.processed
	for _, e := range runEnds {
		if e.number <= w.processed {
			continue
		}
		last = max(last, e.number)
		l.end(w, e)
	}
	if last > w.processed {
		w.processed = last
		l.journal.acks = append(l.journal.acks, ack{w: w, seen: last, mark: l.journal.marks})
		if len(l.journal.queue) == 0 && l.journal.inflight == nil {
			l.releaseAcks()
		}
	}
}

// stopStray stops a run that is not bound to the worker where it goes on.
func (l *Loop) stopStray(w *worker, a Active, now anvilclock.Millis) {
	l.log.Record(anvilevent.RunStray, "task", a.task.String(), "run", a.run, "worker", w.id())
	l.meter.Count("run.stray")
	l.sendStop(w, nil, StopOrder{task: a.task, run: a.run, token: l.leadership.token}, now)
}

func (l *Loop) adoptInstances(page anvilstorage.Page) {
	for _, r := range page.Rows() {
		l.adoptInstance(r)
	}
}

func (l *Loop) adoptInstance(r anvilstorage.Row) {
	if r.Deleted() {
		l.asking.remove(r.Key())
		return
	}
	in, err := anvilstorage.ParseInstance(r)
	if err != nil {
		l.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.Instances), "key", r.Key())
		return
	}
	l.asking.add(in, r.Version())
}

func (m instancesRead) deliver(l *Loop) {
	if m.token != l.leadership.token {
		return
	}
	l.adoptInstances(m.page)
}
