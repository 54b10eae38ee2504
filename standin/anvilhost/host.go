// Package anvilhost holds the control state of a stand-in worker: capacity, the epoch and lease of each shard, live
// tasks and recently ended tasks. It does no I/O and reads time from a clock that tests can replace. A Host is not safe
// for concurrent use; one goroutine owns it.
//
// Every request first stops the tasks of shards whose lease has expired and is only then carried out. A process that was
// paused and resumed therefore does no work for such a task.
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

// Event numbers of the log lines for violated invariants.
const (
	ViolatedCapacity = 4001
	ViolatedEpoch    = 4002
	ViolatedOnce     = 4003
)

// Objects reads and writes checkpoints in the object store. Both methods return at once; the results are delivered to
// Host.Saved and Host.Loaded. budget is how long the request may take; after that it must have no effect.
type Objects interface {
	Save(task, object string, data []byte, budget anvilclock.Millis)
	Load(task, object string, budget anvilclock.Millis)
}

// Recorder writes the trace of task events. Record returns after the event has been written.
type Recorder interface {
	Record(e Event)
}

// Alarm receives reports of violated invariants. args are alternating keys and values for the log.
type Alarm interface {
	Violated(number int, message string, args ...any)
}

// Rand selects the starts that are made to fail.
type Rand interface {
	// Percent returns a random number from 0 to 99.
	Percent() int
}

// Limits of the worker's state.
const (
	maxShards = 64
	// maxLive bounds the number of live tasks, because tasks of size zero aren't limited by the capacity.
	maxLive = 8192
	// maxLease is the longest lease of a fence. It is far above the default of 8,000 ms and keeps a wrong value from
	// leaving tasks running for hours without their owner.
	maxLease anvilclock.Millis = 600_000
)

// codeLease is the reason code of tasks that were stopped because the lease of their shard expired.
const codeLease = "lease"

// Host is the control state of one worker process.
type Host struct {
	id          string
	boot        string
	capacity    anvilsize.Size
	clock       anvilclock.Clock
	objects     Objects
	recorder    Recorder
	alarm       Alarm
	random      Rand
	usageLag    anvilclock.Millis
	failPercent int

	chart    *anvilchart.Chart
	binding  *anvilchart.Binding[*task]
	shards   map[string]*shard
	tasks    map[string]*task
	live     []*task // in the order of their starts
	used     anvilsize.Size
	ended    *endedLog
	lastTick anvilclock.Millis // time up to which work has been credited to tasks
	leaving  bool
}

// Option sets an optional part of a Host.
type Option func(*Host)

// WithClock replaces the system clock.
func WithClock(c anvilclock.Clock) Option { return func(h *Host) { h.clock = c } }

// WithUsageLag sets the age that a task must have before its resource usage is reported; until then it is zero.
func WithUsageLag(d anvilclock.Millis) Option { return func(h *Host) { h.usageLag = d } }

// WithStartFailures makes the given percentage of the started tasks fail at once.
func WithStartFailures(percent int, random Rand) Option {
	return func(h *Host) { h.failPercent, h.random = percent, random }
}

// New returns a worker without tasks. boot is an id that is unique to this start of the process.
func New(id, boot string, size anvilsize.Size, obj Objects, rec Recorder, alarm Alarm, opts ...Option) (*Host, error) {
	h := &Host{
		id: id, boot: boot, capacity: size, objects: obj, recorder: rec, alarm: alarm,
		clock:  anvilclock.NewSystem(),
		shards: map[string]*shard{}, tasks: map[string]*task{}, ended: newEndedLog(),
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
	h.lastTick = h.clock.Now()
	return h, nil
}

// ID returns the id of the worker, which stays the same when the process is restarted.
func (h *Host) ID() string { return h.id }

// Boot returns the id of this start of the worker process.
func (h *Host) Boot() string { return h.boot }

// Size returns the worker's total capacity.
func (h *Host) Size() anvilsize.Size { return h.capacity }

// Leave makes the worker refuse all further starts.
func (h *Host) Leave() { h.leaving = true }

// Drained reports whether no task is live and every shard owner with a valid lease has read all ended tasks.
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

// Abort stops all live tasks. It is called before the process exits.
func (h *Host) Abort() {
	h.Tick()
	for _, t := range h.liveTasks() {
		h.stop(t, "stop", string(anvilerror.Leaving))
	}
}

// reserve adds the size of t to the used capacity; release subtracts it.
func (h *Host) reserve(t *task) {
	h.used = h.used.Add(t.req.size)
	h.checkCapacity()
}

func (h *Host) release(t *task) {
	h.used = h.used.Sub(t.req.size)
	h.checkCapacity()
}

// checkCapacity asserts that the used capacity equals the sum of the live tasks' sizes and fits the worker.
func (h *Host) checkCapacity() {
	var sum anvilsize.Size
	for _, t := range h.live {
		sum = sum.Add(t.req.size)
	}
	if sum != h.used || !sum.Fits(h.capacity) {
		h.alarm.Violated(ViolatedCapacity, "sizes of tasks exceed the capacity",
			"sum", sum.String(), "used", h.used.String(), "capacity", h.capacity.String())
	}
}

// record writes an event to the trace. age is how long ago it happened.
func (h *Host) record(kind string, req *StartRequest, state, code string, age anvilclock.Millis) {
	h.recorder.Record(Event{kind: kind, at: h.clock.Unix() - age, req: req, state: state, code: code})
}

// liveTasks returns a copy of the list of live tasks, which changes while a caller ends tasks.
func (h *Host) liveTasks() []*task { return append([]*task(nil), h.live...) }
