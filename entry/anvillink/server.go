// Package anvillink connects the instance that schedules with the others over gRPC.
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
	"anvilhold.org/entry/anvilscheduler"
	"anvilhold.org/entry/anvilstorage"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anviljob"
)

// Advisor asks the advisor directly.
type Advisor interface {
	Ask(ctx context.Context, step string, workers []string) (anvilscheduler.Advice, error)
}

const (
	// keepaliveTime and keepaliveTimeout find connections that have gone silent without a reset.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
)

// Listener takes rows that other instances have stored, and tells what it knows.
type Listener interface {
	ReceiveRows(rows []anvilstorage.Row)
	StoreReplyAge() anvilclock.Millis
	States(after int64) (anvilstorage.Page, error)
	LeadershipEnded(token int64)
}

// Desk decides on calls of callers that reached an instance without a way to the store.
type Desk interface {
	Decide(ctx context.Context, kind anvilintake.Kind, c anvilintake.Call, spec *anviljob.Spec) anvilintake.Reply
}

// Server answers other instances.
type Server struct {
	grpc *grpc.Server
}

type handler struct {
	UnimplementedLinkServer
	advisor  Advisor
	listener Listener
	desk     Desk
	links    *Links
}

// NewServer returns a server that has not started. It passes news on over links.
func NewServer(a Advisor, l Listener, d Desk, links *Links) *Server {
	s := grpc.NewServer(
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	)
	RegisterLinkServer(s, &handler{advisor: a, listener: l, desk: d, links: links})
	return &Server{grpc: s}
}

// Serve answers on l until Stop.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop breaks off the questions in flight; whoever asked asks another instance.
func (s *Server) Stop() { s.grpc.Stop() }

// Ask passes a question on to the advisor.
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

// Tell hands on rows that another instance has stored.
func (h *handler) Tell(_ context.Context, n *News) (*Heard, error) {
	h.listener.ReceiveRows(parseRows(n.GetRows()))
	if relays := n.GetRelays(); len(relays) > 0 {
		on := &News{}
		on.SetRows(n.GetRows())
		for _, addr := range relays {
			h.links.send(addr, on)
		}
	}
	return &Heard{}, nil
}

// Reach tells how lately this instance has heard from the store.
func (h *handler) Reach(context.Context, *Doubt) (*Contact, error) {
	out := &Contact{}
	out.SetAge(int64(h.listener.StoreReplyAge()))
	return out, nil
}

// States tells what this instance knows of the states of jobs.
func (h *handler) States(_ context.Context, m *Since) (*Known, error) {
	page, err := h.listener.States(m.GetAfter())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	out := &Known{}
	out.SetRows(encodeRows(page.Rows()))
	out.SetVersion(page.Version())
	return out, nil
}

// Yield hands on that another instance no longer schedules.
func (h *handler) Yield(_ context.Context, m *Tenure) (*Heard, error) {
	h.listener.LeadershipEnded(m.GetToken())
	return &Heard{}, nil
}

// Pass decides on a call that reached another instance.
func (h *handler) Pass(ctx context.Context, m *Call) (*Outcome, error) {
	kind, c, spec, err := parseCall(m)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return encodeReply(h.desk.Decide(ctx, kind, c, spec)), nil
}
