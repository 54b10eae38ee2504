package anvilcontrol

import (
	"anvilhold.org/lib/anvilshard"
	"anvilhold.org/lib/anvilsize"
)

// SnapshotRequest asks the loop for a snapshot of control state.
type SnapshotRequest struct {
	reply chan<- CellSnapshot
}

// NewSnapshotRequest returns a message; reply must have a buffer of one.
func NewSnapshotRequest(reply chan<- CellSnapshot) SnapshotRequest {
	return SnapshotRequest{reply: reply}
}

func (SnapshotRequest) message() {}

// CellSnapshot is an immutable copy of control state, as one entry instance sees the cell.
type CellSnapshot struct {
	instance string
	version  int64
	sessions []anvilshard.Session
	shards   []anvilshard.Shard
	workers  []WorkerSnapshot
	teams    []TeamSnapshot
}

// Instance returns the id of the instance that made the snapshot.
func (c CellSnapshot) Instance() string { return c.instance }

// Version returns the version of the configuration in force at the instance.
func (c CellSnapshot) Version() int64 { return c.version }

// Sessions returns the entry instances whose session has not expired.
func (c CellSnapshot) Sessions() []anvilshard.Session { return c.sessions }

// Shards returns all shards of the cell, whoever owns them.
func (c CellSnapshot) Shards() []anvilshard.Shard { return c.shards }

// Workers returns the workers of the shards that the instance owns, in no particular order.
func (c CellSnapshot) Workers() []WorkerSnapshot { return c.workers }

// Teams returns the usage of all teams that the ledger knows.
func (c CellSnapshot) Teams() []TeamSnapshot { return c.teams }

// WorkerSnapshot is the state of a worker as the owner of its shard knows it.
type WorkerSnapshot struct {
	id, shard, state, domain, pool string
	size, reserved                 anvilsize.Size
	tasks                          int
}

// ID returns the id under which the worker is registered.
func (w WorkerSnapshot) ID() string { return w.id }

// Shard returns the name of the worker's shard.
func (w WorkerSnapshot) Shard() string { return w.shard }

// State returns the worker's state in its state chart.
func (w WorkerSnapshot) State() string { return w.state }

// Domain returns the worker's failure domain.
func (w WorkerSnapshot) Domain() string { return w.domain }

// Pool returns the name of the worker's pool.
func (w WorkerSnapshot) Pool() string { return w.pool }

// Size returns the worker's capacity.
func (w WorkerSnapshot) Size() anvilsize.Size { return w.size }

// Reserved returns the sum of the reservations at the worker.
func (w WorkerSnapshot) Reserved() anvilsize.Size { return w.reserved }

// Tasks returns the number of reservations at the worker.
func (w WorkerSnapshot) Tasks() int { return w.tasks }

// TeamSnapshot is what a team uses in the shards that the instance owns.
type TeamSnapshot struct {
	team                   string
	limit, allocated, used anvilsize.Size
	queued                 int
	share                  int64
}

// Team returns the team's name.
func (t TeamSnapshot) Team() string { return t.team }

// Limit returns the limit in the team's contract; zero without a contract.
func (t TeamSnapshot) Limit() anvilsize.Size { return t.limit }

// Allocated returns the part of the limit that the owned shards hold in escrow.
func (t TeamSnapshot) Allocated() anvilsize.Size { return t.allocated }

// Used returns the sum of the reservations of the team's tasks in the owned shards.
func (t TeamSnapshot) Used() anvilsize.Size { return t.used }

// Queued returns the number of the team's tasks in the instance's queue.
func (t TeamSnapshot) Queued() int { return t.queued }

// Share returns the team's share of its dominant resource, in parts per million.
func (t TeamSnapshot) Share() int64 { return t.share }

func (l *Loop) snapshot() CellSnapshot {
	c := CellSnapshot{
		instance: l.self.instance, version: l.configStore.Snapshot().Version(),
		sessions: l.directory.Sessions(l.sessionTime()), shards: l.directory.Shards(),
	}
	for _, w := range l.workers {
		c.workers = append(c.workers, WorkerSnapshot{
			id: w.resources.ID(), shard: w.shard.name, state: w.machine.State(), domain: w.resources.Domain(), pool: w.resources.Pool(),
			size: w.resources.Capacity(), reserved: w.resources.Reserved(), tasks: w.resources.Tasks(),
		})
	}
	for _, team := range l.ledger.Teams() {
		c.teams = append(c.teams, TeamSnapshot{
			team: team, limit: l.ledger.Limit(team), allocated: l.ledger.Allocated(team), used: l.ledger.Used(team),
			queued: l.queue.LenTeam(team), share: l.share.Share(team),
		})
	}
	return c
}
