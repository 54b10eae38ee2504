package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rowID names a row of the store.
type rowID struct{ table, part, key string }

type storedRow struct {
	value   []byte
	version int64
}

type change struct {
	id      rowID
	value   []byte
	version int64
	deleted bool
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. Nothing is ever lost, and its history is kept
// whole.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]storedRow
	log     []change
	version int64
	began   time.Time
	changed chan struct{}
	writes  int64
	reads   int64
}

func newStore() *store {
	return &store{rows: map[rowID]storedRow{}, began: time.Now().Add(-time.Second), changed: make(chan struct{}), version: 100}
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() }

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row for the operator or a minion; nil removes it.
func (s *store) put(table, key string, v any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	id := rowID{table, "", key}
	if v == nil {
		delete(s.rows, id)
		s.log = append(s.log, change{id: id, version: s.version, deleted: true})
	} else {
		data, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		s.rows[id] = storedRow{data, s.version}
		s.log = append(s.log, change{id: id, value: data, version: s.version})
	}
	s.wake()
}

// count returns the number of rows of a table.
func (s *store) count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id := range s.rows {
		if id.table == table {
			n++
		}
	}
	return n
}

// get returns a row's value.
func (s *store) get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowID{table, part, key}].value
}

type rowJSON struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version int64  `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (id rowID) json(v []byte, version int64, deleted bool) rowJSON {
	return rowJSON{id.table, id.part, id.key, base64.StdEncoding.EncodeToString(v), version, deleted}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/rows-tx":
		s.tx(w, r)
	case "/-/rows-get":
		s.read(w, r)
	case "/-/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []rowJSON `json:"expected_revision"`
		Set      []rowJSON `json:"set_keys"`
		Remove   []rowJSON `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Expected)+len(in.Set)+len(in.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	values := make([][]byte, len(in.Set))
	for i, row := range in.Set {
		v, err := base64.StdEncoding.DecodeString(row.Value)
		if err != nil || len(v) > 65536 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		values[i] = v
	}
	// A transaction takes transaction_ms.
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	s.writes++
	ok := true
	current := []rowJSON{}
	for _, e := range in.Expected {
		id := rowID{e.Table, e.Part, e.Key}
		row := s.rows[id]
		ok = ok && row.version == e.Version
		current = append(current, id.json(row.value, row.version, false))
	}
	if !ok {
		version := s.version
		s.mu.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "row_version": version, "now_ms": s.now()})
		return
	}
	if len(in.Set)+len(in.Remove) > 0 {
		s.version++
		for i, row := range in.Set {
			id := rowID{row.Table, row.Part, row.Key}
			s.rows[id] = storedRow{values[i], s.version}
			s.log = append(s.log, change{id: id, value: values[i], version: s.version})
		}
		for _, row := range in.Remove {
			id := rowID{row.Table, row.Part, row.Key}
			if _, exists := s.rows[id]; exists {
				delete(s.rows, id)
				s.log = append(s.log, change{id: id, version: s.version, deleted: true})
			}
		}
		s.wake()
	}
	version := s.version
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"row_version": version, "now_ms": s.now()})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	s.reads++
	var ids []rowID
	for id := range s.rows {
		if id.table == q.Get("table_name") && id.part == q.Get("part") && id.key >= q.Get("from") && (!q.Has("target") || id.key < q.Get("target")) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return strings.Compare(ids[i].key, ids[j].key) < 0 })
	rows, more, size := []rowJSON{}, false, 0
	for _, id := range ids {
		if len(rows) == limit || size > 1_000_000 {
			more = true
			break
		}
		rows = append(rows, id.json(s.rows[id].value, s.rows[id].version, false))
		size += len(s.rows[id].value)
	}
	version := s.version
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"rows": rows, "has_more": more, "row_version": version, "now_ms": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		s.reads++
		from := sort.Search(len(s.log), func(i int) bool { return s.log[i].version > after })
		rows := []rowJSON{}
		for _, c := range s.log[from:] {
			if c.id.table == q.Get("table_name") {
				rows = append(rows, c.id.json(c.value, c.version, c.deleted))
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		over := false
		if len(rows) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline.C:
				over = true
			}
		}
		if over || len(rows) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": rows, "row_version": version, "now_ms": s.now()})
			return
		}
	}
}
