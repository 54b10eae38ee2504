package anvilcontrol

import "anvilhold.org/lib/anvilclock"

// Intervals of the loop's periodic work.
const (
	// readEvery leaves room for a second read, a retry and the confirmation check inside the 4 s in
	// which a configuration change has to be in force.
	readEvery      = anvilclock.Millis(500)
	listEvery      = anvilclock.Millis(1000)
	exchangeEvery  = anvilclock.Millis(1000)
	ownershipEvery = anvilclock.Millis(250)
	partsEvery     = anvilclock.Millis(200)
	configEvery    = anvilclock.Millis(250)
	writeEvery     = anvilclock.Millis(50)
	sweepEvery     = anvilclock.Millis(1000)
)

// timer tells when periodic work is due.
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
	beat      timer
	list      timer
	exchange  timer
	ownership timer
	parts     timer
	config    timer
	write     timer
	sweep     timer
	gauge     timer
}

func (l *Loop) tick() {
	now := l.clock.Now()
	t := &l.timers
	if t.read.due(now, readEvery) {
		l.readFeeds(now)
	}
	if t.beat.due(now, beatEvery) {
		l.beat()
	}
	if t.list.due(now, listEvery) {
		l.readInstances()
	}
	if t.config.due(now, configEvery) {
		l.checkConfig(now)
	}
	if t.exchange.due(now, l.exchangePace()) {
		l.exchangeSummaries(now)
	}
	if t.ownership.due(now, ownershipEvery) {
		l.planOwnership()
	}
	if t.parts.due(now, partsEvery) {
		l.planParts(now)
		// Waiting tasks are offered again although nothing was freed here: their demand for parts is
		// forgotten after 2 s, and other owners give parts back without a word to this one.
		l.dirty = l.dirty || l.queue.Len() > 0
	}
	if t.write.due(now, writeEvery) {
		l.flushRows(now)
	}
	if t.sweep.due(now, sweepEvery) {
		l.sweep(now)
	}
	if t.gauge.due(now, gaugeEvery) {
		l.gauge()
	}
	l.renewLeases(now)
	l.expireQueue(now)
	l.progressLeaving(now)
}

// exchangePace returns the time between exchanges of summaries. While the configuration is not
// confirmed at the table the peers' answers count for 1.5 s only.
func (l *Loop) exchangePace() anvilclock.Millis {
	if l.config.machine.State() == configCurrent {
		return exchangeEvery
	}
	return exchangeEvery / 2
}

// sweep forgets what has been kept long enough.
func (l *Loop) sweep(now anvilclock.Millis) {
	l.record.Expire(l.clock.Unix())
	l.sweepJobs()
	l.sweepSessions()
	l.retryUnconfirmed()
	l.renewReservations(now)
	l.probeWorkers(now)
}
