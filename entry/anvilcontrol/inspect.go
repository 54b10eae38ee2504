package anvilcontrol

import (
	"slices"

	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anviltask"
)

// inspect answers a query, or forwards it to the owner of the task's shard.
func (l *Loop) inspect(m Inspect) {
	shardName, id := anviltask.SplitID(m.query.id)
	if j := l.jobs[id]; j != nil {
		l.answerInspect(m, j)
		return
	}
	if v, ok := l.rowStatus(shardName, id); ok {
		l.replyStatus(m, v.Task().Team(), NewStatus(m.query.id, v.Task().Team(), string(v.State()),
			WithReason(v.Code(), ""), WithLocation(shardName, l.self.instance, nil, 0)))
		return
	}
	row, ok := l.directory.Shard(shardName)
	s, live := l.session(row.Owner())
	switch {
	case shardName == "" || !ok:
		m.reply <- NewStatusFailure(anvilerror.Refuse(anvilerror.Missing, "no task "+m.query.id+" is known"))
	case row.Owner() == l.self.instance && l.shard(shardName).reconciled:
		m.reply <- NewStatusFailure(anvilerror.Refuse(anvilerror.Missing, "no task "+m.query.id+" is known"))
	case row.Owner() == l.self.instance || !live || m.query.hops >= maxHops:
		m.reply <- NewStatusFailure(anvilerror.Refuse(anvilerror.NoOwner, "the owner of shard "+shardName+" is changing", anvilerror.WithRetry(ownerRetryDelay)))
	default:
		q := m.query
		q.hops++
		ref := l.calls.ref()
		l.calls.inspects[ref] = m.reply
		l.peers.Inspect(ref, s.Addr(), q)
	}
}

// waitReasons explains by code why a task waits in the queue.
var waitReasons = map[anvilerror.Code]string{
	anvilerror.NoCapacity: "no worker of the shard has free capacity that is not reserved for other work",
	anvilerror.OverLimit:  "the shard's allocation of the team's limit is used up",
}

func (l *Loop) answerInspect(m Inspect, j *job) {
	if m.query.cancel && (m.query.all || m.query.team == j.task.Team()) {
		l.fireTask(j, "cancel")
	}
	var workers []string
	for _, r := range j.runs {
		if !r.machine.Final() {
			workers = append(workers, r.worker.resources.ID())
		}
	}
	code, reason := j.code, j.reason
	if j.machine.State() == taskQueued && j.waitCode != "" {
		code, reason = j.waitCode, waitReasons[j.waitCode]
	}
	l.replyStatus(m, j.task.Team(), NewStatus(m.query.id, j.task.Team(), j.machine.State(),
		WithReason(string(code), reason), WithDecisions(slices.Clone(j.decisions)),
		WithLocation(j.task.Shard(), l.self.instance, workers, j.tries)))
}

func (l *Loop) replyStatus(m Inspect, team string, s Status) {
	if !m.query.all && m.query.team != team {
		m.reply <- NewStatusFailure(anvilerror.Refuse(anvilerror.Forbidden, "the task belongs to another team"))
		return
	}
	m.reply <- s
}

func (l *Loop) inspected(m Inspected) {
	if reply, ok := popCall(l.calls.inspects, m.ref); ok {
		reply <- m.status
	}
}
