// Package anvilintake decides on callers' requests about jobs: it stores submissions and cancellations, and
// answers queries from the job states that this instance follows in the store's feed.
package anvilintake

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"anvilhold.org/entry/anvilscheduler"
	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anviladmission"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilevent"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilpolicy"
)

// Store commits transactions and reads single rows. Errors are of type *anvilstorage.Error.
type Store interface {
	Commit(ctx context.Context, tx *anvilstorage.Tx) (anvilstorage.Receipt, error)
	Get(ctx context.Context, table anvilstorage.Table, key string) (anvilstorage.Row, error)
	Now() anvilclock.Millis
}

// Control is what the intake uses of the scheduler's control loop.
type Control interface {
	View() *anvilscheduler.View
	Connectivity() *anvilscheduler.Connectivity
	Directory() *anvilscheduler.Directory
	Backlog() *anviladmission.Backlog
	UpdatePolicy(page anvilstorage.PolicyPage)
	Clock() anvilclock.Clock
}

// Notifier sends rows that were just stored to the instance at addr, which forwards them to the addresses in forwardTo.
// It does not block, and a notification may be lost: the receiver also reads the rows from the store's feed.
type Notifier interface {
	Notify(addr string, forwardTo []string, rows ...anvilstorage.Row)
}

// Forwarder sends a call to another instance, which decides on it. After an error the call may have been carried out
// or not.
type Forwarder interface {
	Forward(ctx context.Context, addr string, kind Kind, c Call, spec *anviljob.Spec) (Reply, error)
}

// Meter counts events and records durations as metrics.
type Meter interface {
	Count(name string)
	Observe(name string, d time.Duration)
}

// Intake decides on calls. It is safe for concurrent use.
type Intake struct {
	store     Store
	control   Control
	notifier  Notifier
	forwarder Forwarder
	log       *anvilevent.Log
	meter     Meter
	batch     *batcher
	gate      *anviladmission.Gate
	// configAge is the time since the configuration was last confirmed up to which calls are decided by it.
	configAge anvilclock.Millis
}

// Option sets an optional part of an Intake.
type Option func(*Intake)

// WithConfigBound sets the time after which calls may no longer be decided by an older configuration than the acknowledged
// one. Without it, or with a longer one, maxConfigAge holds.
func WithConfigBound(d anvilclock.Millis) Option {
	return func(in *Intake) {
		if d > 0 {
			in.configAge = min(d, maxConfigAge)
		}
	}
}

// New returns an intake. All arguments but the options are required.
func New(store Store, control Control, notifier Notifier, forwarder Forwarder, log *anvilevent.Log, meter Meter, opts ...Option) *Intake {
	in := &Intake{
		store: store, control: control, notifier: notifier, forwarder: forwarder, log: log, meter: meter, batch: newBatcher(store, control.Clock()),
		gate: anviladmission.NewGate(), configAge: maxConfigAge,
	}
	for _, opt := range opts {
		opt(in)
	}
	return in
}

// Time limits and delays.
const (
	// maxConfigAge bounds the time since the configuration was last confirmed up to which calls are decided by it. A
	// withdrawn key must stop working within 5 s.
	maxConfigAge = anvilclock.Millis(3000)
	// maxWaitingAge is the time since the states of jobs were last read up to which a queue's waiting jobs are counted. A job must
	// count 5 s after it was accepted.
	maxWaitingAge = anvilclock.Millis(4000)
	// commitTimeout bounds one commit. A slow store takes a quarter of a second for it, and up to a second
	// before that for the transactions ahead of it.
	commitTimeout = 1400 * time.Millisecond
	// commitRetryDelay is the delay between two commits of the same call. A store that refuses has a second's worth of
	// transactions queued, and the leader's commits must get in between the retries.
	commitRetryDelay = 150 * time.Millisecond
	// defaultDeadline bounds a call without a deadline.
	defaultDeadline = 3 * time.Second
	// answerReserve is the part of a caller's deadline that is left for sending the answer.
	answerReserve = 120 * time.Millisecond
	// retryDelay is the delay after which a refused caller is asked to retry.
	retryDelay = anvilclock.Millis(1000)
	// maxRefusedTime is how long a submission is retried while the store refuses it; after that the caller is refused.
	maxRefusedTime = 2 * time.Second
)

// Result is the outcome of a call.
type Result int

// The results of a call.
const (
	Accepted     Result = iota // the submission or cancellation is stored
	Answered                   // the state or count is known
	Refused                    // nothing was done, and nothing will be
	Unknown                    // the call may have been carried out
	NoQueue                    // there is no such queue
	NoJob                      // there is no such job
	Unauthorized               // the key is not known
	Invalid                    // the call is malformed or can never be carried out
	Overloaded                 // nothing was done, because there is no capacity for the job while it has a value
)

var resultNames = [...]string{"accepted", "answered", "refused", "unknown", "no queue", "no job", "unauthorized", "invalid", "overloaded"}

// String returns the name that metrics, log lines and messages use; it panics for a value that isn't a constant above.
func (r Result) String() string { return resultNames[r] }

// ParseResult is the inverse of String; it reports false for an unknown name.
func ParseResult(name string) (Result, bool) {
	i := slices.Index(resultNames[:], name)
	return Result(i), i >= 0
}

// Reply is the answer to a call. Which fields are set depends on the result.
type Reply struct {
	result  Result
	reason  string
	state   anviljob.State
	waiting int
	retry   anvilclock.Millis
}

// NewReply returns a reply. reason is one line for people, which is empty for success.
func NewReply(result Result, reason string) Reply { return Reply{result: result, reason: reason} }

// RestoreReply returns the reply of another instance, decoded from its message.
func RestoreReply(result Result, reason string, state anviljob.State, retry anvilclock.Millis) Reply {
	return Reply{result: result, reason: reason, state: state, retry: retry}
}

// Result returns the outcome; Reason, State, Waiting and Retry explain it.
func (r Reply) Result() Result { return r.result }

// Reason returns why the call did not succeed, in one line for people; empty for success.
func (r Reply) Reason() string { return r.reason }

// State returns the state of the job; set only when the result of a state call is Answered.
func (r Reply) State() anviljob.State { return r.state }

// Waiting returns the number of a queue's jobs that have not begun; set only by Intake.Waiting.
func (r Reply) Waiting() int { return r.waiting }

// Retry returns the delay after which a refused caller should retry; 0 when the result is neither Refused nor Overloaded.
func (r Reply) Retry() anvilclock.Millis { return r.retry }

// Call is a caller's request: the host and path that were called, and the caller's key.
type Call struct {
	host string
	path string
	key  string
}

// NewCall returns a call. The path names a queue, or a job in a queue; the key may be empty.
func NewCall(host, path, key string) Call { return Call{host: host, path: path, key: key} }

// Host returns the host of the URL that was called.
func (c Call) Host() string { return c.host }

// Path returns the path of the URL that was called.
func (c Call) Path() string { return c.path }

// Key returns the caller's key; empty when the call has none.
func (c Call) Key() string { return c.key }

// admission is a call with the queue, team and job that it resolved to.
type admission struct {
	view  *anvilscheduler.View
	queue *anvilpolicy.Queue
	team  string
	id    string
}

func refuse(reason string) *Reply { return &Reply{result: Refused, reason: reason, retry: retryDelay} }

// admit resolves the queue and the team of a call, or returns the reply that rejects it.
func (in *Intake) admit(c Call) (admission, *Reply) {
	a := admission{view: in.control.View()}
	policy := a.view.Policy()
	if policy == nil {
		return a, refuse("the configuration has not been read yet")
	}
	var ok bool
	if a.queue, a.id, ok = policy.Route(c.host, c.path); !ok {
		return a, in.reject(a.view, NoQueue, "there is no queue at this host and path")
	}
	if a.queue.Open() && c.key == "" {
		return a, nil
	}
	if a.team, ok = policy.TeamByKey(c.key); !ok && !a.queue.Open() {
		return a, in.reject(a.view, Unauthorized, "the key is not known")
	}
	return a, nil
}

// reject returns the reply that rejects a call by the configuration of a view. A newer configuration may allow the call, so one
// that isn't confirmed rejects nothing for good.
func (in *Intake) reject(v *anvilscheduler.View, result Result, reason string) *Reply {
	if !in.configFresh(v) {
		return refuseUnconfirmed()
	}
	return &Reply{result: result, reason: reason}
}

func refuseUnconfirmed() *Reply { return refuse("the configuration can't be confirmed") }

// configFresh reports whether the configuration was confirmed recently enough to decide calls.
func (in *Intake) configFresh(v *anvilscheduler.View) bool {
	return v.Confirmed() > 0 && in.control.Clock().Now()-v.Confirmed() < in.configAge
}

const idLength = 16

func validID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// condition returns the version that the row of the configuration must have in a commit of a call, or 0 for no condition. While
// the configuration is confirmed, its age bounds how long an older version decides calls, and a change that doesn't concern
// the call is no conflict. Otherwise the store confirms it with the commit.
func (in *Intake) condition(v *anvilscheduler.View) int64 {
	if in.configFresh(v) {
		return 0
	}
	return v.PolicyRowVersion()
}

// Submit stores a job. A submission is idempotent: an id that is already stored is accepted and leaves the stored job as it is.
func (in *Intake) Submit(ctx context.Context, c Call, spec *anviljob.Spec) Reply {
	return in.serve(ctx, KindSubmit, c, spec)
}

// submit stores a job. The bool reports whether a commit got no answer, so that the job may be stored even if
// the reply is a refusal.
func (in *Intake) submit(ctx context.Context, c Call, spec *anviljob.Spec) (Reply, bool) {
	begin := time.Now()
	unknown := false
	for {
		reply, retry := in.submitOnce(ctx, c, spec, &unknown)
		if !retry {
			return reply, unknown
		}
		if !unknown && time.Since(begin) > maxRefusedTime {
			return *refuse("the store does not take submissions"), false
		}
		select {
		case <-time.After(commitRetryDelay):
		case <-in.control.Connectivity().PartitionDetected():
		case <-ctx.Done():
			return *refuse("the store does not answer"), unknown
		}
	}
}

// submitOnce tries once to store a submission, and reports whether to retry. It sets unknown when the commit may have
// been applied.
func (in *Intake) submitOnce(ctx context.Context, c Call, spec *anviljob.Spec, unknown *bool) (Reply, bool) {
	connectivity := in.control.Connectivity()
	a, rejection := in.admit(c)
	if rejection != nil {
		return *rejection, false
	}
	if !validID(a.id) {
		return Reply{result: Invalid, reason: "the id is not 16 hexadecimal digits"}, false
	}
	if connectivity.Partitioned() {
		return *refusePartitioned(), false
	}
	if _, ok := in.control.Directory().Find(a.id); ok && in.configFresh(a.view) {
		return Reply{result: Accepted}, false
	}
	if reply := in.overloaded(ctx, a, spec, *unknown); reply != nil {
		return *reply, false
	}
	sub := anviljob.NewSubmission(a.id, a.queue.Name(), a.team, in.store.Now(), spec).WithAddress(a.queue.Address())
	state := anvilstorage.NewJobState(a.id, a.queue.Name(), a.team, anviljob.Queued, 0).WithAddress(a.queue.Address())
	rows, err := submission(sub, a.queue, state)
	if err != nil {
		return Reply{result: Invalid, reason: err.Error()}, false
	}
	receipt, err := in.batch.commit(ctx, connectivity.PartitionDetected(), a.id, rows, in.condition(a.view))
	if err == nil {
		in.control.Directory().Put(state, receipt.Version())
		in.notify(rows)
		return Reply{result: Accepted}, false
	}
	e := anvilstorage.As(err)
	switch e.Kind() {
	case anvilstorage.Conflict:
		if p := e.Policy(); p != nil && p.RowVersion() != a.view.PolicyRowVersion() {
			// The newer configuration may not allow the call, also for a job that is stored.
			in.control.UpdatePolicy(*p)
			return Reply{}, true
		}
		if e.Row(anvilstorage.States, a.id).Version() != 0 {
			return Reply{result: Accepted}, false
		}
	case anvilstorage.Unknown:
		*unknown = true
	default:
	}
	return Reply{}, true
}

// notify sends the intake rows of a transaction to the leader.
func (in *Intake) notify(rows []anvilstorage.Row) {
	addr := in.control.View().LeaderAddr()
	if addr == "" {
		return
	}
	for _, r := range rows {
		if r.Table() == anvilstorage.Intake {
			in.notifier.Notify(addr, nil, r)
		}
	}
}

// submission returns the rows that store a job: one in the intake table and one in the states table. It fails when the
// store would refuse them, because that would refuse the submissions that share their transaction, too.
func submission(sub *anviljob.Submission, queue *anvilpolicy.Queue, state anvilstorage.JobState) ([]anvilstorage.Row, error) {
	intake, err := anvilstorage.SubmissionRow(sub, anvilstorage.WithQueue(queue))
	if err != nil {
		return nil, err
	}
	if n := len(intake.Value()); n > anvilstorage.MaxRowBytes {
		return nil, fmt.Errorf("the job takes %d bytes; at most %d can be stored", n, anvilstorage.MaxRowBytes)
	}
	states, err := anvilstorage.StateRow(state)
	if err != nil {
		return nil, err
	}
	return []anvilstorage.Row{intake, states}, nil
}

// remaining returns the time left for deciding on a call.
func remaining(ctx context.Context) time.Duration {
	at, ok := ctx.Deadline()
	if !ok {
		return defaultDeadline - answerReserve
	}
	return max(time.Until(at)-answerReserve, answerReserve)
}

// find returns the state of a job from memory or, if it isn't there, from the store.
func (in *Intake) find(ctx context.Context, a admission) (anvilstorage.JobState, *Reply) {
	if s, ok := in.control.Directory().Find(a.id); ok {
		return s, nil
	}
	row, err := in.store.Get(ctx, anvilstorage.States, a.id)
	if err != nil {
		return anvilstorage.JobState{}, refuse("the store does not answer")
	}
	if row.Version() == 0 {
		return anvilstorage.JobState{}, &Reply{result: NoJob, reason: "there is no such job"}
	}
	s, err := anvilstorage.ParseState(row)
	if err != nil {
		in.log.Fault(anvilevent.RowUnreadable, err, "table", string(anvilstorage.States), "key", a.id)
		return s, refuse("the job's state can't be read")
	}
	in.control.Directory().Put(s, row.Version())
	return s, nil
}

// owns reports whether a stored job is one of the team in the queue of the call, or was accepted at the URL that was called: callers know a
// queue by its host and path, whichever queue answers there now. A job that was accepted without a key belongs to all callers of its queue.
func (a admission) owns(s anvilstorage.JobState, c Call) bool {
	if s.Team() != "" && s.Team() != a.team {
		return false
	}
	if s.Address() != "" && s.Address() == a.calledAddress(c) {
		return true
	}
	q, ok := a.view.Policy().QueueOfJob(s.Address(), s.Queue())
	return ok && q == a.queue
}

// calledAddress returns the address at which the URL of a call names the job. A queue with a shorter prefix may answer there.
func (a admission) calledAddress(c Call) string {
	return anvilpolicy.AddressOf(c.host, strings.TrimSuffix(c.path, a.id))
}

// idAtEnd returns the id with which a path ends, or the whole path if it has none.
func idAtEnd(path string) string { return path[max(0, len(path)-idLength):] }

// findOwned returns the state of the job that a call names. A job of another queue or team is reported as missing.
func (in *Intake) findOwned(ctx context.Context, c Call) (admission, anvilstorage.JobState, *Reply) {
	a, rejection := in.admit(c)
	if rejection != nil {
		return a, anvilstorage.JobState{}, rejection
	}
	if in.control.Connectivity().Partitioned() {
		return a, anvilstorage.JobState{}, refusePartitioned()
	}
	if !in.configFresh(a.view) {
		return a, anvilstorage.JobState{}, refuseUnconfirmed()
	}
	if !validID(a.id) {
		// A queue with a shorter prefix answers in place of the one that has accepted the job.
		a.id = idAtEnd(c.path)
	}
	if !validID(a.id) {
		return a, anvilstorage.JobState{}, &Reply{result: NoJob, reason: "there is no such job"}
	}
	s, rejection := in.find(ctx, a)
	if rejection == nil && !a.owns(s, c) {
		rejection = &Reply{result: NoJob, reason: "there is no such job"}
	}
	return a, s, rejection
}

// State looks up the state of a job. The result is Answered only while the configuration is confirmed, so that a
// withdrawn key stops working.
func (in *Intake) State(ctx context.Context, c Call) Reply { return in.serve(ctx, KindState, c, nil) }

func (in *Intake) state(ctx context.Context, c Call) Reply {
	_, s, rejection := in.findOwned(ctx, c)
	if rejection != nil {
		return *rejection
	}
	return Reply{result: Answered, state: s.State()}
}

// Waiting counts the jobs of a queue that have not begun. It reads only memory and does not block.
func (in *Intake) Waiting(c Call) Reply {
	begin := time.Now()
	a, rejection := in.admit(c)
	var reply Reply
	switch {
	case rejection != nil:
		reply = *rejection
	case !in.configFresh(a.view) || !a.view.Synced() || in.control.Clock().Now()-in.control.Directory().ReadAt() > maxWaitingAge:
		reply = *refuse("the states of jobs can't be confirmed")
	default:
		reply = Reply{result: Answered, waiting: in.control.Directory().Waiting(a.view.Policy(), a.queue)}
	}
	in.record("waiting", c, reply, begin)
	return reply
}

// NamesQueue reports whether the path of a call names a queue and no job. It is false for an unknown queue or key.
func (in *Intake) NamesQueue(c Call) bool {
	a, rejection := in.admit(c)
	return rejection == nil && a.id == ""
}

// Cancel stores the cancellation of a job, on which the leader acts. It accepts the cancellation of an ended job too,
// without storing anything. The result for a job that isn't stored is NoJob, and a submission of it that arrives later starts
// nothing.
func (in *Intake) Cancel(ctx context.Context, c Call) Reply { return in.serve(ctx, KindCancel, c, nil) }

// cancel stores a cancellation. The bool reports whether a commit got no answer, so that the cancellation may
// be stored even if the reply is a refusal.
func (in *Intake) cancel(ctx context.Context, c Call) (Reply, bool) {
	unknown := false
	for {
		reply, retry := in.cancelOnce(ctx, c, &unknown)
		if !retry {
			return reply, unknown
		}
		select {
		case <-time.After(commitRetryDelay):
		case <-in.control.Connectivity().PartitionDetected():
		case <-ctx.Done():
			return Reply{result: Unknown, reason: "the store does not answer"}, true
		}
	}
}

// cancelOnce tries once to store a cancellation, and reports whether to retry. It sets unknown when the commit may have
// been applied.
func (in *Intake) cancelOnce(ctx context.Context, c Call, unknown *bool) (Reply, bool) {
	a, s, rejection := in.findOwned(ctx, c)
	reply := Reply{result: Accepted}
	switch {
	case rejection != nil && rejection.result == NoJob && validID(a.id) && s.ID() == "":
		// A submission without an answer may still be stored. The cancellation waits for it, so that it starts nothing.
		reply = *rejection
	case rejection != nil:
		return *rejection, false
	case s.State().Ended():
		return reply, false
	}
	tx := anvilstorage.NewTx(anvilstorage.CallsPartition)
	tx.ExpectPolicy(in.condition(a.view))
	queue, address, team := a.queue.Name(), a.calledAddress(c), a.team
	if s.ID() != "" {
		// The queue may have had another name, or address, when it accepted the job.
		queue, address, team = s.Queue(), s.Address(), s.Team()
	}
	row, err := anvilstorage.CancelRow(a.id, queue, address, team)
	if err != nil {
		return *refuse(err.Error()), false
	}
	tx.Set(row)
	tryCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if _, err = in.store.Commit(tryCtx, tx); err == nil {
		in.notify(tx.Sets())
		return reply, false
	}
	e := anvilstorage.As(err)
	*unknown = *unknown || e.Kind() == anvilstorage.Unknown
	if p := e.Policy(); p != nil {
		in.control.UpdatePolicy(*p)
	}
	return Reply{}, true
}

// record counts and logs a call. Answered calls are only counted, because callers poll.
func (in *Intake) record(operation string, c Call, r Reply, begin time.Time) {
	took := time.Since(begin)
	in.meter.Count("call." + operation + "." + r.result.String())
	in.meter.Observe("call."+operation, took)
	event := anvilevent.JobAnswered
	switch {
	case r.result == Answered:
		return
	case operation == "submit" && r.result == Accepted:
		event = anvilevent.JobAccepted
	case operation == "submit":
		event = anvilevent.JobRefused
	}
	v := in.control.View()
	version := int64(0)
	if v.Policy() != nil {
		version = v.Policy().Version()
	}
	in.log.Record(event, "call", operation, "path", c.path, "result", r.result.String(), "reason", r.reason,
		"took", took.Milliseconds(), "policy", version, "age", int64(in.control.Clock().Now()-v.Confirmed()))
}
