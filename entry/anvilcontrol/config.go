package anvilcontrol

import (
	"slices"
	"strings"

	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilrow"
)

// configState holds the state of the config chart and the data that decides its events.
type configState struct {
	machine           anvilchart.Machine
	confirmation      *anvilconfig.Confirmation
	versionRowVersion int64             // table version of the row with the configuration's version number
	peerAddrs         map[string]string // addresses, by id, of the other entry instances whose session row exists
	deletedPeers      map[string]bool   // instances whose session row this one has tried to delete
	unresolved        []*changeCall     // changes for which the answer to the commit was lost
}

// States of the config chart that the code refers to.
const (
	configCurrent = "current"
	configOutage  = "outage"
)

// changeRetryDelay is the time after which an operator may try a refused change again.
const changeRetryDelay = anvilclock.Millis(1000)

func (l *Loop) bindConfig() *anvilchart.Binding[*Loop] {
	l.config.confirmation = anvilconfig.NewConfirmation()
	l.config.peerAddrs = map[string]string{}
	l.config.deletedPeers = map[string]bool{}
	l.instance.introduction = anvilconfig.NewIntroduction()
	return anvilchart.NewBinding(map[string]func(*Loop){
		"publish": func(l *Loop) { l.publish() },
		"ask":     func(l *Loop) { l.timers.exchange.next = 0 },
	}, nil)
}

// confirmed reports whether requests with a key may be accepted. It compares with the clock instead of the chart's state,
// because the process may have been paused since the last event.
func (l *Loop) confirmed() bool {
	now := l.clock.Now()
	return l.config.confirmation.Until(now) >= now
}

var configEvents = map[anvilconfig.Status]struct {
	chartEvent string
	logEvent   anvilevent.ID
}{
	anvilconfig.Current:     {"current", anvilevent.ConfigCurrent},
	anvilconfig.Expiring:    {"doubtful", 0},
	anvilconfig.Outage:      {"outage", anvilevent.ConfigOutage},
	anvilconfig.Unconfirmed: {"unconfirmed", anvilevent.ConfigUnconfirmed},
}

func (l *Loop) checkConfig(now anvilclock.Millis) {
	for _, c := range l.config.unresolved {
		l.read(anvilrow.ConfigPrefix, 0, c)
	}
	l.config.unresolved = nil
	status := l.config.confirmation.Status(now, l.sessionPeers())
	e := configEvents[status]
	before := l.config.machine.State()
	l.fireConfig(e.chartEvent)
	if after := l.config.machine.State(); after != before && e.logEvent != 0 {
		l.log.Record(e.logEvent, "version", l.configStore.Snapshot().Version())
	}
	l.publish()
}

// sessionPeers returns all other entry instances whose session row exists, sorted by id. The row counts even if it is no
// longer renewed, because an instance that was only paused can resume and accept a change.
func (l *Loop) sessionPeers() []string {
	names := make([]string, 0, len(l.config.peerAddrs))
	for name := range l.config.peerAddrs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// change commits an operator's change together with the next version number of the configuration.
func (l *Loop) change(m Change) {
	snap := l.configStore.Snapshot()
	if m.base != 0 && m.base != snap.Version() {
		l.refuseChange(m, anvilerror.Conflict, "the configuration has changed since the version that the change is based on")
		return
	}
	if l.instance.machine.State() != stateServing {
		l.refuseChange(m, anvilerror.Leaving, "the entry instance is not serving")
		return
	}
	if !l.instance.introduction.Done() || l.instance.joinRowVersion == 0 {
		l.refuseChange(m, anvilerror.Unconfirmed, "entry instances have not been reached yet: "+strings.Join(l.instance.introduction.Missing(), " "))
		return
	}
	number := snap.Version() + 1
	puts := append([]anvilrow.Row{anvilrow.New(anvilrow.VersionKey, anvilrow.NewVersion(number))}, m.puts...)
	checks := []Check{checkRow(anvilrow.VersionKey, l.config.versionRowVersion), l.joinCheck()}
	l.commit(newCommit(m.id, checks, puts, m.deletes), &changeCall{change: m, number: number})
}

func (l *Loop) refuseChange(m Change, code anvilerror.Code, reason string) {
	err := anvilerror.Refuse(code, reason, anvilerror.WithRetry(changeRetryDelay))
	m.reply <- ChangeResult{err: err, version: l.configStore.Snapshot().Version()}
}

// changeCall waits for the commit of a change. If its answer is lost, it waits for a read that shows whether the
// change took effect.
type changeCall struct {
	change Change
	number int64
	lostAt anvilclock.Millis
	// pushes holds the pushes of the change that peers haven't answered.
	pushes map[Ref]bool
}

// maxChangeWait bounds the time for which the table is read to find out whether a change whose answer was lost took
// effect.
const maxChangeWait = anvilclock.Millis(10_000)

func (c *changeCall) committed(l *Loop, m Committed) {
	switch {
	case m.err != nil && m.err.Outcome() == anvilerror.NotRun:
		c.change.reply <- ChangeResult{err: m.err, version: c.number - 1}
	case m.err != nil:
		c.lostAt = l.clock.Now()
		l.config.unresolved = append(l.config.unresolved, c)
	case !m.ok:
		l.replyConflict(c, m.conflict)
	default:
		l.applyChange(c, m.version)
	}
}

// read checks whether a change whose answer was lost took effect. While the version row is unchanged the commit can
// still be in flight, so only a row with the id of the change, or a version number that isn't lower than that of the
// change, decides.
func (c *changeCall) read(l *Loop, m RowsRead) {
	if m.err == nil {
		if resolved := c.resolve(l, m.rows); resolved {
			return
		}
	}
	if l.clock.Now()-c.lostAt > maxChangeWait {
		err := anvilerror.UnknownOutcome(anvilerror.NoTable, "the table did not answer whether change "+c.change.id+" took effect")
		c.change.reply <- ChangeResult{err: err, version: c.number - 1}
		return
	}
	l.config.unresolved = append(l.config.unresolved, c)
}

func (c *changeCall) resolve(l *Loop, rows []anvilrow.Row) bool {
	for _, r := range rows {
		if r.Change() == c.change.id {
			l.applyConfig(rows)
			l.applyChange(c, r.Version())
			return true
		}
	}
	for _, r := range rows {
		if v, ok := r.Value().(anvilrow.Version); ok && v.Number() >= c.number {
			l.replyConflict(c, r)
			return true
		}
	}
	return false
}

func (l *Loop) replyConflict(c *changeCall, row anvilrow.Row) {
	number := c.number
	if v, ok := row.Value().(anvilrow.Version); ok {
		number = v.Number()
	}
	l.log.Record(anvilevent.ConfigConflict, "change", c.change.id, "version", number, "other", row.Change())
	err := anvilerror.Refuse(anvilerror.Conflict, "change "+row.Change()+" came first", anvilerror.WithRetry(changeRetryDelay))
	c.change.reply <- ChangeResult{err: err, version: number}
}

// applyChange puts a committed change in force here and pushes it to every peer.
func (l *Loop) applyChange(c *changeCall, row int64) {
	rows := []anvilrow.Row{anvilrow.Read(anvilrow.VersionKey, anvilrow.NewVersion(c.number), row, c.change.id, false)}
	for _, r := range c.change.puts {
		rows = append(rows, anvilrow.Read(r.Key(), r.Value(), row, c.change.id, false))
	}
	for _, key := range c.change.deletes {
		rows = append(rows, anvilrow.Read(key, nil, row, c.change.id, true))
	}
	// If the change is based on a newer version than this instance has read, the next read applies it together with
	// the versions before it.
	if c.number == l.configStore.Snapshot().Version()+1 {
		l.applyConfig(rows)
		l.pushRows(c, rows)
	}
	l.log.Record(anvilevent.ConfigChanged, "change", c.change.id, "version", c.number)
	if len(c.pushes) == 0 {
		c.change.reply <- ChangeResult{version: c.number}
	}
}

// pushRows sends a change to every peer. The operator gets the answer once every push has been answered, has failed or
// has timed out. Every reachable peer then has the change, even if this instance exits and the table
// fails right after the answer.
func (l *Loop) pushRows(c *changeCall, rows []anvilrow.Row) {
	c.pushes = map[Ref]bool{}
	for _, s := range l.directory.Sessions(l.sessionTime()) {
		if s.Instance() == l.self.instance {
			continue
		}
		ref := l.calls.ref()
		c.pushes[ref] = true
		l.calls.pushes[ref] = c
		l.peers.Push(ref, s.Addr(), rows, c.number)
	}
}

// pushed handles a peer's answer to a push.
func (l *Loop) pushed(m Pushed) {
	c, ok := popCall(l.calls.pushes, m.ref)
	if !ok {
		return
	}
	delete(c.pushes, m.ref)
	if len(c.pushes) == 0 {
		c.change.reply <- ChangeResult{version: c.number}
	}
}

// receivePush applies rows from a peer if they make the version after the one in force. Otherwise this instance gets
// them with its next read of the table.
func (l *Loop) receivePush(m PushRequest) {
	if m.version == l.configStore.Snapshot().Version()+1 {
		l.applyConfig(m.rows)
	}
	m.reply <- l.configStore.Snapshot().Version()
}

// configRows returns the whole configuration as rows for a peer with an older version.
func (l *Loop) configRows() []anvilrow.Row {
	rows := []anvilrow.Row{
		anvilrow.Read(anvilrow.VersionKey, anvilrow.NewVersion(l.configStore.Snapshot().Version()), l.config.versionRowVersion, "", false),
	}
	for _, e := range l.configStore.Entries() {
		rows = append(rows, entryRow(e))
	}
	return rows
}

func entryRow(e anvilconfig.Entry) anvilrow.Row {
	if c, ok := e.Contract(); ok {
		return anvilrow.Read(e.Name(), anvilrow.NewContract(c), e.RowVersion(), "", false)
	}
	if k, ok := e.Key(); ok {
		return anvilrow.Read(e.Name(), anvilrow.NewKey(k), e.RowVersion(), "", false)
	}
	if instance, ok := e.Leave(); ok {
		return anvilrow.Read(e.Name(), anvilrow.NewLeave(instance), e.RowVersion(), "", false)
	}
	return anvilrow.Read(e.Name(), nil, e.RowVersion(), "", true)
}
