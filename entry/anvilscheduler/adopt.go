package anvilscheduler

import (
	"cmp"
	"slices"
	"strings"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anviljob"
)

// adoptJobs rebuilds the jobs from the store and returns the cancellations.
func (l *Loop) adoptJobs(intake, progress anvilstorage.Page) map[string]bool {
	l.work.storeOffset = intake.Now() - l.clock.Now()
	cancels := map[string]bool{}
	open := make(map[string]bool, len(progress.Rows()))
	for _, r := range progress.Rows() {
		open[r.Key()] = true
	}
	var subs []*anviljob.Submission
	for _, r := range intake.Rows() {
		if id, ok := anvilstorage.CancelledID(r.Key()); ok {
			cancels[id] = true
			continue
		}
		if s, ok := l.directory.Find(r.Key()); ok && s.State().Ended() && !open[r.Key()] {
			l.work.spent = append(l.work.spent, r.Key())
			continue
		}
		sub, err := anvilstorage.ParseSubmission(r)
		if err != nil {
			l.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.Intake), "key", r.Key())
			continue
		}
		subs = append(subs, sub)
	}
	slices.SortFunc(subs, func(a, b *anviljob.Submission) int {
		return cmp.Or(cmp.Compare(a.At(), b.At()), strings.Compare(a.ID(), b.ID()))
	})
	for _, sub := range subs {
		l.admit(sub)
	}
	for _, r := range progress.Rows() {
		j := l.work.jobs[r.Key()]
		if j == nil {
			continue
		}
		runs, err := anvilstorage.ParseProgress(r)
		if err != nil {
			l.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.Progress), "key", r.Key())
			continue
		}
		l.adoptRuns(j, runs)
	}
	return cancels
}

// resumeJobs goes on with adopted jobs once their runs are bound to workers.
func (l *Loop) resumeJobs(cancels map[string]bool) {
	for _, j := range l.work.jobs {
		// The job may have ended in the last commits of the former leader.
		if s, ok := l.directory.Find(j.id()); ok {
			j.stored = s.State()
			if s.State().Ended() {
				l.resumeEnd(j, s.State())
			}
		}
		l.resumeFailed(j)
		l.offer(j)
		l.checkFinished(j)
	}
	for id := range cancels {
		l.cancel(id)
	}
}

// resumeFailed fails a job with a task that has no attempts left.
func (l *Loop) resumeFailed(j *job) {
	for _, t := range j.tasks() {
		if !j.over() && t.machine.State() == taskWaiting && t.spent() {
			l.fireJob(j, "fail")
			l.mark(j)
		}
	}
}

// resumeEnd brings a job whose end is stored, but whose runs were still being stopped, to that end.
func (l *Loop) resumeEnd(j *job, state anviljob.State) {
	switch state {
	case anviljob.Failed:
		l.fireJob(j, "fail")
	case anviljob.Cancelled:
		j.cancelled = true
		l.fireJob(j, "cancel")
	default:
	}
	l.mark(j)
}

func (l *Loop) adoptRuns(j *job, runs []anvilstorage.Run) {
	for _, r := range runs {
		for r.Occurrence() >= j.due && j.due < j.sub.Spec().Repeat().Count() {
			l.layOut(j)
		}
		t := l.findTask(anviljob.NewTaskID(j.id(), r.Occurrence(), r.Step(), r.Index()))
		if t == nil {
			continue
		}
		t.run, t.failures, t.failedRun, t.checkpoint, t.incarnation = r.Number(), r.Failures(), r.LastFailed(), r.Checkpoint(), r.Incarnation()
		s := t.stage
		if s.step.Gang() {
			s.failures, s.failedRun = max(s.failures, r.Failures()), max(s.failedRun, r.LastFailed())
			if r.Checkpoint() != "" {
				s.checkpoint = r.Checkpoint()
			}
		}
		switch r.Phase() {
		case anvilstorage.Done:
			l.fireTask(t, "done")
		case anvilstorage.Bound:
			t.adopted = r.Worker()
		default:
		}
	}
	if len(runs) > 0 && !j.over() {
		l.fireJob(j, "begin")
	}
}

// attach binds an adopted run to its worker.
func (l *Loop) attach(t *task, w *worker) {
	// The worker may be in a later incarnation. It knows nothing of what ran before, but may have carried out a start that
	// was meant for the earlier one, as its first report will tell.
	t.incarnation = w.registration.incarnation
	t.worker, t.began = w, l.clock.Now()
	t.machine = l.charts.task.NewMachine()
	l.fireTask(t, "place")
	l.fireTask(t, "committed")
}
