package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"anvilhold.org/lib/anvilwire"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"anvilctl": main})
}

// Guards against output and exit statuses that differ from the man page. The scripts in testdata run commands against
// a fakeEntry.
func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			s := httptest.NewServer(newFakeEntry().handler())
			env.Defer(s.Close)
			env.Setenv("ANVIL_ADDR", strings.TrimPrefix(s.URL, "http://"))
			env.Setenv("ANVIL_KEY", fakeKey)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits},
	})
}

// exits runs anvilctl with the remaining arguments and requires an exit status, as in "exits 3 leave-mark w1".
func exits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec("anvilctl", args[1:]...)
	got := 0
	if exitErr, ok := err.(interface{ ExitCode() int }); ok {
		got = exitErr.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit status %d, want %d: %v", got, want, err)
	}
}

const fakeKey = "the-secret-of-the-operator"

// A request to set the leave mark of conflictWorker conflicts with another change that comes first. A request to set the
// leave mark of noReplyWorker gets no response.
const (
	conflictWorker = "raced"
	noReplyWorker  = "lost"
)

// fakeEntry is an entry instance that stores configuration changes and reports a fixed cell, except that the epoch of
// its shard rises with every read of the status.
type fakeEntry struct {
	mu          sync.Mutex
	cfg         *anvilwire.Config
	statusReads int64
}

func newFakeEntry() *fakeEntry {
	return &fakeEntry{cfg: anvilwire.Config_builder{Version: 1, Everywhere: 1}.Build()}
}

func (e *fakeEntry) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", func(w http.ResponseWriter, _ *http.Request) { write(w, 200, e.cfg) })
	mux.HandleFunc("POST /v1/config", e.change)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		e.statusReads++
		write(w, 200, cell(e.statusReads))
	})
	mux.HandleFunc("GET /v1/explain/{id}", func(w http.ResponseWriter, r *http.Request) { write(w, 200, task(r, "queued")) })
	mux.HandleFunc("DELETE /v1/tasks/{id}", func(w http.ResponseWriter, r *http.Request) { write(w, 200, task(r, "stopped")) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if r.Header.Get("Authorization") != "Bearer "+fakeKey {
			write(w, 401, anvilwire.Refusal_builder{Outcome: "not-run", Code: "key", Reason: "the key is unknown"}.Build())
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func write(w http.ResponseWriter, status int, m proto.Message) {
	body, _ := protojson.Marshal(m)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (e *fakeEntry) change(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var c anvilwire.Change
	if err := protojson.Unmarshal(body, &c); err != nil {
		write(w, 400, anvilwire.Refusal_builder{Outcome: "not-run", Code: "input", Reason: err.Error()}.Build())
		return
	}
	if c.GetLeave().GetInstance() == noReplyWorker {
		panic(http.ErrAbortHandler)
	}
	if c.GetLeave().GetInstance() == conflictWorker {
		e.apply(anvilwire.Change_builder{Op: "put", Leave: anvilwire.Leave_builder{Instance: "other"}.Build()}.Build())
	}
	if c.GetBase() != e.cfg.GetVersion() {
		w.Header().Set("Version", strconv.FormatInt(e.cfg.GetVersion(), 10))
		write(w, 409, anvilwire.Refusal_builder{Outcome: "not-run", Code: "conflict", Reason: "change 42 came first"}.Build())
		return
	}
	e.apply(&c)
	write(w, 200, anvilwire.Changed_builder{Ok: true, Version: e.cfg.GetVersion()}.Build())
}

// apply replaces or deletes the item that c names and raises the version.
func (e *fakeEntry) apply(c *anvilwire.Change) {
	cfg := e.cfg
	cfg.SetContracts(slices.DeleteFunc(cfg.GetContracts(), func(o *anvilwire.Contract) bool { return o.GetTeam() == c.GetContract().GetTeam() }))
	cfg.SetKeys(slices.DeleteFunc(cfg.GetKeys(), func(o *anvilwire.Key) bool { return o.GetHash() == c.GetKey().GetHash() }))
	cfg.SetLeaves(slices.DeleteFunc(cfg.GetLeaves(), func(o *anvilwire.Leave) bool { return o.GetInstance() == c.GetLeave().GetInstance() }))
	switch {
	case c.GetOp() == "delete":
	case c.HasContract():
		cfg.SetContracts(append(cfg.GetContracts(), c.GetContract()))
	case c.HasKey():
		cfg.SetKeys(append(cfg.GetKeys(), c.GetKey()))
	default:
		cfg.SetLeaves(append(cfg.GetLeaves(), c.GetLeave()))
	}
	cfg.SetVersion(cfg.GetVersion() + 1)
	cfg.SetEverywhere(cfg.GetVersion())
}

func cell(epoch int64) *anvilwire.Cell {
	size := anvilwire.Size_builder{Cpu: 4000, Memory: 8192}.Build()
	half := anvilwire.Size_builder{Cpu: 2000}.Build()
	return anvilwire.Cell_builder{
		Instance: "e1", Version: 5,
		Sessions: []*anvilwire.Session{
			anvilwire.Session_builder{Instance: "e1", State: "live", Version: 5, Domain: "d1", Region: "r1", Addr: "127.0.0.1:1"}.Build(),
			anvilwire.Session_builder{Instance: "e2", State: "leaving", Version: 4, Domain: "d2", Region: "r1", Addr: "127.0.0.1:2"}.Build(),
		},
		Shards: []*anvilwire.Shard{anvilwire.Shard_builder{Shard: "d1.layout.0", Owner: "e1", Epoch: epoch, Region: "r1"}.Build()},
		Workers: []*anvilwire.WorkerInfo{
			anvilwire.WorkerInfo_builder{Id: "w2", Shard: "d1.layout.0", State: "silent", Size: size}.Build(),
			anvilwire.WorkerInfo_builder{Id: "w1", Shard: "d1.layout.0", State: "ready", Size: size, Reserved: half, Tasks: 3}.Build(),
		},
		Teams: []*anvilwire.TeamInfo{anvilwire.TeamInfo_builder{Team: "red", Limit: size, Part: half, Running: half, Queued: 2, Share: 125_000}.Build()},
	}.Build()
}

func task(r *http.Request, state string) *anvilwire.Status {
	return anvilwire.Status_builder{Id: r.PathValue("id"), Team: "red", State: state, Shard: "d1.layout.0", Decisions: []*anvilwire.Decision{
		anvilwire.Decision_builder{At: 1_000, Event: 3003, Text: "no worker has room\n\x1b[31m"}.Build(),
	}}.Build()
}
