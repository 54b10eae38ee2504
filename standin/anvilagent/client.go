// Package anvilagent does the I/O of a stand-in worker: it writes the trace file, registers the worker with the platform,
// reads and writes checkpoints in the platform's object store and reports violated invariants.
package anvilagent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"anvilhold.org/lib/anvilerror"
	"anvilhold.org/lib/anvilwire"
)

// maxResponseBytes is the size of the largest object, 4 MiB. Of a longer response only one more byte is read.
const maxResponseBytes = 4 << 20

// client sends requests to the platform.
type client struct {
	base   string
	region string
	http   *http.Client
}

func newClient(addr, region string) *client {
	return &client{
		base:   "http://" + addr,
		region: region,
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 4,
			MaxConnsPerHost:     16,
			IdleConnTimeout:     30 * time.Second,
		}},
	}
}

func (c *client) register(ctx context.Context, in *anvilwire.Instance) error {
	body, err := protojson.Marshal(anvilwire.Instances_builder{List: []*anvilwire.Instance{in}}.Build())
	if err != nil {
		return err
	}
	_, err = c.send(ctx, http.MethodPost, "/v1/instances", body)
	return err
}

func (c *client) unregister(ctx context.Context, id string) error {
	_, err := c.send(ctx, http.MethodDelete, "/v1/instances/"+url.PathEscape(id), nil)
	return err
}

func (c *client) putObject(ctx context.Context, name string, data []byte) error {
	_, err := c.send(ctx, http.MethodPut, objectPath(name), data)
	return err
}

func (c *client) getObject(ctx context.Context, name string) ([]byte, error) {
	return c.send(ctx, http.MethodGet, objectPath(name), nil)
}

func objectPath(name string) string {
	return (&url.URL{Path: "/v1/objects/" + name}).EscapedPath()
}

// send returns the body of a response with a status below 300. Status 404 is an error with code Missing, any other status
// an error with an unknown outcome.
func (c *client) send(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Region", c.region)
	res, err := c.http.Do(req)
	if err != nil {
		return nil, anvilerror.UnknownOutcome(anvilerror.NoTable, "the platform did not answer", anvilerror.WithCause(err))
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return nil, anvilerror.UnknownOutcome(anvilerror.NoTable, "the response of the platform was incomplete", anvilerror.WithCause(err))
	case res.StatusCode == http.StatusNotFound:
		return nil, anvilerror.Refuse(anvilerror.Missing, "no such object")
	case res.StatusCode >= 300:
		return nil, anvilerror.UnknownOutcome(anvilerror.NoTable, fmt.Sprintf("the platform answered %d", res.StatusCode))
	}
	return data, nil
}
