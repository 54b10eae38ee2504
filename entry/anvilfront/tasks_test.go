package anvilfront

import (
	"context"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilconfig"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilrow"
	"anvilhold.org/lib/anvilshard"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilwire"
)

func assertMessage[M proto.Message](t *testing.T, body string, into M) M {
	t.Helper()
	if err := protojson.Unmarshal([]byte(body), into); err != nil {
		t.Fatalf("%v: %s", err, body)
	}
	return into
}

// Guards against accepting a spec that the control loop can't carry out.
func TestSpecInput(t *testing.T) {
	for name, c := range map[string]struct {
		spec   string
		status int
		code   anvilerror.Code
	}{
		"unknown field":             {`{"pool":"layout","colour":"red"}`, 400, anvilerror.BadInput},
		"not JSON":                  {`pool`, 400, anvilerror.BadInput},
		"no pool":                   {`{}`, 400, anvilerror.BadInput},
		"kind call":                 {`{"pool":"layout","kind":"call"}`, 400, anvilerror.BadInput},
		"count without gang":        {`{"pool":"layout","count":2}`, 400, anvilerror.BadInput},
		"negative count":            {`{"pool":"layout","kind":"gang","count":-1}`, 400, anvilerror.BadInput},
		"count over the limit":      {`{"pool":"layout","kind":"gang","count":5000}`, 413, anvilerror.TooLarge},
		"negative size":             {`{"pool":"layout","size":{"cpu":-1}}`, 400, anvilerror.BadInput},
		"zero size":                 {`{"pool":"layout","size":{}}`, 400, anvilerror.BadInput},
		"negative run":              {`{"pool":"layout","run":-1}`, 400, anvilerror.BadInput},
		"non-idempotent without id": {`{"pool":"layout","once":true}`, 400, anvilerror.BadInput},
		"workspace not a name":      {`{"pool":"layout","workspace":"a b"}`, 400, anvilerror.BadInput},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			assertRefused(t, h.do("POST", "/v1/tasks", c.spec, authHeader(teamKey)...), c.status, c.code)
			if len(h.dispatcher.tasks) > 0 {
				t.Fatal("the request reached the control loop")
			}
		})
	}
}

// Guards against a task that differs from its spec, and against a reply without the id that the control loop returned.
func TestSubmitTask(t *testing.T) {
	h := newHarness()
	h.dispatcher.result = anvilcontrol.NewAccepted("a.layout.0~id")
	w := h.do("POST", "/v1/tasks", `{"pool":"layout","kind":"gang","count":3,"size":{"cpu":100},"run":5,"urgent":true}`, authHeader(teamKey)...)
	assertDone(t, w, 202)
	if id := assertMessage(t, w.Body.String(), &anvilwire.Ticket{}).GetId(); id != "a.layout.0~id" {
		t.Fatalf("id %q", id)
	}
	got := h.dispatcher.tasks[0]
	if got.Team() != "red" || got.Kind() != anviltask.Gang || got.Count() != 3 || got.Size().CPU() != 100 || got.RunTime() != 5 || !got.Urgent() {
		t.Fatalf("task %+v", got)
	}
}

// Guards against a query that returns or cancels tasks beyond what the key permits.
func TestInspect(t *testing.T) {
	id := "a.layout.0~" + anviltask.NewID()
	for name, c := range map[string]struct {
		method, path, key, team string
		all, cancel             bool
	}{
		"team":     {"GET", "/v1/tasks/" + id, teamKey, "red", false, false},
		"cancel":   {"DELETE", "/v1/tasks/" + id, teamKey, "red", false, true},
		"operator": {"GET", "/v1/explain/" + id, operatorKey, "", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.dispatcher.status = anvilcontrol.NewStatus(id, "red", "running", anvilcontrol.WithDecisions([]anvilcontrol.Decision{anvilcontrol.NewDecision(1, 2, "placed")}))
			w := h.do(c.method, c.path, "", authHeader(c.key)...)
			assertDone(t, w, 200)
			m := assertMessage(t, w.Body.String(), &anvilwire.Status{})
			if explained := strings.Contains(c.path, "explain"); m.GetId() != id || (len(m.GetDecisions()) == 1) != explained {
				t.Fatalf("status %v", m)
			}
			if q := h.dispatcher.queries[0]; q.ID() != id || q.Team() != c.team || q.All() != c.all || q.Cancel() != c.cancel {
				t.Fatalf("query %+v", q)
			}
		})
	}
	t.Run("not an id", func(t *testing.T) {
		assertRefused(t, newHarness().do("GET", "/v1/tasks/x", "", authHeader(teamKey)...), 400, anvilerror.BadInput)
	})
	t.Run("refused", func(t *testing.T) {
		h := newHarness()
		h.dispatcher.status = anvilcontrol.NewStatusFailure(anvilerror.Refuse(anvilerror.Missing, "no such task"))
		assertRefused(t, h.do("GET", "/v1/tasks/"+id, "", authHeader(teamKey)...), 404, anvilerror.Missing)
	})
}

// Guards against a change that writes or deletes another row than the one in the request.
func TestChange(t *testing.T) {
	hash := anvilconfig.HashKey("x")
	for name, c := range map[string]struct {
		body, put, deleted string
	}{
		"contract": {`{"op":"put","contract":{"team":"red","limit":{"cpu":1000}},"base":3}`, anvilrow.ContractPrefix + "red", ""},
		"key":      {`{"op":"put","key":{"hash":"` + hash + `","team":"red","role":"team"}}`, anvilrow.KeyPrefix + hash, ""},
		"leave":    {`{"op":"put","leave":{"instance":"w1"}}`, anvilrow.LeavePrefix + "w1", ""},
		"delete":   {`{"op":"delete","key":{"hash":"` + hash + `"}}`, "", anvilrow.KeyPrefix + hash},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			w := h.do("POST", "/v1/config", c.body, authHeader(operatorKey)...)
			assertDone(t, w, 200)
			if m := assertMessage(t, w.Body.String(), &anvilwire.Changed{}); !m.GetOk() {
				t.Fatalf("changed %v", m)
			}
			got := h.dispatcher.changes[0]
			// Guards against a generated id that the reply doesn't contain.
			if id := w.Header().Get("Change"); anviltask.CheckID(id) != nil || id != got.ID() {
				t.Fatalf("header Change %q, change %q", id, got.ID())
			}
			if c.put != "" && (len(got.Puts()) != 1 || got.Puts()[0].Key() != c.put || len(got.Deletes()) != 0) {
				t.Fatalf("puts %v, deletes %v", got.Puts(), got.Deletes())
			}
			if c.deleted != "" && (len(got.Puts()) != 0 || len(got.Deletes()) != 1 || got.Deletes()[0] != c.deleted) {
				t.Fatalf("puts %v, deletes %v", got.Puts(), got.Deletes())
			}
		})
	}
	for name, body := range map[string]string{
		"two subjects":           `{"op":"put","leave":{"instance":"w1"},"contract":{"team":"red"}}`,
		"no subject":             `{"op":"put"}`,
		"unknown op":             `{"op":"move","leave":{"instance":"w1"}}`,
		"key not a hash":         `{"op":"put","key":{"hash":"secret","team":"red","role":"team"}}`,
		"operator with team":     `{"op":"put","key":{"hash":"` + hash + `","team":"red","role":"operator"}}`,
		"team key, no team":      `{"op":"put","key":{"hash":"` + hash + `","role":"team"}}`,
		"negative limit":         `{"op":"put","contract":{"team":"red","limit":{"cpu":-1}}}`,
		"team with a slash":      `{"op":"put","contract":{"team":"a/b"}}`,
		"change id not a UUIDv7": `{"op":"put","change":"1","leave":{"instance":"w1"}}`,
		"unknown field":          `{"op":"put","leave":{"instance":"w1","why":"x"}}`,
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			assertRefused(t, h.do("POST", "/v1/config", body, authHeader(operatorKey)...), 400, anvilerror.BadInput)
			if len(h.dispatcher.changes) > 0 {
				t.Fatal("the request reached the control loop")
			}
		})
	}
}

type fakeInspector struct{ cell Cell }

func (i fakeInspector) Cell(context.Context) (Cell, error) { return i.cell, nil }

// Guards against a version reported as in force everywhere while an instance still has an older one.
func TestReadConfig(t *testing.T) {
	sessions := []anvilshard.Session{
		anvilshard.NewSession("a", "", "", "", 1, 7, false), anvilshard.NewSession("b", "", "", "", 1, 5, false),
	}
	h := newHarness(WithInspector(fakeInspector{cell: NewCell("a", 7, sessions, nil, nil, nil)}))
	w := h.do("GET", "/v1/config", "", authHeader(operatorKey)...)
	assertDone(t, w, 200)
	m := assertMessage(t, w.Body.String(), &anvilwire.Config{})
	if m.GetVersion() != 7 || m.GetEverywhere() != 5 || len(m.GetContracts()) != 1 || len(m.GetKeys()) != 2 {
		t.Fatalf("config %v", m)
	}
	w = h.do("GET", "/v1/status", "", authHeader(operatorKey)...)
	assertDone(t, w, 200)
	if m := assertMessage(t, w.Body.String(), &anvilwire.Cell{}); len(m.GetSessions()) != 2 {
		t.Fatalf("cell %v", m)
	}
}

// Guards against "not run" for a submission that is sent again with a key that was withdrawn meanwhile, or to an instance
// that is overloaded: the first one may have been accepted.
func TestResentTaskRefused(t *testing.T) {
	id := idAt(newHarness().clock.Unix())
	spec := func(more string) string { return `{"id":"` + id + `","pool":"layout"` + more + `}` }
	for name, c := range map[string]struct {
		spec, key string
		status    int
		want      anvilerror.Outcome
		code      anvilerror.Code
	}{
		"withdrawn key":                {spec(`,"once":true`), "nobody", 401, anvilerror.Unknown, anvilerror.BadKey},
		"withdrawn key, first attempt": {spec(`,"once":true,"first":true`), "nobody", 401, anvilerror.NotRun, anvilerror.BadKey},
		"withdrawn key, idempotent":    {spec(""), "nobody", 401, anvilerror.NotRun, anvilerror.BadKey},
		"operator's key":               {spec(`,"once":true`), operatorKey, 403, anvilerror.Unknown, anvilerror.Forbidden},
		"invalid spec":                 {spec(`,"once":true,"run":-1`), teamKey, 400, anvilerror.Unknown, anvilerror.BadInput},
		"undecodable spec":             {`{"id":`, teamKey, 400, anvilerror.NotRun, anvilerror.BadInput},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			assertReply(t, h.do("POST", "/v1/tasks", c.spec, authHeader(c.key)...), c.status, c.want, c.code)
		})
	}
	t.Run("overload", func(t *testing.T) {
		h := newHarness()
		if err := h.front.drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		assertReply(t, h.do("POST", "/v1/tasks", spec(`,"once":true`), authHeader(teamKey)...), 503, anvilerror.Unknown, anvilerror.QueueFull)
		assertReply(t, h.do("POST", "/v1/call/layout", "x", append(authHeader(teamKey), "Request-Id", id, "Idempotent", "no")...), 503,
			anvilerror.Unknown, anvilerror.QueueFull)
	})
}
