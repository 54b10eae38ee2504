// Package anvilbackend sends the control loop's requests to workers over HTTP.
//
// Each start is sent at most once. Its outcome is "not run" only if the request was never written or the worker refused
// it, and "unknown" if the connection failed later.
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
	defaultControlTimeout = 2 * time.Second
	defaultStartTimeout   = 60 * time.Second
	// A service request occupies its slot until the task ends. Starts have slots of their own, so that they can't delay
	// fences, which renew leases.
	defaultStartSlots   = 4096
	defaultControlSlots = 1024
	// For the same reason, fences and controls have a few connections of their own to each worker.
	startConns   = 1024
	controlConns = 4
	// A worker's list of ended tasks contains results of up to 1 MiB each.
	maxResponse = 64 << 20
	// A start that finds no free slot may be retried once starts in flight have ended.
	slotRetryDelay anvilclock.Millis = 200
)

// Inbox receives the results. Post may block; it is called on the request's goroutine, never on the caller's.
type Inbox interface {
	Post(m anvilcontrol.Message)
}

// Backends implements anvilcontrol.Backends. It is safe for concurrent use.
type Backends struct {
	inbox          Inbox
	instance       string
	startClient    *anvilhttp.Client
	controlClient  *anvilhttp.Client
	startTimeout   time.Duration
	controlTimeout time.Duration
	startSlots     chan struct{}
	controlSlots   chan struct{}
}

// Option configures a Backends.
type Option func(*Backends)

// WithTimeout sets the time limit of a start, and that of a fence or control including its wait for a slot.
func WithTimeout(start, control time.Duration) Option {
	return func(b *Backends) { b.startTimeout, b.controlTimeout = start, control }
}

// WithSlots limits the number of starts in flight, and of fences and controls together.
func WithSlots(starts, controls int) Option {
	return func(b *Backends) {
		b.startSlots, b.controlSlots = make(chan struct{}, starts), make(chan struct{}, controls)
	}
}

// New returns a client of the workers that posts results to inbox. instance is the id of this entry instance.
func New(inbox Inbox, instance string, opts ...Option) *Backends {
	b := &Backends{
		inbox: inbox, instance: instance,
		startClient:   anvilhttp.New(anvilhttp.WithConns(startConns)),
		controlClient: anvilhttp.New(anvilhttp.WithConns(controlConns), anvilhttp.WithMaxResponse(maxResponse)),
		startTimeout:  defaultStartTimeout, controlTimeout: defaultControlTimeout,
		startSlots: make(chan struct{}, defaultStartSlots), controlSlots: make(chan struct{}, defaultControlSlots),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Close closes idle connections. It does not wait for requests in flight.
func (b *Backends) Close() {
	b.startClient.Close()
	b.controlClient.Close()
}

// Fence installs a shard's epoch at a worker, renews the worker's lease, and posts a Fenced message. It does not block.
func (b *Backends) Fence(ref anvilcontrol.Ref, addr string, f anvilcontrol.Fence) {
	in := anvilwire.Fence_builder{
		Shard: f.Shard(), Epoch: f.Epoch(), Holder: b.instance, Lease: int64(f.Lease()), Cursor: f.Cursor(),
	}.Build()
	go func() {
		var out anvilwire.Fenced
		if err := b.postControl(url(addr, "fence"), func(ctx context.Context, u string) error {
			return b.controlClient.Post(ctx, u, in, &out)
		}); err != nil {
			b.inbox.Post(anvilcontrol.NewFenceFailure(ref, err))
			return
		}
		b.inbox.Post(parseFenced(ref, &out))
	}()
}

// Control changes the state of a task at a worker and posts a Controlled message. It does not block.
func (b *Backends) Control(ref anvilcontrol.Ref, addr string, c anvilcontrol.Control) {
	in := anvilwire.Control_builder{Shard: c.Shard(), Epoch: c.Epoch(), Id: c.ID(), Op: string(c.Op()), Until: int64(c.Until())}.Build()
	go func() {
		var out anvilwire.Controlled
		if err := b.postControl(url(addr, "control"), func(ctx context.Context, u string) error {
			return b.controlClient.Post(ctx, u, in, &out)
		}); err != nil {
			b.inbox.Post(anvilcontrol.NewControlFailure(ref, err))
			return
		}
		b.inbox.Post(anvilcontrol.NewControlled(ref, out.GetOk(), out.GetCode(), out.GetState(), out.GetBoot(), out.GetAnswer()))
	}()
}

// Start sends a task to a worker and posts a Started message; the worker answers a service request only when its task
// has ended. It does not block.
func (b *Backends) Start(ref anvilcontrol.Ref, addr string, s anvilcontrol.Start) {
	b.send(ref, addr, startMessage(s))
}

func (b *Backends) send(ref anvilcontrol.Ref, addr string, in *anvilwire.Start) {
	// The slot is acquired before the goroutine starts, so that a start without a slot fails at once. Its result is
	// posted by a goroutine, because the caller is the control loop, which must not wait for its own inbox.
	select {
	case b.startSlots <- struct{}{}:
	default:
		go b.inbox.Post(anvilcontrol.NewStartFailure(ref, anvilerror.Refuse(anvilerror.NoCapacity,
			"too many starts are in flight", anvilerror.WithRetry(slotRetryDelay))))
		return
	}
	go func() {
		defer func() { <-b.startSlots }()
		out, err := b.postStart(addr, in)
		if err != nil {
			b.inbox.Post(anvilcontrol.NewStartFailure(ref, err))
			return
		}
		b.inbox.Post(anvilcontrol.NewStarted(ref, out.GetState(), out.GetCode(), out.GetReason(), out.GetAnswer()))
	}()
}

func (b *Backends) postStart(addr string, in *anvilwire.Start) (*anvilwire.Started, *anvilerror.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), b.startTimeout)
	defer cancel()
	var out anvilwire.Started
	if err := b.startClient.Post(ctx, url(addr, "start"), in, &out); err != nil {
		return nil, classify(err)
	}
	return &out, nil
}

// postControl sends a fence or control request. The timeout includes the wait for a slot.
func (b *Backends) postControl(u string, post func(context.Context, string) error) *anvilerror.Error {
	ctx, cancel := context.WithTimeout(context.Background(), b.controlTimeout)
	defer cancel()
	select {
	case b.controlSlots <- struct{}{}:
	case <-ctx.Done():
		return anvilerror.Refuse(anvilerror.NoCapacity, "too many requests to workers are in flight")
	}
	defer func() { <-b.controlSlots }()
	if err := post(ctx, u); err != nil {
		return classify(err)
	}
	return nil
}

// classify returns the error, with its outcome, of a failed request. A 4xx status means that the worker refused the
// message and did nothing.
func classify(err error) *anvilerror.Error {
	var e *anvilhttp.Error
	switch {
	case errors.As(err, &e) && !e.Sent():
		return anvilerror.Refuse(anvilerror.NoOwner, "the worker can't be reached", anvilerror.WithCause(err))
	case e != nil && e.Status() >= 400 && e.Status() < 500:
		return anvilerror.Refuse(anvilerror.Internal, "the worker refused the message", anvilerror.WithCause(err))
	default:
		return anvilerror.UnknownOutcome(anvilerror.Lost, "the worker did not answer", anvilerror.WithCause(err))
	}
}

func url(addr, op string) string { return "http://" + addr + "/v1/" + op }

func startMessage(s anvilcontrol.Start) *anvilwire.Start {
	t := s.Task()
	return anvilwire.Start_builder{
		Shard: s.Shard(), Epoch: s.Epoch(), Id: s.ID(), Job: s.Job(), Hold: s.Hold(), Resume: s.Checkpoint(),
		Team: t.Team(), Kind: string(t.Kind()), Size: anvilcodec.Size(t.Size()), Body: t.Body(), Once: t.NonIdempotent(),
		Run: int64(t.RunTime()), Until: int64(s.Until()),
	}.Build()
}

func parseFenced(ref anvilcontrol.Ref, m *anvilwire.Fenced) anvilcontrol.Fenced {
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
