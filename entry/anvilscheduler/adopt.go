package anvilscheduler

import (
	"cmp"
	"slices"
	"strings"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
)

// adoptJobs restores the jobs from the stored submissions and progress records, and returns the cancellations.
func (l *Loop) adoptJobs(intake, progress anvilstorage.Page) []anvilstorage.Cancellation {
	l.workload.storeOffset = intake.Now() - l.clock.Now()
	var cancels []anvilstorage.Cancellation
	unfinished := unfinishedJobs(progress)
	var submissions []*anviljob.Submission
	queues := map[string]*anvilpolicy.Queue{}
	for _, r := range intake.Rows() {
		if c, ok := anvilstorage.ParseCancellation(r); ok {
			cancels = append(cancels, c)
			continue
		}
		if s, ok := l.directory.Find(r.Key()); ok && s.State().Ended() && !unfinished[r.Key()] {
			l.workload.cleaning.addJob(r.Key())
			continue
		}
		sub, err := parseIntake(r, unfinished[r.Key()])
		if err != nil {
			l.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.Intake), "key", r.Key())
			continue
		}
		submissions = append(submissions, sub)
		if q := anvilstorage.ParseSubmittedQueue(r); q != nil {
			queues[sub.ID()] = q
		}
	}
	slices.SortFunc(submissions, func(a, b *anviljob.Submission) int {
		return cmp.Or(cmp.Compare(a.At(), b.At()), strings.Compare(a.ID(), b.ID()))
	})
	for _, sub := range submissions {
		l.admit(sub, queues[sub.ID()], unfinished[sub.ID()])
	}
	l.adoptRows(progress)
	for _, j := range l.workload.jobs {
		l.completeAdoptedGangs(j)
	}
	return cancels
}

// unfinishedJobs returns the ids of the jobs that have rows of the progress table.
func unfinishedJobs(progress anvilstorage.Page) map[string]bool {
	out := make(map[string]bool, len(progress.Rows()))
	for _, r := range progress.Rows() {
		if id, ok := anvilstorage.ParseEndedKey(r.Key()); ok {
			out[id] = true
		} else if id, _, err := anvilstorage.ParseProgressKey(r.Key()); err == nil {
			out[id] = true
		}
	}
	return out
}

// parseIntake returns the submission in a row of which perhaps only the head was read, which isn't enough for a job with progress.
func parseIntake(r anvilstorage.Row, progress bool) (*anviljob.Submission, error) {
	if sub, ok := anvilstorage.ParseHead(r); ok && !progress {
		return sub, nil
	}
	return anvilstorage.ParseSubmission(r)
}

// adoptRows restores the progress of the jobs: first which occurrences have ended, whose other rows don't count.
func (l *Loop) adoptRows(progress anvilstorage.Page) {
	var segments []anvilstorage.Row
	for _, r := range progress.Rows() {
		id, ok := anvilstorage.ParseEndedKey(r.Key())
		if !ok {
			segments = append(segments, r)
		} else if err := l.adoptEnded(id, r); err != nil {
			l.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.Progress), "key", r.Key())
		}
	}
	for _, r := range segments {
		if err := l.adoptProgress(r); err != nil {
			l.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.Progress), "key", r.Key())
		}
	}
}

// adoptEnded restores the ended occurrences of a timed job.
func (l *Loop) adoptEnded(id string, r anvilstorage.Row) error {
	j := l.workload.jobs[id]
	if j == nil {
		return nil
	}
	j.record.endedStored = true
	repeat := j.sub.Spec().Repeat()
	if !repeat.Timed() {
		return nil
	}
	ended, err := anvilstorage.ParseEnded(r, repeat.Count())
	if err != nil {
		return err
	}
	j.ended = *ended
	j.advance()
	return nil
}

// completeAdoptedGangs ends the gangs of an adopted job that are stored as done in part: the rows of a large gang can be in
// several commits, and its tasks succeed together.
func (l *Loop) completeAdoptedGangs(j *job) {
	for s := range j.stages() {
		if !s.step.Gang() || s.done == 0 || s.done == s.size() {
			continue
		}
		for _, t := range s.all() {
			if !t.machine.Final() {
				t.adoptedFrom = ""
				l.fireTask(t, "done")
			}
		}
	}
}

// resumeJobs continues adopted jobs, once their runs are bound to workers.
func (l *Loop) resumeJobs(cancels []anvilstorage.Cancellation) {
	for _, j := range l.workload.jobs {
		// The job may have ended in the last commits of the former leader.
		if s, ok := l.directory.Find(j.id()); ok {
			j.committedState = s.State()
			if s.State().Ended() {
				l.resumeEnd(j, s.State())
			}
		}
		l.resumeBegin(j)
		l.resumeFailed(j)
		l.markLiveReady(j)
		l.checkFinished(j)
	}
	for _, c := range cancels {
		l.cancel(c)
	}
}

// resumeFailed fails a job that has a task without attempts left: its failure may not have been stored as the job's
// state.
func (l *Loop) resumeFailed(j *job) {
	for _, t := range j.tasks() {
		if !j.final() && t.machine.State() == taskWaiting && t.attemptsExhausted() {
			l.fireJob(j, "fail")
			l.markChanged(j)
		}
	}
}

// resumeEnd ends a job whose end is stored, but whose runs were still being stopped.
func (l *Loop) resumeEnd(j *job, state anviljob.State) {
	switch state {
	case anviljob.Failed:
		l.fireJob(j, "fail")
	case anviljob.Cancelled:
		j.cancelled = true
		l.fireJob(j, "cancel")
	case anviljob.Completed:
		// All runs were stored before the state. The record may be removed in part, so that tasks seem not to have run.
		l.fireJob(j, "finish")
		for _, t := range j.tasks() {
			l.fireTask(t, "cancel")
		}
	default:
	}
	l.markChanged(j)
}

// adoptProgress restores tasks from a row of the progress table. Rows of unknown jobs are ignored.
func (l *Loop) adoptProgress(r anvilstorage.Row) error {
	id, name, err := anvilstorage.ParseProgressKey(r.Key())
	if err != nil {
		return err
	}
	j := l.workload.jobs[id]
	if j == nil {
		return nil
	}
	if j.ended.Contains(name.Occurrence()) {
		j.record.obsolete = append(j.record.obsolete, name)
		l.markChanged(j)
		return nil
	}
	runs, err := anvilstorage.ParseProgress(r)
	if err != nil {
		return err
	}
	l.adoptOccurrences(j, runs)
	if s := j.findSegment(name); s != nil {
		s.stored = true
	}
	l.adoptRuns(j, runs)
	for _, run := range runs {
		t := l.findTask(anviljob.NewTaskID(id, run.Occurrence(), run.Step(), run.Index()))
		if t != nil && t.segment.name != name {
			// The former layout has all tasks of a job in one row. The next commits write the job's rows anew.
			for _, s := range j.segments() {
				j.record.markDirty(s)
			}
			l.markChanged(j)
			break
		}
	}
	return nil
}

// adoptOccurrences makes the occurrences that a part of the job's progress record names.
func (l *Loop) adoptOccurrences(j *job, runs []anvilstorage.Run) {
	for _, r := range runs {
		n := r.Occurrence()
		if n >= 0 && n < j.sub.Spec().Repeat().Count() && j.occurrence(n) == nil && !j.ended.Contains(n) {
			l.addOccurrence(j, n)
		}
	}
}

// adoptRuns restores the tasks of a job from a part of its progress record.
func (l *Loop) adoptRuns(j *job, runs []anvilstorage.Run) {
	for _, r := range runs {
		t := l.findTask(anviljob.NewTaskID(j.id(), r.Occurrence(), r.Step(), r.Index()))
		if t == nil {
			continue
		}
		t.stage.occurrence.begin()
		t.run, t.failures, t.lastFailedRun, t.checkpoint, t.incarnation = r.Number(), r.Failures(), r.LastFailed(), r.Checkpoint(), r.Incarnation()
		s := t.stage
		if s.step.Gang() {
			s.failures, s.lastFailedRun = max(s.failures, r.Failures()), max(s.lastFailedRun, r.LastFailed())
			if r.Checkpoint() != "" {
				s.checkpoint = r.Checkpoint()
			}
		}
		switch r.Phase() {
		case anvilstorage.Done:
			l.fireTask(t, "done")
		case anvilstorage.Bound:
			t.adoptedFrom = r.Worker()
		default:
		}
	}
}

// attach binds an adopted run to its worker.
func (l *Loop) attach(t *task, w *worker) {
	// The worker may have a newer incarnation than the record names. That one knows none of the earlier runs, but may have
	// received a start that was meant for the earlier incarnation. Its first report shows which runs it has.
	if t.incarnation != 0 && t.incarnation != w.registration.incarnation {
		// The former leader may have named the end of a lease on the clock of the earlier incarnation.
		w.recordRestart(l.extendedUntil(l.clock.Now()))
	}
	t.incarnation = w.registration.incarnation
	t.worker, t.startedAt = w, l.clock.Now()
	t.machine = l.charts.task.NewMachine()
	l.fireTask(t, "place")
	l.fireTask(t, "committed")
	// The former leader may not have got an answer to the start.
	t.lastStart = l.extendedUntil(l.clock.Now())
	w.recordNoAnswer(startKey{t, t.run}, l.clock.Now())
}
