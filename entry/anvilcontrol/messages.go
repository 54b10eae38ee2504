package anvilcontrol

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// Message is what other goroutines send to the loop through an Inbox. Channels for replies must have a buffer of one,
// so that the loop never blocks on a caller that has stopped waiting.
type Message interface {
	message()
}

// Result is the outcome of a submitted task.
type Result struct {
	err    *anvilerror.Error
	answer []byte
	id     string
}

// NewAnswer returns the result of a service request that was answered.
func NewAnswer(answer []byte) Result { return Result{answer: answer} }

// NewAccepted returns the result of a batch task or a gang job that was accepted; id includes its home shard.
func NewAccepted(id string) Result { return Result{id: id} }

// NewFailure returns the result of a task that was refused, has failed, or has an unknown outcome.
func NewFailure(err *anvilerror.Error) Result { return Result{err: err} }

// Err returns why the task was refused or failed, or that its outcome is unknown. It is nil if the task was answered
// or accepted.
func (r Result) Err() *anvilerror.Error { return r.err }

// Answer returns the answer to a service request; nil for an accepted task and after a failure.
func (r Result) Answer() []byte { return r.answer }

// ID returns the id of an accepted task, which includes its home shard; empty for other results.
func (r Result) ID() string { return r.id }

// Submit asks the loop to run a task of a caller or of another entry instance.
type Submit struct {
	forward Forward
	reply   chan<- Result
}

// NewSubmit returns a message; the result is sent to reply, which must have a buffer of one.
func NewSubmit(f Forward, reply chan<- Result) Submit { return Submit{forward: f, reply: reply} }

// Decision records one scheduling decision on a task, for instance its placement on a worker.
type Decision struct {
	at    anvilclock.Millis
	event int
	text  string
}

// At returns the time of the decision in Unix milliseconds.
func (s Decision) At() anvilclock.Millis { return s.at }

// Event returns the number of the decision's event in package anvilevent.
func (s Decision) Event() int { return s.event }

// Text describes the decision in one line.
func (s Decision) Text() string { return s.text }

// Status is the answer to a Query: the state of a task, or an error.
type Status struct {
	err       *anvilerror.Error
	id        string
	team      string
	state     string
	code      string
	reason    string
	shard     string
	owner     string
	workers   []string
	tries     int
	decisions []Decision
}

// StatusOption sets an optional field of a Status.
type StatusOption func(*Status)

// WithReason sets the code and the text of the reason why the task has ended or waits.
func WithReason(code, reason string) StatusOption {
	return func(s *Status) { s.code, s.reason = code, reason }
}

// WithDecisions sets the decisions made on the task, oldest first. The status keeps the slice.
func WithDecisions(decisions []Decision) StatusOption {
	return func(s *Status) { s.decisions = decisions }
}

// WithLocation sets the home shard, the instance that answers as its owner, the workers that run the task, and the
// number of starts.
func WithLocation(shard, owner string, workers []string, tries int) StatusOption {
	return func(s *Status) { s.shard, s.owner, s.workers, s.tries = shard, owner, workers, tries }
}

// NewDecision returns a decision made at a time in Unix milliseconds; event is a number of package anvilevent.
func NewDecision(at anvilclock.Millis, event int, text string) Decision {
	return Decision{at: at, event: event, text: text}
}

// NewStatus returns the state of a known task, as the answer to a query.
func NewStatus(id, team, state string, opts ...StatusOption) Status {
	s := Status{id: id, team: team, state: state}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// NewStatusFailure returns the answer to a query that was refused.
func NewStatusFailure(err *anvilerror.Error) Status { return Status{err: err} }

// Err returns why the query was refused; nil if the state is known.
func (s Status) Err() *anvilerror.Error { return s.err }

// ID returns the task's id as the query gave it.
func (s Status) ID() string { return s.id }

// Team returns the name of the team that submitted the task.
func (s Status) Team() string { return s.team }

// State returns the state of the task chart, or the state in the task's row if the task ended under an earlier owner.
func (s Status) State() string { return s.state }

// Code returns the code of the reason why the task has ended or waits; empty if there is none.
func (s Status) Code() string { return s.code }

// Reason returns the reason why the task has ended or waits, as human-readable text.
func (s Status) Reason() string { return s.reason }

// Shard returns the home shard; empty for a task that may run in any shard.
func (s Status) Shard() string { return s.shard }

// Owner returns the entry instance that answered.
func (s Status) Owner() string { return s.owner }

// Workers returns the workers at which the task is starting or running.
func (s Status) Workers() []string { return s.workers }

// Tries returns how many times the task was started.
func (s Status) Tries() int { return s.tries }

// Decisions returns the first 32 decisions made on the task, oldest first.
func (s Status) Decisions() []Decision { return s.decisions }

// Inspect asks the loop for the state of a task, or to cancel it.
type Inspect struct {
	query Query
	reply chan<- Status
}

// NewInspect returns a message; the answer is sent to reply, which must have a buffer of one.
func NewInspect(q Query, reply chan<- Status) Inspect { return Inspect{query: q, reply: reply} }

// Change is an operator's change of the configuration.
type Change struct {
	id      string
	puts    []anvilrow.Row
	deletes []string
	base    int64
	reply   chan<- ChangeResult
}

// NewChange returns a change; id identifies it in the table. base is the version of the configuration on which the
// change is based, 0 to skip that check. The outcome is sent to reply, which must have a buffer of one.
func NewChange(id string, puts []anvilrow.Row, deletes []string, base int64, reply chan<- ChangeResult) Change {
	return Change{id: id, puts: puts, deletes: deletes, base: base, reply: reply}
}

// ChangeResult is the outcome of a change.
type ChangeResult struct {
	err     *anvilerror.Error
	version int64
}

// Err returns why the change was refused, or that its outcome is unknown; nil if it was accepted.
func (r ChangeResult) Err() *anvilerror.Error { return r.err }

// Version returns the version of the configuration that the change made; after an error, the newest version that is
// known.
func (r ChangeResult) Version() int64 { return r.version }

// ExchangeRequest carries the summary of another entry instance; the loop replies with its own.
type ExchangeRequest struct {
	summary Summary
	reply   chan<- Summary
}

// NewExchangeRequest returns a message; reply must have a buffer of one.
func NewExchangeRequest(s Summary, reply chan<- Summary) ExchangeRequest {
	return ExchangeRequest{summary: s, reply: reply}
}

// PushRequest carries configuration rows that another entry instance pushed; the loop replies with the version of the
// configuration that is then in force.
type PushRequest struct {
	rows    []anvilrow.Row
	version int64
	reply   chan<- int64
}

// NewPushRequest returns a message; version is the version of the configuration that rows make, and reply must have a
// buffer of one.
func NewPushRequest(rows []anvilrow.Row, version int64, reply chan<- int64) PushRequest {
	return PushRequest{rows: rows, version: version, reply: reply}
}

// Shutdown starts a graceful stop and closes done at its end: once every request has been answered and every shard has
// been handed over, or can't be because the table is unreachable, and at the latest at the time limit of WithLeave.
type Shutdown struct {
	done chan<- struct{}
}

// NewShutdown returns a message. Of several messages only the first takes effect.
func NewShutdown(done chan<- struct{}) Shutdown { return Shutdown{done: done} }

// RunningTask is a task that a worker reports as running or held.
type RunningTask struct {
	id    string
	job   string
	team  string
	kind  anviltask.Kind
	size  anvilsize.Size
	use   anvilsize.Size
	state string
	once  bool
}

// NewRunningTask returns a task that a worker reports; size is its reservation, and use the resources that it uses,
// which the worker reports with a lag.
func NewRunningTask(id, job, team string, k anviltask.Kind, size, use anvilsize.Size, state string, once bool) RunningTask {
	return RunningTask{id: id, job: job, team: team, kind: k, size: size, use: use, state: state, once: once}
}

// EndedTask is a task that a worker reports as ended.
type EndedTask struct {
	id     string
	job    string
	team   string
	state  string
	code   string
	once   bool
	age    anvilclock.Millis
	answer []byte
}

// NewEndedTask returns a task that a worker reports as ended; age is the time since its end.
func NewEndedTask(id, job, team, state, code string, once bool, age anvilclock.Millis, answer []byte) EndedTask {
	return EndedTask{id: id, job: job, team: team, state: state, code: code, once: once, age: age, answer: answer}
}

// Fenced is the result of Backends.Fence.
type Fenced struct {
	ref    Ref
	err    *anvilerror.Error
	ok     bool
	epoch  int64
	boot   string
	size   anvilsize.Size
	tasks  []RunningTask
	ended  []EndedTask
	cursor int64
	now    anvilclock.Millis
}

// WithWorkerClock returns a copy of m with the worker's clock at the time of the answer.
func (m Fenced) WithWorkerClock(now anvilclock.Millis) Fenced {
	m.now = now
	return m
}

// NewFenced returns a message with the worker's answer. ok is false if the worker has seen a larger epoch. boot is the
// id of the worker's process, ended lists the tasks that ended after the cursor of the fence, and cursor is the position
// after the last of them.
func NewFenced(ref Ref, ok bool, epoch int64, boot string, size anvilsize.Size, tasks []RunningTask, ended []EndedTask, cursor int64) Fenced {
	return Fenced{ref: ref, ok: ok, epoch: epoch, boot: boot, size: size, tasks: tasks, ended: ended, cursor: cursor}
}

// NewFenceFailure returns the result of a fence that got no answer.
func NewFenceFailure(ref Ref, err *anvilerror.Error) Fenced { return Fenced{ref: ref, err: err} }

// Started is the result of Backends.Start.
type Started struct {
	ref    Ref
	err    *anvilerror.Error
	state  string
	code   string
	reason string
	answer []byte
}

// NewStarted returns a message with the worker's answer; state is done, running, held, failed, not-run or unknown.
func NewStarted(ref Ref, state, code, reason string, answer []byte) Started {
	return Started{ref: ref, state: state, code: code, reason: reason, answer: answer}
}

// NewStartFailure returns the result of a start that got no answer. The outcome of err is not-run only if the request
// was never sent.
func NewStartFailure(ref Ref, err *anvilerror.Error) Started { return Started{ref: ref, err: err} }

// Controlled is the result of Backends.Control.
type Controlled struct {
	ref    Ref
	err    *anvilerror.Error
	ok     bool
	code   string
	state  string
	boot   string
	answer []byte
}

// NewControlled returns a message with the worker's answer: whether it carried out the operation, the state of the task
// after it, and the id of the worker's process.
func NewControlled(ref Ref, ok bool, code, state, boot string, answer []byte) Controlled {
	return Controlled{ref: ref, ok: ok, code: code, state: state, boot: boot, answer: answer}
}

// NewControlFailure returns the result of an operation that got no answer.
func NewControlFailure(ref Ref, err *anvilerror.Error) Controlled {
	return Controlled{ref: ref, err: err}
}

// Committed is the result of Table.Commit.
type Committed struct {
	ref      Ref
	err      *anvilerror.Error
	ok       bool
	version  int64
	conflict anvilrow.Row
}

// NewCommitted returns a message with the table's answer: if ok, the version of the table after the commit, otherwise
// the row whose version failed a check.
func NewCommitted(ref Ref, ok bool, version int64, conflict anvilrow.Row) Committed {
	return Committed{ref: ref, ok: ok, version: version, conflict: conflict}
}

// NewCommitFailure returns the result of a commit that got no answer. The outcome of err is not-run only if the commit
// certainly took no effect.
func NewCommitFailure(ref Ref, err *anvilerror.Error) Committed {
	return Committed{ref: ref, err: err}
}

// RowsRead is the result of Table.Read.
type RowsRead struct {
	ref     Ref
	err     *anvilerror.Error
	rows    []anvilrow.Row
	version int64
}

// NewRowsRead returns a message with the rows that were read and the version of the table that they reflect.
func NewRowsRead(ref Ref, rows []anvilrow.Row, version int64) RowsRead {
	return RowsRead{ref: ref, rows: rows, version: version}
}

// NewReadFailure returns the result of a read that got no answer.
func NewReadFailure(ref Ref, err *anvilerror.Error) RowsRead { return RowsRead{ref: ref, err: err} }

// Registration describes an entry instance or a worker in the platform's registry.
type Registration struct {
	id      string
	kind    string
	addr    string
	domain  string
	region  string
	pool    string
	leaving bool
	size    anvilsize.Size
}

// NewRegistration returns a registration; kind is "entry" or "worker". pool and size are those of a worker.
func NewRegistration(id, kind, addr, domain, region, pool string, leaving bool, size anvilsize.Size) Registration {
	return Registration{id: id, kind: kind, addr: addr, domain: domain, region: region, pool: pool, leaving: leaving, size: size}
}

// InstancesRead is the result of Table.Instances.
type InstancesRead struct {
	ref           Ref
	err           *anvilerror.Error
	registrations []Registration
	unreadable    int
}

// NewInstancesRead returns the result of a successful read of the platform's registry. It keeps the slice.
func NewInstancesRead(ref Ref, list []Registration) InstancesRead {
	return InstancesRead{ref: ref, registrations: list}
}

// WithUnreadable returns a copy of the result for a registry that also has n entries which can't be decoded.
func (m InstancesRead) WithUnreadable(n int) InstancesRead {
	m.unreadable = n
	return m
}

// NewInstancesFailure returns the result of a read that got no answer.
func NewInstancesFailure(ref Ref, err *anvilerror.Error) InstancesRead {
	return InstancesRead{ref: ref, err: err}
}

// Submitted is the result of Peers.Submit.
type Submitted struct {
	ref    Ref
	result Result
}

// NewSubmitted returns a message with the outcome at the peer. It is not-run if the call failed before it was sent, and
// unknown if it failed later.
func NewSubmitted(ref Ref, r Result) Submitted { return Submitted{ref: ref, result: r} }

// Inspected is the result of Peers.Inspect.
type Inspected struct {
	ref    Ref
	status Status
}

// NewInspected returns a message with the peer's answer.
func NewInspected(ref Ref, s Status) Inspected { return Inspected{ref: ref, status: s} }

// Exchanged is the result of Peers.Exchange.
type Exchanged struct {
	ref     Ref
	err     *anvilerror.Error
	summary Summary
}

// NewExchanged returns a message with the peer's summary.
func NewExchanged(ref Ref, s Summary) Exchanged { return Exchanged{ref: ref, summary: s} }

// NewExchangeFailure returns the result of an exchange that got no answer.
func NewExchangeFailure(ref Ref, err *anvilerror.Error) Exchanged {
	return Exchanged{ref: ref, err: err}
}

// Pushed is the result of Peers.Push.
type Pushed struct {
	ref     Ref
	err     *anvilerror.Error
	version int64
}

// NewPushed returns a message with the version of the configuration that is in force at the peer, or the error if the
// peer gave no answer.
func NewPushed(ref Ref, version int64, err *anvilerror.Error) Pushed {
	return Pushed{ref: ref, version: version, err: err}
}

// View is an immutable snapshot of control state, which other goroutines read without a message to the loop.
type View struct {
	config       *anvilconfig.Snapshot
	clock        anvilclock.Clock
	trustedUntil anvilclock.Millis
	introduced   bool
	serving      bool
	leaving      bool
}

// Config returns the configuration in force; it is never nil.
func (v *View) Config() *anvilconfig.Snapshot { return v.config }

// Serving reports whether the instance takes requests. It doesn't before it has read the whole configuration, nor
// after the notice period at the beginning of a graceful stop.
func (v *View) Serving() bool { return v.serving }

// Leaving reports whether the instance has begun a graceful stop.
func (v *View) Leaving() bool { return v.leaving }

// Confirmed reports whether the configuration is known to be current, so that keys may be trusted. It compares the
// clock with the end of the confirmation, so that a process that was paused doesn't rely on a confirmation from before
// the pause.
func (v *View) Confirmed() bool { return v.clock.Now() <= v.trustedUntil }

// Introduced reports whether every other entry instance knows of this one. Until then it must not show operators the
// configuration.
func (v *View) Introduced() bool { return v.introduced }

func (Submit) message()          {}
func (Inspect) message()         {}
func (Change) message()          {}
func (ExchangeRequest) message() {}
func (PushRequest) message()     {}
func (Shutdown) message()        {}
func (Fenced) message()          {}
func (Started) message()         {}
func (Controlled) message()      {}
func (Committed) message()       {}
func (RowsRead) message()        {}
func (InstancesRead) message()   {}
func (Submitted) message()       {}
func (Inspected) message()       {}
func (Exchanged) message()       {}
func (Pushed) message()          {}
