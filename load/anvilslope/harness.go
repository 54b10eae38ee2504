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

// clock runs at a multiple of the speed of the machine's clock, so that phases that aren't measured take less time. At
// speed 0 the loop does no periodic work except its tick.
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

func (c *clock) now() anvilclock.Millis {
	return c.base + anvilclock.Millis(time.Since(c.since).Milliseconds()*c.speed)
}

// Unix implements anvilclock.Clock. It returns the time of the machine, because ids contain that time.
func (*clock) Unix() anvilclock.Millis { return anvilclock.Millis(time.Now().UnixMilli()) }

func (c *clock) setSpeed(speed int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.base, c.since, c.speed = c.now(), time.Now(), speed
}

// meter keeps the newest gauges of the loop and the distribution of its decision times.
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
	// The loop sets all gauges together, so one of them suffices to count the updates.
	if name == "config.version" {
		m.updates++
	}
}

// updateCount returns how often the gauges were updated.
func (m *meter) updateCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.updates
}

// Observe implements anvilcontrol.Meter.
func (m *meter) Observe(_ string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A value out of range is left out of the percentiles.
	_ = m.decisions.RecordValue(int64(d))
}

func (m *meter) gauge(name string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gauges[name]
}

// harness runs a control loop on a thread of its own, with stubs of the table, the workers and the peers.
type harness struct {
	plan   Plan
	clock  *clock
	meter  *meter
	inbox  *anvilcontrol.Inbox
	loop   *anvilcontrol.Loop
	env    *environment
	thread int
	cancel context.CancelFunc
	stop   chan struct{}
	done   sync.WaitGroup
	ended  chan struct{} // closed when the loop has ended
	err    error         // error of the loop, valid after ended is closed
	closed sync.Once
}

const (
	// fastSpeed is the speed of the clock while a harness starts, and between measurements.
	fastSpeed = 20
	// escrowReturnTime is enough for the loop to return the escrow allocations that no shard needs.
	escrowReturnTime = anvilclock.Millis(4000)
	readyTimeout     = 20 * time.Second
	pollInterval     = 20 * time.Millisecond
	// maxQueueLength is longer than every queue that is measured.
	maxQueueLength = 20_000
	maxQueueWait   = anvilclock.Millis(600_000)
)

// open starts a loop and waits until it controls the fleet of the plan. Close the harness after use.
func open(ctx context.Context, p Plan) (*harness, error) {
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
	h.done.Add(2)
	go h.run(ctx, h.loop, thread)
	go func() {
		defer h.done.Done()
		h.env.run(h.stop)
	}()
	h.thread = <-thread
	if err := h.awaitFleet(ctx); err != nil {
		return nil, errors.Join(err, h.close())
	}
	return h, nil
}

func (h *harness) run(ctx context.Context, l *anvilcontrol.Loop, thread chan<- int) {
	defer h.done.Done()
	// The thread is not unlocked, so that it ends with the goroutine and runs no other goroutine.
	runtime.LockOSThread()
	thread <- unix.Gettid()
	h.err = l.Run(ctx)
	close(h.ended)
}

var errEnded = errors.New("the control loop has ended")

// receive waits for a reply of the loop. It returns errEnded if the loop has ended, because no reply would come then.
func receive[T any](h *harness, reply <-chan T) (v T, err error) {
	select {
	case v = <-reply:
		return v, nil
	case <-h.ended:
		return v, errEnded
	}
}

// awaitFleet waits until the loop has made every worker schedulable and counted every task.
func (h *harness) awaitFleet(ctx context.Context) error {
	h.clock.setSpeed(fastSpeed)
	want := int64(h.plan.workers * h.plan.tasks)
	if err := h.await(ctx, "workers.open", int64(h.plan.workers)); err != nil {
		return err
	}
	if err := h.await(ctx, "tasks.running", want); err != nil {
		return err
	}
	if err := h.advance(ctx, escrowReturnTime); err != nil {
		return err
	}
	return h.awaitAnswer(ctx)
}

// awaitAnswer waits at normal speed until the loop answers a call. While the clock ran at fastSpeed, a thread that was not
// scheduled for a tenth of a second missed seconds of it, so that leases and the confirmation of the configuration expired.
func (h *harness) awaitAnswer(ctx context.Context) error {
	h.clock.setSpeed(1)
	limit := time.Now().Add(readyTimeout)
	for {
		err := callRequest.send(h)(1)
		if err == nil || time.Now().After(limit) {
			return err
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// await waits until a gauge has a value, at most for readyTimeout.
func (h *harness) await(ctx context.Context, name string, want int64) error {
	limit := time.NewTimer(readyTimeout)
	defer limit.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for h.meter.gauge(name) != want {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-limit.C:
			return fmt.Errorf("%s is %d, want %d", name, h.meter.gauge(name), want)
		case <-poll.C:
		}
	}
	return nil
}

// advance waits until d has passed on the loop's clock, at fastSpeed.
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

// close ends the loop and its stubs, and returns the error of the loop. It may be called again.
func (h *harness) close() error {
	h.closed.Do(func() {
		h.cancel()
		<-h.ended
		close(h.stop)
		h.done.Wait()
	})
	return h.err
}

// release ends the loop and returns the memory in bytes that this frees.
func (h *harness) release() (bytes float64, err error) {
	h.clock.setSpeed(0)
	before := heap()
	if err := h.close(); err != nil {
		return 0, err
	}
	h.loop, h.inbox, h.env.inbox = nil, nil, nil
	return before - heap(), nil
}

// heap collects the garbage and returns the bytes of live objects.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpu returns the processor time of the loop's thread.
func (h *harness) cpu() (time.Duration, error) { return threadTime(h.thread) }

// threadTime reads the clock of a thread of this process; see clock_getcpuclockid(3).
func threadTime(tid int) (time.Duration, error) {
	const perThread, scheduled = 4, 2
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^tid<<3|perThread|scheduled), &t); err != nil {
		return 0, fmt.Errorf("clock of thread %d: %w", tid, err)
	}
	return time.Duration(t.Nano()), nil
}

// processTime returns the processor time of all threads of this process.
func processTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
