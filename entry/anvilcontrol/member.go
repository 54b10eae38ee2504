package anvilcontrol

import (
	"cmp"
	"slices"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilshard"
	"anvilhold.org/lib/anviltask"
)

// maxClockSkew is how far the clock of a caller, which sets the time in an id, may be ahead of this instance's clock.
const maxClockSkew = anvilclock.Millis(5000)

// extendRecordGap records that a worker's process, and with it the worker's records of ended tasks, is lost. This
// instance still has the records in memory, but the next owner must answer that the outcome is unknown for ids up to
// now.
func (l *Loop) extendRecordGap(s *shard) {
	gap := l.clock.Unix() + maxClockSkew
	if !s.reconciled {
		l.record.AddGap(s.name, gap)
	}
	s.recordGap = max(s.recordGap, gap)
}

// isMember reports whether the shard's row lists the current process of the worker.
func (l *Loop) isMember(w *worker) bool {
	row, _ := l.directory.Shard(w.shard.name)
	for _, m := range row.Members() {
		if m.Worker() == w.resources.ID() {
			return m.Boot() == w.boot && w.boot != ""
		}
	}
	return false
}

// updateMembers writes the list of members in the shard's row if it has changed, so that the next owner knows every
// worker that may run a task of the shard. A worker gets tasks only while it is listed.
func (l *Loop) updateMembers(s *shard) {
	if s.updatingMembers || !s.open() {
		return
	}
	row, _ := l.directory.Shard(s.name)
	members := s.members()
	if slices.Equal(members, row.Members()) && s.recordGap == row.GapUntil() {
		return
	}
	s.updatingMembers = true
	next := row.WithMembers(members, s.recordGap)
	key := anvilrow.ShardPrefix + s.name
	l.commit(newCommit(anviltask.NewID(), []Check{checkRow(key, row.RowVersion())},
		[]anvilrow.Row{anvilrow.New(key, anvilrow.NewShard(next))}, nil), membersCall{shard: s, row: next})
}

// members returns the workers whose lease has not expired, in the order of their ids.
func (s *shard) members() []anvilshard.Member {
	var out []anvilshard.Member
	for _, w := range s.workers {
		if state := w.machine.State(); w.boot != "" && state != workerExpired {
			out = append(out, anvilshard.NewMember(w.resources.ID(), w.resources.Addr(), w.boot, w.resources.Capacity()))
		}
	}
	slices.SortFunc(out, func(a, b anvilshard.Member) int { return cmp.Compare(a.Worker(), b.Worker()) })
	return out
}

// membersCall waits for the commit of a shard's members.
type membersCall struct {
	shard *shard
	row   anvilshard.Shard
}

func (c membersCall) committed(l *Loop, m Committed) {
	c.shard.updatingMembers = false
	switch {
	case m.err != nil:
		// The next read of the row shows whether it was written.
		return
	case !m.ok:
		if v, ok := m.conflict.Value().(anvilrow.Shard); ok {
			l.putShard(v.Shard())
		}
		return
	}
	l.putShard(c.row.WithOwner(c.row.Owner(), c.row.Epoch(), m.version))
	l.updateWorkers(c.shard)
}

// updateWorkers updates which workers of a shard take new tasks.
func (l *Loop) updateWorkers(s *shard) {
	for _, w := range s.workers {
		l.updateSchedulable(w)
	}
}
