package anvilplatformapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"anvilhold.org/lib/anvilclock"
	"anvilhold.org/lib/anvilsize"
)

// States in a worker's registry entry.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

type sizeBody struct {
	CPU    int64 `json:"cpu"` // thousandths of a core
	Memory int64 `json:"memory_request_mb"`
	GPU    int64 `json:"gpu,omitempty"`
}

func encodeSize(s anvilsize.Size) sizeBody {
	return sizeBody{CPU: s.CPU(), Memory: s.Memory(), GPU: s.Accel()}
}

type entryBody struct {
	Service     string   `json:"service"`
	Address     string   `json:"address"`
	Zone        string   `json:"zone"`
	State       string   `json:"state"`
	Labels      []string `json:"labels"`
	Capacity    sizeBody `json:"capacity"`
	Incarnation int64    `json:"born"` // start time of the process, milliseconds since 1970
	Remaining   int64    `json:"remaining_ms,omitempty"`
}

// Registration is what a worker registers about itself: address, pool, failure domain, rack and capacity.
type Registration struct {
	addr     string
	pool     string
	domain   string
	rack     string
	capacity anvilsize.Size
}

// NewRegistration returns a registration. The rack becomes the only label of the worker.
func NewRegistration(addr, pool, domain, rack string, capacity anvilsize.Size) Registration {
	return Registration{addr: addr, pool: pool, domain: domain, rack: rack, capacity: capacity}
}

// Registrar keeps a worker registered with the platform. It is safe for concurrent use.
type Registrar struct {
	platform string
	id       string
	// incarnation is the start time of the worker's process in milliseconds since 1970.
	incarnation int64
	reg         Registration
	client      *http.Client
}

// callTimeout bounds the calls of workers and operators to the platform.
const callTimeout = time.Second

// NewRegistrar returns a registrar that calls the platform at an address. The incarnation is the start time of the
// worker's process in milliseconds since 1970.
func NewRegistrar(platform, id string, incarnation int64, reg Registration) *Registrar {
	return &Registrar{platform: platform, id: id, incarnation: incarnation, reg: reg, client: &http.Client{Timeout: callTimeout}}
}

// Heartbeat registers the worker or renews its registration. A positive remaining marks it as draining and is the
// minimum time for which it still serves. It returns an error unless the platform accepts the call.
func (r *Registrar) Heartbeat(ctx context.Context, remaining anvilclock.Millis) error {
	e := entryBody{
		Service: r.reg.pool, Address: r.reg.addr, Zone: r.reg.domain, State: stateReady, Labels: []string{r.reg.rack},
		Capacity: encodeSize(r.reg.capacity), Incarnation: r.incarnation,
	}
	if remaining > 0 {
		e.State, e.Remaining = stateDraining, int64(remaining)
	}
	value, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return post(ctx, r.client, r.platform, pathHeartbeat, heartbeatBody{ID: r.id, Value: value}, nil)
}

// Unregister removes the worker from the registry. It returns an error unless the platform accepts the call.
func (r *Registrar) Unregister(ctx context.Context) error {
	return post(ctx, r.client, r.platform, pathHeartbeat, heartbeatBody{ID: r.id, Leave: true}, nil)
}

// post sends a body as JSON and decodes the reply into out, unless out is nil. A status other than 200 is an error.
func post(ctx context.Context, c *http.Client, addr, path string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(reply, out)
}
