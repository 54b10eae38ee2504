package anvilbench

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilplacement"
	"anvilhold.org/lib/anvilqueue"
	"anvilhold.org/lib/anvilshare"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilworker"
)

// Times and limits of the simulated fleet.
const (
	failAfter        = anvilclock.Millis(200)  // from the start of a task on a failing worker to its failure
	checkpointTime   = anvilclock.Millis(500)  // from the decision to preempt a task to the release of its capacity
	tickInterval     = anvilclock.Millis(1000) // between usage reports, renewals of reservations, and samples
	maxFailedWorkers = 3                       // a job that failed on this many workers is not started again
	maxSkips         = 16                      // tasks that a pass may skip one by one because a reservation or a filter excludes workers
)

// host is a simulated worker. Whether it is failing is unknown to the scheduler.
type host struct {
	worker  *anvilworker.Worker
	usage   *anvilworker.Usage
	failing bool
}

// run is a job that runs on its workers, one for each task of a gang job.
type run struct {
	job       *job
	hosts     []*host
	started   anvilclock.Millis
	ended     bool
	preempted bool
}

// id returns the id under which host i keeps the reservation.
func (r *run) id(i int) string { return r.job.task.ID() + "#" + strconv.Itoa(i) }

// trial is the simulation of one load under one policy.
type trial struct {
	load               load
	policy             policy
	now                anvilclock.Millis
	timeline           timeline
	index              *anvilplacement.Index
	placement          anvilplacement.Policy
	share              *anvilshare.Tree
	queue              queue
	health             *anvilworker.Health
	headroom           *anvilplacement.Headroom
	hosts              map[string]*host
	hostList           []*host
	jobs               map[string]*job
	runs               map[string]*run
	quarantined        []*host
	backfill           *anvilplacement.Backfill
	awaitingPreemption map[string]bool           // ids of urgent tasks for which others are being preempted
	releasing          map[string]anvilsize.Size // reserved size of the runs that are being preempted, by pool
	pools              []string
	total              anvilsize.Size // of the schedulable workers
	skips              int            // in the current pass
	stats              *stats
}

func newTrial(l load, p policy, seed uint64) *trial {
	t := &trial{
		load: l, policy: p, index: anvilplacement.NewIndex(), placement: p.newPlacement(seed), share: anvilshare.New(),
		health: anvilworker.NewHealth(), headroom: anvilplacement.NewHeadroom(),
		hosts: map[string]*host{}, jobs: map[string]*job{}, runs: map[string]*run{},
		backfill: anvilplacement.NewBackfill(), awaitingPreemption: map[string]bool{}, releasing: map[string]anvilsize.Size{},
		stats: newStats(),
	}
	t.queue = p.newQueue(t.share)
	totals := map[string]anvilsize.Size{}
	for _, m := range l.fleet {
		w := anvilworker.New(m.id, anvilworker.WithPool(m.pool), anvilworker.WithLocation(m.domain, "r"), anvilworker.WithCapacity(m.capacity))
		w.SetSchedulable(true)
		h := &host{worker: w, usage: anvilworker.NewUsage(w), failing: m.failing}
		t.hosts[m.id] = h
		t.hostList = append(t.hostList, h)
		t.index.Add(w)
		t.health.Add(m.id, m.pool)
		t.total = t.total.Add(m.capacity)
		totals[m.pool] = totals[m.pool].Add(m.capacity)
	}
	for _, pool := range slices.Sorted(maps.Keys(totals)) {
		t.pools = append(t.pools, pool)
		t.headroom.SetTotal(pool, totals[pool])
	}
	t.share.SetTotal(t.total)
	for team, weight := range l.weights {
		t.share.SetWeight(team, weight)
	}
	for _, j := range l.jobs {
		c := *j
		t.jobs[c.task.ID()] = &c
		t.timeline.schedule(c.arrival, func() { t.push(&c) })
	}
	t.timeline.schedule(tickInterval, t.tick)
	return t
}

// simulate runs the trial to its horizon and returns its results.
func (t *trial) simulate() *stats {
	for {
		e, ok := t.timeline.next()
		if !ok || e.at > t.load.horizon {
			break
		}
		t.now = e.at
		e.action()
		if t.timeline.Len() > 0 && t.timeline.events[0].at == t.now {
			continue
		}
		for _, task := range t.queue.RemoveExpired(t.now) {
			t.stats.countExpired(t.jobs[task.ID()])
			t.callDone(task)
		}
		t.skips = 0
		t.queue.Pass(t.now, t.tryStart)
		t.restoreHeadroom()
	}
	t.countUnstarted()
	return t.stats
}

// countUnstarted records waiting times for the jobs that never started, as if they started at the horizon. A policy
// would otherwise get better waiting times by not starting tasks.
func (t *trial) countUnstarted() {
	for _, j := range t.load.jobs {
		if c := t.jobs[j.task.ID()]; c.arrival < t.load.horizon && !c.started && !t.stats.dropped[c.task.ID()] {
			t.stats.recordWait(c, t.load.horizon)
		}
	}
}

func (t *trial) push(j *job) {
	if j.task.Count() > t.index.Slots(j.task.Size(), j.task.Pool()) {
		t.stats.countRefused(j)
		return
	}
	if err := t.queue.Push(j.task, t.now); err != nil {
		t.stats.pushesRefused++
		t.timeline.schedule(t.now+err.Retry(), func() { t.push(j) })
		return
	}
	t.stats.addWaiting(j.task, 1)
	if j.task.Kind() == anviltask.Call {
		t.headroom.CallArrived(j.task.Pool(), j.task.Size(), t.now)
	}
}

func (t *trial) tryStart(task *anviltask.Task) anvilqueue.Verdict {
	j := t.jobs[task.ID()]
	if t.exceedsHeadroom(j) {
		return anvilqueue.NoCapacity
	}
	ws := t.choose(j)
	if ws != nil {
		t.start(j, ws)
		return anvilqueue.Placed
	}
	if task.Urgent() {
		// Larger urgent tasks need preemptions too. NoCapacity would make the pass skip them.
		t.preemptFor(j)
		return anvilqueue.Skip
	}
	if task.Kind() == anviltask.Gang || task.Kind() == anviltask.Batch {
		t.backfill.RecordWaiting(task.ID(), t.request(j), j.arrival, t.now)
	}
	if t.skips < maxSkips && (len(j.failedOn) > 0 || t.blockedByReservation(j)) {
		// Other tasks of this size may fit on workers that this job can't use. NoCapacity would make the pass skip
		// them too.
		t.skips++
		return anvilqueue.Skip
	}
	return anvilqueue.NoCapacity
}

// Allow implements anvilplacement.Filter. It rejects workers on which the job failed.
func (j *job) Allow(w *anvilworker.Worker) bool { return !j.failedOn[w.ID()] }

func (t *trial) request(j *job, opts ...anvilplacement.Option) anvilplacement.Request {
	task := j.task
	opts = append(opts, anvilplacement.WithCount(task.Count()))
	if len(j.failedOn) > 0 {
		opts = append(opts, anvilplacement.WithFilter(j))
	}
	if task.Kind() == anviltask.Service {
		opts = append(opts, anvilplacement.WithReplicas(map[string]int{}))
	}
	return anvilplacement.NewRequest(task.Pool(), task.Kind(), task.Size(), opts...)
}

// choose returns the workers on which the job is to start, or nil.
func (t *trial) choose(j *job) []*anvilworker.Worker {
	task := j.task
	if w := t.probe(j); w != nil {
		return []*anvilworker.Worker{w}
	}
	var opts []anvilplacement.Option
	if !task.Urgent() && t.backfill.ReservedByOthers(task.ID(), task.Pool()) {
		opts = append(opts, t.backfill.RequestOption(task.ID(), task.Pool(), t.now+max(task.RunTime(), 1)))
	}
	return t.placement.Place(t.index, t.request(j, opts...))
}

// exceedsHeadroom reports whether a batch job, unless urgent, would use capacity that is kept free for calls.
func (t *trial) exceedsHeadroom(j *job) bool {
	task := j.task
	if !t.policy.headroom || task.Kind() != anviltask.Batch || task.Urgent() {
		return false
	}
	_, free, _, _ := t.index.Pool(task.Pool())
	return !task.Size().Add(t.headroom.Required(task.Pool(), t.now)).Fits(free)
}

// blockedByReservation reports whether a batch job would fit without the reservations of other tasks.
func (t *trial) blockedByReservation(j *job) bool {
	task := j.task
	return t.backfill.ReservedByOthers(task.ID(), task.Pool()) && task.Kind() == anviltask.Batch &&
		t.index.Place(t.request(j)) != nil
}

// probe returns a quarantined worker that may be given the job as a probe, or nil.
func (t *trial) probe(j *job) *anvilworker.Worker {
	if j.task.Kind() != anviltask.Batch || j.task.Urgent() {
		return nil
	}
	for _, h := range t.quarantined {
		w := h.worker
		if w.Pool() == j.task.Pool() && j.Allow(w) && j.task.Size().Fits(w.Free()) && t.health.TryProbe(w.ID(), t.now) {
			return w
		}
	}
	return nil
}

func (t *trial) start(j *job, ws []*anvilworker.Worker) {
	task := j.task
	r := &run{job: j, started: t.now}
	failing := false
	for i, w := range ws {
		h := t.hosts[w.ID()]
		if err := h.usage.Reserve(r.id(i), task.Size()); err != nil {
			panic(err)
		}
		r.hosts = append(r.hosts, h)
		failing = failing || h.failing
		t.index.Update(w)
	}
	t.runs[task.ID()] = r
	t.share.Charge(task.Team(), task.Workspace(), task.Total())
	t.stats.addWaiting(task, -1)
	delete(t.awaitingPreemption, task.ID())
	t.backfill.Forget(task.ID(), task.Pool())
	if failing {
		t.timeline.schedule(t.now+failAfter, func() { t.fail(r) })
		return
	}
	if !j.started {
		j.started = true
		t.stats.recordWait(j, t.now)
	}
	t.timeline.schedule(t.now+j.remaining, func() { t.complete(r) })
}

// release ends a run and releases its reservations.
func (t *trial) release(r *run) {
	r.ended = true
	task := r.job.task
	delete(t.runs, task.ID())
	for i, h := range r.hosts {
		t.share.Refund(task.Team(), task.Workspace(), h.usage.Release(r.id(i)))
		t.index.Update(h.worker)
	}
	t.callDone(task)
}

// callDone removes a call that has ended, failed or expired from the demand of the headroom. A call that failed is
// pushed again and counts as a new arrival.
func (t *trial) callDone(task *anviltask.Task) {
	if task.Kind() == anviltask.Call {
		t.headroom.CallEnded(task.Pool(), task.Size(), t.now)
	}
}

func (t *trial) complete(r *run) {
	if r.ended || r.preempted {
		return
	}
	t.release(r)
	for _, h := range r.hosts {
		t.health.Succeeded(h.worker.ID(), r.job.task.Team(), r.job.task.ID(), t.now)
		t.updateQuarantine(h)
	}
}

func (t *trial) fail(r *run) {
	if r.ended {
		return
	}
	t.release(r)
	j := r.job
	if j.failedOn == nil {
		j.failedOn = map[string]bool{}
	}
	for _, h := range r.hosts {
		if h.failing && !j.failedOn[h.worker.ID()] {
			j.failedOn[h.worker.ID()] = true
			t.health.Failed(h.worker.ID(), h.worker.Pool(), j.task.Team(), j.task.ID(), t.now)
			t.updateQuarantine(h)
		}
	}
	if len(j.failedOn) >= maxFailedWorkers {
		t.stats.countLost(j)
		return
	}
	t.push(j)
}

// updateQuarantine makes a worker unschedulable when its quarantine begins and schedulable when it ends. It also
// updates the total capacity from which the shares of teams are computed.
func (t *trial) updateQuarantine(h *host) {
	if !t.policy.health {
		return
	}
	quarantined := t.health.Quarantined(h.worker.ID(), t.now)
	if quarantined == !h.worker.Schedulable() {
		return
	}
	h.worker.SetSchedulable(!quarantined)
	t.index.Update(h.worker)
	if quarantined {
		t.total = t.total.Sub(h.worker.Capacity())
	} else {
		t.total = t.total.Add(h.worker.Capacity())
	}
	t.share.SetTotal(t.total)
	if quarantined {
		t.quarantined = append(t.quarantined, h)
	} else {
		t.quarantined = slices.DeleteFunc(t.quarantined, func(o *host) bool { return o == h })
	}
}

// preemptFor preempts batch tasks, or gang jobs as the last choice, to free capacity for an urgent job. It does nothing
// while earlier preemptions for the job are under way.
func (t *trial) preemptFor(j *job) {
	if t.awaitingPreemption[j.task.ID()] {
		return
	}
	_, ids := t.index.Preempt(t.request(j), t.victims(j.task.Pool(), true))
	for _, id := range ids {
		t.awaitingPreemption[j.task.ID()] = true
		t.preempt(t.runs[id], j.task.ID())
	}
}

// gangCostFactor raises the cost of a gang job so that it is preempted last, because all of its tasks stop together.
const gangCostFactor = 1000

// victims returns the tasks of a pool that may be preempted: batch tasks and, with gangs, those of gang jobs.
func (t *trial) victims(pool string, gangs bool) []anvilplacement.Victim {
	var out []anvilplacement.Victim
	for _, r := range t.runs {
		task := r.job.task
		if task.Pool() != pool || task.Urgent() || r.preempted || task.Kind() != anviltask.Batch && (!gangs || task.Kind() != anviltask.Gang) {
			continue
		}
		cost := int64(t.now - r.started)
		if task.Kind() == anviltask.Gang {
			cost = (cost + 1) * gangCostFactor * int64(task.Count())
		}
		reserved := map[string]anvilsize.Size{}
		for i, h := range r.hosts {
			reserved[h.worker.ID()] = reserved[h.worker.ID()].Add(h.usage.Reservation(r.id(i)))
		}
		for id, s := range reserved {
			out = append(out, anvilplacement.NewVictim(task.ID(), id, s, cost))
		}
	}
	return out
}

// preempt checkpoints a run and queues its job again. urgent is the id of the urgent task that waits for the capacity;
// it is empty if the capacity is needed for calls.
func (t *trial) preempt(r *run, urgent string) {
	pool := r.job.task.Pool()
	var reserved anvilsize.Size
	for i, h := range r.hosts {
		reserved = reserved.Add(h.usage.Reservation(r.id(i)))
	}
	r.preempted = true
	t.releasing[pool] = t.releasing[pool].Add(reserved)
	t.timeline.schedule(t.now+checkpointTime, func() {
		t.releasing[pool] = t.releasing[pool].Sub(reserved)
		delete(t.awaitingPreemption, urgent)
		t.requeue(r)
	})
}

// restoreHeadroom preempts batch tasks in pools whose free capacity is below the floor of the headroom.
func (t *trial) restoreHeadroom() {
	if !t.policy.headroom {
		return
	}
	for _, pool := range t.pools {
		_, free, _, _ := t.index.Pool(pool)
		shortfall := t.headroom.Shortfall(pool, free.Add(t.releasing[pool]), t.now)
		if shortfall.IsZero() {
			continue
		}
		for _, id := range t.index.PreemptAmount(pool, shortfall, t.victims(pool, false)) {
			t.preempt(t.runs[id], "")
		}
	}
}

// requeue ends a preempted run and queues the job again with its remaining run time.
func (t *trial) requeue(r *run) {
	if r.ended {
		return
	}
	// The job is queued with its reservation, which has grown to its usage. With the declared size the job would
	// outgrow its reservation again and cause further preemptions.
	r.job.task = r.job.task.With(anviltask.WithSize(r.hosts[0].usage.Reservation(r.id(0))))
	t.release(r)
	t.stats.preempted++
	r.job.remaining = max(r.job.remaining-(t.now-r.started), 1)
	t.push(r.job)
}

// tick reports the usage of running jobs, renews the reservations of waiting ones and samples the statistics.
func (t *trial) tick() {
	for _, r := range t.sortedRuns() {
		t.reportUsage(r)
	}
	t.renewReservations()
	t.stats.sample(t)
	t.timeline.schedule(t.now+tickInterval, t.tick)
}

func (t *trial) sortedRuns() []*run {
	out := make([]*run, 0, len(t.runs))
	for _, r := range t.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(a.job.task.ID(), b.job.task.ID()) })
	return out
}

// reportUsage raises the reservations of a run that uses more than it declared.
func (t *trial) reportUsage(r *run) {
	if r.job.usage.Fits(r.job.task.Size()) {
		return
	}
	for i, h := range r.hosts {
		if more := h.usage.Report(r.id(i), r.job.usage); !more.IsZero() {
			t.share.Charge(r.job.task.Team(), r.job.task.Workspace(), more)
			t.index.Update(h.worker)
		}
	}
}

// renewReservations renews the reservations of waiting tasks in each pool.
func (t *trial) renewReservations() {
	ends := map[string][]anvilplacement.ExpectedEnd{}
	for _, r := range t.sortedRuns() {
		task := r.job.task
		if task.RunTime() == 0 {
			continue
		}
		for i, h := range r.hosts {
			ends[task.Pool()] = append(ends[task.Pool()], anvilplacement.NewExpectedEnd(h.worker.ID(), h.usage.Reservation(r.id(i)), r.started+task.RunTime()))
		}
	}
	for _, pool := range t.pools {
		t.backfill.Renew(t.index, pool, t.now, ends[pool])
	}
}
