package anvillink

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"anvilhold.org/entry/anvilintake"
	"anvilhold.org/entry/anvilscheduler"
	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

const (
	// dialTimeout bounds connecting: a machine without power doesn't answer.
	dialTimeout = 600 * time.Millisecond
	// redialMost is the longest pause between two tries to connect.
	redialMost = time.Second
	// notifyTimeout bounds an announcement; the store's feed has the same news soon after.
	notifyTimeout = 500 * time.Millisecond
	// refusedTimeout bounds the question whether anybody listens; a refusal takes one round trip.
	refusedTimeout = 300 * time.Millisecond
	// tellsMost bounds the announcements on their way.
	tellsMost = 128
)

// Links reaches other instances, and the advisor directly when the address is empty.
type Links struct {
	local         Advisor
	mu            sync.Mutex
	conns         map[string]*grpc.ClientConn
	notifications chan struct{}
}

// NewLinks returns links without connections.
func NewLinks(local Advisor) *Links {
	return &Links{local: local, conns: map[string]*grpc.ClientConn{}, notifications: make(chan struct{}, tellsMost)}
}

// Ask has the instance at addr ask the advisor.
func (a *Links) Ask(ctx context.Context, addr, step string, workers []string) (anvilscheduler.Advice, error) {
	if addr == "" {
		return a.local.Ask(ctx, step, workers)
	}
	conn, err := a.connection(addr)
	if err != nil {
		return anvilscheduler.Advice{}, err
	}
	q := &Question{}
	q.SetStep(step)
	q.SetWorkers(workers)
	out, err := NewLinkClient(conn).Ask(ctx, q)
	if err != nil {
		return anvilscheduler.Advice{}, err
	}
	tickets := make([]anvilscheduler.Ticket, 0, len(out.GetTickets()))
	for _, t := range out.GetTickets() {
		tickets = append(tickets, anvilscheduler.NewTicket(t.GetWorker(), t.GetText()))
	}
	return anvilscheduler.NewAdvice(tickets, anvilclock.Millis(out.GetValidity())), nil
}

// Notify announces rows that were just stored to the instance at addr, which passes them on to the relays. It
// does not wait; what can't be told is found in the store's feed.
func (a *Links) Notify(addr string, relays []string, rows ...anvilstorage.Row) {
	news := &News{}
	news.SetRows(encodeRows(rows))
	news.SetRelays(relays)
	a.send(addr, news)
}

// NotifyLeadershipEnded tells the instance at addr that the leadership with a token is over. It does not wait; the row of the leadership
// shows the same later.
func (a *Links) NotifyLeadershipEnded(addr string, token int64) {
	m := &Tenure{}
	m.SetToken(token)
	a.notify(addr, func(ctx context.Context, c LinkClient) error {
		_, err := c.Yield(ctx, m)
		return err
	})
}

// send sends news; a failure is of no consequence, as the feed brings the rows.
func (a *Links) send(addr string, news *News) {
	a.notify(addr, func(ctx context.Context, c LinkClient) error {
		_, err := c.Tell(ctx, news)
		return err
	})
}

// notify makes a call whose failure is of no consequence, unless too much is on its way.
func (a *Links) notify(addr string, call func(context.Context, LinkClient) error) {
	select {
	case a.notifications <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-a.notifications }()
		conn, err := a.connection(addr)
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		_ = call(ctx, NewLinkClient(conn))
	}()
}

// StoreReplyAge asks the instance at addr how long ago the store has last answered it.
func (a *Links) StoreReplyAge(ctx context.Context, addr string) (anvilclock.Millis, error) {
	conn, err := a.connection(addr)
	if err != nil {
		return 0, err
	}
	out, err := NewLinkClient(conn).Reach(ctx, &Doubt{})
	if err != nil {
		return 0, err
	}
	return anvilclock.Millis(out.GetAge()), nil
}

// States returns the states of jobs that the instance at addr knows to be newer than a version of the store.
func (a *Links) States(ctx context.Context, addr string, after int64) (anvilstorage.Page, error) {
	conn, err := a.connection(addr)
	if err != nil {
		return anvilstorage.Page{}, err
	}
	in := &Since{}
	in.SetAfter(after)
	out, err := NewLinkClient(conn).States(ctx, in)
	if err != nil {
		return anvilstorage.Page{}, err
	}
	return anvilstorage.NewPage(parseRows(out.GetRows()), out.GetVersion(), 0), nil
}

// Forward has the instance at addr decide on a call.
func (a *Links) Forward(ctx context.Context, addr string, kind anvilintake.Kind, c anvilintake.Call, spec *anviljob.Spec) (anvilintake.Reply, error) {
	conn, err := a.connection(addr)
	if err != nil {
		return anvilintake.Reply{}, err
	}
	in, err := encodeCall(kind, c, spec)
	if err != nil {
		return anvilintake.Reply{}, err
	}
	out, err := NewLinkClient(conn).Pass(ctx, in)
	if err != nil {
		return anvilintake.Reply{}, err
	}
	return parseOutcome(out)
}

// AwaitExit waits until the process at addr is gone, and fails when ctx ends first. It costs nothing while the
// connection lasts.
func (a *Links) AwaitExit(ctx context.Context, addr string) error {
	conn, err := a.connection(addr)
	if err != nil {
		return err
	}
	conn.Connect()
	for state := conn.GetState(); ; state = conn.GetState() {
		if state == connectivity.TransientFailure && refused(ctx, addr) {
			return nil
		}
		if state == connectivity.Idle {
			conn.Connect()
		}
		if !conn.WaitForStateChange(ctx, state) {
			return ctx.Err()
		}
	}
}

// refused reports whether nobody listens at addr. A machine without power and a cut are silent.
func refused(ctx context.Context, addr string) bool {
	dialer := net.Dialer{Timeout: refusedTimeout}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return false
}

func (a *Links) connection(addr string) (*grpc.ClientConn, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.conns[addr]; c != nil {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, MaxDelay: redialMost},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	if err != nil {
		return nil, err
	}
	a.conns[addr] = c
	return c, nil
}

// Close closes all connections.
func (a *Links) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		_ = c.Close()
	}
}
