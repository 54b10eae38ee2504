package main

import (
	"context"

	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/entry/anvilfront"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilrow"
)

// dispatcher passes requests of callers, operators and other entry instances to the control loop. Except for Cell,
// its methods don't block: they return false if the inbox of the loop is full.
type dispatcher struct {
	inbox *anvilcontrol.Inbox
}

func (d dispatcher) Submit(f anvilcontrol.Forward, reply chan<- anvilcontrol.Result) bool {
	return d.inbox.Offer(anvilcontrol.NewSubmit(f, reply))
}

func (d dispatcher) Inspect(q anvilcontrol.Query, reply chan<- anvilcontrol.Status) bool {
	return d.inbox.Offer(anvilcontrol.NewInspect(q, reply))
}

func (d dispatcher) Change(c anvilfront.Change, reply chan<- anvilcontrol.ChangeResult) bool {
	return d.inbox.Offer(anvilcontrol.NewChange(c.ID(), c.Puts(), c.Deletes(), c.Base(), reply))
}

func (d dispatcher) Exchange(s anvilcontrol.Summary, reply chan<- anvilcontrol.Summary) bool {
	return d.inbox.Offer(anvilcontrol.NewExchangeRequest(s, reply))
}

func (d dispatcher) Push(rows []anvilrow.Row, version int64, reply chan<- int64) bool {
	return d.inbox.Offer(anvilcontrol.NewPushRequest(rows, version, reply))
}

// Cell returns a snapshot of the control loop's state. It waits for the loop until ctx is done.
func (d dispatcher) Cell(ctx context.Context) (anvilfront.Cell, error) {
	reply := make(chan anvilcontrol.CellSnapshot, 1)
	if !d.inbox.Offer(anvilcontrol.NewSnapshotRequest(reply)) {
		return anvilfront.Cell{}, anvilerror.Refuse(anvilerror.QueueFull, "the inbox of the control loop is full", anvilerror.WithRetry(snapshotRetryDelay))
	}
	select {
	case c := <-reply:
		return frontCell(c), nil
	case <-ctx.Done():
		return anvilfront.Cell{}, anvilerror.Refuse(anvilerror.QueueFull, "the control loop did not answer in time", anvilerror.WithRetry(snapshotRetryDelay))
	}
}

// snapshotRetryDelay is the retry delay sent with a refused snapshot. The control loop handles a full inbox within it.
const snapshotRetryDelay = anvilclock.Millis(500)

func frontCell(c anvilcontrol.CellSnapshot) anvilfront.Cell {
	workers := make([]anvilfront.Worker, 0, len(c.Workers()))
	for _, w := range c.Workers() {
		workers = append(workers, anvilfront.NewWorker(w.ID(), w.Shard(), w.State(), w.Domain(), w.Pool(), w.Size(), w.Reserved(), w.Tasks()))
	}
	teams := make([]anvilfront.Team, 0, len(c.Teams()))
	for _, t := range c.Teams() {
		teams = append(teams, anvilfront.NewTeam(t.Team(), t.Limit(), t.Allocated(), t.Used(), t.Queued(), t.Share()))
	}
	return anvilfront.NewCell(c.Instance(), c.Version(), c.Sessions(), c.Shards(), workers, teams)
}
