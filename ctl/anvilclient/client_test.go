package anvilclient

import (
	"context"
	"crypto/x509"
	"errors"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"anvilhold.org/lib/anvilerror"
)

// response is the response of a fakeServer to every request. If abort is set, the connection is closed instead.
type response struct {
	status  int
	version string
	body    string
	abort   bool
}

// received is the last request that a fakeServer received and the number of requests so far.
type received struct {
	count                   int
	key, method, path, body string
}

// fakeServer sends the same response to every request and records the last request.
type fakeServer struct {
	response response
	mu       sync.Mutex
	last     received
}

// ServeHTTP records the request and sends the response or closes the connection.
func (f *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.mu.Lock()
	f.last = received{f.last.count + 1, r.Header.Get("Authorization"), r.Method, r.URL.EscapedPath(), string(body)}
	f.mu.Unlock()
	if f.response.abort {
		panic(http.ErrAbortHandler)
	}
	if f.response.version != "" {
		w.Header().Set("Version", f.response.version)
	}
	if f.response.status == http.StatusTemporaryRedirect {
		w.Header().Set("Location", "/v1/config")
	}
	w.WriteHeader(f.response.status)
	_, _ = io.WriteString(w, f.response.body)
}

func (f *fakeServer) received() received {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

// startServer starts a fakeServer until the end of the test and returns it with its address.
func startServer(t *testing.T, r response) (*fakeServer, string) {
	t.Helper()
	f := &fakeServer{response: r}
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return f, strings.TrimPrefix(s.URL, "http://")
}

// closedAddr returns an address at which no process listens.
func closedAddr() string {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	return strings.TrimPrefix(s.URL, "http://")
}

func assertOutcome(t *testing.T, err error, want anvilerror.Outcome) {
	t.Helper()
	if got := Outcome(err); got != want {
		t.Fatalf("outcome %s of %v, want %s", got, err, want)
	}
}

// Guards against a change that is reported with a wrong outcome or sent twice, which a client that retries or follows
// redirects would do.
func TestChangeOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		response response
		want     anvilerror.Outcome
		conflict int64
	}{
		"accepted":        {response{status: 200, body: `{"ok":true,"version":"7","later":1}`}, anvilerror.Done, 0},
		"refused":         {response{status: 401, body: `{"outcome":"not-run","code":"key","reason":"x"}`}, anvilerror.NotRun, 0},
		"conflict":        {response{status: 409, version: "9", body: `{"outcome":"not-run","code":"conflict","reason":"x"}`}, anvilerror.NotRun, 9},
		"not ok":          {response{status: 200, body: `{"version":"9","reason":"x"}`}, anvilerror.NotRun, 9},
		"unknown outcome": {response{status: 502, body: `{"outcome":"unknown","code":"table","reason":"x"}`}, anvilerror.Unknown, 0},
		"aborted":         {response{abort: true}, anvilerror.Unknown, 0},
		"not a Refusal":   {response{status: 502, body: "<html>"}, anvilerror.Unknown, 0},
		"redirect":        {response{status: 307}, anvilerror.Unknown, 0},
		"not JSON":        {response{status: 200, body: "not JSON"}, anvilerror.Unknown, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f, addr := startServer(t, c.response)
			other, otherAddr := startServer(t, response{status: 200, body: `{"ok":true,"version":"1"}`})
			client := New([]string{addr, otherAddr}, WithKey("secret"))
			_, err := client.ChangeLeaveMark(context.Background(), Put, "w1", 6)
			assertOutcome(t, err, c.want)
			var conflict *ConflictError
			if errors.As(err, &conflict) != (c.conflict != 0) || conflict != nil && conflict.Version() != c.conflict {
				t.Fatalf("got %v, want a conflict at version %d", err, c.conflict)
			}
			got := f.received()
			if n := other.received().count; got.count != 1 || n != 0 {
				t.Fatalf("%d requests to the first address and %d to the second, want 1 and 0", got.count, n)
			}
			if got.key != "Bearer secret" || got.method != "POST" || got.path != "/v1/config" || !strings.Contains(got.body, `"6"`) {
				t.Fatalf("got request %+v, want POST /v1/config with the key and base 6", got)
			}
		})
	}
}

// Guards against an address that is skipped, a request that is sent twice and an id that changes the path of a request.
func TestAddresses(t *testing.T) {
	config := response{status: 200, body: `{"version":"3"}`}
	t.Run("next after a refused connection", func(t *testing.T) {
		f, addr := startServer(t, config)
		if _, err := New([]string{closedAddr(), addr}).Config(context.Background()); err != nil || f.received().count != 1 {
			t.Fatalf("got error %v after %d requests, want none after 1", err, f.received().count)
		}
	})
	t.Run("next after an aborted read", func(t *testing.T) {
		_, abortAddr := startServer(t, response{abort: true})
		_, addr := startServer(t, config)
		if _, err := New([]string{abortAddr, addr}).Config(context.Background()); err != nil {
			t.Fatal(err)
		}
	})
	t.Run("no address accepts a connection", func(t *testing.T) {
		_, err := New([]string{closedAddr()}).ChangeLeaveMark(context.Background(), Put, "w1", 1)
		var unreachable *UnreachableError
		if !errors.As(err, &unreachable) {
			t.Fatalf("got %v, want an UnreachableError", err)
		}
		assertOutcome(t, err, anvilerror.NotRun)
	})
	t.Run("an id is escaped as one path segment", func(t *testing.T) {
		f, addr := startServer(t, response{status: 404, body: `{"outcome":"not-run","code":"missing"}`})
		_, err := New([]string{addr}).Cancel(context.Background(), "a/../b?c")
		assertOutcome(t, err, anvilerror.NotRun)
		if got := f.received().path; got != "/v1/tasks/a%2F..%2Fb%3Fc" {
			t.Fatalf("got path %s, want the id escaped", got)
		}
	})
}

// Guards against a key that is sent to a server with an untrusted certificate.
func TestRoots(t *testing.T) {
	f := &fakeServer{response: response{status: 200, body: `{"version":"3"}`}}
	s := httptest.NewUnstartedServer(f)
	s.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.StartTLS()
	defer s.Close()
	addr := []string{strings.TrimPrefix(s.URL, "https://")}
	roots := x509.NewCertPool()
	roots.AddCert(s.Certificate())
	t.Run("trusted certificate", func(t *testing.T) {
		if _, err := New(addr, WithRoots(roots)).Config(context.Background()); err != nil {
			t.Fatal(err)
		}
	})
	t.Run("untrusted certificate", func(t *testing.T) {
		before := f.received().count
		_, err := New(addr, WithRoots(x509.NewCertPool())).ChangeLeaveMark(context.Background(), Put, "w1", 1)
		var unreachable *UnreachableError
		if n := f.received().count - before; !errors.As(err, &unreachable) || n != 0 {
			t.Fatalf("got %v after %d requests, want an UnreachableError after none", err, n)
		}
	})
}
