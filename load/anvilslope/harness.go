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

// clock runs at a multiple of the machine's time, so that a run needn't wait for what it doesn't
// measure. At speed 0 the loop has no periodic work besides its tick.
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

// Unix implements anvilclock.Clock. It is the machine's, because ids carry the machine's time.
func (*clock) Unix() anvilclock.Millis { return anvilclock.Millis(time.Now().UnixMilli()) }

func (c *clock) run(speed int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.base, c.since, c.speed = c.now(), time.Now(), speed
}

// meter keeps the loop's gauges and the times of its decisions.
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
	// The name stands for the whole update.
	if name == "config.version" {
		m.updates++
	}
}

// updated returns how often the gauges were updated.
func (m *meter) updated() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.updates
}

// Observe implements anvilcontrol.Meter.
func (m *meter) Observe(_ string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A value out of range is counted by no percentile.
	_ = m.decisions.RecordValue(int64(d))
}

func (m *meter) gauge(name string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.gauges[name]
}

// rig is a control loop on a thread of its own with the world around it.
type rig struct {
	plan   Plan
	clock  *clock
	meter  *meter
	inbox  *anvilcontrol.Inbox
	loop   *anvilcontrol.Loop
	world  *world
	thread int
	cancel context.CancelFunc
	stop   chan struct{}
	done   sync.WaitGroup
	over   chan struct{} // closed when the loop has ended
	err    error         // with which it ended
	closed sync.Once
}

const (
	// fast is the speed of the clock while a rig gets ready.
	fast = 20
	// settleTime covers the time after which unneeded parts of limits go back.
	settleTime = anvilclock.Millis(4000)
	readyLimit = 20 * time.Second
	pollEvery  = 20 * time.Millisecond
	// queueBound is above every queue that is measured.
	queueBound = 20_000
	waitTime   = anvilclock.Millis(600_000)
)

// open starts a loop and waits until it has taken over the fleet of the plan.
func open(ctx context.Context, p Plan) (*rig, error) {
	ctx, cancel := context.WithCancel(ctx)
	r := &rig{
		plan: p, clock: newClock(), meter: newMeter(), inbox: anvilcontrol.NewInbox(), cancel: cancel,
		stop: make(chan struct{}), over: make(chan struct{}),
	}
	r.world = newWorld(p, r.inbox)
	var err error
	if r.loop, err = anvilcontrol.New(anvilcontrol.NewIdentity(self, self, "d0", selfRegion), r.inbox, r.world, r.world, r.world,
		anvilcontrol.WithClock(r.clock), anvilcontrol.WithMeter(r.meter), anvilcontrol.WithShards(p.shards),
		anvilcontrol.WithQueue(queueBound, waitTime)); err != nil {
		cancel()
		return nil, err
	}
	thread := make(chan int, 1)
	r.done.Add(2)
	go r.run(ctx, r.loop, thread)
	go func() {
		defer r.done.Done()
		r.world.answer(r.stop)
	}()
	r.thread = <-thread
	if err := r.settle(ctx); err != nil {
		return nil, errors.Join(err, r.close())
	}
	return r, nil
}

func (r *rig) run(ctx context.Context, l *anvilcontrol.Loop, thread chan<- int) {
	defer r.done.Done()
	// The thread is not unlocked, so it ends with the goroutine and its time is not mixed with others.
	runtime.LockOSThread()
	thread <- unix.Gettid()
	r.err = l.Run(ctx)
	close(r.over)
}

var errOver = errors.New("the control loop has ended")

// receive waits for a reply of the loop, which owes none when it has ended.
func receive[T any](r *rig, reply <-chan T) (v T, err error) {
	select {
	case v = <-reply:
		return v, nil
	case <-r.over:
		return v, errOver
	}
}

// settle waits until every worker is open and every task is counted.
func (r *rig) settle(ctx context.Context) error {
	r.clock.run(fast)
	want := int64(r.plan.workers * r.plan.tasks)
	if err := r.await(ctx, "workers.open", int64(r.plan.workers)); err != nil {
		return err
	}
	if err := r.await(ctx, "tasks.running", want); err != nil {
		return err
	}
	return r.pass(ctx, settleTime)
}

// await waits until a gauge has a value.
func (r *rig) await(ctx context.Context, name string, want int64) error {
	limit := time.NewTimer(readyLimit)
	defer limit.Stop()
	poll := time.NewTicker(pollEvery)
	defer poll.Stop()
	for r.meter.gauge(name) != want {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-limit.C:
			return fmt.Errorf("%s is %d and not %d", name, r.meter.gauge(name), want)
		case <-poll.C:
		}
	}
	return nil
}

// pass lets the loop's time go on by d at the fast speed.
func (r *rig) pass(ctx context.Context, d anvilclock.Millis) error {
	r.clock.run(fast)
	return sleep(ctx, d.Duration()/fast)
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

// close ends the loop; a second call changes nothing.
func (r *rig) close() error {
	r.closed.Do(func() {
		r.cancel()
		<-r.over
		close(r.stop)
		r.done.Wait()
	})
	return r.err
}

// release ends the loop and returns the memory that it held.
func (r *rig) release() (bytes float64, err error) {
	r.clock.run(0)
	before := heap()
	if err := r.close(); err != nil {
		return 0, err
	}
	r.loop, r.inbox, r.world.inbox = nil, nil, nil
	return before - heap(), nil
}

// heap returns the bytes of live objects.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpu returns the processor time of the control goroutine's thread.
func (r *rig) cpu() (time.Duration, error) { return threadTime(r.thread) }

// threadTime reads the clock of a thread of this process; see clock_getcpuclockid(3).
func threadTime(tid int) (time.Duration, error) {
	const perThread, scheduled = 4, 2
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^tid<<3|perThread|scheduled), &t); err != nil {
		return 0, fmt.Errorf("clock of thread %d: %w", tid, err)
	}
	return time.Duration(t.Nano()), nil
}

// processTime returns the processor time of all threads.
func processTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_PROCESS_CPUTIME_ID, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
