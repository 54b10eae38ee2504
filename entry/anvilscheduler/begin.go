package anvilscheduler

import "anvilhold.org/lib/anviljob"

// beginJob records that a task of a job has begun. A start that was only sent doesn't show that: it can be refused, or lost with its
// worker.
func (l *Loop) beginJob(j *job) {
	if j.machine.State() == string(anviljob.Queued) {
		l.fireJob(j, "begin")
	}
}

// confirmRun records that a worker has confirmed a task's run. A gang has begun once all its tasks are confirmed: its members wait
// for each other.
func (l *Loop) confirmRun(t *task) {
	if t.stage.job.machine.State() != string(anviljob.Queued) {
		return
	}
	if t.stage.step.Gang() {
		for i := range t.stage.size() {
			if member := t.stage.peek(i); member == nil || member.machine.State() != taskRunning {
				return
			}
		}
	}
	l.beginJob(t.stage.job)
}

// showsBegin reports whether the end of a run shows that the run had begun. A stopped one may not have.
func (c Cause) showsBegin() bool { return c == CauseDone || c == CauseFailed }

// resumeBegin restores whether a job has begun when a leader takes over: by the stored state, or by a run that has ended.
// Otherwise the workers' reports will show it.
func (l *Loop) resumeBegin(j *job) {
	if j.final() {
		return
	}
	if j.committedState == anviljob.Running {
		l.beginJob(j)
		return
	}
	if !j.ended.Empty() {
		l.beginJob(j)
		return
	}
	for s := range j.stages() {
		if s.done > 0 || s.failures > 0 {
			l.beginJob(j)
			return
		}
		for t := range s.existing() {
			if t.failures > 0 || t.checkpoint != "" {
				l.beginJob(j)
				return
			}
		}
	}
}
