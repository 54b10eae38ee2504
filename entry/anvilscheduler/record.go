package anvilscheduler

import (
	"cmp"
	"slices"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// segment is a part of a job's progress record that is one row of the store.
type segment struct {
	name  anvilstorage.Segment
	tasks []*task
	// dirty means that the segment has changed since it was last added to a commit, stored that the store has, or may have,
	// a row of it.
	dirty  bool
	stored bool
	// dropped means that the occurrence has ended, and its number stands for its segments.
	dropped bool
}

// add adds a task to the segment, in the order of the tasks.
func (s *segment) add(t *task) {
	at, _ := slices.BinarySearchFunc(s.tasks, t, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.stage.index, b.stage.index), cmp.Compare(a.id.Index(), b.id.Index()))
	})
	s.tasks = slices.Insert(s.tasks, at, t)
	t.segment = s
}

// progressRecord is the progress record of a job. A job's record can outgrow a row, and that of a large job a commit.
type progressRecord struct {
	// dirty holds the segments that are dirty, in the order of their changes.
	dirty []*segment
	// obsolete holds the segments of ended occurrences of which the store may have rows.
	obsolete []anvilstorage.Segment
	// endedDirty means that the set of ended occurrences has changed since it was last added to a commit, endedStored that the
	// store has, or may have, a row of it.
	endedDirty  bool
	endedStored bool
}

// dropOccurrence replaces the segments of an ended occurrence by its number.
func (r *progressRecord) dropOccurrence(o *occurrence) {
	for _, s := range o.segments {
		if s == nil {
			continue
		}
		s.dropped = true
		if s.dirty {
			r.dirty = slices.DeleteFunc(r.dirty, func(d *segment) bool { return d == s })
			s.dirty = false
		}
		if s.stored {
			r.obsolete = append(r.obsolete, s.name)
		}
	}
	r.endedDirty = true
}

func (r *progressRecord) markDirty(s *segment) {
	if !s.dirty && !s.dropped {
		s.dirty = true
		r.dirty = append(r.dirty, s)
	}
}

// findSegment returns the segment with a name; nil when no live occurrence of the job has it.
func (j *job) findSegment(name anvilstorage.Segment) *segment {
	o := j.occurrence(name.Occurrence())
	if o == nil || name.Block() >= len(o.segments) {
		return nil
	}
	return o.segment(name.Block())
}

// segments returns the segments of the live occurrences in which a task exists, or of which the store may have a row.
func (j *job) segments() []*segment {
	var out []*segment
	for _, o := range j.live {
		for _, s := range o.segments {
			if s != nil {
				out = append(out, s)
			}
		}
	}
	return out
}

// runs returns the stored form of the segment's tasks. Tasks without a run are not in it.
func (s *segment) runs() []anvilstorage.Run {
	var out []anvilstorage.Run
	for _, t := range s.tasks {
		if t.run != 0 {
			out = append(out, t.storedRun())
		}
	}
	return out
}

func (t *task) storedRun() anvilstorage.Run {
	phase, worker := anvilstorage.Bound, ""
	switch t.machine.State() {
	case taskWaiting, "failed", "dropped":
		phase = anvilstorage.Waiting
	case taskDone:
		phase = anvilstorage.Done
	default:
		worker = t.worker.id()
	}
	if t.formerDone {
		phase, worker = anvilstorage.Done, ""
	}
	failures, failed := t.failures, t.lastFailedRun
	if t.stage.step.Gang() {
		failures, failed = t.stage.failures, t.stage.lastFailedRun
	}
	run := anvilstorage.NewRun(t.stage.occurrence.number, t.stage.index, t.id.Index(), phase, t.run)
	incarnation := t.incarnation
	if t.worker != nil && t.worker.formerIncarnation != 0 {
		incarnation = t.worker.formerIncarnation
	}
	return run.WithFailures(failures, failed).WithWorker(worker, incarnation).WithCheckpoint(t.checkpoint)
}

// markRunChanged queues the stored form of a task for the next commit.
func (l *Loop) markRunChanged(t *task) {
	t.stage.job.record.markDirty(t.segment)
	l.markChanged(t.stage.job)
}

// maxCommitBytes is the size of a commit above which no other row is added. A smaller commit takes less time on the links
// between regions.
const maxCommitBytes = anvilstorage.MaxBytes / 2

// hasSpace reports whether n more entries fit into the commit.
func (b *batch) hasSpace(n int) bool {
	return b.tx.Len()+n <= anvilstorage.MaxEntries && b.tx.Size() < maxCommitBytes
}

// addJob adds what has changed of a job to a commit, and reports whether that is all of it. The rest of a job that is too
// large for one commit follows in the next ones, in an order that lets a successor continue at any point: runs before the
// state of the job, and the state before the removal of the record.
func (l *Loop) addJob(b *batch, j *job, now anvilclock.Millis) (complete bool, err error) {
	if state := anviljob.State(j.machine.State()); state.Ended() && j.bound == 0 {
		return l.addEnd(b, j, now)
	}
	// A job whose changes may not fit waits for the next commit, so that a gang is seldom stored in parts.
	if len(b.jobs) > 0 && !b.hasSpace(j.record.entries()+1) {
		return false, nil
	}
	if err := l.addSegments(b, j); err != nil {
		return false, err
	}
	j.releaseBindings(b)
	if err := l.addEnded(b, j); err != nil {
		return false, err
	}
	if j.record.entries() > 0 || !b.hasSpace(1) {
		return false, nil
	}
	return true, l.addState(b, j, now)
}

// addSegments adds the dirty segments of a job to a commit, as many as fit.
func (l *Loop) addSegments(b *batch, j *job) error {
	r := &j.record
	for len(r.dirty) > 0 && b.hasSpace(1) {
		s := r.dirty[0]
		row, err := anvilstorage.ProgressRow(j.id(), s.name, s.runs())
		if err != nil {
			return err
		}
		b.tx.Set(row)
		s.dirty, s.stored = false, true
		r.dirty = r.dirty[1:]
	}
	return nil
}

// entries returns how many entries a commit of what has changed takes.
func (r *progressRecord) entries() int {
	n := len(r.dirty) + len(r.obsolete)
	if r.endedDirty {
		n++
	}
	return n
}

// addEnded adds the set of ended occurrences of a job to a commit, and removes as many of their segments as fit.
func (l *Loop) addEnded(b *batch, j *job) error {
	r := &j.record
	if r.endedDirty && b.hasSpace(1) {
		row, err := anvilstorage.EndedRow(j.id(), &j.ended)
		if err != nil {
			return err
		}
		b.tx.Set(row)
		r.endedDirty, r.endedStored = false, true
	}
	if !r.endedDirty {
		j.removeObsolete(b)
	}
	return nil
}

// removeObsolete removes as many segments of ended occurrences as fit into a commit.
func (j *job) removeObsolete(b *batch) {
	r := &j.record
	for len(r.obsolete) > 0 && b.hasSpace(1) {
		b.tx.Delete(anvilstorage.Progress, r.obsolete[0].Key(j.id()))
		r.obsolete = r.obsolete[1:]
	}
}

// releaseBindings adds the new bindings of a job to a commit that stores them, those of a gang when all are stored.
func (j *job) releaseBindings(b *batch) {
	kept := j.unstoredBindings[:0]
	for _, t := range j.unstoredBindings {
		if t.segment.dirty || (t.stage.step.Gang() && t.stage.hasDirtySegment()) {
			kept = append(kept, t)
			continue
		}
		b.bindings = append(b.bindings, binding{task: t, run: t.run})
	}
	j.unstoredBindings = kept
}

// hasDirtySegment reports whether a change of one of the stage's tasks is not in a commit yet.
func (s *stage) hasDirtySegment() bool {
	for t := range s.existing() {
		if t.segment.dirty {
			return true
		}
	}
	return false
}

// addState adds the state of a job to a commit if it has changed. There must be space for it.
func (l *Loop) addState(b *batch, j *job, now anvilclock.Millis) error {
	state := anviljob.State(j.machine.State())
	if state == j.committedState {
		return nil
	}
	ended := anvilclock.Millis(0)
	if state.Ended() {
		ended = l.storeNow(now)
	}
	s := anvilstorage.NewJobState(j.id(), j.sub.Queue(), j.sub.Team(), state, ended).WithAddress(j.sub.Address())
	row, err := anvilstorage.StateRow(s)
	if err != nil {
		return err
	}
	b.tx.Set(row)
	b.states = append(b.states, stateWrite{job: j, state: s, row: row})
	j.committedState = state
	return nil
}

// addEnd adds the final state of a job without runs to a commit, and removes its record, or as much of it as fits.
func (l *Loop) addEnd(b *batch, j *job, now anvilclock.Millis) (complete bool, err error) {
	if !b.hasSpace(1) {
		return false, nil
	}
	if err := l.addState(b, j, now); err != nil {
		return false, err
	}
	// The number of an ended occurrence is removed after its segments: without it, they would count as progress.
	if j.removeObsolete(b); len(j.record.obsolete) > 0 {
		return false, nil
	}
	for _, s := range j.segments() {
		if !s.stored {
			continue
		}
		if !b.hasSpace(1) {
			return false, nil
		}
		b.tx.Delete(anvilstorage.Progress, s.name.Key(j.id()))
		s.stored = false
	}
	if j.record.endedStored {
		if !b.hasSpace(1) {
			return false, nil
		}
		b.tx.Delete(anvilstorage.Progress, anvilstorage.EndedKey(j.id()))
		j.record.endedStored = false
	}
	j.recordDeleted = true
	return true, nil
}
