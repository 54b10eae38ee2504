package anvilcontrol

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// Ref identifies a call of Backends, Table or Peers. The message that reports its result carries the same Ref.
type Ref uint64

// Backends sends requests to workers. The methods return at once and never block; the result of each call is posted to
// the loop as a Fenced, Started or Controlled message with the same Ref.
type Backends interface {
	Fence(ref Ref, addr string, f Fence)
	Start(ref Ref, addr string, s Start)
	Control(ref Ref, addr string, c Control)
}

// Table reads and writes the platform's table and reads its registry of instances. The methods return at once; results
// are posted as Committed, RowsRead or InstancesRead with the same Ref. Read reads the rows under prefix that changed
// after a version of the table.
type Table interface {
	Commit(ref Ref, c Commit)
	Read(ref Ref, prefix string, after int64)
	Instances(ref Ref)
}

// Peers sends requests to other entry instances. The methods return at once; results are posted as Submitted,
// Inspected, Exchanged or Pushed with the same Ref. An exchange whose connection is refused, because no process
// listens at the address, fails with code anvilerror.NoOwner.
type Peers interface {
	Submit(ref Ref, addr string, f Forward)
	Inspect(ref Ref, addr string, q Query)
	Exchange(ref Ref, addr string, s Summary)
	Push(ref Ref, addr string, rows []anvilrow.Row, version int64)
}

// Fence installs an epoch at a worker, renews its lease, and asks which tasks run there and which have ended.
type Fence struct {
	shard  string
	epoch  int64
	lease  anvilclock.Millis
	cursor int64
}

// Shard returns the name of the worker's shard.
func (f Fence) Shard() string { return f.shard }

// Epoch returns the epoch to install. The worker refuses later requests under an older epoch.
func (f Fence) Epoch() int64 { return f.epoch }

// Lease returns the time after which the worker stops the shard's tasks unless another fence renews the lease.
func (f Fence) Lease() anvilclock.Millis { return f.lease }

// Cursor returns a position in the worker's list of ended tasks. The worker reports the tasks after it.
func (f Fence) Cursor() int64 { return f.cursor }

// Start asks a worker to run a task, or to reserve capacity for it until a Go.
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

// Until returns the time on the worker's clock after which the worker refuses the start; 0 for none.
func (s Start) Until() anvilclock.Millis { return s.until }

// Shard returns the name of the worker's shard.
func (s Start) Shard() string { return s.shard }

// Epoch returns the epoch under which this instance owns the shard.
func (s Start) Epoch() int64 { return s.epoch }

// ID returns the id under which the worker knows the run.
func (s Start) ID() string { return s.id }

// Job returns the id of the submitted task, which all tasks of a gang job share.
func (s Start) Job() string { return s.job }

// Task returns the task to start, or the gang job whose member is started.
func (s Start) Task() *anviltask.Task { return s.task }

// Hold reports whether the worker only reserves capacity and waits for a Go.
func (s Start) Hold() bool { return s.hold }

// Checkpoint returns the name of the object with the checkpoint to resume from; empty for none.
func (s Start) Checkpoint() string { return s.checkpoint }

// Op is an operation on a task at a worker.
type Op string

// The operations. A worker that gets a Stop with an unknown id refuses every later start with that id, so that its
// answer "not-run" stays true if the start is still in flight.
const (
	Stop       Op = "stop"
	Checkpoint Op = "checkpoint"
	Throttle   Op = "throttle"
	Resume     Op = "resume"
	Go         Op = "go"
)

// Control applies an operation to a task at a worker.
type Control struct {
	shard string
	epoch int64
	id    string
	op    Op
	until anvilclock.Millis
}

// Until returns the time on the worker's clock after which the worker refuses a Go; 0 for none.
func (c Control) Until() anvilclock.Millis { return c.until }

// Shard returns the name of the worker's shard.
func (c Control) Shard() string { return c.shard }

// Epoch returns the epoch under which the run was started.
func (c Control) Epoch() int64 { return c.epoch }

// ID returns the id under which the worker knows the run.
func (c Control) ID() string { return c.id }

// Op returns the operation to apply to the run.
func (c Control) Op() Op { return c.op }

// Check is a precondition of a commit: the row has this version, or doesn't exist if the version is 0.
type Check struct {
	key     string
	version int64
}

// Key returns the table key of the row that is checked.
func (c Check) Key() string { return c.key }

// Version returns the expected version of the row; 0 if the row must not exist.
func (c Check) Version() int64 { return c.version }

// Commit is a transaction on the table. It takes effect as a whole, and only if all checks hold.
type Commit struct {
	change  string
	checks  []Check
	puts    []anvilrow.Row
	deletes []string
}

// Change returns the id of the commit, which is stored with the rows that it writes.
func (c Commit) Change() string { return c.change }

// Checks returns the preconditions. The slice must not be changed.
func (c Commit) Checks() []Check { return c.checks }

// Puts returns the rows to write. The slice must not be changed.
func (c Commit) Puts() []anvilrow.Row { return c.puts }

// Deletes returns the keys of the rows to delete. The slice must not be changed.
func (c Commit) Deletes() []string { return c.deletes }

// Forward is a task that is submitted to an entry instance, by a caller or by another entry instance.
type Forward struct {
	task    *anviltask.Task
	hops    int
	version int64
}

// NewForward returns a submission of a task. hops is the number of entry instances that it went through before, and
// version that of the configuration under which its key was checked.
func NewForward(t *anviltask.Task, hops int, version int64) Forward {
	return Forward{task: t, hops: hops, version: version}
}

// Task returns the submitted task.
func (f Forward) Task() *anviltask.Task { return f.task }

// Hops returns the number of entry instances that the task went through before.
func (f Forward) Hops() int { return f.hops }

// Version returns the version of the configuration under which the key was checked.
func (f Forward) Version() int64 { return f.version }

// Query asks for the state of a task, or cancels it.
type Query struct {
	id     string
	team   string
	all    bool
	cancel bool
	hops   int
}

// NewQuery returns a query of a team about a task. With all set it may concern a task of any team.
func NewQuery(id, team string, all, cancel bool, hops int) Query {
	return Query{id: id, team: team, all: all, cancel: cancel, hops: hops}
}

// ID returns the task's id, with its home shard if it has one.
func (q Query) ID() string { return q.id }

// Team returns the team of the caller.
func (q Query) Team() string { return q.team }

// All reports whether the query may concern a task of any team, as operators' queries may.
func (q Query) All() bool { return q.all }

// Cancel reports whether the task is to be cancelled.
func (q Query) Cancel() bool { return q.cancel }

// Hops returns the number of entry instances that the query went through before.
func (q Query) Hops() int { return q.hops }

// PoolSummary sums up an instance's workers of one pool in one failure domain. Workers that take no new work don't
// count.
type PoolSummary struct {
	pool    string
	domain  string
	free    anvilsize.Size
	largest anvilsize.Size
	queued  int
	workers int
}

// NewPoolSummary returns a summary. queued is the number of tasks in the instance's queue for the pool.
func NewPoolSummary(pool, domain string, free, largest anvilsize.Size, queued, workers int) PoolSummary {
	return PoolSummary{pool: pool, domain: domain, free: free, largest: largest, queued: queued, workers: workers}
}

// Pool returns the name of the pool.
func (p PoolSummary) Pool() string { return p.pool }

// Domain returns the failure domain of the workers.
func (p PoolSummary) Domain() string { return p.domain }

// Free returns the sum of the workers' free capacity.
func (p PoolSummary) Free() anvilsize.Size { return p.free }

// Largest returns, for each dimension, the largest free capacity of a worker.
func (p PoolSummary) Largest() anvilsize.Size { return p.largest }

// Queued returns the number of tasks in the instance's queue for the pool, in any failure domain.
func (p PoolSummary) Queued() int { return p.queued }

// Workers returns the number of workers that take new work.
func (p PoolSummary) Workers() int { return p.workers }

// Summary is what entry instances exchange about once a second: their version of the configuration, how long ago they
// confirmed it, and their free capacity.
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

// NeverConfirmed is the confirmation age of an instance that has never confirmed its configuration.
const NeverConfirmed anvilclock.Millis = -1

// NewSummary returns a summary. confirmationAge is the time since the instance confirmed its version of the
// configuration at the table, or NeverConfirmed. teamsAtLimit are the teams whose allocations at the instance have no
// free capacity. rows are configuration rows for a peer with an older version.
func NewSummary(instance string, version int64, confirmationAge anvilclock.Millis, pools []PoolSummary, teamsAtLimit []string, leaving bool, rows []anvilrow.Row) Summary {
	return Summary{instance: instance, version: version, confirmationAge: confirmationAge, pools: pools, teamsAtLimit: teamsAtLimit, leaving: leaving, rows: rows}
}

// WithIntroduction returns a copy of s with the ip:port of the instance's peer protocol. hello is set until every
// other entry instance has answered an exchange.
func (s Summary) WithIntroduction(addr string, hello bool) Summary {
	s.addr, s.hello = addr, hello
	return s
}

// Addr returns the ip:port of the instance's peer protocol.
func (s Summary) Addr() string { return s.addr }

// Hello reports whether the instance introduces itself to instances that may not have read its session row.
func (s Summary) Hello() bool { return s.hello }

// Instance returns the id of the instance that the summary describes.
func (s Summary) Instance() string { return s.instance }

// Version returns the version of the configuration in force at the instance.
func (s Summary) Version() int64 { return s.version }

// ConfirmationAge returns the time since the instance confirmed its version at the table, or NeverConfirmed.
func (s Summary) ConfirmationAge() anvilclock.Millis { return s.confirmationAge }

// Pools returns the summaries by pool and failure domain. The slice must not be changed.
func (s Summary) Pools() []PoolSummary { return s.pools }

// TeamsAtLimit returns the teams whose allocations at the instance have no free capacity.
func (s Summary) TeamsAtLimit() []string { return s.teamsAtLimit }

// Leaving reports whether the instance has begun a graceful stop.
func (s Summary) Leaving() bool { return s.leaving }

// Rows returns the whole configuration in an answer to a peer with an older version, otherwise nil.
func (s Summary) Rows() []anvilrow.Row { return s.rows }
