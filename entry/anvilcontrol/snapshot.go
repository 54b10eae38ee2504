package anvilcontrol

import (
	"anvilhold.org/lib/anvilshard"
	"anvilhold.org/lib/anvilsize"
)

// SnapshotRequest asks for a snapshot of control state.
type SnapshotRequest struct {
	reply chan<- CellSnapshot
}

// NewSnapshotRequest returns a message; reply must have room for one value.
func NewSnapshotRequest(reply chan<- CellSnapshot) SnapshotRequest {
	return SnapshotRequest{reply: reply}
}

func (SnapshotRequest) message() {}

// CellSnapshot is control state as this instance sees it.
type CellSnapshot struct {
	instance string
	version  int64
	sessions []anvilshard.Session
	shards   []anvilshard.Shard
	workers  []WorkerSnapshot
	teams    []TeamSnapshot
}

// Instance returns the instance that answered.
func (c CellSnapshot) Instance() string { return c.instance }

// Version returns the version of the configuration in force there.
func (c CellSnapshot) Version() int64 { return c.version }

// Sessions returns the live entry instances.
func (c CellSnapshot) Sessions() []anvilshard.Session { return c.sessions }

// Shards returns all shards.
func (c CellSnapshot) Shards() []anvilshard.Shard { return c.shards }

// Workers returns the workers of the shards owned here.
func (c CellSnapshot) Workers() []WorkerSnapshot { return c.workers }

// Teams returns the teams.
func (c CellSnapshot) Teams() []TeamSnapshot { return c.teams }

// WorkerSnapshot is a worker as its owner sees it.
type WorkerSnapshot struct {
	id, shard, state, domain, pool string
	size, reserved                 anvilsize.Size
	tasks                          int
}

// ID returns the worker's id.
func (w WorkerSnapshot) ID() string { return w.id }

// Shard returns the worker's shard.
func (w WorkerSnapshot) Shard() string { return w.shard }

// State returns the state of the worker chart.
func (w WorkerSnapshot) State() string { return w.state }

// Domain returns the failure domain.
func (w WorkerSnapshot) Domain() string { return w.domain }

// Pool returns the pool.
func (w WorkerSnapshot) Pool() string { return w.pool }

// Size returns the capacity.
func (w WorkerSnapshot) Size() anvilsize.Size { return w.size }

// Reserved returns the sum of the reservations.
func (w WorkerSnapshot) Reserved() anvilsize.Size { return w.reserved }

// Tasks returns the number of reservations.
func (w WorkerSnapshot) Tasks() int { return w.tasks }

// TeamSnapshot is a team's use of the shards owned here.
type TeamSnapshot struct {
	team                   string
	limit, allocated, used anvilsize.Size
	queued                 int
	share                  int64
}

// Team returns the team.
func (t TeamSnapshot) Team() string { return t.team }

// Limit returns the upper limit of the contract.
func (t TeamSnapshot) Limit() anvilsize.Size { return t.limit }

// Part returns the sum of the parts held here.
func (t TeamSnapshot) Allocated() anvilsize.Size { return t.allocated }

// Using returns what runs or is reserved here.
func (t TeamSnapshot) Used() anvilsize.Size { return t.used }

// Queued returns the number of waiting tasks.
func (t TeamSnapshot) Queued() int { return t.queued }

// Share returns the share of the dominant resource in parts per million.
func (t TeamSnapshot) Share() int64 { return t.share }

func (l *Loop) snapshot() CellSnapshot {
	c := CellSnapshot{
		instance: l.self.instance, version: l.configStore.Snapshot().Version(),
		sessions: l.directory.Sessions(l.sessionTime()), shards: l.directory.Shards(),
	}
	for _, w := range l.workers {
		c.workers = append(c.workers, WorkerSnapshot{
			id: w.spec.ID(), shard: w.shard.name, state: w.machine.State(), domain: w.spec.Domain(), pool: w.spec.Pool(),
			size: w.spec.Capacity(), reserved: w.spec.Reserved(), tasks: w.spec.Tasks(),
		})
	}
	for _, team := range l.ledger.Teams() {
		c.teams = append(c.teams, TeamSnapshot{
			team: team, limit: l.ledger.Limit(team), allocated: l.ledger.Part(team), used: l.ledger.Used(team),
			queued: l.queue.LenTeam(team), share: l.share.Share(team),
		})
	}
	return c
}
