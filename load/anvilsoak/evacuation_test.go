package anvilsoak

import (
	"testing"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilsize"
)

// Guards against an audit that misses starts in an evacuated domain, or reports those that the bound allows.
func TestEvacuationAudit(t *testing.T) {
	for name, c := range map[string]struct {
		worker string
		at     anvilclock.Millis
		want   []string
	}{
		"within the bound":     {"w0-0", 100 + evacuationBound, nil},
		"beyond the bound":     {"w0-0", 101 + evacuationBound, []string{"EVAC"}},
		"in another domain":    {"w1-0", 101 + evacuationBound, nil},
		"after it was ended":   {"w0-0", 20_000, nil},
		"in the second domain": {"w2-0", 40_000, []string{"EVAC"}},
	} {
		t.Run(name, func(t *testing.T) {
			a, _ := newTestAudit(&jobPlan{id: testJob, team: "team0", occurrences: 1, steps: []stepPlan{{count: 1, size: anvilsize.New(500, 128, 0)}}})
			defer close(a.closed)
			h := new(history).lease(c.worker, c.at, c.at+5000).start(c.worker, c.at, anviljob.NewTaskID(testJob, 0, 0, 0), 1)
			a.call(func(a *audit) {
				a.domains = map[string]string{"w0-0": "d0", "w1-0": "d1", "w2-0": "d2"}
				a.evacuations = []*evacuation{{domain: "d0", begin: 100, end: 20_000}, {domain: "d2", begin: 30_000}}
				a.pending = h.events
				a.processUntil(1 << 40)
			})
			assertViolated(t, a, c.want...)
		})
	}
}
