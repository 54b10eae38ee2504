// Package anvilbackend sends the control loop's requests to workers over HTTP.
//
// A start is acknowledged at most once: it counts as not run only when the request was never
// written, and as unknown when the connection broke later.
package anvilbackend

import (
	"context"
	"errors"
	"time"

	"anvilhold.org/entry/anvilcodec"
	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/entry/anvilhttp"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilwire"
)

const (
	controlTimeout = 2 * time.Second
	startTimeout   = 60 * time.Second
	// A service request occupies its slot until the worker answers, so starts have slots of their
	// own and can't hold up fences, which renew leases.
	startSlots   = 4096
	controlSlots = 1024
	// The same holds for connections: fences have a few to each worker that calls can't take.
	startConns   = 1024
	controlConns = 4
	// A worker's list of ended tasks carries answers of up to 1 MiB each.
	answerLimit = 64 << 20
	// A start without a free slot may be tried again when calls in flight have ended.
	slotRetry anvilclock.Millis = 200
)

// Inbox takes the results.
type Inbox interface {
	Post(m anvilcontrol.Message)
}

// Backends implements anvilcontrol.Backends.
type Backends struct {
	inbox    Inbox
	holder   string
	calls    *anvilhttp.Client
	steers   *anvilhttp.Client
	start    time.Duration
	control  time.Duration
	starts   chan struct{}
	controls chan struct{}
}

// Option sets an optional part of a Backends.
type Option func(*Backends)

// WithTimeout sets how long a start waits for its answer, and a fence or control for its.
func WithTimeout(start, control time.Duration) Option {
	return func(b *Backends) { b.start, b.control = start, control }
}

// WithSlots bounds the starts, and the fences and controls, that are in flight.
func WithSlots(starts, controls int) Option {
	return func(b *Backends) { b.starts, b.controls = make(chan struct{}, starts), make(chan struct{}, controls) }
}

// New returns a client of the workers. holder is the id of this entry instance.
func New(inbox Inbox, holder string, opts ...Option) *Backends {
	b := &Backends{
		inbox: inbox, holder: holder,
		calls:  anvilhttp.New(anvilhttp.WithConns(startConns)),
		steers: anvilhttp.New(anvilhttp.WithConns(controlConns), anvilhttp.WithAnswer(answerLimit)),
		start:  startTimeout, control: controlTimeout,
		starts: make(chan struct{}, startSlots), controls: make(chan struct{}, controlSlots),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Close closes idle connections.
func (b *Backends) Close() {
	b.calls.Close()
	b.steers.Close()
}

// Fence installs an epoch at a worker and posts a Fenced message.
func (b *Backends) Fence(ref anvilcontrol.Ref, addr string, f anvilcontrol.Fence) {
	in := anvilwire.Fence_builder{
		Shard: f.Shard(), Epoch: f.Epoch(), Holder: b.holder, Lease: int64(f.Lease()), Cursor: f.Cursor(),
	}.Build()
	go func() {
		var out anvilwire.Fenced
		if err := b.steer(url(addr, "fence"), func(ctx context.Context, u string) error {
			return b.steers.Post(ctx, u, in, &out)
		}); err != nil {
			b.inbox.Post(anvilcontrol.NewFenceFailure(ref, err))
			return
		}
		b.inbox.Post(fenced(ref, &out))
	}()
}

// Control changes a task at a worker and posts a Controlled message.
func (b *Backends) Control(ref anvilcontrol.Ref, addr string, c anvilcontrol.Control) {
	in := anvilwire.Control_builder{Shard: c.Shard(), Epoch: c.Epoch(), Id: c.ID(), Op: string(c.Op()), Until: int64(c.Until())}.Build()
	go func() {
		var out anvilwire.Controlled
		if err := b.steer(url(addr, "control"), func(ctx context.Context, u string) error {
			return b.steers.Post(ctx, u, in, &out)
		}); err != nil {
			b.inbox.Post(anvilcontrol.NewControlFailure(ref, err))
			return
		}
		b.inbox.Post(anvilcontrol.NewControlled(ref, out.GetOk(), out.GetCode(), out.GetState(), out.GetBoot(), out.GetAnswer()))
	}()
}

// Start sends a task to a worker and posts a Started message.
func (b *Backends) Start(ref anvilcontrol.Ref, addr string, s anvilcontrol.Start) {
	b.send(ref, addr, start(s))
}

func (b *Backends) send(ref anvilcontrol.Ref, addr string, in *anvilwire.Start) {
	// The slot is taken here and not in the goroutine: a start that finds none is refused at once.
	// Its result is posted from a goroutine because the loop must not wait for its own inbox.
	select {
	case b.starts <- struct{}{}:
	default:
		go b.inbox.Post(anvilcontrol.NewStartFailure(ref, anvilerror.Refuse(anvilerror.NoRoom,
			"too many starts are in flight", anvilerror.WithRetry(slotRetry))))
		return
	}
	go func() {
		defer func() { <-b.starts }()
		out, err := b.run(addr, in)
		if err != nil {
			b.inbox.Post(anvilcontrol.NewStartFailure(ref, err))
			return
		}
		b.inbox.Post(anvilcontrol.NewStarted(ref, out.GetState(), out.GetCode(), out.GetReason(), out.GetAnswer()))
	}()
}

func (b *Backends) run(addr string, in *anvilwire.Start) (*anvilwire.Started, *anvilerror.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), b.start)
	defer cancel()
	var out anvilwire.Started
	if err := b.calls.Post(ctx, url(addr, "start"), in, &out); err != nil {
		return nil, classify(err)
	}
	return &out, nil
}

// steer makes a fence or control request within its timeout, which includes the wait for a slot.
func (b *Backends) steer(u string, post func(context.Context, string) error) *anvilerror.Error {
	ctx, cancel := context.WithTimeout(context.Background(), b.control)
	defer cancel()
	select {
	case b.controls <- struct{}{}:
	case <-ctx.Done():
		return anvilerror.Refuse(anvilerror.NoRoom, "too many requests to workers are in flight")
	}
	defer func() { <-b.controls }()
	if err := post(ctx, u); err != nil {
		return classify(err)
	}
	return nil
}

// classify turns a failed request into an outcome. A status of 4xx says that the worker rejected
// the message and did nothing.
func classify(err error) *anvilerror.Error {
	var e *anvilhttp.Error
	switch {
	case errors.As(err, &e) && !e.Sent():
		return anvilerror.Refuse(anvilerror.NoOwner, "the worker can't be reached", anvilerror.WithCause(err))
	case e != nil && e.Status() >= 400 && e.Status() < 500:
		return anvilerror.Refuse(anvilerror.Internal, "the worker rejected the message", anvilerror.WithCause(err))
	default:
		return anvilerror.UnknownOutcome(anvilerror.Lost, "the worker did not answer", anvilerror.WithCause(err))
	}
}

func url(addr, op string) string { return "http://" + addr + "/v1/" + op }

func start(s anvilcontrol.Start) *anvilwire.Start {
	t := s.Task()
	return anvilwire.Start_builder{
		Shard: s.Shard(), Epoch: s.Epoch(), Id: s.ID(), Job: s.Job(), Hold: s.Hold(), Resume: s.Checkpoint(),
		Team: t.Team(), Kind: string(t.Kind()), Size: anvilcodec.Size(t.Size()), Body: t.Body(), Once: t.Once(),
		Run: int64(t.Run()), Until: int64(s.Until()),
	}.Build()
}

func fenced(ref anvilcontrol.Ref, m *anvilwire.Fenced) anvilcontrol.Fenced {
	tasks := make([]anvilcontrol.RunningTask, 0, len(m.GetTasks()))
	for _, t := range m.GetTasks() {
		tasks = append(tasks, anvilcontrol.NewRunningTask(t.GetId(), t.GetJob(), t.GetTeam(), anviltask.Kind(t.GetKind()),
			anvilcodec.ParseSize(t.GetSize()), anvilcodec.ParseSize(t.GetUse()), t.GetState(), t.GetOnce()))
	}
	ended := make([]anvilcontrol.EndedTask, 0, len(m.GetEnded()))
	for _, t := range m.GetEnded() {
		ended = append(ended, anvilcontrol.NewEndedTask(t.GetId(), t.GetJob(), t.GetTeam(), t.GetState(), t.GetCode(),
			t.GetOnce(), anvilclock.Millis(t.GetAge()), t.GetAnswer()))
	}
	return anvilcontrol.NewFenced(ref, m.GetOk(), m.GetEpoch(), m.GetBoot(), anvilcodec.ParseSize(m.GetSize()),
		tasks, ended, m.GetCursor()).WithWorkerClock(anvilclock.Millis(m.GetNow()))
}
