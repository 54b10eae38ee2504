package anvilscheduler

import (
	"cmp"
	"slices"
	"strings"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilpolicy"
	"anvilhold.org/lib/anvilsize"
)

// urgency orders stages: first those whose jobs can still be on time, then those that will be late, then
// those that their team sent beyond its share, then those that will be too late to matter; within these by
// the latest time at which they must begin.
type urgency struct {
	band   int
	latest anvilclock.Millis
	// pressed says that the job can no longer wait for others.
	pressed bool
}

// Bands of urgency.
const (
	bandTimely = iota
	bandLate
	bandExcess
	bandHopeless
)

// candidate is a stage in a pass.
type candidate struct {
	s       *stage
	queue   *anvilpolicy.Queue
	urgency urgency
}

// pass looks at all stages with waiting tasks, in order of urgency, and binds what fits.
func (l *Loop) pass(now anvilclock.Millis) {
	l.work.dirty, l.work.passed = false, now
	if l.config.policy == nil {
		return
	}
	list := l.candidates(now)
	l.work.pause = max(passGap, anvilclock.Millis(len(list)/stagesPerMilli))
	p := &placing{
		loop: l, now: now, shadow: map[*worker]anvilsize.Size{}, outlooks: map[string]*outlook{}, soon: map[moment]anvilsize.Size{}, claimed: map[*worker]anvilsize.Size{}, widest: map[string]anvilsize.Size{},
		fills: map[string]*fill{},
	}
	for _, c := range list {
		kept := l.placeStage(p, c)
		if c.s.open > 0 && c.queue.Advice().Needed() && l.withinLimit(c.s, 1) && (p.expects(c) || kept) {
			l.askForTickets(p, c)
		}
	}
	l.summarize(p, len(list))
}

// summaryEvery is the pause between two summaries of what waits and why.
const summaryEvery = anvilclock.Millis(1000)

// summarize tells once a second what waits for what, and how full the pools are.
func (l *Loop) summarize(p *placing, ready int) {
	l.meter.Gauge("stages.ready", int64(ready))
	if p.now-l.work.summarized < summaryEvery {
		return
	}
	l.work.summarized = p.now
	l.log.Record(anvilevent.PassSummary, "jobs", len(l.work.jobs), "ready", ready, "limit", p.short.limit, "advice", p.short.advice,
		"ticket", p.short.ticket, "room", p.short.room)
	for name, pool := range l.fleet.pools {
		if len(pool) == 0 {
			continue
		}
		var used, capacity anvilsize.Size
		usable := 0
		for _, w := range pool {
			if w.usable(p.now) {
				usable++
				capacity, used = capacity.Add(w.listed.capacity), used.Add(w.used)
			}
		}
		l.log.Record(anvilevent.PoolSummary, "pool", name, "workers", len(pool), "usable", usable,
			"used", used.String(), "capacity", capacity.String())
	}
}

func (l *Loop) candidates(now anvilclock.Millis) []candidate {
	list := make([]candidate, 0, len(l.work.ready))
	for s := range l.work.ready {
		q, ok := l.queueOf(s.job)
		if !ok {
			continue
		}
		list = append(list, candidate{s: s, queue: q, urgency: l.urgencyOf(s, q, now)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.urgency.band, b.urgency.band), cmp.Compare(a.urgency.latest, b.urgency.latest),
			strings.Compare(a.s.job.id(), b.s.job.id()), cmp.Compare(a.s.index, b.s.index))
	})
	return list
}

func (l *Loop) urgencyOf(s *stage, q *anvilpolicy.Queue, now anvilclock.Millis) urgency {
	begin := s.job.arrived
	if s.job.sub.Spec().Repeat().Timed() {
		begin = s.begins
	}
	if s.step.Lasting() {
		return urgency{band: bandTimely, latest: begin}
	}
	asking := q.Advice().Cost(adviceWorkers)
	objective := q.Objective(s.job.sub.Spec().Chain(asking))
	latest := begin + objective - s.tail - asking*anvilclock.Millis(s.depth)
	switch {
	case s.job.excess && now <= latest+(hopeless-1)*objective:
		return urgency{band: bandExcess, latest: latest}
	case now <= latest:
		return urgency{band: bandTimely, latest: latest, pressed: now >= pressedBy(latest, objective)}
	case now <= latest+(hopeless-1)*objective:
		return urgency{band: bandLate, latest: latest, pressed: true}
	}
	return urgency{band: bandHopeless, latest: latest}
}

// placing is the state of one pass.
type placing struct {
	loop *Loop
	now  anvilclock.Millis
	// shadow is room that more urgent stages keep while they wait for tickets or for the rest of a gang.
	shadow   map[*worker]anvilsize.Size
	reserved int
	short    shortage
	outlooks map[string]*outlook
	// fills tells how full the pools are.
	fills map[string]*fill
	// widest is the most room, in each dimension, that some worker of a pool has.
	widest map[string]anvilsize.Size
	// soon holds the room that workers will have, claimed what more urgent stages will take of it.
	soon    map[moment]anvilsize.Size
	claimed map[*worker]anvilsize.Size
}

// shortage counts the stages that could not start all their tasks, by what they lack.
type shortage struct {
	limit  int
	advice int
	ticket int
	room   int
}

func (p *placing) free(w *worker) anvilsize.Size { return w.free().Sub(p.shadow[w]) }

// placeStage binds the tasks of a stage that fit, and reports whether it keeps room for others that only
// lack tickets.
func (l *Loop) placeStage(p *placing, c candidate) bool {
	if c.s.step.Gang() {
		return l.placeGang(p, c)
	}
	if !c.s.step.Room().Fits(p.widestFree(c.queue.Pool())) {
		p.short.room++
		return false
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
		w := p.choose(c, t, true)
		if w == nil {
			kept := p.keepRoom(c)
			p.lack(c, kept)
			return kept
		}
		l.place(t, w)
		p.fillOf(c.queue.Pool()).used = p.fillOf(c.queue.Pool()).used.Add(c.s.step.Room())
	}
	return false
}

// widestFree returns the most room that some worker of a pool has in each dimension. Most stages of a full
// pool need no closer look.
func (p *placing) widestFree(pool string) anvilsize.Size {
	size, ok := p.widest[pool]
	if ok {
		return size
	}
	for _, w := range p.loop.fleet.pools[pool] {
		if w.usable(p.now) {
			size = size.Max(w.free())
		}
	}
	p.widest[pool] = size
	return size
}

// lack counts what a stage lacks; room says that there is some at approved workers.
func (p *placing) lack(c candidate, room bool) {
	switch {
	case c.queue.Advice().Needed() && len(c.s.tickets.byID) == 0:
		p.short.advice++
	case room:
		p.short.ticket++
	default:
		p.short.room++
	}
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
		w := p.choose(c, t, false)
		if w == nil {
			break
		}
		kept = true
		p.shadow[w] = p.shadow[w].Add(c.s.step.Room())
	}
	return kept
}

func (l *Loop) place(t *task, w *worker) {
	t.worker = w
	t.ticket = t.stage.tickets.byID[w.id()]
	l.fireTask(t, "place")
}

// withinLimit reports whether a team may have n more tasks of a stage running.
func (l *Loop) withinLimit(s *stage, n int64) bool {
	team, ok := l.config.policy.Team(s.job.sub.Team())
	if !ok {
		return true
	}
	return team.Admits(l.work.usage[team.Name()].Add(s.step.Size().Scale(n)))
}

// choose returns the best worker for a task; nil when none is fit. Without tickets, every worker that the
// advisor has approved counts.
func (p *placing) choose(c candidate, t *task, ticketed bool) *worker {
	return p.chooseOn(c, t, ticketed, "")
}

// fits reports whether a worker may take one more task of a stage.
func (p *placing) fits(c candidate, w *worker, ticketed bool) bool {
	s := c.s
	if !w.usable(p.now) || !s.step.Room().Fits(p.free(w)) || !w.labelled(s.step.Label()) {
		return false
	}
	if n := s.step.Spread(); n > 0 && s.perWorker[w] >= n {
		return false
	}
	if !c.queue.Advice().Needed() {
		return true
	}
	if ticketed {
		return s.tickets.valid(w.id(), p.now+ticketMargin)
	}
	return s.tickets.approved(w.id())
}

// Scores of a placement in parts per million; the lowest is taken.
const (
	scoreRack     = 400_000   // the data is on another rack
	scoreAvoid    = 3_000_000 // the task failed or was refused there
	scoreSuspect  = 2_000_000 // tasks fail or stand still there
	scoreMixed    = 1_500_000 // serving and filling tasks would share the worker
	scoreGathered = -300_000  // serving tasks are there already
)

func (p *placing) score(s *stage, t *task, w *worker) int64 {
	left := p.free(w).Sub(s.step.Room())
	score := left.Dominant(w.listed.capacity)
	if rack := s.step.Rack(); rack != "" && !w.labelled(rack) {
		score += scoreRack
	}
	if t.avoid == w {
		score += scoreAvoid
	}
	if w.health.suspect(p.now) {
		score += scoreSuspect
	}
	switch serving, filling := w.mix(); {
	case s.step.Fills() && serving, s.step.Target() > 0 && filling:
		score += scoreMixed
	case s.step.Target() > 0 && serving:
		score += scoreGathered
	}
	return score
}

// mix reports whether serving tasks and filling tasks are bound to the worker.
func (w *worker) mix() (serving, filling bool) {
	for t := range w.tasks {
		serving = serving || t.stage.step.Target() > 0
		filling = filling || t.stage.step.Fills()
	}
	return serving, filling
}

func (w *worker) labelled(label string) bool {
	return label == "" || slices.Contains(w.listed.labels, label)
}

// placeGang binds all tasks of a gang or none, and reports whether it keeps room for a gang that only
// lacks tickets.
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
		run := 0
		for _, t := range s.tasks {
			run = max(run, t.run)
		}
		for i, t := range s.tasks {
			t.run = run
			l.place(t, plan[i])
		}
		return false
	}
	plan := p.plan(c, false)
	kept := plan != nil
	p.lack(c, kept)
	if !kept && p.reserved < reservations && c.urgency.band != bandHopeless {
		plan = p.reserve(c)
	}
	for _, w := range plan {
		p.shadow[w] = p.shadow[w].Add(s.step.Room())
	}
	return kept
}

// plan returns a worker for each task of a gang, preferably on one rack; nil when they don't fit.
func (p *placing) plan(c candidate, ticketed bool) []*worker {
	if c.s.step.SameRack() {
		for _, rack := range p.racks(c) {
			if plan := p.planOn(c, ticketed, rack); plan != nil {
				return plan
			}
		}
	}
	return p.planOn(c, ticketed, "")
}

func (p *placing) planOn(c candidate, ticketed bool, rack string) []*worker {
	s := c.s
	plan := make([]*worker, 0, len(s.tasks))
	defer func() {
		for _, w := range plan {
			p.shadow[w] = p.shadow[w].Sub(s.step.Room())
			if s.perWorker[w]--; s.perWorker[w] == 0 {
				delete(s.perWorker, w)
			}
		}
	}()
	for _, t := range s.tasks {
		w := p.chooseOn(c, t, ticketed, rack)
		if w == nil {
			return nil
		}
		plan = append(plan, w)
		p.shadow[w] = p.shadow[w].Add(s.step.Room())
		s.perWorker[w]++
	}
	return slices.Clone(plan)
}

// chooseOn returns the best worker of a rack, or of all when the rack is empty.
func (p *placing) chooseOn(c candidate, t *task, ticketed bool, rack string) *worker {
	var best *worker
	var bestScore int64
	for _, w := range p.loop.fleet.pools[c.queue.Pool()] {
		if !w.labelled(rack) || !p.fits(c, w, ticketed) {
			continue
		}
		if score := p.score(c.s, t, w); best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// racks returns the labels that the workers of a pool share with others.
func (p *placing) racks(c candidate) []string {
	counts := map[string]int{}
	for _, w := range p.loop.fleet.pools[c.queue.Pool()] {
		for _, label := range w.listed.labels {
			counts[label]++
		}
	}
	out := make([]string, 0, len(counts))
	for label := range counts {
		out = append(out, label)
	}
	slices.SortFunc(out, func(a, b string) int { return cmp.Or(cmp.Compare(counts[b], counts[a]), strings.Compare(a, b)) })
	return out
}

// reserve keeps room at the workers that will have it first, so that smaller tasks can't keep a gang
// from ever starting.
func (p *placing) reserve(c candidate) []*worker {
	s := c.s
	type slot struct {
		w  *worker
		at anvilclock.Millis
	}
	var slots []slot
	for _, w := range p.loop.fleet.pools[c.queue.Pool()] {
		if !w.usable(p.now) || !w.labelled(s.step.Label()) || !s.step.Room().Fits(w.listed.capacity) {
			continue
		}
		if c.queue.Advice().Needed() && !s.tickets.approved(w.id()) {
			continue
		}
		for i, at := range p.frees(w, s) {
			if n := s.step.Spread(); n > 0 && i >= n {
				break
			}
			slots = append(slots, slot{w: w, at: at})
		}
	}
	if len(slots) < len(s.tasks) {
		return nil
	}
	slices.SortFunc(slots, func(a, b slot) int { return cmp.Or(cmp.Compare(a.at, b.at), strings.Compare(a.w.id(), b.w.id())) })
	p.reserved++
	out := make([]*worker, 0, len(s.tasks))
	for _, sl := range slots[:len(s.tasks)] {
		out = append(out, sl.w)
	}
	return out
}

// frees returns the times at which a worker will have room for the first, second and further task of a
// stage, if nothing else is started there.
func (p *placing) frees(w *worker, s *stage) []anvilclock.Millis {
	tasks := w.bound()
	slices.SortStableFunc(tasks, func(a, b *task) int { return cmp.Compare(a.endsAt(p.now), b.endsAt(p.now)) })
	free := p.free(w)
	at := p.now
	var out []anvilclock.Millis
	room := s.step.Room()
	for i := 0; ; i++ {
		for room.Fits(free) && len(out) < len(s.tasks) {
			out = append(out, at)
			free = free.Sub(room)
		}
		if i == len(tasks) || len(out) == len(s.tasks) {
			return out
		}
		at = max(at, tasks[i].endsAt(p.now))
		free = free.Add(tasks[i].stage.step.Room())
	}
}

// endsAt estimates when a run will end, from its progress where there is some.
func (t *task) endsAt(now anvilclock.Millis) anvilclock.Millis {
	if t.stage.step.Lasting() {
		return now + forever
	}
	if t.began == 0 || t.machine.State() != taskRunning {
		return now + t.stage.step.Estimate()
	}
	run := now - t.began
	if t.percent > 0 && t.percent < 100 {
		return max(t.began+(t.moved-t.began)*100/anvilclock.Millis(t.percent), now)
	}
	return now + max(t.stage.step.Estimate()-run, t.stage.step.Estimate()/10)
}

// forever stands for the end of a task that lasts.
const forever = anvilclock.Millis(1 << 40)
