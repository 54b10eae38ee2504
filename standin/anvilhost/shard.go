package anvilhost

import (
	"cmp"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
)

// shard is the worker's state for one shard: the highest epoch seen, which is kept after the lease has expired, and the
// lease of the owner.
type shard struct {
	name     string
	epoch    int64
	leased   bool // the lease is valid until leaseEnd
	leaseEnd anvilclock.Millis
	cursor   int64
}

// LiveTask describes a task that reserves capacity on the worker. It may be held, loading its checkpoint or running.
type LiveTask struct {
	req   *StartRequest
	state string
	usage anvilsize.Size
}

// ID returns the task's id.
func (t LiveTask) ID() string { return t.req.id }

// Team returns the team that the task counts against.
func (t LiveTask) Team() string { return t.req.team }

// Job returns the id of the job, empty for a task outside of a job.
func (t LiveTask) Job() string { return t.req.job }

// Kind returns the kind of task, such as call, batch, service or gang.
func (t LiveTask) Kind() string { return t.req.kind }

// Size returns the capacity that the task reserves.
func (t LiveTask) Size() anvilsize.Size { return t.req.size }

// Usage returns the measured resource usage, which is zero until the usage lag after the start has passed.
func (t LiveTask) Usage() anvilsize.Size { return t.usage }

// State returns held, running, throttled or checkpointing. A task that is loading its checkpoint is held.
func (t LiveTask) State() string { return t.state }

// Once reports whether the task is non-idempotent, so that it must not be started again after it may have run.
func (t LiveTask) Once() bool { return t.req.once }

// Epoch returns the shard's epoch at the start of the task.
func (t LiveTask) Epoch() int64 { return t.req.epoch }

// FenceReply is the reply to Host.Fence.
type FenceReply struct {
	ok     bool
	epoch  int64
	tasks  []LiveTask
	ended  []EndedTask
	cursor int64
	now    anvilclock.Millis
}

// Now returns the worker's monotonic clock at the time of the reply, 0 when the fence was refused.
func (r FenceReply) Now() anvilclock.Millis { return r.now }

// OK reports whether the epoch was installed and the lease renewed. If not, only Epoch is set.
func (r FenceReply) OK() bool { return r.ok }

// Epoch returns the highest epoch that the worker has seen for the shard.
func (r FenceReply) Epoch() int64 { return r.epoch }

// Tasks returns the live tasks of all shards, in the order of their starts.
func (r FenceReply) Tasks() []LiveTask { return r.tasks }

// Ended returns the tasks of all shards that ended after the cursor of the request, oldest first.
func (r FenceReply) Ended() []EndedTask { return r.ended }

// Cursor returns the position of the newest ended task, to be sent with the next fence.
func (r FenceReply) Cursor() int64 { return r.cursor }

// Fence installs the epoch of a shard's owner, renews its lease and reports the worker's tasks. An epoch below the
// highest one seen changes nothing: the reply is then not OK. cursor is the position up to which the owner has read the
// ended tasks. An error means that the request is malformed or that the worker has too many shards.
func (h *Host) Fence(name string, epoch int64, lease anvilclock.Millis, cursor int64) (FenceReply, error) {
	h.Tick()
	switch {
	case name == "" || len(name) > maxText:
		return FenceReply{}, badInput("shard must have between 1 and %d bytes", maxText)
	case epoch < 1:
		return FenceReply{}, badInput("epoch must be positive")
	case lease < 1 || lease > maxLease:
		return FenceReply{}, badInput("lease must be between 1 and %d", maxLease)
	case cursor < 0:
		return FenceReply{}, badInput("cursor must not be negative")
	}
	s := h.shards[name]
	if s == nil {
		if len(h.shards) >= maxShards {
			return FenceReply{}, anvilerror.Refuse(anvilerror.TooLarge, "the worker has too many shards")
		}
		s = &shard{name: name}
		h.shards[name] = s
	}
	if epoch < s.epoch {
		return FenceReply{epoch: s.epoch}, nil
	}
	h.installEpoch(s, epoch)
	now := h.clock.Now()
	s.leased, s.leaseEnd, s.cursor = true, now+lease, cursor
	r := FenceReply{ok: true, epoch: s.epoch, ended: h.ended.after(cursor, now), cursor: h.ended.position, now: now}
	for _, t := range h.live {
		r.tasks = append(r.tasks, LiveTask{req: t.req, state: t.protocolState(), usage: t.usage(now)})
	}
	return r, nil
}

func (h *Host) installEpoch(s *shard, epoch int64) {
	if epoch < s.epoch {
		h.alarm.Violated(ViolatedEpoch, "epoch of a shard fell", "shard", s.name, "from", s.epoch, "to", epoch)
	}
	s.epoch = epoch
}

// expireLeases stops the tasks of shards whose lease has expired, in the order of expiry. The trace dates their end at
// the expiry, because they did no work after it.
func (h *Host) expireLeases(now anvilclock.Millis) {
	var expired []*shard
	for _, s := range h.shards {
		if s.leased && now >= s.leaseEnd {
			s.leased = false
			expired = append(expired, s)
		}
	}
	slices.SortFunc(expired, func(a, b *shard) int {
		return cmp.Or(cmp.Compare(a.leaseEnd, b.leaseEnd), cmp.Compare(a.name, b.name))
	})
	for _, s := range expired {
		for _, t := range h.liveTasks() {
			if t.req.shard == s.name {
				t.endAge = now - s.leaseEnd
				h.stop(t, "lapse", codeLease)
			}
		}
	}
}
