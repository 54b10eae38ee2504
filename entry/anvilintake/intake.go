// Package anvilintake decides on the calls of callers about jobs: it stores submissions and cancellations,
// and answers questions from the states that the instance follows.
package anvilintake

import (
	"context"
	"slices"
	"time"

	"anvilhold.org/entry/anvilscheduler"
	"anvilhold.org/entry/anvilstorage"
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

// Control is the part of the control loop that calls need.
type Control interface {
	View() *anvilscheduler.View
	Connectivity() *anvilscheduler.Connectivity
	Directory() *anvilscheduler.Directory
	UpdatePolicy(page anvilstorage.PolicyPage)
	Clock() anvilclock.Clock
}

// Notifier announces rows that were stored to the instance that schedules. It does not wait.
type Notifier interface {
	Notify(addr string, relays []string, rows ...anvilstorage.Row)
}

// Forwarder has another instance decide on a call. An error says that the call may have been carried out.
type Forwarder interface {
	Forward(ctx context.Context, addr string, kind Kind, c Call, spec *anviljob.Spec) (Reply, error)
}

// Meter counts and measures.
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
}

// New returns an intake.
func New(store Store, control Control, notifier Notifier, forwarder Forwarder, log *anvilevent.Log, meter Meter) *Intake {
	return &Intake{
		store: store, control: control, notifier: notifier, forwarder: forwarder, log: log, meter: meter, batch: newBatcher(store),
	}
}

// Timing.
const (
	// freshness is the greatest age of the configuration under which calls with a key are answered from
	// memory. A key that was taken away must stop working within 5 s.
	freshness = anvilclock.Millis(3000)
	// commitTimeout bounds one try to store submissions; a slow store takes a quarter of a second, after up
	// to a second of others that wait.
	commitTimeout = 1400 * time.Millisecond
	// retryPause is the pause between two tries. A store that refuses has a second of transactions waiting,
	// and what the scheduling instance commits must get through between ours.
	retryPause = 150 * time.Millisecond
	// defaultDeadline bounds a call that names no deadline.
	defaultDeadline = 3 * time.Second
	// answerReserve is kept of a caller's deadline for the way of the answer.
	answerReserve = 120 * time.Millisecond
	// retryAfter is when a refused caller should come back.
	retryAfter = anvilclock.Millis(1000)
	// shedAfter is the longest that a refused call may have waited for the store.
	shedAfter = 2 * time.Second
)

// Result is what becomes of a call.
type Result int

// The results.
const (
	Accepted     Result = iota // the submission or cancellation is stored
	Answered                   // the state or count is known
	Refused                    // nothing was done, and nothing will be
	Unknown                    // it may have been done
	NoQueue                    // there is no such queue
	NoJob                      // there is no such job
	Unauthorized               // the key is not known
	Invalid                    // the call can't be read or can never be carried out
)

var resultNames = [...]string{"accepted", "answered", "refused", "unknown", "no queue", "no job", "unauthorized", "invalid"}

// String returns the name of the result.
func (r Result) String() string { return resultNames[r] }

// ParseResult returns the result with a name.
func ParseResult(name string) (Result, bool) {
	i := slices.Index(resultNames[:], name)
	return Result(i), i >= 0
}

// Reply is the answer to a call.
type Reply struct {
	result  Result
	reason  string
	state   anviljob.State
	waiting int
	retry   anvilclock.Millis
}

// NewReply returns a reply with a line for people.
func NewReply(result Result, reason string) Reply { return Reply{result: result, reason: reason} }

// RestoreReply returns a reply that another instance has given.
func RestoreReply(result Result, reason string, state anviljob.State, retry anvilclock.Millis) Reply {
	return Reply{result: result, reason: reason, state: state, retry: retry}
}

// Result returns what became of the call.
func (r Reply) Result() Result { return r.result }

// Reason returns a line for people; empty for success.
func (r Reply) Reason() string { return r.reason }

// State returns the state of the job.
func (r Reply) State() anviljob.State { return r.state }

// Waiting returns the number of jobs that have not begun.
func (r Reply) Waiting() int { return r.waiting }

// Retry returns when a refused caller should come back.
func (r Reply) Retry() anvilclock.Millis { return r.retry }

// Call says who asks what.
type Call struct {
	host string
	path string
	key  string
}

// NewCall returns a call to a host and path with a key; the key may be empty.
func NewCall(host, path, key string) Call { return Call{host: host, path: path, key: key} }

// Host returns the host that was called.
func (c Call) Host() string { return c.host }

// Path returns the path that was called.
func (c Call) Path() string { return c.path }

// Key returns the caller's key; empty when there is none.
func (c Call) Key() string { return c.key }

// admission is a call whose queue and key were found.
type admission struct {
	view  *anvilscheduler.View
	queue *anvilpolicy.Queue
	team  string
	id    string
}

func refuse(reason string) *Reply { return &Reply{result: Refused, reason: reason, retry: retryAfter} }

// admit finds the queue and the team of a call, or why it is not admitted.
func (in *Intake) admit(c Call) (admission, *Reply) {
	a := admission{view: in.control.View()}
	policy := a.view.Policy()
	if policy == nil {
		return a, refuse("the configuration has not been read yet")
	}
	var ok bool
	if a.queue, a.id, ok = policy.Route(c.host, c.path); !ok {
		return a, &Reply{result: NoQueue, reason: "there is no queue at this host and path"}
	}
	if a.queue.Open() && c.key == "" {
		return a, nil
	}
	if a.team, ok = policy.TeamByKey(c.key); !ok && !a.queue.Open() {
		return a, &Reply{result: Unauthorized, reason: "the key is not known"}
	}
	return a, nil
}

// fresh reports whether the configuration is new enough to answer from memory.
func (in *Intake) fresh(v *anvilscheduler.View) bool {
	return v.Confirmed() > 0 && in.control.Clock().Now()-v.Confirmed() < freshness
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

// Submit stores a job. It is accepted only under the configuration that is in force when it is stored.
// A submission with an id that is known stays the job that it was.
func (in *Intake) Submit(ctx context.Context, c Call, spec *anviljob.Spec) Reply {
	return in.serve(ctx, KindSubmit, c, spec)
}

// submit stores a job, and reports whether a refusal is in doubt because a try got no answer.
func (in *Intake) submit(ctx context.Context, c Call, spec *anviljob.Spec) (Reply, bool) {
	begin := time.Now()
	unknown := false
	for {
		reply, again := in.submitOnce(ctx, c, spec, &unknown)
		if !again {
			return reply, unknown
		}
		if !unknown && time.Since(begin) > shedAfter {
			return *refuse("the store does not take submissions"), false
		}
		select {
		case <-time.After(retryPause):
		case <-in.control.Connectivity().PartitionDetected():
		case <-ctx.Done():
			return *refuse("the store does not answer"), unknown
		}
	}
}

// submitOnce tries once to store a submission, and reports whether another try may help.
func (in *Intake) submitOnce(ctx context.Context, c Call, spec *anviljob.Spec, unknown *bool) (Reply, bool) {
	connectivity := in.control.Connectivity()
	a, not := in.admit(c)
	if not != nil {
		return *not, false
	}
	if !validID(a.id) {
		return Reply{result: Invalid, reason: "the id is not 16 hexadecimal digits"}, false
	}
	if connectivity.Partitioned() {
		return *refusePartitioned(), false
	}
	if _, ok := in.control.Directory().Find(a.id); ok && in.fresh(a.view) {
		return Reply{result: Accepted}, false
	}
	sub := anviljob.NewSubmission(a.id, a.queue.Name(), a.team, in.store.Now(), spec)
	state := anvilstorage.NewJobState(a.id, a.queue.Name(), a.team, anviljob.Queued, 0)
	rows, err := submission(sub, state)
	if err != nil {
		return Reply{result: Invalid, reason: err.Error()}, false
	}
	receipt, err := in.batch.commit(ctx, connectivity.PartitionDetected(), a.id, rows, a.view.Row())
	if err == nil {
		in.control.Directory().Put(state, receipt.Version())
		in.notify(rows)
		return Reply{result: Accepted}, false
	}
	e := anvilstorage.As(err)
	switch e.Kind() {
	case anvilstorage.Conflict:
		if e.Row(anvilstorage.States, a.id).Version() != 0 {
			return Reply{result: Accepted}, false
		}
		if p := e.Policy(); p != nil {
			in.control.UpdatePolicy(*p)
		}
	case anvilstorage.Unknown:
		*unknown = true
	default:
	}
	return Reply{}, true
}

// notify announces the intake rows of a transaction to the instance that schedules.
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

// submission returns the rows that store a job.
func submission(sub *anviljob.Submission, state anvilstorage.JobState) ([]anvilstorage.Row, error) {
	intake, err := anvilstorage.SubmissionRow(sub)
	if err != nil {
		return nil, err
	}
	states, err := anvilstorage.StateRow(state)
	if err != nil {
		return nil, err
	}
	return []anvilstorage.Row{intake, states}, nil
}

// remaining returns how long a call may take.
func remaining(ctx context.Context) time.Duration {
	at, ok := ctx.Deadline()
	if !ok {
		return defaultDeadline - answerReserve
	}
	return max(time.Until(at)-answerReserve, answerReserve)
}

// find returns the state of a job, from memory or from the store.
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

// owned finds a job that belongs to the caller.
func (in *Intake) owned(ctx context.Context, c Call) (admission, anvilstorage.JobState, *Reply) {
	a, not := in.admit(c)
	if not != nil {
		return a, anvilstorage.JobState{}, not
	}
	if in.control.Connectivity().Partitioned() {
		return a, anvilstorage.JobState{}, refusePartitioned()
	}
	if !in.fresh(a.view) {
		return a, anvilstorage.JobState{}, refuse("the configuration can't be confirmed")
	}
	if !validID(a.id) {
		return a, anvilstorage.JobState{}, &Reply{result: NoJob, reason: "there is no such job"}
	}
	s, not := in.find(ctx, a)
	if not == nil && (s.Queue() != a.queue.Name() || s.Team() != a.team) {
		not = &Reply{result: NoJob, reason: "there is no such job"}
	}
	return a, s, not
}

// State returns the state of a job.
func (in *Intake) State(ctx context.Context, c Call) Reply { return in.serve(ctx, KindState, c, nil) }

func (in *Intake) state(ctx context.Context, c Call) Reply {
	_, s, not := in.owned(ctx, c)
	if not != nil {
		return *not
	}
	return Reply{result: Answered, state: s.State()}
}

// Waiting returns how many jobs of a queue have not begun.
func (in *Intake) Waiting(c Call) Reply {
	begin := time.Now()
	a, not := in.admit(c)
	var reply Reply
	switch {
	case not != nil:
		reply = *not
	case !in.fresh(a.view) || !a.view.Synced():
		reply = *refuse("the states of jobs can't be confirmed")
	default:
		reply = Reply{result: Answered, waiting: in.control.Directory().Waiting(a.queue.Name())}
	}
	in.note("waiting", c, reply, begin)
	return reply
}

// Listing reports whether the path of a call names a queue and no job.
func (in *Intake) Listing(c Call) bool {
	a, not := in.admit(c)
	return not == nil && a.id == ""
}

// Cancel stores the cancellation of a job.
func (in *Intake) Cancel(ctx context.Context, c Call) Reply { return in.serve(ctx, KindCancel, c, nil) }

// cancel stores a cancellation, and reports whether a refusal is in doubt because a try got no answer.
func (in *Intake) cancel(ctx context.Context, c Call) (Reply, bool) {
	unknown := false
	for {
		reply, again := in.cancelOnce(ctx, c, &unknown)
		if !again {
			return reply, unknown
		}
		select {
		case <-time.After(retryPause):
		case <-in.control.Connectivity().PartitionDetected():
		case <-ctx.Done():
			return Reply{result: Unknown, reason: "the store does not answer"}, true
		}
	}
}

// cancelOnce tries once to store a cancellation, and reports whether another try may help.
func (in *Intake) cancelOnce(ctx context.Context, c Call, unknown *bool) (Reply, bool) {
	a, s, not := in.owned(ctx, c)
	if not != nil {
		return *not, false
	}
	if s.State().Ended() {
		return Reply{result: Accepted}, false
	}
	tx := anvilstorage.NewTx(anvilstorage.CallsPartition)
	tx.ExpectPolicy(a.view.Row())
	tx.Set(anvilstorage.NewRow(anvilstorage.Intake, anvilstorage.CancelKey(a.id), []byte("{}")))
	try, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := in.store.Commit(try, tx)
	if err == nil {
		in.notify(tx.Sets())
		return Reply{result: Accepted}, false
	}
	e := anvilstorage.As(err)
	*unknown = *unknown || e.Kind() == anvilstorage.Unknown
	if p := e.Policy(); p != nil {
		in.control.UpdatePolicy(*p)
	}
	return Reply{}, true
}

// note logs and counts a call. Answers with a state are only counted: callers ask again and again.
func (in *Intake) note(what string, c Call, r Reply, begin time.Time) {
	took := time.Since(begin)
	in.meter.Count("call." + what + "." + r.result.String())
	in.meter.Observe("call."+what, took)
	event := anvilevent.JobAnswered
	switch {
	case r.result == Answered:
		return
	case what == "submit" && r.result == Accepted:
		event = anvilevent.JobAccepted
	case what == "submit":
		event = anvilevent.JobRefused
	}
	v := in.control.View()
	version := int64(0)
	if v.Policy() != nil {
		version = v.Policy().Version()
	}
	in.log.Record(event, "call", what, "path", c.path, "result", r.result.String(), "reason", r.reason,
		"took", took.Milliseconds(), "policy", version, "age", int64(in.control.Clock().Now()-v.Confirmed()))
}
