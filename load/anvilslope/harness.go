package anvilslope

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilclock"
)

// clock runs at a multiple of real time, so that a measurement needn't wait for periods that it doesn't measure. At
// speed 0 the loop does no periodic work besides its tick.
type clock struct {
	mu    sync.Mutex
	base  anvilclock.Millis
	since time.Time
	speed int64
}

func newClock() *clock { return &clock{base: 1_000_000, since: time.Now(), speed: 1} }

// Now implements anvilclock.Clock.
func (c *clock) Now() anvilclock.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now()
}

// now requires mu.
func (c *clock) now() anvilclock.Millis {
	return c.base + anvilclock.Millis(time.Since(c.since).Milliseconds()*c.speed)
}

// Unix implements anvilclock.Clock. It returns real time, because ids contain real time.
func (*clock) Unix() anvilclock.Millis { return anvilclock.Millis(time.Now().UnixMilli()) }

func (c *clock) setSpeed(speed int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.base, c.since, c.speed = c.now(), time.Now(), speed
}

// meter keeps the loop's gauges and the durations of its decisions.
type meter struct {
	mu        sync.Mutex
	gauges    map[string]int64
	updates   int
	decisions *hdrhistogram.Histogram
}

func newMeter() *meter {
	return &meter{gauges: map[string]int64{}, decisions: hdrhistogram.New(1, int64(time.Second), 3)}
}

// Count implements anvilcontrol.Meter.
func (*meter) Count(string) {}

// Gauge implements anvilcontrol.Meter.
func (m *meter) Gauge(name string, v int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[name] = v
	// The loop sets this gauge once in each update of the gauges.
	if name == "config.version" {
		m.updates++
	}
}

// updateCount returns how often the loop has updated its gauges.
func (m *meter) updateCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.updates
}

// Observe implements anvilcontrol.Meter.
func (m *meter) Observe(_ string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// The histogram rejects durations beyond its range of one second, so percentiles don't count them.
	_ = m.decisions.RecordValue(int64(d))
}

func (m *meter) gauge(name string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gauges[name]
}

// harness runs a control loop on a thread of its own, together with the environment that answers it.
type harness struct {
	plan      Plan
	clock     *clock
	meter     *meter
	inbox     *anvilcontrol.Inbox
	loop      *anvilcontrol.Loop
	env       *environment
	tid       int
	cancel    context.CancelFunc
	stop      chan struct{} // closed to end the environment
	wg        sync.WaitGroup
	ended     chan struct{} // closed when the loop has ended
	err       error         // result of the loop, valid once ended is closed
	closeOnce sync.Once
}

const (
	// fastSpeed is the speed of the clock while nothing is measured.
	fastSpeed = 20
	// escrowReturnTime is longer than the time after which shards give back allocations that they don't need.
	escrowReturnTime = anvilclock.Millis(4000)
	readyTimeout     = 20 * time.Second
	pollInterval     = 20 * time.Millisecond
	// maxQueueLength is above the length of every measured queue.
	maxQueueLength = 20_000
	maxQueueWait   = anvilclock.Millis(600_000)
)

// startHarness starts a loop and waits until it has taken over the fleet of the plan. The caller must close the
// returned harness.
func startHarness(ctx context.Context, p Plan) (*harness, error) {
	ctx, cancel := context.WithCancel(ctx)
	h := &harness{
		plan: p, clock: newClock(), meter: newMeter(), inbox: anvilcontrol.NewInbox(), cancel: cancel,
		stop: make(chan struct{}), ended: make(chan struct{}),
	}
	h.env = newEnvironment(p, h.inbox)
	var err error
	if h.loop, err = anvilcontrol.New(anvilcontrol.NewIdentity(self, self, "d0", selfRegion), h.inbox, h.env, h.env, h.env,
		anvilcontrol.WithClock(h.clock), anvilcontrol.WithMeter(h.meter), anvilcontrol.WithShards(p.shards),
		anvilcontrol.WithQueue(maxQueueLength, maxQueueWait)); err != nil {
		cancel()
		return nil, err
	}
	thread := make(chan int, 1)
	h.wg.Add(2)
	go h.run(ctx, h.loop, thread)
	go func() {
		defer h.wg.Done()
		h.env.postAnswers(h.stop)
	}()
	h.tid = <-thread
	if err := h.awaitReady(ctx); err != nil {
		return nil, errors.Join(err, h.close())
	}
	return h, nil
}

func (h *harness) run(ctx context.Context, l *anvilcontrol.Loop, thread chan<- int) {
	defer h.wg.Done()
	// The thread stays locked, so no other goroutine's CPU time counts on it, and it ends with this goroutine.
	runtime.LockOSThread()
	thread <- unix.Gettid()
	h.err = l.Run(ctx)
	close(h.ended)
}

var errLoopEnded = errors.New("the control loop has ended")

// receive waits for a reply of the loop. It fails when the loop has ended, because no reply comes then.
func receive[T any](h *harness, reply <-chan T) (v T, err error) {
	select {
	case v = <-reply:
		return v, nil
	case <-h.ended:
		return v, errLoopEnded
	}
}

// awaitReady waits until every worker is schedulable, every task is counted and unneeded allocations are given back.
func (h *harness) awaitReady(ctx context.Context) error {
	h.clock.setSpeed(fastSpeed)
	tasks := int64(h.plan.workers * h.plan.tasks)
	if err := h.awaitGauge(ctx, "workers.open", int64(h.plan.workers)); err != nil {
		return err
	}
	if err := h.awaitGauge(ctx, "tasks.running", tasks); err != nil {
		return err
	}
	return h.advance(ctx, escrowReturnTime)
}

// awaitGauge waits until a gauge has the value. It fails after readyTimeout.
func (h *harness) awaitGauge(ctx context.Context, name string, value int64) error {
	limit := time.NewTimer(readyTimeout)
	defer limit.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for h.meter.gauge(name) != value {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-limit.C:
			return fmt.Errorf("gauge %s is %d, not %d", name, h.meter.gauge(name), value)
		case <-poll.C:
		}
	}
	return nil
}

// advance waits until the loop's clock has advanced by d, at the fast speed.
func (h *harness) advance(ctx context.Context, d anvilclock.Millis) error {
	h.clock.setSpeed(fastSpeed)
	return sleep(ctx, d.Duration()/fastSpeed)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// close ends the loop and the environment and returns the error of the loop. It may be called again.
func (h *harness) close() error {
	h.closeOnce.Do(func() {
		h.cancel()
		<-h.ended
		close(h.stop)
		h.wg.Wait()
	})
	return h.err
}

// closeAndMeasure closes the harness and returns how many bytes of live objects the loop held.
func (h *harness) closeAndMeasure() (bytes float64, err error) {
	h.clock.setSpeed(0)
	before := liveHeap()
	if err := h.close(); err != nil {
		return 0, err
	}
	h.loop, h.inbox, h.env.inbox = nil, nil, nil
	return before - liveHeap(), nil
}

// liveHeap returns the bytes of live objects after a garbage collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpuTime returns the CPU time that the loop's thread has used.
func (h *harness) cpuTime() (time.Duration, error) { return threadTime(h.tid) }

// threadTime returns the CPU time of a thread of this process. The id of its clock is encoded as clock_getcpuclockid(3)
// does.
func threadTime(tid int) (time.Duration, error) {
	const perThread, scheduled = 4, 2
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^tid<<3|perThread|scheduled), &t); err != nil {
		return 0, fmt.Errorf("clock of thread %d: %w", tid, err)
	}
	return time.Duration(t.Nano()), nil
}

// processTime returns the CPU time of all threads of this process.
func processTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
