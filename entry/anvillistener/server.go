// Package anvillistener serves HTTP with nbhttp and stops without aborting requests in flight.
package anvillistener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/mempool"
	"github.com/lesismal/nbio/nbhttp"

	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
)

const (
	// spareHandlers are additional goroutines that answer health requests and refuse requests over the limit while all
	// requests in flight wait.
	spareHandlers = 64
	// DefaultIdle is longer than the usual idle timeouts of load balancers, which must close connections first.
	DefaultIdle = 75 * time.Second
	// defaultWrite bounds the time to write what the socket doesn't take of a response at the end of its handler.
	defaultWrite = 10 * time.Second
	// defaultHeader bounds the time from the first bytes of a request to the end of its header. A client on a bad link sends a
	// header of a few packets well within it.
	defaultHeader = 10 * time.Second
	// parserOverhead is added to the parser's limit for the request line and the framing, so that a request at its
	// limits reaches the handler.
	parserOverhead = 64 << 10
	// discardTimeout is how long the rest of a request that can't be parsed is read and discarded: closing a connection
	// with unread data resets it, and the client loses the response.
	discardTimeout = 2 * time.Second
	// A stop closes a connection as idle when it has been unused for minIdleTime. The response to its last request is
	// written well within that time.
	minIdleTime anvilclock.Millis = 1000
)

// Server is an HTTP server. It accepts connections itself and only parses them with nbhttp, because the server of nbhttp
// closes a connection without a response if it can't parse a request, and closes connections whose responses are still
// being written when it stops.
type Server struct {
	addr           string
	handler        http.Handler
	clock          anvilclock.Clock
	maxBody        int
	maxHeaders     int
	maxConns       int
	maxInFlight    int
	idleTimeout    time.Duration
	writeTimeout   time.Duration
	headerTimeout  time.Duration
	drain          func(context.Context) error
	maxHeaderLines int
	bodyLimit      func() int
	memory         *Memory
	admit          func(*http.Request) []byte
	refusal        func(Refusal, *http.Request) []byte
	onLimit        func(Refusal)
	chart          *anvilchart.Chart
	binding        *anvilchart.Binding[*gate]
	certs          Certificates
	engine         *nbhttp.Engine
	descriptors    descriptors
	listener       net.Listener
	acceptLoop     sync.WaitGroup
	tls            *tls.Config
	mu             sync.Mutex
	conns          map[string]connection
	stopped        bool
	empty          chan struct{} // closed once the server is stopped and has no open connections
}

// connection is a client connection. lastUsed is when data arrived or a request began or ended, and busy whether a
// request is being handled.
type connection struct {
	conn     net.Conn
	lastUsed anvilclock.Millis
	busy     bool
}

// Default limits; body and headers are in bytes.
const (
	defaultBody     = 1 << 20
	defaultHeaders  = 16 << 10
	defaultConns    = 2000
	defaultInFlight = 1000
	// defaultHeaderLines is several times what proxies and clients send together.
	defaultHeaderLines = 200
	// smallBuffer is the size up to which the library's pool keeps buffers.
	smallBuffer = 4 << 10
)

var limitPool sync.Once

// Option configures a Server.
type Option func(*Server)

// WithClock sets the clock; the default is the system's.
func WithClock(c anvilclock.Clock) Option { return func(s *Server) { s.clock = c } }

// WithSizeLimits limits the size of a request's body and that of its headers, in bytes.
func WithSizeLimits(body, headers int) Option {
	return func(s *Server) { s.maxBody, s.maxHeaders = body, headers }
}

// WithConnLimits limits the number of open connections and of requests that are handled at a time.
func WithConnLimits(conns, inFlight int) Option {
	return func(s *Server) { s.maxConns, s.maxInFlight = conns, inFlight }
}

// WithIdle sets how long a connection stays open without a request.
func WithIdle(d time.Duration) Option { return func(s *Server) { s.idleTimeout = d } }

// WithDrain sets a function that Stop calls to wait for the requests in flight.
func WithDrain(f func(context.Context) error) Option { return func(s *Server) { s.drain = f } }

// WithHeaderLines limits the number of header lines of a request.
func WithHeaderLines(n int) Option { return func(s *Server) { s.maxHeaderLines = n } }

// WithBodyLimit sets a function that returns the present limit of a body in bytes. It applies below the one of
// WithSizeLimits.
func WithBodyLimit(f func() int) Option { return func(s *Server) { s.bodyLimit = f } }

// WithMemory sets the budget of the process. The default is a budget of the listener's own for a machine of DefaultMemory.
func WithMemory(m *Memory) Option { return func(s *Server) { s.memory = m } }

// WithAdmission sets a function that decides on a request with a body from its header, before the body is read. It
// returns the raw HTTP response to a request that is refused, or nil. It must not block, nor keep or change the request.
func WithAdmission(f func(*http.Request) []byte) Option { return func(s *Server) { s.admit = f } }

// WithRefusals sets the function that returns the raw HTTP response to a request that is refused, which has not reached the
// handler. The request has no body; it is nil if its first line can't be parsed.
func WithRefusals(f func(Refusal, *http.Request) []byte) Option {
	return func(s *Server) { s.refusal = f }
}

// WithOnLimit sets a function that is called for each request and connection that is refused. It must not block.
func WithOnLimit(f func(Refusal)) Option { return func(s *Server) { s.onLimit = f } }

// New returns a Server that listens on addr once it is started.
func New(addr string, handler http.Handler, opts ...Option) *Server {
	// The library logs to standard output. Errors that matter are counted or returned.
	logging.SetLevel(logging.LevelNone)
	s := &Server{
		addr: addr, handler: handler, clock: anvilclock.NewSystem(), maxBody: defaultBody, maxHeaders: defaultHeaders,
		maxConns: defaultConns, maxInFlight: defaultInFlight, idleTimeout: DefaultIdle,
		writeTimeout: defaultWrite, headerTimeout: defaultHeader, conns: map[string]connection{}, empty: make(chan struct{}),
		drain:          func(context.Context) error { return nil },
		maxHeaderLines: defaultHeaderLines, admit: func(*http.Request) []byte { return nil }, refusal: PlainRefusal,
		onLimit: func(Refusal) {}, binding: bindConnection(),
	}
	s.bodyLimit = func() int { return s.maxBody }
	for _, opt := range opts {
		opt(s)
	}
	if s.memory == nil {
		s.memory = NewMemory(0, s.clock)
	}
	if s.certs != nil {
		s.tls = tlsConfig(s.certs)
	}
	// The pool of the library keeps buffers of any size.
	limitPool.Do(func() { mempool.DefaultMemPool = mempool.New(smallBuffer, smallBuffer) })
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp", NPoller: 1, EpollMod: nbio.EPOLLET, ReadBufferSize: readSize, Handler: s.trackBusy(handler), MaxHTTPBodySize: s.maxBody + 1, ReadLimit: s.maxBody + s.maxHeaders + parserOverhead,
		MessageHandlerPoolSize: s.maxInFlight + spareHandlers, KeepaliveTime: s.idleTimeout,
	})
	s.engine.OnClose(func(c net.Conn, err error) {
		s.descriptors.closed(c, err)
		s.unregister(c)
		if g, ok := session(c); ok {
			g.closed()
		}
	})
	s.engine.OnRead(s.readable)
	s.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if g, ok := session(c); ok {
			g.wrote(n)
		}
	})
	return s
}

// Start opens the listener and serves connections on other goroutines.
func (s *Server) Start() error {
	var err error
	if s.chart, err = loadConnection(s.binding); err != nil {
		return err
	}
	if s.listener, err = net.Listen("tcp", s.addr); err != nil {
		return err
	}
	if err := s.engine.Start(); err != nil {
		return errors.Join(err, s.listener.Close())
	}
	if err := s.descriptors.open(s.engine); err != nil {
		s.engine.Stop()
		return errors.Join(err, s.listener.Close())
	}
	s.acceptLoop.Add(1)
	go func() {
		defer s.acceptLoop.Done()
		s.accept()
	}()
	return nil
}

// Addr returns the address that the server listens on, with the actual port if port 0 was given. It may be called only
// after Start succeeded.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// acceptBackoff is the wait after a failed accept, most often for lack of file descriptors.
const acceptBackoff = 50 * time.Millisecond

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptBackoff)
			continue
		}
		s.serveConn(c)
	}
}

func (s *Server) serveConn(raw net.Conn) {
	if !s.register(raw) {
		s.onLimit(Connections)
		_ = raw.Close()
		return
	}
	c, err := nbio.NBConn(raw)
	if err != nil {
		s.unregister(raw)
		_ = raw.Close()
		return
	}
	s.descriptors.use(c)
	g := s.newGate(c)
	c.SetSession(g)
	// The poller's goroutine first uses the connection in touch. Both register and touch lock mu, which orders the steps
	// above before that use.
	s.register(c)
	if _, err := s.engine.AddConn(c); err != nil {
		s.unregister(c)
		_ = c.Close()
		g.closed()
		return
	}
	s.setIdleDeadline(c)
}

// setIdleDeadline sets the idle timeout of a connection after it was added to the engine. The engine may already be
// handling the first request, during which there is no timeout, or have set a shorter one.
func (s *Server) setIdleDeadline(c net.Conn) {
	if g, ok := session(c); ok {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.timed || g.machine.State() != "reading" {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.conns[c.RemoteAddr().String()].busy {
		_ = c.SetReadDeadline(time.Now().Add(s.idleTimeout))
	}
}

func (s *Server) limitBody() int { return min(s.bodyLimit(), s.maxBody) }

// session returns the gate of a connection. The probe of descriptors has none.
func session(c net.Conn) (*gate, bool) {
	nc, ok := c.(*nbio.Conn)
	if !ok {
		return nil, false
	}
	g, ok := nc.Session().(*gate)
	return g, ok
}

// readable is called on the poller's goroutine when there is new data for a connection.
func (s *Server) readable(c *nbio.Conn) {
	if g, ok := session(c); ok {
		s.touch(c)
		g.readable()
		return
	}
	data := make([]byte, 1)
	for {
		n, err := c.Read(data)
		if n <= 0 || err != nil {
			return
		}
		c.DataHandler()(c, data[:n])
	}
}

// register adds a connection and reports whether the limit allowed it. A connection with a known address replaces the
// earlier one, because the engine wraps an accepted connection in its own type.
func (s *Server) register(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := c.RemoteAddr().String()
	if _, known := s.conns[addr]; !known && (s.stopped || len(s.conns) >= s.maxConns && !s.closeIdlest()) {
		return false
	}
	s.conns[addr] = connection{conn: c, lastUsed: s.clock.Now()}
	return true
}

// closeIdlest closes the connection that has been unused for the longest time, if that is at least minIdleTime and it has
// no request that is handled. The caller holds mu.
func (s *Server) closeIdlest() bool {
	now := s.clock.Now()
	oldest, found := connection{lastUsed: now - minIdleTime + 1}, ""
	for addr, c := range s.conns {
		if !c.busy && c.lastUsed < oldest.lastUsed {
			oldest, found = c, addr
		}
	}
	if found == "" {
		return false
	}
	delete(s.conns, found)
	s.onLimit(Idle)
	_ = oldest.conn.Close()
	return true
}

// touch records that data arrived on a connection.
func (s *Server) touch(c net.Conn) {
	addr := c.RemoteAddr()
	if addr == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if conn, ok := s.conns[addr.String()]; ok {
		conn.lastUsed = s.clock.Now()
		s.conns[addr.String()] = conn
	}
}

func (s *Server) unregister(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A newer connection may have the same address already.
	if addr := c.RemoteAddr().String(); s.conns[addr].conn == c {
		delete(s.conns, addr)
		s.signalEmpty()
	}
}

// signalEmpty closes empty when the server is stopped and has no open connections. The caller holds mu.
func (s *Server) signalEmpty() {
	if !s.stopped || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// Stop closes the listener and the idle connections. Until ctx ends, it waits for the requests in flight and then for
// their clients to close the connections. Connections that are still open after that are closed.
func (s *Server) Stop(ctx context.Context) error {
	err := s.listener.Close()
	s.acceptLoop.Wait()
	err = errors.Join(err, s.drain(ctx))
	for _, c := range s.idleConns() {
		_ = c.Close()
	}
	select {
	case <-s.empty:
	case <-ctx.Done():
	}
	s.engine.Stop()
	return errors.Join(err, s.descriptors.close())
}

// idleConns marks the server as stopped and returns the connections without a request in flight that were not used for
// minIdleTime.
func (s *Server) idleConns() []net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.signalEmpty()
	now := s.clock.Now()
	var out []net.Conn
	for _, c := range s.conns {
		if !c.busy && now-c.lastUsed >= minIdleTime {
			out = append(out, c.conn)
		}
	}
	return out
}

// trackBusy keeps a connection open while its request is being handled: nbhttp sets the idle deadline after each
// response and doesn't clear it when the next request arrives.
func (s *Server) trackBusy(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.setBusy(r.RemoteAddr, true)
		defer s.setBusy(r.RemoteAddr, false)
		h.ServeHTTP(w, r)
	})
}

// setBusy records whether a request is being handled on a connection. At the start of a request it clears the idle
// deadline.
func (s *Server) setBusy(addr string, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.conns[addr]
	if !ok {
		return
	}
	c.busy, c.lastUsed = busy, s.clock.Now()
	s.conns[addr] = c
	if busy {
		_ = c.conn.SetReadDeadline(time.Time{})
	}
}
