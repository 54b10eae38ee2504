package anvilapi

import (
	"net/http"
	"strings"
	"testing"

	"anvilhold.org/lib/anvilwire"
)

// Guards against a field that is lost in the encoding between a worker and the shard's owner.
func TestWorker(t *testing.T) {
	s := newWorkerServer(t)
	const fields = `"shard":"s","epoch":3,"team":"red","job":"j","size":{"cpu":500,"memory":64}`
	var fenced anvilwire.Fenced
	s.mustSend(http.StatusOK, "POST", "/v1/fence", `{"shard":"s","epoch":3,"lease":8000}`, &fenced)
	if !fenced.GetOk() || fenced.GetWorker() != "w1" || fenced.GetBoot() != "boot" || fenced.GetSize().GetCpu() != 4000 {
		t.Fatalf("fenced = %v", &fenced)
	}
	var started anvilwire.Started
	s.mustSend(http.StatusOK, "POST", "/v1/start", `{`+fields+`,"id":"c","kind":"call","body":"aGk="}`, &started)
	if want := "answer c "; started.GetState() != "done" || !strings.HasPrefix(string(started.GetAnswer()), want) ||
		!strings.HasSuffix(string(started.GetAnswer()), "\nhi") {
		t.Fatalf("started = %v", &started)
	}
	s.mustSend(http.StatusOK, "POST", "/v1/start", `{`+fields+`,"id":"h","kind":"gang","hold":true,"once":true}`, &started)
	if started.GetState() != "held" {
		t.Fatalf("started = %v", &started)
	}
	var controlled anvilwire.Controlled
	s.mustSend(http.StatusOK, "POST", "/v1/control", `{"shard":"s","epoch":3,"id":"c","op":"stop"}`, &controlled)
	if !controlled.GetOk() || controlled.GetState() != "done" {
		t.Fatalf("controlled = %v", &controlled)
	}
	s.mustSend(http.StatusOK, "POST", "/v1/fence", `{"shard":"s","epoch":4,"lease":8000}`, &fenced)
	if len(fenced.GetTasks()) != 1 || len(fenced.GetEnded()) != 1 || fenced.GetCursor() != 1 {
		t.Fatalf("fenced = %v", &fenced)
	}
	if r := fenced.GetTasks()[0]; r.GetId() != "h" || !r.GetOnce() || r.GetEpoch() != 3 || r.GetTeam() != "red" ||
		r.GetJob() != "j" || r.GetKind() != "gang" || r.GetSize().GetMemory() != 64 || r.GetState() != "held" {
		t.Fatalf("running = %v", r)
	}
	if e := fenced.GetEnded()[0]; e.GetId() != "c" || e.GetTeam() != "red" || e.GetJob() != "j" ||
		e.GetState() != "done" || !strings.HasSuffix(string(e.GetAnswer()), "\nhi") {
		t.Fatalf("ended = %v", e)
	}
}

// Guards against malformed input that is accepted or never answered.
func TestMalformedWorkerRequests(t *testing.T) {
	s := newWorkerServer(t)
	for _, tc := range []struct {
		name, path, body string
		status           int
	}{
		{"not JSON", "/v1/fence", "x", http.StatusBadRequest},
		{"no lease", "/v1/fence", `{"shard":"s","epoch":1}`, http.StatusBadRequest},
		{"no epoch", "/v1/fence", `{"shard":"s","lease":1000}`, http.StatusBadRequest},
		{"no id", "/v1/start", `{"shard":"s","epoch":1,"kind":"call"}`, http.StatusBadRequest},
		{"negative size", "/v1/start", `{"shard":"s","epoch":1,"id":"a","kind":"call","size":{"cpu":-1}}`, http.StatusBadRequest},
		{"unknown op", "/v1/control", `{"shard":"s","epoch":1,"id":"a","op":"odd"}`, http.StatusBadRequest},
		{"start over 1 MiB", "/v1/start", strings.Repeat("x", maxStartBody+1), http.StatusRequestEntityTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s.t = t
			var refusal anvilwire.Refusal
			s.mustSend(tc.status, "POST", tc.path, tc.body, &refusal)
			if refusal.GetOutcome() != "not-run" || refusal.GetReason() == "" {
				t.Fatalf("refusal = %v", &refusal)
			}
		})
	}
}
