package anvilscheduler

import (
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
}

// progressRecord is the progress record of a job. A job's record can outgrow a row, and that of a large job a commit.
type progressRecord struct {
	// segments are in the order of their tasks, those of an occurrence after those of the one before it.
	segments []*segment
	byName   map[anvilstorage.Segment]*segment
	// dirty holds the segments that are dirty, in the order of their changes.
	dirty []*segment
}

// addTasks adds the tasks of the next occurrence to the record.
func (r *progressRecord) addTasks(occurrence int, tasks []*task) {
	if r.byName == nil {
		r.byName = map[anvilstorage.Segment]*segment{}
	}
	for block := 0; len(tasks) > 0; block++ {
		n := min(len(tasks), anvilstorage.SegmentTasks)
		s := &segment{name: anvilstorage.NewSegment(occurrence, block), tasks: tasks[:n:n]}
		for _, t := range s.tasks {
			t.segment = s
		}
		r.segments = append(r.segments, s)
		r.byName[s.name] = s
		tasks = tasks[n:]
	}
}

func (r *progressRecord) markDirty(s *segment) {
	if !s.dirty {
		s.dirty = true
		r.dirty = append(r.dirty, s)
	}
}

// find returns a segment; nil when the job has no such tasks.
func (r *progressRecord) find(name anvilstorage.Segment) *segment { return r.byName[name] }

// storedSegments returns the segments of which the store may have a row.
func (r *progressRecord) storedSegments() []*segment {
	var out []*segment
	for _, s := range r.segments {
		if s.stored {
			out = append(out, s)
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
	run := anvilstorage.NewRun(t.stage.occurrence, t.stage.index, t.id.Index(), phase, t.run)
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
	if len(b.jobs) > 0 && !b.hasSpace(len(j.record.dirty)+1) {
		return false, nil
	}
	if err := l.addSegments(b, j); err != nil {
		return false, err
	}
	j.releaseBindings(b)
	if len(j.record.dirty) > 0 || !b.hasSpace(1) {
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
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.segment.dirty })
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
	s := anvilstorage.NewJobState(j.id(), j.sub.Queue(), j.sub.Team(), state, ended)
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
	for _, s := range j.record.storedSegments() {
		if !b.hasSpace(1) {
			return false, nil
		}
		b.tx.Delete(anvilstorage.Progress, s.name.Key(j.id()))
		s.stored = false
	}
	j.recordDeleted = true
	return true, nil
}
