package anvilsoak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// A task of a long-running job is lost if it has no run for more than absenceBound, counted from restartBound after the end
// of its last run and from calmBound after the end of the last disruption.
const (
	absenceBound = anvilclock.Millis(3000)
	restartBound = anvilclock.Millis(6000)
	calmBound    = anvilclock.Millis(4000)
	// reportedSpan is how long before the end of the last run the disruptions begin that a violation names.
	reportedSpan = anvilclock.Millis(12_000)
)

// absence begins with the end of the last run of a task that has no other run.
type absence struct {
	since  anvilclock.Millis
	run    int
	worker string
	cause  string
}

// disruption is a fault during which, and for a while after which, tasks may be absent. Its end is 0 while it lasts.
type disruption struct {
	begin, end anvilclock.Millis
	text       string
}

// beginDisruption records the begin of a disruption and returns a function that records its end, which is at least span
// after its begin.
func (a *audit) beginDisruption(text string, span time.Duration) func() {
	d := &disruption{text: text}
	a.call(func(a *audit) {
		d.begin = nowMillis()
		a.disruptions = append(a.disruptions, d)
	})
	return func() {
		a.call(func(*audit) { d.end = max(nowMillis(), d.begin+anvilclock.FromDuration(span)) })
	}
}

// removeRun removes a run that has ended. If the task has no other run, its absence begins.
func (a *audit) removeRun(task anviljob.TaskID, worker string, run int, at anvilclock.Millis, cause string) {
	before := len(a.running[task])
	a.running[task] = slices.DeleteFunc(slices.Clone(a.running[task]), func(r *runState) bool {
		return r.worker == worker && r.run == run
	})
	if j := a.jobs[task.Job()]; j != nil && j.job.longRunning && before > 0 && len(a.running[task]) == 0 {
		j.absences[task] = absence{since: at, run: run, worker: worker, cause: cause}
	}
}

// endAbsence checks and ends the absence of a task that starts, if it has no run yet.
func (a *audit) endAbsence(j *jobState, task anviljob.TaskID, at anvilclock.Millis) {
	if away, ok := j.absences[task]; ok {
		a.checkAbsence(j, task, away, at)
		delete(j.absences, task)
	}
}

// checkAbsences checks the tasks of a job that have no run at the end of the soak. Tasks that have never run count as
// absent from the acceptance of the job.
func (a *audit) checkAbsences(j *jobState, at anvilclock.Millis) {
	for s, step := range j.job.steps {
		for i := range step.count {
			task := anviljob.NewTaskID(j.job.id, 0, s, i)
			away, ok := j.absences[task]
			if !ok {
				away = absence{since: j.accepted, cause: "never started"}
			}
			if len(a.running[task]) == 0 {
				a.checkAbsence(j, task, away, at)
			}
		}
	}
}

// checkAbsence checks an absence that lasts at least until the given time.
func (a *audit) checkAbsence(j *jobState, task anviljob.TaskID, away absence, until anvilclock.Millis) {
	if j.accepted == 0 || j.cancelRequested {
		return
	}
	// owed is when the time that the rule bounds begins. Disruptions are sorted by their begin.
	owed := away.since + restartBound
	for _, d := range a.disruptions {
		if min(d.begin, until)-owed > absenceBound {
			break
		}
		end := d.end
		if end == 0 {
			end = until
		}
		owed = max(owed, end+calmBound)
	}
	if until-owed <= absenceBound {
		return
	}
	a.violate("LOST", "long-running %s on queue %s has no run for %s, %s of that owed; run %d on %s ended at %d (%s); faults:%s",
		task, j.job.queue, until-away.since, until-owed, away.run, cmp.Or(away.worker, "no worker"), away.since, away.cause,
		a.disruptionsAround(away.since, until))
}

// disruptionsAround lists the disruptions around an absence, with their times since its begin.
func (a *audit) disruptionsAround(since, until anvilclock.Millis) string {
	var b strings.Builder
	for _, d := range a.disruptions {
		if d.begin < since-reportedSpan || d.begin > until {
			continue
		}
		fmt.Fprintf(&b, " [%s at %s", d.text, d.begin-since)
		if d.end > d.begin+1000 {
			fmt.Fprintf(&b, " to %s", d.end-since)
		}
		b.WriteByte(']')
	}
	return b.String()
}
