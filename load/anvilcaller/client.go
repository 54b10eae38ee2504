// Package anvilcaller is a client of a cell. It sends calls, tasks, gang jobs and operators' changes to any ready
// entry instance and records the attempts and the known outcome of each.
package anvilcaller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/load/anvilaudit"
)

// The client sets this code itself, because no instance has answered.
const (
	Broken = anvilaudit.Broken
)

const (
	// requestTimeout is the time after which a request without an answer counts as lost. It covers the longest pause
	// of the harness (12 s) and a queue deadline (2 s).
	requestTimeout = 14 * time.Second
	// maxAnswer limits the bytes of an answer that are read.
	maxAnswer = 4 << 20
	// maxIdle lets the connections of all senders stay open between requests.
	maxIdle = 256
)

// Client sends requests. It is safe for concurrent use.
type Client struct {
	balancer      *Balancer
	http          *http.Client
	clock         anvilclock.Clock
	singleAttempt bool
}

// Option configures a Client.
type Option func(*Client)

// WithSingleAttempt turns retries off, except after an attempt that could not be sent because no connection was
// opened.
func WithSingleAttempt() Option { return func(c *Client) { c.singleAttempt = true } }

// New returns a client that sends to the instances that the balancer chooses. Close does not close the
// balancer.
func New(b *Balancer, opts ...Option) *Client {
	c := &Client{
		balancer: b, clock: anvilclock.NewSystem(),
		http: &http.Client{
			Timeout:   requestTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
		},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Balancer returns the balancer that New was given.
func (c *Client) Balancer() *Balancer { return c.balancer }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Answer is the result of one attempt.
type Answer struct {
	instance string
	sent     anvilclock.Millis
	answered anvilclock.Millis
	outcome  anvilerror.Outcome
	code     anvilerror.Code
	retry    anvilclock.Millis
	version  int64
	status   int
	body     []byte
}

// Outcome returns the outcome of the attempt, or anvilaudit.NoAnswer.
func (a Answer) Outcome() anvilerror.Outcome { return a.outcome }

// Code returns the reason code; it is empty if there is none.
func (a Answer) Code() anvilerror.Code { return a.code }

// Retry returns how long the instance asks the caller to wait before the next attempt, 0 if it doesn't say.
func (a Answer) Retry() anvilclock.Millis { return a.retry }

// Status returns the HTTP status, 0 if there was no answer.
func (a Answer) Status() int { return a.status }

// Body returns the body of the answer; the slice is not a copy.
func (a Answer) Body() []byte { return a.body }

// Sent returns when the request was sent.
func (a Answer) Sent() anvilclock.Millis { return a.sent }

// Answered returns when the answer was complete or the attempt had failed.
func (a Answer) Answered() anvilclock.Millis { return a.answered }

// Instance returns the address that the request was sent to.
func (a Answer) Instance() string { return a.instance }

func (a Answer) attempt(key string) anvilaudit.Attempt {
	return anvilaudit.NewAttempt(a.instance, key, a.sent, a.answered, a.outcome, a.code)
}

// send sends a request once, to the instance at addr, and returns what is known of its outcome. Without an
// address nothing is sent.
func (c *Client) send(ctx context.Context, addr, method, path, key string, header map[string]string, body []byte) Answer {
	a := Answer{instance: addr, sent: c.clock.Unix()}
	if addr == "" {
		a.outcome, a.code, a.answered = anvilerror.NotRun, anvilaudit.Unsent, a.sent
		return a
	}
	a = c.exchange(ctx, a, method, path, key, header, body)
	a.answered = c.clock.Unix()
	return a
}

func (c *Client) exchange(ctx context.Context, a Answer, method, path, key string, header map[string]string, body []byte) Answer {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.instance+path, bytes.NewReader(body))
	if err != nil {
		a.outcome, a.code = anvilerror.NotRun, anvilaudit.Unsent
		return a
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		a.outcome, a.code = errorOutcome(err)
		return a
	}
	a.status = resp.StatusCode
	a.body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err := errors.Join(err, resp.Body.Close()); err != nil {
		a.outcome, a.code = errorOutcome(err)
		return a
	}
	a.outcome, a.code = responseOutcome(resp)
	if ms, err := strconv.ParseInt(resp.Header.Get("Retry"), 10, 64); err == nil {
		a.retry = anvilclock.Millis(ms)
	}
	if v, err := strconv.ParseInt(resp.Header.Get("Version"), 10, 64); err == nil {
		a.version = v
	}
	return a
}

// errorOutcome returns the outcome of an attempt without a complete answer. If no connection could be opened, nothing
// was sent; if one failed, the request may have arrived; after a timeout or a cancellation there is no outcome.
func errorOutcome(err error) (anvilerror.Outcome, anvilerror.Code) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return anvilerror.NotRun, anvilaudit.Unsent
	}
	var timeout net.Error
	if errors.Is(err, context.Canceled) || (errors.As(err, &timeout) && timeout.Timeout()) {
		return anvilaudit.NoAnswer, anvilerror.Deadline
	}
	return anvilerror.Unknown, Broken
}

// responseOutcome returns the outcome and the code in the headers of a response. Without an outcome header the
// status decides.
func responseOutcome(resp *http.Response) (anvilerror.Outcome, anvilerror.Code) {
	code := anvilerror.Code(resp.Header.Get("Code"))
	switch o := anvilerror.Outcome(resp.Header.Get("Outcome")); o {
	case anvilerror.Done, anvilerror.NotRun, anvilerror.Unknown:
		return o, code
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return anvilerror.Done, code
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout:
		return anvilerror.Unknown, code
	default:
		return anvilerror.NotRun, code
	}
}

// checkAnswer compares the answer to a call with its request. It returns how they differ, or an empty string.
func checkAnswer(id string, sent, got []byte) string {
	line, body, ok := bytes.Cut(got, []byte("\n"))
	words := strings.Fields(string(line))
	if !ok || len(words) != 3 || words[0] != "answer" {
		return fmt.Sprintf("the answer starts with %.60q", line)
	}
	_, start := anviltask.SplitID(words[1])
	if uid, _, _ := strings.Cut(start, "/"); uid != id {
		return "the answer is for request " + uid
	}
	if sum, err := strconv.ParseUint(words[2], 16, 64); err != nil || sum != xxhash.Sum64(sent) {
		return "the answer has the hash " + words[2] + ", which is not that of the sent body"
	}
	if !bytes.Equal(body, sent) {
		return fmt.Sprintf("the answer has a body of %d bytes that differs from the %d bytes sent", len(body), len(sent))
	}
	return ""
}
