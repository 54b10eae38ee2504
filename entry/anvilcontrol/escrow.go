package anvilcontrol

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilescrow"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anviltask"
)

// applyEscrow takes rows that list the parts of team limits.
func (l *Loop) applyEscrow(rows []anvilrow.Row, began anvilclock.Millis) {
	for _, r := range rows {
		if v, ok := r.Value().(anvilrow.Escrow); ok {
			l.ledger.PutRow(v.Team(), v.Parts(), r.Version())
			l.passDue = true
		}
	}
	// A team whose move got no answer is settled by a read that began after it.
	for team, since := range l.calls.unknownTransfers {
		if began > since {
			l.ledger.Refreshed(team)
			delete(l.calls.unknownTransfers, team)
		}
	}
}

// planParts sends the moves that bring the parts held here to where they are needed.
func (l *Loop) planTransfers(now anvilclock.Millis) {
	moves := l.ledger.Plan(now)
	clear(l.demand)
	for _, transfer := range moves {
		key := anvilrow.EscrowPrefix + transfer.Team()
		checks := []Check{
			checkRow(key, transfer.Row()),
			checkRow(anvilrow.ContractPrefix+transfer.Team(), transfer.ContractRow()),
		}
		for _, name := range transfer.Shards() {
			row, _ := l.directory.Shard(name)
			if row.Owner() == l.self.instance {
				checks = append(checks, checkRow(anvilrow.ShardPrefix+name, row.Version()))
			}
		}
		put := anvilrow.New(key, anvilrow.NewEscrow(transfer.Team(), transfer.Parts()))
		l.commit(newCommit(anviltask.NewID(), checks, []anvilrow.Row{put}, nil), transferCall{transfer: transfer})
	}
}

// transferCall waits for the commit of a move of parts.
type transferCall struct {
	transfer anvilescrow.Transfer
}

func (c transferCall) committed(l *Loop, m Committed) {
	team := c.transfer.Team()
	switch {
	case m.err != nil && m.err.Outcome() == anvilerror.NotRun:
		l.ledger.Rejected(c.transfer.ID())
	case m.err != nil:
		l.ledger.OutcomeUnknown(c.transfer.ID())
		l.calls.unknownTransfers[team] = l.clock.Now()
	case !m.ok:
		l.log.Record(anvilevent.PartRefused, "team", team, "row", m.conflict.Key())
		l.ledger.Rejected(c.transfer.ID())
		switch v := m.conflict.Value().(type) {
		case anvilrow.Escrow:
			l.ledger.PutRow(v.Team(), v.Parts(), m.conflict.Version())
		case anvilrow.Shard:
			l.putShard(v.Shard())
		}
	default:
		l.log.Record(anvilevent.PartMoved, "team", team, "shards", len(c.transfer.Shards()))
		l.ledger.Committed(c.transfer.ID(), m.version)
		l.passDue = true
	}
}
