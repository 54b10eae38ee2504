package anvilsoak

import (
	"context"
	"fmt"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"

	"anvilhold.org/standin/anvilplatformapi"
)

// EvacuateDomain evacuates a failure domain and takes it back. Random schedules have none of them, so that those of a seed stay
// the same.
const EvacuateDomain Kind = "evacuate-domain"

// evacuationBound is how long after the acknowledgement of an evacuation a start may still be carried out: some workers carry
// starts out late.
const evacuationBound = anvilplatformapi.EvacuationBound + 2500

// evacuation is an evacuation that was acknowledged at a time. Its end is when its removal was sent, or 0.
type evacuation struct {
	domain     string
	begin, end anvilclock.Millis
}

// evacuate evacuates the failure domain of a fault for its duration.
func (s *Soak) evacuate(ctx context.Context, f Fault) error {
	e := &evacuation{domain: fmt.Sprintf("d%d", f.target%domainCount)}
	if err := s.operator.Evacuate(ctx, e.domain); err != nil {
		return err
	}
	s.audit.call(func(a *audit) {
		e.begin = nowMillis()
		a.evacuations = append(a.evacuations, e)
	})
	sleep(ctx, f.span)
	s.audit.call(func(*audit) { e.end = nowMillis() })
	return s.operator.TakeBack(ctx, e.domain)
}

// checkEvacuated checks that the domain of a worker hadn't been evacuated for long when a task started.
func (a *audit) checkEvacuated(task anviljob.TaskID, worker string, at anvilclock.Millis) {
	for _, e := range a.evacuations {
		if e.domain == a.domains[worker] && at > e.begin+evacuationBound && (e.end == 0 || at < e.end) {
			a.violate("EVAC", "%s starts on %s %s after the evacuation of %s", task, worker, at-e.begin, e.domain)
		}
	}
}
