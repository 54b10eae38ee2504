package anvilscheduler

import (
	"maps"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
)

// cleaning is the leader's removal of rows that are no longer needed.
type cleaning struct {
	// jobs are the ids of ended jobs whose submissions are still to be removed.
	jobs []string
	// inFlight means that a removal has no answer yet; last is when the last one was sent, and backlog whether it had to
	// leave rows that could have been removed.
	inFlight bool
	last     anvilclock.Millis
	backlog  bool
	// removed holds when the states of jobs were removed, for removedRetention: a read of the submissions that began before the removal
	// may be processed after it.
	removed map[string]anvilclock.Millis
}

func (c *cleaning) addJob(id string) { c.jobs = append(c.jobs, id) }

func (c *cleaning) interval() anvilclock.Millis {
	if c.backlog {
		return busyCleanInterval
	}
	return cleanInterval
}

// removal holds the transactions of a removal, one for each partition. The one of calls is sent first, and the other one
// only when the first one is known to be applied.
type removal struct {
	calls *anvilstorage.Tx
	fleet *anvilstorage.Tx
	jobs  []string
	// submissions are the ids of the jobs whose submissions are removed. A job can be among those of both reasons.
	submissions map[string]bool
}

// cleanRows removes what is no longer needed: submissions of ended jobs, old states, old cancellations without a job, and the
// rows of superseded instances. If a removal fails, a later one removes its submissions and states.
func (l *Loop) cleanRows(now anvilclock.Millis) {
	c := &l.workload.cleaning
	if c.inFlight || now-c.last < c.interval() {
		return
	}
	c.last = now
	r := l.nextRemoval(now)
	if r.calls.Len() == 0 {
		return
	}
	c.inFlight = true
	m := cleanAnswered{token: l.leadership.token, jobs: r.jobs}
	ctx, store := l.leadershipContext(), l.store
	l.spawn(func() {
		for _, tx := range []*anvilstorage.Tx{r.calls, r.fleet} {
			if tx.Len() > 0 && m.err == nil {
				_, m.err = commitWithTimeout(ctx, store, tx)
			}
		}
		l.post(m)
	})
}

// nextRemoval returns the rows to remove next, and records whether it had to leave some.
func (l *Loop) nextRemoval(now anvilclock.Millis) removal {
	c := &l.workload.cleaning
	maps.DeleteFunc(c.removed, func(_ string, at anvilclock.Millis) bool { return now-at > removedRetention })
	r := removal{
		calls: anvilstorage.NewTx(anvilstorage.CallsPartition), fleet: anvilstorage.NewTx(anvilstorage.FleetPartition),
		submissions: map[string]bool{},
	}
	c.backlog = l.removeOldStates(&r, now)
	for len(l.proxies.superseded) > 0 && r.calls.Len() < maxCleanEntries {
		r.calls.Delete(anvilstorage.Instances, l.proxies.superseded[0])
		l.proxies.superseded = l.proxies.superseded[1:]
	}
	l.removeOldCancels(&r, now)
	for len(c.jobs) > 0 && r.calls.Len()+2 <= maxCleanEntries {
		r.removeSubmission(c.jobs[0])
		r.jobs = append(r.jobs, c.jobs[0])
		c.jobs = c.jobs[1:]
	}
	c.backlog = c.backlog || len(c.jobs) > 0
	return r
}

// removeOldStates adds states of jobs that ended more than endedRetention ago to a removal, and reports whether there are
// more. A job's state shows that the job has ended, so it is removed only together with the submission or after it:
// otherwise the next full read of the submissions would start the job again.
func (l *Loop) removeOldStates(r *removal, now anvilclock.Millis) (more bool) {
	for _, s := range l.directory.Ended() {
		if l.storeNow(now)-s.Ended() <= endedRetention || l.workload.jobs[s.ID()] != nil {
			continue
		}
		if r.fleet.Len() == maxCleanStates {
			return true
		}
		l.workload.cleaning.removed[s.ID()] = now
		r.removeSubmission(s.ID())
		r.calls.Delete(anvilstorage.States, s.ID())
		r.fleet.Delete(anvilstorage.States, s.ID())
	}
	return false
}

// removeOldCancels adds cancellations of jobs that were never submitted to a removal.
func (l *Loop) removeOldCancels(r *removal, now anvilclock.Millis) {
	for id, pending := range l.workload.pendingCancels {
		if now-pending[len(pending)-1].readAt > endedRetention && r.calls.Len() < maxCleanEntries {
			r.calls.Delete(anvilstorage.Intake, anvilstorage.CancelKey(id))
			delete(l.workload.pendingCancels, id)
		}
	}
}

func (r *removal) removeSubmission(id string) {
	if r.submissions[id] {
		return
	}
	r.submissions[id] = true
	r.calls.Delete(anvilstorage.Intake, id)
	r.calls.Delete(anvilstorage.Intake, anvilstorage.CancelKey(id))
}

func (m cleanAnswered) deliver(l *Loop) {
	if m.token != l.leadership.token {
		return
	}
	c := &l.workload.cleaning
	c.inFlight = false
	if m.err != nil {
		c.jobs = append(c.jobs, m.jobs...)
		l.log.Record(anvilevent.StoreFailed, "during", "clean", "error", m.err.Error())
	}
}
