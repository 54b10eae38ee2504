// Package anvilasker carries questions to the advisor between entry instances over gRPC.
package anvilasker

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"anvilhold.org/entry/anvilask"
	"anvilhold.org/entry/anvilscheduler"
	"anvilhold.org/lib/anvilclock"
)

// Advisor asks the advisor directly.
type Advisor interface {
	Ask(ctx context.Context, step string, workers []string) (anvilscheduler.Advice, error)
}

const (
	// keepaliveTime and keepaliveTimeout find connections that have gone silent without a reset.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	// dialTimeout bounds connecting: a machine without power doesn't answer.
	dialTimeout = 600 * time.Millisecond
	// redialMost is the longest pause between two tries to connect.
	redialMost = time.Second
)

// Server answers other instances.
type Server struct {
	grpc *grpc.Server
}

type handler struct {
	anvilask.UnimplementedAskerServer
	advisor Advisor
}

// NewServer returns a server that has not started.
func NewServer(a Advisor) *Server {
	s := grpc.NewServer(
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	anvilask.RegisterAskerServer(s, &handler{advisor: a})
	return &Server{grpc: s}
}

// Serve answers on l until Stop.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop breaks off the questions in flight; whoever asked asks another instance.
func (s *Server) Stop() { s.grpc.Stop() }

// Ask passes a question on to the advisor.
func (h *handler) Ask(ctx context.Context, q *anvilask.Question) (*anvilask.Answer, error) {
	advice, err := h.advisor.Ask(ctx, q.GetStep(), q.GetWorkers())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	out := &anvilask.Answer{}
	out.SetValidity(int64(advice.Validity()))
	tickets := make([]*anvilask.Ticket, 0, len(advice.Tickets()))
	for _, t := range advice.Tickets() {
		k := &anvilask.Ticket{}
		k.SetWorker(t.Worker())
		k.SetText(t.Text())
		tickets = append(tickets, k)
	}
	out.SetTickets(tickets)
	return out, nil
}

// Askers asks through other instances, or directly when the address is empty.
type Askers struct {
	local Advisor
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// New returns askers without connections.
func New(local Advisor) *Askers { return &Askers{local: local, conns: map[string]*grpc.ClientConn{}} }

// Ask has the instance at addr ask the advisor.
func (a *Askers) Ask(ctx context.Context, addr, step string, workers []string) (anvilscheduler.Advice, error) {
	if addr == "" {
		return a.local.Ask(ctx, step, workers)
	}
	conn, err := a.connection(addr)
	if err != nil {
		return anvilscheduler.Advice{}, err
	}
	q := &anvilask.Question{}
	q.SetStep(step)
	q.SetWorkers(workers)
	out, err := anvilask.NewAskerClient(conn).Ask(ctx, q)
	if err != nil {
		return anvilscheduler.Advice{}, err
	}
	tickets := make([]anvilscheduler.Ticket, 0, len(out.GetTickets()))
	for _, t := range out.GetTickets() {
		tickets = append(tickets, anvilscheduler.NewTicket(t.GetWorker(), t.GetText()))
	}
	return anvilscheduler.NewAdvice(tickets, anvilclock.Millis(out.GetValidity())), nil
}

func (a *Askers) connection(addr string) (*grpc.ClientConn, error) {
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
func (a *Askers) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		_ = c.Close()
	}
}
