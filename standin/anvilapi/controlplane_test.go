package anvilapi

import (
	"net/http"
	"strings"
	"testing"

	"anvilhold.org/lib/anvilwire"

	"anvilhold.org/standin/anvilstore"
)

const putRow = `{"change":"c1","checks":[{"key":"k/a"}],"puts":[{"key":"k/a","value":"aGk="}]}`

func mustReadRow(s *testServer, change string) {
	s.t.Helper()
	var rows anvilwire.Rows
	s.mustSend(http.StatusOK, "GET", "/v1/table/rows?prefix=k/", "", &rows)
	if len(rows.GetRows()) != 1 || rows.GetRows()[0].GetChange() != change {
		s.t.Fatalf("rows = %v, want one of change %s", rows.GetRows(), change)
	}
}

// Guards against a fault of kind lose that loses the write too, or after which the client gets the response anyway.
func TestLostResponse(t *testing.T) {
	for _, tc := range []struct {
		name   string
		random fixedRand
		closed bool
	}{
		{"closed connection", 49, true},
		{"504", 50, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newControlPlaneServer(t, tc.random)
			s.mustSend(http.StatusNoContent, "POST", "/v1/fault", `{"kind":"lose"}`, nil)
			status, text, err := s.send("POST", "/v1/table/commit", putRow)
			if tc.closed != (err != nil) || !tc.closed && status != http.StatusGatewayTimeout {
				t.Fatalf("commit = %d %q, %v", status, text, err)
			}
			s.mustSend(http.StatusNoContent, "POST", "/v1/fault", `{"kind":"none"}`, nil)
			mustReadRow(s, "c1")
		})
	}
}

// Guards against a fault that affects the wrong requests or that can't be removed.
func TestDownFault(t *testing.T) {
	s := newControlPlaneServer(t, 0)
	s.mustSend(http.StatusNoContent, "POST", "/v1/fault", `{"kind":"down","region":"r2"}`, nil)
	t.Run("other region", func(t *testing.T) {
		s.t = t
		s.mustSend(http.StatusOK, "POST", "/v1/table/commit", putRow, nil, "Region", "r1")
	})
	for _, path := range []string{"/v1/table/rows", "/v1/instances", "/v1/objects/a"} {
		t.Run(path, func(t *testing.T) {
			s.t = t
			var refusal anvilwire.Refusal
			s.mustSend(http.StatusServiceUnavailable, "GET", path, "", &refusal, "Region", "r2")
			if refusal.GetCode() != "table" || refusal.GetOutcome() != "not-run" {
				t.Fatalf("refusal = %v", &refusal)
			}
		})
	}
	t.Run("health and fault routes are not affected", func(t *testing.T) {
		s.t = t
		s.mustSend(http.StatusOK, "GET", "/v1/health", "", nil, "Region", "r2")
		s.mustSend(http.StatusNoContent, "POST", "/v1/fault", `{"kind":"none"}`, nil, "Region", "r2")
		s.mustSend(http.StatusOK, "GET", "/v1/instances", "", nil, "Region", "r2")
	})
}

// Guards against a field that is lost in the encoding between the table and its clients.
func TestTable(t *testing.T) {
	s := newControlPlaneServer(t, 0)
	var c anvilwire.Committed
	s.mustSend(http.StatusOK, "POST", "/v1/table/commit", putRow, &c)
	if !c.GetOk() || c.GetVersion() != 1 {
		t.Fatalf("first commit = %v", &c)
	}
	s.mustSend(http.StatusOK, "POST", "/v1/table/commit", putRow, &c)
	if r := c.GetConflict(); c.GetOk() || r.GetKey() != "k/a" || r.GetVersion() != 1 || r.GetChange() != "c1" {
		t.Fatalf("second commit = %v, want a conflict", &c)
	}
	s.mustSend(http.StatusOK, "POST", "/v1/table/commit", `{"change":"c2","deletes":["k/a"]}`, &c)
	var rows anvilwire.Rows
	s.mustSend(http.StatusOK, "GET", "/v1/table/rows?prefix=k/&after=1", "", &rows)
	if len(rows.GetRows()) != 1 || !rows.GetRows()[0].GetDead() || rows.GetVersion() != 2 {
		t.Fatalf("rows = %v, want a tombstone at version 2", &rows)
	}
}

// Guards against objects and instances that can't be read or deleted under the name they were written with.
func TestObjectsAndInstances(t *testing.T) {
	s := newControlPlaneServer(t, 0)
	const object = "/v1/objects/checkpoint/d1.layout.0~0190"
	s.mustSend(http.StatusNoContent, "PUT", object, "progress=1\n", nil)
	if _, text, err := s.send("GET", object, ""); err != nil || text != "progress=1\n" {
		t.Fatalf("GET = %q, %v", text, err)
	}
	s.mustSend(http.StatusNoContent, "DELETE", object, "", nil)
	s.mustSend(http.StatusNotFound, "GET", object, "", nil)
	var list anvilwire.Instances
	s.mustSend(http.StatusNoContent, "POST", "/v1/instances",
		`{"list":[{"id":"e1","kind":"entry","addr":"127.0.0.1:1","domain":"d1","region":"r1","state":"leaving"}]}`, nil)
	s.mustSend(http.StatusOK, "GET", "/v1/instances", "", &list)
	if len(list.GetList()) != 1 || list.GetList()[0].GetState() != "leaving" || list.GetList()[0].GetDomain() != "d1" {
		t.Fatalf("instances = %v", &list)
	}
	s.mustSend(http.StatusNoContent, "DELETE", "/v1/instances/e1", "", nil)
	s.mustSend(http.StatusOK, "GET", "/v1/instances", "", &list)
	if len(list.GetList()) != 0 {
		t.Fatalf("instances = %v, want none", &list)
	}
}

// Guards against malformed input that is accepted or refused without a reason.
func TestMalformedControlPlaneRequests(t *testing.T) {
	s := newControlPlaneServer(t, 0)
	for _, tc := range []struct {
		name, method, path, body string
		status                   int
	}{
		{"not JSON", "POST", "/v1/table/commit", "x", http.StatusBadRequest},
		{"unknown field", "POST", "/v1/table/commit", `{"odd":1}`, http.StatusBadRequest},
		{"129 rows", "POST", "/v1/table/commit", `{"deletes":["` + strings.Repeat(`a","`, 128) + `b"]}`, http.StatusBadRequest},
		{"negative value of after", "GET", "/v1/table/rows?after=-1", "", http.StatusBadRequest},
		{"two instances", "POST", "/v1/instances", `{"list":[{},{}]}`, http.StatusBadRequest},
		{"percent out of range", "POST", "/v1/fault", `{"kind":"down","percent":"4294967297"}`, http.StatusBadRequest},
		{"object over 4 MiB", "PUT", "/v1/objects/a", strings.Repeat("x", anvilstore.MaxObject+1), http.StatusRequestEntityTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s.t = t
			var refusal anvilwire.Refusal
			s.mustSend(tc.status, tc.method, tc.path, tc.body, &refusal)
			if refusal.GetReason() == "" || strings.Contains(refusal.GetReason(), "\n") {
				t.Fatalf("reason = %q, want one line", refusal.GetReason())
			}
		})
	}
}
