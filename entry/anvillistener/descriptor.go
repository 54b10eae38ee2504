package anvillistener

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// descriptors keeps a new connection from being closed by an event of an earlier one. The poller of nbio finds the
// connection of an event by its file descriptor. While it works through the events of one wait, another goroutine may
// close a connection, and the next one that is accepted gets its descriptor and then its event.
type descriptors struct {
	mu   sync.Mutex
	last map[int]descriptor // by file descriptor
	// probe is connected to a socket that the poller handles: what is written to it is read only after the events of
	// earlier waits have been handled.
	probe net.Conn
	seen  chan struct{}
}

// descriptor is the last connection of a file descriptor. It is settled once no event for it can be waiting.
type descriptor struct {
	conn    net.Conn
	settled bool
}

// open connects the probe. The engine must have a single poller.
func (d *descriptors) open(e *nbhttp.Engine) error {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return os.NewSyscallError("socketpair", err)
	}
	var conns [2]net.Conn
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "probe")
		c, fileErr := net.FileConn(f)
		err = errors.Join(err, fileErr, f.Close())
		conns[i] = c
	}
	if err != nil {
		return err
	}
	d.probe = conns[0]
	d.last, d.seen = map[int]descriptor{}, make(chan struct{}, 1)
	polled, err := nbio.NBConn(conns[1])
	if err != nil {
		return err
	}
	polled.OnData(func(*nbio.Conn, []byte) {
		select {
		case d.seen <- struct{}{}:
		default:
		}
	})
	_, err = e.AddConn(polled)
	return err
}

// close closes the probe, after the engine has stopped.
func (d *descriptors) close() error { return d.probe.Close() }

// use registers a connection that is about to be added to the engine. If an event of the descriptor's last connection may
// still be waiting, it returns only after the poller has handled its present events.
func (d *descriptors) use(c *nbio.Conn) {
	d.mu.Lock()
	last, reused := d.last[c.Hash()]
	d.last[c.Hash()] = descriptor{conn: c}
	d.mu.Unlock()
	if !reused || last.settled {
		return
	}
	if _, err := d.probe.Write([]byte{0}); err == nil {
		<-d.seen
	}
}

// closed records that a connection was closed. The poller closes a connection with EOF while it handles an event of it,
// of which one wait returns only one for each descriptor.
func (d *descriptors) closed(c net.Conn, err error) {
	nc, ok := c.(*nbio.Conn)
	if !ok || !errors.Is(err, io.EOF) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last[nc.Hash()].conn == c {
		d.last[nc.Hash()] = descriptor{conn: c, settled: true}
	}
}
