package anvilcontrol

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// Ref connects an effect with the message that reports its result.
type Ref uint64

// Backends sends requests to workers. The methods return at once and never block; the result of
// each call is posted to the loop as a Fenced, Started or Controlled message with the same Ref.
type Backends interface {
	Fence(ref Ref, addr string, f Fence)
	Start(ref Ref, addr string, s Start)
	Control(ref Ref, addr string, c Control)
}

// Table reads and writes the platform's table. The methods return at once; results are posted as
// Committed, RowsRead or InstancesRead.
type Table interface {
	Commit(ref Ref, c Commit)
	Read(ref Ref, prefix string, after int64)
	Instances(ref Ref)
}

// Peers sends requests to other entry instances. The methods return at once; results are posted as
// Submitted, Inspected, Exchanged or Pushed. An exchange whose connection is refused, so that no
// process listens there, fails with code anvilerror.NoOwner.
type Peers interface {
	Submit(ref Ref, addr string, f Forward)
	Inspect(ref Ref, addr string, q Query)
	Exchange(ref Ref, addr string, s Summary)
	Push(ref Ref, addr string, rows []anvilrow.Row, version int64)
}

// Fence installs an epoch at a worker, renews its lease and asks what runs and what ended there.
type Fence struct {
	shard  string
	epoch  int64
	lease  anvilclock.Millis
	cursor int64
}

// Shard returns the shard.
func (f Fence) Shard() string { return f.shard }

// Epoch returns the epoch to install.
func (f Fence) Epoch() int64 { return f.epoch }

// Lease returns the time to live of the lease.
func (f Fence) Lease() anvilclock.Millis { return f.lease }

// Cursor returns the position after which ended tasks are reported.
func (f Fence) Cursor() int64 { return f.cursor }

// Start asks a worker to run one task or to hold its place.
type Start struct {
	shard      string
	epoch      int64
	id         string
	job        string
	task       *anviltask.Task
	hold       bool
	checkpoint string
	until      anvilclock.Millis
}

// Until returns the time of the worker's clock after which the start is refused; 0 for none.
func (s Start) Until() anvilclock.Millis { return s.until }

// Shard returns the shard of the worker.
func (s Start) Shard() string { return s.shard }

// Epoch returns the owner's epoch.
func (s Start) Epoch() int64 { return s.epoch }

// ID returns the id under which the worker knows the task.
func (s Start) ID() string { return s.id }

// Job returns the all-at-once job that the task belongs to; empty for a single task.
func (s Start) Job() string { return s.job }

// Task returns the description.
func (s Start) Task() *anviltask.Task { return s.task }

// Hold reports whether only the place is to be held.
func (s Start) Hold() bool { return s.hold }

// Resume returns the object that holds the checkpoint to resume from.
func (s Start) Checkpoint() string { return s.checkpoint }

// Op is a change of a task that a worker has.
type Op string

// The operations. Stop of an id that the worker has never seen makes it refuse that id for good,
// so that its answer "not-run" stays true when the start is still on its way.
const (
	Stop       Op = "stop"
	Checkpoint Op = "checkpoint"
	Throttle   Op = "throttle"
	Resume     Op = "resume"
	Go         Op = "go"
)

// Control changes a task that a worker has.
type Control struct {
	shard string
	epoch int64
	id    string
	op    Op
	until anvilclock.Millis
}

// Until returns the time of the worker's clock after which a go is refused; 0 for none.
func (c Control) Until() anvilclock.Millis { return c.until }

// Shard returns the shard of the worker.
func (c Control) Shard() string { return c.shard }

// Epoch returns the owner's epoch.
func (c Control) Epoch() int64 { return c.epoch }

// ID returns the id under which the worker knows the task.
func (c Control) ID() string { return c.id }

// Op returns the operation.
func (c Control) Op() Op { return c.op }

// Check is a precondition of a commit: the row has this version, 0 when it must not exist.
type Check struct {
	key     string
	version int64
}

// Key returns the key.
func (c Check) Key() string { return c.key }

// Version returns the expected version.
func (c Check) Version() int64 { return c.version }

// Commit is one transaction on the table.
type Commit struct {
	change  string
	checks  []Check
	puts    []anvilrow.Row
	deletes []string
}

// Change returns the id of the change.
func (c Commit) Change() string { return c.change }

// Checks returns the preconditions.
func (c Commit) Checks() []Check { return c.checks }

// Puts returns the rows to write.
func (c Commit) Puts() []anvilrow.Row { return c.puts }

// Deletes returns the keys of the rows to delete.
func (c Commit) Deletes() []string { return c.deletes }

// Forward passes a task to another entry instance.
type Forward struct {
	task    *anviltask.Task
	hops    int
	version int64
}

// NewForward returns a forwarded task; version is that of the configuration under which its key
// was checked.
func NewForward(t *anviltask.Task, hops int, version int64) Forward {
	return Forward{task: t, hops: hops, version: version}
}

// Task returns the task.
func (f Forward) Task() *anviltask.Task { return f.task }

// Hops returns the number of entry instances that the task went through.
func (f Forward) Hops() int { return f.hops }

// Version returns the version of the configuration under which the key was checked.
func (f Forward) Version() int64 { return f.version }

// Query asks about a task, or cancels it.
type Query struct {
	id     string
	team   string
	all    bool
	cancel bool
	hops   int
}

// NewQuery returns a question of a team about a task.
func NewQuery(id, team string, all, cancel bool, hops int) Query {
	return Query{id: id, team: team, all: all, cancel: cancel, hops: hops}
}

// ID returns the task's id.
func (q Query) ID() string { return q.id }

// Team returns the team that asks.
func (q Query) Team() string { return q.team }

// All reports whether the asker sees every team's tasks.
func (q Query) All() bool { return q.all }

// Cancel reports whether the task is to be cancelled.
func (q Query) Cancel() bool { return q.cancel }

// Hops returns the number of entry instances that the question went through.
func (q Query) Hops() int { return q.hops }

// PoolSummary is what an owner has in one pool of one failure domain.
type PoolSummary struct {
	pool    string
	domain  string
	free    anvilsize.Size
	largest anvilsize.Size
	queued  int
	workers int
}

// NewPoolSummary returns a summary.
func NewPoolSummary(pool, domain string, free, largest anvilsize.Size, queued, workers int) PoolSummary {
	return PoolSummary{pool: pool, domain: domain, free: free, largest: largest, queued: queued, workers: workers}
}

// Pool returns the pool.
func (p PoolSummary) Pool() string { return p.pool }

// Domain returns the failure domain.
func (p PoolSummary) Domain() string { return p.domain }

// Free returns the sum of the free sizes.
func (p PoolSummary) Free() anvilsize.Size { return p.free }

// Largest returns the largest free size of a worker in each dimension.
func (p PoolSummary) Largest() anvilsize.Size { return p.largest }

// Queued returns the length of the queue.
func (p PoolSummary) Queued() int { return p.queued }

// Workers returns the number of workers that take new work.
func (p PoolSummary) Workers() int { return p.workers }

// Summary is what entry instances tell each other once a second.
type Summary struct {
	instance        string
	version         int64
	confirmationAge anvilclock.Millis
	pools           []PoolSummary
	teamsAtLimit    []string
	leaving         bool
	rows            []anvilrow.Row
	addr            string
	hello           bool
}

// NeverConfirmed is the age of a confirmation that never was.
const NeverConfirmed anvilclock.Millis = -1

// NewSummary returns a summary. confirmed is the time since the instance confirmed its version of
// the configuration at the table; rows are configuration rows that the asker lacks.
func NewSummary(instance string, version int64, confirmed anvilclock.Millis, pools []PoolSummary, full []string, leaving bool, rows []anvilrow.Row) Summary {
	return Summary{instance: instance, version: version, confirmationAge: confirmed, pools: pools, teamsAtLimit: full, leaving: leaving, rows: rows}
}

// Introduced returns a copy of s with the address of the peer protocol. hello is set while the
// instance introduces itself.
func (s Summary) WithIntroduction(addr string, hello bool) Summary {
	s.addr, s.hello = addr, hello
	return s
}

// Addr returns the address of the instance's peer protocol.
func (s Summary) Addr() string { return s.addr }

// Hello reports whether the instance introduces itself.
func (s Summary) Hello() bool { return s.hello }

// Instance returns the instance that the summary is of.
func (s Summary) Instance() string { return s.instance }

// Version returns the version of the configuration in force there.
func (s Summary) Version() int64 { return s.version }

// Confirmed returns the time since the version was confirmed at the table.
func (s Summary) ConfirmationAge() anvilclock.Millis { return s.confirmationAge }

// Pools returns the summaries by pool and failure domain.
func (s Summary) Pools() []PoolSummary { return s.pools }

// Full returns the teams without room in their parts.
func (s Summary) TeamsAtLimit() []string { return s.teamsAtLimit }

// Leaving reports whether the instance is leaving.
func (s Summary) Leaving() bool { return s.leaving }

// Rows returns configuration rows that the asker lacked.
func (s Summary) Rows() []anvilrow.Row { return s.rows }
