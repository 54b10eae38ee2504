package anvilcert

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

type paths struct{ cert, key, ca string }

func newPaths(t *testing.T) paths {
	dir := t.TempDir()
	return paths{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}
}

// write replaces the files with a new certificate and sets their modification time to at, because some file systems
// record it only coarsely.
func (p paths) write(t *testing.T, at time.Time) []byte {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	p.put(t, p.cert, cert, at)
	p.put(t, p.ca, cert, at)
	p.put(t, p.key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), at)
	return der
}

func (p paths) put(t *testing.T, file string, text []byte, at time.Time) {
	t.Helper()
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(file, at, at); err != nil {
		t.Fatal(err)
	}
}

func assertCertificate(t *testing.T, f *Files, der []byte) {
	t.Helper()
	if !bytes.Equal(f.Certificate().Certificate[0], der) {
		t.Fatal("the wrong certificate is in use")
	}
}

func assertReload(t *testing.T, f *Files, changed, failed bool) {
	t.Helper()
	if got, err := f.Reload(); got != changed || (err != nil) != failed {
		t.Fatalf("got changed %v, error %v", got, err)
	}
}

// Guards against a replaced certificate that is not loaded, and against a half-written one that is.
func TestReload(t *testing.T) {
	p, now := newPaths(t), time.Now()
	first := p.write(t, now)
	f, err := Load(p.cert, p.key, p.ca)
	if err != nil {
		t.Fatal(err)
	}
	t.Run("unchanged", func(t *testing.T) {
		assertReload(t, f, false, false)
		assertCertificate(t, f, first)
	})
	t.Run("half written", func(t *testing.T) {
		p.put(t, p.cert, []byte("-----BEGIN"), now.Add(time.Second))
		assertReload(t, f, false, true)
		assertCertificate(t, f, first)
	})
	t.Run("replaced", func(t *testing.T) {
		second := p.write(t, now.Add(2*time.Second))
		assertReload(t, f, true, false)
		assertCertificate(t, f, second)
	})
	t.Run("missing", func(t *testing.T) {
		if err := os.Remove(p.key); err != nil {
			t.Fatal(err)
		}
		assertReload(t, f, false, true)
	})
}

// Guards against a start with a file of trusted certificates that contains none.
func TestLoad(t *testing.T) {
	p := newPaths(t)
	p.write(t, time.Now())
	p.put(t, p.ca, []byte("nothing"), time.Now())
	_, err := Load(p.cert, p.key, p.ca)
	var fe *FileError
	if !errors.As(err, &fe) || fe.File() != p.ca {
		t.Fatalf("got %v", err)
	}
}
