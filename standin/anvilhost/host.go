// Package anvilhost is the control state of a worker: capacity, leases with epochs, running tasks
// and ended ones. It decides on a clock and does no I/O; one goroutine owns it.
//
// Every call first stops the tasks of shards whose lease has lapsed and only then does what it was
// asked for. A process that was frozen and continued therefore takes no step for such a task.
package anvilhost

import (
	_ "embed"

	"anvilhold.org/lib/anvilchart"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
)

//go:embed charts/task.toml
var taskChart string

// Numbers of the events that a violated invariant logs.
const (
	ViolatedCapacity = 4001
	ViolatedEpoch    = 4002
	ViolatedOnce     = 4003
)

// Objects reads and writes checkpoints without blocking. The results come back through Host.Saved
// and Host.Loaded.
type Objects interface {
	Save(task, object string, data []byte, budget anvilclock.Millis)
	Load(task, object string, budget anvilclock.Millis)
}

// Recorder writes the trace. Record returns after the event has been written.
type Recorder interface {
	Record(e Event)
}

// Alarm is told of violated invariants.
type Alarm interface {
	Violated(number int, message string, args ...any)
}

// Rand draws the starts that fail.
type Rand interface {
	// Percent returns a number from 0 to 99.
	Percent() int
}

// Bounds of the worker's state.
const (
	maxShards = 64
	// maxLive bounds tasks of size zero, which capacity does not.
	maxLive = 8192
	// maxLease is far above the default lease of 8,000 ms and keeps a wrong value from holding
	// tasks for hours.
	maxLease anvilclock.Millis = 600_000
)

// codeLease is the reason code of tasks that a lapsed lease stopped.
const codeLease = "lease"

// Host is the control state of a worker.
type Host struct {
	id       string
	boot     string
	capacity anvilsize.Size
	clock    anvilclock.Clock
	objects  Objects
	recorder Recorder
	alarm    Alarm
	random   Rand
	usageLag anvilclock.Millis
	failing  int

	chart   *anvilchart.Chart
	binding *anvilchart.Binding[*task]
	shards  map[string]*shard
	tasks   map[string]*task
	live    []*task // in the order of their starts
	used    anvilsize.Size
	ended   *ledger
	last    anvilclock.Millis // time up to which tasks have worked
	leaving bool
}

// Option sets an optional part of a Host.
type Option func(*Host)

// WithClock replaces the system clock.
func WithClock(c anvilclock.Clock) Option { return func(h *Host) { h.clock = c } }

// WithUsageLag sets how old the reported use is.
func WithUsageLag(d anvilclock.Millis) Option { return func(h *Host) { h.usageLag = d } }

// WithFailing makes a share of the starts fail at once.
func WithFailing(percent int, random Rand) Option {
	return func(h *Host) { h.failing, h.random = percent, random }
}

// New returns a worker without tasks. boot changes with every start of the process.
func New(id, boot string, size anvilsize.Size, obj Objects, rec Recorder, alarm Alarm, opts ...Option) (*Host, error) {
	h := &Host{
		id: id, boot: boot, capacity: size, objects: obj, recorder: rec, alarm: alarm,
		clock:  anvilclock.NewSystem(),
		shards: map[string]*shard{}, tasks: map[string]*task{}, ended: newLedger(),
	}
	for _, opt := range opts {
		opt(h)
	}
	h.binding = newBinding()
	chart, err := anvilchart.Load("charts/task.toml", taskChart, h.binding)
	if err != nil {
		return nil, err
	}
	h.chart = chart
	h.last = h.clock.Now()
	return h, nil
}

// ID returns the id of the worker.
func (h *Host) ID() string { return h.id }

// Boot returns the id of this start of the process.
func (h *Host) Boot() string { return h.boot }

// Size returns the capacity.
func (h *Host) Size() anvilsize.Size { return h.capacity }

// Leave refuses new work from now on.
func (h *Host) Leave() { h.leaving = true }

// Drained reports whether no task is left and every owner with a lease has read the ended ones.
func (h *Host) Drained() bool {
	if len(h.live) > 0 {
		return false
	}
	for _, s := range h.shards {
		if s.leased && s.cursor < h.ended.position {
			return false
		}
	}
	return true
}

// Abort stops all tasks because the worker exits.
func (h *Host) Abort() {
	h.Tick()
	for _, t := range h.snapshot() {
		h.stop(t, "stop", string(anvilerror.Leaving))
	}
}

// take counts the place of a task; release gives it back.
func (h *Host) take(t *task) {
	h.used = h.used.Add(t.order.size)
	h.checkCapacity()
}

func (h *Host) release(t *task) {
	h.used = h.used.Sub(t.order.size)
	h.checkCapacity()
}

func (h *Host) checkCapacity() {
	var sum anvilsize.Size
	for _, t := range h.live {
		sum = sum.Add(t.order.size)
	}
	if sum != h.used || !sum.Fits(h.capacity) {
		h.alarm.Violated(ViolatedCapacity, "sizes of tasks exceed the capacity",
			"sum", sum.String(), "used", h.used.String(), "capacity", h.capacity.String())
	}
}

func (h *Host) record(kind string, o *Order, state, code string, ago anvilclock.Millis) {
	h.recorder.Record(Event{kind: kind, at: h.clock.Unix() - ago, order: o, state: state, code: code})
}

// snapshot copies the list of tasks, which changes while tasks end.
func (h *Host) snapshot() []*task { return append([]*task(nil), h.live...) }
