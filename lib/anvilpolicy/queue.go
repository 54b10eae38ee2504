package anvilpolicy

import (
	"encoding/base64"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"anvilhold.org/lib/anvilclock"
)

// Advice says whether the tasks of a queue need tickets from the advisor, which decides which workers may run
// a step, how long the tickets are valid and how long a call to the advisor takes.
type Advice struct {
	decisionMS  float64
	perWorkerMS float64
	validity    anvilclock.Millis
}

// NewAdvice returns the Advice of a queue. A call to the advisor takes decisionMS milliseconds for the decision
// and perWorkerMS for each worker that the call names. The tickets of the answer are valid for the given time;
// 0 means that starts need no ticket.
func NewAdvice(decisionMS, perWorkerMS float64, validity anvilclock.Millis) Advice {
	return Advice{decisionMS: decisionMS, perWorkerMS: perWorkerMS, validity: validity}
}

// DecisionMS and PerWorkerMS return how long a call to the advisor takes for the decision and for each worker that it names,
// in milliseconds.
func (a Advice) DecisionMS() float64 { return a.decisionMS }

// PerWorkerMS is described with DecisionMS.
func (a Advice) PerWorkerMS() float64 { return a.perWorkerMS }

// Needed reports whether starts of tasks from the queue need a ticket.
func (a Advice) Needed() bool { return a.validity > 0 }

// Cost returns the expected duration of a call about n workers.
func (a Advice) Cost(n int) anvilclock.Millis {
	return anvilclock.Millis(a.decisionMS + a.perWorkerMS*float64(n) + 0.5)
}

// Validity returns how long a ticket is valid.
func (a Advice) Validity() anvilclock.Millis { return a.validity }

// Queue accepts jobs and sends them to one pool. It is immutable.
type Queue struct {
	name     string
	host     string
	prefix   string
	address  string
	pool     string
	priority int
	attempts int
	stretch  float64
	latency  anvilclock.Millis
	advice   Advice
	open     bool
}

// QueueOption configures a Queue.
type QueueOption func(*Queue)

// WithPriority sets the priority; 0 is the highest.
func WithPriority(n int) QueueOption { return func(q *Queue) { q.priority = n } }

// WithAttempts sets the number of attempts for a task, at least 1.
func WithAttempts(n int) QueueOption { return func(q *Queue) { q.attempts = max(n, 1) } }

// WithObjective sets the latency objective of a job: stretch times the length of its critical path, plus
// latency.
func WithObjective(stretch float64, latency anvilclock.Millis) QueueOption {
	return func(q *Queue) { q.stretch, q.latency = stretch, latency }
}

// WithAdvice sets what the queue needs from the advisor. Without it, starts need no ticket.
func WithAdvice(a Advice) QueueOption { return func(q *Queue) { q.advice = a } }

// WithOpen sets whether the queue accepts jobs without a key.
func WithOpen(open bool) QueueOption { return func(q *Queue) { q.open = open } }

// NewQueue returns a queue whose jobs run in the given pool. Requests reach it by host and path prefix.
func NewQueue(name, host, prefix, pool string, opts ...QueueOption) Queue {
	q := Queue{name: name, host: host, prefix: prefix, address: AddressOf(host, prefix), pool: pool, attempts: 1, stretch: 1}
	for _, opt := range opts {
		opt(&q)
	}
	return q
}

// Name returns the name under which Policy.Queue finds the queue.
func (q Queue) Name() string { return q.name }

// Address returns a short text that stands for the host and the path prefix, by which callers know the queue; empty when neither is
// known. It is the same in all processes and versions.
func (q Queue) Address() string { return q.address }

// AddressOf returns the address of a queue at a host and a path prefix.
func AddressOf(host, prefix string) string {
	if host == "" && prefix == "" {
		return ""
	}
	// A host has no slash, and a prefix begins with one.
	sum := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(host+prefix))
	return base64.RawURLEncoding.EncodeToString(sum)
}

// Pool returns the name of the pool that runs the jobs.
func (q Queue) Pool() string { return q.pool }

// Priority returns the priority; 0 is the highest.
func (q Queue) Priority() int { return q.priority }

// Attempts returns the number of attempts for a task before its job fails, at least 1.
func (q Queue) Attempts() int { return q.attempts }

// Stretch and Latency return the parameters of Objective: the multiple of the critical path, and what is added to it.
func (q Queue) Stretch() float64 { return q.stretch }

// Latency is described with Stretch.
func (q Queue) Latency() anvilclock.Millis { return q.latency }

// Objective returns the latency objective of a job whose critical path has the given length.
func (q Queue) Objective(criticalPath anvilclock.Millis) anvilclock.Millis {
	return anvilclock.Millis(q.stretch*float64(criticalPath)) + q.latency
}

// Advice returns what the queue needs from the advisor; the zero value when starts need no ticket.
func (q Queue) Advice() Advice { return q.advice }

// Open reports whether the queue accepts jobs without a key.
func (q Queue) Open() bool { return q.open }
