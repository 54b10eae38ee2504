// Package anvilfront is the HTTP API of an entry instance for callers and operators.
//
// Each handler goroutine checks the caller's key against an immutable snapshot of the configuration, submits the
// request to the control loop and waits for the loop's reply.
package anvilfront

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/entry/anvillistener"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilconfig"
)

// State is the snapshot of control state that a request is checked against.
type State interface {
	Config() *anvilconfig.Snapshot
	Serving() bool
	Leaving() bool
	// Confirmed reports whether the configuration is known to be current, so that keys may be trusted.
	Confirmed() bool
	// Introduced reports whether the other entry instances have been reached, so that operators may be shown the
	// configuration.
	Introduced() bool
}

// Dispatcher submits requests to the control loop without blocking. False means that the loop didn't accept the
// request, has not run it and sends nothing on reply.
type Dispatcher interface {
	Submit(f anvilcontrol.Forward, reply chan<- anvilcontrol.Result) bool
	Inspect(q anvilcontrol.Query, reply chan<- anvilcontrol.Status) bool
	Change(c Change, reply chan<- anvilcontrol.ChangeResult) bool
}

// Inspector returns the state of the cell. A call may wait for the control loop until ctx ends.
type Inspector interface {
	Cell(ctx context.Context) (Cell, error)
}

const (
	defaultBody     = 1 << 20
	defaultHeaders  = 16 << 10
	defaultConns    = 2000
	defaultInFlight = 1000
	// defaultFields is several times what a submission can have.
	defaultFields = 1000

	defaultWait anvilclock.Millis = 2000
	// callTimeout is the longest wait for the result of a service request.
	callTimeout = 60 * time.Second
	// queryTimeout bounds queries and changes: a commit takes up to two seconds, and the read that checks for it after an
	// unknown outcome up to two more.
	queryTimeout = 5 * time.Second
)

// Front serves the HTTP API. It is safe for concurrent use.
type Front struct {
	state        func() State
	dispatcher   Dispatcher
	inspector    Inspector
	certs        anvillistener.Certificates
	clock        anvilclock.Clock
	bootstrap    string
	maxBody      int
	maxHeaders   int
	maxLines     int
	maxFields    int
	memory       *anvillistener.Memory
	onLimit      func(anvillistener.Refusal)
	maxConns     int
	defaultWait  anvilclock.Millis
	callTimeout  time.Duration
	queryTimeout time.Duration
	idleTimeout  time.Duration
	inFlight     chan struct{}
	leaving      atomic.Bool
	mux          *http.ServeMux
}

// Option configures a Front.
type Option func(*Front)

// WithInspector sets the source of the cell's state for GET /v1/status and GET /v1/config.
func WithInspector(i Inspector) Option { return func(f *Front) { f.inspector = i } }

// WithClock sets the clock; the default is the system's.
func WithClock(c anvilclock.Clock) Option { return func(f *Front) { f.clock = c } }

// WithBootstrap sets the hash of the secret that authorizes operator requests while the configuration holds no
// operator key. Empty, the default, means that there is no such secret.
func WithBootstrap(hash string) Option { return func(f *Front) { f.bootstrap = hash } }

// WithSizeLimits limits the size of a request's body and that of its headers, in bytes.
func WithSizeLimits(body, headers int) Option {
	return func(f *Front) { f.maxBody, f.maxHeaders = body, headers }
}

// WithMemory sets the budget for requests and answers of the process. The default is one for the smallest machine.
func WithMemory(m *anvillistener.Memory) Option { return func(f *Front) { f.memory = m } }

// WithFieldLimits limits the header lines of a request and the members of the JSON value in a body.
func WithFieldLimits(lines, fields int) Option {
	return func(f *Front) { f.maxLines, f.maxFields = lines, fields }
}

// WithOnLimit sets a function that is called with the reason when a client is refused by a limit. It must not block.
func WithOnLimit(l func(anvillistener.Refusal)) Option { return func(f *Front) { f.onLimit = l } }

// WithConnLimits limits the number of open connections and of requests in flight.
func WithConnLimits(conns, inFlight int) Option {
	return func(f *Front) { f.maxConns, f.inFlight = conns, make(chan struct{}, inFlight) }
}

// WithDefaultWait sets how long a service request without a Deadline header may wait in the queue.
func WithDefaultWait(d anvilclock.Millis) Option { return func(f *Front) { f.defaultWait = d } }

// WithTimeout sets how long a service request waits for its result, and any other request for the control loop's
// reply.
func WithTimeout(call, query time.Duration) Option {
	return func(f *Front) { f.callTimeout, f.queryTimeout = call, query }
}

// WithIdle sets how long a connection stays open without a request.
func WithIdle(d time.Duration) Option { return func(f *Front) { f.idleTimeout = d } }

// WithCertificates makes the listener use TLS; the default is plain text.
func WithCertificates(c anvillistener.Certificates) Option { return func(f *Front) { f.certs = c } }

// New returns a Front. state is called for each request on the request's goroutine.
func New(state func() State, dispatcher Dispatcher, opts ...Option) *Front {
	f := &Front{
		state: state, dispatcher: dispatcher, clock: anvilclock.NewSystem(), maxBody: defaultBody, maxHeaders: defaultHeaders,
		maxFields: defaultFields, onLimit: func(anvillistener.Refusal) {},
		maxConns: defaultConns, inFlight: make(chan struct{}, defaultInFlight), defaultWait: defaultWait,
		callTimeout: callTimeout, queryTimeout: queryTimeout, idleTimeout: anvillistener.DefaultIdle, mux: http.NewServeMux(),
	}
	for _, opt := range opts {
		opt(f)
	}
	f.routes()
	return f
}

// Handler returns the handler of all routes, with those for health checks and metrics.
func (f *Front) Handler() http.Handler { return f.mux }

// NewServer returns a server for addr that serves the Handler; the caller starts and stops it.
func (f *Front) NewServer(addr string) *anvillistener.Server {
	opts := []anvillistener.Option{
		anvillistener.WithClock(f.clock), anvillistener.WithSizeLimits(f.maxBody, f.maxHeaders),
		anvillistener.WithConnLimits(f.maxConns, cap(f.inFlight)), anvillistener.WithIdle(f.idleTimeout), anvillistener.WithDrain(f.drain),
		anvillistener.WithAdmission(f.admit), anvillistener.WithRefusals(f.refuseUnread), anvillistener.WithOnLimit(f.countLimit),
	}
	if f.memory != nil {
		opts = append(opts, anvillistener.WithMemory(f.memory))
	}
	if f.maxLines > 0 {
		opts = append(opts, anvillistener.WithHeaderLines(f.maxLines))
	}
	if f.certs != nil {
		opts = append(opts, anvillistener.WithCertificates(f.certs))
	}
	return anvillistener.New(addr, f.Handler(), opts...)
}

// Leave makes /health and /ready report a planned stop, and each response close its connection. Requests are still
// served.
func (f *Front) Leave() { f.leaving.Store(true) }

// Leaving reports whether Leave was called or the control loop is shutting down.
func (f *Front) Leaving() bool { return f.leaving.Load() || f.state().Leaving() }

func (f *Front) routes() {
	for pattern, h := range map[string]handler{
		"POST /v1/call/{pool}":  f.call,
		"POST /v1/tasks":        f.submitTask,
		"GET /v1/tasks/{id}":    f.readTask,
		"DELETE /v1/tasks/{id}": f.cancelTask,
		"GET /v1/explain/{id}":  f.explainTask,
		"POST /v1/config":       f.change,
		"GET /v1/config":        f.readConfig,
		"GET /v1/status":        f.readStatus,
	} {
		f.mux.Handle(pattern, f.limitInFlight(pattern, h))
	}
	f.mux.HandleFunc("GET /health", f.health)
	f.mux.HandleFunc("GET /ready", f.ready)
	f.mux.Handle("GET /debug/vars", vars())
	f.mux.HandleFunc("/", notFound)
}
