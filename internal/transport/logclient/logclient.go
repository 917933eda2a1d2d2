// Package logclient calls the platform's log service over HTTP.
package logclient

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/transport/httpconn"
)

// Client implements eventlog.Log.
type Client struct {
	address string
	pool    *httpconn.Pool
}

var _ eventlog.Log = (*Client)(nil)

// New returns a client of the log service at address.
func New(address string, pool *httpconn.Pool) *Client {
	return &Client{address: address, pool: pool}
}

// Append implements eventlog.Log.
func (c *Client) Append(ctx context.Context, stream string, records []json.RawMessage) (int64, error) {
	body, err := json.Marshal(platform.AppendRequest{Records: records})
	if err != nil {
		return 0, merry.Prepend(eventlog.ErrNotAppended, err.Error())
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	c.prepare(req, fasthttp.MethodPost, platform.LogPathPrefix+stream)
	req.SetBodyRaw(body)
	// An append must not be sent twice, so it never uses an idle connection.
	if err := c.pool.Do(ctx, c.address, req, resp, httpconn.ReuseNone); err != nil {
		return 0, appendError(err)
	}
	return decodeAppend(resp)
}

func appendError(err error) error {
	if httpconn.MayHaveRun(err) {
		return merry.Prepend(eventlog.ErrAppendUnknown, err.Error())
	}
	return merry.Prepend(eventlog.ErrNotAppended, err.Error())
}

func decodeAppend(resp *fasthttp.Response) (int64, error) {
	status := resp.StatusCode()
	switch {
	case status == fasthttp.StatusOK:
	case status >= 400 && status < 500:
		return 0, merry.Prependf(eventlog.ErrNotAppended, "log service answered %d", status)
	default:
		return 0, merry.Prependf(eventlog.ErrAppendUnknown, "log service answered %d", status)
	}
	var answer platform.AppendResponse
	if err := json.Unmarshal(resp.Body(), &answer); err != nil {
		return 0, merry.Prepend(eventlog.ErrAppendUnknown, err.Error())
	}
	return answer.FirstOffset, nil
}

// Read implements eventlog.Log.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*platform.ReadResponse, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	query := fmt.Sprintf("?from=%d&limit=%d&wait_ms=%d", from, limit, wait.Milliseconds())
	c.prepare(req, fasthttp.MethodGet, platform.LogPathPrefix+stream+query)
	if err := c.pool.Do(ctx, c.address, req, resp, httpconn.ReuseIdle); err != nil {
		return nil, merry.Prepend(eventlog.ErrUnavailable, err.Error())
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, merry.Prependf(eventlog.ErrUnavailable, "log service answered %d", resp.StatusCode())
	}
	var page platform.ReadResponse
	if err := json.Unmarshal(resp.Body(), &page); err != nil {
		return nil, merry.Prepend(eventlog.ErrUnavailable, err.Error())
	}
	return &page, nil
}

func (c *Client) prepare(req *fasthttp.Request, method, uri string) {
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.address + uri)
	req.Header.SetContentType("application/json")
}
