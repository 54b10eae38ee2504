package anvilpeer

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"anvilhold.org/entry/anvilcodec"
	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilrow"
)

// maxStreams bounds the requests in flight from one entry instance.
const maxStreams = 4096

// preambleTimeout bounds the time until a connection has sent its preamble.
const preambleTimeout = 5 * time.Second

// TaskHandler handles requests of other entry instances about tasks. The methods don't block: they return false if the
// request was not accepted, and otherwise the result is sent to reply.
type TaskHandler interface {
	Submit(f anvilcontrol.Forward, reply chan<- anvilcontrol.Result) bool
	Inspect(q anvilcontrol.Query, reply chan<- anvilcontrol.Status) bool
}

// StateHandler handles summaries and configuration rows of other entry instances. The methods don't block: they return
// false if the message was not accepted, and otherwise the result is sent to reply.
type StateHandler interface {
	Exchange(s anvilcontrol.Summary, reply chan<- anvilcontrol.Summary) bool
	Push(rows []anvilrow.Row, version int64, reply chan<- int64) bool
}

// Server serves the requests of other entry instances.
type Server struct {
	grpc *grpc.Server
}

// NewServer returns a server; with nil creds it serves plain text.
func NewServer(tasks TaskHandler, state StateHandler, creds credentials.TransportCredentials) *Server {
	opts := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage), grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(preambleTimeout),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	}
	if creds != nil {
		opts = append(opts, grpc.Creds(creds))
	}
	s := grpc.NewServer(opts...)
	RegisterPeerServer(s, &handler{tasks: tasks, state: state})
	return &Server{grpc: s}
}

// Serve accepts connections on l until Stop is called, and closes l. It returns nil after Stop.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop closes the listener, waits for the requests in flight for at most timeout, and then aborts those that remain.
func (s *Server) Stop(timeout time.Duration) {
	timer := time.AfterFunc(timeout, s.grpc.Stop)
	defer timer.Stop()
	s.grpc.GracefulStop()
}

type handler struct {
	UnimplementedPeerServer
	tasks TaskHandler
	state StateHandler
}

// Submit passes a task to the control loop and waits for its result.
func (h *handler) Submit(ctx context.Context, in *SubmitRequest) (*SubmitReply, error) {
	reply := make(chan anvilcontrol.Result, 1)
	if !h.tasks.Submit(parseForward(in), reply) {
		return submitReply(anvilcontrol.NewFailure(refuseInboxFull())), nil
	}
	r, err := waitReply(ctx, reply)
	if err != nil {
		return nil, err
	}
	return submitReply(r), nil
}

// Inspect passes a query to the control loop and waits for the status.
func (h *handler) Inspect(ctx context.Context, in *InspectRequest) (*InspectReply, error) {
	reply := make(chan anvilcontrol.Status, 1)
	if !h.tasks.Inspect(parseQuery(in), reply) {
		return InspectReply_builder{Outcome: anvilcodec.Refusal(refuseInboxFull())}.Build(), nil
	}
	s, err := waitReply(ctx, reply)
	if err != nil {
		return nil, err
	}
	return inspectReply(s), nil
}

// Exchange passes a summary to the control loop and returns the loop's own.
func (h *handler) Exchange(ctx context.Context, in *Summary) (*Summary, error) {
	s, err := parseSummary(in)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	reply := make(chan anvilcontrol.Summary, 1)
	if !h.state.Exchange(s, reply) {
		return nil, errInboxFull()
	}
	if s, err = waitReply(ctx, reply); err != nil {
		return nil, err
	}
	out, err := summary(s)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return out, nil
}

// Push passes configuration rows to the control loop and returns the version that is then in force.
func (h *handler) Push(ctx context.Context, in *PushRequest) (*PushReply, error) {
	rows, err := anvilcodec.ParseRows(in.GetRows())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	reply := make(chan int64, 1)
	if !h.state.Push(rows, in.GetVersion(), reply) {
		return nil, errInboxFull()
	}
	version, err := waitReply(ctx, reply)
	if err != nil {
		return nil, err
	}
	return PushReply_builder{Version: version}.Build(), nil
}

func waitReply[T any](ctx context.Context, reply <-chan T) (T, error) {
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		var none T
		return none, status.FromContextError(ctx.Err()).Err()
	}
}

func errInboxFull() error {
	return status.Error(codes.ResourceExhausted, "the inbox of the control loop is full")
}
