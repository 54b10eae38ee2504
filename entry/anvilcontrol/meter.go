package anvilcontrol

import (
	"time"

	"anvilhold.org/lib/anvilclock"
)

// Meter records the loop's metrics. The loop calls it on its own goroutine, so the methods must not block.
type Meter interface {
	Count(name string)
	Gauge(name string, v int64)
	Observe(name string, d time.Duration)
}

// WithMeter sets where metrics are recorded; by default nowhere.
func WithMeter(m Meter) Option { return func(l *Loop) { l.meter = m } }

type noMeter struct{}

func (noMeter) Count(string)                  {}
func (noMeter) Gauge(string, int64)           {}
func (noMeter) Observe(string, time.Duration) {}

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = anvilclock.Millis(1000)

// updateGauges sets the gauges to the current sizes of control state.
func (l *Loop) updateGauges() {
	schedulable, tasks := 0, 0
	for _, w := range l.workers {
		if w.resources.Schedulable() {
			schedulable++
		}
		tasks += len(w.runs)
	}
	owned := 0
	for _, s := range l.shards {
		if s.owned() {
			owned++
		}
	}
	for name, v := range map[string]int{
		"workers": len(l.workers), "workers.open": schedulable, "tasks.running": tasks, "queue": l.queue.Len(),
		"shards.owned": owned, "jobs": len(l.jobs), "writes": len(l.writer.writes), "record": l.record.Len(),
		"calls.starts": len(l.calls.starts), "calls.forwards": len(l.calls.forwards),
	} {
		l.meter.Gauge(name, int64(v))
	}
	l.meter.Gauge("config.version", l.configStore.Snapshot().Version())
	for name, n := range l.invariants.Counts() {
		l.meter.Gauge("violated."+name, n)
	}
}
