// Package anvillistener accepts HTTP connections with nbhttp and stops without cutting a request.
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
	"github.com/lesismal/nbio/nbhttp"

	"anvilhold.org/lib/anvilclock"
)

const (
	// spareHandlers answer health requests and refuse requests over the bound while all requests
	// in flight wait.
	spareHandlers = 64
	// DefaultIdle is above the idle timeouts usual for load balancers, which must close first.
	DefaultIdle  = 75 * time.Second
	writeTimeout = 10 * time.Second
	// parserSlack is for the first line and the framing of a request, so that a request at its
	// bounds reaches the handler.
	parserSlack = 64 << 10
	// discardTimeout is how long the rest of a request that can't be read is discarded: a
	// connection closed with data unread loses the answer.
	discardTimeout = 2 * time.Second
	// quietTime is how long a connection must have been without a request to count as idle when
	// the listener stops. An answer is written long before.
	quietTime anvilclock.Millis = 1000
)

// Server is a listener. It accepts connections itself and parses them with nbhttp, because the listener
// of nbhttp closes connections whose requests it can't parse without an answer, and at its stop those
// whose answers are still being written.
type Server struct {
	addr     string
	handler  http.Handler
	clock    anvilclock.Clock
	body     int
	headers  int
	conns    int
	flight   int
	idle     time.Duration
	drain    func(context.Context) error
	unparsed func(tooLong bool) []byte
	refused  func()
	certs    Certificates
	engine   *nbhttp.Engine
	listener net.Listener
	accepted sync.WaitGroup
	tls      *tls.Config
	mu       sync.Mutex
	open     map[string]link
	stopped  bool
	empty    chan struct{}
}

// link is a connection of a caller, the time of its last request, and whether one is being answered.
type link struct {
	conn net.Conn
	used anvilclock.Millis
	busy bool
}

// Defaults of the bounds.
const (
	defaultBody    = 1 << 20
	defaultHeaders = 16 << 10
	defaultConns   = 2000
	defaultFlight  = 1000
)

// Option sets an optional part of a Server.
type Option func(*Server)

// WithClock replaces the system clock.
func WithClock(c anvilclock.Clock) Option { return func(s *Server) { s.clock = c } }

// WithSizeLimits bounds a body and the headers of a request in bytes.
func WithSizeLimits(body, headers int) Option {
	return func(s *Server) { s.body, s.headers = body, headers }
}

// WithConnLimits bounds connections and requests that are worked on.
func WithConnLimits(conns, flight int) Option {
	return func(s *Server) { s.conns, s.flight = conns, flight }
}

// WithIdle sets how long a connection without a request stays open.
func WithIdle(d time.Duration) Option { return func(s *Server) { s.idle = d } }

// WithDrain sets what waits for the requests in flight at a stop.
func WithDrain(f func(context.Context) error) Option { return func(s *Server) { s.drain = f } }

// WithUnparsed sets the whole answer to a request that can't be parsed.
func WithUnparsed(f func(tooLong bool) []byte) Option { return func(s *Server) { s.unparsed = f } }

// WithRefused sets what is called for each connection over the bound.
func WithRefused(f func()) Option { return func(s *Server) { s.refused = f } }

// New returns a listener on addr that has not started.
func New(addr string, handler http.Handler, opts ...Option) *Server {
	// The library logs to standard output; what matters is counted or returned.
	logging.SetLevel(logging.LevelNone)
	s := &Server{
		addr: addr, handler: handler, clock: anvilclock.NewSystem(), body: defaultBody, headers: defaultHeaders,
		conns: defaultConns, flight: defaultFlight, idle: DefaultIdle, open: map[string]link{}, empty: make(chan struct{}),
		drain: func(context.Context) error { return nil },
		unparsed: func(bool) []byte {
			return []byte("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		},
		refused: func() {},
	}
	for _, opt := range opts {
		opt(s)
	}
	if s.certs != nil {
		s.tls = secureConfig(s.certs)
	}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp", Handler: s.busy(handler), MaxHTTPBodySize: s.body + 1, ReadLimit: s.body + s.headers + parserSlack,
		MessageHandlerPoolSize: s.flight + spareHandlers, KeepaliveTime: s.idle, WriteTimeout: writeTimeout,
	})
	s.engine.OnClose(func(c net.Conn, _ error) { s.forget(c) })
	return s
}

// Start opens the listener.
func (s *Server) Start() error {
	var err error
	if s.listener, err = net.Listen("tcp", s.addr); err != nil {
		return err
	}
	if err := s.engine.Start(); err != nil {
		return errors.Join(err, s.listener.Close())
	}
	s.accepted.Add(1)
	go func() {
		defer s.accepted.Done()
		s.accept()
	}()
	return nil
}

// Addr returns the address of the open listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// acceptPause is the wait after a failed accept, which is mostly a lack of file descriptors.
const acceptPause = 50 * time.Millisecond

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptPause)
			continue
		}
		s.adopt(c)
	}
}

func (s *Server) adopt(raw net.Conn) {
	if !s.remember(raw) {
		s.refused()
		_ = raw.Close()
		return
	}
	c, err := nbio.NBConn(raw)
	if err != nil {
		s.forget(raw)
		_ = raw.Close()
		return
	}
	if s.tls != nil {
		s.remember(c)
		s.secure(c)
		s.settle(c)
		return
	}
	parser := nbhttp.NewParser(c, s.engine, nbhttp.NewServerProcessor(), false, c.Execute)
	c.SetSession(parser)
	c.OnData(func(c *nbio.Conn, data []byte) {
		s.touch(c)
		if err := parser.Parse(data); err != nil {
			s.unreadable(c, err)
		}
	})
	// The lock taken here and in touch orders the preparation above before the poller's first use.
	s.remember(c)
	if _, err := s.engine.AddConn(c); err != nil {
		s.forget(c)
		_ = c.Close()
		return
	}
	s.settle(c)
}

// settle sets the idle limit of a connection that the engine has taken on. The engine may be answering
// its first request by then, which has no limit.
func (s *Server) settle(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := time.Now().Add(s.idle)
	if s.open[c.RemoteAddr().String()].busy {
		limit = time.Time{}
	}
	_ = c.SetReadDeadline(limit)
}

// unreadable answers a request that can't be parsed, after the answers to the requests before it,
// and discards what follows.
func (s *Server) unreadable(c *nbio.Conn, err error) {
	c.OnData(func(*nbio.Conn, []byte) {})
	_ = c.SetReadDeadline(time.Now().Add(discardTimeout))
	out := s.unparsed(errors.Is(err, nbhttp.ErrTooLong))
	c.MustExecute(func() { _, _ = c.Write(out) })
}

// remember counts a connection and reports whether there was room for it. A known one is replaced by
// its form for the engine.
func (s *Server) remember(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := c.RemoteAddr().String()
	if _, known := s.open[addr]; !known && (s.stopped || len(s.open) >= s.conns) {
		return false
	}
	s.open[addr] = link{conn: c, used: s.clock.Now()}
	return true
}

// touch records that something arrived on a connection.
func (s *Server) touch(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := c.RemoteAddr().String()
	if l, ok := s.open[addr]; ok {
		l.used = s.clock.Now()
		s.open[addr] = l
	}
}

func (s *Server) forget(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The address may belong to a newer connection already.
	if addr := c.RemoteAddr().String(); s.open[addr].conn == c {
		delete(s.open, addr)
		s.signal()
	}
}

// signal closes empty once the stopped listener has no connection left. The caller holds mu.
func (s *Server) signal() {
	if !s.stopped || len(s.open) > 0 {
		return
	}
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// Stop closes the listener and the idle connections. It waits for the requests in flight, and for
// the callers of the last ones to close their connections, until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	err := s.listener.Close()
	s.accepted.Wait()
	err = errors.Join(err, s.drain(ctx))
	for _, c := range s.quiet() {
		_ = c.Close()
	}
	select {
	case <-s.empty:
	case <-ctx.Done():
	}
	s.engine.Stop()
	return err
}

// quiet returns the connections that have nothing left to be answered.
func (s *Server) quiet() []net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.signal()
	now := s.clock.Now()
	var out []net.Conn
	for _, l := range s.open {
		if now-l.used >= quietTime {
			out = append(out, l.conn)
		}
	}
	return out
}

// busy keeps a connection open while its request is being answered: nbhttp sets the time limit of
// an idle connection after each answer and lets it run on during the next request.
func (s *Server) busy(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mark(r.RemoteAddr, true)
		defer s.mark(r.RemoteAddr, false)
		h.ServeHTTP(w, r)
	})
}

// mark records whether a request is being answered on a connection, and lifts its idle limit if so.
func (s *Server) mark(addr string, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.open[addr]
	if !ok {
		return
	}
	l.busy, l.used = busy, s.clock.Now()
	s.open[addr] = l
	if busy {
		_ = l.conn.SetReadDeadline(time.Time{})
	}
}
