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

// fakeDesk records what is offered and answers it, unless it is full or silent.
type fakeDesk struct {
	full, silent bool
	result       anvilcontrol.Result
	status       anvilcontrol.Status
	tasks        []*anviltask.Task
	queries      []anvilcontrol.Query
	changes      []Change
}

func (d *fakeDesk) Submit(f anvilcontrol.Forward, reply chan<- anvilcontrol.Result) bool {
	d.tasks = append(d.tasks, f.Task())
	if !d.full && !d.silent {
		reply <- d.result
	}
	return !d.full
}

func (d *fakeDesk) Inspect(q anvilcontrol.Query, reply chan<- anvilcontrol.Status) bool {
	d.queries = append(d.queries, q)
	if !d.full && !d.silent {
		reply <- d.status
	}
	return !d.full
}

func (d *fakeDesk) Change(c Change, reply chan<- anvilcontrol.ChangeResult) bool {
	d.changes = append(d.changes, c)
	if !d.full && !d.silent {
		reply <- anvilcontrol.ChangeResult{}
	}
	return !d.full
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

type bench struct {
	state      *fakeState
	dispatcher *fakeDesk
	clock      *anvilclock.Manual
	front      *Front
}

func newBench(opts ...Option) *bench {
	b := &bench{
		state:      &fakeState{config: config(true), serving: true, confirmed: true},
		dispatcher: &fakeDesk{result: anvilcontrol.NewAnswer([]byte("answer"))},
		clock:      anvilclock.NewManual(1_800_000_000_000),
	}
	opts = append([]Option{WithClock(b.clock), WithBootstrap(anvilconfig.HashKey(bootKey)), WithTimeout(time.Second, time.Second)}, opts...)
	b.front = New(func() State { return b.state }, b.dispatcher, opts...)
	return b
}

// do makes a request; header holds names and values in turn.
func (b *bench) do(method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	b.front.Handler().ServeHTTP(w, r)
	return w
}

func bearerOf(key string) []string { return []string{"Authorization", "Bearer " + key} }

// assertReply checks status, outcome and code, and that the body of a refusal says the same.
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

// Guards against a request that is taken although the loop must not see it: each row would let
// through a caller without the right key, or from an instance that can't check keys.
func TestKeys(t *testing.T) {
	for name, c := range map[string]struct {
		method, path, key string
		change            func(*fakeState)
		status            int
		code              anvilerror.Code
	}{
		"wrong key":                {"POST", "/v1/call/layout", "nobody", nil, 401, anvilerror.BadKey},
		"operator runs nothing":    {"POST", "/v1/call/layout", operatorKey, nil, 403, anvilerror.Forbidden},
		"pool not in contract":     {"POST", "/v1/call/cutting", teamKey, nil, 403, anvilerror.Forbidden},
		"unconfirmed":              {"POST", "/v1/call/layout", teamKey, func(s *fakeState) { s.confirmed = false }, 503, anvilerror.Unconfirmed},
		"not serving":              {"POST", "/v1/call/layout", "", func(s *fakeState) { s.serving = false }, 503, anvilerror.Unconfirmed},
		"not serving, leaving":     {"POST", "/v1/call/layout", "", func(s *fakeState) { s.serving, s.leaving = false, true }, 503, anvilerror.Leaving},
		"config without key":       {"GET", "/v1/config", "", nil, 401, anvilerror.BadKey},
		"config with team's key":   {"GET", "/v1/config", teamKey, nil, 403, anvilerror.Forbidden},
		"status with team's key":   {"GET", "/v1/status", teamKey, nil, 403, anvilerror.Forbidden},
		"bootstrap after operator": {"GET", "/v1/config", bootKey, nil, 401, anvilerror.BadKey},
		"bootstrap on unconfirmed": {"GET", "/v1/config", bootKey, func(s *fakeState) { s.config, s.confirmed = config(false), false }, 503, anvilerror.Unconfirmed},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench()
			if c.change != nil {
				c.change(b.state)
			}
			var header []string
			if c.key != "" {
				header = bearerOf(c.key)
			}
			assertRefused(t, b.do(c.method, c.path, "", header...), c.status, c.code)
			if len(b.dispatcher.tasks)+len(b.dispatcher.changes) > 0 {
				t.Fatal("the loop was asked")
			}
		})
	}
	t.Run("bootstrap before operator", func(t *testing.T) {
		b := newBench()
		b.state.config = config(false)
		assertDone(t, b.do("GET", "/v1/config", "", bearerOf(bootKey)...), 200)
	})
	t.Run("open queue on unconfirmed", func(t *testing.T) {
		b := newBench()
		b.state.confirmed = false
		assertDone(t, b.do("POST", "/v1/call/layout", ""), 200)
	})
}

// Guards against a task that differs from what the caller asked for.
func TestCall(t *testing.T) {
	t.Run("task", func(t *testing.T) {
		b := newBench()
		id := idAt(b.clock.Unix())
		header := append(bearerOf(teamKey), "Request-Id", strings.ToUpper(id), "Idempotent", "no", "Size", "2,512,1",
			"Urgent", "yes", "Deadline", "900", "Workspace", "w1")
		w := b.do("POST", "/v1/call/layout", "body", header...)
		assertDone(t, w, 200)
		want := anviltask.New(id, anviltask.Call, "layout")
		got := b.dispatcher.tasks[0]
		if w.Body.String() != "answer" || w.Header().Get("Request-Id") != want.ID() || got.ID() != want.ID() {
			t.Fatalf("got answer %q, id %s", w.Body, got.ID())
		}
		if got.Team() != "red" || got.Workspace() != "w1" || !got.Once() || !got.Urgent() || got.Wait() != 900 ||
			got.Size().String() != "2000m,512,1" || string(got.Body()) != "body" || got.Pool() != "layout" || got.Kind() != want.Kind() {
			t.Fatalf("task %+v", got)
		}
	})
	t.Run("defaults", func(t *testing.T) {
		b := newBench()
		assertDone(t, b.do("POST", "/v1/call/layout", ""), 200)
		got := b.dispatcher.tasks[0]
		if got.Team() != "" || got.Once() || got.Urgent() || got.Wait() != defaultWait || got.Size() != defaultSize || anviltask.CheckID(got.ID()) != nil {
			t.Fatalf("task %+v", got)
		}
	})
	t.Run("silent loop", func(t *testing.T) {
		b := newBench(WithTimeout(time.Millisecond, time.Millisecond))
		b.dispatcher.silent = true
		assertReply(t, b.do("POST", "/v1/call/layout", ""), 502, anvilerror.Unknown, anvilerror.Deadline)
		if len(b.dispatcher.tasks) != 1 {
			t.Fatalf("submitted %d times", len(b.dispatcher.tasks))
		}
	})
	t.Run("full inbox", func(t *testing.T) {
		b := newBench()
		b.dispatcher.full = true
		assertRefused(t, b.do("POST", "/v1/call/layout", ""), 429, anvilerror.QueueFull)
	})
	t.Run("no place in flight", func(t *testing.T) {
		b := newBench(WithConnLimits(1, 0))
		assertRefused(t, b.do("POST", "/v1/call/layout", ""), 503, anvilerror.QueueFull)
	})
}

// Guards against malformed input that reaches the loop or is answered without a code.
func TestCallInput(t *testing.T) {
	now := anvilclock.Millis(1_800_000_000_000)
	for name, c := range map[string]struct {
		header  []string
		status  int
		outcome anvilerror.Outcome
		code    anvilerror.Code
	}{
		"once without id":   {[]string{"Idempotent", "no"}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"id of version 4":   {[]string{"Request-Id", "5f0c1a52-5a3b-4f3e-9d57-3a8f0d3c1b11"}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"id in the future":  {[]string{"Request-Id", idAt(now + 5001)}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"old id, once":      {[]string{"Request-Id", idAt(now - 600_001), "Idempotent", "no"}, 502, anvilerror.Unknown, anvilerror.Expired},
		"flag":              {[]string{"Idempotent", "maybe"}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"urgent":            {[]string{"Urgent", "1"}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"size":              {[]string{"Size", "one"}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"zero size":         {[]string{"Size", "0"}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"deadline":          {[]string{"Deadline", "0"}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"workspace":         {[]string{"Workspace", "a/b"}, 400, anvilerror.NotRun, anvilerror.BadInput},
		"headers over size": {[]string{"X", strings.Repeat("x", defaultHeaders)}, 413, anvilerror.NotRun, anvilerror.TooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench()
			assertReply(t, b.do("POST", "/v1/call/layout", "", c.header...), c.status, c.outcome, c.code)
			if len(b.dispatcher.tasks) > 0 {
				t.Fatal("the loop was asked")
			}
		})
	}
	t.Run("edges of the id's time", func(t *testing.T) {
		b := newBench()
		assertDone(t, b.do("POST", "/v1/call/layout", "", "Request-Id", idAt(now+5000)), 200)
		assertDone(t, b.do("POST", "/v1/call/layout", "", "Request-Id", idAt(now-600_000), "Idempotent", "no"), 200)
		assertDone(t, b.do("POST", "/v1/call/layout", "", "Request-Id", idAt(now-600_001)), 200)
	})
	t.Run("body over size", func(t *testing.T) {
		b := newBench(WithSizeLimits(3, defaultHeaders))
		assertRefused(t, b.do("POST", "/v1/call/layout", "four"), 413, anvilerror.TooLarge)
	})
}

// Guards against a change of the mapping from codes to status that callers rely on.
func TestMapping(t *testing.T) {
	for code, status := range map[anvilerror.Code]int{
		anvilerror.OverLimit: 429, anvilerror.OverRate: 429, anvilerror.QueueFull: 429, anvilerror.Never: 422,
		anvilerror.Conflict: 409, anvilerror.Duplicate: 409, anvilerror.BadKey: 401, anvilerror.BadInput: 400,
		anvilerror.TooLarge: 413, anvilerror.NoTable: 503, anvilerror.Leaving: 503, anvilerror.NoRoom: 503,
		anvilerror.Deadline: 503, anvilerror.Missing: 404,
	} {
		t.Run(string(code), func(t *testing.T) {
			b := newBench()
			b.dispatcher.result = anvilcontrol.NewFailure(anvilerror.Refuse(code, "reason", anvilerror.WithRetry(250)))
			w := b.do("POST", "/v1/call/layout", "")
			assertRefused(t, w, status, code)
			if w.Header().Get("Retry") != "250" {
				t.Fatalf("Retry %q", w.Header().Get("Retry"))
			}
		})
	}
	t.Run("unknown", func(t *testing.T) {
		b := newBench()
		b.dispatcher.result = anvilcontrol.NewFailure(anvilerror.UnknownOutcome(anvilerror.Lost, "reason"))
		assertReply(t, b.do("POST", "/v1/call/layout", ""), 502, anvilerror.Unknown, anvilerror.Lost)
	})
	t.Run("no route", func(t *testing.T) {
		assertRefused(t, newBench().do("GET", "/v2", ""), 404, anvilerror.Missing)
	})
}

func assertBody(t *testing.T, w *httptest.ResponseRecorder, status int, want string) {
	t.Helper()
	body, _ := io.ReadAll(w.Body)
	if w.Code != status || strings.TrimSpace(string(body)) != want {
		t.Fatalf("got %d %q, want %d %q", w.Code, body, status, want)
	}
}

// Guards against a load balancer that keeps sending to an instance that leaves or doesn't serve.
func TestHealth(t *testing.T) {
	t.Run("ok", func(t *testing.T) {
		assertBody(t, newBench().do("GET", "/ready", ""), http.StatusOK, "ok")
	})
	t.Run("starting", func(t *testing.T) {
		b := newBench()
		b.state.serving = false
		assertBody(t, b.do("GET", "/ready", ""), http.StatusServiceUnavailable, "starting")
		assertBody(t, b.do("GET", "/health", ""), http.StatusOK, "ok")
	})
	t.Run("leaving", func(t *testing.T) {
		b := newBench()
		b.front.Leave()
		assertBody(t, b.do("GET", "/ready", ""), http.StatusServiceUnavailable, "leaving")
		assertBody(t, b.do("GET", "/health", ""), http.StatusOK, "leaving")
		assertDone(t, b.do("POST", "/v1/call/layout", ""), 200)
	})
}
