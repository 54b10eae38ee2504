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

// Guards against a spec that is accepted although it says what the loop can't do.
func TestSpecInput(t *testing.T) {
	for name, c := range map[string]struct {
		spec   string
		status int
		code   anvilerror.Code
	}{
		"unknown field":        {`{"pool":"layout","colour":"red"}`, 400, anvilerror.BadInput},
		"no JSON":              {`pool`, 400, anvilerror.BadInput},
		"no pool":              {`{}`, 400, anvilerror.BadInput},
		"kind":                 {`{"pool":"layout","kind":"call"}`, 400, anvilerror.BadInput},
		"count without gang":   {`{"pool":"layout","count":2}`, 400, anvilerror.BadInput},
		"negative count":       {`{"pool":"layout","kind":"gang","count":-1}`, 400, anvilerror.BadInput},
		"count over the bound": {`{"pool":"layout","kind":"gang","count":5000}`, 413, anvilerror.TooLarge},
		"negative size":        {`{"pool":"layout","size":{"cpu":-1}}`, 400, anvilerror.BadInput},
		"zero size":            {`{"pool":"layout","size":{}}`, 400, anvilerror.BadInput},
		"negative run":         {`{"pool":"layout","run":-1}`, 400, anvilerror.BadInput},
		"once without id":      {`{"pool":"layout","once":true}`, 400, anvilerror.BadInput},
		"workspace":            {`{"pool":"layout","workspace":"a b"}`, 400, anvilerror.BadInput},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench()
			assertRefused(t, b.do("POST", "/v1/tasks", c.spec, bearerOf(teamKey)...), c.status, c.code)
			if len(b.dispatcher.tasks) > 0 {
				t.Fatal("the loop was asked")
			}
		})
	}
}

// Guards against a ticket or a task that differs from the spec.
func TestSubmitTask(t *testing.T) {
	b := newBench()
	b.dispatcher.result = anvilcontrol.NewAccepted("a.layout.0~id")
	w := b.do("POST", "/v1/tasks", `{"pool":"layout","kind":"gang","count":3,"size":{"cpu":100},"run":5,"urgent":true}`, bearerOf(teamKey)...)
	assertDone(t, w, 202)
	if id := assertMessage(t, w.Body.String(), &anvilwire.Ticket{}).GetId(); id != "a.layout.0~id" {
		t.Fatalf("id %q", id)
	}
	got := b.dispatcher.tasks[0]
	if got.Team() != "red" || got.Kind() != anviltask.Gang || got.Count() != 3 || got.Size().CPU() != 100 || got.Run() != 5 || !got.Urgent() {
		t.Fatalf("task %+v", got)
	}
}

// Guards against a question that sees or cancels more than the key allows.
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
			b := newBench()
			b.dispatcher.status = anvilcontrol.NewStatus(id, "red", "running", anvilcontrol.WithSteps([]anvilcontrol.Step{anvilcontrol.NewStep(1, 2, "placed")}))
			w := b.do(c.method, c.path, "", bearerOf(c.key)...)
			assertDone(t, w, 200)
			m := assertMessage(t, w.Body.String(), &anvilwire.Status{})
			if explained := strings.Contains(c.path, "explain"); m.GetId() != id || (len(m.GetDecisions()) == 1) != explained {
				t.Fatalf("status %v", m)
			}
			if q := b.dispatcher.queries[0]; q.ID() != id || q.Team() != c.team || q.All() != c.all || q.Cancel() != c.cancel {
				t.Fatalf("query %+v", q)
			}
		})
	}
	t.Run("no id", func(t *testing.T) {
		assertRefused(t, newBench().do("GET", "/v1/tasks/x", "", bearerOf(teamKey)...), 400, anvilerror.BadInput)
	})
	t.Run("refused", func(t *testing.T) {
		b := newBench()
		b.dispatcher.status = anvilcontrol.NewStatusFailure(anvilerror.Refuse(anvilerror.Missing, "no such task"))
		assertRefused(t, b.do("GET", "/v1/tasks/"+id, "", bearerOf(teamKey)...), 404, anvilerror.Missing)
	})
}

// Guards against a change that writes another row than the operator named.
func TestChange(t *testing.T) {
	hash := anvilconfig.HashKey("x")
	for name, c := range map[string]struct {
		body, put, drop string
	}{
		"contract": {`{"op":"put","contract":{"team":"red","limit":{"cpu":1000}},"base":3}`, anvilrow.ContractPrefix + "red", ""},
		"key":      {`{"op":"put","key":{"hash":"` + hash + `","team":"red","role":"team"}}`, anvilrow.KeyPrefix + hash, ""},
		"leave":    {`{"op":"put","leave":{"instance":"w1"}}`, anvilrow.LeavePrefix + "w1", ""},
		"delete":   {`{"op":"delete","key":{"hash":"` + hash + `"}}`, "", anvilrow.KeyPrefix + hash},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench()
			w := b.do("POST", "/v1/config", c.body, bearerOf(operatorKey)...)
			assertDone(t, w, 200)
			if m := assertMessage(t, w.Body.String(), &anvilwire.Changed{}); !m.GetOk() {
				t.Fatalf("changed %v", m)
			}
			got := b.dispatcher.changes[0]
			// Guards against a change whose generated id the operator doesn't learn.
			if id := w.Header().Get("Change"); anviltask.CheckID(id) != nil || id != got.ID() {
				t.Fatalf("header Change %q, change %q", id, got.ID())
			}
			if c.put != "" && (len(got.Puts()) != 1 || got.Puts()[0].Key() != c.put || len(got.Deletes()) != 0) {
				t.Fatalf("puts %v, drops %v", got.Puts(), got.Deletes())
			}
			if c.drop != "" && (len(got.Puts()) != 0 || len(got.Deletes()) != 1 || got.Deletes()[0] != c.drop) {
				t.Fatalf("puts %v, drops %v", got.Puts(), got.Deletes())
			}
		})
	}
	for name, body := range map[string]string{
		"two subjects":        `{"op":"put","leave":{"instance":"w1"},"contract":{"team":"red"}}`,
		"no subject":          `{"op":"put"}`,
		"op":                  `{"op":"move","leave":{"instance":"w1"}}`,
		"key not a hash":      `{"op":"put","key":{"hash":"secret","team":"red","role":"team"}}`,
		"operator with team":  `{"op":"put","key":{"hash":"` + hash + `","team":"red","role":"operator"}}`,
		"team's without team": `{"op":"put","key":{"hash":"` + hash + `","role":"team"}}`,
		"negative limit":      `{"op":"put","contract":{"team":"red","limit":{"cpu":-1}}}`,
		"team with a slash":   `{"op":"put","contract":{"team":"a/b"}}`,
		"change id":           `{"op":"put","change":"1","leave":{"instance":"w1"}}`,
		"unknown field":       `{"op":"put","leave":{"instance":"w1","why":"x"}}`,
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench()
			assertRefused(t, b.do("POST", "/v1/config", body, bearerOf(operatorKey)...), 400, anvilerror.BadInput)
			if len(b.dispatcher.changes) > 0 {
				t.Fatal("the loop was asked")
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
	b := newBench(WithInspector(fakeInspector{cell: NewCell("a", 7, sessions, nil, nil, nil)}))
	w := b.do("GET", "/v1/config", "", bearerOf(operatorKey)...)
	assertDone(t, w, 200)
	m := assertMessage(t, w.Body.String(), &anvilwire.Config{})
	if m.GetVersion() != 7 || m.GetEverywhere() != 5 || len(m.GetContracts()) != 1 || len(m.GetKeys()) != 2 {
		t.Fatalf("config %v", m)
	}
	w = b.do("GET", "/v1/status", "", bearerOf(operatorKey)...)
	assertDone(t, w, 200)
	if m := assertMessage(t, w.Body.String(), &anvilwire.Cell{}); len(m.GetSessions()) != 2 {
		t.Fatalf("cell %v", m)
	}
}
