package anvilclient

import (
	"context"
	"net/http"
	"net/url"

	"anvilhold.org/lib/anvilwire"
)

// Config returns the configuration in force at the first entry instance that answers.
func (c *Client) Config(ctx context.Context) (*anvilwire.Config, error) {
	var m anvilwire.Config
	if _, err := c.call(ctx, http.MethodGet, "/v1/config", nil, &m); err != nil {
		return nil, err
	}
	return &m, nil
}

// Cell returns the status of the cell that the entry instance at addr reports. addr need not be one of Addrs. The
// workers are only those of the shards that the instance owns.
func (c *Client) Cell(ctx context.Context, addr string) (*anvilwire.Cell, error) {
	var m anvilwire.Cell
	if _, err := c.callAddr(ctx, addr, http.MethodGet, "/v1/status", nil, &m); err != nil {
		return nil, err
	}
	return &m, nil
}

// Explain returns the state of a task and the scheduling decisions recorded for it.
func (c *Client) Explain(ctx context.Context, id string) (*anvilwire.Status, error) {
	return c.task(ctx, http.MethodGet, "/v1/explain/", id)
}

// Cancel requests the cancellation of a task and returns its state right after.
func (c *Client) Cancel(ctx context.Context, id string) (*anvilwire.Status, error) {
	return c.task(ctx, http.MethodDelete, "/v1/tasks/", id)
}

func (c *Client) task(ctx context.Context, method, path, id string) (*anvilwire.Status, error) {
	var m anvilwire.Status
	if _, err := c.call(ctx, method, path+url.PathEscape(id), nil, &m); err != nil {
		return nil, err
	}
	return &m, nil
}
