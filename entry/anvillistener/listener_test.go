package anvillistener

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

const (
	testIdleTimeout = 100 * time.Millisecond
	// testTimeout ends a test that hangs; no result depends on it.
	testTimeout = 20 * time.Second
)

func startServer(t *testing.T, h http.Handler) *Server {
	t.Helper()
	s := New("127.0.0.1:0", h, WithIdle(testIdleTimeout))
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		if err := s.Stop(ctx); err != nil {
			t.Error(err)
		}
	})
	return s
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

func assertClosed(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("read returned %v, want EOF", err)
	}
}

// Guards against an idle deadline on a new connection whose first request is already being handled: the accepting and
// the serving goroutine run concurrently, in either order.
func TestIdleDeadline(t *testing.T) {
	received, release := make(chan net.Conn), make(chan struct{})
	var s *Server
	s = startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		c := s.conns[r.RemoteAddr].conn
		s.mu.Unlock()
		received <- c
		<-release
		_, _ = w.Write([]byte("answer"))
	}))
	t.Run("during a request", func(t *testing.T) {
		c := dial(t, s)
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		s.setIdleDeadline(<-received)
		time.Sleep(3 * testIdleTimeout)
		close(release)
		if _, err := io.ReadFull(c, make([]byte, len("HTTP/1.1 200"))); err != nil {
			t.Fatalf("no answer: %v", err)
		}
	})
	t.Run("without a request", func(t *testing.T) { assertClosed(t, dial(t, s)) })
}

// Guards against a connection that is closed because its request takes longer than the time to write a response.
func TestLongRequest(t *testing.T) {
	const limit = 50 * time.Millisecond
	s := New("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(4 * limit)
		_, _ = w.Write([]byte("answer"))
	}))
	s.writeTimeout = limit
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Stop(t.Context()); err != nil {
			t.Error(err)
		}
	})
	c := dial(t, s)
	for range 2 {
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(res.Body); err != nil || string(body) != "answer" {
			t.Fatalf("got %q, %v", body, err)
		}
	}
}

// unnamedConn is a connection whose platform names no remote address, like that of a pair of sockets on some.
type unnamedConn struct{ net.Conn }

func (unnamedConn) RemoteAddr() net.Addr { return nil }

// Guards against a process that ends with the first data of a connection without a remote address, as the probe of descriptors
// can be.
func TestDataWithoutRemoteAddress(t *testing.T) {
	s := New("127.0.0.1:0", http.NotFoundHandler())
	s.touch(unnamedConn{})
	if len(s.conns) != 0 {
		t.Fatalf("%d connections, want none", len(s.conns))
	}
}
