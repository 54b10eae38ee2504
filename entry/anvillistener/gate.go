package anvillistener

import (
	"bytes"
	"embed"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"anvilhold.org/lib/anvilbudget"
	"anvilhold.org/lib/anvilchart"
)

//go:embed charts/connection.toml
var chartFiles embed.FS

const (
	// readSize is the size of a read, and so what a connection holds at most of requests that were sent ahead.
	readSize = 8 << 10
	// maxDiscard bounds what is read and discarded after a refusal.
	maxDiscard = 16 << 20
	// linesAtOnce is the number of header lines for which memory is reserved together.
	linesAtOnce = 16
	// jobsAtOnce is the number of requests after which a goroutine of its own reads the next one.
	jobsAtOnce = 64
	// maxFraming bounds the framing of chunks, in multiples of the largest body.
	maxFraming = 8
)

// gate is what lies between the socket of a connection and the parser. It passes one request at a time to the parser, and
// reads no more from the socket until the client has read the answer. mu orders the poller's goroutine, those of
// handlers and the budget.
type gate struct {
	server  *Server
	conn    *nbio.Conn
	tls     *tls.Conn // nil without TLS
	parser  *nbhttp.Parser
	machine anvilchart.Machine
	holder  anvilbudget.Holder
	// unread is the number of bytes of answers that are not written to the socket yet.
	unread atomic.Int64
	// waiting is set while the state waits for unread to become 0.
	waiting atomic.Bool

	mu sync.Mutex
	// pending has been read from the socket and not been parsed.
	pending   []byte
	request   *request
	body      segments
	job       func() // the handler's call
	read      int    // bytes of the request
	reserved  int    // header lines for which memory is reserved
	refusal   Refusal
	answer    []byte // the response of a request that isn't admitted
	discarded int
	handled   int
	// timed is set while the read deadline is that of a header or of a refusal instead of that of an idle connection.
	timed bool
}

// countedConn counts the bytes that are written to the connection.
type countedConn struct {
	*nbio.Conn
	gate *gate
}

// Write implements net.Conn. nbio keeps what the socket doesn't take.
func (c countedConn) Write(b []byte) (int, error) {
	c.gate.unread.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func bindConnection() *anvilchart.Binding[*gate] {
	return anvilchart.NewBinding(map[string]func(*gate){
		"handle": (*gate).handle, "respond": (*gate).respond, "free": (*gate).free, "keep": (*gate).keep, "next": (*gate).next,
		"abort": (*gate).abort,
	}, map[string]func(*gate) bool{"unread": func(g *gate) bool { return g.unread.Load() > 0 }})
}

func loadConnection(b *anvilchart.Binding[*gate]) (*anvilchart.Chart, error) {
	const name = "charts/connection.toml"
	text, err := chartFiles.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return anvilchart.Load(name, string(text), b)
}

func (s *Server) newGate(c *nbio.Conn) *gate {
	g := &gate{server: s, conn: c, request: newRequest(), machine: s.chart.NewMachine()}
	counted := countedConn{Conn: c, gate: g}
	execute := func(f func()) bool {
		g.job = f
		return true
	}
	if s.tls != nil {
		g.tls = tls.NewConn(counted, s.tls, false, true, s.engine.TLSAllocator)
		g.parser = nbhttp.NewParser(&nbhttp.Conn{Conn: g.tls}, s.engine, g.request, false, execute)
	} else {
		g.parser = nbhttp.NewParser(counted, s.engine, g.request, false, execute)
	}
	g.holder = s.memory.open(func() { go g.refuse(Overloaded) })
	return g
}

// fire applies an event. The caller holds mu. An event that doesn't apply would be an error in the chart.
func (g *gate) fire(event string) {
	if err := anvilchart.Fire(&g.machine, g.server.binding, event, g); err != nil {
		_ = g.conn.CloseWithError(err)
	}
}

// readable reads from the socket until it has no more data, or until the connection has a request that is handled. With
// edge triggering, the poller reports only new data.
func (g *gate) readable() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pump()
}

func (g *gate) pump() {
	buf := readBuffers.Get().(*[readSize]byte)
	defer readBuffers.Put(buf)
	for {
		switch g.machine.State() {
		case "reading":
			if len(g.pending) > 0 {
				data := g.pending
				g.pending = nil
				g.feed(data)
				g.limitHeader()
				continue
			}
		case "discarding":
			if g.discarded > maxDiscard {
				_ = g.conn.Close()
				return
			}
		default:
			return
		}
		n, err := g.conn.Read(buf[:])
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN), err == nil && n == 0:
			// At the end of the stream the poller closes the connection; see descriptors.closed.
			return
		case err != nil:
			_ = g.conn.CloseWithError(err)
			return
		}
		g.server.touch(g.conn)
		g.input(buf[:n])
		g.limitHeader()
	}
}

// limitHeader bounds the time that a header takes. Bytes that arrive don't extend it.
func (g *gate) limitHeader() {
	if g.machine.State() != "reading" {
		return
	}
	switch unfinished := g.read > 0 && !g.request.headDone; {
	case unfinished && !g.timed:
		_ = g.conn.SetReadDeadline(time.Now().Add(g.server.headerTimeout))
	case !unfinished && g.timed:
		_ = g.conn.SetReadDeadline(time.Now().Add(g.server.idleTimeout))
	default:
		return
	}
	g.timed = !g.timed
}

// input takes what was read from the socket.
func (g *gate) input(data []byte) {
	if g.machine.State() == "discarding" {
		g.discarded += len(data)
		return
	}
	if g.tls != nil {
		var err error
		if data, err = g.decrypt(data); err != nil {
			_ = g.conn.CloseWithError(err)
			return
		}
	}
	copies := int64(bodyCopies)
	if g.request.chunked {
		copies = chunkedCopies
	}
	if !g.server.memory.reserve(g.holder, copies*int64(len(data))) {
		g.refuseLocked(Overloaded)
		return
	}
	g.feed(data)
}

// decrypt returns the plain text of the records that are complete.
func (g *gate) decrypt(data []byte) ([]byte, error) {
	defer g.tls.ResetOrFreeBuffer()
	var plain []byte
	for in, buf := data, make([]byte, readSize); ; in = nil {
		_, n, err := g.tls.AppendAndRead(in, buf)
		if err != nil || n == 0 {
			return plain, err
		}
		plain = append(plain, buf[:n]...)
	}
}

// feed passes data to the parser up to the end of a request, and keeps the rest.
func (g *gate) feed(data []byte) {
	r := g.request
	for first := true; len(data) > 0 && g.machine.State() == "reading"; first = false {
		inBody := r.remaining > 0 && r.bodyFollows()
		n := r.step(data, first)
		part := data[:n]
		g.read += n
		data = data[n:]
		if inBody {
			if part = g.body.join(part, r.remaining); part == nil {
				return
			}
		}
		if !r.headDone && !r.scan.valid(part) {
			g.refuseLocked(Malformed)
			return
		}
		err := g.parser.Parse(part)
		if refusal := g.check(err); refusal != "" {
			g.refuseLocked(refusal)
			return
		}
		if r.complete {
			g.pending = bytes.Clone(data)
			if r.body > 0 && !g.server.memory.reserve(g.holder, handlerCopies*int64(r.body)) {
				g.refuseLocked(Overloaded)
				return
			}
			g.fire("request")
			return
		}
	}
}

// check returns why the request that is being read has to be refused, or "".
func (g *gate) check(err error) Refusal {
	s, r := g.server, g.request
	switch {
	case errors.Is(err, nbhttp.ErrTooLong) && !r.headDone:
		return HeadersTooLarge
	case errors.Is(err, nbhttp.ErrTooLong):
		return BodyTooLarge
	case err != nil, r.ambiguous:
		return Malformed
	case r.lines > s.maxHeaderLines, !r.headDone && g.read > s.maxHeaders+parserOverhead:
		return HeadersTooLarge
	case r.lines >= g.reserved+linesAtOnce:
		g.reserved = r.lines
		if !s.memory.reserve(g.holder, linesAtOnce*headerLineCost) {
			return Overloaded
		}
	case r.chunked && (r.body > s.limitBody() || g.read > maxFraming*s.maxBody+s.maxHeaders+parserOverhead):
		return BodyTooLarge
	}
	if !r.headDone || r.head == nil || r.complete || r.admitted {
		return ""
	}
	r.admitted = true
	if r.head.ContentLength > int64(s.limitBody()) {
		return BodyTooLarge
	}
	if r.hasBody() {
		if g.answer = s.admit(r.head); g.answer != nil {
			return NotAdmitted
		}
	}
	return ""
}

// handle passes the request to its handler, unless the budget has dropped the connection meanwhile.
func (g *gate) handle() {
	if !g.server.memory.pin(g.holder) {
		_ = g.conn.Close()
		return
	}
	// The request may wait for a goroutine, and its connection isn't idle meanwhile.
	g.server.setBusy(g.conn.RemoteAddr().String(), true)
	job := g.job
	g.job = nil
	g.conn.Execute(func() {
		returned := false
		defer func() {
			// The answer of a handler that panicked is unknown, and the connection can't be used for another.
			if !returned {
				_ = g.conn.Close()
			}
		}()
		job()
		returned = true
		g.mu.Lock()
		defer g.mu.Unlock()
		g.fire("answered")
		// nbio keeps a list of a connection's jobs, which is emptied only when none follows during the last one.
		if g.handled++; g.handled%jobsAtOnce == 0 {
			go g.readable()
			return
		}
		g.pump()
	})
}

// keep reserves memory for an answer that the client hasn't read.
func (g *gate) keep() {
	if !g.server.memory.unpin(g.holder, g.unread.Load()+bodyCopies*int64(len(g.pending))) {
		g.abort()
		return
	}
	_ = g.conn.SetWriteDeadline(time.Now().Add(g.server.writeTimeout))
	g.waiting.Store(true)
	// The last bytes may have been written before that.
	g.continueIfRead(g.unread.Load())
}

// written continues with the next request once the client has read the answer.
func (g *gate) written() {
	g.mu.Lock()
	defer g.mu.Unlock()
	// nbio clears the deadline only when a write takes everything at once.
	_ = g.conn.SetWriteDeadline(time.Time{})
	g.fire("written")
	g.pump()
}

// next begins to read the next request.
func (g *gate) next() {
	g.request.begin()
	g.read, g.reserved, g.timed = 0, 0, false
	if !g.server.memory.unpin(g.holder, bodyCopies*int64(len(g.pending))) {
		g.abort()
	}
}

// refuse refuses the request that is being read, or closes the connection if the client doesn't read its answer.
func (g *gate) refuse(why Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuseLocked(why)
}

func (g *gate) refuseLocked(why Refusal) {
	g.refusal = why
	g.fire("refuse")
}

// respond sends the refusal. The rest of the request is discarded for a while: closing a connection with unread data
// resets it, and the client would lose the response.
func (g *gate) respond() {
	s := g.server
	s.onLimit(g.refusal)
	out := g.answer
	if out == nil {
		out = s.refusal(g.refusal, g.request.head)
	}
	g.discard()
	g.timed = true
	_ = g.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	if g.tls != nil {
		_, _ = g.tls.Write(out)
		return
	}
	_, _ = g.conn.Write(out)
}

// abort closes the connection of a client that doesn't read.
func (g *gate) abort() {
	g.server.onLimit(Unread)
	_ = g.conn.Close()
}

// discard gives back what the request holds.
func (g *gate) discard() {
	if g.parser == nil {
		return
	}
	g.parser.CloseAndClean(nil)
	g.parser = nil
	g.pending, g.job, g.answer, g.body = nil, nil, nil, segments{}
	g.server.memory.close(g.holder)
}

// free gives back everything after the connection has been closed.
func (g *gate) free() { g.discard() }

func (g *gate) closed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fire("close")
}

// wrote records that n bytes of an answer were written to the socket. nbio calls it with the connection locked.
func (g *gate) wrote(n int) {
	left := g.unread.Add(-int64(n))
	g.server.memory.progress(g.holder, int64(n))
	g.continueIfRead(left)
}

func (g *gate) continueIfRead(unread int64) {
	if unread == 0 && g.waiting.CompareAndSwap(true, false) {
		go g.written()
	}
}

var readBuffers = sync.Pool{New: func() any { return new([readSize]byte) }}
