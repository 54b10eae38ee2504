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

// Names of the headers of requests and replies.
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
	// overloadRetry is about the time in which the requests in flight are worked off.
	overloadRetry anvilclock.Millis = 200
	// startRetry is the interval at which an instance reads the configuration.
	startRetry anvilclock.Millis = 500
)

// reply is what a request is answered with: an error, a message or bytes.
type reply struct {
	err     *anvilerror.Error
	status  int
	message proto.Message
	bytes   []byte
	id      string
	change  string
	version int64
}

func refused(err *anvilerror.Error) reply { return reply{err: err, status: statusOf(err)} }

func message(status int, m proto.Message) reply { return reply{status: status, message: m} }

func answer(b []byte) reply { return reply{status: http.StatusOK, bytes: b} }

// refusedTask returns the refusal of a task. An id that was sent before may have run then, so "not
// run" would not be known to be true of it.
func refusedTask(err *anvilerror.Error, t *anviltask.Task) reply {
	if t == nil {
		return refused(err)
	}
	if t.Once() && !t.First() && err.Outcome() == anvilerror.NotRun {
		err = anvilerror.UnknownOutcome(err.Code(), err.Reason(), anvilerror.WithRetry(err.Retry()))
	}
	return refused(err).withID(t.ID())
}

// refusedRequest returns the refusal of a service request whose headers were not all read.
func refusedRequest(err *anvilerror.Error, r *http.Request) reply {
	id := r.Header.Get(headerID)
	if anviltask.CheckID(id) != nil {
		return refused(err)
	}
	t := anviltask.New(id, anviltask.Call, "", anviltask.WithOnce(r.Header.Get(headerOnce) == "no"),
		anviltask.WithFirst(r.Header.Get(headerAttempt) == firstAttempt))
	return refusedTask(err, t)
}

func (r reply) withID(id string) reply {
	r.id = id
	return r
}

// withChange names the change, also one whose id was made here. Request-Id keeps naming it too.
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

// statusOf returns the HTTP status of an error.
func statusOf(err *anvilerror.Error) int {
	switch err.Outcome() {
	case anvilerror.Done:
		if err.Code() == anvilerror.Failed {
			return http.StatusInternalServerError
		}
		return http.StatusOK
	case anvilerror.Unknown:
		// A request that is wrong in itself keeps the status of the mistake.
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

// head sets the headers of the reply and returns its body.
func (r reply) head(h http.Header) []byte {
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
		// Marshal fails only on text that is not UTF-8, which the reason of a worker may contain.
		var err error
		if body, err = protojson.Marshal(m); err != nil {
			body = []byte("{}")
		}
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	return body
}

func (r reply) write(w http.ResponseWriter) {
	body := r.head(w.Header())
	w.WriteHeader(r.status)
	_, _ = w.Write(body)
}

// raw returns the reply as the last one on a connection.
func (r reply) raw() []byte {
	resp := http.Response{StatusCode: r.status, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}, Close: true}
	body := r.head(resp.Header)
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

// oneLine keeps the text of a parser's error on one line.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
