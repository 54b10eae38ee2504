package anvilscheduler

import (
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvillocality"
	"anvilhold.org/lib/anvilsize"
)

// nearWait is the wait of a stage's tasks for places near their data or their gang. A stage waits once: tasks whose start is
// refused or whose run fails don't wait again.
type nearWait struct {
	// since is when the stage first left a place elsewhere; 0 while it has not.
	since anvilclock.Millis
	// expected is how long the wait for the first place was expected to take.
	expected anvilclock.Millis
	// until is the time from which tasks start elsewhere.
	until anvilclock.Millis
	// reviewAt is the time from which the places are estimated again.
	reviewAt anvilclock.Millis
	over     bool
}

// nearKey names the places that tasks wait for.
type nearKey struct {
	pool, rack string
}

// nearReviewInterval is the least time between two estimates of when near places become free. A place that is free is used
// in any pass.
const nearReviewInterval = anvilclock.Millis(50)

// nearTurnover is the time from the end of a run until the next one can start in its place: the end is reported, the next choice
// is stored, and the start is sent.
const nearTurnover = anvilclock.Millis(100)

// maxNearWait bounds a wait in a pool that is mostly free, where a job may not have nothing running for 3 s beside free capacity.
const maxNearWait = anvilclock.Millis(2000)

// nearWaits decides in one pass which tasks of a stage leave a place elsewhere.
type nearWaits struct {
	pass *passState
	r    readyStage
	// places are the expected times at which near places become free; nil until they are estimated.
	places []anvilclock.Millis
	// waiting is the number of tasks that wait, left that of the tasks that start elsewhere.
	waiting int
	left    int
}

func (p *passState) newNearWaits(r readyStage) *nearWaits { return &nearWaits{pass: p, r: r} }

// waitsForPlaces reports whether tasks of a stage wait for places that are near. Long-running tasks never do: what they do
// elsewhere is worth more than what they don't do while they wait.
func (p *passState) waitsForPlaces(s *stage) bool {
	return p.loop.locality.Enabled() && !s.step.LongRunning() && !s.near.over
}

// inForce reports whether the stage waits and its wait isn't to be reviewed yet.
func (w nearWait) inForce(now anvilclock.Millis) bool {
	return w.since != 0 && !w.over && now < w.reviewAt && now < w.until
}

// rack returns the rack on which alone places are looked for; empty for any.
func (n *nearWaits) rack() string {
	if n.r.stage.step.Gang() || !n.r.stage.near.inForce(n.pass.now) {
		return ""
	}
	return n.r.stage.step.Rack()
}

// defers reports whether a task waits for a near place instead of starting at a candidate.
func (n *nearWaits) defers(c *candidate) bool {
	p, s := n.pass, n.r.stage
	if s.step.Rack() == "" || !p.waitsForPlaces(s) {
		return false
	}
	if c.worker.hasLabel(s.step.Rack()) {
		p.loop.observeNear(s, p.now)
		return false
	}
	if n.places == nil {
		n.places = p.nearPlaces(n.r)
	}
	q := p.nearRequest(s, n.r)
	if at, ok := placeAt(n.places, n.waiting, s.step.Estimate()); ok {
		q = q.NearAt(at)
	}
	if !p.decideNear(n.r, q, n.places) {
		n.left++
		return false
	}
	n.waiting++
	return true
}

// deferRest makes all tasks of the stage that are left wait.
func (n *nearWaits) deferRest() { n.waiting = n.r.stage.waiting }

// finish ends the stage's turn in the pass and reports whether any of its tasks wait.
func (n *nearWaits) finish() bool {
	p, s := n.pass, n.r.stage
	if n.waiting > 0 {
		key := nearKey{n.r.queue.Pool(), s.step.Rack()}
		p.shortages.near++
		p.nearAhead[key] = p.nearAhead[key].Add(s.step.Reservation().Scale(int64(n.waiting)))
		return true
	}
	if s.waiting == 0 {
		p.loop.endNearWait(s, p.now, n.left == 0)
	}
	return false
}

// defersGang reports whether a gang waits for places on one rack instead of starting on several.
func (p *passState) defersGang(r readyStage, plan []*candidate) bool {
	s := r.stage
	if !s.step.SameRack() || !p.waitsForPlaces(s) {
		return false
	}
	if onOneRack(plan) {
		p.loop.endNearWait(s, p.now, true)
		return false
	}
	if !s.near.inForce(p.now) {
		q := p.nearRequest(s, r)
		at, ok := p.gangPlaceAt(r)
		if ok {
			q = q.NearAt(at)
		}
		if !p.decideNear(r, q, []anvilclock.Millis{at}) {
			p.loop.endNearWait(s, p.now, false)
			return false
		}
	}
	p.shortages.near++
	return true
}

func onOneRack(plan []*candidate) bool {
	rack := plan[0].worker.registration.rack
	return rack != "" && !slices.ContainsFunc(plan, func(c *candidate) bool { return c.worker.registration.rack != rack })
}

func (p *passState) nearRequest(s *stage, r readyStage) anvillocality.Request {
	since := s.near.since
	if since == 0 {
		since = p.now
	}
	_, contended := p.nearAhead[nearKey{r.queue.Pool(), s.step.Rack()}]
	return anvillocality.NewRequest(p.now, since, s.step.Estimate(), r.urgency.latestStart).Contended(contended)
}

// decideNear decides whether a task or gang waits, and keeps the result in its stage. A wait that has ended is not resumed.
func (p *passState) decideNear(r readyStage, q anvillocality.Request, places []anvilclock.Millis) bool {
	l, s := p.loop, r.stage
	if s.near.since != 0 && p.now >= s.near.until {
		return false
	}
	d := l.locality.Decide(q)
	if !d.Waits() {
		return false
	}
	until := d.Until()
	if snap := p.pool(r.queue.Pool()); snap.used.Dominant(snap.capacity) < mostlyFreeUse {
		begin := s.near.since
		if begin == 0 {
			begin = p.now
		}
		until = min(until, begin+maxNearWait)
	}
	if s.near.since == 0 {
		s.near.since, s.near.until = p.now, until
		s.near.expected = places[0] - p.now
		l.log.Record(anvilevent.NearWaitStarted, "step", s.name(), "rack", s.step.Rack(), "expected", int64(s.near.expected),
			"until", int64(until-p.now), "extra", int64(l.locality.Extra(s.step.Estimate())))
		l.meter.Count("near.wait")
	}
	s.near.until = min(s.near.until, until)
	s.near.reviewAt = p.now + nearReviewInterval
	return true
}

// observeNear compares the first near place of a wait with the expectation.
func (l *Loop) observeNear(s *stage, now anvilclock.Millis) {
	if s.near.since != 0 && s.near.expected > 0 {
		l.locality.Observe(s.near.expected, now-s.near.since)
		s.near.expected = 0
	}
}

// endNearWait ends the wait of a stage, if it waits. near means that all its tasks got near places.
func (l *Loop) endNearWait(s *stage, now anvilclock.Millis, near bool) {
	if s.near.since == 0 || s.near.over {
		return
	}
	waited, outcome := now-s.near.since, "elsewhere"
	if near {
		outcome = "near"
		l.observeNear(s, now)
	} else if waited > s.near.expected {
		// No place became free in time, so the wait was longer than this.
		l.observeNear(s, now)
	}
	l.log.Record(anvilevent.NearWaitEnded, "step", s.name(), "rack", s.step.Rack(), "outcome", outcome, "waited", int64(waited))
	l.meter.Count("near." + outcome)
	l.meter.Observe("near.waited", waited.Duration())
	l.meter.Gauge("near.delay", int64(l.locality.Delay()*100))
	s.near.over = true
}

// placeAt returns when the nth place, counted from 0, is expected to be free. Beyond the known places, each is expected to be
// free again after a run.
func placeAt(places []anvilclock.Millis, n int, run anvilclock.Millis) (anvilclock.Millis, bool) {
	if len(places) == 0 {
		return 0, false
	}
	return places[n%len(places)] + anvilclock.Millis(n/len(places))*(run+nearTurnover), true
}

// nearPlaces returns, in order, when places for tasks of a stage become free on its rack, without those that more urgent
// tasks wait for.
func (p *passState) nearPlaces(r readyStage) []anvilclock.Millis {
	s := r.stage
	places := p.placesOn(r, s.step.Rack())
	ahead := countSizes(p.nearAhead[nearKey{r.queue.Pool(), s.step.Rack()}], s.step.Reservation())
	for n := range len(places) {
		places[n], _ = placeAt(places, n+ahead, s.step.Estimate())
	}
	return places
}

// placesOn returns, in order, when places for tasks of a stage become free on a rack. In a queue with advice, only approved
// workers count.
func (p *passState) placesOn(r readyStage, rack string) []anvilclock.Millis {
	s, snap := r.stage, p.pool(r.queue.Pool())
	var places []anvilclock.Millis
	for _, c := range snap.candidates {
		if !c.worker.hasLabel(rack) || !c.worker.hasLabel(s.step.Label()) || snap.avoids(c.worker, p.now) ||
			(r.queue.Advice().Needed() && !s.tickets.approves(c.worker)) {
			continue
		}
		times := p.freeTimes(c, s)
		if limit := s.step.MaxPerWorker(); limit > 0 {
			times = times[:min(len(times), max(limit-s.perWorker[c.worker], 0))]
		}
		places = append(places, times...)
	}
	for i, at := range places {
		if at > p.now {
			places[i] = at + nearTurnover
		}
	}
	slices.Sort(places)
	return places
}

// gangPlaceAt returns when a rack is first expected to have places for all tasks of a gang.
func (p *passState) gangPlaceAt(r readyStage) (anvilclock.Millis, bool) {
	var first anvilclock.Millis
	found := false
	for _, rack := range p.pool(r.queue.Pool()).commonRacks() {
		places := p.placesOn(r, rack)
		if n := r.stage.size(); len(places) >= n && (!found || places[n-1] < first) {
			first, found = places[n-1], true
		}
	}
	return first, found
}

// countSizes returns how many times a size fits into a total, in the dimension in which it fits least often, rounded up.
func countSizes(total, size anvilsize.Size) int {
	n := int64(0)
	for _, d := range anvilsize.Dimensions() {
		if size.In(d) > 0 {
			n = max(n, (total.In(d)+size.In(d)-1)/size.In(d))
		}
	}
	return int(n)
}

// contention returns the part of a candidate's score for places that more urgent tasks wait for.
func (p *passState) contention(s *stage, c *candidate) int64 {
	if len(p.nearAhead) == 0 || s.step.Rack() == c.worker.registration.rack {
		return 0
	}
	if _, ok := p.nearAhead[nearKey{c.worker.registration.pool, c.worker.registration.rack}]; ok {
		return contendedPenalty
	}
	return 0
}

// queriesNear reports whether an advisor query for a stage names a worker without free capacity, since tasks may wait for it.
func (p *passState) queriesNear(s *stage, c *candidate) bool {
	return p.waitsForPlaces(s) && s.step.Rack() != "" && !s.step.Gang() && c.worker.hasLabel(s.step.Rack()) &&
		!s.tickets.queried[c.worker] && s.step.Reservation().Fits(c.worker.registration.capacity)
}
