package anvillistener

import (
	std "crypto/tls"

	"github.com/lesismal/llib/std/crypto/tls"
)

// Certificates provides the certificate for each handshake. Handshakes run on several goroutines.
type Certificates interface {
	Certificate() *std.Certificate
}

// WithCertificates makes the listener use TLS; the default is plain text.
func WithCertificates(c Certificates) Option { return func(s *Server) { s.certs = c } }

// tlsConfig returns a configuration that reads the certificate at each handshake, so that a replaced one is used. nbhttp
// needs its own copy of crypto/tls, whose reads don't block.
func tlsConfig(c Certificates) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert := c.Certificate()
			return &tls.Certificate{Certificate: cert.Certificate, PrivateKey: cert.PrivateKey, Leaf: cert.Leaf}, nil
		},
	}
}
