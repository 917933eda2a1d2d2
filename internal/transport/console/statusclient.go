package console

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/transport/adminapi"
	"medlarslip/internal/transport/httpconn"
)

// errNoStatus is the kind of error when an instance returns no valid status or
// metrics.
var errNoStatus = merry.Sentinel("instance gives no status; check that it runs and that its metrics address is right in the settings of the console")

// statusClient reads status and metrics pages over HTTP.
type statusClient struct {
	pool *httpconn.Pool
}

// NewStatusClient returns a StatusReader that uses HTTP.
func NewStatusClient(pool *httpconn.Pool) StatusReader { return &statusClient{pool: pool} }

// Status implements StatusReader.
func (c *statusClient) Status(ctx context.Context, address string) (*adminapi.Status, error) {
	var status adminapi.Status
	if err := c.read(ctx, address, adminapi.StatusPath, &status); err != nil {
		return nil, err
	}
	return &status, nil
}

const maxMetricBytes = 2000 // of one shown value

// Metrics implements StatusReader. It omits the variables that package expvar
// publishes itself.
func (c *statusClient) Metrics(ctx context.Context, address string) ([]Metric, error) {
	var published map[string]json.RawMessage
	if err := c.read(ctx, address, adminapi.MetricsPath, &published); err != nil {
		return nil, err
	}
	delete(published, "cmdline")
	delete(published, "memstats")
	metrics := make([]Metric, 0, len(published))
	for name, value := range published {
		metrics = append(metrics, Metric{Name: name, Value: string(value[:min(len(value), maxMetricBytes)])})
	}
	slices.SortFunc(metrics, func(a, b Metric) int { return strings.Compare(a.Name, b.Name) })
	return metrics, nil
}

func (c *statusClient) read(ctx context.Context, address, path string, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	if err := c.pool.Do(ctx, address, req, resp, httpconn.ReuseIdle); err != nil {
		return merry.Prepend(errNoStatus, err.Error())
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return merry.Prependf(errNoStatus, "status %d", resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return merry.Prepend(errNoStatus, err.Error())
	}
	return nil
}
