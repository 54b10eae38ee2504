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
	// probesInFlight is the number of holds on their way to workers that have not answered before, or no longer do.
	probesInFlight int
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
	clock     anvilclock.Millis
	lastReply anvilclock.Millis
	// leaseExpiry is the local time at which the leases of all runs have certainly ended.
	leaseExpiry anvilclock.Millis
	// lastExtended is when the last order that extends leases was sent.
	lastExtended anvilclock.Millis
	// acked is the last end that may be forgotten; noted is the last one that was worked off.
	acked     int64
	processed int64
	sentAck   int64
	// holdInFlight says that a hold is on its way, asked when the last one was sent.
	holdInFlight bool
	lastHold     anvilclock.Millis
	failures     int
	// probesInFlight says that the hold on its way counts in the fleet's probing.
	probing bool
	// backoffUntil is the time up to which the worker gets no starts.
	backoffUntil   anvilclock.Millis
	deregisteredAt anvilclock.Millis
	health         health
	// candidate is the worker's place in the newest board of its pool; nil when it was not usable then.
	candidate *candidate
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
	return w.machine.State() == workerReady && !w.registration.draining && now >= w.backoffUntil && w.failures == 0 &&
		(w.deregisteredAt == 0 || now-w.deregisteredAt < deregistrationGrace)
}

// workerNow estimates the worker's clock.
func (w *worker) workerNow(now anvilclock.Millis) anvilclock.Millis {
	return w.clock + (now - w.lastReply)
}

// recordReply takes the worker's clock from an answer.
func (w *worker) recordReply(clock, now anvilclock.Millis) {
	if clock > 0 {
		w.clock, w.lastReply = clock, now
	}
}

// extendLease notes that runs may be held until a time of the worker's clock.
func (w *worker) extendLease(until, now anvilclock.Millis) {
	w.lastExtended = now
	w.leaseExpiry = max(w.leaseExpiry, now+w.loop.leaseExpiryAfter(max(until-w.workerNow(now), 0)))
}

// leaseExpiryAfter returns how long a lease of d on a worker's clock may last here.
func (l *Loop) leaseExpiryAfter(d anvilclock.Millis) anvilclock.Millis {
	return d*(100+maxClockLag)/100 + leaseExpiryMargin
}

func (l *Loop) grantedLease() anvilclock.Millis {
	return min(leaseDuration, l.limits.maxLease-leaseSlack)
}

func (l *Loop) bindWorker() *anvilchart.Binding[*worker] {
	return anvilchart.NewBinding(map[string]func(*worker){
		"adopt": func(w *worker) {
			// From now on only this leader extends leases, and a former one has promised no more than this
			// one does.
			w.leaseExpiry = l.clock.Now() + l.leaseExpiryAfter(l.grantedLease())
			l.log.Record(anvilevent.WorkerAdopted, "worker", w.id(), "pool", w.registration.pool, "tasks", len(w.tasks))
			l.requestPass()
		},
		"suspect": func(w *worker) {
			l.log.Record(anvilevent.WorkerUnanswering, "worker", w.id(), "tasks", len(w.tasks), "lapse", int64(w.leaseExpiry-l.clock.Now()))
		},
		"recover": func(w *worker) {
			l.log.Record(anvilevent.WorkerRecovered, "worker", w.id(), "tasks", len(w.tasks))
			l.requestPass()
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
	for _, t := range w.boundTasks() {
		l.fireTask(t, "lost")
	}
}

// boundTasks returns the tasks of a worker in a fixed order.
func (w *worker) boundTasks() []*task {
	out := make([]*task, 0, len(w.tasks))
	for t := range w.tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, compareTasks)
	return out
}

func (l *Loop) adoptWorkers(page WorkerPage) {
	for _, reg := range page.entries {
		l.applyRegistration(reg)
	}
	// Runs at workers that are no longer listed count until their leases have lapsed for certain.
	now := l.clock.Now()
	for _, j := range l.work.jobs {
		for _, t := range j.tasks() {
			if t.worker != nil || t.adoptedFrom == "" {
				continue
			}
			w := l.fleet.byID[t.adoptedFrom]
			if w == nil {
				w = l.newWorker(NewRegistration(t.adoptedFrom, "", "", "", nil, anvilsize.Size{}, t.incarnation))
				w.registration.removed = true
				w.deregisteredAt = now
			}
			l.attach(t, w)
		}
	}
}

func (l *Loop) newWorker(reg Registration) *worker {
	now := l.clock.Now()
	w := &worker{loop: l, registration: reg, machine: l.charts.worker.NewMachine(), tasks: map[*task]bool{}}
	// What a former leader has promised: it may have extended leases until its grace ended.
	w.leaseExpiry = now + l.leaseExpiryAfter(leaseGrace+l.grantedLease())
	l.fleet.byID[reg.id] = w
	if reg.pool != "" {
		l.fleet.pools[reg.pool] = append(l.fleet.pools[reg.pool], w)
	}
	return w
}

// addWorker adds an incarnation of a worker that the platform's list shows.
func (l *Loop) addWorker(reg Registration) *worker {
	l.log.Record(anvilevent.WorkerListed, "worker", reg.id, "pool", reg.pool, "address", reg.addr, "life", reg.incarnation)
	return l.newWorker(reg)
}

// applyRegistration takes an entry of the platform's list.
func (l *Loop) applyRegistration(reg Registration) {
	now := l.clock.Now()
	w := l.fleet.byID[reg.id]
	if reg.removed {
		if w != nil && w.deregisteredAt == 0 {
			l.applyDeregistration(w, now)
		}
		return
	}
	if w != nil && w.registration.incarnation != reg.incarnation && w.registration.incarnation != 0 {
		l.replaceIncarnation(w, reg)
		return
	}
	if w == nil {
		w = l.addWorker(reg)
		if l.leading() {
			l.holdIfDue(w, now)
		}
		return
	}
	if w.deregisteredAt != 0 {
		l.log.Record(anvilevent.WorkerListed, "worker", reg.id, "pool", reg.pool, "away", int64(now-w.deregisteredAt))
		w.deregisteredAt = 0
		l.requestPass()
	}
	if reg.draining && !w.registration.draining {
		l.log.Record(anvilevent.WorkerDraining, "worker", reg.id, "remaining", int64(reg.remaining), "tasks", len(w.tasks))
		w.health.leavesAt = now + reg.remaining
	}
	if w.registration.pool != reg.pool {
		l.removeFromPool(w)
		l.fleet.pools[reg.pool] = append(l.fleet.pools[reg.pool], w)
	}
	w.registration = reg
}

// applyDeregistration notes that a worker's entry is gone. A worker that was draining has left, and so have its runs;
// any other one may only be partitioned from the store.
func (l *Loop) applyDeregistration(w *worker, now anvilclock.Millis) {
	w.deregisteredAt = now
	l.log.Record(anvilevent.WorkerUnlisted, "worker", w.id(), "draining", w.registration.draining, "tasks", len(w.tasks))
	if w.registration.draining {
		l.retire(w, "left")
		return
	}
	l.holdIfDue(w, now)
}

// replaceIncarnation replaces an incarnation of a worker by a later one under the same id. The later one knows nothing of what ran before,
// but a start that was meant for the earlier incarnation may have been carried out by it. So the runs stay bound until the
// later incarnation has told what runs there.
func (l *Loop) replaceIncarnation(w *worker, reg Registration) {
	tasks := w.boundTasks()
	for _, t := range tasks {
		l.deallocate(t)
	}
	l.endIncarnation(w, "restarted", len(tasks))
	next := l.addWorker(reg)
	for _, t := range tasks {
		l.rebind(t, next)
	}
	if l.leading() {
		l.holdIfDue(next, l.clock.Now())
	}
}

// rebind binds a task to the next incarnation of its worker.
func (l *Loop) rebind(t *task, next *worker) {
	t.worker, t.incarnation = next, next.registration.incarnation
	t.allocate()
	switch t.machine.State() {
	case taskPlaced:
	case taskStarting:
		// The start is sent again; a run that is there already is confirmed.
		t.startInFlight, t.unconfirmed, t.confirmedAt = false, true, 0
	default:
		t.adoptedFrom = next.id()
	}
	l.markChanged(t.stage.job)
}

// retire ends an incarnation of a worker.
func (l *Loop) retire(w *worker, reason string) { l.endIncarnation(w, reason, len(w.tasks)) }

// endIncarnation ends an incarnation of a worker that had so many tasks. Those still bound to it are lost.
func (l *Loop) endIncarnation(w *worker, reason string, tasks int) {
	l.log.Record(anvilevent.WorkerReplaced, "worker", w.id(), "reason", reason, "life", w.registration.incarnation, "tasks", tasks)
	l.fireWorker(w, "replaced")
	l.removeFromPool(w)
	delete(l.fleet.byID, w.id())
	l.requestPass()
}

func (l *Loop) removeFromPool(w *worker) {
	pool := w.registration.pool
	w.candidate = nil
	l.fleet.pools[pool] = slices.DeleteFunc(l.fleet.pools[pool], func(other *worker) bool { return other == w })
}

func (m workersRead) deliver(l *Loop) {
	if m.token != l.leadership.token {
		return
	}
	registered := make(map[string]bool, len(m.page.entries))
	for _, reg := range m.page.entries {
		registered[reg.id] = !reg.removed
		l.applyRegistration(reg)
	}
	if !m.full {
		return
	}
	now := l.clock.Now()
	for _, w := range l.fleet.sorted() {
		if !registered[w.id()] && w.deregisteredAt == 0 {
			l.applyDeregistration(w, now)
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
		if w.machine.State() != workerReady && now >= w.leaseExpiry && len(w.tasks) > 0 {
			l.fireWorker(w, "lapse")
		}
		if w.deregisteredAt != 0 && len(w.tasks) == 0 && now-w.deregisteredAt > deregistrationGrace && w.machine.State() != workerReady {
			l.retire(w, "unlisted")
			continue
		}
		l.holdIfDue(w, now)
		l.moveOffDraining(w, now)
	}
}

// holdIfDue sends a hold to a worker when one is due.
func (l *Loop) holdIfDue(w *worker, now anvilclock.Millis) {
	if w.holdInFlight || w.registration.addr == "" || !l.mayExtendLeases(now) || now-w.lastHold < minHoldInterval {
		return
	}
	other := HoldOrder{token: l.leadership.token, acked: w.acked}
	switch {
	case w.machine.State() != workerReady || w.failures > 0:
		limit := maxProbes
		if len(w.tasks) == 0 {
			limit = maxIdleProbes
		}
		if (w.lastHold != 0 && now-w.lastHold < probeInterval) || l.fleet.probesInFlight >= limit {
			return
		}
		w.probing = true
		l.fleet.probesInFlight++
	case w.acked > w.sentAck:
		// The ends may be forgotten; while tasks run, the same call waits for the next end.
	case len(w.tasks) == 0:
		return
	case w.processed > w.acked:
		// Ends are being stored. A hold now would only list them again, unless the store takes long.
		if now-w.lastExtended < leaseRefreshAge {
			return
		}
	}
	// A worker that does not answer may carry the order out late, and its lease is to lapse.
	if len(w.tasks) > 0 && w.lastReply != 0 && w.machine.State() == workerReady && w.failures == 0 {
		other.until = w.workerNow(now) + l.grantedLease()
		if w.processed <= w.acked {
			other.wait = maxHoldWait
		}
	}
	l.sendHold(w, other, now)
}

// sendHold sends a hold on a traffic goroutine.
func (l *Loop) sendHold(w *worker, other HoldOrder, now anvilclock.Millis) {
	w.holdInFlight, w.lastHold = true, now
	if other.until != 0 {
		w.extendLease(other.until, now)
	}
	ctx, workers, to, token := l.leadershipContext(), l.workers, w.target(), l.leadership.token
	l.spawn(func() {
		ctx, cancel := withTimeout(ctx, other.wait+orderTimeout)
		defer cancel()
		report, err := workers.Hold(ctx, to, other)
		l.post(holdAnswered{token: token, worker: w, sent: now, acked: other.acked, report: report, err: err})
	})
}

func (m holdAnswered) deliver(l *Loop) {
	w := m.worker
	w.holdInFlight = false
	if m.token != l.leadership.token {
		return
	}
	if w.probing {
		w.probing = false
		l.fleet.probesInFlight--
	}
	if w.machine.State() == workerGone {
		return
	}
	now := l.clock.Now()
	if m.err != nil {
		l.handleOrderError(w, m.err, now)
		return
	}
	w.failures = 0
	w.recordReply(m.report.clock, now)
	w.sentAck = max(w.sentAck, m.acked)
	if w.registration.incarnation != 0 && m.report.incarnation != 0 && m.report.incarnation != w.registration.incarnation {
		// The list shows the later incarnation, and what it can hold, a little later.
		l.replaceIncarnation(w, w.registration.WithIncarnation(m.report.incarnation))
		return
	}
	l.reconcile(w, m, now)
	l.fireWorker(w, "report")
	l.holdIfDue(w, now)
}

// handleOrderError takes an order's failure as news of the worker.
func (l *Loop) handleOrderError(w *worker, err error, now anvilclock.Millis) {
	e := asOrderError(err)
	w.recordReply(e.clock, now)
	switch e.fault {
	case FaultFenced:
		l.stepDown("worker " + w.id() + " has seen a newer token")
	case FaultReplaced:
		l.retire(w, "another worker answers")
	case FaultUnavailable:
		w.backoffUntil = now + unavailableBackoff
	case FaultNoReply, FaultInvalid:
		w.failures++
		if w.failures >= unresponsiveAfter {
			l.fireWorker(w, "silent")
		}
	default:
	}
}

// reconcile compares what a worker reports with what the leader has bound to it.
func (l *Loop) reconcile(w *worker, m holdAnswered, now anvilclock.Millis) {
	l.processRunEnds(w, m.report.runEnds)
	active := make(map[*task]bool, len(m.report.active))
	for _, a := range m.report.active {
		t := l.findTask(a.task)
		if t == nil || t.worker != w || t.run != a.run {
			l.stopStray(w, a, now)
			continue
		}
		active[t] = true
		l.updateRun(t, a, now)
	}
	for _, t := range w.boundTasks() {
		if active[t] || t.machine.State() == taskPlaced {
			continue
		}
		// An adopted run, or one whose start was confirmed before the hold was sent, is not there any more.
		if t.adoptedFrom != "" || (t.confirmedAt != 0 && t.confirmedAt < m.sent) {
			l.log.Record(anvilevent.RunVanished, "task", t.id.String(), "run", t.run, "worker", w.id(), "state", t.machine.State())
			l.fireTask(t, "lost")
		}
	}
	l.adjustRuns(w, now)
}

// processRunEnds works off the ends that are new, and has them stored before the worker forgets them.
func (l *Loop) processRunEnds(w *worker, runEnds []RunEnd) {
	last := w.processed
	for _, e := range runEnds {
		if e.number <= w.processed {
			continue
		}
		last = max(last, e.number)
		l.processRunEnd(w, e)
	}
	if last > w.processed {
		w.processed = last
		l.commits.acks = append(l.commits.acks, ack{worker: w, number: last, seq: l.commits.lastSeq})
		if len(l.commits.jobs) == 0 && l.commits.inflight == nil {
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
		l.proxies.remove(r.Key())
		return
	}
	in, err := anvilstorage.ParseInstance(r)
	if err != nil {
		l.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.Instances), "key", r.Key())
		return
	}
	l.proxies.add(in, r.Version())
}

func (m instancesRead) deliver(l *Loop) {
	if m.token != l.leadership.token {
		return
	}
	l.adoptInstances(m.page)
}
