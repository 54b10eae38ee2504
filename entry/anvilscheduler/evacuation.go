package anvilscheduler

import (
	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevacuation"
	"anvilhold.org/lib/anvilevent"
)

const (
	// maxEvacuationAge is the age of what this instance knows of evacuations up to which it sends starts, in percent of the
	// bound. The rest of the bound is for starts under way.
	maxEvacuationAge = 80
	// evacuationPolls is how many reads of the configuration the bound has to leave time for.
	evacuationPolls = 5
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
	return es.bound == 0 || es.domains.KnownSince(now-es.bound*maxEvacuationAge/100)
}

// policyWaitTime returns how long the store may wait for a change of the configuration.
func (l *Loop) policyWaitTime() anvilclock.Millis {
	if l.evacuations.bound == 0 {
		return policyWait
	}
	return min(policyWait, l.evacuations.bound/evacuationPolls)
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
