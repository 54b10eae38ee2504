package anvilcrowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// holdTime is how long a crowd stays after it has sent what it sends, so that the instance handles it.
	holdTime = 500 * time.Millisecond
	// sendTimeout bounds the time of a crowd's writes, which block when the instance stops reading.
	sendTimeout = 2 * time.Second
	// totalBytes is what the bodies of a crowd amount to, more than the memory of the machine.
	totalBytes = 250_000_000
	pieceSize  = 1000
	ownLimit   = 4100
)

// client returns what each connection of a crowd does at an endpoint. That function returns when it has sent all, or with the
// first error.
type client func(s *system, d endpoint) func(c net.Conn) error

// crowd is a number of equal clients.
type crowd struct {
	conns  int
	client client
	rounds int
}

// maxDescriptors returns the limit of the instance's descriptors; anvilentry's own limits are for the smallest machine.
func maxDescriptors(program string) int {
	if program == "anvilnode" {
		return descriptors
	}
	return ownLimit
}

// visit plays a crowd at an endpoint and returns its open connections.
func (k crowd) visit(s *system, d endpoint) []net.Conn {
	var (
		mu   sync.Mutex
		open []net.Conn
		wg   sync.WaitGroup
	)
	send := k.client(s, d)
	for range k.conns {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", d.addr, sendTimeout)
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			// A client whose connection is closed, or which isn't read, has reached what it can.
			_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
			_ = send(c)
		})
	}
	wg.Wait()
	return open
}

// runCrowd plays a crowd at each endpoint of each program, and checks the instance while the crowd is there and afterwards.
func runCrowd(t *testing.T, size func(*system) int, rounds int, send client) {
	t.Helper()
	for _, p := range programCases() {
		t.Run(p.name, func(t *testing.T) {
			s := p.start(t)
			for _, d := range s.endpoints {
				t.Run(d.name, func(t *testing.T) {
					k := crowd{conns: size(s), client: send, rounds: rounds}
					for range k.rounds {
						open := k.visit(s, d)
						time.Sleep(holdTime)
						s.assertBounded(t, maxDescriptors(p.name))
						closeAll(open)
					}
					s.assertServes(t)
					s.assertBounded(t, maxDescriptors(p.name))
				})
			}
		})
	}
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// filling returns the number of bodies that amount to totalBytes.
func filling(s *system) int { return totalBytes / s.body }

func fixed(n int) func(*system) int { return func(*system) int { return n } }

func head(s *system, d endpoint, framing string) string {
	return "POST " + d.path + " HTTP/1.1\r\n" + s.headers + framing + "\r\n"
}

func lengthHead(s *system, d endpoint, n int) string {
	return head(s, d, fmt.Sprintf("Content-Length: %d\r\n", n))
}

func writePieces(c net.Conn, text string, size int) error {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// sending returns a client that writes a text in pieces of n bytes.
func sending(n int, text func(s *system, d endpoint) string) client {
	return func(s *system, d endpoint) func(c net.Conn) error {
		all := text(s, d)
		return func(c net.Conn) error { return writePieces(c, all, n) }
	}
}

const (
	// onePiece is more than any text that a client sends.
	onePiece = 1 << 30
	bulk     = 64 << 10
)

// unfinished is a request with n bytes of a body of the largest legal size.
func unfinished(n func(s *system) int) func(*system, endpoint) string {
	return func(s *system, d endpoint) string { return lengthHead(s, d, s.body) + strings.Repeat(" ", n(s)) }
}

func allButOne(s *system) int { return s.body - 1 }
func half(s *system) int      { return s.body / 2 }

// Guards against bodies of legal size that stop before their last byte and together exceed the memory.
func TestBodiesInOnePiece(t *testing.T) {
	runCrowd(t, filling, 1, sending(onePiece, unfinished(allButOne)))
}

// Guards against the same bodies when they arrive in small pieces.
func TestBodiesInSmallPieces(t *testing.T) {
	runCrowd(t, filling, 1, sending(pieceSize, unfinished(allButOne)))
}

// Guards against the same bodies in chunks, whose size no header says.
func TestBodiesInChunks(t *testing.T) {
	runCrowd(t, filling, 1, sending(8*pieceSize, func(s *system, d endpoint) string {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", pieceSize, strings.Repeat(" ", pieceSize))
		return head(s, d, "Transfer-Encoding: chunked\r\n") + strings.Repeat(chunk, s.body/pieceSize)
	}))
}

// Guards against chunks whose framing is larger than their contents.
func TestBodiesInTinyChunks(t *testing.T) {
	runCrowd(t, fixed(200), 1, sending(onePiece, func(s *system, d endpoint) string {
		return head(s, d, "Transfer-Encoding: chunked\r\n") + strings.Repeat("1\r\n \r\n", 150_000)
	}))
}

// Guards against bodies far over the limit that are kept before they are refused.
func TestBodiesOverLimit(t *testing.T) {
	runCrowd(t, fixed(300), 1, sending(bulk, func(s *system, d endpoint) string {
		return lengthHead(s, d, 8*s.body) + strings.Repeat(" ", 8*s.body)
	}))
}

// Guards against legal bodies whose many short fields need far more memory when they are decoded.
func TestManyFields(t *testing.T) {
	runCrowd(t, fixed(60), 1, sending(onePiece, func(s *system, d endpoint) string {
		n := (s.body - len(s.submission) - len(s.end)) / len(s.field)
		body := s.submission + strings.Repeat(s.field, n) + s.end
		return lengthHead(s, d, len(body)) + body
	}))
}

// Guards against headers of many short lines that are kept without a bound.
func TestManyHeaders(t *testing.T) {
	runCrowd(t, fixed(100), 1, sending(bulk, func(s *system, d endpoint) string {
		var lines strings.Builder
		for i := range 40_000 {
			fmt.Fprintf(&lines, "a%d:\r\n", i)
		}
		return head(s, d, lines.String())
	}))
}

// ahead returns n requests without bodies.
func ahead(n int) func(s *system, d endpoint) string {
	return func(s *system, d endpoint) string {
		return strings.Repeat("GET "+d.path+" HTTP/1.1\r\n"+s.headers+"\r\n", n)
	}
}

// Guards against requests that are parsed and answered ahead of a client that reads nothing.
func TestRequestsAhead(t *testing.T) {
	runCrowd(t, fixed(100), 1, sending(bulk, ahead(10_000)))
}

// Guards against crowds that send slowly and hold more connections than the process has descriptors, at all endpoints at once.
func TestSlowSenders(t *testing.T) {
	for _, p := range programCases() {
		t.Run(p.name, func(t *testing.T) {
			s := p.start(t)
			var open []net.Conn
			for _, d := range append([]endpoint{{"peers", s.peers, "/"}}, s.endpoints...) {
				open = append(open, crowd{conns: 400, client: sendSlowly}.visit(s, d)...)
			}
			s.assertBounded(t, maxDescriptors(p.name))
			closeAll(open)
			s.assertServes(t)
			s.assertBounded(t, maxDescriptors(p.name))
		})
	}
}

// sendSlowly sends most of a header in pieces with pauses.
func sendSlowly(s *system, d endpoint) func(c net.Conn) error {
	text := lengthHead(s, d, s.body)
	return func(c net.Conn) error {
		for i := range 10 {
			if _, err := io.WriteString(c, text[i*len(text)/11:(i+1)*len(text)/11]); err != nil {
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	}
}

// Guards against answers that are kept without a bound for clients that read slowly.
func TestSlowReaders(t *testing.T) {
	runCrowd(t, fixed(150), 1, func(s *system, d endpoint) func(c net.Conn) error {
		text := ahead(3000)(s, d)
		return func(c net.Conn) error {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetReadBuffer(4 << 10)
			}
			go readSlowly(c)
			return writePieces(c, text, 16<<10)
		}
	})
}

// readSlowly reads one byte at a time until the connection is closed.
func readSlowly(c net.Conn) {
	one := make([]byte, 1)
	for {
		if _, err := c.Read(one); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against memory of clients that stop half-way and go, which is not given back.
func TestClientsStopHalfway(t *testing.T) {
	runCrowd(t, fixed(200), 3, sending(onePiece, unfinished(half)))
}
