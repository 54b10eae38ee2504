// Package anvillink connects entry instances, the leader and the followers, over gRPC.
package anvillink

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"anvilhold.org/entry/anvilintake"
	"anvilhold.org/entry/anvilrelay"
	"anvilhold.org/entry/anvilscheduler"
	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// Advisor is the client of the advisor, which decides which workers may run a step.
type Advisor interface {
	Ask(ctx context.Context, step string, workers []string) (anvilscheduler.Advice, error)
}

const (
	// keepaliveTime and keepaliveTimeout detect connections whose peer failed without closing them.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	// preambleTimeout bounds the time until a connection has sent its preamble.
	preambleTimeout = 5 * time.Second
	// maxStreams and maxHeaders bound what one connection sends at once; instances send far less.
	maxStreams = 1024
	maxHeaders = 16 << 10
)

// Control is what the server uses of this instance's control loop. Several goroutines call it.
type Control interface {
	ReceiveRows(rows []anvilstorage.Row)
	StoreReplyAge() anvilclock.Millis
	ConfirmOutage(token int64) bool
	States(after int64) (anvilstorage.Page, error)
	Policy(ctx context.Context, q anvilrelay.Query) (anvilrelay.Update, error)
	LeadershipEnded(token int64)
	Guard(ctx context.Context, r anvilscheduler.GuardRequest) error
}

// Decider decides on calls that a partitioned instance has forwarded.
type Decider interface {
	Decide(ctx context.Context, kind anvilintake.Kind, c anvilintake.Call, spec *anviljob.Spec) anvilintake.Reply
}

// Server is the gRPC server for other instances.
type Server struct {
	grpc *grpc.Server
}

type handler struct {
	UnimplementedLinkServer
	advisor Advisor
	control Control
	decider Decider
	links   *Links
}

// NewServer returns a server, which Serve starts. It relays notifications over links.
func NewServer(a Advisor, c Control, d Decider, links *Links) *Server {
	s := grpc.NewServer(
		grpc.ConnectionTimeout(preambleTimeout), grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxHeaders),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	RegisterLinkServer(s, &handler{advisor: a, control: c, decider: d, links: links})
	return &Server{grpc: s}
}

// Serve accepts connections on l and blocks until Stop or a failure of l. It closes l.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop closes all connections. Calls in flight fail, and their callers try another instance.
func (s *Server) Stop() { s.grpc.Stop() }

// Ask implements LinkServer.
func (h *handler) Ask(ctx context.Context, q *Question) (*Answer, error) {
	advice, err := h.advisor.Ask(ctx, q.GetStep(), q.GetWorkers())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	out := &Answer{}
	out.SetValidity(int64(advice.Validity()))
	tickets := make([]*Ticket, 0, len(advice.Tickets()))
	for _, t := range advice.Tickets() {
		k := &Ticket{}
		k.SetWorker(t.Worker())
		k.SetText(t.Text())
		tickets = append(tickets, k)
	}
	out.SetTickets(tickets)
	return out, nil
}

// Tell implements LinkServer. It does not wait until the rows have been forwarded.
func (h *handler) Tell(_ context.Context, n *News) (*Heard, error) {
	h.control.ReceiveRows(parseRows(n.GetRows()))
	if forwardTo := n.GetRelays(); len(forwardTo) > 0 {
		forwarded := &News{}
		forwarded.SetRows(n.GetRows())
		for _, addr := range forwardTo {
			h.links.sendRows(addr, forwarded)
		}
	}
	return &Heard{}, nil
}

// Reach implements LinkServer.
func (h *handler) Reach(_ context.Context, m *Doubt) (*Contact, error) {
	out := &Contact{}
	out.SetAge(int64(h.control.StoreReplyAge()))
	if token := m.GetToken(); token != 0 {
		out.SetConfirmed(h.control.ConfirmOutage(token))
	}
	return out, nil
}

// Guard implements LinkServer. It blocks until the worker has answered.
func (h *handler) Guard(ctx context.Context, m *Post) (*Heard, error) {
	worker := anvilscheduler.NewTarget(m.GetWorker(), m.GetAddr())
	if err := h.control.Guard(ctx, anvilscheduler.NewGuardRequest(worker, m.GetToken(), anvilclock.Millis(m.GetLast()))); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &Heard{}, nil
}

// States implements LinkServer.
func (h *handler) States(_ context.Context, m *Since) (*Known, error) {
	page, err := h.control.States(m.GetAfter())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	out := &Known{}
	out.SetRows(encodeRows(page.Rows()))
	out.SetVersion(page.Version())
	out.SetAge(int64(page.Age()))
	return out, nil
}

// Config implements LinkServer. It blocks until there is something newer than the caller has, or its wait is over.
func (h *handler) Config(ctx context.Context, m *Wanted) (*Shown, error) {
	s, err := h.control.Policy(ctx, anvilrelay.NewQuery(m.GetRow(), m.GetMark(), anvilclock.Millis(m.GetWait())))
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	out := &Shown{}
	out.SetRow(s.RowVersion())
	out.SetBase(s.Base())
	out.SetText(s.Difference())
	out.SetVersion(s.Version())
	out.SetMark(s.Mark())
	out.SetLead(int64(s.Lead()))
	out.SetEvacuated(s.Evacuated())
	return out, nil
}

// Yield implements LinkServer.
func (h *handler) Yield(_ context.Context, m *Tenure) (*Heard, error) {
	h.control.LeadershipEnded(m.GetToken())
	return &Heard{}, nil
}

// Pass implements LinkServer. A call whose job can't be decoded is an invalid argument.
func (h *handler) Pass(ctx context.Context, m *Call) (*Outcome, error) {
	kind, c, spec, err := parseCall(m)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return encodeReply(h.decider.Decide(ctx, kind, c, spec)), nil
}
