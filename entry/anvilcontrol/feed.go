package anvilcontrol

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilrow"
)

// feed polls the table for the rows under a prefix that have changed.
type feed struct {
	prefix   string
	version  int64 // of the table at the last read
	reading  bool
	readAt   anvilclock.Millis // when the last successful read began
	complete bool              // all rows were read once
}

func newFeeds() []*feed {
	return []*feed{
		{prefix: anvilrow.ConfigPrefix},
		{prefix: anvilrow.SessionPrefix},
		{prefix: anvilrow.ShardPrefix},
		{prefix: anvilrow.EscrowPrefix},
	}
}

// sessionTime returns when the last successful read of the sessions began. Sessions expire by that time instead of the
// current one, because no instance can renew its session while the table is unreachable.
func (l *Loop) sessionTime() anvilclock.Millis { return l.feeds[1].readAt }

// escrowFeed returns the feed of the allocations of team limits.
func (l *Loop) escrowFeed() *feed { return l.feeds[3] }

func (l *Loop) shardFeed() *feed { return l.feeds[2] }

func (l *Loop) configFeed() *feed { return l.feeds[0] }

type feedCall struct {
	feed      *feed
	startedAt anvilclock.Millis
}

func (l *Loop) readFeeds(now anvilclock.Millis) {
	for _, f := range l.feeds {
		if f.reading {
			continue
		}
		f.reading = true
		l.read(f.prefix, f.version, feedCall{feed: f, startedAt: now})
	}
}

func (c feedCall) read(l *Loop, m RowsRead) {
	f := c.feed
	f.reading = false
	if m.err != nil {
		if f.prefix == anvilrow.ConfigPrefix {
			l.config.confirmation.TableFailed(l.clock.Now())
		}
		return
	}
	// A read of an older version of the table, for instance from a stale replica, is dropped.
	if m.version < f.version {
		return
	}
	readGap := c.startedAt - f.readAt
	f.version, f.readAt = m.version, c.startedAt
	l.applyRows(f, m.rows, c.startedAt, readGap)
	f.complete = true
	if l.allFeedsComplete() && l.instance.joinRowVersion > 0 {
		l.fireInstance("joined")
	}
}

func (l *Loop) allFeedsComplete() bool {
	for _, f := range l.feeds {
		if !f.complete {
			return false
		}
	}
	return true
}

func (l *Loop) applyRows(f *feed, rows []anvilrow.Row, startedAt, readGap anvilclock.Millis) {
	switch f.prefix {
	case anvilrow.ConfigPrefix:
		l.applyConfig(rows)
		if l.instance.joinRowVersion > 0 && startedAt >= l.instance.joinedAt {
			l.config.confirmation.Confirmed(startedAt)
		}
	case anvilrow.SessionPrefix:
		l.applySessions(rows, readGap)
		if l.instance.joinRowVersion > 0 && startedAt >= l.instance.joinedAt {
			l.instance.introduction.SetInstances(l.sessionPeers())
		}
	case anvilrow.ShardPrefix:
		l.applyShards(rows)
	case anvilrow.EscrowPrefix:
		l.applyEscrow(rows, startedAt)
	}
}

// maxSessionReadGap is the time without a successful read of the sessions after which all of them count as just
// renewed, because no instance could renew its session while the table was unreachable.
const maxSessionReadGap = 3 * readInterval

func (l *Loop) applySessions(rows []anvilrow.Row, readGap anvilclock.Millis) {
	now := l.clock.Now()
	if readGap > maxSessionReadGap {
		l.directory.Extend(now)
	}
	for _, r := range rows {
		if r.Deleted() {
			l.dropSession(r.Name())
			continue
		}
		if v, ok := r.Value().(anvilrow.Session); ok {
			l.directory.PutSession(v.Session(), now)
			if s := v.Session(); s.Instance() != l.self.instance {
				l.config.peerAddrs[s.Instance()] = s.Addr()
			}
		}
	}
}

func (l *Loop) dropSession(name string) {
	if name == l.self.instance {
		if l.instance.joinRowVersion > 0 {
			l.rejoin()
		}
		return
	}
	l.directory.DropSession(name)
	l.routes.Remove(name)
	delete(l.config.peerAddrs, name)
	delete(l.config.deletedPeers, name)
}

func (l *Loop) applyShards(rows []anvilrow.Row) {
	for _, r := range rows {
		if v, ok := r.Value().(anvilrow.Shard); ok {
			l.putShard(v.Shard())
		}
	}
	l.ledger.SetShards(l.shardNames())
}

func (l *Loop) shardNames() []string {
	all := l.directory.Shards()
	names := make([]string, len(all))
	for i, s := range all {
		names[i] = s.Name()
	}
	return names
}

// applyConfig applies configuration rows that come from one consistent read.
func (l *Loop) applyConfig(rows []anvilrow.Row) {
	version := l.configStore.Snapshot().Version()
	var entries []anvilconfig.Entry
	for _, r := range rows {
		switch v := r.Value().(type) {
		case anvilrow.Version:
			version = max(version, v.Number())
			l.config.versionRowVersion = max(l.config.versionRowVersion, r.Version())
		case anvilrow.Contract:
			entries = append(entries, anvilconfig.ContractEntry(r.Key(), r.Version(), v.Contract()))
		case anvilrow.Key:
			entries = append(entries, anvilconfig.KeyEntry(r.Key(), r.Version(), v.Key()))
		case anvilrow.Leave:
			entries = append(entries, anvilconfig.LeaveEntry(r.Key(), r.Version(), v.Instance()))
		default:
			if r.Deleted() {
				entries = append(entries, anvilconfig.DeletedEntry(r.Key(), r.Version()))
			}
		}
	}
	l.applyEntries(version, entries)
}

func (l *Loop) applyEntries(version int64, entries []anvilconfig.Entry) {
	before := l.configStore.Snapshot()
	if !l.configStore.Apply(version, entries) {
		return
	}
	after := l.configStore.Snapshot()
	l.invariants.Check(after.Version() >= before.Version(), "config", "version fell from %d to %d", before.Version(), after.Version())
	l.log.Record(anvilevent.ConfigApplied, "version", after.Version(), "before", before.Version())
	for _, c := range before.Contracts() {
		if _, ok := after.Contract(c.Team()); !ok {
			l.ledger.DropTeam(c.Team())
			l.share.ResetWeight(c.Team())
		}
	}
	for _, c := range after.Contracts() {
		l.ledger.SetTeam(c.Team(), c.Limit(), after.ContractRowVersion(c.Team()))
		l.share.SetWeight(c.Team(), c.Weight())
	}
	for _, w := range l.workers {
		l.fireWorker(w, "change")
	}
	l.publish()
	l.passDue = true
}
