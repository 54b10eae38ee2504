package anvilscheduler

import (
	"maps"
	"slices"
	"strings"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilsize"
)

// fleet is the leader's state of the workers.
type fleet struct {
	byID  map[string]*worker
	pools map[string][]*worker
	// probesInFlight is the number of holds in flight to workers that have not answered this leader yet, no longer do, or
	// are idle.
	probesInFlight int
	// former holds the last incarnation of each worker that has ended within lateOrderWindow: its orders may still arrive at the
	// next one.
	former map[string]formerWorker
	bounds leaseBounds
	ends   endCounter
	// losing holds the pools in which long-running tasks are bound to workers that don't answer.
	losing map[string]bool
	// lastReview is when bounds and losses were last looked for.
	lastReview anvilclock.Millis
}

func newFleet() fleet {
	return fleet{
		byID: map[string]*worker{}, pools: map[string][]*worker{}, former: map[string]formerWorker{}, bounds: newLeaseBounds(),
		losing: map[string]bool{},
	}
}

// worker is one incarnation of a worker, that is one process under the worker's id.
type worker struct {
	loop         *Loop
	registration Registration
	// fence is the fencing token of orders to the worker. minFence is the lowest that it has to accept before it gets starts; 0
	// once it has.
	fence, minFence int64
	// barringFence is the lowest token that bars the starts that may arrive although their runs aren't bound to the worker any more; 0
	// when there is none. Ends of these runs are acknowledged by orders with that token.
	barringFence int64
	machine      anvilchart.Machine
	// entryUnread means that no entry of this incarnation was read yet: its pool, labels and capacity are those of the former one.
	entryUnread bool
	// tasks holds the tasks that are bound to the worker, used is the sum of their reservations.
	used  anvilsize.Size
	tasks map[*task]bool
	// clock is the worker's clock in its last reply, which arrived at the local time lastReply. The worker's clock may run
	// slow by maxClockLag.
	clock     anvilclock.Millis
	lastReply anvilclock.Millis
	// leaseExpiry is the local time at which the leases of all runs have certainly expired.
	leaseExpiry anvilclock.Millis
	// formerClockExpiry is the local time until which leases may last whose end an order has named on the clock of a former
	// incarnation; 0 when there is none.
	formerClockExpiry anvilclock.Millis
	// formerIncarnation is the one before this one until formerClockExpiry, or 0. Records name it instead of this one: a successor
	// then accounts for the longest lease, too.
	formerIncarnation int64
	// lastExtended is when the last order that extends leases was sent.
	lastExtended anvilclock.Millis
	// The worker numbers the ends of runs and reports each until it is acknowledged. processed is the last end that the
	// leader has processed, acked the last end that is stored and may be acknowledged, and sentAck the last end whose
	// acknowledgement the worker has received.
	acked     int64
	processed int64
	sentAck   int64
	// acksHeld means that ends wait to be acknowledged until starts of their runs can't arrive any more.
	acksHeld bool
	// ackPassed is why acknowledgements don't wait although starts may still arrive, releasedAcks those that the worker hasn't received.
	ackPassed    string
	releasedAcks []releasedAck
	// gangStarts are the open starts of gangs that have ended, one of whose tasks ran here.
	gangStarts []openStart
	// unverified holds when the starts were sent for which no answer or report has shown yet that this incarnation got them.
	// A next one may have: it numbers its ends anew, and would forget them with an acknowledgement that is meant for this one.
	unverified map[startKey]anvilclock.Millis
	// lateStarts holds starts of which an attempt has no answer, with the time when it was sent or timed out: the attempt may
	// arrive later, also at the next incarnation.
	lateStarts map[startKey]lateStart
	// lateAckUntil is the local time until which an acknowledgement that timed out, or was meant for a former incarnation, may
	// still be carried out. ackInFlight means that the hold in flight acknowledges ends.
	lateAckUntil anvilclock.Millis
	ackInFlight  bool
	// formerAckUntil is lateAckUntil of the former incarnation. No starts are sent before it, unless the worker has accepted
	// minFence.
	formerAckUntil anvilclock.Millis
	// holdInFlight means that a hold has no answer yet; lastHold is when the last hold was sent.
	holdInFlight bool
	lastHold     anvilclock.Millis
	// question is the hold beside these whose answer may be late, patientStops the number of such stops.
	question     question
	patientStops int
	// failures counts consecutive orders without a usable answer.
	failures int
	// mayHaveEnded means that the last order before the next hold failed after others were answered.
	mayHaveEnded bool
	// probeInFlight means that the hold in flight counts in probesInFlight of the fleet.
	probeInFlight bool
	// backoffUntil is the time up to which the worker gets no starts.
	backoffUntil anvilclock.Millis
	// deregisteredAt is when the worker vanished from the registry; 0 while it is registered. The worker has renewed its
	// entry at renewedAfter or later; 0 when that is not known.
	deregisteredAt anvilclock.Millis
	renewedAfter   anvilclock.Millis
	health         health
	// guards are the instances that hold the worker beside the leader, awaitsGuards means that ends wait for them to be acknowledged.
	guards       workerGuards
	awaitsGuards bool
	// candidate is the worker's entry in the newest snapshot of its pool; nil when it was not schedulable then.
	candidate *candidate
}

// States of the worker chart that the code refers to.
const (
	workerUnfenced = "unfenced"
	workerReady    = "ready"
	workerEnded    = "gone"
)

func (w *worker) id() string     { return w.registration.id }
func (w *worker) target() Target { return Target{id: w.registration.id, addr: w.registration.addr} }
func (w *worker) free() anvilsize.Size {
	return w.registration.capacity.Sub(w.used)
}

// schedulable reports whether new runs may be bound to the worker: it answers, is registered, is not draining, not in
// backoff and not in an evacuated domain.
func (w *worker) schedulable(now anvilclock.Millis) bool {
	return w.machine.State() == workerReady && !w.registration.draining && now >= w.backoffUntil && w.failures == 0 && !w.question.slow &&
		!w.awaitsLateAck() && !w.leasesBounded() && w.minFence == 0 && !w.entryUnread &&
		!w.loop.evacuated(w.registration.domain) &&
		(w.deregisteredAt == 0 || (w.lastReply > w.deregisteredAt && now-w.deregisteredAt < deregistrationGrace))
}

// earliestClock returns the earliest time that the worker's clock can show now.
func (w *worker) earliestClock(now anvilclock.Millis) anvilclock.Millis {
	return w.clock + (now-w.lastReply)*(100-maxClockLag)/100
}

// leaseUntil returns the time of the worker's clock until which an order may extend leases. It counts from the earliest
// time that the clock can show, so no lease is longer than grantedLease, and one after a reply long ago is shorter.
func (w *worker) leaseUntil(now anvilclock.Millis) anvilclock.Millis {
	return w.earliestClock(now) + w.loop.grantedLease()
}

// recordReply records the worker's clock from a reply that arrives now; a clock of 0 stands for no reply.
func (w *worker) recordReply(clock, now anvilclock.Millis) {
	if clock > 0 {
		w.clock, w.lastReply = clock, now
	}
}

// recordLaterReply records the worker's clock from a reply that may be late, unless the clock must be later than that by now.
func (w *worker) recordLaterReply(clock, now anvilclock.Millis) {
	if w.lastReply == 0 || clock > w.earliestClock(now) {
		w.recordReply(clock, now)
	}
}

// extendLease records that an order extends leases until leaseUntil. The lease counts as extended when the order is
// sent, because the order may be carried out without an answer.
func (w *worker) extendLease(now anvilclock.Millis) {
	w.lastExtended = now
	w.leaseExpiry = max(w.leaseExpiry, now+w.loop.leaseExpiryAfter(w.loop.grantedLease()))
}

// leaseExpiryAfter returns the longest local time that a lease of d on a worker's clock may last.
func (l *Loop) leaseExpiryAfter(d anvilclock.Millis) anvilclock.Millis {
	return d*100/(100-maxClockLag) + leaseExpiryMargin
}

// grantedLease returns the length of the leases that the leader grants.
func (l *Loop) grantedLease() anvilclock.Millis {
	return min(leaseDuration, l.limits.maxLease-leaseSlack)
}

func (l *Loop) bindWorker() *anvilchart.Binding[*worker] {
	return anvilchart.NewBinding(map[string]func(*worker){
		"adopt": func(w *worker) {
			// The worker has accepted this leader's token, so only this leader extends leases from now on. No lease of a
			// former leader is longer than this.
			if w.formerClockExpiry != 0 {
				w.recordRestart(l.clock.Now())
			}
			w.leaseExpiry = max(l.clock.Now()+l.leaseExpiryAfter(l.grantedLease()), w.formerClockExpiry)
			l.log.Record(anvilevent.WorkerAdopted, "worker", w.id(), "pool", w.registration.pool, "tasks", len(w.tasks))
			l.requestPass()
		},
		"suspect": func(w *worker) {
			l.log.Record(anvilevent.WorkerUnresponsive, "worker", w.id(), "tasks", len(w.tasks), "lapse", int64(w.leaseExpiry-l.clock.Now()),
				"late", int64(l.recentLateness(l.clock.Now())))
		},
		"recover": func(w *worker) {
			l.log.Record(anvilevent.WorkerRecovered, "worker", w.id(), "tasks", len(w.tasks))
			l.requestPass()
		},
		"lose": func(w *worker) { l.loseTasks(w, w.boundTasks()) },
		"expire": func(w *worker) {
			expired := w.expiredTasks(l.clock.Now())
			l.recordGivenUp(expired, lossLeaseExpired)
			l.loseTasks(w, expired)
		},
	}, nil)
}

// loseTasks ends the runs of some tasks of a worker once none of them can still be running.
func (l *Loop) loseTasks(w *worker, tasks []*task) {
	if len(tasks) == 0 {
		return
	}
	l.log.Record(anvilevent.WorkerLeaseExpired, "worker", w.id(), "tasks", len(tasks), "state", w.machine.State(),
		"late", int64(l.recentLateness(l.clock.Now())))
	for _, t := range tasks {
		l.fireTask(t, "lost")
	}
}

// expiredTasks returns the bound tasks whose runs have ended now that the worker's leases have expired. A run may have succeeded before
// that, and an answer of the worker that lists its end may be late, so the others wait until the worker was asked patiently. Long-running
// tasks don't, nor for a lease that only a restart which the leader doesn't know of can have prolonged: they would be away for too long
// after the loss of a worker.
func (w *worker) expiredTasks(now anvilclock.Millis) []*task {
	patient := w.askedPatiently(now)
	return slices.DeleteFunc(w.boundTasks(), func(t *task) bool {
		return !t.stage.step.LongRunning() && (now < t.unansweredExpiry() || !patient)
	})
}

// boundTasks returns the tasks that are bound to a worker, in a fixed order.
func (w *worker) boundTasks() []*task {
	out := make([]*task, 0, len(w.tasks))
	for t := range w.tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, compareTasks)
	return out
}

// adoptWorkers adds the registered workers and binds adopted runs to their workers.
func (l *Loop) adoptWorkers(page WorkerPage) {
	incarnations := map[string]int64{}
	for _, j := range l.workload.jobs {
		for _, t := range j.tasks() {
			if t.adoptedFrom != "" && t.incarnation != 0 {
				incarnations[t.adoptedFrom] = t.incarnation
			}
		}
	}
	for _, reg := range page.entries {
		if reg.lacksIncarnation(incarnations[reg.id]) {
			reg = NewUnreadable(reg.id)
		}
		l.applyRegistration(reg, 0)
	}
	// Runs at workers that are no longer registered stay bound until their leases have certainly expired.
	now := l.clock.Now()
	for _, j := range l.workload.jobs {
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
	w := &worker{
		loop: l, registration: reg, fence: l.leadership.fence, machine: l.charts.worker.NewMachine(), tasks: map[*task]bool{},
		unverified: map[startKey]anvilclock.Millis{}, lateStarts: map[startKey]lateStart{},
	}
	w.leaseExpiry = l.extendedUntil(now) + l.leaseExpiryAfter(l.grantedLease())
	l.fleet.byID[reg.id] = w
	if reg.pool != "" {
		l.fleet.pools[reg.pool] = append(l.fleet.pools[reg.pool], w)
	}
	return w
}

// addWorker adds an incarnation of a registered worker.
func (l *Loop) addWorker(reg Registration) *worker {
	l.log.Record(anvilevent.WorkerRegistered, "worker", reg.id, "pool", reg.pool, "address", reg.addr, "life", reg.incarnation)
	w := l.newWorker(reg)
	l.succeed(w)
	return w
}

// applyRegistration applies an entry of the worker registry that was written at writtenAfter or later, or the removal of
// one.
func (l *Loop) applyRegistration(reg Registration, writtenAfter anvilclock.Millis) {
	now := l.clock.Now()
	w := l.fleet.byID[reg.id]
	if reg.removed {
		if w != nil && w.deregisteredAt == 0 {
			l.applyDeregistration(w, now)
		}
		return
	}
	if reg.unreadable || (w != nil && reg.lacksIncarnation(w.registration.incarnation)) {
		l.meter.Count("entry.unreadable")
		if w != nil && w.deregisteredAt == 0 {
			l.log.Record(anvilevent.WorkerDeregistered, "worker", w.id(), "draining", w.registration.draining, "tasks", len(w.tasks))
			w.deregisteredAt = now
			l.holdIfDue(w, now)
		}
		return
	}
	if w != nil && w.registration.incarnation != reg.incarnation && w.registration.incarnation != 0 {
		l.replaceIncarnation(w, reg, false)
		return
	}
	if w == nil {
		w = l.addWorker(reg)
		w.renewedAfter = writtenAfter
		if l.leading() {
			l.holdIfDue(w, now)
		}
		return
	}
	w.renewedAfter = max(w.renewedAfter, writtenAfter)
	if w.deregisteredAt != 0 {
		l.log.Record(anvilevent.WorkerRegistered, "worker", reg.id, "pool", reg.pool, "away", int64(now-w.deregisteredAt))
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
	w.registration, w.entryUnread = reg, false
}

// applyDeregistration records that a worker is no longer registered. It may still run, and be partitioned from the
// platform's store: its runs count as ended only when their leases have expired, or a draining worker has left.
func (l *Loop) applyDeregistration(w *worker, now anvilclock.Millis) {
	w.deregisteredAt = now
	left := w.registration.draining && l.removedOnDeparture(w, now)
	l.log.Record(anvilevent.WorkerDeregistered, "worker", w.id(), "draining", w.registration.draining, "tasks", len(w.tasks), "left", left)
	if left || (w.registration.draining && len(w.tasks) == 0) {
		l.retire(w, "left")
		return
	}
	l.holdIfDue(w, now)
}

// removedOnDeparture reports whether the removal of a worker's entry shows that the worker has left: the platform removes
// the entry of a silent worker only after three heartbeat intervals.
func (l *Loop) removedOnDeparture(w *worker, now anvilclock.Millis) bool {
	return w.renewedAfter != 0 && now-w.renewedAfter < departureSilence*l.limits.heartbeat
}

// retire ends an incarnation of a worker and all runs that are bound to it.
func (l *Loop) retire(w *worker, reason string) { l.endIncarnation(w, reason, len(w.tasks)) }

// endIncarnation ends an incarnation of a worker; tasks still bound to it are lost. The argument tasks is the number to
// log, because the caller may have unbound them.
func (l *Loop) endIncarnation(w *worker, reason string, tasks int) {
	l.log.Record(anvilevent.WorkerReplaced, "worker", w.id(), "reason", reason, "life", w.registration.incarnation, "tasks", tasks)
	l.recordGivenUp(w.boundTasks(), reason)
	l.fireWorker(w, "replaced")
	l.removeFromPool(w)
	now := l.clock.Now()
	if w.ackInFlight {
		w.lateAckUntil = now + maxHoldWait + orderTimeout + lateOrderWindow
	}
	l.fleet.former[w.id()] = formerWorker{worker: w, endedAt: now}
	if l.fleet.byID[w.id()] == w {
		delete(l.fleet.byID, w.id())
	}
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
		l.applyRegistration(reg, m.writtenAfter)
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

// tickFleet sends the holds that are due, ends runs whose leases have expired, and moves work off draining workers.
func (l *Loop) tickFleet(now anvilclock.Millis) {
	maps.DeleteFunc(l.fleet.former, func(_ string, f formerWorker) bool {
		return now-f.endedAt > lateOrderWindow && now > f.worker.lateAckUntil
	})
	if now-l.fleet.lastReview >= reviewInterval {
		l.fleet.lastReview = now
		l.queueBounds()
		l.findLosses()
		l.reviewGuards(now)
		l.reviewEvacuations()
		l.trimStrays(now)
	}
	for _, w := range l.fleet.byID {
		if w.machine.State() != workerReady && now >= w.leaseExpiry && len(w.tasks) > 0 {
			l.fireWorker(w, "lapse")
		}
		if w.deregisteredAt != 0 && len(w.tasks) == 0 && now-w.deregisteredAt > deregistrationGrace &&
			w.machine.State() != workerReady && !w.exposed(now) {
			l.retire(w, "unlisted")
			continue
		}
		if w.formerIncarnation != 0 && now >= w.formerClockExpiry && w.minFence == 0 {
			l.forgetRestart(w)
		}
		l.holdIfDue(w, now)
		l.askPatiently(w, now)
		l.moveOffDraining(w, now)
	}
}

func (l *Loop) applyInstances(page anvilstorage.Page) {
	for _, r := range page.Rows() {
		l.applyInstance(r)
	}
}

func (l *Loop) applyInstance(r anvilstorage.Row) {
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
	l.publishPeers()
	l.addWitness(in)
}

func (m instancesRead) deliver(l *Loop) {
	if m.token != l.leadership.token {
		return
	}
	l.applyInstances(m.page)
}
