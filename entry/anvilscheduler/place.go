package anvilscheduler

import (
	"slices"

	"anvilhold.org/lib/anvilsize"
)

// placeStage binds the tasks of a stage that fit, and reports whether the rest could start if there were
// room and tickets for it.
func (l *Loop) placeStage(p *placing, c candidate) bool {
	if c.s.step.Gang() {
		return l.placeGang(p, c)
	}
	b := p.boardOf(c.queue.Pool())
	if !c.s.step.Reservation().Fits(b.widest) {
		p.short.room++
		if !l.withinLimit(c.s, 1) {
			return false
		}
		if p.wide(c) {
			p.save(c, 1)
		}
		return true
	}
	wait := p.mayWait(c)
	for _, t := range c.s.tasks {
		if t.machine.State() != taskWaiting {
			continue
		}
		if !l.withinLimit(c.s, 1) {
			p.short.limit++
			return false
		}
		if wait && !p.leavesHeadroom(c, 1) {
			p.short.room++
			return false
		}
		s := p.choose(c, t, true, "")
		if s == nil {
			kept := p.keepRoom(c)
			p.lack(c, kept)
			if !kept && p.wide(c) {
				p.save(c, 1)
			}
			return true
		}
		l.place(t, s.w)
		b.used = b.used.Add(c.s.step.Reservation())
	}
	return false
}

// keepRoom keeps room for the tasks of a stage that only lack tickets, and reports whether there is any.
func (p *placing) keepRoom(c candidate) bool {
	if !c.queue.Advice().Needed() {
		return false
	}
	kept := false
	for _, t := range c.s.tasks {
		if t.machine.State() != taskWaiting {
			continue
		}
		s := p.choose(c, t, false, "")
		if s == nil {
			break
		}
		kept = true
		s.kept = s.kept.Add(c.s.step.Reservation())
	}
	return kept
}

func (l *Loop) place(t *task, w *worker) {
	t.worker = w
	t.ticket = t.stage.tickets.of(w)
	l.fireTask(t, "place")
}

// withinLimit reports whether a team may have n more tasks of a stage running.
func (l *Loop) withinLimit(s *stage, n int64) bool {
	team, ok := l.config.policy.Team(s.job.sub.Team())
	if !ok {
		return true
	}
	return team.WithinLimit(l.work.usage[team.Name()].Add(s.step.Size().Scale(n)))
}

// choose returns the best seat for a task, on a rack or on any when the rack is empty; nil when none is
// fit. Without tickets, every worker that the advisor has approved counts.
func (p *placing) choose(c candidate, t *task, ticketed bool, rack string) *seat {
	var best *seat
	var bestScore int64
	look := func(s *seat) {
		if !s.w.labelled(rack) || !c.s.fits(s) {
			return
		}
		if score := s.score(c.s, t); best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	if c.queue.Advice().Needed() {
		for _, k := range c.s.tickets.approved {
			if k.worker.seat != nil && (!ticketed || k.until > p.now+ticketMargin) {
				look(k.worker.seat)
			}
		}
		return best
	}
	for _, s := range p.boardOf(c.queue.Pool()).seats {
		if s.top < c.s.step.Reservation().CPU() {
			break
		}
		look(s)
	}
	return best
}

// fits reports whether a worker may take one more task of the stage, advice aside.
func (s *stage) fits(k *seat) bool {
	if !s.step.Reservation().Fits(k.free()) || !k.w.labelled(s.step.Label()) {
		return false
	}
	n := s.step.MaxPerWorker()
	return n == 0 || s.perWorker[k.w] < n
}

// Scores of a placement in parts per million; the lowest is taken.
const (
	scoreRack     = 400_000   // the data is on another rack
	scoreAvoid    = 3_000_000 // the task failed or was refused there
	scoreSuspect  = 2_000_000 // tasks fail or stand still there
	scoreMixed    = 1_500_000 // serving and filling tasks would share the worker
	scoreGathered = -300_000  // serving tasks are there already
)

func (k *seat) score(s *stage, t *task) int64 {
	left := k.free().Sub(s.step.Reservation())
	score := left.Dominant(k.w.registration.capacity)
	if rack := s.step.Rack(); rack != "" && !k.w.labelled(rack) {
		score += scoreRack
	}
	if t.avoid == k.w {
		score += scoreAvoid
	}
	if k.w.health.suspect(k.w.loop.clock.Now()) {
		score += scoreSuspect
	}
	if !s.step.Opportunistic() && s.step.LatencyTarget() == 0 {
		return score
	}
	switch serving, filling := k.w.mix(); {
	case s.step.Opportunistic() && serving, s.step.LatencyTarget() > 0 && filling:
		score += scoreMixed
	case s.step.LatencyTarget() > 0 && serving:
		score += scoreGathered
	}
	return score
}

// mix reports whether serving tasks and filling tasks are bound to the worker.
func (w *worker) mix() (serving, filling bool) {
	for t := range w.tasks {
		serving = serving || t.stage.step.LatencyTarget() > 0
		filling = filling || t.stage.step.Opportunistic()
	}
	return serving, filling
}

func (w *worker) labelled(label string) bool {
	return label == "" || slices.Contains(w.registration.labels, label)
}

// placeGang binds all tasks of a gang or none, and reports whether it could start if there were room and
// tickets for it.
func (l *Loop) placeGang(p *placing, c candidate) bool {
	s := c.s
	if s.open < len(s.tasks) {
		return false
	}
	if !l.withinLimit(s, int64(len(s.tasks))) {
		p.short.limit++
		return false
	}
	if p.mayWait(c) && !p.leavesHeadroom(c, int64(len(s.tasks))) {
		p.short.room++
		return false
	}
	if plan := p.plan(c, true); plan != nil {
		l.bindGang(p, c, plan)
		return false
	}
	plan := p.plan(c, false)
	p.lack(c, plan != nil)
	if plan == nil {
		p.save(c, len(s.tasks))
	}
	for _, k := range plan {
		k.kept = k.kept.Add(s.step.Reservation())
	}
	return true
}

func (l *Loop) bindGang(p *placing, c candidate, plan []*seat) {
	b, run := p.boardOf(c.queue.Pool()), 0
	for _, t := range c.s.tasks {
		run = max(run, t.run)
	}
	for i, t := range c.s.tasks {
		t.run = run
		l.place(t, plan[i].w)
		b.used = b.used.Add(c.s.step.Reservation())
	}
}

// plan returns a seat for each task of a gang, preferably on one rack; nil when they don't fit.
func (p *placing) plan(c candidate, ticketed bool) []*seat {
	if c.s.step.SameRack() {
		for _, rack := range p.boardOf(c.queue.Pool()).commonRacks() {
			if plan := p.planOn(c, ticketed, rack); plan != nil {
				return plan
			}
		}
	}
	return p.planOn(c, ticketed, "")
}

func (p *placing) planOn(c candidate, ticketed bool, rack string) []*seat {
	s := c.s
	plan := make([]*seat, 0, len(s.tasks))
	defer func() {
		for _, k := range plan {
			k.kept = k.kept.Sub(s.step.Reservation())
			if s.perWorker[k.w]--; s.perWorker[k.w] == 0 {
				delete(s.perWorker, k.w)
			}
		}
	}()
	for _, t := range s.tasks {
		k := p.choose(c, t, ticketed, rack)
		if k == nil {
			return nil
		}
		plan = append(plan, k)
		k.kept = k.kept.Add(s.step.Reservation())
		s.perWorker[k.w]++
	}
	return slices.Clone(plan)
}

// times returns how many rooms of a size fit, at most most.
func times(room, free anvilsize.Size, most int) int {
	n := most
	for _, d := range anvilsize.Dimensions() {
		switch {
		case room.In(d) <= 0:
		case free.In(d) <= 0:
			return 0
		default:
			n = min(n, int(free.In(d)/room.In(d)))
		}
	}
	return n
}
