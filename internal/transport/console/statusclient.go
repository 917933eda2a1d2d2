package console

import (
	"context"
	"encoding/json"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/transport/adminapi"
	"medlarslip/internal/transport/httpconn"
)

// errNoStatus is the kind of error of an instance that gives no status.
var errNoStatus = merry.Sentinel("instance gives no status; check that it runs and that its metrics address is right in the settings of the console")

// statusClient reads status pages over HTTP.
type statusClient struct {
	pool *httpconn.Pool
}

// NewStatusClient returns a reader of status pages over HTTP.
func NewStatusClient(pool *httpconn.Pool) StatusReader { return &statusClient{pool: pool} }

// Status implements StatusReader.
func (c *statusClient) Status(ctx context.Context, address string) (*adminapi.Status, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + adminapi.StatusPath)
	if err := c.pool.Do(ctx, address, req, resp, httpconn.ReuseIdle); err != nil {
		return nil, merry.Prepend(errNoStatus, err.Error())
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, merry.Prependf(errNoStatus, "status %d", resp.StatusCode())
	}
	var status adminapi.Status
	if err := json.Unmarshal(resp.Body(), &status); err != nil {
		return nil, merry.Prepend(errNoStatus, err.Error())
	}
	return &status, nil
}
