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
	Count    int   `json:"count"`
	CPU      int64 `json:"cpu"`
	Memory   int64 `json:"memory_request_mb"`
	GPU      int64 `json:"gpu,omitempty"`
	Estimate int64 `json:"estimated_ms"`
	After    []int `json:"after,omitempty"`
	Saves    bool  `json:"checkpointing,omitempty"`
	Gang     bool  `json:"gang,omitempty"`
	Lasting  bool  `json:"long_running,omitempty"`
}

type jobBody struct {
	Spec  string     `json:"spec"`
	Steps []stepBody `json:"steps"`
}

// Step is a step of a job.
type Step struct {
	body stepBody
}

// StepOption sets an optional part of a Step.
type StepOption func(*Step)

// After names the earlier steps that must be done first.
func After(steps ...int) StepOption { return func(s *Step) { s.body.After = steps } }

// Saving says that tasks save their progress.
func Saving() StepOption { return func(s *Step) { s.body.Saves = true } }

// Together says that the tasks work only together.
func Together() StepOption { return func(s *Step) { s.body.Gang = true } }

// LongRunning says that the tasks run until the job is cancelled.
func LongRunning() StepOption { return func(s *Step) { s.body.Lasting = true } }

// NewStep returns a step of count tasks of a size that run for about estimate.
func NewStep(count int, size anvilsize.Size, estimate anvilclock.Millis, opts ...StepOption) Step {
	s := Step{body: stepBody{Count: count, CPU: size.CPU(), Memory: size.Memory(), GPU: size.Accel(), Estimate: int64(estimate)}}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// Caller makes calls of clients over connections that it keeps.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
}

// Close closes the connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Call is a call about a job.
type Call struct {
	addr string
	host string
	path string
	key  string
}

// NewCall returns a call to the instance at addr.
func NewCall(addr, host, path, key string) Call {
	return Call{addr: addr, host: host, path: path, key: key}
}

// Submit submits a job and returns the status; 0 when there was no answer.
func (c *Caller) Submit(ctx context.Context, call Call, payload string, steps ...Step) int {
	job := jobBody{Spec: payload}
	for _, s := range steps {
		job.Steps = append(job.Steps, s.body)
	}
	data, err := json.Marshal(job)
	if err != nil {
		return 0
	}
	status, _ := c.do(ctx, call, http.MethodPost, data)
	return status
}

// State asks for a job's state.
func (c *Caller) State(ctx context.Context, call Call) (status int, state string) {
	status, body := c.do(ctx, call, http.MethodGet, nil)
	var out struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal(body, &out) != nil {
		return 0, ""
	}
	return status, out.State
}

// Cancel cancels a job.
func (c *Caller) Cancel(ctx context.Context, call Call) int {
	status, _ := c.do(ctx, call, http.MethodDelete, nil)
	return status
}

func (c *Caller) do(ctx context.Context, call Call, method string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+call.addr+call.path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = call.host
	req.Header.Set("Authorization", "Token "+call.key)
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

// Ready reports whether an instance takes new connections.
func (c *Caller) Ready(ctx context.Context, addr string) bool {
	status, _ := c.do(ctx, NewCall(addr, addr, "/-/readiness", ""), http.MethodGet, nil)
	return status == http.StatusOK
}
