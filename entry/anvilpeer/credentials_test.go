package anvilpeer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilerror"
)

// testCert is a self-signed certificate with the pool of the certificates that it trusts.
type testCert struct {
	cert tls.Certificate
	pool *x509.CertPool
}

func (c *testCert) Certificate() *tls.Certificate { return &c.cert }
func (c *testCert) Pool() *x509.CertPool          { return c.pool }

func (c *testCert) trust(other *testCert) { c.pool.AddCert(other.cert.Leaf) }

func newTestCert(t *testing.T) *testCert {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &testCert{cert: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, pool: x509.NewCertPool()}
}

// Guards against an untrusted client that submits tasks for any team, and against a replaced certificate pool that has
// no effect on new connections.
func TestCredentials(t *testing.T) {
	server, trusted, untrusted := newTestCert(t), newTestCert(t), newTestCert(t)
	trusted.trust(server)
	untrusted.trust(server)
	server.trust(trusted)
	_, addr := serveWith(t, &fakeLoop{result: anvilcontrol.NewAnswer([]byte("answer"))}, Credentials(server))
	f := anvilcontrol.NewForward(task(), 1, 7)
	t.Run("trusted client", func(t *testing.T) {
		p, _ := client(t, WithCredentials(Credentials(trusted)))
		if r := p.forward(addr, f); r.Err() != nil {
			t.Fatal(r.Err())
		}
	})
	t.Run("untrusted client", func(t *testing.T) {
		p, _ := client(t, WithCredentials(Credentials(untrusted)))
		if r := p.forward(addr, f); r.Err() == nil {
			t.Fatal("an untrusted client was served")
		}
	})
	t.Run("plain text", func(t *testing.T) {
		p, _ := client(t)
		// The code NoOwner would mean that no process listens at the address, so that the peer counts as exited.
		assertFailure(t, p.forward(addr, f), anvilerror.NotRun, anvilerror.Lost)
	})
	t.Run("client that becomes trusted", func(t *testing.T) {
		server.trust(untrusted)
		p, _ := client(t, WithCredentials(Credentials(untrusted)))
		if r := p.forward(addr, f); r.Err() != nil {
			t.Fatal(r.Err())
		}
	})
}
