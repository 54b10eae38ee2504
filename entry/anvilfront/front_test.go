package anvilfront

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilwire"
)

const (
	teamKey     = "team-secret"
	operatorKey = "operator-secret"
	bootKey     = "bootstrap-secret"
)

type fakeState struct {
	config                      *anvilconfig.Snapshot
	serving, leaving, confirmed bool
}

func (s *fakeState) Config() *anvilconfig.Snapshot { return s.config }
func (s *fakeState) Serving() bool                 { return s.serving }
func (s *fakeState) Leaving() bool                 { return s.leaving }
func (s *fakeState) Confirmed() bool               { return s.confirmed }
func (s *fakeState) Introduced() bool              { return s.confirmed }

// fakeDispatcher records each request and replies to it, unless inboxFull or noReply is set.
type fakeDispatcher struct {
	inboxFull, noReply bool
	result             anvilcontrol.Result
	status             anvilcontrol.Status
	tasks              []*anviltask.Task
	queries            []anvilcontrol.Query
	changes            []Change
}

func (d *fakeDispatcher) Submit(f anvilcontrol.Forward, reply chan<- anvilcontrol.Result) bool {
	d.tasks = append(d.tasks, f.Task())
	if !d.inboxFull && !d.noReply {
		reply <- d.result
	}
	return !d.inboxFull
}

func (d *fakeDispatcher) Inspect(q anvilcontrol.Query, reply chan<- anvilcontrol.Status) bool {
	d.queries = append(d.queries, q)
	if !d.inboxFull && !d.noReply {
		reply <- d.status
	}
	return !d.inboxFull
}

func (d *fakeDispatcher) Change(c Change, reply chan<- anvilcontrol.ChangeResult) bool {
	d.changes = append(d.changes, c)
	if !d.inboxFull && !d.noReply {
		reply <- anvilcontrol.ChangeResult{}
	}
	return !d.inboxFull
}

func config(operator bool) *anvilconfig.Snapshot {
	s := anvilconfig.NewStore()
	team := anvilconfig.NewKey(anvilconfig.HashKey(teamKey), "red", anvilconfig.TeamRole, "")
	entries := []anvilconfig.Entry{
		anvilconfig.KeyEntry("t", 1, team),
		anvilconfig.ContractEntry("c", 1, anvilconfig.NewContract("red", anvilconfig.WithPools("layout"))),
	}
	if operator {
		k := anvilconfig.NewKey(anvilconfig.HashKey(operatorKey), "", anvilconfig.OperatorRole, "")
		entries = append(entries, anvilconfig.KeyEntry("o", 1, k))
	}
	s.Apply(7, entries)
	return s.Snapshot()
}

type harness struct {
	state      *fakeState
	dispatcher *fakeDispatcher
	clock      *anvilclock.Manual
	front      *Front
}

func newHarness(opts ...Option) *harness {
	h := &harness{
		state:      &fakeState{config: config(true), serving: true, confirmed: true},
		dispatcher: &fakeDispatcher{result: anvilcontrol.NewAnswer([]byte("answer"))},
		clock:      anvilclock.NewManual(1_800_000_000_000),
	}
	opts = append([]Option{WithClock(h.clock), WithBootstrap(anvilconfig.HashKey(bootKey)), WithTimeout(time.Second, time.Second)}, opts...)
	h.front = New(func() State { return h.state }, h.dispatcher, opts...)
	return h
}

// do sends a request to the handler; header holds names and values alternately.
func (h *harness) do(method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.front.Handler().ServeHTTP(w, r)
	return w
}

func authHeader(key string) []string { return []string{"Authorization", "Bearer " + key} }

// assertReply checks status, outcome and code of a reply, and that the body of an error has the same outcome and code.
func assertReply(t *testing.T, w *httptest.ResponseRecorder, status int, o anvilerror.Outcome, c anvilerror.Code) {
	t.Helper()
	if w.Code != status || w.Header().Get("Outcome") != string(o) || w.Header().Get("Code") != string(c) {
		t.Fatalf("got %d %s %s, want %d %s %s: %s", w.Code, w.Header().Get("Outcome"), w.Header().Get("Code"), status, o, c, w.Body)
	}
	if o == anvilerror.Done {
		return
	}
	var m anvilwire.Refusal
	if err := protojson.Unmarshal(w.Body.Bytes(), &m); err != nil || m.GetOutcome() != string(o) || m.GetCode() != string(c) || m.GetReason() == "" {
		t.Fatalf("body %s does not match the headers (%v)", w.Body, err)
	}
}

func assertDone(t *testing.T, w *httptest.ResponseRecorder, status int) {
	t.Helper()
	assertReply(t, w, status, anvilerror.Done, "")
}

func assertRefused(t *testing.T, w *httptest.ResponseRecorder, status int, c anvilerror.Code) {
	t.Helper()
	assertReply(t, w, status, anvilerror.NotRun, c)
}

// idAt returns a UUIDv7 with the given time.
func idAt(at anvilclock.Millis) string {
	hex := fmt.Sprintf("%012x", int64(at))
	return hex[:8] + "-" + hex[8:] + "-7000-8000-000000000001"
}

// Guards against a request that reaches the control loop although its key doesn't permit it, or although the instance
// can't check keys.
func TestKeys(t *testing.T) {
	for name, c := range map[string]struct {
		method, path, key string
		change            func(*fakeState)
		status            int
		code              anvilerror.Code
	}{
		"wrong key":                    {"POST", "/v1/call/layout", "nobody", nil, 401, anvilerror.BadKey},
		"operator submits a task":      {"POST", "/v1/call/layout", operatorKey, nil, 403, anvilerror.Forbidden},
		"pool not in contract":         {"POST", "/v1/call/cutting", teamKey, nil, 403, anvilerror.Forbidden},
		"unconfirmed":                  {"POST", "/v1/call/layout", teamKey, func(s *fakeState) { s.confirmed = false }, 503, anvilerror.Unconfirmed},
		"not serving":                  {"POST", "/v1/call/layout", "", func(s *fakeState) { s.serving = false }, 503, anvilerror.Unconfirmed},
		"leaving":                      {"POST", "/v1/call/layout", "", func(s *fakeState) { s.serving, s.leaving = false, true }, 503, anvilerror.Leaving},
		"config without key":           {"GET", "/v1/config", "", nil, 401, anvilerror.BadKey},
		"config with team's key":       {"GET", "/v1/config", teamKey, nil, 403, anvilerror.Forbidden},
		"status with team's key":       {"GET", "/v1/status", teamKey, nil, 403, anvilerror.Forbidden},
		"bootstrap after operator key": {"GET", "/v1/config", bootKey, nil, 401, anvilerror.BadKey},
		"bootstrap while unconfirmed":  {"GET", "/v1/config", bootKey, func(s *fakeState) { s.config, s.confirmed = config(false), false }, 503, anvilerror.Unconfirmed},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			if c.change != nil {
				c.change(h.state)
			}
			var header []string
			if c.key != "" {
				header = authHeader(c.key)
			}
			assertRefused(t, h.do(c.method, c.path, "", header...), c.status, c.code)
			if len(h.dispatcher.tasks)+len(h.dispatcher.changes) > 0 {
				t.Fatal("the request reached the control loop")
			}
		})
	}
	t.Run("bootstrap before operator key", func(t *testing.T) {
		h := newHarness()
		h.state.config = config(false)
		assertDone(t, h.do("GET", "/v1/config", "", authHeader(bootKey)...), 200)
	})
	t.Run("anonymous caller while unconfirmed", func(t *testing.T) {
		h := newHarness()
		h.state.confirmed = false
		assertDone(t, h.do("POST", "/v1/call/layout", ""), 200)
	})
}

// Guards against a task that differs from the service request.
func TestCall(t *testing.T) {
	t.Run("task", func(t *testing.T) {
		h := newHarness()
		id := idAt(h.clock.Unix())
		header := append(authHeader(teamKey), "Request-Id", strings.ToUpper(id), "Idempotent", "no", "Size", "2,512,1",
			"Urgent", "yes", "Deadline", "900", "Workspace", "w1")
		w := h.do("POST", "/v1/call/layout", "body", header...)
		assertDone(t, w, 200)
		want := anviltask.New(id, anviltask.Call, "layout")
		got := h.dispatcher.tasks[0]
		if w.Body.String() != "answer" || w.Header().Get("Request-Id") != want.ID() || got.ID() != want.ID() {
			t.Fatalf("got answer %q, id %s", w.Body, got.ID())
		}
		if got.Team() != "red" || got.Workspace() != "w1" || !got.NonIdempotent() || !got.Urgent() || got.MaxWait() != 900 ||
			got.Size().String() != "2000m,512,1" || string(got.Body()) != "body" || got.Pool() != "layout" || got.Kind() != want.Kind() {
			t.Fatalf("task %+v", got)
		}
	})
	t.Run("defaults", func(t *testing.T) {
		h := newHarness()
		assertDone(t, h.do("POST", "/v1/call/layout", ""), 200)
		got := h.dispatcher.tasks[0]
		if got.Team() != "" || got.NonIdempotent() || got.Urgent() || got.MaxWait() != defaultWait || got.Size() != defaultSize || anviltask.CheckID(got.ID()) != nil {
			t.Fatalf("task %+v", got)
		}
	})
	t.Run("no reply of the control loop", func(t *testing.T) {
		h := newHarness(WithTimeout(time.Millisecond, time.Millisecond))
		h.dispatcher.noReply = true
		assertReply(t, h.do("POST", "/v1/call/layout", ""), 502, anvilerror.Unknown, anvilerror.Deadline)
		if len(h.dispatcher.tasks) != 1 {
			t.Fatalf("submitted %d times", len(h.dispatcher.tasks))
		}
	})
	t.Run("full inbox", func(t *testing.T) {
		h := newHarness()
		h.dispatcher.inboxFull = true
		assertRefused(t, h.do("POST", "/v1/call/layout", ""), 429, anvilerror.QueueFull)
	})
	t.Run("too many in flight", func(t *testing.T) {
		h := newHarness(WithConnLimits(1, 0))
		assertRefused(t, h.do("POST", "/v1/call/layout", ""), 503, anvilerror.QueueFull)
	})
}

// Guards against an invalid request that reaches the control loop or gets another code.
func TestCallInput(t *testing.T) {
	now := anvilclock.Millis(1_800_000_000_000)
	for name, c := range map[string]struct {
		header  []string
		status  int
		outcome anvilerror.Outcome
		code    anvilerror.Code
	}{
		"non-idempotent without id": {[]string{"Idempotent", "no"}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"id of version 4":           {[]string{"Request-Id", "5f0c1a52-5a3b-4f3e-9d57-3a8f0d3c1b11"}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"id in the future":          {[]string{"Request-Id", idAt(now + 5001)}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"old id, non-idempotent":    {[]string{"Request-Id", idAt(now - 600_001), "Idempotent", "no"}, 502, anvilerror.Unknown, anvilerror.Expired},
		"idempotent not yes or no":  {[]string{"Idempotent", "maybe"}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"urgent not yes or no":      {[]string{"Urgent", "1"}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"size not a number":         {[]string{"Size", "one"}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"zero size":                 {[]string{"Size", "0"}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"zero deadline":             {[]string{"Deadline", "0"}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"workspace not a name":      {[]string{"Workspace", "a/b"}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"headers over size":         {[]string{"X", strings.Repeat("x", defaultHeaders)}, 413, anvilerror.NotRun, anvilerror.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			assertReply(t, h.do("POST", "/v1/call/layout", "", c.header...), c.status, c.outcome, c.code)
			if len(h.dispatcher.tasks) > 0 {
				t.Fatal("the request reached the control loop")
			}
		})
	}
	t.Run("earliest and latest time of an id", func(t *testing.T) {
		h := newHarness()
		assertDone(t, h.do("POST", "/v1/call/layout", "", "Request-Id", idAt(now+5000)), 200)
		assertDone(t, h.do("POST", "/v1/call/layout", "", "Request-Id", idAt(now-600_000), "Idempotent", "no"), 200)
		assertDone(t, h.do("POST", "/v1/call/layout", "", "Request-Id", idAt(now-600_001)), 200)
	})
	t.Run("body over size", func(t *testing.T) {
		h := newHarness(WithSizeLimits(3, defaultHeaders))
		assertRefused(t, h.do("POST", "/v1/call/layout", "four"), 413, anvilerror.TooLarge)
	})
}

// Guards against a change of the HTTP status of an error code, which callers rely on.
func TestStatusOfCode(t *testing.T) {
	for code, status := range map[anvilerror.Code]int{
		anvilerror.OverLimit: 429, anvilerror.OverRate: 429, anvilerror.QueueFull: 429, anvilerror.Never: 422,
		anvilerror.Conflict: 409, anvilerror.Duplicate: 409, anvilerror.BadKey: 401, anvilerror.BadInput: 400,
		anvilerror.TooLarge: 413, anvilerror.NoTable: 503, anvilerror.Leaving: 503, anvilerror.NoCapacity: 503,
		anvilerror.Deadline: 503, anvilerror.Missing: 404,
	} {
		t.Run(string(code), func(t *testing.T) {
			h := newHarness()
			h.dispatcher.result = anvilcontrol.NewFailure(anvilerror.Refuse(code, "reason", anvilerror.WithRetry(250)))
			w := h.do("POST", "/v1/call/layout", "")
			assertRefused(t, w, status, code)
			if w.Header().Get("Retry") != "250" {
				t.Fatalf("Retry %q", w.Header().Get("Retry"))
			}
		})
	}
	t.Run("unknown", func(t *testing.T) {
		h := newHarness()
		h.dispatcher.result = anvilcontrol.NewFailure(anvilerror.UnknownOutcome(anvilerror.Lost, "reason"))
		assertReply(t, h.do("POST", "/v1/call/layout", ""), 502, anvilerror.Unknown, anvilerror.Lost)
	})
	t.Run("no route", func(t *testing.T) {
		assertRefused(t, newHarness().do("GET", "/v2", ""), 404, anvilerror.Missing)
	})
}

func assertBody(t *testing.T, w *httptest.ResponseRecorder, status int, want string) {
	t.Helper()
	body, _ := io.ReadAll(w.Body)
	if w.Code != status || strings.TrimSpace(string(body)) != want {
		t.Fatalf("got %d %q, want %d %q", w.Code, body, status, want)
	}
}

// Guards against a load balancer that keeps sending requests to an instance that is leaving or not yet serving.
func TestHealth(t *testing.T) {
	t.Run("ok", func(t *testing.T) {
		assertBody(t, newHarness().do("GET", "/ready", ""), http.StatusOK, "ok")
	})
	t.Run("starting", func(t *testing.T) {
		h := newHarness()
		h.state.serving = false
		assertBody(t, h.do("GET", "/ready", ""), http.StatusServiceUnavailable, "starting")
		assertBody(t, h.do("GET", "/health", ""), http.StatusOK, "ok")
	})
	t.Run("leaving", func(t *testing.T) {
		h := newHarness()
		h.front.Leave()
		assertBody(t, h.do("GET", "/ready", ""), http.StatusServiceUnavailable, "leaving")
		assertBody(t, h.do("GET", "/health", ""), http.StatusOK, "leaving")
		assertDone(t, h.do("POST", "/v1/call/layout", ""), 200)
	})
}
