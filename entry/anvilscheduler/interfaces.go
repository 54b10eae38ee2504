package anvilscheduler

import (
	"context"
	"fmt"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilsize"
)

// Store reads and writes the scheduler's tables. Errors are of type *anvilstorage.Error. It must be safe for concurrent
// use.
type Store interface {
	// Commit applies a transaction as a whole, or fails with a conflict if a row has another version than expected.
	Commit(ctx context.Context, tx *anvilstorage.Tx) (anvilstorage.Receipt, error)
	// Scan returns the rows of all partitions of a table.
	Scan(ctx context.Context, table anvilstorage.Table) (anvilstorage.Page, error)
	// ScanWith returns the rows of a table as keep returns them, which is called for each in order while they are read.
	ScanWith(ctx context.Context, table anvilstorage.Table, keep func(anvilstorage.Row) anvilstorage.Row) (anvilstorage.Page, error)
	// Get returns a row, whose version is 0 when there is none.
	Get(ctx context.Context, table anvilstorage.Table, key string) (anvilstorage.Row, error)
	// Changes returns the rows that have changed after a version. It waits for a change, at most for the time wait.
	Changes(ctx context.Context, table anvilstorage.Table, after int64, wait anvilclock.Millis) (anvilstorage.Page, error)
	// LastReply returns the local time of the store's last reply to a call that it carried out.
	LastReply() anvilclock.Millis
}

// Registry reads what the platform publishes. With an after of 0, its methods return everything at once; else they
// return what has changed after that version, and wait for a change, at most for the time wait. Errors are of type
// *anvilstorage.Error.
type Registry interface {
	// Policy returns the operator's configuration.
	Policy(ctx context.Context, after int64, wait anvilclock.Millis) (anvilstorage.PolicyPage, error)
	// Workers returns the entries of the worker registry.
	Workers(ctx context.Context, after int64, wait anvilclock.Millis) (WorkerPage, error)
}

// Workers sends orders to workers and returns their answers. The returned times are readings of the worker's clock.
// Errors are of type *OrderError; any other error stands for FaultNoReply. It must be safe for concurrent use.
type Workers interface {
	Start(ctx context.Context, to Target, o StartOrder) (anvilclock.Millis, error)
	Stop(ctx context.Context, to Target, o StopOrder) (anvilclock.Millis, error)
	Hold(ctx context.Context, to Target, o HoldOrder) (Report, error)
	Pace(ctx context.Context, to Target, o PaceOrder) (anvilclock.Millis, error)
}

// Advisors queries the advisor, which decides which workers may run a step. It must be safe for concurrent use.
type Advisors interface {
	// Ask sends a query through the entry instance at addr, or through this instance if addr is empty.
	Ask(ctx context.Context, addr, step string, workers []string) (Advice, error)
}

// Notifier sends stored rows to the instance at addr, which forwards them to the addresses in forwardTo. It does not
// wait, and may fail without an error, because every instance also reads the rows from the store's feed.
type Notifier interface {
	Notify(addr string, forwardTo []string, rows ...anvilstorage.Row)
}

type noNotifier struct{}

// Notify does nothing.
func (noNotifier) Notify(string, []string, ...anvilstorage.Row) {}

// Registration is an entry of the platform's worker registry, or the removal of one.
type Registration struct {
	id          string
	addr        string
	pool        string
	domain      string
	labels      []string
	rack        string
	capacity    anvilsize.Size
	incarnation int64
	draining    bool
	remaining   anvilclock.Millis
	removed     bool
	unreadable  bool
}

// NewRegistration returns an entry. The incarnation is the start time of the worker's process; 0 stands for unknown.
func NewRegistration(id, addr, pool, domain string, labels []string, capacity anvilsize.Size, incarnation int64) Registration {
	return Registration{id: id, addr: addr, pool: pool, domain: domain, labels: labels, capacity: capacity, incarnation: incarnation}
}

// NewDeregistration returns the removal of a worker's entry.
func NewDeregistration(id string) Registration { return Registration{id: id, removed: true} }

// NewUnreadable returns an entry that can't be read. It names no worker to use, and it doesn't show that the worker with
// its id has left.
func NewUnreadable(id string) Registration { return Registration{id: id, unreadable: true} }

// lacksIncarnation reports whether the entry doesn't name the start of the worker's process, although an earlier entry did; known
// is the start that was named, or 0. A worker names it in all its entries or in none, so another program wrote this one.
func (r Registration) lacksIncarnation(known int64) bool {
	return !r.removed && known != 0 && r.incarnation == 0
}

// Unreadable reports whether the entry can't be read.
func (r Registration) Unreadable() bool { return r.unreadable }

// Draining returns a copy of the entry that is marked as draining: the worker gets no new work, and does not leave
// before remaining has passed.
func (r Registration) Draining(remaining anvilclock.Millis) Registration {
	r.draining, r.remaining = true, remaining
	return r
}

// OnRack returns a copy of the entry of a worker on a rack, which is also one of its labels.
func (r Registration) OnRack(rack string) Registration {
	r.rack = rack
	return r
}

// WithIncarnation returns a copy of the entry for a newer incarnation of the worker, which is not draining.
func (r Registration) WithIncarnation(incarnation int64) Registration {
	r.incarnation, r.draining, r.remaining = incarnation, false, 0
	return r
}

// ID returns the worker's id, which does not change when its process is restarted.
func (r Registration) ID() string { return r.id }

// Capacity returns the capacity of the worker.
func (r Registration) Capacity() anvilsize.Size { return r.capacity }

// WorkerPage is the result of reading the worker registry at a version: all entries, or those that have changed.
type WorkerPage struct {
	entries []Registration
	version int64
}

// NewWorkerPage returns a page. It keeps the slice.
func NewWorkerPage(entries []Registration, version int64) WorkerPage {
	return WorkerPage{entries: entries, version: version}
}

// Entries returns the entries, removals included. The caller must not change the slice.
func (p WorkerPage) Entries() []Registration { return p.entries }

// Target is the worker to which an order is sent.
type Target struct {
	id   string
	addr string
}

// NewTarget returns the target for a worker's id and its address (host and port).
func NewTarget(id, addr string) Target { return Target{id: id, addr: addr} }

// ID returns the worker's id, which does not change when its process is restarted.
func (t Target) ID() string { return t.id }

// Addr returns the worker's address (host and port).
func (t Target) Addr() string { return t.addr }

// StartOrder starts a run of a task. A worker starts each run at most once.
type StartOrder struct {
	task       anviljob.TaskID
	run        int
	payload    string
	token      int64
	until      anvilclock.Millis
	checkpoint string
	ticket     string
}

// Task returns the id of the task.
func (o StartOrder) Task() anviljob.TaskID { return o.task }

// Run returns the number of the run. A task's runs are numbered from 1.
func (o StartOrder) Run() int { return o.run }

// Payload returns the job's data for its tasks.
func (o StartOrder) Payload() string { return o.payload }

// Token returns the leader's fencing token. A worker refuses orders with a lower token than the highest it has seen.
func (o StartOrder) Token() int64 { return o.token }

// Until returns the time of the worker's clock at which the leases of all its runs expire, unless a later order extends
// them.
func (o StartOrder) Until() anvilclock.Millis { return o.until }

// Checkpoint returns the checkpoint from which the task resumes; empty to start from the beginning.
func (o StartOrder) Checkpoint() string { return o.checkpoint }

// Ticket returns the advisor's ticket; empty when the queue needs none.
func (o StartOrder) Ticket() string { return o.ticket }

// StopOrder stops a run. If the worker has not started the run yet, it refuses a later start of it.
type StopOrder struct {
	task  anviljob.TaskID
	run   int
	token int64
}

// Task returns the id of the task.
func (o StopOrder) Task() anviljob.TaskID { return o.task }

// Run returns the number of the run. A task's runs are numbered from 1.
func (o StopOrder) Run() int { return o.run }

// Token returns the leader's fencing token. A worker refuses orders with a lower token than the highest it has seen.
func (o StopOrder) Token() int64 { return o.token }

// HoldOrder extends the leases of all runs of a worker and acknowledges ended runs. The worker answers with a Report.
type HoldOrder struct {
	token int64
	until anvilclock.Millis
	acked int64
	wait  anvilclock.Millis
	// reconnect is the pause before another attempt to connect.
	reconnect anvilclock.Millis
}

// Token returns the leader's fencing token. A worker refuses orders with a lower token than the highest it has seen.
func (o HoldOrder) Token() int64 { return o.token }

// Until returns the time of the worker's clock up to which the leases are extended; 0 leaves them unchanged.
func (o HoldOrder) Until() anvilclock.Millis { return o.until }

// Acked returns the number of the last run end that is stored. The worker may drop it and all earlier ones.
func (o HoldOrder) Acked() int64 { return o.acked }

// Wait returns how long the worker may wait for the end of a run before it answers.
func (o HoldOrder) Wait() anvilclock.Millis { return o.wait }

// Reconnect returns the pause after which the order is sent again, until it is given up, while nothing accepts connections at the
// worker's address or the connection fails. It is 0 for an order that fails then.
func (o HoldOrder) Reconnect() anvilclock.Millis { return o.reconnect }

// PaceOrder limits the speed of a run to a share of its full speed.
type PaceOrder struct {
	task    anviljob.TaskID
	run     int
	percent int
	token   int64
}

// Task returns the id of the task.
func (o PaceOrder) Task() anviljob.TaskID { return o.task }

// Run returns the number of the run. A task's runs are numbered from 1.
func (o PaceOrder) Run() int { return o.run }

// Percent returns the share, from 0 to 100; 0 pauses the run.
func (o PaceOrder) Percent() int { return o.percent }

// Token returns the leader's fencing token. A worker refuses orders with a lower token than the highest it has seen.
func (o PaceOrder) Token() int64 { return o.token }

// Active is a run in progress, as a worker reports it.
type Active struct {
	task       anviljob.TaskID
	run        int
	checkpoint string
	percent    int
	load       int64
}

// NewActive returns a run that has done percent of its work. The checkpoint is empty when the run saved none. For a
// task with a latency target, load is the tail latency in milliseconds; for any other task, it is the CPU in use in
// millicores.
func NewActive(task anviljob.TaskID, run int, checkpoint string, percent int, load int64) Active {
	return Active{task: task, run: run, checkpoint: checkpoint, percent: percent, load: load}
}

// Cause is the reason for which a run ended.
type Cause string

// The causes, with their names in the worker protocol.
const (
	CauseDone           Cause = "done"
	CauseFailed         Cause = "failed"  // by its own fault or the worker's
	CauseStopped        Cause = "stopped" // by an order
	CauseLeaseExpired   Cause = "lapsed"
	CauseGangEnded      Cause = "broken" // another task of its gang ended
	CauseGangIncomplete Cause = "alone"  // other tasks of its gang did not start
)

// RunEnd is the end of a run, as a worker reports it until it is acknowledged.
type RunEnd struct {
	number     int64
	task       anviljob.TaskID
	run        int
	cause      Cause
	checkpoint string
}

// NewRunEnd returns an end. Each worker numbers the ends of all its runs in one ascending sequence. The
// checkpoint is empty when the run saved none.
func NewRunEnd(number int64, task anviljob.TaskID, run int, cause Cause, checkpoint string) RunEnd {
	return RunEnd{number: number, task: task, run: run, cause: cause, checkpoint: checkpoint}
}

// Report is a worker's answer to a hold.
type Report struct {
	incarnation int64
	clock       anvilclock.Millis
	active      []Active
	runEnds     []RunEnd
	incomplete  bool
}

// NewReport returns a report with the worker's clock, its runs in progress and its ends that were not acknowledged. It
// keeps the slices.
func NewReport(incarnation int64, clock anvilclock.Millis, active []Active, runEnds []RunEnd) Report {
	return Report{incarnation: incarnation, clock: clock, active: active, runEnds: runEnds}
}

// Incomplete returns the report as one that may lack further ends, because a worker lists only so many at a time.
func (r Report) Incomplete() Report {
	r.incomplete = true
	return r
}

// LacksEnds reports whether the worker may have further ends that the report doesn't list.
func (r Report) LacksEnds() bool { return r.incomplete }

// Incarnation returns the start time of the worker's process, which distinguishes it from earlier ones; 0 when unknown.
func (r Report) Incarnation() int64 { return r.incarnation }

// Clock returns the worker's clock when it answered.
func (r Report) Clock() anvilclock.Millis { return r.clock }

// Active returns the runs in progress. The caller must not change the slice.
func (r Report) Active() []Active { return r.active }

// RunEnds returns the ended runs that were not acknowledged. The caller must not change the slice.
func (r Report) RunEnds() []RunEnd { return r.runEnds }

// Ticket is the advisor's permission to run a step on a worker.
type Ticket struct {
	worker string
	text   string
}

// NewTicket returns the ticket for a worker's id. The text is opaque.
func NewTicket(worker, text string) Ticket { return Ticket{worker: worker, text: text} }

// Worker returns the id of the worker that may run the step.
func (t Ticket) Worker() string { return t.worker }

// Text returns the ticket's opaque content, which a StartOrder carries to the worker.
func (t Ticket) Text() string { return t.text }

// Advice is the advisor's answer to a query: a ticket for each named worker that may run the step.
type Advice struct {
	tickets  []Ticket
	validity anvilclock.Millis
}

// NewAdvice returns an answer whose tickets are valid for validity, counted from when the advisor answered. It keeps
// the slice.
func NewAdvice(tickets []Ticket, validity anvilclock.Millis) Advice {
	return Advice{tickets: tickets, validity: validity}
}

// Tickets returns one ticket for each approved worker. The caller must not change the slice.
func (a Advice) Tickets() []Ticket { return a.tickets }

// Validity returns how long the tickets are valid, counted from when the advisor answered.
func (a Advice) Validity() anvilclock.Millis { return a.validity }

// Fault is the reason for which an order was not confirmed.
type Fault string

// The faults. With all but FaultNoReply, the worker has not carried out the order and will not do so.
const (
	FaultFenced      Fault = "fenced"   // the worker knows a newer fencing token
	FaultOutdated    Fault = "outdated" // this run, or a newer one, has ended or was stopped there
	FaultExpired     Fault = "late"     // the lease in the order has expired already
	FaultNoCapacity  Fault = "room"     // the worker has too little free capacity
	FaultTicket      Fault = "ticket"   // the ticket is not valid
	FaultInvalid     Fault = "invalid"  // the worker can't decode the order
	FaultReplaced    Fault = "replaced" // another worker answers at the address
	FaultUnavailable Fault = "unwell"   // the worker temporarily refuses orders
	FaultRefused     Fault = "refused"  // nothing accepts connections at the worker's address
	FaultNoReply     Fault = "silent"   // no answer: the order may have been carried out, or may still be
)

// OrderError is the error of an order that was not confirmed.
type OrderError struct {
	fault Fault
	clock anvilclock.Millis
	cause error
}

// NewOrderError returns an error. The clock is the worker's in its answer, 0 without an answer; cause may be nil.
func NewOrderError(fault Fault, clock anvilclock.Millis, cause error) *OrderError {
	return &OrderError{fault: fault, clock: clock, cause: cause}
}

// Fault returns the reason. Only with FaultNoReply is it unknown whether the order was carried out.
func (e *OrderError) Fault() Fault { return e.fault }

// Clock returns the worker's clock in its answer; 0 when it is unknown.
func (e *OrderError) Clock() anvilclock.Millis { return e.clock }

// Unwrap returns the underlying error, which may be nil.
func (e *OrderError) Unwrap() error { return e.cause }

// Error returns the fault and the cause, on one line.
func (e *OrderError) Error() string {
	if e.cause == nil {
		return "order not confirmed: " + string(e.fault)
	}
	return fmt.Sprintf("order not confirmed: %s: %v", e.fault, e.cause)
}
