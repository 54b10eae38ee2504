package anvilcaller

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
	"anvilhold.org/lib/anvilwire"
	"anvilhold.org/load/anvilaudit"
)

const (
	// maxAttempts limits how often a request is sent.
	maxAttempts = 3
	// maxBackoff limits the time between two attempts, so that retries don't prolong a run.
	maxBackoff = time.Second
	// minBackoff leaves the balancer time to notice a failed instance.
	minBackoff = 50 * time.Millisecond
)

// Call sends a service request until it is done or may not be sent again, at most maxAttempts times. A non-idempotent
// request is sent again with the same id, and to another instance if there is one, until its outcome is done. Any other
// request is sent again only if its last attempt was never sent.
func (c *Client) Call(ctx context.Context, key string, t *anviltask.Task) anvilaudit.Request {
	r, _ := c.CallAnswer(ctx, key, t)
	return r
}

// CallAnswer is like Call but also returns the last answer.
func (c *Client) CallAnswer(ctx context.Context, key string, t *anviltask.Task) (anvilaudit.Request, Answer) {
	return c.call(ctx, key, t, true)
}

// CallAgain is like CallAnswer, for a request whose id has been sent before: it leaves out the header that
// marks a first attempt.
func (c *Client) CallAgain(ctx context.Context, key string, t *anviltask.Task) (anvilaudit.Request, Answer) {
	return c.call(ctx, key, t, false)
}

func (c *Client) call(ctx context.Context, key string, t *anviltask.Task, first bool) (anvilaudit.Request, Answer) {
	header := map[string]string{"Request-Id": t.ID()}
	if t.NonIdempotent() {
		header["Idempotent"] = "no"
	}
	if t.NonIdempotent() && first {
		header["Attempt"] = "1"
	}
	if !t.Size().IsZero() {
		header["Size"] = t.Size().String()
	}
	if t.Urgent() {
		header["Urgent"] = "yes"
	}
	if t.MaxWait() > 0 {
		header["Deadline"] = strconv.FormatInt(int64(t.MaxWait()), 10)
	}
	attempts, last := c.sendWithRetries(ctx, key, t.NonIdempotent(), func(addr string) (Answer, string) {
		a := c.send(ctx, addr, http.MethodPost, "/v1/call/"+url.PathEscape(t.Pool()), key, header, t.Body())
		delete(header, "Attempt")
		if a.outcome != anvilerror.Done || a.code != "" {
			return a, ""
		}
		return a, checkAnswer(t.ID(), t.Body(), a.body)
	})
	return anvilaudit.NewRequest(t.ID(), t.Team(), anviltask.Call, t.NonIdempotent(), 1, attempts...), last
}

// sendWithRetries sends a request until it is done, may not be sent again, or has been sent maxAttempts times.
// It returns all attempts and the last answer.
func (c *Client) sendWithRetries(ctx context.Context, key string, nonIdempotent bool, send func(addr string) (Answer, string)) ([]anvilaudit.Attempt, Answer) {
	var attempts []anvilaudit.Attempt
	var last Answer
	for range maxAttempts {
		a, mismatch := send(c.balancer.Pick(last.instance))
		last = a
		attempt := a.attempt(key)
		if mismatch != "" {
			attempt = attempt.WithMismatch(mismatch)
		}
		attempts = append(attempts, attempt)
		if c.singleAttempt && a.code != anvilaudit.Unsent {
			break
		}
		if a.outcome == anvilerror.Done || (!nonIdempotent && a.code != anvilaudit.Unsent) || permanent(a) {
			break
		}
		if !waitBackoff(ctx, a.retry) {
			break
		}
	}
	return attempts, last
}

// permanent reports whether a new attempt can't have another outcome, for example because the input or the key
// is wrong.
func permanent(a Answer) bool {
	switch a.code {
	case anvilerror.BadInput, anvilerror.TooLarge, anvilerror.BadKey, anvilerror.Forbidden, anvilerror.Missing, anvilerror.Never:
		return true
	default:
		return false
	}
}

// waitBackoff waits for d, but at least minBackoff and at most maxBackoff. It reports false if ctx was done first.
func waitBackoff(ctx context.Context, d anvilclock.Millis) bool {
	t := time.NewTimer(min(max(d.Duration(), minBackoff), maxBackoff))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Submit sends a batch task or a gang job and returns the id under which it was accepted.
func (c *Client) Submit(ctx context.Context, key string, t *anviltask.Task) (anvilaudit.Request, string) {
	r, ticket, _ := c.SubmitAnswer(ctx, key, t)
	return r, ticket
}

// SubmitAnswer is like Submit but also returns the last answer.
func (c *Client) SubmitAnswer(ctx context.Context, key string, t *anviltask.Task) (anvilaudit.Request, string, Answer) {
	body, err := protojson.Marshal(wireSpec(t))
	if err != nil {
		return anvilaudit.NewRequest(t.ID(), t.Team(), t.Kind(), t.NonIdempotent(), t.Count()), "", Answer{outcome: anvilerror.NotRun, code: anvilaudit.Unsent}
	}
	ticket := t.ID()
	attempts, last := c.sendWithRetries(ctx, key, t.NonIdempotent(), func(addr string) (Answer, string) {
		a := c.send(ctx, addr, http.MethodPost, "/v1/tasks", key, map[string]string{"Content-Type": "application/json"}, body)
		if a.outcome != anvilerror.Done {
			return a, ""
		}
		var got anvilwire.Ticket
		if err := protojson.Unmarshal(a.body, &got); err != nil {
			return a, "the ticket can't be parsed: " + err.Error()
		}
		if _, uid := anviltask.SplitID(got.GetId()); uid != t.ID() {
			return a, "the ticket is for task " + uid
		}
		ticket = got.GetId()
		return a, ""
	})
	return anvilaudit.NewRequest(t.ID(), t.Team(), t.Kind(), t.NonIdempotent(), t.Count(), attempts...), ticket, last
}

func wireSpec(t *anviltask.Task) *anvilwire.Spec {
	return anvilwire.Spec_builder{
		Id: t.ID(), Pool: t.Pool(), Kind: string(t.Kind()), Count: int64(t.Count()), Size: wireSize(t.Size()),
		Run: int64(t.RunTime()), Body: t.Body(), Once: t.NonIdempotent(), Urgent: t.Urgent(), Deadline: int64(t.MaxWait()),
		Workspace: t.Workspace(), First: t.FirstAttempt(),
	}.Build()
}

func wireSize(s anvilsize.Size) *anvilwire.Size {
	return anvilwire.Size_builder{Cpu: s.CPU(), Memory: s.Memory(), Accel: s.Accel()}.Build()
}

// Cancel requests the cancellation of a task. It sends one request and does not retry.
func (c *Client) Cancel(ctx context.Context, key, id string) Answer {
	return c.send(ctx, c.balancer.Pick(""), http.MethodDelete, "/v1/tasks/"+url.PathEscape(id), key, nil, nil)
}

// State asks any ready instance for the state of a task. The state is empty if the instance did not answer or
// does not know the task.
func (c *Client) State(ctx context.Context, key, id string) string {
	a := c.send(ctx, c.balancer.Pick(""), http.MethodGet, "/v1/tasks/"+url.PathEscape(id), key, nil, nil)
	if a.status != http.StatusOK {
		return ""
	}
	var s anvilwire.Status
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(a.body, &s); err != nil {
		return ""
	}
	return s.GetState()
}
