package anvilfront

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"anvilhold.org/entry/anvilcontrol"
	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
	"anvilhold.org/lib/anviltask"
)

const (
	// maxIDSkew is how far the time in a request id may be ahead of this instance's clock.
	maxIDSkew anvilclock.Millis = 5 * 1000
	// idRetention is how long the ids of non-idempotent requests are recorded to detect duplicates.
	idRetention anvilclock.Millis = 10 * 60 * 1000
	// maxDeadline bounds the Deadline header, which is how long a service request may wait in the queue.
	maxDeadline anvilclock.Millis = 10 * 60 * 1000
	// replyGrace is added to the caller's deadline, so that the control loop can report that the request did not start
	// in time before the handler gives up and reports an unknown outcome.
	replyGrace = 100 * time.Millisecond
)

// firstAttempt is the value of the Attempt header by which a caller states that it sends the id of a non-idempotent
// request for the first time.
const firstAttempt = "1"

// defaultSize, in millicores, MiB and accelerators, is reserved for a task that declares no size.
var defaultSize = anvilsize.New(500, 256, 0)

func (f *Front) call(r *http.Request) reply {
	t, c, err := f.parseCall(r)
	if err != nil && t == nil {
		return requestErrorReply(err, r)
	}
	if err != nil {
		return taskErrorReply(err, t)
	}
	id := t.ID()
	timeout := f.callTimeout
	if r.Header.Get(headerDeadline) != "" {
		timeout = t.MaxWait().Duration() + replyGrace
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	result := make(chan anvilcontrol.Result, 1)
	if !f.dispatcher.Submit(anvilcontrol.NewForward(t, 0, c.version), result) {
		return taskErrorReply(f.inboxFull(), t)
	}
	out, ok := await(ctx, result)
	switch {
	case !ok:
		return errorReply(anvilerror.UnknownOutcome(anvilerror.Deadline, "no answer within the deadline")).withID(id)
	case out.Err() != nil:
		return errorReply(out.Err()).withID(id)
	default:
		return bytesReply(out.Answer()).withID(id)
	}
}

// parseCall returns the task of a service request and its caller. On an error the task is nil unless its id is known.
func (f *Front) parseCall(r *http.Request) (*anviltask.Task, caller, *anvilerror.Error) {
	c, err := f.authenticate(r)
	if err != nil {
		return nil, c, err
	}
	if c.operator {
		return nil, c, anvilerror.Refuse(anvilerror.Forbidden, "an operator's key can't be used to run tasks")
	}
	once, err := parseFlag(r, headerOnce, true)
	if err != nil {
		return nil, c, err
	}
	once = !once
	id, err := f.checkID(r.Header.Get(headerID), once)
	if err != nil {
		return nil, c, err
	}
	pool := r.PathValue("pool")
	t := anviltask.New(id, anviltask.Call, pool, anviltask.WithNonIdempotent(once),
		anviltask.WithFirstAttempt(r.Header.Get(headerAttempt) == firstAttempt))
	if err := f.checkPool(c, pool); err != nil {
		return t, c, err
	}
	opts, err := f.callOptions(r, c)
	if err != nil {
		return t, c, err
	}
	body, err := f.readBody(r)
	if err != nil {
		return t, c, err
	}
	return t.With(append(opts, anviltask.WithBody(body))...), c, nil
}

func (f *Front) callOptions(r *http.Request, c caller) ([]anviltask.Option, *anvilerror.Error) {
	workspace := r.Header.Get(headerWorkspace)
	if workspace != "" && !isName(workspace) {
		return nil, badInput("the workspace is not a valid name")
	}
	size := defaultSize
	if text := r.Header.Get(headerSize); text != "" {
		var err error
		if size, err = anvilsize.Parse(text); err != nil {
			return nil, badInput(err.Error())
		}
	}
	if size.IsZero() {
		return nil, badInput("the size is zero")
	}
	urgent, err := parseFlag(r, headerUrgent, false)
	if err != nil {
		return nil, err
	}
	wait := f.defaultWait
	if text := r.Header.Get(headerDeadline); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 1 || n > int64(maxDeadline) {
			return nil, badInput(fmt.Sprintf("the deadline must be between 1 and %d ms", int64(maxDeadline)))
		}
		wait = anvilclock.Millis(n)
	}
	return []anviltask.Option{
		anviltask.WithTeam(c.team, workspace), anviltask.WithSize(size), anviltask.WithUrgent(urgent),
		anviltask.WithMaxWait(wait),
	}, nil
}

// checkID returns the id of a request in lower case, so that ids that differ only in case name the same request. A
// missing id of an idempotent request is generated.
func (f *Front) checkID(id string, once bool) (string, *anvilerror.Error) {
	if id == "" {
		if once {
			return "", badInput("a non-idempotent request needs an id")
		}
		return anviltask.NewID(), nil
	}
	if err := anviltask.CheckID(id); err != nil {
		return "", badInput(err.Error())
	}
	switch at, now := anviltask.IDTime(id), f.clock.Unix(); {
	case at > now+maxIDSkew:
		return "", badInput("the time of the id is in the future")
	case once && at < now-idRetention:
		return "", anvilerror.UnknownOutcome(anvilerror.Expired, "the id is older than the ids on record")
	}
	return strings.ToLower(id), nil
}

// checkPool checks the pool's name, and that the contract of the caller's team allows the pool.
func (f *Front) checkPool(c caller, pool string) *anvilerror.Error {
	if !isName(pool) {
		return badInput("the pool is not a valid name")
	}
	if contract, ok := f.state().Config().Contract(c.team); ok && !contract.Allows(pool) {
		return anvilerror.Refuse(anvilerror.Forbidden, "the team's contract does not include the pool")
	}
	return nil
}

func parseFlag(r *http.Request, name string, def bool) (bool, *anvilerror.Error) {
	switch strings.ToLower(r.Header.Get(name)) {
	case "":
		return def, nil
	case "yes":
		return true, nil
	case "no":
		return false, nil
	default:
		return false, badInput(name + " must be yes or no")
	}
}

const maxName = 64

// isName reports whether text may be used in row keys and shard names.
func isName(text string) bool {
	for _, c := range text {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_', c == '.':
		default:
			return false
		}
	}
	return text != "" && len(text) <= maxName
}
