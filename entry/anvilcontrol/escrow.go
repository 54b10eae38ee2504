package anvilcontrol

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilescrow"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anviltask"
)

// applyEscrow applies rows that list the allocations of team limits by shard. startedAt is when the read began.
func (l *Loop) applyEscrow(rows []anvilrow.Row, startedAt anvilclock.Millis) {
	for _, r := range rows {
		if v, ok := r.Value().(anvilrow.Escrow); ok {
			l.ledger.PutRow(v.Team(), v.Allocations(), r.Version())
			l.passDue = true
		}
	}
	// After a transfer that got no answer, the team gets no other transfer before a read that began later has
	// shown its allocations.
	for team, failedAt := range l.calls.unknownTransfers {
		if startedAt > failedAt {
			l.ledger.Refreshed(team)
			delete(l.calls.unknownTransfers, team)
		}
	}
}

// planTransfers commits the transfers that bring the allocations of the owned shards in line with demand.
func (l *Loop) planTransfers(now anvilclock.Millis) {
	transfers := l.ledger.Plan(now)
	clear(l.demand)
	for _, transfer := range transfers {
		key := anvilrow.EscrowPrefix + transfer.Team()
		checks := []Check{
			checkRow(key, transfer.RowVersion()),
			checkRow(anvilrow.ContractPrefix+transfer.Team(), transfer.ContractRowVersion()),
		}
		for _, name := range transfer.Shards() {
			row, _ := l.directory.Shard(name)
			if row.Owner() == l.self.instance {
				checks = append(checks, checkRow(anvilrow.ShardPrefix+name, row.RowVersion()))
			}
		}
		put := anvilrow.New(key, anvilrow.NewEscrow(transfer.Team(), transfer.Allocations()))
		l.commit(newCommit(anviltask.NewID(), checks, []anvilrow.Row{put}, nil), transferCall{transfer: transfer})
	}
}

// transferCall waits for the commit of a transfer.
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
		l.log.Record(anvilevent.AllocationRefused, "team", team, "row", m.conflict.Key())
		l.ledger.Rejected(c.transfer.ID())
		switch v := m.conflict.Value().(type) {
		case anvilrow.Escrow:
			l.ledger.PutRow(v.Team(), v.Allocations(), m.conflict.Version())
		case anvilrow.Shard:
			l.putShard(v.Shard())
		}
	default:
		l.log.Record(anvilevent.AllocationChanged, "team", team, "shards", len(c.transfer.Shards()))
		l.ledger.Committed(c.transfer.ID(), m.version)
		l.passDue = true
	}
}
