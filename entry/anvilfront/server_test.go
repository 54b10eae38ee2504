package anvilfront

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/entry/anvillistener"
	"anvilhold.org/lib/anvilclock"
)

// testTimeout ends a test that hangs; no result depends on it.
const testTimeout = 20 * time.Second

func newClient(t *testing.T) *http.Client {
	t.Helper()
	tr := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, Timeout: testTimeout}
}

func startServer(t *testing.T, h *harness) *anvillistener.Server {
	t.Helper()
	s := h.front.NewServer("127.0.0.1:0")
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	return s
}

func stop(t *testing.T, s *anvillistener.Server) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := s.Stop(ctx); err != nil {
		t.Fatal(err)
	}
}

func assertPost(t *testing.T, c *http.Client, url string, body io.Reader, status int, code, text string) {
	t.Helper()
	resp, err := c.Post(url+"/v1/call/layout", "", body)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status || resp.Header.Get("Code") != code || (text != "" && string(got) != text) {
		t.Fatalf("got %d %s %q (%v), want %d %s %q", resp.StatusCode, resp.Header.Get("Code"), got, err, status, code, text)
	}
}

// Guards against a closed connection in place of a response to a request that is too large or can't be parsed.
func TestServerLimits(t *testing.T) {
	h := newHarness(WithSizeLimits(1000, defaultHeaders))
	s := startServer(t, h)
	defer stop(t, s)
	url := "http://" + s.Addr()
	c := newClient(t)
	t.Run("at the limit", func(t *testing.T) {
		assertPost(t, c, url, strings.NewReader(strings.Repeat("x", 1000)), 200, "", "answer")
	})
	t.Run("one byte over", func(t *testing.T) {
		assertPost(t, c, url, strings.NewReader(strings.Repeat("x", 1001)), 413, "large", "")
	})
	t.Run("far over", func(t *testing.T) {
		assertPost(t, c, url, strings.NewReader(strings.Repeat("x", 8<<20)), 413, "large", "")
	})
	t.Run("chunked", func(t *testing.T) {
		assertPost(t, c, url, io.MultiReader(strings.NewReader(strings.Repeat("x", 4000))), 413, "large", "")
	})
	t.Run("not HTTP", func(t *testing.T) {
		conn, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, "GET \x01 nonsense\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		line := make([]byte, len("HTTP/1.1 400"))
		if _, err := io.ReadFull(conn, line); err != nil || string(line) != "HTTP/1.1 400" {
			t.Fatalf("got %q, %v", line, err)
		}
	})
}

// Guards against accepting more connections than the limit.
func TestServerConnections(t *testing.T) {
	h := newHarness(WithConnLimits(1, 1))
	s := startServer(t, h)
	defer stop(t, s)
	c := newClient(t)
	assertPost(t, c, "http://"+s.Addr(), nil, 200, "", "answer")
	if _, err := newClient(t).Post("http://"+s.Addr()+"/v1/call/layout", "", nil); err == nil {
		t.Fatal("a second connection was served")
	}
	assertPost(t, c, "http://"+s.Addr(), nil, 200, "", "answer")
	c.CloseIdleConnections()
}

// slowDispatcher sends a result of 4 MiB once release is closed.
type slowDispatcher struct {
	fakeDispatcher
	received chan struct{}
	release  chan struct{}
}

func (d *slowDispatcher) Submit(_ anvilcontrol.Forward, reply chan<- anvilcontrol.Result) bool {
	go func() {
		d.received <- struct{}{}
		<-d.release
		reply <- anvilcontrol.NewAnswer(make([]byte, 4<<20))
	}()
	return true
}

// Guards against a planned stop that closes the connection of a request in flight, or of one whose response is still
// being written.
func TestServerStop(t *testing.T) {
	h := newHarness()
	d := &slowDispatcher{received: make(chan struct{}), release: make(chan struct{})}
	h.front.dispatcher = d
	h.front.callTimeout = testTimeout
	h.front.clock = anvilclock.NewSystem()
	s := startServer(t, h)
	got := make(chan int, 1)
	go func() {
		resp, err := newClient(t).Post("http://"+s.Addr()+"/v1/call/layout", "", nil)
		if err != nil {
			got <- -1
			return
		}
		defer func() { _ = resp.Body.Close() }()
		n, _ := io.Copy(io.Discard, resp.Body)
		got <- int(n)
	}()
	<-d.received
	h.front.Leave()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop(t, s)
	}()
	close(d.release)
	if n := <-got; n != 4<<20 {
		t.Fatalf("got a response of %d bytes", n)
	}
	<-stopped
}

// Guards against the idle timeout closing a connection whose request is still being handled. The second connection is
// opened later, so when it is closed, the idle timeout of the first has passed too.
func TestServerIdle(t *testing.T) {
	for name, opts := range map[string][]Option{"plain": nil, "TLS": {WithCertificates(newCertificate(t))}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(append(opts, WithIdle(100*time.Millisecond))...)
			d := &slowDispatcher{received: make(chan struct{}), release: make(chan struct{})}
			h.front.dispatcher = d
			h.front.callTimeout = testTimeout
			s := startServer(t, h)
			defer stop(t, s)
			scheme := "http://"
			if opts != nil {
				scheme = "https://"
			}
			got := make(chan error, 1)
			caller := newClient(t)
			go func() {
				resp, err := caller.Post(scheme+s.Addr()+"/v1/call/layout", "", nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				got <- err
			}()
			<-d.received
			idle, err := net.Dial("tcp", s.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = idle.Close() }()
			if _, err := idle.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Fatalf("idle connection: %v", err)
			}
			close(d.release)
			if err := <-got; err != nil {
				t.Fatal(err)
			}
			caller.CloseIdleConnections()
		})
	}
}

type fixedCertificate struct{ cert tls.Certificate }

func (c fixedCertificate) Certificate() *tls.Certificate { return &c.cert }

func newCertificate(t *testing.T) fixedCertificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return fixedCertificate{cert: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}}
}

// Guards against plain text being accepted where TLS is set, and against a stop that waits for TLS connections that
// are closed already.
func TestServerTLS(t *testing.T) {
	h := newHarness(WithCertificates(newCertificate(t)))
	s := startServer(t, h)
	c := newClient(t)
	assertPost(t, c, "https://"+s.Addr(), strings.NewReader("body"), 200, "", "answer")
	if _, err := newClient(t).Post("http://"+s.Addr()+"/v1/call/layout", "", nil); err == nil {
		t.Fatal("plain text was served")
	}
	c.CloseIdleConnections()
	stop(t, s)
}
