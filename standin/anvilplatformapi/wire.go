// Package anvilplatformapi implements the HTTP interfaces of the users' platform: the handlers of the stand-in's platform
// and workers, and clients for its workers, its operator and the callers of entry instances. Handlers run on traffic
// goroutines and send typed messages to the goroutine that owns the state.
package anvilplatformapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"anvilhold.org/standin/anvilplatform"
)

// maxBody bounds the body of a call in bytes. A transaction of 1 MB fits, in base64 and with its framing.
const maxBody = 4 << 20

// noReplyDelay is how long a call that gets no reply stays open. Clients time out earlier.
const noReplyDelay = 4 * time.Second

type rowBody struct {
	Table     string `json:"table_name"`
	Partition string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"row_version"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type txBody struct {
	Expected []rowBody `json:"expected_revision"`
	Set      []rowBody `json:"set_keys"`
	Delete   []rowBody `json:"remove"`
}

type pageBody struct {
	Rows    []rowBody `json:"rows"`
	More    bool      `json:"has_more"`
	Version int64     `json:"row_version"`
	Now     int64     `json:"now_ms"`
}

func (b rowBody) id() anvilplatform.RowID { return anvilplatform.NewRowID(b.Table, b.Partition, b.Key) }

func encodePage(p anvilplatform.Page, limit int) pageBody {
	out := pageBody{Rows: []rowBody{}, Version: p.Version(), Now: int64(p.Now())}
	for _, r := range p.Rows() {
		if limit > 0 && len(out.Rows) == limit {
			out.More = true
			break
		}
		id := r.ID()
		out.Rows = append(out.Rows, rowBody{
			Table: id.Table(), Partition: id.Partition(), Key: id.Key(), Value: r.Value(), Version: r.Version(), Deleted: r.Deleted(),
		})
	}
	return out
}

// readJSON decodes the body of a request. If it can't, it responds with status 400 and returns false.
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
	// The error is ignored: it means that the client has disconnected.
	_, _ = w.Write(data)
}

// closeConnection closes the connection without a reply, or responds with status 502 if that isn't possible.
func closeConnection(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
			return
		}
	}
	w.WriteHeader(http.StatusBadGateway)
}

// intParam returns an integer query parameter, or 0 if it is missing or malformed.
func intParam(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
