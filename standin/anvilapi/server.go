// Package anvilapi serves the HTTP interfaces of the platform stand-in and of its workers. The handlers run on goroutines
// of the HTTP server and send typed messages to the goroutine that owns the control state.
package anvilapi

import (
	"context"
	"net/http"
	"sync"
	"time"

	"anvilhold.org/entry/anvillistener"
)

const (
	// maxHandlers bounds the requests in progress. A call occupies its handler until it has ended, and a worker of 64
	// cores can run several hundred small calls.
	maxHandlers = 4096
	// bodyMargin is by how much the body limit of nbhttp is above the largest body of a handler. nbhttp closes the
	// connection for a body above its limit; within the margin the handler can respond with status 413.
	bodyMargin = 1 << 20
	maxHeaders = 64 << 10
	maxConns   = 8192
	// idleTimeout is longer than the poll interval of clients, so that they can reuse their connections.
	idleTimeout = 2 * time.Minute
)

// Server is an HTTP server.
type Server struct {
	listener *anvillistener.Server
}

// Serve starts a server on addr and returns when it listens. A port of 0 selects a free one.
func Serve(addr string, handler http.Handler) (*Server, error) {
	requests := newRequestTracker(handler)
	s := &Server{listener: anvillistener.New(addr, requests,
		anvillistener.WithSizeLimits(maxCommitBody+bodyMargin, maxHeaders),
		anvillistener.WithConnLimits(maxConns, maxHandlers),
		anvillistener.WithIdle(idleTimeout),
		anvillistener.WithDrain(requests.wait))}
	if err := s.listener.Start(); err != nil {
		return nil, err
	}
	return s, nil
}

// Addr returns the address that the server listens on, with the port that was selected.
func (s *Server) Addr() string { return s.listener.Addr() }

// Shutdown waits until the requests in progress have been answered, then closes the connections and stops the server. It
// stops waiting when ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.listener.Stop(ctx) }

// requestTracker counts the requests in progress.
type requestTracker struct {
	next http.Handler
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n falls to 0; nil while no wait is active
}

func newRequestTracker(next http.Handler) *requestTracker { return &requestTracker{next: next} }

// ServeHTTP counts a request while the next handler serves it.
func (t *requestTracker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.add(1)
	defer t.add(-1)
	t.next.ServeHTTP(w, r)
}

func (t *requestTracker) add(d int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n += d
	if t.n == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// wait blocks until no request is in progress or ctx ends.
func (t *requestTracker) wait(ctx context.Context) error {
	t.mu.Lock()
	if t.n == 0 {
		t.mu.Unlock()
		return nil
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	return nil
}
