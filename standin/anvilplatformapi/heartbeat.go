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

// States of a worker's entry.
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
	Service   string   `json:"service"`
	Address   string   `json:"address"`
	Zone      string   `json:"zone"`
	State     string   `json:"state"`
	Labels    []string `json:"labels"`
	Capacity  sizeBody `json:"capacity"`
	Born      int64    `json:"born"`
	Remaining int64    `json:"remaining_ms,omitempty"`
}

// Place is where a worker is and what it has.
type Place struct {
	addr     string
	pool     string
	domain   string
	rack     string
	capacity anvilsize.Size
}

// NewPlace returns a place.
func NewPlace(addr, pool, domain, rack string, capacity anvilsize.Size) Place {
	return Place{addr: addr, pool: pool, domain: domain, rack: rack, capacity: capacity}
}

// Registrar writes a worker's entry to the list.
type Registrar struct {
	site   string
	id     string
	born   int64
	place  Place
	client *http.Client
}

// callTimeout bounds the calls of workers and operators to the site.
const callTimeout = time.Second

// NewRegistrar returns a registrar of a worker at the site.
func NewRegistrar(site, id string, born int64, p Place) *Registrar {
	return &Registrar{site: site, id: id, born: born, place: p, client: &http.Client{Timeout: callTimeout}}
}

// Heartbeat writes the entry; remaining is the least time that is left to a worker that drains, 0 to others.
func (r *Registrar) Heartbeat(ctx context.Context, remaining anvilclock.Millis) error {
	e := entryBody{
		Service: r.place.pool, Address: r.place.addr, Zone: r.place.domain, State: stateReady, Labels: []string{r.place.rack},
		Capacity: encodeSize(r.place.capacity), Born: r.born,
	}
	if remaining > 0 {
		e.State, e.Remaining = stateDraining, int64(remaining)
	}
	value, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return post(ctx, r.client, r.site, pathHeartbeat, heartbeatBody{ID: r.id, Value: value}, nil)
}

// Leave removes the entry.
func (r *Registrar) Leave(ctx context.Context) error {
	return post(ctx, r.client, r.site, pathHeartbeat, heartbeatBody{ID: r.id, Leave: true}, nil)
}

// post sends a body and reads the answer into out, unless that is nil. Every answer but success is an error.
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(answer, out)
}
