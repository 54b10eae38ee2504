package anvilhost

import (
	"fmt"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilsize"
)

// maxText is the largest size of an id or name in bytes.
const maxText = 256

// maxRunTime bounds the run time of a task: 7 days.
const maxRunTime anvilclock.Millis = 7 * 24 * 3600 * 1000

// Kinds of tasks that the worker treats specially.
const (
	kindCall    = "call"
	kindService = "service"
)

// StartRequest is a request to run a task, or to reserve its capacity until the operation go. It is immutable.
type StartRequest struct {
	shard    string
	epoch    int64
	id       string
	team     string
	job      string
	kind     string
	deadline anvilclock.Millis
	size     anvilsize.Size
	body     []byte
	hold     bool
	once     bool
	resume   string
	runTime  anvilclock.Millis
}

// StartOption sets an optional field of a StartRequest.
type StartOption func(*StartRequest)

// WithTeamAndJob sets the team that the task counts against and the job that it belongs to.
func WithTeamAndJob(team, job string) StartOption {
	return func(req *StartRequest) { req.team, req.job = team, job }
}

// WithSize sets the capacity that the task reserves; the default is none.
func WithSize(s anvilsize.Size) StartOption { return func(req *StartRequest) { req.size = s } }

// WithBody sets the payload, which may contain instructions to the stand-in. The request keeps the slice.
func WithBody(b []byte) StartOption { return func(req *StartRequest) { req.body = b } }

// WithHold sets whether the task only reserves its capacity, and runs after Host.Control applies the operation go.
func WithHold(hold bool) StartOption { return func(req *StartRequest) { req.hold = hold } }

// WithNonIdempotent marks the task as non-idempotent. The worker only reports the mark.
func WithNonIdempotent(once bool) StartOption { return func(req *StartRequest) { req.once = once } }

// WithResume sets the name of the object with the checkpoint to resume from; empty starts from the beginning.
func WithResume(object string) StartOption { return func(req *StartRequest) { req.resume = object } }

// WithRunTime sets how long the task runs when its body doesn't say, from 0 to 7 days.
func WithRunTime(d anvilclock.Millis) StartOption { return func(req *StartRequest) { req.runTime = d } }

// WithStartDeadline sets the time of the worker's monotonic clock after which the task must not start; 0 means none.
func WithStartDeadline(at anvilclock.Millis) StartOption {
	return func(req *StartRequest) { req.deadline = at }
}

// NewStartRequest returns a request, or an error with code BadInput that says why it is malformed.
func NewStartRequest(shard string, epoch int64, id, kind string, opts ...StartOption) (*StartRequest, error) {
	req := &StartRequest{shard: shard, epoch: epoch, id: id, kind: kind}
	for _, opt := range opts {
		opt(req)
	}
	switch {
	case shard == "" || id == "" || kind == "":
		return nil, badInput("shard, id and kind must be set")
	case req.size.Negative():
		return nil, badInput("size must not be negative")
	case req.runTime < 0 || req.runTime > maxRunTime:
		return nil, badInput("run must be between 0 and %d", maxRunTime)
	}
	for _, text := range []string{shard, id, kind, req.team, req.job, req.resume} {
		if len(text) > maxText {
			return nil, badInput("a name has more than %d bytes", maxText)
		}
	}
	return req, nil
}

func badInput(format string, args ...any) error {
	return anvilerror.Refuse(anvilerror.BadInput, fmt.Sprintf(format, args...))
}
