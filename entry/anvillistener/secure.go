package anvillistener

import (
	std "crypto/tls"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// Certificates gives the newest certificate of this instance.
type Certificates interface {
	Certificate() *std.Certificate
}

// WithCertificates makes the listener use TLS; the default is plain text.
func WithCertificates(c Certificates) Option { return func(s *Server) { s.certs = c } }

// secureConfig asks for the certificate at each handshake. nbhttp needs the copy of the standard
// library's TLS that doesn't block on reads.
func secureConfig(c Certificates) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert := c.Certificate()
			return &tls.Certificate{Certificate: cert.Certificate, PrivateKey: cert.PrivateKey, Leaf: cert.Leaf}, nil
		},
	}
}

// secure hands a connection to nbhttp, which closes it when a request can't be parsed.
func (s *Server) secure(c *nbio.Conn) {
	s.engine.AddConnTLSNonBlocking(&nbhttp.Conn{Conn: c}, s.tls, func() {})
}
