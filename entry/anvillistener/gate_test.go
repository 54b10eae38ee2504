package anvillistener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"pgregory.net/rapid"

	"anvilhold.org/lib/anvilclock"
)

// echo answers with the method and the body of a request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	out := fmt.Sprintf("%s %s", r.Method, body)
	w.Header().Set("Content-Length", fmt.Sprint(len(out)))
	_, _ = io.WriteString(w, out)
}

func serve(t *testing.T, h http.Handler, opts ...Option) *Server {
	t.Helper()
	s := New("127.0.0.1:0", h, opts...)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop(t.Context()) })
	return s
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func assertResponse(t *testing.T, r *bufio.Reader, status int, body string) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != status || string(got) != body {
		t.Fatalf("got %d %q (%v), want %d %q", res.StatusCode, got, err, status, body)
	}
	return res
}

const (
	lengthRequest  = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 7\r\n\r\na\n\r\n\r\nb"
	chunkedRequest = "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n5;e=1\r\n\n\r\n\r\n\r\n0\r\n\r\n"
	plainRequest   = "GET /c HTTP/1.1\r\nHost: a\r\n\r\n"
)

// Guards against requests that are lost, joined or handled at once when they arrive ahead and split at any byte.
func TestRequestsAheadInOrder(t *testing.T) {
	var busy atomic.Int32
	s := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if busy.Add(1) > 1 {
			w.WriteHeader(http.StatusTeapot)
		}
		echo(w, r)
		busy.Add(-1)
	}))
	rapid.Check(t, func(rt *rapid.T) {
		kinds := rapid.SliceOfN(rapid.IntRange(0, 2), 1, 6).Draw(rt, "requests")
		var text strings.Builder
		for _, k := range kinds {
			text.WriteString([]string{lengthRequest, chunkedRequest, plainRequest}[k])
		}
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			rt.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		for rest := text.String(); rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(rt, "piece")
			write(t, c, rest[:n])
			rest = rest[n:]
		}
		r := bufio.NewReader(c)
		for _, k := range kinds {
			assertResponse(t, r, http.StatusOK, []string{"POST a\n\r\n\r\nb", "POST x\n\r\n\r\n", "GET "}[k])
		}
	})
}

// Guards against a parser that is given bytes beyond the end of a request, which it would handle as the next one.
func TestStepStopsAtEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{lengthRequest, chunkedRequest, plainRequest}).Draw(t, "request")
		stream := text + plainRequest
		r := newRequest()
		p := nbhttp.NewParser(nil, &nbhttp.Engine{}, r, false, nil)
		r.Processor = nbhttp.NewEmptyProcessor()
		parsed := 0
		for !r.complete {
			data := stream[parsed:min(len(stream), parsed+rapid.IntRange(1, 40).Draw(t, "piece"))]
			for first := true; len(data) > 0 && !r.complete; first = false {
				n := r.step([]byte(data), first)
				if err := p.Parse([]byte(data[:n])); err != nil {
					t.Fatal(err)
				}
				parsed += n
				data = data[n:]
			}
		}
		if parsed != len(text) {
			t.Fatalf("parsed %d bytes of a request of %d", parsed, len(text))
		}
	})
}

// Guards against refusals without a response, and against bodies that are awaited although the header decides.
func TestRefusals(t *testing.T) {
	s := serve(t, http.HandlerFunc(echo), WithSizeLimits(100, 1000), WithHeaderLines(20), WithAdmission(func(r *http.Request) []byte {
		if r.URL.Path == "/none" {
			return PlainResponse(http.StatusNotFound)
		}
		return nil
	}))
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"a long body":           {"POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n", http.StatusRequestEntityTooLarge},
		"a long body in chunks": {"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101) + "\r\n", http.StatusRequestEntityTooLarge},
		"many header lines":     {"GET /a HTTP/1.1\r\n" + strings.Repeat("A:\r\n", 21), http.StatusRequestHeaderFieldsTooLarge},
		"long headers":          {"GET /a HTTP/1.1\r\nA: " + strings.Repeat("x", 100_000), http.StatusRequestHeaderFieldsTooLarge},
		"no route":              {"POST /none HTTP/1.1\r\nContent-Length: 100\r\n\r\n", http.StatusNotFound},
		"no HTTP":               {"\x01\r\n", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, s)
			write(t, conn, c.text)
			assertResponse(t, bufio.NewReader(conn), c.status, "")
		})
	}
}

// Guards against clients that keep the memory of unfinished requests while others are refused.
func TestStalledGoFirst(t *testing.T) {
	clock := anvilclock.NewManual(1)
	const memory = 80_000
	s := serve(t, http.HandlerFunc(echo), WithMemory(NewMemory(memory, clock)))
	stalled := dial(t, s)
	write(t, stalled, "POST /a HTTP/1.1\r\nContent-Length: 9000\r\n\r\n"+strings.Repeat("x", 8000))
	for s.memory.Used() < 16_000 {
		time.Sleep(time.Millisecond)
	}
	t.Run("the largest is refused while all make progress", func(t *testing.T) {
		other := dial(t, s)
		write(t, other, "POST /a HTTP/1.1\r\nContent-Length: 9000\r\n\r\n"+strings.Repeat("x", 8900))
		res := assertResponse(t, bufio.NewReader(other), http.StatusServiceUnavailable, "")
		if res.Header.Get("Retry-After") == "" {
			t.Fatal("no Retry-After")
		}
	})
	t.Run("a client that makes no progress is refused for another", func(t *testing.T) {
		clock.Advance(60_000)
		other := dial(t, s)
		write(t, other, "POST /a HTTP/1.1\r\nContent-Length: 2000\r\n\r\n"+strings.Repeat("x", 2000))
		assertResponse(t, bufio.NewReader(other), http.StatusOK, "POST "+strings.Repeat("x", 2000))
		assertResponse(t, bufio.NewReader(stalled), http.StatusServiceUnavailable, "")
	})
}

// Guards against answers that pile up for a client that doesn't read, and against a connection that stops for good when it
// reads later.
func TestUnreadAnswers(t *testing.T) {
	const size, requests = 1 << 20, 50
	var handled atomic.Int32
	s := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handled.Add(1)
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = w.Write(make([]byte, size))
	}))
	c := dial(t, s)
	go func() { _, _ = io.WriteString(c, strings.Repeat(plainRequest, requests)) }()
	r := bufio.NewReader(c)
	for i := range requests {
		// The socket buffers of both sides take a few answers.
		if n := int(handled.Load()); n > i+16 {
			t.Fatalf("%d requests were handled, %d answers have been read", n, i)
		}
		assertResponse(t, r, http.StatusOK, string(make([]byte, size)))
	}
}

// Guards against a log that grows with the number of refused clients.
func TestReporter(t *testing.T) {
	clock := anvilclock.NewManual(1)
	var reports []string
	r := NewReporter(clock, func(why Refusal, n int64) { reports = append(reports, fmt.Sprint(why, n)) })
	for range 3 {
		r.Record(Overloaded)
	}
	r.Record(Idle)
	clock.Advance(reportInterval)
	r.Record(Overloaded)
	if got := fmt.Sprint(reports); got != "[memory1 idle1 memory3]" {
		t.Fatalf("got %s", got)
	}
}
