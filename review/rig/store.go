package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowKey names a row of the platform's store.
type rowKey struct{ table, part, key string }

// row is a row in the form of the wire.
type row struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// Timing of the store. Transactions of one part are carried out one after the other.
const (
	transactionTime = 4 * time.Millisecond
	historyTime     = 20 * time.Second
	maxRows         = 500
	maxEntries      = 100
)

type change struct {
	row row
	at  time.Time
}

// store is a stand-in of the platform's metadata store. All of its answers are linearizable, and it drops history that is
// older than historyTime.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	version int64
	dropped int64 // newest version that is no longer in history
	history []change
	changed chan struct{} // closed and replaced at each change
	begin   time.Time
	parts   map[string]*sync.Mutex
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), begin: time.Now(), parts: map[string]*sync.Mutex{}}
}

func (s *store) now() int64 { return time.Since(s.begin).Milliseconds() + 1 }

// apply writes and removes rows in one transaction. The caller holds mu.
func (s *store) apply(set, remove []row) {
	s.version++
	now := time.Now()
	for _, r := range set {
		r.Version, r.Deleted = s.version, false
		s.rows[r.id()] = r
		s.history = append(s.history, change{r, now})
	}
	for _, r := range remove {
		if _, ok := s.rows[r.id()]; !ok {
			continue
		}
		delete(s.rows, r.id())
		s.history = append(s.history, change{row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true}, now})
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.dropped = s.history[0].row.Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row of another writer, such as the operator or a minion.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: value}}, nil)
}

// drop removes a row of another writer.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

func (s *store) partLock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[part] == nil {
		s.parts[part] = &sync.Mutex{}
	}
	return s.parts[part]
}

type page struct {
	Rows    []row `json:"rows"`
	More    bool  `json:"has_more"`
	Version int64 `json:"row_version"`
	Now     int64 `json:"now_ms"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []row `json:"expected_revision"`
		Set      []row `json:"set_keys"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Expected)+len(in.Set)+len(in.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	part := ""
	for _, list := range [][]row{in.Expected, in.Set, in.Remove} {
		for _, e := range list {
			part = e.Part
		}
	}
	for _, list := range [][]row{in.Set, in.Remove} {
		for _, e := range list {
			if e.Table == "op" || e.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	lock := s.partLock(part)
	lock.Lock()
	defer lock.Unlock()
	time.Sleep(transactionTime)
	s.mu.Lock()
	held := true
	for _, e := range in.Expected {
		held = held && s.rows[e.id()].Version == e.Version
	}
	out, status := page{Rows: []row{}}, http.StatusOK
	if held {
		s.apply(in.Set, in.Remove)
	} else {
		status = http.StatusPreconditionFailed
		for _, e := range in.Expected {
			if cur, ok := s.rows[e.id()]; ok {
				out.Rows = append(out.Rows, cur)
			}
		}
	}
	out.Version, out.Now = s.version, s.now()
	s.mu.Unlock()
	writeJSON(w, status, out)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	out := page{Rows: []row{}, Version: s.version, Now: s.now()}
	for k, v := range s.rows {
		if k.table == q.Get("table_name") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			out.Rows = append(out.Rows, v)
		}
	}
	s.mu.Unlock()
	sort.Slice(out.Rows, func(i, j int) bool { return out.Rows[i].Key < out.Rows[j].Key })
	if len(out.Rows) > limit {
		out.Rows, out.More = out.Rows[:limit], true
	}
	time.Sleep(transactionTime)
	writeJSON(w, http.StatusOK, out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		out := page{Rows: []row{}, Version: s.version, Now: s.now()}
		for _, c := range s.history {
			if c.row.Table == q.Get("table_name") && c.row.Version > after {
				out.Rows = append(out.Rows, c.row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Rows) > 0 {
			writeJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.mu.Lock()
			out.Now = s.now()
			s.mu.Unlock()
			writeJSON(w, http.StatusOK, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// An error means that the caller has gone.
	_, _ = w.Write(data)
}
