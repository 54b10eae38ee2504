// Package anvilrow describes the rows that anvilhold keeps in the platform's table. Package
// entry/anvilcodec encodes them.
package anvilrow

import (
	"strings"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilshard"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// Prefixes of the rows' keys, and the key of the single row with the configuration's version.
const (
	ConfigPrefix   = "config/"
	ContractPrefix = "config/contract/"
	KeyPrefix      = "config/key/"
	LeavePrefix    = "config/leave/"
	VersionKey     = "config/version"
	SessionPrefix  = "session/"
	JoinPrefix     = "join/"
	ShardPrefix    = "shard/"
	EscrowPrefix   = "escrow/"
	TaskPrefix     = "task/"
	ClaimPrefix    = "claim/"
)

// Value is the content of a row. Only types of this package implement it.
type Value interface {
	rowValue()
}

// Row is a row as it was read, or as it is to be written.
type Row struct {
	key     string
	version int64
	change  string
	deleted bool
	value   Value
}

// New returns a row to be written. Its version is 0 and its change is empty.
func New(key string, v Value) Row { return Row{key: key, value: v} }

// Read returns a row that was read. With deleted, the row was deleted at the version and v is nil.
func Read(key string, v Value, version int64, change string, deleted bool) Row {
	return Row{key: key, value: v, version: version, change: change, deleted: deleted}
}

// Key returns the key of the row in the table, with its prefix.
func (r Row) Key() string { return r.key }

// Name returns the part of the key after the first slash; empty when the key has none.
func (r Row) Name() string {
	_, name, _ := strings.Cut(r.key, "/")
	return name
}

// Version returns the table's version at which the row was written or deleted; 0 for a row to be written.
func (r Row) Version() int64 { return r.version }

// Change returns the id of the change that wrote the row, by which a writer whose answer was lost can
// recognise its own commit.
func (r Row) Change() string { return r.change }

// Deleted reports whether the row was deleted.
func (r Row) Deleted() bool { return r.deleted }

// Value returns the content of the row; nil for a deleted row.
func (r Row) Value() Value { return r.value }

// Session is the content of an entry instance's session row.
type Session struct{ session anvilshard.Session }

// NewSession returns the content of a session row.
func NewSession(s anvilshard.Session) Session { return Session{session: s} }

// Session returns the session as the instance last wrote it.
func (v Session) Session() anvilshard.Session { return v.session }

// Join is the content of the row that an entry instance writes once, when it joins, and that is deleted
// together with its session. The row's version never changes, so a commit can check that the session
// still exists.
type Join struct{ instance string }

// NewJoin returns the content of the join row of an entry instance.
func NewJoin(instance string) Join { return Join{instance: instance} }

// Instance returns the id of the entry instance.
func (v Join) Instance() string { return v.instance }

// Shard is the content of a shard's row, with its owner and epoch.
type Shard struct{ shard anvilshard.Shard }

// NewShard returns the content of a shard row.
func NewShard(s anvilshard.Shard) Shard { return Shard{shard: s} }

// Shard returns the shard; its version is that of the row.
func (v Shard) Shard() anvilshard.Shard { return v.shard }

// Escrow is the content of a team's escrow row: the allocations of its limit by shard.
type Escrow struct {
	team        string
	allocations map[string]anvilsize.Size
}

// NewEscrow returns the content of an escrow row. It keeps the map.
func NewEscrow(team string, allocations map[string]anvilsize.Size) Escrow {
	return Escrow{team: team, allocations: allocations}
}

// Team returns the name of the team whose limit is allocated.
func (v Escrow) Team() string { return v.team }

// Allocations returns the allocations by shard; the map must not be changed.
func (v Escrow) Allocations() map[string]anvilsize.Size { return v.allocations }

// Contract is the content of the row that stores a team's contract.
type Contract struct{ contract anvilconfig.Contract }

// NewContract returns the content of a contract row.
func NewContract(c anvilconfig.Contract) Contract { return Contract{contract: c} }

// Contract returns the team's contract.
func (v Contract) Contract() anvilconfig.Contract { return v.contract }

// Key is the content of a key row: the hash of a secret and what the key gives access to.
type Key struct{ key anvilconfig.Key }

// NewKey returns the content of a key row.
func NewKey(k anvilconfig.Key) Key { return Key{key: k} }

// Key returns the hash of the secret, with the team, role and label of the key.
func (v Key) Key() anvilconfig.Key { return v.key }

// Leave is the content of a row that marks an instance as leaving.
type Leave struct{ instance string }

// NewLeave returns the content of a leave row.
func NewLeave(instance string) Leave { return Leave{instance: instance} }

// Instance returns the id of the leaving instance.
func (v Leave) Instance() string { return v.instance }

// Version is the content of the row with the configuration's version number.
type Version struct{ number int64 }

// NewVersion returns the content of the version row; n is the configuration's version number.
func NewVersion(n int64) Version { return Version{number: n} }

// Number returns the version number of the configuration.
func (v Version) Number() int64 { return v.number }

// Claim is the content of the row that names the shard in which the task with an id was accepted, so that
// the same id is never accepted in two shards.
type Claim struct{ shard string }

// NewClaim returns the content of a claim row.
func NewClaim(shard string) Claim { return Claim{shard: shard} }

// Shard returns the name of the shard in which the task was accepted.
func (v Claim) Shard() string { return v.shard }

// TaskState is the state of an accepted task in its row: accepted, or how it ended.
type TaskState string

// The states of a task row.
const (
	Accepted TaskState = "accepted"
	Done     TaskState = "done"
	Failed   TaskState = "failed"
	Stopped  TaskState = "stopped"
	Unknown  TaskState = "unknown"
)

// Task is the content of the row of an accepted batch task or gang job.
type Task struct {
	task       *anviltask.Task
	state      TaskState
	code       string
	at         anvilclock.Millis
	checkpoint string
}

// NewTask returns the content of a task row; at is the Unix time of its last change.
func NewTask(t *anviltask.Task, state TaskState, code string, at anvilclock.Millis, checkpoint string) Task {
	return Task{task: t, state: state, code: code, at: at, checkpoint: checkpoint}
}

// Task returns the accepted task.
func (v Task) Task() *anviltask.Task { return v.task }

// State returns whether the task has ended, and how.
func (v Task) State() TaskState { return v.state }

// Code returns the reason code of the task's end; empty when the task succeeded.
func (v Task) Code() string { return v.code }

// At returns the Unix time of the last change.
func (v Task) At() anvilclock.Millis { return v.at }

// Checkpoint returns the name of the object with the checkpoint to resume from; empty when there is none.
func (v Task) Checkpoint() string { return v.checkpoint }

func (Session) rowValue()  {}
func (Join) rowValue()     {}
func (Shard) rowValue()    {}
func (Escrow) rowValue()   {}
func (Contract) rowValue() {}
func (Key) rowValue()      {}
func (Leave) rowValue()    {}
func (Version) rowValue()  {}
func (Task) rowValue()     {}
func (Claim) rowValue()    {}
