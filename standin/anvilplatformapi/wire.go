// Package anvilplatformapi speaks the HTTP interfaces of the users' platform: those that the stand-in
// serves, and those that its clients and its operator use. Handlers run on traffic goroutines and send typed
// messages to the goroutine that owns the state.
package anvilplatformapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"anvilhold.org/standin/anvilplatform"
)

// maxBody bounds the body of a call: a transaction of 1 MB with base64 and framing around it.
const maxBody = 4 << 20

// silence is how long a call waits that nobody answers; its client gives up earlier.
const silence = 4 * time.Second

type rowBody struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type txBody struct {
	Expected []rowBody `json:"expected_revision"`
	Set      []rowBody `json:"set_keys"`
	Remove   []rowBody `json:"remove"`
}

type pageBody struct {
	Rows    []rowBody `json:"rows"`
	More    bool      `json:"has_more"`
	Version int64     `json:"row_version"`
	Now     int64     `json:"now_ms"`
}

func (b rowBody) place() anvilplatform.Place { return anvilplatform.NewPlace(b.Table, b.Part, b.Key) }

func encodePage(p anvilplatform.Page, most int) pageBody {
	out := pageBody{Rows: []rowBody{}, Version: p.Version(), Now: int64(p.Now())}
	for _, r := range p.Rows() {
		if most > 0 && len(out.Rows) == most {
			out.More = true
			break
		}
		at := r.Place()
		out.Rows = append(out.Rows, rowBody{
			Table: at.Table(), Part: at.Partition(), Key: at.Key(), Value: r.Value(), Version: r.Version(), Deleted: r.Deleted(),
		})
	}
	return out
}

// readJSON reads a body, and answers 400 when it can't.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if r.Body != nil {
		data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
		if err == nil && json.Unmarshal(data, into) == nil {
			return true
		}
	}
	w.WriteHeader(http.StatusBadRequest)
	return false
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		// The bodies of this package always marshal.
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// A caller that is gone learns nothing.
	_, _ = w.Write(data)
}

// cut closes the connection without an answer.
func cut(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
			return
		}
	}
	w.WriteHeader(http.StatusBadGateway)
}

// number reads a whole number of a query; 0 when it is missing.
func number(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
