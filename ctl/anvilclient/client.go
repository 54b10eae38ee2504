// Package anvilclient is the operators' HTTP client of entry instances.
//
// A request goes to the first address that accepts a connection. A change that was sent is never sent again: if its
// response is lost, its outcome is unknown. A read is sent to the next address if its response is lost.
package anvilclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilwire"
)

const (
	// dialTimeout is well above the network delay of 12 ms between regions.
	dialTimeout = 2 * time.Second
	// requestTimeout is above the 5 s within which an entry instance answers a query or a change.
	requestTimeout = 8 * time.Second
	// maxResponse, in bytes, is about four times the status of a cell with 5,600 workers.
	maxResponse = 16 << 20
)

// Client sends requests to entry instances. It is safe for concurrent use.
type Client struct {
	addrs     []string
	key       string
	scheme    string
	http      *http.Client
	transport *http.Transport
}

// Option is an optional setting of New.
type Option func(*Client)

// WithKey sets the secret of the key that every request is authenticated with. Without it requests carry no key.
func WithKey(secret string) Option { return func(c *Client) { c.key = secret } }

// WithRoots makes the client use TLS, at least version 1.2, and trust only certificates that chain to roots. Without
// it requests are plain HTTP.
func WithRoots(roots *x509.CertPool) Option {
	return func(c *Client) {
		c.scheme = "https"
		c.transport.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	}
}

// New returns a client of the entry instances at addrs, each in the form host:port. It connects to none yet.
func New(addrs []string, opts ...Option) *Client {
	// Without Proxy the transport ignores the proxy settings of the environment: entry instances are connected to
	// directly.
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, TLSHandshakeTimeout: dialTimeout, IdleConnTimeout: dialTimeout,
	}
	c := &Client{addrs: slices.Clone(addrs), scheme: "http", transport: transport, http: &http.Client{Transport: transport, Timeout: requestTimeout}}
	// Following a redirect could send a change a second time.
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Addrs returns a copy of the addresses given to New, in the order in which they are tried.
func (c *Client) Addrs() []string { return slices.Clone(c.addrs) }

// call sends a request to the first address that accepts a connection and decodes the response into reply. It
// returns the headers of the response, also if the response is an error.
func (c *Client) call(ctx context.Context, method, path string, body, reply proto.Message) (http.Header, error) {
	var lastErr error
	for _, addr := range c.addrs {
		h, err := c.callAddr(ctx, addr, method, path, body, reply)
		var unreachable *UnreachableError
		if !errors.As(err, &unreachable) {
			return h, err
		}
		lastErr = unreachable.cause
	}
	return nil, &UnreachableError{addrs: c.addrs, cause: lastErr}
}

// callAddr sends a request to one address. Its error is an UnreachableError if the request can safely be sent to
// another address: no connection was made, or a read got no complete response.
func (c *Client) callAddr(ctx context.Context, addr, method, path string, body, reply proto.Message) (http.Header, error) {
	req, connected, err := c.newRequest(ctx, addr, method, path, body)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if !connected.Load() || method == http.MethodGet {
			return nil, &UnreachableError{addrs: []string{addr}, cause: err}
		}
		return nil, anvilerror.UnknownOutcome(anvilerror.Lost, "the request was sent to "+addr+" and got no response", anvilerror.WithCause(err))
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err := errors.Join(err, resp.Body.Close()); err != nil {
		if method == http.MethodGet {
			return nil, &UnreachableError{addrs: []string{addr}, cause: err}
		}
		return resp.Header, anvilerror.UnknownOutcome(anvilerror.Lost, "the response from "+addr+" is incomplete", anvilerror.WithCause(err))
	}
	if resp.StatusCode != http.StatusOK {
		return resp.Header, responseError(resp, text)
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text, reply); err != nil {
		return resp.Header, anvilerror.UnknownOutcome(anvilerror.Internal, "the response from "+addr+" can't be decoded", anvilerror.WithCause(err))
	}
	return resp.Header, nil
}

// newRequest returns a request and a flag that is set when the request gets a connection, after which it may have
// been sent.
func (c *Client) newRequest(ctx context.Context, addr, method, path string, body proto.Message) (*http.Request, *atomic.Bool, error) {
	var text []byte
	if body != nil {
		var err error
		if text, err = protojson.Marshal(body); err != nil {
			return nil, nil, err
		}
	}
	connected := &atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+addr+path, bytes.NewReader(text))
	if err != nil {
		return nil, nil, fmt.Errorf("address %q: %w", addr, err)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	return req, connected, nil
}

// responseError returns the error in a response with a status other than 200. If the body is not a Refusal, the outcome
// is unknown.
func responseError(resp *http.Response, text []byte) error {
	var m anvilwire.Refusal
	err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text, &m)
	if err != nil || m.GetOutcome() == "" {
		return anvilerror.UnknownOutcome(anvilerror.Internal, "response with status "+resp.Status)
	}
	return anvilerror.New(anvilerror.Outcome(m.GetOutcome()), anvilerror.Code(m.GetCode()), m.GetReason(),
		anvilerror.WithRetry(anvilclock.Millis(m.GetRetry())))
}

// configVersion returns the configuration version in the headers of a response, 0 if there is none.
func configVersion(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get("Version"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
