package anvilsetting

import "anvilhold.org/lib/anvilclock"

// Limits holds the limits on callers. Requests over a limit are rejected.
type Limits struct {
	body        int64
	headers     int64
	connections int64
	maxInFlight int64
	memory      int64
	lines       int64
	fields      int64
	queue       int64
	wait        int64
}

// Body returns the largest size of a request's body in bytes.
func (l *Limits) Body() int { return int(l.body) }

// Headers returns the largest total size of a request's headers in bytes.
func (l *Limits) Headers() int { return int(l.headers) }

// Connections returns the largest number of open connections of callers.
func (l *Limits) Connections() int { return int(l.connections) }

// MaxInFlight returns the largest number of requests in flight.
func (l *Limits) MaxInFlight() int { return int(l.maxInFlight) }

// Memory returns the memory of the machine in bytes, of which callers' requests and answers may use a part.
func (l *Limits) Memory() int64 { return l.memory }

// HeaderLines returns the largest number of header lines of a request.
func (l *Limits) HeaderLines() int { return int(l.lines) }

// Fields returns the largest number of fields of a submission.
func (l *Limits) Fields() int { return int(l.fields) }

// Queue returns the largest number of tasks in the queue of each pool.
func (l *Limits) Queue() int { return int(l.queue) }

// Wait returns how long a service request that has no deadline may wait in the queue.
func (l *Limits) Wait() anvilclock.Millis { return anvilclock.Millis(l.wait) }

func (l *Limits) section() section {
	return section{name: "limits", doc: "Limits on callers. Requests over a limit are rejected.", keys: []key{
		optional("body", intValue{&l.body, "bytes", 1 << 20, 1 << 10, 3 << 20}, "Largest size of a request's body."),
		optional("headers", intValue{&l.headers, "bytes", 16 << 10, 1 << 10, 256 << 10}, "Largest total size of a request's headers."),
		optional("connections", intValue{&l.connections, "connections", 2000, 1, 100000}, "Largest number of open connections of callers."),
		optional("flight", intValue{&l.maxInFlight, "requests", 1000, 1, 100000}, "Largest number of requests in flight."),
		optional("memory", intValue{&l.memory, "bytes", 184 << 20, 16 << 20, 1 << 40}, "Memory of the machine. A quarter is for callers' requests and answers."),
		optional("lines", intValue{&l.lines, "lines", 200, 20, 10000}, "Largest number of header lines of a request."),
		optional("fields", intValue{&l.fields, "fields", 1000, 100, 100000}, "Largest number of fields of a submission."),
		optional("queue", intValue{&l.queue, "tasks", 4096, 1, 1000000}, "Largest number of tasks in the queue of each pool."),
		optional("wait", intValue{&l.wait, "ms", 2000, 1, 600000}, "Time that a service request without a deadline may wait in the queue."),
	}}
}
