package anvilcontrol

import (
	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilshard"
	"anvilhold.org/lib/anviltask"
)

// States of the instance chart that the code refers to.
const (
	stateJoining  = "joining"
	stateServing  = "serving"
	stateLeaving  = "leaving"
	stateDraining = "draining"
)

const heartbeatInterval = anvilshard.HeartbeatInterval

// expiredSessionRetention is how long an expired session keeps its row before another instance deletes it.
const expiredSessionRetention = anvilclock.Millis(10_000)

// instanceState holds the state of the instance chart and the data that decides its events.
type instanceState struct {
	machine           anvilchart.Machine
	heartbeats        int64
	heartbeatInFlight bool
	joinRowVersion    int64 // version of the join row; 0 until it is known to be written
	joinedAt          anvilclock.Millis
	introduction      *anvilconfig.Introduction
	done              chan<- struct{}
	noticeEnd         anvilclock.Millis
	drainDeadline     anvilclock.Millis
	exited            bool // the stop has ended, so that Run returns
}

func (l *Loop) bindInstance() *anvilchart.Binding[*Loop] {
	return anvilchart.NewBinding(map[string]func(*Loop){
		"publish":  func(l *Loop) { l.publish() },
		"beat":     func(l *Loop) { l.sendHeartbeat() },
		"handover": func(l *Loop) { l.reroute(); l.releaseAll() },
		"leave":    func(l *Loop) { l.leave() },
	}, nil)
}

// sendHeartbeat renews the session row. Only one renewal is in flight at a time, so that an older one can't overwrite
// a newer one.
func (l *Loop) sendHeartbeat() {
	if l.instance.heartbeatInFlight {
		return
	}
	l.instance.heartbeatInFlight = true
	l.instance.heartbeats++
	leaving := l.instance.machine.State() != stateJoining && l.instance.machine.State() != stateServing
	s := anvilshard.NewSession(l.self.instance, l.self.addr, l.self.domain, l.self.region,
		l.instance.heartbeats, l.configStore.Snapshot().Version(), leaving)
	puts := []anvilrow.Row{anvilrow.New(anvilrow.SessionPrefix+l.self.instance, anvilrow.NewSession(s))}
	var checks []Check
	if l.instance.joinRowVersion == 0 {
		puts = append(puts, anvilrow.New(anvilrow.JoinPrefix+l.self.instance, anvilrow.NewJoin(l.self.instance)))
	} else {
		checks = append(checks, l.joinCheck())
	}
	l.commit(newCommit(anviltask.NewID(), checks, puts, nil), heartbeatCall{})
}

// joinCheck returns a check that fails once another instance has deleted the session.
func (l *Loop) joinCheck() Check {
	return checkRow(anvilrow.JoinPrefix+l.self.instance, l.instance.joinRowVersion)
}

// rejoin starts a new session after another instance has deleted the old one. Earlier confirmations are invalid then,
// because instances that joined in the meantime don't know this one.
func (l *Loop) rejoin() {
	l.log.Record(anvilevent.SessionExpired, "instance", l.self.instance)
	l.instance.joinRowVersion = 0
	l.instance.introduction = anvilconfig.NewIntroduction()
	l.config.confirmation = anvilconfig.NewConfirmation()
	l.publish()
}

type heartbeatCall struct{}

func (heartbeatCall) committed(l *Loop, m Committed) {
	l.instance.heartbeatInFlight = false
	switch {
	case m.err != nil:
		l.log.Record(anvilevent.TableFailed, "write", "session", "code", m.err.Code())
	case !m.ok:
		l.rejoin()
	case l.instance.joinRowVersion == 0:
		l.instance.joinRowVersion, l.instance.joinedAt = m.version, l.clock.Now()
	}
}

// sweepSessions deletes the rows of sessions that expired long ago.
func (l *Loop) sweepSessions() {
	if !l.instance.introduction.Done() || l.instance.joinRowVersion == 0 {
		return
	}
	var keys []string
	for _, name := range l.directory.ExpiredSessions(l.sessionTime(), expiredSessionRetention) {
		if name != l.self.instance {
			keys = append(keys, anvilrow.SessionPrefix+name, anvilrow.JoinPrefix+name)
			l.config.deletedPeers[name] = true
		}
	}
	if len(keys) > 0 && len(keys) <= maxCommitTasks {
		l.commit(newCommit(anviltask.NewID(), []Check{l.joinCheck()}, nil, keys), ignoreCall{})
	}
}

type ignoreCall struct{}

func (ignoreCall) committed(*Loop, Committed) {}

func (l *Loop) shutdown(m Shutdown) {
	if l.instance.done != nil {
		return
	}
	now := l.clock.Now()
	l.instance.done = m.done
	l.instance.noticeEnd = now + l.settings.notice
	l.instance.drainDeadline = now + l.settings.notice + l.settings.drain
	l.log.Record(anvilevent.InstanceStopping)
	l.fireInstance("stop")
}

// advanceShutdown takes a graceful stop to its next state once that is possible.
func (l *Loop) advanceShutdown(now anvilclock.Millis) {
	switch l.instance.machine.State() {
	case stateLeaving:
		if now >= l.instance.noticeEnd {
			l.fireInstance("noticed")
		}
	case stateDraining:
		l.releaseAll()
		if l.drained() || l.blockedByTable(now) || now >= l.instance.drainDeadline {
			l.fireInstance("drained")
		}
	}
}

// tableLostAfter is the time without a successful read of the table after which a graceful stop no longer waits to
// hand over shards. Their next owners claim them once the session has expired.
const tableLostAfter = anvilclock.Millis(3000)

// blockedByTable reports whether all requests have been answered and only the unreachable table prevents the shards
// from being handed over.
func (l *Loop) blockedByTable(now anvilclock.Millis) bool {
	return l.allAnswered() && now-l.shardFeed().readAt > tableLostAfter
}

// drained reports whether all requests have been answered and no shard is owned any more.
func (l *Loop) drained() bool {
	for _, s := range l.shards {
		if s.owned() {
			return false
		}
	}
	return l.allAnswered()
}

// allAnswered reports whether every caller has its answer.
func (l *Loop) allAnswered() bool {
	return len(l.calls.forwards) == 0 && len(l.writer.accepts) == 0 && l.waitingCallers() == 0
}

// waitingCallers returns the number of callers that wait for an answer.
func (l *Loop) waitingCallers() int {
	n := 0
	for _, j := range l.jobs {
		n += len(j.replies)
	}
	return n
}

func (l *Loop) leave() {
	l.commit(newCommit(anviltask.NewID(), nil, nil, []string{
		anvilrow.SessionPrefix + l.self.instance, anvilrow.JoinPrefix + l.self.instance,
	}), leaveCall{})
	l.publish()
}

// leaveCall ends the loop once the commit that deletes the session row has been answered or has failed.
type leaveCall struct{}

func (leaveCall) committed(l *Loop, _ Committed) {
	l.log.Record(anvilevent.InstanceLeft)
	l.instance.exited = true
	close(l.instance.done)
}
