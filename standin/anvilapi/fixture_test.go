package anvilapi

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"

	"anvilhold.org/standin/anvilactor"
	"anvilhold.org/standin/anvilcontrolplane"
	"anvilhold.org/standin/anvilhost"
)

// testServer is a server on loopback for one test. A goroutine of the test owns its state.
type testServer struct {
	t    *testing.T
	base string
}

func serve[S anvilactor.State](t *testing.T, state S, actor *anvilactor.Actor[S], h http.Handler) *testServer {
	t.Helper()
	srv, err := Serve("127.0.0.1:0", h)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { actor.Run(ctx, state) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		shutdownCtx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		if err := srv.Shutdown(shutdownCtx); err != nil {
			t.Logf("Shutdown: %v", err)
		}
	})
	return &testServer{t: t, base: "http://" + srv.Addr()}
}

// fixedRand returns the same percentage for all requests, so that all lost responses are of one kind.
type fixedRand int

func (r fixedRand) Percent() int { return int(r) }

func newControlPlaneServer(t *testing.T, r fixedRand) *testServer {
	t.Helper()
	actor := anvilactor.New[*anvilcontrolplane.ControlPlane]()
	return serve(t, anvilcontrolplane.New(r, anvilcontrolplane.WithLag(0)), actor, NewControlPlane(actor))
}

// noopDeps implements the interfaces that a worker calls and does nothing but fail the test at a violated invariant.
type noopDeps struct{ t *testing.T }

func (noopDeps) Save(string, string, []byte, anvilclock.Millis) {}
func (noopDeps) Load(string, string, anvilclock.Millis)         {}
func (noopDeps) Record(anvilhost.Event)                         {}
func (d noopDeps) Violated(number int, message string, args ...any) {
	d.t.Errorf("invariant %d: %s %v", number, message, args)
}

func newWorkerServer(t *testing.T) *testServer {
	t.Helper()
	deps := noopDeps{t: t}
	host, err := anvilhost.New("w1", "boot", anvilsize.New(4000, 4096, 0), deps, deps, deps,
		anvilhost.WithClock(anvilclock.NewManual(1000)))
	if err != nil {
		t.Fatal(err)
	}
	actor := anvilactor.New[*anvilhost.Host]()
	return serve(t, host, actor, NewWorker(actor, "boot"))
}

// send sends a request and returns the response; err is set when the connection was closed. header has alternating names
// and values.
func (s *testServer) send(method, path, body string, header ...string) (status int, text string, err error) {
	s.t.Helper()
	req, err := http.NewRequest(method, s.base+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	// A new connection for each request keeps the transport from retrying a request on its own.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, string(data), err
}

// mustSend sends a request, checks the status and decodes the response into m unless m is nil.
func (s *testServer) mustSend(status int, method, path, body string, m proto.Message, header ...string) {
	s.t.Helper()
	got, text, err := s.send(method, path, body, header...)
	if err != nil || got != status {
		s.t.Fatalf("%s %s = %d %q, %v, want %d", method, path, got, text, err, status)
	}
	if m == nil {
		return
	}
	if err := protojson.Unmarshal([]byte(text), m); err != nil {
		s.t.Fatalf("%s %s: %v in %q", method, path, err, text)
	}
}
