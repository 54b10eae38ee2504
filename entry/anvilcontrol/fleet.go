package anvilcontrol

import (
	"errors"
	"strings"
	"unicode"
	"unicode/utf8"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilshard"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// workerKind is the kind under which the platform's registry lists workers.
const workerKind = "worker"

// poolSizes holds the distinct capacities that workers of a pool have had. They stay known when the workers are
// deregistered, because the platform's registry is empty for a time after an outage.
type poolSizes struct {
	sizes []anvilsize.Size
}

func (p *poolSizes) add(s anvilsize.Size) {
	for _, known := range p.sizes {
		if known == s {
			return
		}
	}
	p.sizes = append(p.sizes, s)
}

// neverFits reports whether no worker of the pool is large enough for a size. It also returns the dimension that is too
// large, and the largest capacity in each dimension.
func (p *poolSizes) neverFits(s anvilsize.Size) (d anvilsize.Dimension, largest anvilsize.Size, never bool) {
	for _, have := range p.sizes {
		if s.Fits(have) {
			return 0, have, false
		}
		largest = largest.Max(have)
	}
	d, exceeds := s.Exceeds(largest)
	if !exceeds {
		d, _ = s.Exceeds(p.sizes[0])
	}
	return d, largest, true
}

func (l *Loop) readInstances() {
	if len(l.calls.instanceReads) > 0 {
		return
	}
	ref := l.calls.ref()
	l.calls.instanceReads[ref] = true
	l.table.Instances(ref)
}

func (l *Loop) shardOf(reg Registration) string {
	return anvilshard.Name(reg.domain, reg.pool, reg.id, l.settings.shards)
}

// instancesRead handles a read of the platform's registry. A worker that is no longer registered is kept until its
// lease has expired, because the registry is updated with a delay.
func (l *Loop) instancesRead(m InstancesRead) {
	if _, ok := popCall(l.calls.instanceReads, m.ref); !ok || m.err != nil {
		return
	}
	l.registrations = make(map[string]Registration, len(m.registrations))
	l.registeredByShard = map[string][]Registration{}
	var total anvilsize.Size
	l.noteUnreadable(m)
	for _, reg := range m.registrations {
		if !reg.valid() {
			continue
		}
		l.registrations[reg.id] = reg
		if reg.kind != workerKind {
			continue
		}
		name := l.shardOf(reg)
		l.registeredByShard[name] = append(l.registeredByShard[name], reg)
		p := l.pools[reg.pool]
		p.add(reg.size)
		l.pools[reg.pool] = p
		total = total.Add(reg.size)
		l.syncWorker(name, reg)
	}
	l.share.SetTotal(total)
	for id, w := range l.workers {
		if _, ok := l.registrations[id]; !ok {
			l.fireWorker(w, "unlisted")
		}
	}
}

// valid reports whether an entry of the registry, which other programs can write, names an instance. A wrong address does no
// harm: nothing answers there.
func (r Registration) valid() bool {
	for _, name := range []string{r.id, r.domain, r.region, r.pool} {
		if !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl) {
			return false
		}
	}
	return r.id != "" && (r.kind != workerKind || (r.pool != "" && r.size.InRange()))
}

// noteUnreadable counts the entries of the registry that name no instance, and logs their number when it changes.
func (l *Loop) noteUnreadable(m InstancesRead) {
	n := m.unreadable
	odd := ""
	for _, reg := range m.registrations {
		if !reg.valid() {
			n, odd = n+1, reg.id
		}
	}
	if n != l.unreadableEntries {
		l.log.Fault(anvilevent.RowUnreadable, errEntry, "table", "instances", "entries", n, "key", odd)
	}
	l.unreadableEntries = n
	l.meter.Gauge("entry.unreadable", int64(n))
}

var errEntry = errors.New("entries of the registry name no instance")

// syncWorker adds a registered worker to its shard if this instance owns it, and adds the shard to the directory if it
// has no row in the table yet.
func (l *Loop) syncWorker(name string, reg Registration) {
	if _, ok := l.directory.Shard(name); !ok {
		l.directory.PutShard(anvilshard.NewShard(name, reg.domain, reg.region, reg.pool, l.clock.Unix()))
	}
	s := l.shard(name)
	if !s.owned() {
		return
	}
	w := s.workers[reg.id]
	if w == nil {
		l.addWorker(s, reg)
		return
	}
	if w.leaving != reg.leaving {
		w.leaving = reg.leaving
		l.fireWorker(w, "change")
	}
}

// capacities returns the capacities of a shard's workers: of those in the platform's registry, or of the members in
// the shard's row while the registry is empty after an outage of the platform.
func (l *Loop) capacities(name string) []anvilsize.Size {
	var sizes []anvilsize.Size
	for _, reg := range l.registeredByShard[name] {
		sizes = append(sizes, reg.size)
	}
	if len(sizes) > 0 {
		return sizes
	}
	row, _ := l.directory.Shard(name)
	for _, m := range row.Members() {
		sizes = append(sizes, m.Size())
	}
	return sizes
}

// checkPool refuses a task if no worker of its pool is known, or if no worker or shard is large enough for it.
func (l *Loop) checkPool(t *anviltask.Task) *anvilerror.Error {
	p, ok := l.pools[t.Pool()]
	if !ok {
		return anvilerror.Refuse(anvilerror.Missing, "no worker of pool "+t.Pool()+" is known", anvilerror.WithRetry(ownerRetryDelay))
	}
	if d, largest, never := p.neverFits(t.Size()); never {
		return anvilerror.Refuse(anvilerror.Never,
			"no worker of pool "+t.Pool()+" is large enough for "+t.Size().String()+": "+d.String()+" of the largest is "+largest.String())
	}
	if t.Count() > 1 && !l.anyShardFits(t) {
		return anvilerror.Refuse(anvilerror.Never, "no shard of pool "+t.Pool()+" is large enough for all tasks of the job together")
	}
	return nil
}

func (l *Loop) anyShardFits(t *anviltask.Task) bool {
	for _, s := range l.directory.Shards() {
		if s.Pool() == t.Pool() && l.shardFits(s.Name(), t) {
			return true
		}
	}
	return false
}

// addWorker adds a worker and sends the fence that installs the shard's epoch.
func (l *Loop) addWorker(s *shard, reg Registration) {
	w := newWorker(reg, s, l.charts.worker.NewMachine(), l.clock.Now())
	s.workers[reg.id] = w
	l.workers[reg.id] = w
	l.index.Add(w.resources)
	l.health.Add(w.resources.ID(), w.resources.Pool())
	l.sendFence(w, l.clock.Now())
}

// addMember adds a worker that an earlier owner listed in the shard's row, even if it is no longer registered.
func (l *Loop) addMember(s *shard, row anvilshard.Shard, m anvilshard.Member) {
	reg, ok := l.registrations[m.Worker()]
	if !ok {
		reg = NewRegistration(m.Worker(), workerKind, m.Addr(), row.Domain(), row.Region(), row.Pool(), true, m.Size())
	}
	l.addWorker(s, reg)
	s.workers[reg.id].boot = m.Boot()
}

// renewLeases sends the fences that are due, and expires workers whose last renewed lease and its margin have passed.
func (l *Loop) renewLeases(now anvilclock.Millis) {
	for _, w := range l.workers {
		if (now >= w.renewAt || now >= w.nextEnd) && !w.fencing {
			l.sendFence(w, now)
		}
		if now-w.leasedAt >= l.settings.lease+l.settings.margin {
			l.fireWorker(w, "expire")
		}
	}
}

// sendFence sends a fence. It renews the lease of a worker that answers, and of one without runs. For any other worker it
// carries the rest of the lease: the worker may carry it out without an answer, and must not go on for longer than this
// instance waits.
func (l *Loop) sendFence(w *worker, now anvilclock.Millis) {
	w.renewAt = now + renewInterval
	w.nextEnd = w.renewAt
	if w.machine.State() == workerReady || w.machine.State() == workerExpired {
		w.leasedAt = now
	}
	lease := w.leasedAt + l.settings.lease - now
	if lease <= 0 {
		return
	}
	w.fencing = true
	ref := l.calls.ref()
	l.calls.fences[ref] = fenceCall{worker: w, sent: now}
	l.backends.Fence(ref, w.resources.Addr(), Fence{shard: w.shard.name, epoch: w.shard.epoch, lease: lease, cursor: w.cursor})
}

// fenced handles the answer to a fence: the tasks that run at the worker and those that have ended.
func (l *Loop) fenced(m Fenced) {
	call, ok := popCall(l.calls.fences, m.ref)
	if !ok {
		return
	}
	w := call.worker
	w.fencing, w.fenceTried = false, true
	if w.machine.Final() {
		return
	}
	switch {
	case m.err != nil:
		if w.machine.State() == workerReady {
			l.log.Record(anvilevent.WorkerNoReply, "worker", w.resources.ID(), "code", m.err.Code())
		}
		l.fireWorker(w, "silent")
	case !m.ok:
		l.fireShard(w.shard, "lost")
	default:
		l.applyFence(w, m, call.sent)
	}
}

func (l *Loop) applyFence(w *worker, m Fenced, sent anvilclock.Millis) {
	w.fencedAt, w.clock = sent, m.now
	if w.boot != m.boot {
		if w.boot != "" {
			l.log.Record(anvilevent.WorkerRestarted, "worker", w.resources.ID())
			l.endLostRuns(w)
			l.extendRecordGap(w.shard)
		}
		// The cursor belongs to the former process, so the new one's list of ended tasks is read from its beginning.
		w.boot, w.cursor, w.renewAt = m.boot, 0, 0
		w.resources.SetCapacity(m.size)
	} else {
		w.cursor = m.cursor
	}
	for _, e := range m.ended {
		l.handleEndedTask(w, e)
	}
	l.matchRuns(w, m.tasks, sent)
	w.updateNextEnd(l.clock.Now())
	if w.machine.State() != workerReady {
		// The fence may have carried only the rest of the lease.
		w.renewAt = 0
		l.log.Record(anvilevent.WorkerFenced, "worker", w.resources.ID(), "shard", w.shard.name, "epoch", w.shard.epoch, "tasks", len(m.tasks))
	}
	l.fireWorker(w, "fenced")
}

// endLostRuns ends the runs of the worker's former process.
func (l *Loop) endLostRuns(w *worker) {
	for _, r := range w.runList() {
		if r.boot != w.boot || r.confirmed {
			l.fireRun(r, "gone")
		}
	}
}

// matchRuns compares the reported tasks with the known runs. Unknown tasks were started by an earlier owner.
func (l *Loop) matchRuns(w *worker, tasks []RunningTask, sent anvilclock.Millis) {
	reported := make(map[string]bool, len(tasks))
	for _, t := range tasks {
		reported[t.id] = true
		r := w.runs[t.id]
		switch {
		case r == nil:
			l.adoptRun(w, t)
		case t.state == runHeld:
			l.fireRun(r, "held")
		default:
			l.fireRun(r, "running")
		}
	}
	for _, r := range w.runList() {
		if !reported[r.id] && r.reportedEnd == nil && r.confirmed && r.confirmedAt < sent {
			l.fireRun(r, "gone")
		}
	}
}
