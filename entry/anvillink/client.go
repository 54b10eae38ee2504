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
	"anvilhold.org/entry/anvilrelay"
	"anvilhold.org/entry/anvilscheduler"
	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

const (
	// dialTimeout bounds the time to connect: a machine that is down doesn't refuse the connection.
	dialTimeout = 600 * time.Millisecond
	// maxConnectBackoff is the longest delay between two attempts to connect.
	maxConnectBackoff = time.Second
	// notifyTimeout bounds a notification; the store's feed brings the same rows soon after.
	notifyTimeout = 500 * time.Millisecond
	// refusedTimeout bounds the check whether a process still listens; a refused connection takes one round trip.
	refusedTimeout = 300 * time.Millisecond
	// maxNotifications is the largest number of notifications in flight; more are dropped.
	maxNotifications = 128
)

// Links is the client of other instances. It keeps a connection to each address and is safe for concurrent use.
type Links struct {
	local         Advisor
	mu            sync.Mutex
	conns         map[string]*grpc.ClientConn
	notifications chan struct{}
}

// NewLinks returns links that connect on first use. Ask uses local when the address is empty.
func NewLinks(local Advisor) *Links {
	return &Links{local: local, conns: map[string]*grpc.ClientConn{}, notifications: make(chan struct{}, maxNotifications)}
}

// Ask asks the advisor through the instance at addr, or directly when addr is empty.
func (l *Links) Ask(ctx context.Context, addr, step string, workers []string) (anvilscheduler.Advice, error) {
	if addr == "" {
		return l.local.Ask(ctx, step, workers)
	}
	conn, err := l.connection(addr)
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

// Notify sends rows that were just stored to the instance at addr, which forwards them to the addresses in forwardTo. It
// does not block, and drops the rows when too many notifications are in flight: the receivers find them in the store's
// feed.
func (l *Links) Notify(addr string, forwardTo []string, rows ...anvilstorage.Row) {
	news := &News{}
	news.SetRows(encodeRows(rows))
	news.SetRelays(forwardTo)
	l.sendRows(addr, news)
}

// NotifyLeadershipEnded notifies the instance at addr that the leadership with a token has ended. It does not block. The
// notification may be lost; the instance then learns of the end from the leadership row.
func (l *Links) NotifyLeadershipEnded(addr string, token int64) {
	m := &Tenure{}
	m.SetToken(token)
	l.notify(addr, func(ctx context.Context, c LinkClient) error {
		_, err := c.Yield(ctx, m)
		return err
	})
}

// sendRows sends rows and ignores failures, because the feed brings the rows too.
func (l *Links) sendRows(addr string, m *News) {
	l.notify(addr, func(ctx context.Context, c LinkClient) error {
		_, err := c.Tell(ctx, m)
		return err
	})
}

// notify makes a call in the background and ignores its failure. It does nothing when too many are in flight.
func (l *Links) notify(addr string, call func(context.Context, LinkClient) error) {
	select {
	case l.notifications <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-l.notifications }()
		conn, err := l.connection(addr)
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		_ = call(ctx, NewLinkClient(conn))
	}()
}

// Guard asks the instance at addr to hold a worker, and returns once that worker has shown that it knows the token of the request.
func (l *Links) Guard(ctx context.Context, addr string, r anvilscheduler.GuardRequest) error {
	conn, err := l.connection(addr)
	if err != nil {
		return err
	}
	in := &Post{}
	in.SetWorker(r.Worker().ID())
	in.SetAddr(r.Worker().Addr())
	in.SetToken(r.Token())
	in.SetLast(int64(r.Last()))
	_, err = NewLinkClient(conn).Guard(ctx, in)
	return err
}

// StoreReplyAge asks the instance at addr for the age of the store's last reply to it.
func (l *Links) StoreReplyAge(ctx context.Context, addr string) (anvilclock.Millis, error) {
	conn, err := l.connection(addr)
	if err != nil {
		return 0, err
	}
	out, err := NewLinkClient(conn).Reach(ctx, &Doubt{})
	if err != nil {
		return 0, err
	}
	return anvilclock.Millis(out.GetAge()), nil
}

// ConfirmOutage asks the instance at addr to confirm that the leader with a token may go on extending leases.
func (l *Links) ConfirmOutage(ctx context.Context, addr string, token int64) (bool, error) {
	conn, err := l.connection(addr)
	if err != nil {
		return false, err
	}
	in := &Doubt{}
	in.SetToken(token)
	out, err := NewLinkClient(conn).Reach(ctx, in)
	if err != nil {
		return false, err
	}
	return out.GetConfirmed(), nil
}

// States returns the job states that the instance at addr has read with a version of the store after the given one; 0
// returns all. It fails when that instance has not read them yet.
func (l *Links) States(ctx context.Context, addr string, after int64) (anvilstorage.Page, error) {
	conn, err := l.connection(addr)
	if err != nil {
		return anvilstorage.Page{}, err
	}
	in := &Since{}
	in.SetAfter(after)
	out, err := NewLinkClient(conn).States(ctx, in)
	if err != nil {
		return anvilstorage.Page{}, err
	}
	page := anvilstorage.NewPage(parseRows(out.GetRows()), out.GetVersion(), 0)
	return page.WithAge(max(anvilclock.Millis(out.GetAge()), 0)), nil
}

// Policy returns what the instance at addr knows of the operator's configuration, once it is newer than the query names or the query's
// wait is over. It fails when that instance has not confirmed it recently.
func (l *Links) Policy(ctx context.Context, addr string, q anvilrelay.Query) (anvilrelay.Update, error) {
	conn, err := l.connection(addr)
	if err != nil {
		return anvilrelay.Update{}, err
	}
	in := &Wanted{}
	in.SetRow(q.RowVersion())
	in.SetMark(q.Mark())
	in.SetWait(int64(q.Wait()))
	out, err := NewLinkClient(conn).Config(ctx, in)
	if err != nil {
		return anvilrelay.Update{}, err
	}
	s := anvilrelay.NewUpdate(out.GetVersion(), out.GetMark(), anvilclock.Millis(out.GetLead()), out.GetEvacuated())
	if len(out.GetText()) > 0 {
		s = s.WithDocument(out.GetRow(), out.GetBase(), out.GetText())
	}
	return s, nil
}

// Forward sends a call to the instance at addr and returns its reply. After an error the call may have been carried out.
func (l *Links) Forward(ctx context.Context, addr string, kind anvilintake.Kind, c anvilintake.Call, spec *anviljob.Spec) (anvilintake.Reply, error) {
	conn, err := l.connection(addr)
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

// AwaitExit blocks until the process at addr has exited, and returns an error when ctx ends first. It sends nothing while
// the connection is up.
func (l *Links) AwaitExit(ctx context.Context, addr string) error {
	conn, err := l.connection(addr)
	if err != nil {
		return err
	}
	conn.Connect()
	for state := conn.GetState(); ; state = conn.GetState() {
		if state == connectivity.TransientFailure && connectionRefused(ctx, addr) {
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

// connectionRefused reports whether a connection to addr is refused, which shows that the process has exited. A machine
// that is down and a network partition give no reply.
func connectionRefused(ctx context.Context, addr string) bool {
	dialer := net.Dialer{Timeout: refusedTimeout}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return false
}

func (l *Links) connection(addr string) (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.conns[addr]; c != nil {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, MaxDelay: maxConnectBackoff},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	if err != nil {
		return nil, err
	}
	l.conns[addr] = c
	return c, nil
}

// Close closes all connections. Calls in flight fail.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}
