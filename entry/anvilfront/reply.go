package anvilfront

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"anvilhold.org/entry/anvilcodec"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anviltask"
)

// HTTP headers of requests and replies.
const (
	headerOutcome   = "Outcome"
	headerCode      = "Code"
	headerRetry     = "Retry"
	headerID        = "Request-Id"
	headerVersion   = "Version"
	headerChange    = "Change"
	headerOnce      = "Idempotent"
	headerAttempt   = "Attempt"
	headerSize      = "Size"
	headerUrgent    = "Urgent"
	headerDeadline  = "Deadline"
	headerWorkspace = "Workspace"
)

const (
	// overloadRetryDelay is about the time that the requests in flight take to complete.
	overloadRetryDelay anvilclock.Millis = 200
	// memoryRetryDelay gives the connections without progress time to be closed.
	memoryRetryDelay anvilclock.Millis = 1000
	// startRetryDelay is the retry delay while the instance has no confirmed configuration: the interval at which it
	// reads the configuration.
	startRetryDelay anvilclock.Millis = 500
)

// reply is the response to a request. Its body is an error, a protobuf message as JSON, or plain bytes.
type reply struct {
	err     *anvilerror.Error
	status  int
	message proto.Message
	bytes   []byte
	id      string
	change  string
	version int64
}

func errorReply(err *anvilerror.Error) reply { return reply{err: err, status: statusOf(err)} }

func messageReply(status int, m proto.Message) reply { return reply{status: status, message: m} }

func bytesReply(b []byte) reply { return reply{status: http.StatusOK, bytes: b} }

// taskErrorReply returns the reply to a task that failed with err. A non-idempotent task that may have been sent before
// may have run at that time, so the outcome "not run" becomes "unknown".
func taskErrorReply(err *anvilerror.Error, t *anviltask.Task) reply {
	if t == nil {
		return errorReply(err)
	}
	if t.NonIdempotent() && !t.FirstAttempt() && err.Outcome() == anvilerror.NotRun {
		err = anvilerror.UnknownOutcome(err.Code(), err.Reason(), anvilerror.WithRetry(err.Retry()))
	}
	return errorReply(err).withID(t.ID())
}

// requestErrorReply returns the reply to a service request that failed before its task was made. The id and the
// attempt are read from the headers.
func requestErrorReply(err *anvilerror.Error, r *http.Request) reply {
	id := r.Header.Get(headerID)
	if anviltask.CheckID(id) != nil {
		return errorReply(err)
	}
	t := anviltask.New(id, anviltask.Call, "", anviltask.WithNonIdempotent(r.Header.Get(headerOnce) == "no"),
		anviltask.WithFirstAttempt(r.Header.Get(headerAttempt) == firstAttempt))
	return taskErrorReply(err, t)
}

func (r reply) withID(id string) reply {
	r.id = id
	return r
}

// withChange sets the id of a configuration change, which the caller or this instance has chosen. It is sent in both
// the Change and the Request-Id header.
func (r reply) withChange(id string) reply {
	r.id, r.change = id, id
	return r
}

func (r reply) outcome() anvilerror.Outcome {
	if r.err == nil {
		return anvilerror.Done
	}
	return r.err.Outcome()
}

func (r reply) code() anvilerror.Code {
	if r.err == nil {
		return ""
	}
	return r.err.Code()
}

func statusOf(err *anvilerror.Error) int {
	switch err.Outcome() {
	case anvilerror.Done:
		if err.Code() == anvilerror.Failed {
			return http.StatusInternalServerError
		}
		return http.StatusOK
	case anvilerror.Unknown:
		// An invalid request keeps its 4xx status.
		switch err.Code() {
		case anvilerror.BadInput, anvilerror.TooLarge, anvilerror.BadKey, anvilerror.Forbidden:
			return statusOfCode(err.Code())
		default:
			return http.StatusBadGateway
		}
	case anvilerror.NotRun:
	}
	return statusOfCode(err.Code())
}

func statusOfCode(c anvilerror.Code) int {
	switch c {
	case anvilerror.BadInput:
		return http.StatusBadRequest
	case anvilerror.TooLarge:
		return http.StatusRequestEntityTooLarge
	case anvilerror.BadKey:
		return http.StatusUnauthorized
	case anvilerror.Forbidden:
		return http.StatusForbidden
	case anvilerror.Missing:
		return http.StatusNotFound
	case anvilerror.Never:
		return http.StatusUnprocessableEntity
	case anvilerror.Conflict, anvilerror.Duplicate:
		return http.StatusConflict
	case anvilerror.OverLimit, anvilerror.OverRate, anvilerror.QueueFull:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// encode sets the headers of the reply in h and returns its body.
func (r reply) encode(h http.Header) []byte {
	h.Set(headerOutcome, string(r.outcome()))
	if r.id != "" {
		h.Set(headerID, r.id)
	}
	if r.change != "" {
		h.Set(headerChange, r.change)
	}
	if r.version != 0 {
		h.Set(headerVersion, strconv.FormatInt(r.version, 10))
	}
	m := r.message
	if r.err != nil {
		h.Set(headerCode, string(r.err.Code()))
		if retry := r.err.Retry(); retry > 0 {
			h.Set(headerRetry, strconv.FormatInt(int64(retry), 10))
		}
		m = anvilcodec.Refusal(r.err)
	}
	body := r.bytes
	h.Set("Content-Type", "application/octet-stream")
	if m != nil {
		h.Set("Content-Type", "application/json")
		// Marshal fails only on text that is not UTF-8, which a worker's reason may contain.
		var err error
		if body, err = protojson.Marshal(m); err != nil {
			body = []byte("{}")
		}
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	return body
}

func (r reply) write(w http.ResponseWriter) {
	body := r.encode(w.Header())
	w.WriteHeader(r.status)
	_, _ = w.Write(body)
}

// raw returns the reply as an HTTP/1.1 response with "Connection: close".
func (r reply) raw() []byte {
	resp := http.Response{StatusCode: r.status, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Close: true}
	body := r.encode(resp.Header)
	resp.ContentLength = int64(len(body))
	resp.Body = io.NopCloser(bytes.NewReader(body))
	var b bytes.Buffer
	// Writing to a buffer doesn't fail.
	_ = resp.Write(&b)
	return b.Bytes()
}

func badInput(reason string) *anvilerror.Error {
	return anvilerror.Refuse(anvilerror.BadInput, oneLine(reason))
}

func tooLarge(reason string) *anvilerror.Error { return anvilerror.Refuse(anvilerror.TooLarge, reason) }

// oneLine joins the lines of a parser's error with spaces.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
