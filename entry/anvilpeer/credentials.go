package anvilpeer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"

	"google.golang.org/grpc/credentials"
)

// Certificates provides the certificates in force: the one of this instance, and the pool that the certificates of
// peers are verified against. The methods are called at each handshake, on any goroutine.
type Certificates interface {
	Certificate() *tls.Certificate
	Pool() *x509.CertPool
}

// Credentials returns mutual TLS 1.3 that asks c for the certificates at each handshake. Client and server verify each
// other, because a peer may submit tasks for any team.
func Credentials(c Certificates) credentials.TransportCredentials {
	return reloadingCredentials{certs: c}
}

type reloadingCredentials struct {
	certs Certificates
}

func (r reloadingCredentials) current() credentials.TransportCredentials {
	pool := r.certs.Pool()
	return credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{*r.certs.Certificate()}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	})
}

// ClientHandshake implements credentials.TransportCredentials.
func (r reloadingCredentials) ClientHandshake(ctx context.Context, authority string, c net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return r.current().ClientHandshake(ctx, authority, c)
}

// ServerHandshake implements credentials.TransportCredentials.
func (r reloadingCredentials) ServerHandshake(c net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return r.current().ServerHandshake(c)
}

// Info implements credentials.TransportCredentials.
func (r reloadingCredentials) Info() credentials.ProtocolInfo { return r.current().Info() }

// Clone implements credentials.TransportCredentials.
func (r reloadingCredentials) Clone() credentials.TransportCredentials { return r }

// OverrideServerName implements credentials.TransportCredentials. It has no effect: the server name is that of the
// address.
func (reloadingCredentials) OverrideServerName(string) error { return nil }
