package anvilcontrol

import (
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

// Message is anything that traffic goroutines post to the loop. Replies go to channels with room
// for one value, so that the loop never blocks on a caller that has gone.
type Message interface {
	message()
}

// Result is the outcome of a submitted task.
type Result struct {
	err    *anvilerror.Error
	answer []byte
	id     string
}

// NewAnswer returns the outcome of a service request that was answered.
func NewAnswer(answer []byte) Result { return Result{answer: answer} }

// NewAccepted returns the outcome of a batch task that was accepted.
func NewAccepted(id string) Result { return Result{id: id} }

// NewFailure returns the outcome of a task that was refused or whose outcome is not known.
func NewFailure(err *anvilerror.Error) Result { return Result{err: err} }

// Err returns the refusal or failure; nil when the task is done or accepted.
func (r Result) Err() *anvilerror.Error { return r.err }

// Answer returns the answer of a service request.
func (r Result) Answer() []byte { return r.answer }

// ID returns the id of an accepted task.
func (r Result) ID() string { return r.id }

// Submit is a task from a caller or from another entry instance.
type Submit struct {
	forward Forward
	reply   chan<- Result
}

// NewSubmit returns a message; reply must have room for one value.
func NewSubmit(f Forward, reply chan<- Result) Submit { return Submit{forward: f, reply: reply} }

// Step is one decision made on a task.
type Step struct {
	at    anvilclock.Millis
	event int
	text  string
}

// At returns the Unix time of the decision.
func (s Step) At() anvilclock.Millis { return s.at }

// Event returns the event's number.
func (s Step) Event() int { return s.event }

// Text returns the decision on one line.
func (s Step) Text() string { return s.text }

// Status is the state of a task.
type Status struct {
	err     *anvilerror.Error
	id      string
	team    string
	state   string
	code    string
	reason  string
	shard   string
	owner   string
	workers []string
	tries   int
	steps   []Step
}

// StatusOption sets an optional part of a Status.
type StatusOption func(*Status)

// WithReason sets the reason code of the end and its line for people.
func WithReason(code, reason string) StatusOption {
	return func(s *Status) { s.code, s.reason = code, reason }
}

// WithSteps sets the decisions made on the task.
func WithSteps(steps []Step) StatusOption { return func(s *Status) { s.steps = steps } }

// WithWhere sets the shard, its owner and the workers.
func WithLocation(shard, owner string, workers []string, tries int) StatusOption {
	return func(s *Status) { s.shard, s.owner, s.workers, s.tries = shard, owner, workers, tries }
}

// NewStep returns a decision.
func NewStep(at anvilclock.Millis, event int, text string) Step {
	return Step{at: at, event: event, text: text}
}

// NewStatus returns the state of a task.
func NewStatus(id, team, state string, opts ...StatusOption) Status {
	s := Status{id: id, team: team, state: state}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// NewStatusFailure returns a refused question.
func NewStatusFailure(err *anvilerror.Error) Status { return Status{err: err} }

// Err returns the refusal; nil when the state is known.
func (s Status) Err() *anvilerror.Error { return s.err }

// ID returns the task's id.
func (s Status) ID() string { return s.id }

// Team returns the task's team.
func (s Status) Team() string { return s.team }

// State returns the state of the task chart, or of the task's row when the task has ended.
func (s Status) State() string { return s.state }

// Code returns the reason code of the end.
func (s Status) Code() string { return s.code }

// Reason returns the reason of the end for people.
func (s Status) Reason() string { return s.reason }

// Shard returns the home shard.
func (s Status) Shard() string { return s.shard }

// Owner returns the entry instance that answered.
func (s Status) Owner() string { return s.owner }

// Workers returns the workers that the task is on.
func (s Status) Workers() []string { return s.workers }

// Tries returns the number of starts.
func (s Status) Tries() int { return s.tries }

// Steps returns the decisions made on the task.
func (s Status) Steps() []Step { return s.steps }

// Inspect asks about a task or cancels it.
type Inspect struct {
	query Query
	reply chan<- Status
}

// NewInspect returns a message; reply must have room for one value.
func NewInspect(q Query, reply chan<- Status) Inspect { return Inspect{query: q, reply: reply} }

// Change is an operator's change of the configuration.
type Change struct {
	id      string
	puts    []anvilrow.Row
	deletes []string
	base    int64
	reply   chan<- ChangeResult
}

// NewChange returns a change with its id. base is the version that the operator saw, 0 to skip the
// check; reply must have room for one value.
func NewChange(id string, puts []anvilrow.Row, deletes []string, base int64, reply chan<- ChangeResult) Change {
	return Change{id: id, puts: puts, deletes: deletes, base: base, reply: reply}
}

// ChangeResult is the outcome of a change.
type ChangeResult struct {
	err     *anvilerror.Error
	version int64
}

// Err returns the refusal; nil when the change was accepted.
func (r ChangeResult) Err() *anvilerror.Error { return r.err }

// Version returns the version of the configuration with the change, or that which stood in its way.
func (r ChangeResult) Version() int64 { return r.version }

// ExchangeRequest is another entry instance's summary; the loop answers with its own.
type ExchangeRequest struct {
	summary Summary
	reply   chan<- Summary
}

// NewExchangeRequest returns a message; reply must have room for one value.
func NewExchangeRequest(s Summary, reply chan<- Summary) ExchangeRequest {
	return ExchangeRequest{summary: s, reply: reply}
}

// PushRequest are configuration rows that another entry instance pushed.
type PushRequest struct {
	rows    []anvilrow.Row
	version int64
	reply   chan<- int64
}

// NewPushRequest returns a message; reply must have room for one value.
func NewPushRequest(rows []anvilrow.Row, version int64, reply chan<- int64) PushRequest {
	return PushRequest{rows: rows, version: version, reply: reply}
}

// Shutdown tells the loop to leave. done is closed when everything taken has been answered and the
// shards have been handed over.
type Shutdown struct {
	done chan<- struct{}
}

// NewShutdown returns a message.
func NewShutdown(done chan<- struct{}) Shutdown { return Shutdown{done: done} }

// RunningTask is a task in a worker's task list.
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

// NewRunningTask returns a task of a worker's list; use is reported with a lag.
func NewRunningTask(id, job, team string, k anviltask.Kind, size, use anvilsize.Size, state string, once bool) RunningTask {
	return RunningTask{id: id, job: job, team: team, kind: k, size: size, use: use, state: state, once: once}
}

// EndedTask is a finished task in a worker's list.
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

// NewEndedTask returns a finished task; age is the time since its end.
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

// At returns a copy of m with the worker's clock at the time of the answer.
func (m Fenced) WithWorkerClock(now anvilclock.Millis) Fenced {
	m.now = now
	return m
}

// NewFenced returns the worker's answer. With ok unset the worker has seen the larger epoch.
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

// NewStarted returns the worker's answer: state is done, running, held, failed, not-run or unknown.
func NewStarted(ref Ref, state, code, reason string, answer []byte) Started {
	return Started{ref: ref, state: state, code: code, reason: reason, answer: answer}
}

// NewStartFailure returns the result of a start that got no answer. The outcome of err is not-run
// only when the request was never sent.
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

// NewControlled returns the worker's answer: the state of the task after the operation and the id
// of the worker's process.
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

// NewCommitted returns the table's answer: the version after the commit, or the row in its way.
func NewCommitted(ref Ref, ok bool, version int64, conflict anvilrow.Row) Committed {
	return Committed{ref: ref, ok: ok, version: version, conflict: conflict}
}

// NewCommitFailure returns the result of a commit without an answer. The outcome of err is not-run
// only when the commit surely took no effect.
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

// NewRowsRead returns the rows read and the version of the table that they reflect.
func NewRowsRead(ref Ref, rows []anvilrow.Row, version int64) RowsRead {
	return RowsRead{ref: ref, rows: rows, version: version}
}

// NewReadFailure returns the result of a read without an answer.
func NewReadFailure(ref Ref, err *anvilerror.Error) RowsRead { return RowsRead{ref: ref, err: err} }

// Registration is an instance of the platform's list.
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

// NewRegistration returns an instance; kind is entry or worker.
func NewRegistration(id, kind, addr, domain, region, pool string, leaving bool, size anvilsize.Size) Registration {
	return Registration{id: id, kind: kind, addr: addr, domain: domain, region: region, pool: pool, leaving: leaving, size: size}
}

// InstancesRead is the result of Table.Instances.
type InstancesRead struct {
	ref  Ref
	err  *anvilerror.Error
	list []Registration
}

// NewInstancesRead returns the list.
func NewInstancesRead(ref Ref, list []Registration) InstancesRead {
	return InstancesRead{ref: ref, list: list}
}

// NewInstancesFailure returns the result of a read without an answer.
func NewInstancesFailure(ref Ref, err *anvilerror.Error) InstancesRead {
	return InstancesRead{ref: ref, err: err}
}

// Submitted is the result of Peers.Submit.
type Submitted struct {
	ref    Ref
	result Result
}

// NewSubmitted returns the outcome at the peer. A call that broke before it was sent is not-run;
// one that broke after is unknown.
func NewSubmitted(ref Ref, r Result) Submitted { return Submitted{ref: ref, result: r} }

// Inspected is the result of Peers.Inspect.
type Inspected struct {
	ref    Ref
	status Status
}

// NewInspected returns the peer's answer.
func NewInspected(ref Ref, s Status) Inspected { return Inspected{ref: ref, status: s} }

// Exchanged is the result of Peers.Exchange.
type Exchanged struct {
	ref     Ref
	err     *anvilerror.Error
	summary Summary
}

// NewExchanged returns the peer's summary.
func NewExchanged(ref Ref, s Summary) Exchanged { return Exchanged{ref: ref, summary: s} }

// NewExchangeFailure returns the result of an exchange without an answer.
func NewExchangeFailure(ref Ref, err *anvilerror.Error) Exchanged {
	return Exchanged{ref: ref, err: err}
}

// Pushed is the result of Peers.Push.
type Pushed struct {
	ref     Ref
	err     *anvilerror.Error
	version int64
}

// NewPushed returns the version in force at the peer.
func NewPushed(ref Ref, version int64, err *anvilerror.Error) Pushed {
	return Pushed{ref: ref, version: version, err: err}
}

// View is an immutable snapshot of control state that traffic goroutines read without asking the
// loop.
type View struct {
	config       *anvilconfig.Snapshot
	clock        anvilclock.Clock
	trustedUntil anvilclock.Millis
	introduced   bool
	serving      bool
	leaving      bool
}

// Config returns the configuration in force.
func (v *View) Config() *anvilconfig.Snapshot { return v.config }

// Serving reports whether the instance takes requests at all.
func (v *View) Serving() bool { return v.serving }

// Leaving reports whether the instance has been told to stop.
func (v *View) Leaving() bool { return v.leaving }

// Confirmed reports whether the configuration is known to be current, so that keys may be trusted.
// A process that was paused doesn't rely on what was known before the pause.
func (v *View) Confirmed() bool { return v.clock.Now() <= v.trustedUntil }

// Introduced reports whether the instance may tell operators what the configuration is.
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
