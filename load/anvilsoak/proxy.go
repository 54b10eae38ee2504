package anvilsoak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// link is a path of limited width that several proxies share.
type link struct {
	bytesPerSecond int

	mu    sync.Mutex
	until time.Time
	bytes int64
}

func newLink(mbits int) *link { return &link{bytesPerSecond: mbits * 1_000_000 / 8} }

// reserve returns how long n bytes take, behind all that was sent before.
func (l *link) reserve(n int, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until.Before(now) {
		l.until = now
	}
	l.bytes += int64(n)
	l.until = l.until.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
	return l.until.Sub(now)
}

// carried returns the number of bytes that were sent over the link; 0 for none.
func (l *link) carried() int64 {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// proxy forwards TCP connections from a loopback address to another and injects network faults.
type proxy struct {
	listener net.Listener
	source   net.IP
	target   string
	// link limits the data from the target; nil for no limit.
	link *link

	mu    sync.Mutex
	conns map[*proxiedConn]bool
	// refuse resets new connections; dropToTarget and dropFromTarget drop data in one direction; delay is added
	// to each block of data.
	refuse                       bool
	dropToTarget, dropFromTarget bool
	delay                        time.Duration
}

// proxiedConn is a connection through the proxy. After some of its data has been dropped, all later data is
// dropped too.
type proxiedConn struct {
	client, server net.Conn
	dropping       bool
}

// newProxy listens on addr and forwards to target, over a link if there is one. Its connections to the target come from the address that it
// listens on, so that the target can distinguish the machines.
func newProxy(addr, target string, over *link) (*proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(l.Addr().String())
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, source: net.ParseIP(host), target: target, link: over, conns: map[*proxiedConn]bool{}}
	go p.run()
	return p, nil
}

func (p *proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(client)
	}
}

// dialTimeout limits the time to connect to the target, which is on this machine.
const dialTimeout = time.Second

func (p *proxy) handle(client net.Conn) {
	p.mu.Lock()
	refuse, dropping := p.refuse, p.dropToTarget || p.dropFromTarget
	p.mu.Unlock()
	if refuse {
		reset(client)
		return
	}
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: p.source}}
	server, err := d.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	pc := &proxiedConn{client: client, server: server, dropping: dropping}
	p.mu.Lock()
	p.conns[pc] = true
	p.mu.Unlock()
	go p.copy(pc, server, client, true)
	go p.copy(pc, client, server, false)
}

// reset closes a connection with a TCP reset, so that the other side sees an error.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// An error means that the connection has already been closed.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) copy(pc *proxiedConn, to, from net.Conn, toTarget bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.link != nil && !toTarget {
			time.Sleep(p.link.reserve(n, time.Now()))
		}
		if n > 0 && p.forwards(pc, toTarget) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			p.closeConn(pc, !errors.Is(err, io.EOF))
			return
		}
	}
}

// forwards waits for the delay of the proxy and reports whether the data is forwarded.
func (p *proxy) forwards(pc *proxiedConn, toTarget bool) bool {
	p.mu.Lock()
	delay := p.delay
	if (toTarget && p.dropToTarget) || (!toTarget && p.dropFromTarget) {
		pc.dropping = true
	}
	dropping := pc.dropping
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return !dropping
}

func (p *proxy) closeConn(pc *proxiedConn, abort bool) {
	p.mu.Lock()
	delete(p.conns, pc)
	p.mu.Unlock()
	if abort {
		reset(pc.client)
		reset(pc.server)
		return
	}
	_ = pc.client.Close()
	_ = pc.server.Close()
}

// resetAll closes all connections with a TCP reset.
func (p *proxy) resetAll() {
	p.mu.Lock()
	conns := make([]*proxiedConn, 0, len(p.conns))
	for pc := range p.conns {
		conns = append(conns, pc)
	}
	p.mu.Unlock()
	for _, pc := range conns {
		p.closeConn(pc, true)
	}
}

// update changes the faults of the proxy; they apply to data that is read afterwards.
func (p *proxy) update(f func(p *proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p)
}

// clearFaults ends all faults. A connection whose data has been dropped stays unusable.
func (p *proxy) clearFaults() {
	p.update(func(p *proxy) { p.refuse, p.dropToTarget, p.dropFromTarget, p.delay = false, false, false, 0 })
}

func (p *proxy) refuses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refuse
}

func (p *proxy) close() {
	// The listener is closed only here, so that the error can be ignored.
	_ = p.listener.Close()
	p.resetAll()
}
