package anvilscheduler

import (
	"slices"

	"anvilhold.org/lib/anvilsize"
)

// placeStage binds the tasks of a stage that fit, and reports whether the remaining ones lack only capacity or tickets.
// It returns false when the team's limit or the headroom for more urgent queues is the reason, or no task remains.
func (l *Loop) placeStage(p *passState, r readyStage) bool {
	if r.stage.step.Gang() {
		return l.placeGang(p, r)
	}
	snap := p.pool(r.queue.Pool())
	if !r.stage.step.Reservation().Fits(snap.maxFree) {
		p.shortages.capacity++
		if !l.withinLimit(r.stage, 1) {
			return false
		}
		if p.large(r) {
			p.reserveCapacity(r, 1)
		}
		return true
	}
	waits := p.newNearWaits(r)
	blocked := l.placeTasks(p, r, waits)
	return waits.finish() || blocked
}

// placeTasks binds the tasks of a stage that fit and don't wait for near places, and reports whether the remaining ones lack
// only capacity or tickets.
func (l *Loop) placeTasks(p *passState, r readyStage, waits *nearWaits) bool {
	snap, deferrable := p.pool(r.queue.Pool()), p.deferrable(r)
	for i := range r.stage.size() {
		if !r.stage.waits(i) {
			continue
		}
		if !l.withinLimit(r.stage, 1) {
			p.shortages.limit++
			return false
		}
		if deferrable && !p.leavesHeadroom(r, 1) {
			p.shortages.capacity++
			return false
		}
		rack := waits.rack()
		c := p.choose(r, r.stage.peek(i), true, rack)
		if c == nil && rack != "" {
			waits.deferRest()
			return true
		}
		if c == nil {
			reserved := p.reserveForTickets(r)
			p.countShortage(r, reserved)
			if !reserved && p.large(r) {
				p.reserveCapacity(r, 1)
			}
			return true
		}
		if waits.defers(c) {
			continue
		}
		l.place(r.stage.task(i), c.worker)
		snap.used = snap.used.Add(r.stage.step.Reservation())
	}
	return false
}

// reserveForTickets reserves capacity at approved workers for tasks that only lack a valid ticket, and reports whether
// it found any.
func (p *passState) reserveForTickets(r readyStage) bool {
	if !r.queue.Advice().Needed() {
		return false
	}
	reserved := false
	for i := range r.stage.size() {
		if !r.stage.waits(i) {
			continue
		}
		c := p.choose(r, r.stage.peek(i), false, "")
		if c == nil {
			break
		}
		reserved = true
		c.reserved = c.reserved.Add(r.stage.step.Reservation())
	}
	return reserved
}

func (l *Loop) place(t *task, w *worker) {
	t.worker, t.stage.reservation = w, stageReservation{}
	t.ticket = t.stage.tickets.forStart(w)
	l.fireTask(t, "place")
}

// withinLimit reports whether a team may have n more tasks of a stage running.
func (l *Loop) withinLimit(s *stage, n int64) bool {
	team, ok := l.state.policy.Team(s.job.sub.Team())
	if !ok {
		return true
	}
	return team.WithinLimit(l.workload.usage[team.Name()].Add(s.step.Size().Scale(n)))
}

// choose returns the candidate with the lowest score for a task, which is nil if it has had no run, restricted to a rack unless rack is empty; nil when
// none fits. In a queue with advice, only approved workers are considered, and with needTicket only those whose ticket
// is still valid.
func (p *passState) choose(r readyStage, t *task, needTicket bool, rack string) *candidate {
	var best *candidate
	var bestScore int64
	consider := func(c *candidate) {
		if !c.worker.hasLabel(rack) || !r.stage.fits(c) {
			return
		}
		if score := c.score(r.stage, t) + p.contention(r.stage, c); best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	if r.queue.Advice().Needed() {
		for _, tk := range r.stage.tickets.approved {
			if tk.worker.candidate != nil && (!needTicket || tk.validUntil > p.now+ticketDecisionMargin) {
				consider(tk.worker.candidate)
			}
		}
		return best
	}
	for _, c := range p.pool(r.queue.Pool()).candidates {
		if c.freeCPU < r.stage.step.Reservation().CPU() {
			break
		}
		consider(c)
	}
	return best
}

// fits reports whether a worker's free capacity, its labels and the limit per worker allow one more task of the stage.
// The advisor's approval is not checked.
func (s *stage) fits(c *candidate) bool {
	if !s.step.Reservation().Fits(c.freeFor(s)) || !c.worker.hasLabel(s.step.Label()) {
		return false
	}
	n := s.step.MaxPerWorker()
	return n == 0 || s.perWorker[c.worker] < n
}

// Parts of the score of a placement, in parts per million of the worker's capacity. The lowest score is chosen.
const (
	remoteRackPenalty = 400_000   // the data is on another rack
	contendedPenalty  = 200_000   // more urgent tasks wait for places near their data on the worker's rack
	avoidPenalty      = 3_000_000 // the task's last run there failed, stalled or was refused
	suspectPenalty    = 2_000_000 // runs fail or stall on the worker
	mixedUsePenalty   = 1_500_000 // tasks with a latency target and opportunistic tasks would share the worker
	servingBonus      = -300_000  // the worker has tasks with a latency target already
)

func (c *candidate) score(s *stage, t *task) int64 {
	remaining := c.freeFor(s).Sub(s.step.Reservation())
	score := remaining.Dominant(c.worker.registration.capacity)
	if rack := s.step.Rack(); rack != "" && !c.worker.hasLabel(rack) {
		score += remoteRackPenalty
	}
	if t != nil && t.avoidWorker == c.worker {
		score += avoidPenalty
	}
	if c.worker.health.suspect(c.worker.loop.clock.Now()) {
		score += suspectPenalty
	}
	if !s.step.Opportunistic() && s.step.LatencyTarget() == 0 {
		return score
	}
	switch serving, opportunistic := c.worker.taskKinds(); {
	case s.step.Opportunistic() && serving, s.step.LatencyTarget() > 0 && opportunistic:
		score += mixedUsePenalty
	case s.step.LatencyTarget() > 0 && serving:
		score += servingBonus
	}
	return score
}

// taskKinds reports whether the worker has tasks with a latency target (serving), and whether it has opportunistic
// tasks.
func (w *worker) taskKinds() (serving, opportunistic bool) {
	for t := range w.tasks {
		serving = serving || t.stage.step.LatencyTarget() > 0
		opportunistic = opportunistic || t.stage.step.Opportunistic()
	}
	return serving, opportunistic
}

func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.registration.labels, label)
}

// placeGang binds all tasks of a gang or none, and reports whether it lacks only capacity or tickets.
func (l *Loop) placeGang(p *passState, r readyStage) bool {
	s := r.stage
	if s.waiting < s.size() {
		return false
	}
	if !l.withinLimit(s, int64(s.size())) {
		p.shortages.limit++
		return false
	}
	if p.deferrable(r) && !p.leavesHeadroom(r, int64(s.size())) {
		p.shortages.capacity++
		return false
	}
	if plan := p.plan(r, true); plan != nil {
		if p.defersGang(r, plan) {
			return true
		}
		l.bindGang(p, r, plan)
		return false
	}
	plan := p.plan(r, false)
	p.countShortage(r, plan != nil)
	if plan == nil {
		p.reserveCapacity(r, s.size())
	}
	for _, c := range plan {
		c.reserved = c.reserved.Add(s.step.Reservation())
	}
	return true
}

// bindGang binds each task of a gang to its candidate. All members continue from the highest run number, so that they
// agree on the number of the next run.
func (l *Loop) bindGang(p *passState, r readyStage, plan []*candidate) {
	snap, run := p.pool(r.queue.Pool()), 0
	for t := range r.stage.existing() {
		run = max(run, t.run)
	}
	for i, t := range r.stage.all() {
		t.run = run
		l.place(t, plan[i].worker)
		snap.used = snap.used.Add(r.stage.step.Reservation())
	}
}

// plan returns a candidate for each task of a gang, on one rack if the step asks for that and the gang fits there; nil
// when not all tasks fit.
func (p *passState) plan(r readyStage, needTicket bool) []*candidate {
	if r.stage.step.SameRack() {
		for _, rack := range p.pool(r.queue.Pool()).commonRacks() {
			if plan := p.planOnRack(r, needTicket, rack); plan != nil {
				return plan
			}
		}
	}
	return p.planOnRack(r, needTicket, "")
}

// planOnRack returns a candidate for each task of a gang, restricted to a rack unless rack is empty; nil when not all
// tasks fit. The reservations that it makes while it chooses are undone before it returns.
func (p *passState) planOnRack(r readyStage, needTicket bool, rack string) []*candidate {
	s := r.stage
	plan := make([]*candidate, 0, s.size())
	defer func() {
		for _, c := range plan {
			c.reserved = c.reserved.Sub(s.step.Reservation())
			if s.perWorker[c.worker]--; s.perWorker[c.worker] == 0 {
				delete(s.perWorker, c.worker)
			}
		}
	}()
	for i := range s.size() {
		c := p.choose(r, s.peek(i), needTicket, rack)
		if c == nil {
			return nil
		}
		plan = append(plan, c)
		c.reserved = c.reserved.Add(s.step.Reservation())
		s.perWorker[c.worker]++
	}
	return slices.Clone(plan)
}

// countFitting returns how many times a size fits into free capacity, at most limit.
func countFitting(size, free anvilsize.Size, limit int) int {
	n := limit
	for _, d := range anvilsize.Dimensions() {
		switch {
		case size.In(d) <= 0:
		case free.In(d) <= 0:
			return 0
		default:
			n = min(n, int(free.In(d)/size.In(d)))
		}
	}
	return n
}
