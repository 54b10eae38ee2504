package anvilfront

import (
	"context"
	"net/http"

	"anvilhold.org/entry/anvilcodec"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilshard"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilwire"
)

// Cell is the state of the cell as one entry instance sees it.
type Cell struct {
	instance string
	version  int64
	sessions []anvilshard.Session
	shards   []anvilshard.Shard
	workers  []Worker
	teams    []Team
}

// NewCell returns the state of a cell. version is that of the configuration in force on the instance. The slices are
// kept, not copied.
func NewCell(instance string, version int64, sessions []anvilshard.Session, shards []anvilshard.Shard, workers []Worker, teams []Team) Cell {
	return Cell{instance: instance, version: version, sessions: sessions, shards: shards, workers: workers, teams: teams}
}

// Worker is the state of a worker as the owner of its shard knows it.
type Worker struct {
	id       string
	shard    string
	state    string
	domain   string
	pool     string
	size     anvilsize.Size
	reserved anvilsize.Size
	tasks    int
}

// NewWorker returns the state of a worker; reserved is the sum of its reservations and tasks their number.
func NewWorker(id, shard, state, domain, pool string, size, reserved anvilsize.Size, tasks int) Worker {
	return Worker{id: id, shard: shard, state: state, domain: domain, pool: pool, size: size, reserved: reserved, tasks: tasks}
}

// Team is the quota and usage of a team as one entry instance knows it.
type Team struct {
	team      string
	limit     anvilsize.Size
	allocated anvilsize.Size
	running   anvilsize.Size
	queued    int
	share     int64
}

// NewTeam returns the state of a team. allocated is the allocation of the limit that the instance's shards hold in
// escrow, and share the team's share of its dominant resource in parts per million.
func NewTeam(team string, limit, allocated, running anvilsize.Size, queued int, share int64) Team {
	return Team{team: team, limit: limit, allocated: allocated, running: running, queued: queued, share: share}
}

// lowestVersion returns the lowest configuration version in force on any live entry instance.
func (c Cell) lowestVersion() int64 {
	lowest := c.version
	for _, s := range c.sessions {
		lowest = min(lowest, s.ConfigVersion())
	}
	return lowest
}

func (c Cell) message() *anvilwire.Cell {
	m := anvilwire.Cell_builder{Instance: c.instance, Version: c.version}
	for _, s := range c.sessions {
		m.Sessions = append(m.Sessions, anvilcodec.Session(s))
	}
	for _, s := range c.shards {
		m.Shards = append(m.Shards, anvilcodec.Shard(s))
	}
	for _, w := range c.workers {
		m.Workers = append(m.Workers, anvilwire.WorkerInfo_builder{
			Id: w.id, Shard: w.shard, State: w.state, Size: anvilcodec.Size(w.size),
			Reserved: anvilcodec.Size(w.reserved), Tasks: int64(w.tasks), Domain: w.domain, Pool: w.pool,
		}.Build())
	}
	for _, t := range c.teams {
		m.Teams = append(m.Teams, anvilwire.TeamInfo_builder{
			Team: t.team, Limit: anvilcodec.Size(t.limit), Part: anvilcodec.Size(t.allocated),
			Running: anvilcodec.Size(t.running), Queued: int64(t.queued), Share: t.share,
		}.Build())
	}
	return m.Build()
}

// cell returns the state of the cell. Without an inspector it holds only the configuration's version.
func (f *Front) cell(ctx context.Context) (Cell, *anvilerror.Error) {
	if f.inspector == nil {
		return Cell{version: f.state().Config().Version()}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.queryTimeout)
	defer cancel()
	c, err := f.inspector.Cell(ctx)
	if err != nil {
		return Cell{}, anvilerror.As(err)
	}
	return c, nil
}

func (f *Front) readStatus(r *http.Request) reply {
	if err := f.requireOperator(r); err != nil {
		return errorReply(err)
	}
	c, err := f.cell(r.Context())
	if err != nil {
		return errorReply(err)
	}
	return messageReply(http.StatusOK, c.message())
}

func (f *Front) readConfig(r *http.Request) reply {
	if err := f.requireOperator(r); err != nil {
		return errorReply(err)
	}
	if !f.state().Introduced() {
		return errorReply(anvilerror.Refuse(anvilerror.Unconfirmed, "other entry instances have not been reached yet", anvilerror.WithRetry(startRetryDelay)))
	}
	c, err := f.cell(r.Context())
	if err != nil {
		return errorReply(err)
	}
	cfg := f.state().Config()
	m := anvilwire.Config_builder{Version: cfg.Version(), Everywhere: min(c.lowestVersion(), cfg.Version())}
	for _, contract := range cfg.Contracts() {
		m.Contracts = append(m.Contracts, anvilcodec.Contract(contract))
	}
	for _, key := range cfg.Keys() {
		m.Keys = append(m.Keys, anvilcodec.Key(key))
	}
	for _, instance := range cfg.Leaves() {
		m.Leaves = append(m.Leaves, anvilwire.Leave_builder{Instance: instance}.Build())
	}
	return messageReply(http.StatusOK, m.Build())
}
