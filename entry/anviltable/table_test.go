package anviltable

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/encoding/protojson"

	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anvilwire"
)

// testTimeout ends a test that hangs; no result depends on it.
const testTimeout = 20 * time.Second

type fakeInbox chan anvilcontrol.Message

func (in fakeInbox) Post(m anvilcontrol.Message) { in <- m }

// request is a request that the test server received.
type request struct {
	line, region, body string
}

// startPlatform starts a server that responds to each request with a status and a body, and closes the connection if the
// status is 0.
func startPlatform(t *testing.T, status int, body string, opts ...Option) (*Table, fakeInbox, chan request) {
	t.Helper()
	requests := make(chan request, 16)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		select {
		case requests <- request{line: r.Method + " " + r.URL.String(), region: r.Header.Get("Region"), body: string(b)}:
		default:
		}
		if status == 0 {
			if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
				_ = conn.Close()
			}
			return
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(s.Close)
	in := make(fakeInbox, 1)
	return New(in, strings.TrimPrefix(s.URL, "http://"), "main", append([]Option{WithTimeout(testTimeout)}, opts...)...), in, requests
}

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

func assertSent(t *testing.T, requests chan request, line string) request {
	t.Helper()
	r := <-requests
	if r.line != line || r.region != "main" {
		t.Fatalf("sent %+v, want %s", r, line)
	}
	return r
}

// Guards against "not run" for a commit that may have taken effect, and against "unknown" for one that can't have.
func TestCommitOutcome(t *testing.T) {
	in := anvilwire.Commit_builder{Change: "c"}.Build()
	for name, c := range map[string]struct {
		status  int
		outcome anvilerror.Outcome
		code    anvilerror.Code
	}{
		"connection closed": {0, anvilerror.Unknown, anvilerror.Lost},
		"server error":      {500, anvilerror.Unknown, anvilerror.Lost},
		"down":              {503, anvilerror.NotRun, anvilerror.NoTable},
		"overloaded":        {429, anvilerror.NotRun, anvilerror.NoTable},
		"rejected":          {400, anvilerror.NotRun, anvilerror.Internal},
	} {
		t.Run(name, func(t *testing.T) {
			table, _, _ := startPlatform(t, c.status, "")
			_, err := table.transact(in)
			assertError(t, err, c.outcome, c.code)
		})
	}
	t.Run("refused connection", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		_, failure := New(make(fakeInbox, 1), l.Addr().String(), "main").transact(in)
		assertError(t, failure, anvilerror.NotRun, anvilerror.NoTable)
	})
	t.Run("no slot", func(t *testing.T) {
		table, _, _ := startPlatform(t, 200, "{}", WithSlots(0), WithTimeout(time.Millisecond))
		_, err := table.transact(in)
		assertError(t, err, anvilerror.NotRun, anvilerror.NoTable)
	})
}

// Guards against a field of the table's response that is missing in the result for the control loop.
func TestResults(t *testing.T) {
	t.Run("conflict", func(t *testing.T) {
		table, in, requests := startPlatform(t, 200, `{"version":"8","conflict":{"key":"config/version","value":"Nw==","version":"8","change":"c"}}`)
		table.Commit(1, anvilcontrol.Commit{})
		assertPosted(t, in, anvilcontrol.NewCommitted(1, false, 8, anvilrow.Read("config/version", anvilrow.NewVersion(7), 8, "c", false)))
		assertSent(t, requests, "POST /v1/table/commit")
	})
	t.Run("conflict with an invalid value", func(t *testing.T) {
		table, in, _ := startPlatform(t, 200, `{"version":"8","conflict":{"key":"config/version","value":"eA==","version":"8","change":"c"}}`)
		table.Commit(1, anvilcontrol.Commit{})
		assertPosted(t, in, anvilcontrol.NewCommitted(1, false, 8, anvilrow.Read("config/version", nil, 8, "c", false)))
	})
	t.Run("rows", func(t *testing.T) {
		table, in, requests := startPlatform(t, 200, `{"version":"9","rows":[{"key":"config/version","value":"Nw==","version":"8"},{"key":"other/x"}]}`)
		table.Read(2, "config/", 5)
		assertPosted(t, in, anvilcontrol.NewRowsRead(2, []anvilrow.Row{anvilrow.Read("config/version", anvilrow.NewVersion(7), 8, "", false)}, 9))
		assertSent(t, requests, "GET /v1/table/rows?after=5&prefix=config%2F")
	})
	t.Run("invalid value", func(t *testing.T) {
		table, in, _ := startPlatform(t, 200, `{"version":"9","rows":[{"key":"config/version","value":"eA=="}]}`)
		table.Read(2, "config/", 5)
		if got := <-in; reflect.DeepEqual(got, anvilcontrol.NewRowsRead(2, nil, 9)) {
			t.Fatal("the read reported no error")
		}
	})
	t.Run("instances", func(t *testing.T) {
		table, in, _ := startPlatform(t, 200, `{"list":[{"id":"w1","kind":"worker","addr":"a","domain":"d","region":"r","pool":"p","state":"leaving","size":{"cpu":"5"}}]}`)
		table.Instances(3)
		assertPosted(t, in, anvilcontrol.NewInstancesRead(3, []anvilcontrol.Registration{
			anvilcontrol.NewRegistration("w1", "worker", "a", "d", "r", "p", true, anvilsize.New(5, 0, 0))}))
	})
}

// Guards against an instance that is missing from the platform's registry, or not marked there as leaving.
func TestRegister(t *testing.T) {
	table, _, requests := startPlatform(t, 200, "{}")
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		table.Register(ctx, anvilcontrol.NewIdentity("e1", "addr", "d", "main"), func() bool { return true }, logr.Discard())
	}()
	r := assertSent(t, requests, "POST /v1/instances")
	cancel()
	<-ended
	var m anvilwire.Instances
	if err := protojson.Unmarshal([]byte(r.body), &m); err != nil || len(m.GetList()) != 1 {
		t.Fatalf("sent %s (%v)", r.body, err)
	}
	if i := m.GetList()[0]; i.GetId() != "e1" || i.GetKind() != "entry" || i.GetState() != "leaving" || i.GetAddr() != "addr" {
		t.Fatalf("registered %v", i)
	}
}
