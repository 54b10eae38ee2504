// Package anviltask describes tasks: what a caller has requested, and under which id it runs.
package anviltask

import (
	"fmt"
	"strings"

	"github.com/google/uuid"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// Kind is the scheduling class of a task.
type Kind string

// The kinds of tasks.
const (
	Call    Kind = "call"    // a request to a service; its caller waits for the answer
	Service Kind = "service" // a long-running task whose replicas are spread over failure domains
	Batch   Kind = "batch"   // waits in the queue and is packed tightly
	Gang    Kind = "gang"    // a job of several tasks that start all together or not at all
)

// ParseKind parses the kind of a submitted task. An empty text means Batch; Call can't be submitted.
func ParseKind(text string) (Kind, error) {
	switch k := Kind(text); k {
	case Service, Batch, Gang:
		return k, nil
	case "":
		return Batch, nil
	default:
		return "", fmt.Errorf("kind must be service, batch or gang, not %q", text)
	}
}

// Task describes a task, or all tasks of a gang job. It is immutable and safe for concurrent use.
type Task struct {
	id            string
	team          string
	workspace     string
	pool          string
	kind          Kind
	size          anvilsize.Size
	count         int
	runTime       anvilclock.Millis
	maxWait       anvilclock.Millis
	body          []byte
	nonIdempotent bool
	firstAttempt  bool
	urgent        bool
	shard         string
}

// Option configures a Task.
type Option func(*Task)

// WithTeam sets the team whose limit and share the task counts towards, and the workspace. An empty team is
// for the open queues.
func WithTeam(team, workspace string) Option {
	return func(t *Task) { t.team, t.workspace = team, workspace }
}

// WithSize sets the declared size. For a gang job it is that of each task.
func WithSize(s anvilsize.Size) Option { return func(t *Task) { t.size = s } }

// WithCount sets the number of tasks of a gang job. The default is 1.
func WithCount(n int) Option { return func(t *Task) { t.count = n } }

// WithRunTime sets the declared run time; 0 means unknown.
func WithRunTime(d anvilclock.Millis) Option { return func(t *Task) { t.runTime = d } }

// WithMaxWait sets how long the task may wait in the queue; 0 means without limit.
func WithMaxWait(d anvilclock.Millis) Option { return func(t *Task) { t.maxWait = d } }

// WithBody sets the payload. The task keeps the slice, so the caller must not change it afterwards.
func WithBody(b []byte) Option { return func(t *Task) { t.body = b } }

// WithNonIdempotent sets whether the task is non-idempotent, so that it must not run twice.
func WithNonIdempotent(on bool) Option { return func(t *Task) { t.nonIdempotent = on } }

// WithFirstAttempt sets whether the caller asserts that it has never sent the id of a non-idempotent task
// before.
func WithFirstAttempt(on bool) Option { return func(t *Task) { t.firstAttempt = on } }

// WithUrgent sets whether the task comes before all others and may preempt running tasks.
func WithUrgent(urgent bool) Option { return func(t *Task) { t.urgent = urgent } }

// WithShard sets the home shard; empty means any shard.
func WithShard(shard string) Option { return func(t *Task) { t.shard = shard } }

// New returns a task of kind k for a pool.
func New(id string, k Kind, pool string, opts ...Option) *Task {
	t := &Task{id: id, kind: k, pool: pool, count: 1}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// With returns a copy of t to which opts are applied. The copy shares the payload.
func (t *Task) With(opts ...Option) *Task {
	c := *t
	for _, opt := range opts {
		opt(&c)
	}
	return &c
}

// ID returns the id of the task, without the home shard.
func (t *Task) ID() string { return t.id }

// Team returns the team; empty for the open queues.
func (t *Task) Team() string { return t.team }

// Workspace returns the workspace within the team.
func (t *Task) Workspace() string { return t.workspace }

// Pool returns the pool whose workers can run the task.
func (t *Task) Pool() string { return t.pool }

// Kind returns the scheduling class.
func (t *Task) Kind() Kind { return t.kind }

// Size returns the declared size; for a gang job that of each task.
func (t *Task) Size() anvilsize.Size { return t.size }

// Count returns the number of tasks, which is 1 except for gang jobs.
func (t *Task) Count() int { return t.count }

// Total returns the declared size of all tasks together.
func (t *Task) Total() anvilsize.Size { return t.size.Scale(int64(t.count)) }

// RunTime returns the declared run time; 0 means unknown.
func (t *Task) RunTime() anvilclock.Millis { return t.runTime }

// MaxWait returns how long the task may wait in the queue; 0 means without limit.
func (t *Task) MaxWait() anvilclock.Millis { return t.maxWait }

// Body returns the payload. The caller must not change it.
func (t *Task) Body() []byte { return t.body }

// NonIdempotent reports whether the task is non-idempotent, so that it must not run twice.
func (t *Task) NonIdempotent() bool { return t.nonIdempotent }

// FirstAttempt reports whether the caller asserts that it has never sent the id before.
func (t *Task) FirstAttempt() bool { return t.firstAttempt }

// Urgent reports whether the task comes before all others and may preempt running tasks.
func (t *Task) Urgent() bool { return t.urgent }

// Shard returns the home shard; empty means any shard.
func (t *Task) Shard() string { return t.shard }

// idSeparator is between the home shard and the UUID in the id of an accepted task.
const idSeparator = "~"

// NewID returns a new UUIDv7.
func NewID() string { return uuid.Must(uuid.NewV7()).String() }

// CheckID returns an error unless id is a UUIDv7 in its form of 36 characters.
func CheckID(id string) error {
	u, err := uuid.Parse(id)
	if err != nil || len(id) != 36 {
		return fmt.Errorf("id %q is not a UUID", id)
	}
	if u.Version() != 7 {
		return fmt.Errorf("id %q is a UUID of version %d, want 7", id, u.Version())
	}
	return nil
}

// IDTime returns the Unix time in a UUIDv7, or 0 when id is not a UUIDv7.
func IDTime(id string) anvilclock.Millis {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return 0
	}
	sec, nsec := u.Time().UnixTime()
	return anvilclock.Millis(sec*1000 + nsec/1_000_000)
}

// ShardID returns the id of an accepted task: the home shard followed by the UUID. Any entry instance can find
// the owner by it.
func ShardID(shard, id string) string { return shard + idSeparator + id }

// SplitID returns the home shard and the UUID of an id. The shard is empty when the id names none.
func SplitID(id string) (shard, uid string) {
	if s, u, ok := strings.Cut(id, idSeparator); ok {
		return s, u
	}
	return "", id
}
