package anvilhost

import (
	"cmp"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
)

// shard is what the worker knows of the owner of one shard. The epoch outlives the lease.
type shard struct {
	name   string
	epoch  int64
	leased bool
	until  anvilclock.Millis
	cursor int64
}

// Running is a task that has a place on the worker.
type Running struct {
	order *Order
	state string
	use   anvilsize.Size
}

// ID returns the id of the task.
func (r Running) ID() string { return r.order.id }

// Team returns the team.
func (r Running) Team() string { return r.order.team }

// Job returns the job, empty for a single task.
func (r Running) Job() string { return r.order.job }

// Kind returns the kind.
func (r Running) Kind() string { return r.order.kind }

// Size returns the place that the task takes.
func (r Running) Size() anvilsize.Size { return r.order.size }

// Use returns the reported use.
func (r Running) Use() anvilsize.Size { return r.use }

// State returns held, running, throttled or checkpointing.
func (r Running) State() string { return r.state }

// Once reports whether the task is non-idempotent.
func (r Running) Once() bool { return r.order.once }

// Epoch returns the epoch under which the task was started.
func (r Running) Epoch() int64 { return r.order.epoch }

// Report answers a fence.
type Report struct {
	ok     bool
	epoch  int64
	tasks  []Running
	ended  []Ended
	cursor int64
	now    anvilclock.Millis
}

// Now returns the worker's monotonic clock at the time of the report.
func (r Report) Now() anvilclock.Millis { return r.now }

// OK reports whether the epoch was installed.
func (r Report) OK() bool { return r.ok }

// Epoch returns the highest epoch that the worker has seen for the shard.
func (r Report) Epoch() int64 { return r.epoch }

// Tasks returns the tasks that have a place, of all shards.
func (r Report) Tasks() []Running { return r.tasks }

// Ended returns the tasks that ended after the cursor, of all shards.
func (r Report) Ended() []Ended { return r.ended }

// Cursor returns the position after the last ended task.
func (r Report) Cursor() int64 { return r.cursor }

// Fence installs an epoch, renews the lease and reports the tasks. A lower epoch than the highest
// seen one changes nothing.
func (h *Host) Fence(name string, epoch int64, lease anvilclock.Millis, cursor int64) (Report, error) {
	h.Tick()
	switch {
	case name == "" || len(name) > maxText:
		return Report{}, badInput("shard must have between 1 and %d bytes", maxText)
	case epoch < 1:
		return Report{}, badInput("epoch must be positive")
	case lease < 1 || lease > maxLease:
		return Report{}, badInput("lease must be between 1 and %d", maxLease)
	case cursor < 0:
		return Report{}, badInput("cursor must not be negative")
	}
	s := h.shards[name]
	if s == nil {
		if len(h.shards) >= maxShards {
			return Report{}, anvilerror.Refuse(anvilerror.TooLarge, "the worker has too many shards")
		}
		s = &shard{name: name}
		h.shards[name] = s
	}
	if epoch < s.epoch {
		return Report{epoch: s.epoch}, nil
	}
	h.install(s, epoch)
	now := h.clock.Now()
	s.leased, s.until, s.cursor = true, now+lease, cursor
	r := Report{ok: true, epoch: s.epoch, ended: h.ended.after(cursor, now), cursor: h.ended.position, now: now}
	for _, t := range h.live {
		r.tasks = append(r.tasks, Running{order: t.order, state: t.reported(), use: t.use(now)})
	}
	return r, nil
}

func (h *Host) install(s *shard, epoch int64) {
	if epoch < s.epoch {
		h.alarm.Violated(ViolatedEpoch, "epoch of a shard fell", "shard", s.name, "from", s.epoch, "to", epoch)
	}
	s.epoch = epoch
}

// lapse stops the tasks of shards whose lease has run out, in the order of the lapses. The trace
// dates their end at the lapse, because they took no step after it.
func (h *Host) lapse(now anvilclock.Millis) {
	var lapsed []*shard
	for _, s := range h.shards {
		if s.leased && now >= s.until {
			s.leased = false
			lapsed = append(lapsed, s)
		}
	}
	slices.SortFunc(lapsed, func(a, b *shard) int {
		return cmp.Or(cmp.Compare(a.until, b.until), cmp.Compare(a.name, b.name))
	})
	for _, s := range lapsed {
		for _, t := range h.snapshot() {
			if t.order.shard == s.name {
				t.ago = now - s.until
				h.stop(t, "lapse", codeLease)
			}
		}
	}
}
