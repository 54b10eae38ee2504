package anvilscheduler

import (
	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevacuation"
	"anvilhold.org/lib/anvilevent"
)

const (
	// maxEvacuationAge is the age of what this instance knows of evacuations up to which it sends starts, in percent of the
	// bound. The rest of the bound is for starts under way, and at least orderTimeout.
	maxEvacuationAge = 80
	// evacuationPolls is how many reads of the configuration the bound has to leave time for.
	evacuationPolls = 5
	// evacuationRetries is how many of the shortest reads have time in the bound.
	evacuationRetries = 10
)

// WithEvacuationBound sets the time after which nothing may start in a failure domain that is evacuated. Starts are held while
// this instance's knowledge of evacuations is too old for the bound. Without it, they aren't.
func WithEvacuationBound(d anvilclock.Millis) Option {
	return func(l *Loop) { l.evacuations.bound = d }
}

// evacuations is what an instance knows of the evacuations of failure domains.
type evacuations struct {
	bound   anvilclock.Millis
	domains anvilevacuation.Domains
	// active holds the evacuations in force by their domains.
	active map[string]*evacuation
	// lastMove is when a task to be moved was last looked for.
	lastMove anvilclock.Millis
	// heldSince is when the leader began to hold all starts; 0 while it doesn't.
	heldSince anvilclock.Millis
}

// maxAge returns the age of the knowledge up to which starts are sent.
func (e *evacuations) maxAge() anvilclock.Millis {
	return min(e.bound*maxEvacuationAge/100, e.bound-orderTimeout)
}

// evacuation is an evacuation in force, of which this instance has known since a time.
type evacuation struct {
	domain  string
	since   anvilclock.Millis
	machine anvilchart.Machine
}

func (l *Loop) bindEvacuation() *anvilchart.Binding[*evacuation] {
	return anvilchart.NewBinding(map[string]func(*evacuation){
		"report": func(e *evacuation) {
			l.log.Record(anvilevent.DomainEmpty, "domain", e.domain, "took", int64(l.clock.Now()-e.since))
		},
	}, nil)
}

// applyEvacuations applies what a read that was sent at a time has shown of evacuations.
func (l *Loop) applyEvacuations(page *anvilevacuation.Page, sent anvilclock.Millis) {
	es := &l.evacuations
	begun, ended := es.domains.Apply(page, sent)
	for _, domain := range begun {
		es.active[domain] = &evacuation{domain: domain, since: l.clock.Now(), machine: l.charts.evacuation.NewMachine()}
		l.log.Record(anvilevent.EvacuationBegun, "domain", domain)
	}
	for _, domain := range ended {
		e := es.active[domain]
		l.log.Record(anvilevent.EvacuationEnded, "domain", domain, "after", int64(l.clock.Now()-e.since), "state", e.machine.State())
		l.fireEvacuation(e, "end")
		delete(es.active, domain)
	}
	if len(begun) > 0 || len(ended) > 0 {
		l.meter.Gauge("evacuation.domains", int64(len(es.active)))
		l.requestPass()
	}
}

// evacuated reports whether an operator has requested that no work be sent to the workers of a failure domain.
func (l *Loop) evacuated(domain string) bool { return l.evacuations.domains.Evacuated(domain) }

// knowsEvacuations reports whether this instance's knowledge of evacuations is recent enough for starts.
func (l *Loop) knowsEvacuations(now anvilclock.Millis) bool {
	es := &l.evacuations
	return es.bound == 0 || es.domains.KnownSince(now-es.maxAge())
}

// policyReadLimits returns how long the store may wait for a change of the configuration before it answers a read, and the
// timeout of the read, while the knowledge of evacuations has an age. Once the knowledge is half
// the bound old, reads are short, so that two lost ones don't make it too old.
func (e *evacuations) policyReadLimits(after int64, age anvilclock.Millis) (wait, timeout anvilclock.Millis) {
	if e.bound == 0 {
		return policyWait, pageTimeout(after, policyWait)
	}
	wait = min(policyWait, e.bound/evacuationPolls)
	timeout = pageTimeout(after, wait)
	if age > e.maxAge() {
		// Starts are held already. A slow store needs the whole time.
		return wait, timeout
	}
	timeout = min(timeout, max(e.bound/2-age, e.bound/evacuationRetries))
	return min(wait, max(timeout-answerTimeout, 0)), timeout
}

// reviewStartHold records when the leader begins to hold all starts because its knowledge of evacuations is too old, and when it
// no longer does.
func (l *Loop) reviewStartHold(now anvilclock.Millis) {
	es := &l.evacuations
	switch held := l.leading() && !l.knowsEvacuations(now); {
	case held && es.heldSince == 0:
		es.heldSince = now
		l.log.Record(anvilevent.StartsHeld, "bound", int64(es.bound))
		l.meter.Count("start.held")
	case !held && es.heldSince != 0:
		l.log.Record(anvilevent.StartsResumed, "after", int64(now-es.heldSince))
		es.heldSince = 0
	}
}

// reviewEvacuations follows, at the leader, how many tasks the evacuated domains still have.
func (l *Loop) reviewEvacuations() {
	if len(l.evacuations.active) == 0 {
		return
	}
	counts := map[string]int{}
	for _, w := range l.fleet.byID {
		counts[w.registration.domain] += len(w.tasks)
	}
	total := 0
	for domain, e := range l.evacuations.active {
		event := "empty"
		if n := counts[domain]; n > 0 {
			event, total = "used", total+n
			if e.movesTasks(l.clock.Now()) {
				l.requestPass()
			}
		}
		l.fireEvacuation(e, event)
	}
	l.meter.Gauge("evacuation.tasks", int64(total))
}
