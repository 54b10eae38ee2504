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

// patience ends a test that hangs; no result depends on it.
const patience = 20 * time.Second

func newCaller(t *testing.T) *http.Client {
	t.Helper()
	tr := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, Timeout: patience}
}

func started(t *testing.T, b *bench) *anvillistener.Server {
	t.Helper()
	s := b.front.NewServer("127.0.0.1:0")
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	return s
}

func stop(t *testing.T, s *anvillistener.Server) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// Guards against requests over a bound that get a closed connection in place of an answer.
func TestServerBounds(t *testing.T) {
	b := newBench(WithSizeLimits(1000, defaultHeaders))
	s := started(t, b)
	defer stop(t, s)
	url := "http://" + s.Addr()
	c := newCaller(t)
	t.Run("at the bound", func(t *testing.T) {
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
	t.Run("no HTTP", func(t *testing.T) {
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

// Guards against connections without a bound.
func TestServerConnections(t *testing.T) {
	b := newBench(WithConnLimits(1, 1))
	s := started(t, b)
	defer stop(t, s)
	c := newCaller(t)
	assertPost(t, c, "http://"+s.Addr(), nil, 200, "", "answer")
	if _, err := newCaller(t).Post("http://"+s.Addr()+"/v1/call/layout", "", nil); err == nil {
		t.Fatal("a second connection was served")
	}
	assertPost(t, c, "http://"+s.Addr(), nil, 200, "", "answer")
	c.CloseIdleConnections()
}

// slowDesk answers when told to.
type slowDesk struct {
	fakeDesk
	taken   chan struct{}
	release chan struct{}
}

func (d *slowDesk) Submit(_ anvilcontrol.Forward, reply chan<- anvilcontrol.Result) bool {
	go func() {
		d.taken <- struct{}{}
		<-d.release
		reply <- anvilcontrol.NewAnswer(make([]byte, 4<<20))
	}()
	return true
}

// Guards against a planned stop that breaks the connection of a request in flight, or of one whose
// answer is still being written.
func TestServerStop(t *testing.T) {
	b := newBench()
	d := &slowDesk{taken: make(chan struct{}), release: make(chan struct{})}
	b.front.dispatcher = d
	b.front.answer = patience
	b.front.clock = anvilclock.NewSystem()
	s := started(t, b)
	got := make(chan int, 1)
	go func() {
		resp, err := newCaller(t).Post("http://"+s.Addr()+"/v1/call/layout", "", nil)
		if err != nil {
			got <- -1
			return
		}
		defer func() { _ = resp.Body.Close() }()
		n, _ := io.Copy(io.Discard, resp.Body)
		got <- int(n)
	}()
	<-d.taken
	b.front.Leave()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop(t, s)
	}()
	close(d.release)
	if n := <-got; n != 4<<20 {
		t.Fatalf("answer of %d bytes", n)
	}
	<-stopped
}

// Guards against the time limit of an idle connection running out while its request is answered.
// The second connection is opened later, so the limit of the first has passed when it is closed.
func TestServerIdle(t *testing.T) {
	for name, opts := range map[string][]Option{"plain": nil, "TLS": {WithCertificates(newCertificate(t))}} {
		t.Run(name, func(t *testing.T) {
			b := newBench(append(opts, WithIdle(100*time.Millisecond))...)
			d := &slowDesk{taken: make(chan struct{}), release: make(chan struct{})}
			b.front.dispatcher = d
			b.front.answer = patience
			s := started(t, b)
			defer stop(t, s)
			scheme := "http://"
			if opts != nil {
				scheme = "https://"
			}
			got := make(chan error, 1)
			caller := newCaller(t)
			go func() {
				resp, err := caller.Post(scheme+s.Addr()+"/v1/call/layout", "", nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				got <- err
			}()
			<-d.taken
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

// Guards against plain text being accepted where TLS was asked for, and against a stop that waits
// for encrypted connections that are closed.
func TestServerTLS(t *testing.T) {
	b := newBench(WithCertificates(newCertificate(t)))
	s := started(t, b)
	c := newCaller(t)
	assertPost(t, c, "https://"+s.Addr(), strings.NewReader("body"), 200, "", "answer")
	if _, err := newCaller(t).Post("http://"+s.Addr()+"/v1/call/layout", "", nil); err == nil {
		t.Fatal("plain text was served")
	}
	c.CloseIdleConnections()
	stop(t, s)
}
