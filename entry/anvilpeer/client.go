package anvilpeer

import (
	"context"
	"time"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"anvilhold.org/entry/anvilcodec"
	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilrow"
)

const (
	defaultSubmitTimeout = 60 * time.Second
	defaultQueryTimeout  = 2 * time.Second
	// A forwarded task occupies its slot until it is answered. Forwarded tasks have slots of their own, so that they
	// can't delay summaries.
	defaultSubmitSlots = 4096
	defaultQuerySlots  = 256

	retryDelay anvilclock.Millis = 200
)

// Inbox receives the results. Post may block; it is called on goroutines of the requests, never on the caller's.
type Inbox interface {
	Post(m anvilcontrol.Message)
}

// Peers implements anvilcontrol.Peers. It is safe for concurrent use.
type Peers struct {
	inbox         Inbox
	pool          *pool
	submitTimeout time.Duration
	queryTimeout  time.Duration
	submitSlots   chan struct{}
	querySlots    chan struct{}
}

// Option configures a Peers.
type Option func(*Peers)

// WithClock replaces the system clock.
func WithClock(c anvilclock.Clock) Option { return func(p *Peers) { p.pool.clock = c } }

// WithCredentials sets the credentials of connections; the default is plain text.
func WithCredentials(c credentials.TransportCredentials) Option {
	return func(p *Peers) { p.pool.creds = c }
}

// WithTimeout sets the time limit of a forwarded task, and that of any other request, which may wait as long again for
// a free slot.
func WithTimeout(submit, query time.Duration) Option {
	return func(p *Peers) { p.submitTimeout, p.queryTimeout = submit, query }
}

// WithSlots sets how many forwarded tasks, and how many other requests, may be in flight.
func WithSlots(submits, queries int) Option {
	return func(p *Peers) {
		p.submitSlots, p.querySlots = make(chan struct{}, submits), make(chan struct{}, queries)
	}
}

// New returns a client for other entry instances. Connections are opened as they are needed.
func New(inbox Inbox, opts ...Option) *Peers {
	p := &Peers{
		inbox: inbox, submitTimeout: defaultSubmitTimeout, queryTimeout: defaultQueryTimeout,
		submitSlots: make(chan struct{}, defaultSubmitSlots), querySlots: make(chan struct{}, defaultQuerySlots),
		pool: &pool{conns: map[string]*connection{}, clock: anvilclock.NewSystem(), creds: insecure.NewCredentials()},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Close closes all connections; requests in flight fail.
func (p *Peers) Close() { p.pool.close() }

// Submit forwards a task and posts a Submitted message. It does not block; a task without a free slot is refused.
func (p *Peers) Submit(ref anvilcontrol.Ref, addr string, f anvilcontrol.Forward) {
	select {
	case p.submitSlots <- struct{}{}:
	default:
		go p.inbox.Post(anvilcontrol.NewSubmitted(ref, anvilcontrol.NewFailure(refuseNoSlot())))
		return
	}
	go func() {
		defer func() { <-p.submitSlots }()
		p.inbox.Post(anvilcontrol.NewSubmitted(ref, p.forward(addr, f)))
	}()
}

func (p *Peers) forward(addr string, f anvilcontrol.Forward) anvilcontrol.Result {
	var reply *SubmitReply
	if err := p.call(addr, p.submitTimeout, func(ctx context.Context, c PeerClient) (err error) {
		reply, err = c.Submit(ctx, submitRequest(f))
		return err
	}); err != nil {
		return anvilcontrol.NewFailure(err)
	}
	return parseResult(reply)
}

// Inspect forwards a query and posts an Inspected message. It does not block.
func (p *Peers) Inspect(ref anvilcontrol.Ref, addr string, q anvilcontrol.Query) {
	go func() {
		var reply *InspectReply
		if err := p.query(addr, func(ctx context.Context, c PeerClient) (err error) {
			reply, err = c.Inspect(ctx, inspectRequest(q))
			return err
		}); err != nil {
			p.inbox.Post(anvilcontrol.NewInspected(ref, anvilcontrol.NewStatusFailure(err)))
			return
		}
		p.inbox.Post(anvilcontrol.NewInspected(ref, parseStatus(reply)))
	}()
}

// Exchange sends a summary and posts an Exchanged message with that of the peer. It does not block.
func (p *Peers) Exchange(ref anvilcontrol.Ref, addr string, s anvilcontrol.Summary) {
	go func() { p.inbox.Post(p.exchange(ref, addr, s)) }()
}

func (p *Peers) exchange(ref anvilcontrol.Ref, addr string, s anvilcontrol.Summary) anvilcontrol.Exchanged {
	in, err := summary(s)
	if err != nil {
		return anvilcontrol.NewExchangeFailure(ref, refuseConversion(err))
	}
	var reply *Summary
	if err := p.query(addr, func(ctx context.Context, c PeerClient) (err error) {
		reply, err = c.Exchange(ctx, in)
		return err
	}); err != nil {
		return anvilcontrol.NewExchangeFailure(ref, err)
	}
	out, err := parseSummary(reply)
	if err != nil {
		return anvilcontrol.NewExchangeFailure(ref, refuseConversion(err))
	}
	return anvilcontrol.NewExchanged(ref, out)
}

// Push sends configuration rows and posts a Pushed message. It does not block.
func (p *Peers) Push(ref anvilcontrol.Ref, addr string, rows []anvilrow.Row, version int64) {
	go func() {
		v, err := p.push(addr, rows, version)
		p.inbox.Post(anvilcontrol.NewPushed(ref, v, err))
	}()
}

func (p *Peers) push(addr string, rows []anvilrow.Row, version int64) (int64, *anvilerror.Error) {
	list, err := anvilcodec.Rows(rows)
	if err != nil {
		return 0, refuseConversion(err)
	}
	var reply *PushReply
	if err := p.query(addr, func(ctx context.Context, c PeerClient) (err error) {
		reply, err = c.Push(ctx, PushRequest_builder{Rows: list, Version: version}.Build())
		return err
	}); err != nil {
		return 0, err
	}
	return reply.GetVersion(), nil
}

// query makes a request other than Submit. Its wait for a slot and the request itself are each limited by
// queryTimeout.
func (p *Peers) query(addr string, rpc func(context.Context, PeerClient) error) *anvilerror.Error {
	timer := time.NewTimer(p.queryTimeout)
	defer timer.Stop()
	select {
	case p.querySlots <- struct{}{}:
	case <-timer.C:
		return refuseNoSlot()
	}
	defer func() { <-p.querySlots }()
	return p.call(addr, p.queryTimeout, rpc)
}

func (p *Peers) call(addr string, timeout time.Duration, rpc func(context.Context, PeerClient) error) *anvilerror.Error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ctx, sent := withSent(ctx)
	c, release, err := p.pool.acquire(addr)
	if err != nil {
		return refuseUnreachable(err)
	}
	defer release()
	if err := rpc(ctx, NewPeerClient(c.conn)); err != nil {
		switch {
		case !sent.Load() && c.dialer.refused.Load():
			return anvilerror.Refuse(anvilerror.NoOwner, "no entry instance listens at "+addr,
				anvilerror.WithRetry(retryDelay), anvilerror.WithCause(err))
		case !sent.Load():
			return refuseUnreachable(err)
		}
		return anvilerror.UnknownOutcome(anvilerror.Lost, "the entry instance did not answer", anvilerror.WithCause(err))
	}
	return nil
}

func refuseUnreachable(err error) *anvilerror.Error {
	return anvilerror.Refuse(anvilerror.Lost, "the entry instance can't be reached",
		anvilerror.WithRetry(retryDelay), anvilerror.WithCause(err))
}

func refuseConversion(err error) *anvilerror.Error {
	return anvilerror.Refuse(anvilerror.Internal, "the message can't be converted", anvilerror.WithCause(err))
}

func refuseNoSlot() *anvilerror.Error {
	return anvilerror.Refuse(anvilerror.QueueFull, "too many requests to entry instances are in flight",
		anvilerror.WithRetry(retryDelay))
}
