// Package anvilmetric keeps counters, gauges and histograms and publishes them with expvar.
package anvilmetric

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of histograms, one microsecond to ten minutes, and their precision in significant digits. Each histogram takes
// about 20 KB.
const (
	minMicros         = 1
	maxMicros         = 600_000_000
	significantDigits = 2
)

// Meter holds the metrics of one process. It is safe for concurrent use.
type Meter struct {
	counts expvar.Map
	gauges expvar.Map

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// New returns an empty Meter, which is not published.
func New() *Meter { return &Meter{histograms: map[string]*hdrhistogram.Histogram{}} }

// Publish adds the metrics to the process's expvar page as NAME.counts, NAME.gauges and NAME.histograms. It panics if
// the name is already published.
func (m *Meter) Publish(name string) {
	expvar.Publish(name+".counts", &m.counts)
	expvar.Publish(name+".gauges", &m.gauges)
	expvar.Publish(name+".histograms", expvar.Func(m.summaries))
}

// Count adds one to a counter, which it creates if there is none of that name.
func (m *Meter) Count(name string) { m.counts.Add(name, 1) }

// Gauge sets a gauge, which it creates if there is none of that name.
func (m *Meter) Gauge(name string, v int64) {
	g, ok := m.gauges.Get(name).(*expvar.Int)
	if !ok {
		g = new(expvar.Int)
		m.gauges.Set(name, g)
	}
	g.Set(v)
}

// Observe adds a duration to a histogram, which it creates if there is none of that name. Durations outside the
// histograms' range are recorded as the nearest bound.
func (m *Meter) Observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(minMicros, maxMicros, significantDigits)
		m.histograms[name] = h
	}
	if err := h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros)); err != nil {
		m.counts.Add("histogram.refused", 1)
	}
}

// summary is the published form of a histogram; times are in microseconds.
type summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func (m *Meter) summaries() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]summary, len(m.histograms))
	for name, h := range m.histograms {
		out[name] = summary{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Max: h.Max()}
	}
	return out
}
