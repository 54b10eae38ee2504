package anvilfront

import (
	"net/http"
	"strings"

	"anvilhold.org/entry/anvillistener"
	"anvilhold.org/lib/anvilerror"
)

// admit decides on a request with a body from its header: one without a route is refused before its body is read.
func (f *Front) admit(r *http.Request) []byte {
	if _, pattern := f.mux.Handler(r); pattern != "/" {
		return nil
	}
	out := errorReply(anvilerror.Refuse(anvilerror.Missing, "there is no such route"))
	recordReply("other", out, 0)
	return out.raw()
}

// refuseUnread returns the raw HTTP response to a request that was refused while it was read. Whether a task with its id
// ran before isn't known if the flags of a submission are in the body.
func (f *Front) refuseUnread(why anvillistener.Refusal, r *http.Request) []byte {
	var out reply
	switch why {
	case anvillistener.BodyTooLarge:
		out = errorReply(tooLarge("the request is too long"))
	case anvillistener.HeadersTooLarge:
		out = errorReply(tooLarge("the headers are too long"))
		out.status = why.Status()
	case anvillistener.Overloaded:
		out = f.refuseOverload(r)
	default:
		out = errorReply(badInput("the request can't be parsed"))
	}
	recordReply("other", out, 0)
	return out.raw()
}

func (f *Front) refuseOverload(r *http.Request) reply {
	err := anvilerror.Refuse(anvilerror.QueueFull, "the memory for requests is used up", anvilerror.WithRetry(memoryRetryDelay))
	var out reply
	switch {
	case r != nil && r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, callPath):
		out = requestErrorReply(err, r)
	case r != nil && r.Method == http.MethodPost && r.URL.Path == taskPath:
		out = errorReply(anvilerror.UnknownOutcome(err.Code(), err.Reason(), anvilerror.WithRetry(err.Retry())))
	default:
		out = errorReply(err)
	}
	out.status = http.StatusServiceUnavailable
	return out
}

func (f *Front) countLimit(why anvillistener.Refusal) {
	if why == anvillistener.Connections {
		connections.Add("refused", 1)
	}
	clientLimits.Add(string(why), 1)
	f.onLimit(why)
}
