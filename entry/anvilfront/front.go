// Package anvilfront answers callers and operators over HTTP.
//
// Keys are checked on traffic goroutines against an immutable snapshot of the configuration; what
// passes is offered to the control loop, whose reply the goroutine waits for.
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

// State is the picture of control state that requests are checked against.
type State interface {
	Config() *anvilconfig.Snapshot
	Serving() bool
	Leaving() bool
	Confirmed() bool
	Introduced() bool
}

// Dispatcher takes what callers and operators ask for. A false return says that it was not taken.
type Dispatcher interface {
	Submit(f anvilcontrol.Forward, reply chan<- anvilcontrol.Result) bool
	Inspect(q anvilcontrol.Query, reply chan<- anvilcontrol.Status) bool
	Change(c Change, reply chan<- anvilcontrol.ChangeResult) bool
}

// Inspector tells the state of the cell. A call may wait for the control loop until ctx ends.
type Inspector interface {
	Cell(ctx context.Context) (Cell, error)
}

const (
	defaultBody    = 1 << 20
	defaultHeaders = 16 << 10
	defaultConns   = 2000
	defaultFlight  = 1000

	defaultWait anvilclock.Millis = 2000
	// answerTimeout is the longest wait for the answer of a service request.
	answerTimeout = 60 * time.Second
	// queryTimeout bounds questions and changes: a change is decided within the two seconds of a
	// table access, or read back within two more.
	queryTimeout = 5 * time.Second
)

// Front is the HTTP side of an entry instance.
type Front struct {
	state      func() State
	dispatcher Dispatcher
	inspector  Inspector
	certs      anvillistener.Certificates
	clock      anvilclock.Clock
	bootstrap  string
	body       int
	headers    int
	conns      int
	wait       anvilclock.Millis
	answer     time.Duration
	query      time.Duration
	idle       time.Duration
	flight     chan struct{}
	leaving    atomic.Bool
	mux        *http.ServeMux
}

// Option sets an optional part of a Front.
type Option func(*Front)

// WithInspector sets where GET /v1/status gets its answer.
func WithInspector(i Inspector) Option { return func(f *Front) { f.inspector = i } }

// WithClock replaces the system clock.
func WithClock(c anvilclock.Clock) Option { return func(f *Front) { f.clock = c } }

// WithBootstrap sets the hash of the secret that opens the operators' requests while the
// configuration holds no operator key; empty means none.
func WithBootstrap(hash string) Option { return func(f *Front) { f.bootstrap = hash } }

// WithSizeLimits bounds a body and the headers of a request in bytes.
func WithSizeLimits(body, headers int) Option {
	return func(f *Front) { f.body, f.headers = body, headers }
}

// WithConnLimits bounds connections and requests in flight.
func WithConnLimits(conns, flight int) Option {
	return func(f *Front) { f.conns, f.flight = conns, make(chan struct{}, flight) }
}

// WithWait sets how long a service request without a deadline of its own may wait in the queue.
func WithWait(d anvilclock.Millis) Option { return func(f *Front) { f.wait = d } }

// WithTimeout sets how long a service request waits for its answer, and a question or change for
// its reply.
func WithTimeout(answer, query time.Duration) Option {
	return func(f *Front) { f.answer, f.query = answer, query }
}

// WithIdle sets how long a connection without a request stays open.
func WithIdle(d time.Duration) Option { return func(f *Front) { f.idle = d } }

// WithCertificates makes the listener use TLS; the default is plain text.
func WithCertificates(c anvillistener.Certificates) Option { return func(f *Front) { f.certs = c } }

// New returns a front end. state is called once for each request.
func New(state func() State, dispatcher Dispatcher, opts ...Option) *Front {
	f := &Front{
		state: state, dispatcher: dispatcher, clock: anvilclock.NewSystem(), body: defaultBody, headers: defaultHeaders,
		conns: defaultConns, flight: make(chan struct{}, defaultFlight), wait: defaultWait,
		answer: answerTimeout, query: queryTimeout, idle: anvillistener.DefaultIdle, mux: http.NewServeMux(),
	}
	for _, opt := range opts {
		opt(f)
	}
	f.routes()
	return f
}

// Handler returns the handler of all routes.
func (f *Front) Handler() http.Handler { return f.mux }

// NewServer returns a listener on addr that has not started.
func (f *Front) NewServer(addr string) *anvillistener.Server {
	opts := []anvillistener.Option{
		anvillistener.WithClock(f.clock), anvillistener.WithSizeLimits(f.body, f.headers),
		anvillistener.WithConnLimits(f.conns, cap(f.flight)), anvillistener.WithIdle(f.idle), anvillistener.WithDrain(f.drain),
		anvillistener.WithUnparsed(unparsed), anvillistener.WithRefused(func() { connections.Add("refused", 1) }),
	}
	if f.certs != nil {
		opts = append(opts, anvillistener.WithCertificates(f.certs))
	}
	return anvillistener.New(addr, f.Handler(), opts...)
}

// unparsed returns the whole answer to a request that can't be parsed.
func unparsed(tooLong bool) []byte {
	out := refused(badInput("the request can't be parsed"))
	if tooLong {
		out = refused(tooLarge("the request is too long"))
	}
	count("other", out, 0)
	return out.raw()
}

// Leave makes the health answers say that the instance is leaving.
func (f *Front) Leave() { f.leaving.Store(true) }

// Leaving reports whether the instance is leaving.
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
		f.mux.Handle(pattern, f.bounded(pattern, h))
	}
	f.mux.HandleFunc("GET /health", f.health)
	f.mux.HandleFunc("GET /ready", f.ready)
	f.mux.Handle("GET /debug/vars", vars())
	f.mux.HandleFunc("/", notFound)
}
