package anvilcontrol

import "anvilhold.org/lib/anvilclock"

// Intervals of the loop's periodic work.
const (
	// readInterval leaves time for a second read, a retry and the check of the confirmation within the 4 s in which a
	// change of the configuration must be in force.
	readInterval      = anvilclock.Millis(500)
	instancesInterval = anvilclock.Millis(1000)
	exchangeInterval  = anvilclock.Millis(1000)
	ownershipInterval = anvilclock.Millis(250)
	transferInterval  = anvilclock.Millis(200)
	configInterval    = anvilclock.Millis(250)
	writeInterval     = anvilclock.Millis(50)
	sweepInterval     = anvilclock.Millis(1000)
)

// timer tracks when periodic work is due.
type timer struct {
	next anvilclock.Millis
}

func (t *timer) due(now, every anvilclock.Millis) bool {
	if now < t.next {
		return false
	}
	t.next = now + every
	return true
}

type timers struct {
	read      timer
	heartbeat timer
	instances timer
	exchange  timer
	ownership timer
	transfers timer
	config    timer
	write     timer
	sweep     timer
	gauge     timer
}

func (l *Loop) tick() {
	now := l.clock.Now()
	t := &l.timers
	if t.read.due(now, readInterval) {
		l.readFeeds(now)
	}
	if t.heartbeat.due(now, heartbeatInterval) {
		l.sendHeartbeat()
	}
	if t.instances.due(now, instancesInterval) {
		l.readInstances()
	}
	if t.config.due(now, configInterval) {
		l.checkConfig(now)
	}
	if t.exchange.due(now, l.currentExchangeInterval()) {
		l.exchangeSummaries(now)
	}
	if t.ownership.due(now, ownershipInterval) {
		l.planOwnership()
	}
	if t.transfers.due(now, transferInterval) {
		l.planTransfers(now)
		// Waiting tasks are tried again although nothing was freed here: the ledger forgets their demand after idleAllocation,
		// and other owners return allocations without notifying this instance.
		l.passDue = l.passDue || l.queue.Len() > 0
	}
	if t.write.due(now, writeInterval) {
		l.flushRows(now)
	}
	if t.sweep.due(now, sweepInterval) {
		l.sweep(now)
	}
	if t.gauge.due(now, gaugeInterval) {
		l.updateGauges()
	}
	l.renewLeases(now)
	l.expireQueue(now)
	l.advanceShutdown(now)
}

// currentExchangeInterval returns the time between exchanges of summaries. It is shorter while the configuration isn't
// confirmed at the table, because peers' answers then count for 1.5 s only.
func (l *Loop) currentExchangeInterval() anvilclock.Millis {
	if l.config.machine.State() == configCurrent {
		return exchangeInterval
	}
	return exchangeInterval / 2
}

// sweep removes expired state, repeats the stops of unconfirmed runs, renews reservations and probes quarantined
// workers.
func (l *Loop) sweep(now anvilclock.Millis) {
	l.record.Expire(l.clock.Unix())
	l.sweepJobs()
	l.sweepSessions()
	l.retryUnconfirmed()
	l.renewReservations(now)
	l.probeWorkers(now)
}
