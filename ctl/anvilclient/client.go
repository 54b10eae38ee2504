// Package anvilclient talks to entry instances on behalf of an operator.
//
// A request goes to the first address that accepts a connection. A request that was sent is never
// sent again: when its answer is lost, a change has an unknown outcome.
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
	// dialLimit is well above the 12 ms between regions.
	dialLimit = 2 * time.Second
	// answerLimit is above the 5 s within which an entry instance answers a question or a change.
	answerLimit = 8 * time.Second
	// maxAnswer is about four times the status of 5,600 workers.
	maxAnswer = 16 << 20
)

// Client asks entry instances. It is safe for concurrent use.
type Client struct {
	addrs  []string
	key    string
	scheme string
	http   *http.Client
	dial   *http.Transport
}

// Option sets an optional part of a Client.
type Option func(*Client)

// WithKey sets the secret that is sent with every request.
func WithKey(secret string) Option { return func(c *Client) { c.key = secret } }

// WithRoots makes the client use TLS and trust only certificates that roots vouch for.
func WithRoots(roots *x509.CertPool) Option {
	return func(c *Client) {
		c.scheme = "https"
		c.dial.TLSClientConfig = &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}
	}
}

// New returns a client of the entry instances at addrs.
func New(addrs []string, opts ...Option) *Client {
	// Entry instances are met directly, so proxies of the environment don't count.
	dial := &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialLimit}).DialContext, TLSHandshakeTimeout: dialLimit, IdleConnTimeout: dialLimit,
	}
	c := &Client{addrs: slices.Clone(addrs), scheme: "http", dial: dial, http: &http.Client{Transport: dial, Timeout: answerLimit}}
	// A redirect would send a change a second time.
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Addrs returns the addresses.
func (c *Client) Addrs() []string { return slices.Clone(c.addrs) }

// call sends a request to the first address that accepts a connection and reads the answer into
// reply. It returns the answer's headers, also with a refusal.
func (c *Client) call(ctx context.Context, method, path string, body, reply proto.Message) (http.Header, error) {
	var last error
	for _, addr := range c.addrs {
		h, err := c.callAt(ctx, addr, method, path, body, reply)
		var away *UnreachableError
		if !errors.As(err, &away) {
			return h, err
		}
		last = away.cause
	}
	return nil, &UnreachableError{addrs: c.addrs, cause: last}
}

// callAt sends a request to one address.
func (c *Client) callAt(ctx context.Context, addr, method, path string, body, reply proto.Message) (http.Header, error) {
	req, connected, err := c.request(ctx, addr, method, path, body)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if !connected.Load() || method == http.MethodGet {
			return nil, &UnreachableError{addrs: []string{addr}, cause: err}
		}
		return nil, anvilerror.UnknownOutcome(anvilerror.Lost, "the request was sent to "+addr+" and got no answer", anvilerror.WithCause(err))
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err := errors.Join(err, resp.Body.Close()); err != nil {
		if method == http.MethodGet {
			return nil, &UnreachableError{addrs: []string{addr}, cause: err}
		}
		return resp.Header, anvilerror.UnknownOutcome(anvilerror.Lost, "the answer of "+addr+" is incomplete", anvilerror.WithCause(err))
	}
	if resp.StatusCode != http.StatusOK {
		return resp.Header, refusal(resp, text)
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text, reply); err != nil {
		return resp.Header, anvilerror.UnknownOutcome(anvilerror.Internal, "the answer of "+addr+" can't be read", anvilerror.WithCause(err))
	}
	return resp.Header, nil
}

// request returns a request and whether it had a connection, which is set while it is sent.
func (c *Client) request(ctx context.Context, addr, method, path string, body proto.Message) (*http.Request, *atomic.Bool, error) {
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

// refusal reads an answer with a status other than 200. Without a Refusal nothing is known.
func refusal(resp *http.Response, text []byte) error {
	var m anvilwire.Refusal
	err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(text, &m)
	if err != nil || m.GetOutcome() == "" {
		return anvilerror.UnknownOutcome(anvilerror.Internal, "answer with status "+resp.Status)
	}
	return anvilerror.New(anvilerror.Outcome(m.GetOutcome()), anvilerror.Code(m.GetCode()), m.GetReason(),
		anvilerror.WithRetry(anvilclock.Millis(m.GetRetry())))
}

func versionOf(h http.Header) int64 {
	n, err := strconv.ParseInt(h.Get("Version"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
