package anvilpeer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"anvilhold.org/lib/anvilclock"
)

const (
	// maxMessage bounds a message in bytes. It leaves space for summaries and configuration rows besides a body of 1 MiB.
	maxMessage = 5 << 20
	// maxIdle is the time without requests after which a connection is closed, because the instance at the address has
	// probably exited.
	maxIdle anvilclock.Millis = 5 * 60 * 1000

	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	dialTimeout      = time.Second
	// A restarted instance is available again within seconds, and the reconnects of 8 instances at this interval cause
	// little load.
	maxConnectBackoff = 2 * time.Second
)

type connection struct {
	conn     *grpc.ClientConn
	dialer   *dialer
	inFlight int
	lastUsed anvilclock.Millis
}

// pool keeps one connection for each address.
type pool struct {
	mu    sync.Mutex
	conns map[string]*connection
	clock anvilclock.Clock
	creds credentials.TransportCredentials
}

// acquire returns the connection to addr, and a function that must be called once the request has ended.
func (p *pool) acquire(addr string) (*connection, func(), error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle()
	c := p.conns[addr]
	if c == nil {
		d := &dialer{}
		conn, err := grpc.NewClient("passthrough:///"+addr, append(p.options(), grpc.WithContextDialer(d.dial))...)
		if err != nil {
			return nil, nil, err
		}
		c = &connection{conn: conn, dialer: d}
		p.conns[addr] = c
	}
	c.inFlight++
	return c, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		c.inFlight--
		c.lastUsed = p.clock.Now()
	}, nil
}

// dialer opens connections and remembers whether the last attempt was refused.
type dialer struct {
	refused atomic.Bool
}

func (d *dialer) dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	d.refused.Store(errors.Is(err, syscall.ECONNREFUSED))
	return conn, err
}

// closeIdle closes the connections that were idle for maxIdle. There is one for each entry instance, so checking all
// of them at each request is cheap. p.mu must be held.
func (p *pool) closeIdle() {
	now := p.clock.Now()
	for addr, c := range p.conns {
		if c.inFlight == 0 && now-c.lastUsed >= maxIdle {
			_ = c.conn.Close()
			delete(p.conns, addr)
		}
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.conns {
		_ = c.conn.Close()
		delete(p.conns, addr)
	}
}

func (p *pool) options() []grpc.DialOption {
	retry := backoff.DefaultConfig
	retry.MaxDelay = maxConnectBackoff
	return []grpc.DialOption{
		grpc.WithTransportCredentials(p.creds),
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: dialTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		grpc.WithDisableServiceConfig(),
	}
}
