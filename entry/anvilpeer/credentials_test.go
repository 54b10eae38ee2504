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

// identity is a self-signed certificate that trusts what trust names.
type testCert struct {
	cert tls.Certificate
	pool *x509.CertPool
}

func (i *testCert) Certificate() *tls.Certificate { return &i.cert }
func (i *testCert) Pool() *x509.CertPool          { return i.pool }

func (i *testCert) trust(other *testCert) { i.pool.AddCert(other.cert.Leaf) }

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

// Guards against a stranger that submits tasks for any team over the peer protocol, and against a
// replaced certificate that is not used.
func TestCredentials(t *testing.T) {
	server, friend, stranger := newTestCert(t), newTestCert(t), newTestCert(t)
	friend.trust(server)
	stranger.trust(server)
	server.trust(friend)
	_, addr := serveWith(t, &fakeLoop{result: anvilcontrol.NewAnswer([]byte("answer"))}, Credentials(server))
	f := anvilcontrol.NewForward(task(), 1, 7)
	t.Run("friend", func(t *testing.T) {
		p, _ := client(t, WithCredentials(Credentials(friend)))
		if r := p.forward(addr, f); r.Err() != nil {
			t.Fatal(r.Err())
		}
	})
	t.Run("stranger", func(t *testing.T) {
		p, _ := client(t, WithCredentials(Credentials(stranger)))
		if r := p.forward(addr, f); r.Err() == nil {
			t.Fatal("a stranger was served")
		}
	})
	t.Run("plain text", func(t *testing.T) {
		p, _ := client(t)
		// Code owner would say that no process listens there, which takes the peer for gone.
		assertFailure(t, p.forward(addr, f), anvilerror.NotRun, anvilerror.Lost)
	})
	t.Run("stranger that became a friend", func(t *testing.T) {
		server.trust(stranger)
		p, _ := client(t, WithCredentials(Credentials(stranger)))
		if r := p.forward(addr, f); r.Err() != nil {
			t.Fatal(r.Err())
		}
	})
}
