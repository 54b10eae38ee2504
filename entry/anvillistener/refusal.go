package anvillistener

import (
	"fmt"
	"net/http"
)

// Refusal is why a request was refused before it reached its handler, or why a connection was closed.
type Refusal string

// The reasons of refusals, which metrics and log lines use.
const (
	Malformed       Refusal = "malformed"
	BodyTooLarge    Refusal = "body"
	HeadersTooLarge Refusal = "headers"
	// Overloaded means that the memory for requests is used up, and that this one made no progress or was the largest.
	Overloaded Refusal = "memory"
	// NotAdmitted means that the request has a body and its header shows that the request can't be served.
	NotAdmitted Refusal = "admission"
	// Unread closes a connection whose answers aren't read while the memory is used up.
	Unread Refusal = "unread"
	// Connections closes a new connection over the limit, and Idle an unused one to make room for a new one.
	Connections Refusal = "connections"
	Idle        Refusal = "idle"
)

// refusalRetrySeconds is the Retry-After of a request that was refused for lack of memory.
const refusalRetrySeconds = 1

// Status returns the HTTP status of a refusal.
func (r Refusal) Status() int {
	switch r {
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case HeadersTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case Overloaded:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadRequest
	}
}

// PlainRefusal returns a response without a body that closes the connection.
func PlainRefusal(r Refusal, _ *http.Request) []byte {
	if r == Overloaded {
		return PlainResponse(r.Status(), "Retry-After", fmt.Sprint(refusalRetrySeconds))
	}
	return PlainResponse(r.Status())
}

// PlainResponse returns a raw HTTP response without a body that closes the connection, with pairs of a header's name and
// value.
func PlainResponse(status int, header ...string) []byte {
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	for i := 0; i+1 < len(header); i += 2 {
		out = fmt.Appendf(out, "%s: %s\r\n", header[i], header[i+1])
	}
	return append(out, "\r\n"...)
}
