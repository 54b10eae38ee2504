package anvilfront

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"anvilhold.org/lib/anvilerror"
)

type handler func(*http.Request) reply

// limitInFlight runs h for at most cap(f.inFlight) requests at a time and refuses the others at once.
func (f *Front) limitInFlight(route string, h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begin := f.clock.Now()
		var out reply
		select {
		case f.inFlight <- struct{}{}:
			out = f.handle(r, h)
			<-f.inFlight
		default:
			out = f.refuseUnhandled(r, f.overloaded())
			out.status = http.StatusServiceUnavailable
		}
		if f.Leaving() {
			w.Header().Set("Connection", "close")
		}
		recordReply(route, out, f.clock.Now()-begin)
		out.write(w)
	})
}

func (f *Front) handle(r *http.Request, h handler) reply {
	if n := headerBytes(r); n > f.maxHeaders {
		return f.refuseUnhandled(r, tooLarge("the headers are too long"))
	}
	return h(r)
}

// Routes of requests that run something.
const (
	callPath = "/v1/call/"
	taskPath = "/v1/tasks"
)

// refuseUnhandled returns the refusal of a request that reaches no handler. The outcome of one that may have been sent
// before is unknown.
func (f *Front) refuseUnhandled(r *http.Request, err *anvilerror.Error) reply {
	switch {
	case r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, callPath):
		return requestErrorReply(err, r)
	case r.Method == http.MethodPost && r.URL.Path == taskPath:
		spec, _ := f.readSpec(r)
		return specErrorReply(err, spec)
	default:
		return errorReply(err)
	}
}

func headerBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// readBody returns a copy of the body, because nbhttp reuses its buffers after the handler returns.
func (f *Front) readBody(r *http.Request) ([]byte, *anvilerror.Error) {
	if r.ContentLength > int64(f.maxBody) {
		return nil, tooLarge("the body is too long")
	}
	if r.Body == nil {
		return nil, nil
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, int64(f.maxBody)+1))
	if err != nil {
		return nil, badInput("the body can't be read")
	}
	if len(data) > f.maxBody {
		return nil, tooLarge("the body is too long")
	}
	return data, nil
}

// await returns the control loop's reply, or false when ctx ended first.
func await[T any](ctx context.Context, c <-chan T) (T, bool) {
	select {
	case v := <-c:
		return v, true
	case <-ctx.Done():
	}
	// When both cases are ready, select picks one at random; a reply takes precedence over the timeout.
	select {
	case v := <-c:
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// overloaded returns the error for a request over the limit of requests in flight. During a planned stop that error is
// leaving, because drain occupies all slots.
func (f *Front) overloaded() *anvilerror.Error {
	if f.Leaving() {
		return leaving()
	}
	return anvilerror.Refuse(anvilerror.QueueFull, "too many requests are in flight", anvilerror.WithRetry(overloadRetryDelay))
}

func leaving() *anvilerror.Error {
	return anvilerror.Refuse(anvilerror.Leaving, "the instance is leaving", anvilerror.WithRetry(overloadRetryDelay))
}

// inboxFull returns the error for a request that the control loop didn't accept, because its inbox is full or the
// instance is leaving.
func (f *Front) inboxFull() *anvilerror.Error {
	if f.Leaving() {
		return leaving()
	}
	return anvilerror.Refuse(anvilerror.QueueFull, "the inbox of the control loop is full",
		anvilerror.WithRetry(overloadRetryDelay))
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	out := errorReply(anvilerror.Refuse(anvilerror.Missing, "there is no such route"))
	recordReply("other", out, 0)
	out.write(w)
}

// drain waits until no request is in flight. It keeps all slots occupied, so that later requests are refused.
func (f *Front) drain(ctx context.Context) error {
	for range cap(f.inFlight) {
		select {
		case f.inFlight <- struct{}{}:
		case <-ctx.Done():
			return errors.New("requests are still in flight")
		}
	}
	return nil
}
