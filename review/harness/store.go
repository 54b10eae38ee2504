package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowKey names a row of the store.
type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version int64
	changed chan struct{}
	begin   time.Time
	// lastWriter is the machine that last wrote the table "tenures", as "leader" in the bench's kinds.
	lastWriter int
	// refusedRows counts transactions that were refused with 400.
	refusedRows int
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), begin: time.Now(), lastWriter: -1}
}

const (
	storeLatency  = 4 * time.Millisecond
	maxRowBytes   = 65536
	maxTxEntries  = 100
	maxTxBytes    = 1 << 20
	maxFeedWaitMS = 30000
	pageRows      = 500
)

// put writes a row as the operator or a worker; a nil value deletes it.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: value, Version: s.version, Deleted: value == nil})
	s.wake()
}

func (s *store) apply(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		if _, ok := s.rows[k]; !ok {
			return
		}
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) nowMS() int64 { return time.Since(s.begin).Milliseconds() + 1000 }

// storeMode is how the store treats one machine.
type storeMode int

const (
	storeServes storeMode = iota
	storeSilent           // requests of the machine get no answer and are not carried out
	storeLate             // a transaction gets no answer and is carried out seconds later
)

// storeFront is the address at which one machine reaches the store.
type storeFront struct {
	store   *store
	machine int
	addr    string
	server  *http.Server
	mu      sync.Mutex
	mode    storeMode
	late    time.Duration
}

func (s *store) front(machine int) (*storeFront, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &storeFront{store: s, machine: machine, addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", f.tx)
	mux.HandleFunc("GET /-/rows-get", f.get)
	mux.HandleFunc("GET /-/rows-feed", f.feed)
	f.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.current() == storeSilent {
			<-r.Context().Done()
			return
		}
		time.Sleep(storeLatency)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = f.server.Serve(l) }()
	return f, nil
}

func (f *storeFront) set(m storeMode) {
	f.mu.Lock()
	f.mode = m
	f.mu.Unlock()
}

func (f *storeFront) current() storeMode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mode
}

// reply answers a request, unless the machine has been cut off meanwhile.
func (f *storeFront) reply(w http.ResponseWriter, r *http.Request, status int, body any) {
	if f.current() == storeSilent {
		<-r.Context().Done()
		return
	}
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

type txBody struct {
	Expected []row `json:"expected_revision"`
	Set      []row `json:"set_keys"`
	Remove   []row `json:"remove"`
}

func (f *storeFront) tx(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, 4*maxTxBytes))
	var in txBody
	if err != nil || json.Unmarshal(data, &in) != nil {
		f.reply(w, r, http.StatusBadRequest, map[string]any{})
		return
	}
	if f.current() == storeLate {
		time.AfterFunc(f.late, func() {
			status, _ := f.store.transact(f.machine, len(data), in)
			logf("store: a transaction of node %d, unanswered before, was carried out late with status %d", f.machine, status)
		})
		<-r.Context().Done()
		return
	}
	status, body := f.store.transact(f.machine, len(data), in)
	f.reply(w, r, status, body)
}

func (s *store) transact(machine, size int, in txBody) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(in.Expected)+len(in.Set)+len(in.Remove) > maxTxEntries || size > 2*maxTxBytes {
		s.refusedRows++
		logf("store: refused a transaction of node %d with %d entries and %d bytes", machine, len(in.Expected)+len(in.Set)+len(in.Remove), size)
		return http.StatusBadRequest, map[string]any{}
	}
	total := 0
	for _, r := range in.Set {
		total += len(r.Value)
		if len(r.Value) > maxRowBytes {
			s.refusedRows++
			if s.refusedRows <= 3 || s.refusedRows%100 == 0 {
				logf("store: refused a transaction of node %d: row %s/%s has %d bytes (refusal %d)", machine, r.Table, r.Key, len(r.Value), s.refusedRows)
			}
			return http.StatusBadRequest, map[string]any{}
		}
		if r.Table == "op" || r.Table == "servers" {
			return http.StatusForbidden, map[string]any{}
		}
	}
	if total > maxTxBytes {
		s.refusedRows++
		logf("store: refused a transaction of node %d with %d bytes of values", machine, total)
		return http.StatusBadRequest, map[string]any{}
	}
	current := []row{}
	holds := true
	for _, e := range in.Expected {
		have, ok := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if have.Version != e.Version {
			holds = false
		}
		if ok {
			current = append(current, have)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "row_version": s.version, "now_ms": s.nowMS()}
	}
	s.version++
	for _, r := range in.Set {
		r.Version = s.version
		s.apply(r)
		if r.Table == "tenures" {
			s.lastWriter = machine
		}
	}
	for _, r := range in.Remove {
		r.Version, r.Deleted = s.version, true
		s.apply(r)
	}
	s.wake()
	return http.StatusOK, map[string]any{"row_version": s.version, "now_ms": s.nowMS()}
}

func (f *storeFront) get(w http.ResponseWriter, r *http.Request) {
	q, s := r.URL.Query(), f.store
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	out := []row{}
	for k, v := range s.rows {
		if k.table == q.Get("table_name") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			out = append(out, v)
		}
	}
	version, now := s.version, s.nowMS()
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	n, size := 0, 0
	for n < len(out) && n < limit && size+len(out[n].Value) <= maxTxBytes {
		size += len(out[n].Value)
		n++
	}
	f.reply(w, r, http.StatusOK, map[string]any{"rows": out[:n], "has_more": n < len(out), "row_version": version, "now_ms": now})
}

func (f *storeFront) feed(w http.ResponseWriter, r *http.Request) {
	q, s := r.URL.Query(), f.store
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, maxFeedWaitMS)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		out := []row{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
		for _, h := range s.history[first:] {
			if h.Table == q.Get("table_name") {
				out = append(out, h)
			}
		}
		version, now, changed := s.version, s.nowMS(), s.changed
		s.mu.Unlock()
		body := map[string]any{"rows": out, "row_version": version, "now_ms": now}
		if len(out) > 0 {
			f.reply(w, r, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			f.reply(w, r, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}
