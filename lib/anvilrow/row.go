// Package anvilrow describes the rows that anvilhold keeps in the platform's table, apart from
// their encoding.
package anvilrow

import (
	"strings"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilshard"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// Prefixes of the keys.
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

// Value is what a row holds: one of the types of this package.
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

// New returns a row to be written.
func New(key string, v Value) Row { return Row{key: key, value: v} }

// Read returns a row that was read. A deleted row is one that was deleted at its version.
func Read(key string, v Value, version int64, change string, deleted bool) Row {
	return Row{key: key, value: v, version: version, change: change, deleted: deleted}
}

// Key returns the key.
func (r Row) Key() string { return r.key }

// Name returns the key without its prefix of one word.
func (r Row) Name() string {
	_, name, _ := strings.Cut(r.key, "/")
	return name
}

// Version returns the table's version at which the row was written.
func (r Row) Version() int64 { return r.version }

// Change returns the id of the change that wrote the row.
func (r Row) Change() string { return r.change }

// Deleted reports whether the row was deleted.
func (r Row) Deleted() bool { return r.deleted }

// Value returns what the row holds; nil for a deleted row.
func (r Row) Value() Value { return r.value }

// Session is an entry instance's heartbeat.
type Session struct{ session anvilshard.Session }

// NewSession returns the value of a session row.
func NewSession(s anvilshard.Session) Session { return Session{session: s} }

// Session returns the session.
func (v Session) Session() anvilshard.Session { return v.session }

// Join is written once by an entry instance and deleted together with its session. Its version never
// changes, so a commit can check that the session still exists.
type Join struct{ instance string }

// NewJoin returns the value of a join row.
func NewJoin(instance string) Join { return Join{instance: instance} }

// Instance returns the instance.
func (v Join) Instance() string { return v.instance }

// Shard is a shard's owner and epoch.
type Shard struct{ shard anvilshard.Shard }

// NewShard returns the value of a shard row.
func NewShard(s anvilshard.Shard) Shard { return Shard{shard: s} }

// Shard returns the shard; its version is that of the row.
func (v Shard) Shard() anvilshard.Shard { return v.shard }

// Escrow is the parts of a team's limit by shard.
type Escrow struct {
	team        string
	allocations map[string]anvilsize.Size
}

// NewEscrow returns the value of an escrow row. It keeps the map.
func NewEscrow(team string, allocations map[string]anvilsize.Size) Escrow {
	return Escrow{team: team, allocations: allocations}
}

// Team returns the team.
func (v Escrow) Team() string { return v.team }

// Allocations returns the parts by shard; the map must not be changed.
func (v Escrow) Allocations() map[string]anvilsize.Size { return v.allocations }

// Contract is a team's contract.
type Contract struct{ contract anvilconfig.Contract }

// NewContract returns the value of a contract row.
func NewContract(c anvilconfig.Contract) Contract { return Contract{contract: c} }

// Contract returns the contract.
func (v Contract) Contract() anvilconfig.Contract { return v.contract }

// Key is a key's hash and what it opens.
type Key struct{ key anvilconfig.Key }

// NewKey returns the value of a key row.
func NewKey(k anvilconfig.Key) Key { return Key{key: k} }

// Key returns the key.
func (v Key) Key() anvilconfig.Key { return v.key }

// Leave marks an instance as leaving.
type Leave struct{ instance string }

// NewLeave returns the value of a leave row.
func NewLeave(instance string) Leave { return Leave{instance: instance} }

// Instance returns the instance.
func (v Leave) Instance() string { return v.instance }

// Version is the number of the configuration.
type Version struct{ number int64 }

// NewVersion returns the value of the version row.
func NewVersion(n int64) Version { return Version{number: n} }

// Number returns the number.
func (v Version) Number() int64 { return v.number }

// Claim names the shard in which the task with an id was accepted, so that the same id is never
// accepted in two shards.
type Claim struct{ shard string }

// NewClaim returns the value of a claim row.
func NewClaim(shard string) Claim { return Claim{shard: shard} }

// Shard returns the shard.
func (v Claim) Shard() string { return v.shard }

// TaskState is how far an accepted task has come, as its row says.
type TaskState string

// The states of a task row.
const (
	Accepted TaskState = "accepted"
	Done     TaskState = "done"
	Failed   TaskState = "failed"
	Stopped  TaskState = "stopped"
	Unknown  TaskState = "unknown"
)

// Task is an accepted batch task or all-at-once job.
type Task struct {
	task       *anviltask.Task
	state      TaskState
	code       string
	at         anvilclock.Millis
	checkpoint string
}

// NewTask returns the value of a task row; at is the Unix time of its last change.
func NewTask(t *anviltask.Task, state TaskState, code string, at anvilclock.Millis, checkpoint string) Task {
	return Task{task: t, state: state, code: code, at: at, checkpoint: checkpoint}
}

// Task returns the task.
func (v Task) Task() *anviltask.Task { return v.task }

// State returns the state.
func (v Task) State() TaskState { return v.state }

// Code returns the reason code of the end.
func (v Task) Code() string { return v.code }

// At returns the Unix time of the last change.
func (v Task) At() anvilclock.Millis { return v.at }

// Checkpoint returns the object to resume from.
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
