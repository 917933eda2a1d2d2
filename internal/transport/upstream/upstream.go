// Package upstream sends raw requests of the gateway to backend servers.
package upstream

import (
	"context"
	"net/http"

	"medlarslip/internal/coordination/gateway"
	"medlarslip/internal/transport/httpconn"
)

// Client implements gateway.Upstream over a pool of connections.
type Client struct {
	Pool *httpconn.Pool
}

var _ gateway.Upstream = (*Client)(nil)

// Send implements gateway.Upstream.
func (c *Client) Send(ctx context.Context, address string, req gateway.RawRequest) (gateway.RawResponse, error) {
	reuse := httpconn.ReuseNone
	if req.Repeatable {
		reuse = httpconn.ReuseIdle
	}
	x, err := c.Pool.Exchange(ctx, address, httpconn.RawRequest{Method: req.Method, Head: req.Head, Body: req.Body}, reuse)
	if err != nil {
		return nil, &gateway.SendError{MayHaveRun: httpconn.MayHaveRun(err), Refused: httpconn.IsRefused(err), Err: err}
	}
	return response{x}, nil
}

// Refuses implements gateway.Upstream.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	return c.Pool.Refuses(ctx, address)
}

type response struct{ *httpconn.Exchange }

// Status implements gateway.RawResponse.
func (a response) Status() int { return a.Response.StatusCode }

// Header implements gateway.RawResponse.
func (a response) Header() http.Header { return a.Response.Header }
