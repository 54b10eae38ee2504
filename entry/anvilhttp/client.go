// Package anvilhttp is a client that sends protobuf messages as JSON over HTTP. Its errors say whether a failed request
// was sent.
package anvilhttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const (
	dialTimeout         = time.Second
	idleTimeout         = 90 * time.Second
	maxIdleConns        = 16384
	maxIdleConnsPerHost = 32
	defaultMaxConns     = 256
	defaultMaxResponse  = 4 << 20
)

// Client sends requests over one transport, which reuses connections. It is safe for concurrent use.
type Client struct {
	client      *http.Client
	maxConns    int
	maxResponse int64
	header      http.Header
}

// Option configures a Client.
type Option func(*Client)

// WithConns limits the number of connections to one host; further requests wait for one.
func WithConns(n int) Option { return func(c *Client) { c.maxConns = n } }

// WithMaxResponse limits the size of a response's body in bytes. A longer one is an error.
func WithMaxResponse(n int64) Option { return func(c *Client) { c.maxResponse = n } }

// WithHeader sets a header of each request.
func WithHeader(name, value string) Option { return func(c *Client) { c.header.Set(name, value) } }

// New returns a Client that does not follow redirects.
func New(opts ...Option) *Client {
	c := &Client{maxConns: defaultMaxConns, maxResponse: defaultMaxResponse, header: http.Header{}}
	for _, opt := range opts {
		opt(c)
	}
	c.client = &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}).DialContext,
			MaxConnsPerHost:     c.maxConns,
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: min(c.maxConns, maxIdleConnsPerHost),
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

// Close closes idle connections. The Client can still be used.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Error reports a request without a usable response.
type Error struct {
	sent   bool
	status int
	cause  error
}

// Sent reports whether the request may have reached the server. If not, it has not run there.
func (e *Error) Sent() bool { return e.sent }

// Status returns the HTTP status of a response outside 200 to 299; 0 for any other error.
func (e *Error) Status() int { return e.status }

func (e *Error) Unwrap() error { return e.cause }

// Error returns the status, if there is one, and the cause on one line.
func (e *Error) Error() string {
	if e.status != 0 {
		return fmt.Sprintf("status %d: %v", e.status, e.cause)
	}
	return e.cause.Error()
}

// Post sends in and decodes the response into out. If out is nil, the response is ignored. Unknown fields of the
// response are ignored. The error is always an *Error.
func (c *Client) Post(ctx context.Context, url string, in, out proto.Message) error {
	body, err := protojson.Marshal(in)
	if err != nil {
		return &Error{cause: err}
	}
	return c.do(ctx, http.MethodPost, url, body, decoder(out))
}

// Get sends a GET request and decodes the response into out as Post does. The error is always an *Error.
func (c *Client) Get(ctx context.Context, url string, out proto.Message) error {
	return c.do(ctx, http.MethodGet, url, nil, decoder(out))
}

// GetWith sends a GET request and passes the body of a successful response to decode. The error is always an *Error.
func (c *Client) GetWith(ctx context.Context, url string, decode func([]byte) error) error {
	return c.do(ctx, http.MethodGet, url, nil, decode)
}

// decoder returns a function that decodes a body into out; nil when out is nil.
func decoder(out proto.Message) func([]byte) error {
	if out == nil {
		return nil
	}
	return func(data []byte) error {
		return (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, out)
	}
}

func (c *Client) do(ctx context.Context, method, url string, body []byte, decode func([]byte) error) error {
	// A server acts on a request only after it has read all headers, so a request whose headers were not written has not
	// run. The hook is called on a goroutine of the transport.
	var headersWritten atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { headersWritten.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return &Error{cause: err}
	}
	for name, values := range c.header {
		req.Header[name] = values
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return &Error{sent: headersWritten.Load(), cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.maxResponse+1))
	if err != nil {
		return &Error{sent: true, cause: err}
	}
	if int64(len(data)) > c.maxResponse {
		return &Error{sent: true, cause: fmt.Errorf("the response is longer than %d bytes", c.maxResponse)}
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return &Error{sent: true, status: resp.StatusCode, cause: errors.New(firstLine(data))}
	}
	if decode == nil {
		return nil
	}
	if err := decode(data); err != nil {
		return &Error{sent: true, cause: err}
	}
	return nil
}

const maxLine = 200

func firstLine(data []byte) string {
	line, _, _ := bytes.Cut(data, []byte("\n"))
	return string(line[:min(len(line), maxLine)])
}
