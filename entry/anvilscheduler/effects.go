package anvilscheduler

import (
	"context"
	"fmt"

	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
	"anvilhold.org/lib/anvilsize"
)

// Store reads and writes the scheduler's tables. Errors are of type *anvilstorage.Error.
type Store interface {
	Commit(ctx context.Context, tx *anvilstorage.Tx) (anvilstorage.Receipt, error)
	Scan(ctx context.Context, table anvilstorage.Table) (anvilstorage.Page, error)
	Changes(ctx context.Context, table anvilstorage.Table, after int64, wait anvilclock.Millis) (anvilstorage.Page, error)
	// LastReply returns the local time at which the store has last carried out a call.
	LastReply() anvilclock.Millis
}

// Registry reads what the platform publishes: the configuration and the list of workers. An after of 0
// reads everything; otherwise the call waits for a change. Errors are of type *anvilstorage.Error.
type Registry interface {
	Policy(ctx context.Context, after int64, wait anvilclock.Millis) (anvilstorage.PolicyPage, error)
	Workers(ctx context.Context, after int64, wait anvilclock.Millis) (WorkerPage, error)
}

// Workers carries orders to workers. Errors are of type *OrderError.
type Workers interface {
	Start(ctx context.Context, to Target, o StartOrder) (anvilclock.Millis, error)
	Stop(ctx context.Context, to Target, o StopOrder) (anvilclock.Millis, error)
	Hold(ctx context.Context, to Target, o HoldOrder) (Report, error)
	Pace(ctx context.Context, to Target, o PaceOrder) (anvilclock.Millis, error)
}

// Advisors asks the advisor through an entry instance which workers may run a step.
type Advisors interface {
	Ask(ctx context.Context, addr, step string, workers []string) (Advice, error)
}

// Notifier announces rows that were stored to another instance, which passes them on to relays. It does not wait, and may fail: the store's
// feed brings the rows later.
type Notifier interface {
	Notify(addr string, relays []string, rows ...anvilstorage.Row)
}

type noNotifier struct{}

// Notify announces nothing.
func (noNotifier) Notify(string, []string, ...anvilstorage.Row) {}

// Registration is an entry of the platform's list of workers.
type Registration struct {
	id          string
	addr        string
	pool        string
	domain      string
	labels      []string
	capacity    anvilsize.Size
	incarnation int64
	draining    bool
	remaining   anvilclock.Millis
	removed     bool
}

// NewRegistration returns an entry. Incarnation tells apart the processes that a worker's id stands for in turn.
func NewRegistration(id, addr, pool, domain string, labels []string, capacity anvilsize.Size, incarnation int64) Registration {
	return Registration{id: id, addr: addr, pool: pool, domain: domain, labels: labels, capacity: capacity, incarnation: incarnation}
}

// NewDeregistration returns the news that an entry is gone.
func NewDeregistration(id string) Registration { return Registration{id: id, removed: true} }

// Draining returns the entry of a worker that leaves in remaining at the earliest.
func (r Registration) Draining(remaining anvilclock.Millis) Registration {
	r.draining, r.remaining = true, remaining
	return r
}

// WithIncarnation returns the entry of a later incarnation of the worker.
func (r Registration) WithIncarnation(incarnation int64) Registration {
	r.incarnation, r.draining, r.remaining = incarnation, false, 0
	return r
}

// ID returns the worker's id.
func (r Registration) ID() string { return r.id }

// WorkerPage is what the list of workers held, or what has changed in it.
type WorkerPage struct {
	entries []Registration
	version int64
}

// NewWorkerPage returns a page.
func NewWorkerPage(entries []Registration, version int64) WorkerPage {
	return WorkerPage{entries: entries, version: version}
}

// Entries returns the entries.
func (p WorkerPage) Entries() []Registration { return p.entries }

// Target is the process of a worker to which an order goes.
type Target struct {
	id   string
	addr string
}

// NewTarget returns a target.
func NewTarget(id, addr string) Target { return Target{id: id, addr: addr} }

// ID returns the worker's id.
func (t Target) ID() string { return t.id }

// Addr returns the worker's address.
func (t Target) Addr() string { return t.addr }

// StartOrder starts a run of a task.
type StartOrder struct {
	task       anviljob.TaskID
	run        int
	payload    string
	token      int64
	until      anvilclock.Millis
	checkpoint string
	ticket     string
}

// Task returns the task.
func (o StartOrder) Task() anviljob.TaskID { return o.task }

// Run returns the number of the run.
func (o StartOrder) Run() int { return o.run }

// Payload returns what the job passes to its tasks.
func (o StartOrder) Payload() string { return o.payload }

// Token returns the fencing token.
func (o StartOrder) Token() int64 { return o.token }

// Until returns the time of the worker's clock at which everything there ends unless it is held longer.
func (o StartOrder) Until() anvilclock.Millis { return o.until }

// Checkpoint returns where the task resumes; empty for its beginning.
func (o StartOrder) Checkpoint() string { return o.checkpoint }

// Ticket returns the advisor's ticket; empty where none is needed.
func (o StartOrder) Ticket() string { return o.ticket }

// StopOrder stops a run. A run that has not begun at the worker can't begin there afterwards.
type StopOrder struct {
	task  anviljob.TaskID
	run   int
	token int64
}

// Task returns the task.
func (o StopOrder) Task() anviljob.TaskID { return o.task }

// Run returns the number of the run.
func (o StopOrder) Run() int { return o.run }

// Token returns the fencing token.
func (o StopOrder) Token() int64 { return o.token }

// HoldOrder extends the lease of everything that runs at a worker and asks what runs and what ended.
type HoldOrder struct {
	token int64
	until anvilclock.Millis
	acked int64
	wait  anvilclock.Millis
}

// Token returns the fencing token.
func (o HoldOrder) Token() int64 { return o.token }

// Until returns the time of the worker's clock up to which runs are held; 0 leaves it as it is.
func (o HoldOrder) Until() anvilclock.Millis { return o.until }

// Acked returns the number of the last end that the worker may forget.
func (o HoldOrder) Acked() int64 { return o.acked }

// Wait returns how long the answer may wait for an end.
func (o HoldOrder) Wait() anvilclock.Millis { return o.wait }

// PaceOrder lets a task work at a share of its speed.
type PaceOrder struct {
	task    anviljob.TaskID
	run     int
	percent int
	token   int64
}

// Task returns the task.
func (o PaceOrder) Task() anviljob.TaskID { return o.task }

// Run returns the number of the run.
func (o PaceOrder) Run() int { return o.run }

// Percent returns the share, 0 to 100.
func (o PaceOrder) Percent() int { return o.percent }

// Token returns the fencing token.
func (o PaceOrder) Token() int64 { return o.token }

// Active is a run that goes on at a worker.
type Active struct {
	task       anviljob.TaskID
	run        int
	checkpoint string
	percent    int
	load       int64
}

// NewActive returns a run that has done percent of its work. Load is the tail latency in milliseconds
// of a serving task, and the millicores in use of any other.
func NewActive(task anviljob.TaskID, run int, checkpoint string, percent int, load int64) Active {
	return Active{task: task, run: run, checkpoint: checkpoint, percent: percent, load: load}
}

// Cause tells how a run ended.
type Cause string

// The causes.
const (
	CauseDone           Cause = "done"
	CauseFailed         Cause = "failed"  // by its own fault or the worker's
	CauseStopped        Cause = "stopped" // by an order
	CauseLeaseExpired   Cause = "lapsed"  // its lease ran out
	CauseGangEnded      Cause = "broken"  // another task of its gang ended
	CauseGangIncomplete Cause = "alone"   // the rest of its gang did not come
)

// RunEnd is a run that has ended at a worker.
type RunEnd struct {
	number     int64
	task       anviljob.TaskID
	run        int
	cause      Cause
	checkpoint string
}

// NewRunEnd returns an end; the worker numbers its ends.
func NewRunEnd(number int64, task anviljob.TaskID, run int, cause Cause, checkpoint string) RunEnd {
	return RunEnd{number: number, task: task, run: run, cause: cause, checkpoint: checkpoint}
}

// Report is a worker's answer to a hold.
type Report struct {
	incarnation int64
	clock       anvilclock.Millis
	active      []Active
	runEnds     []RunEnd
}

// NewReport returns a report. The clock is the worker's.
func NewReport(incarnation int64, clock anvilclock.Millis, active []Active, runEnds []RunEnd) Report {
	return Report{incarnation: incarnation, clock: clock, active: active, runEnds: runEnds}
}

// Incarnation returns the start of the worker's process.
func (r Report) Incarnation() int64 { return r.incarnation }

// Clock returns the worker's clock.
func (r Report) Clock() anvilclock.Millis { return r.clock }

// Active returns the runs that go on.
func (r Report) Active() []Active { return r.active }

// RunEnds returns the ends that the worker still lists.
func (r Report) RunEnds() []RunEnd { return r.runEnds }

// Ticket lets one worker run a step.
type Ticket struct {
	worker string
	text   string
}

// NewTicket returns a ticket.
func NewTicket(worker, text string) Ticket { return Ticket{worker: worker, text: text} }

// Worker returns the worker's id.
func (t Ticket) Worker() string { return t.worker }

// Text returns what a start carries.
func (t Ticket) Text() string { return t.text }

// Advice lists the workers that may run a step.
type Advice struct {
	tickets  []Ticket
	validity anvilclock.Millis
}

// NewAdvice returns an answer; its tickets are valid for validity from the advisor's answer on.
func NewAdvice(tickets []Ticket, validity anvilclock.Millis) Advice {
	return Advice{tickets: tickets, validity: validity}
}

// Tickets returns the tickets.
func (a Advice) Tickets() []Ticket { return a.tickets }

// Validity returns how long the tickets are valid.
func (a Advice) Validity() anvilclock.Millis { return a.validity }

// Fault tells why an order was not confirmed.
type Fault string

// The faults. After all but FaultSilent nothing was done.
const (
	FaultFenced      Fault = "fenced"   // the worker has seen a newer token
	FaultOutdated    Fault = "outdated" // this run, or a newer one, has ended or was stopped there
	FaultExpired     Fault = "late"     // the time up to which the run was to be held has passed
	FaultNoCapacity  Fault = "room"     // the worker has no room
	FaultTicket      Fault = "ticket"   // the ticket is not valid
	FaultInvalid     Fault = "invalid"  // the worker can't read the order
	FaultReplaced    Fault = "replaced" // another worker answers at the address
	FaultUnavailable Fault = "unwell"   // the worker refuses for now
	FaultNoReply     Fault = "silent"   // no answer: the order may have been carried out, or may still be
)

// OrderError is an order that was not confirmed.
type OrderError struct {
	fault Fault
	clock anvilclock.Millis
	cause error
}

// NewOrderError returns an error; clock is the worker's clock in the answer, 0 without one.
func NewOrderError(fault Fault, clock anvilclock.Millis, cause error) *OrderError {
	return &OrderError{fault: fault, clock: clock, cause: cause}
}

// Fault returns the fault.
func (e *OrderError) Fault() Fault { return e.fault }

// Clock returns the worker's clock; 0 when the answer did not tell.
func (e *OrderError) Clock() anvilclock.Millis { return e.clock }

// Unwrap returns the cause.
func (e *OrderError) Unwrap() error { return e.cause }

// Error formats e on one line.
func (e *OrderError) Error() string {
	if e.cause == nil {
		return "order not confirmed: " + string(e.fault)
	}
	return fmt.Sprintf("order not confirmed: %s: %v", e.fault, e.cause)
}
