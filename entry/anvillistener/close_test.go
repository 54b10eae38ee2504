package anvillistener

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"anvilhold.org/lib/anvilclock"
)

// Guards against a stop that closes the connection of a request in flight.
func TestStopSparesBusy(t *testing.T) {
	clock := anvilclock.NewManual(1)
	s := New("127.0.0.1:0", http.HandlerFunc(echo), WithClock(clock))
	client, server := net.Pipe()
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	s.register(server)
	s.setBusy(server.RemoteAddr().String(), true)
	clock.Advance(2 * minIdleTime)
	if idle := s.idleConns(); len(idle) != 0 {
		t.Fatalf("%d connections are idle", len(idle))
	}
}

// Guards against a connection that stays open and keeps its memory after its handler has panicked.
func TestPanicCloses(t *testing.T) {
	s := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("handler") }))
	c := dial(t, s)
	write(t, c, lengthRequest)
	assertClosed(t, c)
	for end := time.Now().Add(testTimeout); s.memory.Used() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are reserved", s.memory.Used())
		}
	}
}

// Guards against clients that keep a connection with a byte of a header now and then.
func TestHeaderTimeout(t *testing.T) {
	s := New("127.0.0.1:0", http.HandlerFunc(echo))
	s.headerTimeout = testIdleTimeout
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop(t.Context()) })
	t.Run("an unfinished header", func(t *testing.T) {
		c := dial(t, s)
		write(t, c, "GET /a HTTP/1.1\r\nA: ")
		for {
			if _, err := io.WriteString(c, "x"); err != nil {
				if errors.Is(err, os.ErrDeadlineExceeded) {
					t.Fatal("still open")
				}
				return
			}
			time.Sleep(testIdleTimeout / 10)
		}
	})
	t.Run("a slow body", func(t *testing.T) {
		c := dial(t, s)
		write(t, c, lengthRequest[:20])
		time.Sleep(testIdleTimeout / 10)
		write(t, c, lengthRequest[20:len(lengthRequest)-2])
		time.Sleep(2 * testIdleTimeout)
		write(t, c, lengthRequest[len(lengthRequest)-2:])
		assertResponse(t, bufio.NewReader(c), http.StatusOK, "POST a\n\r\n\r\nb")
	})
}
