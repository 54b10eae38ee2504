package anvilpolicy

import "anvilhold.org/lib/anvilclock"

// Advice tells what it costs to ask the advisor which workers may run a step of a queue.
type Advice struct {
	decision float64
	item     float64
	validity anvilclock.Millis
}

// NewAdvice returns the cost of a call, in milliseconds for the decision and for each worker named, and
// how long the tickets of an answer are valid.
func NewAdvice(decision, item float64, validity anvilclock.Millis) Advice {
	return Advice{decision: decision, item: item, validity: validity}
}

// Needed reports whether starts on the queue need a ticket.
func (a Advice) Needed() bool { return a.validity > 0 }

// Cost returns how long a call about n workers takes.
func (a Advice) Cost(n int) anvilclock.Millis {
	return anvilclock.Millis(a.decision + a.item*float64(n) + 0.5)
}

// Validity returns how long a ticket is valid.
func (a Advice) Validity() anvilclock.Millis { return a.validity }

// Queue takes jobs of one kind.
type Queue struct {
	name     string
	host     string
	prefix   string
	pool     string
	priority int
	attempts int
	stretch  float64
	latency  anvilclock.Millis
	advice   Advice
	open     bool
}

// QueueOption sets an optional part of a Queue.
type QueueOption func(*Queue)

// WithPriority sets the priority; 0 comes first.
func WithPriority(n int) QueueOption { return func(q *Queue) { q.priority = n } }

// WithAttempts sets how often a task may fail.
func WithAttempts(n int) QueueOption { return func(q *Queue) { q.attempts = max(n, 1) } }

// WithObjective sets the latency objective of a job: stretch times its longest chain of work, and
// latency more.
func WithObjective(stretch float64, latency anvilclock.Millis) QueueOption {
	return func(q *Queue) { q.stretch, q.latency = stretch, latency }
}

// WithAdvice sets what advice costs. Without it, starts need no ticket.
func WithAdvice(a Advice) QueueOption { return func(q *Queue) { q.advice = a } }

// WithOpen lets the queue take work without a key.
func WithOpen(open bool) QueueOption { return func(q *Queue) { q.open = open } }

// NewQueue returns a queue whose jobs run in a pool. Calls reach it by host and path prefix.
func NewQueue(name, host, prefix, pool string, opts ...QueueOption) Queue {
	q := Queue{name: name, host: host, prefix: prefix, pool: pool, attempts: 1, stretch: 1}
	for _, opt := range opts {
		opt(&q)
	}
	return q
}

// Name returns the queue's name.
func (q Queue) Name() string { return q.name }

// Pool returns the name of the pool that runs the jobs.
func (q Queue) Pool() string { return q.pool }

// Priority returns the priority; 0 comes first.
func (q Queue) Priority() int { return q.priority }

// Attempts returns how often a task may fail before its job fails.
func (q Queue) Attempts() int { return q.attempts }

// Objective returns the latency objective of a job whose longest chain of work takes chain.
func (q Queue) Objective(chain anvilclock.Millis) anvilclock.Millis {
	return anvilclock.Millis(q.stretch*float64(chain)) + q.latency
}

// Advice returns what advice costs.
func (q Queue) Advice() Advice { return q.advice }

// Open reports whether the queue takes work without a key.
func (q Queue) Open() bool { return q.open }
