package anvilfront

import (
	"bytes"
	"expvar"
	"net/http"
	"strconv"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"anvilhold.org/lib/anvilclock"
)

var (
	requests    = expvar.NewMap("requests")
	outcomes    = expvar.NewMap("outcomes")
	codes       = expvar.NewMap("codes")
	connections = expvar.NewMap("connections")
	latency     = newLatencyHistogram()
	// clientLimits counts the requests and connections that a limit has ended, by reason.
	clientLimits = expvar.NewMap("limits")
)

func init() { expvar.Publish("latency", expvar.Func(latency.report)) }

// maxLatency, in milliseconds, is more than the longest wait for a result; longer times are recorded as this value.
const maxLatency = 15 * 60 * 1000

// latencyHistogram records latencies in milliseconds. It is safe for concurrent use.
type latencyHistogram struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newLatencyHistogram() *latencyHistogram {
	return &latencyHistogram{hist: hdrhistogram.New(1, maxLatency, 3)}
}

func (h *latencyHistogram) record(d anvilclock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only on a value outside the histogram's range.
	_ = h.hist.RecordValue(min(max(int64(d), 0), maxLatency))
}

func (h *latencyHistogram) report() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	return map[string]int64{
		"p50": h.hist.ValueAtQuantile(50), "p99": h.hist.ValueAtQuantile(99), "count": h.hist.TotalCount(),
	}
}

func recordReply(route string, r reply, d anvilclock.Millis) {
	requests.Add(route, 1)
	outcomes.Add(string(r.outcome()), 1)
	if c := r.code(); c != "" {
		codes.Add(string(c), 1)
	}
	latency.record(d)
}

// vars serves the expvar page. The page is larger than one TCP segment and expvar sets no Content-Length; nbhttp 1.6.8
// corrupts such a response, so the page is buffered and its length set.
func vars() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		page := &bufferedResponse{header: w.Header()}
		expvar.Handler().ServeHTTP(page, r)
		w.Header().Set("Content-Length", strconv.Itoa(page.body.Len()))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(page.body.Bytes())
	})
}

// bufferedResponse is a ResponseWriter that keeps the body in memory.
type bufferedResponse struct {
	header http.Header
	body   bytes.Buffer
}

func (r *bufferedResponse) Header() http.Header { return r.header }

// WriteHeader ignores the status, which is always 200.
func (r *bufferedResponse) WriteHeader(int) {}

func (r *bufferedResponse) Write(b []byte) (int, error) { return r.body.Write(b) }
