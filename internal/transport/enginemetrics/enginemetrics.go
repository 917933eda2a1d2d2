// Package enginemetrics reads the health of a backend server and its load. The
// load comes from metrics in the Prometheus text format, under the names that
// model engines publish.
package enginemetrics

import (
	"bytes"
	"context"
	"math"
	"time"

	"github.com/ansel1/merry/v2"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/state/backends"
	"medlarslip/internal/transport/httpconn"
)

// Paths on a backend server.
const (
	MetricsPath = "/metrics"
	HealthPath  = "/health"
)

// Names of metrics. Some engines publish the usage of the KV cache under the
// older name.
const (
	nameRunning     = "vllm:num_requests_running"
	nameWaiting     = "vllm:num_requests_waiting"
	nameCacheUse    = "vllm:kv_cache_usage_perc"
	nameOldCacheUse = "vllm:gpu_cache_usage_perc"
	nameStartTime   = "process_start_time_seconds"
)

// maxMetricsBytes is the maximum size of a response after decompression.
const maxMetricsBytes = 4 << 20

// Kinds of error.
var (
	// ErrUnreachable means that the server did not answer with status 200.
	ErrUnreachable = merry.Sentinel("backend server did not answer for its metrics; check that it runs and that its address is right")
	// ErrMalformed means that the load can't be read from the response.
	ErrMalformed = merry.Sentinel("metrics of the backend server can't be read; check that it publishes the Prometheus text format")
)

// Client reads the load and health of backend servers. It is safe for concurrent
// use.
type Client struct {
	pool *httpconn.Pool
}

// New returns a client that uses the connections of pool.
func New(pool *httpconn.Pool) *Client { return &Client{pool: pool} }

// Load reads the load of the server at address. The error is of the kind
// ErrUnreachable or ErrMalformed.
func (c *Client) Load(ctx context.Context, address string) (backends.Load, error) {
	requestedAt := time.Now()
	body, err := c.get(ctx, address, MetricsPath)
	if err != nil {
		return backends.Load{}, err
	}
	load, err := parse(body)
	load.ReadAt = requestedAt
	return load, err
}

// Healthy returns nil if the health endpoint of the server reports that it
// accepts work. The error is of the kind ErrUnreachable, or ErrMalformed if the
// response can't be decompressed.
func (c *Client) Healthy(ctx context.Context, address string) error {
	_, err := c.get(ctx, address, HealthPath)
	return err
}

func (c *Client) get(ctx context.Context, address, path string) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set(fasthttp.HeaderAcceptEncoding, "gzip")
	if err := c.pool.Do(ctx, address, req, resp, httpconn.ReuseIdle); err != nil {
		return nil, merry.Prepend(ErrUnreachable, err.Error())
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, merry.Prependf(ErrUnreachable, "status %d from %s%s", resp.StatusCode(), address, path)
	}
	body, err := resp.BodyUncompressedWithLimit(maxMetricsBytes)
	if err != nil {
		return nil, merry.Prepend(ErrMalformed, err.Error())
	}
	return bytes.Clone(body), nil
}

// parse reads the load from metrics. If an engine publishes a metric for several
// models, the values are added up; of the cache usage the highest is used.
func parse(text []byte) (backends.Load, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return backends.Load{}, merry.Prepend(ErrMalformed, err.Error())
	}
	running, ok := sumValues(families[nameRunning])
	if !ok {
		return backends.Load{}, merry.Prepend(ErrMalformed, "no "+nameRunning)
	}
	waiting, _ := sumValues(families[nameWaiting])
	started, _ := maxValue(families[nameStartTime])
	use, ok := maxValue(families[nameCacheUse])
	if !ok {
		use, _ = maxValue(families[nameOldCacheUse])
	}
	return backends.Load{
		Running: toCount(running), Waiting: toCount(waiting), CacheUse: min(max(use, 0), 1),
		Started: runID(started),
	}, nil
}

// runID derives an identifier for the run of a process from its start time in
// seconds; 0 if the time is unknown.
func runID(started float64) uint16 {
	if started <= 0 || math.IsNaN(started) {
		return 0
	}
	return uint16(math.Mod(started, math.MaxUint16)) + 1
}

// toCount converts a value to a count. NaN, negative and too large values become
// 0.
func toCount(value float64) int {
	if math.IsNaN(value) || value < 0 || value > math.MaxUint32 {
		return 0
	}
	return int(value)
}

func metricValues(family *dto.MetricFamily) []float64 {
	var all []float64
	for _, metric := range family.GetMetric() {
		switch {
		case metric.Gauge != nil:
			all = append(all, metric.Gauge.GetValue())
		case metric.Counter != nil:
			all = append(all, metric.Counter.GetValue())
		case metric.Untyped != nil:
			all = append(all, metric.Untyped.GetValue())
		}
	}
	return all
}

func sumValues(family *dto.MetricFamily) (float64, bool) {
	all := metricValues(family)
	total := 0.0
	for _, value := range all {
		total += value
	}
	return total, len(all) > 0
}

func maxValue(family *dto.MetricFamily) (float64, bool) {
	all := metricValues(family)
	largest := 0.0
	for _, value := range all {
		if !math.IsNaN(value) {
			largest = max(largest, value)
		}
	}
	return largest, len(all) > 0
}
