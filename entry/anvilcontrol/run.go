package anvilcontrol

import (
	"fmt"
	"strings"

	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// States of the run chart that the code refers to.
const (
	runSent        = "sent"
	runHeld        = "held"
	runRunning     = "running"
	runUnconfirmed = "doubtful"
	runEnded       = "ended"
)

// outcome is how a run ended; the values are events of the task chart.
type outcome string

const (
	outcomeDone         outcome = "done"
	outcomeFailed       outcome = "failed"
	outcomeStopped      outcome = "stopped"
	outcomeCheckpointed outcome = "checkpointed"
	outcomeNotRun       outcome = "notrun"
	outcomeLost         outcome = "gone"
)

// States of tasks that workers report.
const (
	reportDone         = "done"
	reportFailed       = "failed"
	reportStopped      = "stopped"
	reportCheckpointed = "checkpointed"
	reportNotRun       = "not-run"
	reportRunning      = "running"
	reportHeld         = "held"
)

// reportedOutcomes maps the end states that workers report to outcomes.
var reportedOutcomes = map[string]outcome{
	reportDone: outcomeDone, reportFailed: outcomeFailed, reportStopped: outcomeStopped,
	reportCheckpointed: outcomeCheckpointed, reportNotRun: outcomeNotRun,
}

// run is one start of a task at a worker.
type run struct {
	id        string
	job       *job // nil for a run of an earlier owner that belongs to no job here
	worker    *worker
	machine   anvilchart.Machine
	team      string
	workspace string
	kind      anviltask.Kind
	size      anvilsize.Size
	once      bool
	epoch     int64
	boot      string

	confirmed       bool
	confirmedAt     anvilclock.Millis
	startInFlight   bool // the start has not been answered
	controlInFlight bool // a control request has not been answered
	checkpointing   bool // a checkpoint was requested
	charged         bool // its size is charged to the team's allocation
	detached        bool // the shard was lost, so the run is no longer accounted for here
	reportedEnd     *EndedTask

	outcome outcome
	code    string
	reason  string
	answer  []byte
}

// checkpointable reports whether the run can be checkpointed and continued at another worker.
func (r *run) checkpointable() bool {
	return r.machine.State() == runRunning && r.kind == anviltask.Batch && !r.once
}

// expectedEnd returns when the run should end according to its declared run time. An overdue run is expected to take
// as long again as it is overdue. A run without a declared time is expected to take assumedRunTime from now.
func (r *run) expectedEnd(now anvilclock.Millis) anvilclock.Millis {
	if r.job == nil || r.job.task.RunTime() == 0 || !r.confirmed {
		return now + assumedRunTime
	}
	end := r.confirmedAt + r.job.task.RunTime()
	if end < now {
		end = now + (now - end)
	}
	return end
}

// assumedRunTime is the remaining run time of a task that declares none.
const assumedRunTime = anvilclock.Millis(3_600_000)

func (r *run) setEnd(o outcome, code, reason string, answer []byte) {
	r.outcome, r.code, r.reason, r.answer = o, code, reason, answer
}

func (l *Loop) bindRun() *anvilchart.Binding[*run] {
	return anvilchart.NewBinding(map[string]func(*run){
		"release": l.releaseRun,
		"report":  l.notifyJob,
		"stop":    func(r *run) { l.sendControl(r, Stop) },
		"go":      func(r *run) { l.sendControl(r, Go) },
		"doubt":   l.markUnconfirmed,
	}, nil)
}

// runID returns the id under which a worker knows a run. It contains the epoch and a sequence number, so that a task
// that is started again isn't mistaken for its former run.
func (l *Loop) runID(j *job, index int, epoch int64) string {
	l.runSeq++
	member := j.task.ID()
	if j.task.Count() > 1 {
		member = fmt.Sprintf("%s.%d", member, index)
	}
	return fmt.Sprintf("%s/%d.%d", member, epoch, l.runSeq)
}

// taskID returns the id of the task in a run's id.
func taskID(runID string) string {
	member, _, _ := strings.Cut(runID, "/")
	id, _, _ := strings.Cut(member, ".")
	return id
}

// startRun reserves capacity at a worker and sends the start.
func (l *Loop) startRun(j *job, index int, w *worker) {
	r := &run{
		id: l.runID(j, index, w.shard.epoch), job: j, worker: w, machine: l.charts.run.NewMachine(),
		team: j.task.Team(), workspace: j.task.Workspace(), kind: j.task.Kind(), size: j.task.Size(),
		once: j.task.NonIdempotent(), epoch: w.shard.epoch, boot: w.boot, startInFlight: true,
	}
	err := w.resources.Reserve(r.size)
	l.invariants.Check(err == nil, "capacity", "worker %s: %v", w.resources.ID(), err)
	if r.team != "" {
		r.charged = l.ledger.Account(w.shard.name, r.team).Reserve(r.size)
		l.invariants.Check(r.charged, "limit", "the allocation of team %s in shard %s has no capacity for %s", r.team, w.shard.name, r.size)
	}
	l.registerRun(r)
	j.runs = append(j.runs, r)
	if r.kind == anviltask.Call {
		w.shard.callsInFlight++
	}
	if w.probing {
		w.probing = false
		l.updateSchedulable(w)
	}
	ref := l.calls.ref()
	l.calls.starts[ref] = r
	l.backends.Start(ref, w.resources.Addr(), Start{
		shard: w.shard.name, epoch: r.epoch, id: r.id, job: j.task.ID(), task: j.task,
		hold: j.task.Count() > 1, checkpoint: j.checkpoint, until: w.startDeadline(l.clock.Now()),
	})
}

// registerRun adds a run to its worker and charges it to the team's share. Its capacity is already reserved.
func (l *Loop) registerRun(r *run) {
	r.worker.runs[r.id] = r
	l.index.Update(r.worker.resources)
	if r.team != "" {
		l.share.Charge(r.team, r.workspace, r.size)
	}
}

// adoptRun adds a run that an earlier owner started.
func (l *Loop) adoptRun(w *worker, t RunningTask) {
	r := &run{
		id: t.id, worker: w, machine: l.charts.run.NewMachine(), team: t.team, kind: t.kind, size: t.size,
		once: t.once, epoch: w.shard.epoch, boot: w.boot, confirmed: true, confirmedAt: l.clock.Now(),
	}
	w.resources.Adopt(r.size)
	l.chargeAllocation(r)
	l.registerRun(r)
	l.log.Record(anvilevent.TaskAdopted, "task", r.id, "worker", w.resources.ID(), "team", r.team)
	if r.once && r.kind == anviltask.Call {
		l.recordRunning(w.shard, r.team, taskID(r.id))
	}
	if t.state == runHeld {
		l.fireRun(r, "held")
	} else {
		l.fireRun(r, "running")
	}
	if s := w.shard; !s.reconciled && s.adoptedRuns != nil {
		s.adoptedRuns[taskID(r.id)] = append(s.adoptedRuns[taskID(r.id)], r)
	}
}

// releaseRun releases the run's capacity at the worker and in the allocation, and refunds the team's share.
func (l *Loop) releaseRun(r *run) {
	if r.detached {
		return
	}
	delete(r.worker.runs, r.id)
	r.worker.resources.Release(r.size)
	l.index.Update(r.worker.resources)
	if r.charged {
		l.ledger.Account(r.worker.shard.name, r.team).Release(r.size)
	}
	if r.team != "" {
		l.share.Refund(r.team, r.workspace, r.size)
	}
	l.passDue = true
}

// chargeAllocation charges an adopted run to the team's allocation, once the allocations of the shard may be used.
func (l *Loop) chargeAllocation(r *run) {
	if r.team == "" || r.charged || !r.worker.shard.escrowReady {
		return
	}
	r.charged = true
	l.ledger.Account(r.worker.shard.name, r.team).Adopt(r.size)
}

// detachRun stops accounting for a run of a shard that this instance no longer owns.
func (l *Loop) detachRun(r *run) {
	if r.detached {
		return
	}
	r.detached = true
	if r.team != "" {
		l.share.Refund(r.team, r.workspace, r.size)
	}
}

// notifyJob passes the new state of a run to its job. The end of a run also counts for the health of its worker.
func (l *Loop) notifyJob(r *run) {
	switch r.machine.State() {
	case runHeld:
		l.sendGoWhenAllHeld(r)
	case runRunning:
		r.confirm(l.clock.Now())
		if r.job != nil {
			l.fireTask(r.job, "running")
		}
	case runEnded:
		if r.outcome == "" {
			r.setEnd(outcomeLost, string(anvilerror.Lost), "the worker's process has exited or its lease has expired", nil)
		}
		l.recordHealth(r)
		switch {
		case r.job != nil:
			l.handleRunEnd(r)
		case r.once && r.kind == anviltask.Call:
			l.recordOrphan(r)
		default:
			r.worker.shard.endAdopted(r)
		}
	}
}

func (r *run) confirm(now anvilclock.Millis) {
	if !r.confirmed {
		r.confirmed, r.confirmedAt = true, now
		r.worker.nextEnd = min(r.worker.nextEnd, r.expectedEnd(now)+endReportDelay)
	}
}

// markUnconfirmed notifies the job that the worker has not reported whether the run is active or has ended.
func (l *Loop) markUnconfirmed(r *run) {
	if r.job != nil {
		l.fireTask(r.job, "doubt")
	}
}

// retryUnconfirmed sends the stop again to runs whose stop got no answer.
func (l *Loop) retryUnconfirmed() {
	for _, w := range l.workers {
		for _, r := range w.runs {
			if r.machine.State() == runUnconfirmed && !r.controlInFlight {
				l.sendControl(r, Stop)
			}
		}
	}
}

func (l *Loop) sendControl(r *run, op Op) {
	if r.detached && op != Stop {
		return
	}
	r.controlInFlight = true
	ref := l.calls.ref()
	l.calls.controls[ref] = controlCall{run: r, op: op}
	l.backends.Control(ref, r.worker.resources.Addr(), Control{shard: r.worker.shard.name, epoch: r.epoch, id: r.id, op: op, until: r.worker.startDeadline(l.clock.Now())})
}

// started handles the answer to a start.
func (l *Loop) started(m Started) {
	r, ok := popCall(l.calls.starts, m.ref)
	if !ok {
		return
	}
	r.startInFlight = false
	if s := r.worker.shard; r.kind == anviltask.Call && !r.detached && s.epoch == r.epoch {
		s.callsInFlight--
	}
	switch {
	case m.err != nil && m.err.Outcome() == anvilerror.NotRun:
		l.refuseRun(r, string(m.err.Code()), m.err.Reason())
	case m.err != nil && r.reportedEnd != nil:
		l.endReported(r, *r.reportedEnd)
	case m.err != nil:
		l.log.Record(anvilevent.StartUnconfirmed, "task", r.id, "worker", r.worker.resources.ID(), "code", m.err.Code())
		l.fireRun(r, "lost")
	case m.state == reportRunning:
		l.fireRun(r, "running")
	case m.state == reportHeld:
		r.confirm(l.clock.Now())
		l.fireRun(r, "held")
	case m.state == reportNotRun:
		// The state of the worker is not as assumed here, so it gets no task before the next fence is answered.
		if m.code == string(anvilerror.Stale) || m.code == string(anvilerror.NoCapacity) {
			r.worker.renewAt = 0
			l.fireWorker(r.worker, "silent")
		}
		l.refuseRun(r, m.code, m.reason)
	case reportedOutcomes[m.state] != "":
		r.setEnd(reportedOutcomes[m.state], m.code, m.reason, m.answer)
		l.fireRun(r, "ended")
	default:
		l.fireRun(r, "lost")
	}
}

// controlled handles the answer to a control request.
func (l *Loop) controlled(m Controlled) {
	call, ok := popCall(l.calls.controls, m.ref)
	if !ok {
		return
	}
	r := call.run
	r.controlInFlight = false
	if r.machine.Final() {
		return
	}
	switch {
	case m.err != nil || !m.ok:
		r.checkpointing = false
		if call.op == Stop {
			l.fireRun(r, "lost")
		}
	case m.boot != r.boot:
		r.setEnd(outcomeLost, string(anvilerror.Lost), "the worker's process was replaced", nil)
		l.fireRun(r, "gone")
	case m.state == reportNotRun:
		l.refuseRun(r, m.code, "the worker refused the start")
	case reportedOutcomes[m.state] != "" && (!r.startInFlight || m.state != reportDone):
		r.setEnd(reportedOutcomes[m.state], m.code, "", m.answer)
		l.fireRun(r, "ended")
	}
}

// handleEndedTask handles an entry of a worker's list of ended tasks.
func (l *Loop) handleEndedTask(w *worker, e EndedTask) {
	r := w.runs[e.id]
	switch {
	case r == nil:
		l.adoptEnded(w, e)
	case r.startInFlight && r.kind == anviltask.Call:
		// The reply to the start contains the complete answer, which the list may truncate.
		r.reportedEnd = &e
	default:
		l.endReported(r, e)
	}
}

func (l *Loop) endReported(r *run, e EndedTask) {
	if e.state == reportNotRun {
		l.refuseRun(r, e.code, "")
		return
	}
	r.setEnd(reportedOutcomes[e.state], e.code, "", e.answer)
	l.fireRun(r, "ended")
}

// refuseRun ends a run whose start the worker refused. A run that the worker has reported as running isn't refused any
// more: if it is no longer there, the next fence ends it as lost.
func (l *Loop) refuseRun(r *run, code, reason string) {
	if r.machine.State() == runRunning {
		return
	}
	r.setEnd(outcomeNotRun, code, reason, nil)
	l.fireRun(r, "refused")
}

// adoptEnded records a task that ended under an earlier owner.
func (l *Loop) adoptEnded(w *worker, e EndedTask) {
	s := w.shard
	if e.once {
		l.recordEnded(s, e)
	}
	s.addFormerEnd(formerEnd{run: e.id, outcome: reportedOutcomes[e.state], code: e.code})
}

// recordHealth counts the end of a run for the health of its worker, and quarantines a worker that fails too often.
func (l *Loop) recordHealth(r *run) {
	w := r.worker
	now := l.clock.Now()
	switch r.outcome {
	case outcomeDone:
		l.health.Succeeded(w.resources.ID(), r.team, taskID(r.id), now)
	case outcomeFailed:
		l.health.Failed(w.resources.ID(), w.resources.Pool(), r.team, taskID(r.id), now)
		if l.health.Quarantined(w.resources.ID(), now) && w.resources.Schedulable() {
			l.log.Record(anvilevent.WorkerQuarantined, "worker", w.resources.ID(), "pool", w.resources.Pool())
			l.updateSchedulable(w)
		}
	default:
	}
}
