package anvilpeer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"

	"google.golang.org/grpc/credentials"
)

// Certificates gives the newest certificate of this instance and those that peers are checked
// against.
type Certificates interface {
	Certificate() *tls.Certificate
	Pool() *x509.CertPool
}

// Credentials returns mutual TLS whose certificates are asked for at each handshake. Both sides
// check each other: a peer may submit tasks for any team.
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

// ClientHandshake secures an outgoing connection.
func (r reloadingCredentials) ClientHandshake(ctx context.Context, authority string, c net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return r.current().ClientHandshake(ctx, authority, c)
}

// ServerHandshake secures an accepted connection.
func (r reloadingCredentials) ServerHandshake(c net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return r.current().ServerHandshake(c)
}

// Info describes the protocol.
func (r reloadingCredentials) Info() credentials.ProtocolInfo { return r.current().Info() }

// Clone returns a copy.
func (r reloadingCredentials) Clone() credentials.TransportCredentials { return r }

// OverrideServerName is not supported: names are those of the addresses.
func (reloadingCredentials) OverrideServerName(string) error { return nil }
