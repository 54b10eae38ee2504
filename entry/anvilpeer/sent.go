package anvilpeer

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

type sentKey struct{}

// withSent returns a context for one RPC, and a flag that is set once part of the RPC has been sent.
func withSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := &atomic.Bool{}
	return context.WithValue(ctx, sentKey{}, sent), sent
}

// sentHandler sets the flag of an RPC when its header or payload is passed to the transport. An RPC that fails before
// that has not reached the peer.
type sentHandler struct{}

func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sentHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	switch s.(type) {
	case *stats.OutHeader, *stats.OutPayload:
		if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
			sent.Store(true)
		}
	}
}

func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}
