package anvilplatformapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

type stepBody struct {
	Count         int   `json:"count"`
	CPU           int64 `json:"cpu"`
	Memory        int64 `json:"memory_request_mb"`
	GPU           int64 `json:"gpu,omitempty"`
	Estimate      int64 `json:"estimated_ms"`
	After         []int `json:"after,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	Gang          bool  `json:"gang,omitempty"`
	LongRunning   bool  `json:"long_running,omitempty"`
}

type jobBody struct {
	Spec        string     `json:"spec"`
	Steps       []stepBody `json:"steps"`
	Repetitions int        `json:"repetitions,omitempty"`
	First       int64      `json:"first_run_ms,omitempty"` // milliseconds since 1970
	Interval    int64      `json:"interval_ms,omitempty"`
}

// Job describes a job to submit.
type Job struct {
	body jobBody
}

// JobOption sets an optional property of a Job.
type JobOption func(*Job)

// Repeated makes the steps run n times, first at a time in milliseconds since 1970 and then at the interval.
func Repeated(n int, first, interval anvilclock.Millis) JobOption {
	return func(j *Job) { j.body.Repetitions, j.body.First, j.body.Interval = n, int64(first), int64(interval) }
}

// NewJob returns a job with a payload and steps, which runs once unless an option says otherwise.
func NewJob(payload string, steps []Step, opts ...JobOption) Job {
	j := Job{body: jobBody{Spec: payload}}
	for _, s := range steps {
		j.body.Steps = append(j.body.Steps, s.body)
	}
	for _, opt := range opts {
		opt(&j)
	}
	return j
}

// Step describes a step of a job to submit.
type Step struct {
	body stepBody
}

// StepOption sets an optional property of a Step.
type StepOption func(*Step)

// After sets the indexes of the earlier steps that must be complete before the step starts.
func After(steps ...int) StepOption { return func(s *Step) { s.body.After = steps } }

// Checkpointing declares that the tasks save their progress and can resume from there.
func Checkpointing() StepOption { return func(s *Step) { s.body.Checkpointing = true } }

// Gang declares that the tasks of the step must run at the same time.
func Gang() StepOption { return func(s *Step) { s.body.Gang = true } }

// LongRunning declares that the tasks run until the job is cancelled.
func LongRunning() StepOption { return func(s *Step) { s.body.LongRunning = true } }

// NewStep returns a step of count tasks. Each needs the capacity size and runs for about estimate.
func NewStep(count int, size anvilsize.Size, estimate anvilclock.Millis, opts ...StepOption) Step {
	s := Step{body: stepBody{Count: count, CPU: size.CPU(), Memory: size.Memory(), GPU: size.Accel(), Estimate: int64(estimate)}}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// Caller makes calls to entry instances as their clients do, and reuses connections. It is safe for concurrent use.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller without open connections. Close it after use.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// Close closes the connections that no call uses.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Target is the address, host name and path to which a call about a job goes, and the API key to present.
type Target struct {
	addr   string
	host   string
	path   string
	apiKey string
}

// NewTarget returns a target at the entry instance at addr. The host and path select the queue and the job.
func NewTarget(addr, host, path, apiKey string) Target {
	return Target{addr: addr, host: host, path: path, apiKey: apiKey}
}

// Submit submits a job and returns the HTTP status, or 0 if there was no reply. The call carries the time that remains
// until the deadline of ctx.
func (c *Caller) Submit(ctx context.Context, target Target, job Job) int {
	data, err := json.Marshal(job.body)
	if err != nil {
		return 0
	}
	status, _ := c.do(ctx, target, http.MethodPost, data)
	return status
}

// State returns the HTTP status and the state of a job. The status is 0 if there was no reply or it can't be parsed, and
// the state is empty unless the status is 200.
func (c *Caller) State(ctx context.Context, target Target) (status int, state string) {
	status, body := c.do(ctx, target, http.MethodGet, nil)
	var out struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(body, &out) != nil {
		return 0, ""
	}
	return status, out.State
}

// Cancel cancels a job and returns the HTTP status, or 0 if there was no reply.
func (c *Caller) Cancel(ctx context.Context, target Target) int {
	status, _ := c.do(ctx, target, http.MethodDelete, nil)
	return status
}

func (c *Caller) do(ctx context.Context, target Target, method string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target.addr+target.path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = target.host
	req.Header.Set("Authorization", "Token "+target.apiKey)
	if at, ok := ctx.Deadline(); ok {
		req.Header.Set("Deadline-Remaining-Ms", strconv.FormatInt(time.Until(at).Milliseconds(), 10))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// Ready reports whether the instance with the readiness address addr accepts new connections. It is false if there was
// no reply.
func (c *Caller) Ready(ctx context.Context, addr string) bool {
	status, _ := c.do(ctx, NewTarget(addr, addr, "/-/readiness", ""), http.MethodGet, nil)
	return status == http.StatusOK
}
