package anvillistener

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener closes connections over a limit at once. A listener that stopped accepting would let a crowd keep other
// instances out for longer.
type limitedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// LimitConns returns a listener that has at most n open connections.
func LimitConns(l net.Listener, n int) net.Listener {
	return &limitedListener{Listener: l, limit: int64(n)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: c, free: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		_ = c.Close()
	}
}

type limitedConn struct {
	net.Conn
	free func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.free()
	return c.Conn.Close()
}
