package anvilbackend

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilwire"
)

// testTimeout ends a test that hangs; no result depends on it.
const testTimeout = 20 * time.Second

type fakeInbox chan anvilcontrol.Message

func (in fakeInbox) Post(m anvilcontrol.Message) { in <- m }

func assertPosted(t *testing.T, in fakeInbox, want anvilcontrol.Message) {
	t.Helper()
	if got := <-in; !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

func assertError(t *testing.T, err *anvilerror.Error, o anvilerror.Outcome, c anvilerror.Code) {
	t.Helper()
	if err == nil || err.Outcome() != o || err.Code() != c {
		t.Fatalf("got %v, want %s %s", err, o, c)
	}
}

// startWorker starts a worker that responds to each request with a status and a body. last holds the path and body of
// the last request.
func startWorker(t *testing.T, status int, body string) (addr string, last *string) {
	t.Helper()
	last = new(string)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		*last = r.URL.Path + " " + strings.ReplaceAll(string(b), " ", "")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), last
}

// closingWorker starts a worker that closes the connection after a request, without a response.
func closingWorker(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// closedAddr returns an address on which nothing listens.
func closedAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Guards against "not run" for a start that a worker may have received, and against "unknown" for one that was never
// sent.
func TestStartOutcome(t *testing.T) {
	b := New(make(fakeInbox, 1), "e1", WithTimeout(testTimeout, testTimeout))
	in := anvilwire.Start_builder{Id: "x"}.Build()
	t.Run("refused connection", func(t *testing.T) {
		_, err := b.postStart(closedAddr(t), in)
		assertError(t, err, anvilerror.NotRun, anvilerror.NoOwner)
	})
	t.Run("connection closed after the request", func(t *testing.T) {
		_, err := b.postStart(closingWorker(t), in)
		assertError(t, err, anvilerror.Unknown, anvilerror.Lost)
	})
	t.Run("server error", func(t *testing.T) {
		addr, _ := startWorker(t, 500, "fault")
		_, err := b.postStart(addr, in)
		assertError(t, err, anvilerror.Unknown, anvilerror.Lost)
	})
	t.Run("refused message", func(t *testing.T) {
		addr, _ := startWorker(t, 400, "bad")
		_, err := b.postStart(addr, in)
		assertError(t, err, anvilerror.NotRun, anvilerror.Internal)
	})
	t.Run("invalid response", func(t *testing.T) {
		addr, _ := startWorker(t, 200, "{")
		_, err := b.postStart(addr, in)
		assertError(t, err, anvilerror.Unknown, anvilerror.Lost)
	})
	t.Run("timeout", func(t *testing.T) {
		release := make(chan struct{})
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) { <-release }))
		defer s.Close()
		defer close(release)
		short := New(make(fakeInbox, 1), "e1", WithTimeout(20*time.Millisecond, testTimeout))
		_, err := short.postStart(strings.TrimPrefix(s.URL, "http://"), in)
		assertError(t, err, anvilerror.Unknown, anvilerror.Lost)
	})
}

// Guards against a field of a worker's response that is missing in the result for the control loop.
func TestResults(t *testing.T) {
	t.Run("fenced", func(t *testing.T) {
		in := make(fakeInbox, 1)
		addr, last := startWorker(t, 200, `{"ok":true,"epoch":"3","boot":"b","size":{"cpu":"64000"},"cursor":"9",
			"tasks":[{"id":"a","team":"red","kind":"call","size":{"cpu":"500"},"state":"running","once":true}],
			"ended":[{"id":"c","state":"done","age":"7","answer":"aGk=","team":"red"}]}`)
		New(in, "e1").Fence(5, addr, anvilcontrol.Fence{})
		assertPosted(t, in, anvilcontrol.NewFenced(5, true, 3, "b", anvilsize.New(64000, 0, 0),
			[]anvilcontrol.RunningTask{anvilcontrol.NewRunningTask("a", "", "red", anviltask.Call, anvilsize.New(500, 0, 0), anvilsize.Size{}, "running", true)},
			[]anvilcontrol.EndedTask{anvilcontrol.NewEndedTask("c", "", "red", "done", "", false, 7, []byte("hi"))}, 9))
		if *last != `/v1/fence {"holder":"e1"}` {
			t.Fatalf("sent %s", *last)
		}
	})
	t.Run("controlled", func(t *testing.T) {
		in := make(fakeInbox, 1)
		addr, last := startWorker(t, 200, `{"ok":true,"code":"c","state":"stopped","boot":"b","answer":"aGk="}`)
		New(in, "e1").Control(6, addr, anvilcontrol.Control{})
		assertPosted(t, in, anvilcontrol.NewControlled(6, true, "c", "stopped", "b", []byte("hi")))
		if *last != "/v1/control {}" {
			t.Fatalf("sent %s", *last)
		}
	})
	t.Run("started", func(t *testing.T) {
		addr, _ := startWorker(t, 200, `{"state":"done","answer":"aGk="}`)
		out, err := New(make(fakeInbox, 1), "e1").postStart(addr, anvilwire.Start_builder{Id: "x"}.Build())
		if err != nil || out.GetState() != "done" || string(out.GetAnswer()) != "hi" {
			t.Fatalf("got %v, %v", out, err)
		}
	})
}

// Guards against an unlimited number of requests in flight, and against a request over the limit that gets no result.
func TestSlots(t *testing.T) {
	in := make(fakeInbox, 1)
	b := New(in, "e1", WithSlots(0, 0), WithTimeout(testTimeout, time.Millisecond))
	t.Run("control", func(t *testing.T) {
		b.Control(1, closedAddr(t), anvilcontrol.Control{})
		if _, ok := (<-in).(anvilcontrol.Controlled); !ok {
			t.Fatal("no result")
		}
	})
	t.Run("start", func(t *testing.T) {
		b.send(2, closedAddr(t), anvilwire.Start_builder{}.Build())
		if _, ok := (<-in).(anvilcontrol.Started); !ok {
			t.Fatal("no result")
		}
	})
}
