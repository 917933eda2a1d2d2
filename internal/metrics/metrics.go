// Package metrics records the metrics of a gateway and serves them in the format
// of Prometheus.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// latencyBuckets holds the upper bounds, in seconds, of the latency histograms. They
// double from 5 ms, for plain calls, to about 20 s, for the longest streams.
var latencyBuckets = prometheus.ExponentialBuckets(0.005, 2, 13)

// Registry holds the metrics of one process. It is safe for concurrent use.
type Registry struct {
	registry     *prometheus.Registry
	requests     *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	attempts     *prometheus.CounterVec
	timeToHeader *prometheus.HistogramVec
}

// New returns a registry with the request metrics and those of the Go runtime.
func New() *Registry {
	r := &Registry{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarslip_requests_total", Help: "Requests of clients by kind and outcome.",
		}, []string{"kind", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "medlarslip_request_seconds", Help: "Time from a request to the end of its answer.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarslip_attempts_total", Help: "Requests to backend servers by service and verdict.",
		}, []string{"service", "verdict"}),
		timeToHeader: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "medlarslip_attempt_header_seconds", Help: "Time to the header of a backend server's response.", Buckets: latencyBuckets,
		}, []string{"service"}),
	}
	r.registry.MustRegister(r.requests, r.latency, r.attempts, r.timeToHeader, collectors.NewGoCollector())
	return r
}

// Answered records a request with its kind, outcome and duration.
func (r *Registry) Answered(kind, outcome string, took time.Duration) {
	r.requests.WithLabelValues(kind, outcome).Inc()
	r.latency.WithLabelValues(kind).Observe(took.Seconds())
}

// Attempted records an attempt with its verdict and the time to the header of the
// response.
func (r *Registry) Attempted(service, verdict string, took time.Duration) {
	r.attempts.WithLabelValues(service, verdict).Inc()
	r.timeToHeader.WithLabelValues(service).Observe(took.Seconds())
}

// Gauge registers a gauge whose value is read when the metrics are served. It panics
// if the name is registered already.
func (r *Registry) Gauge(name, help string, read func() float64) {
	r.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Counter registers a counter whose value is read when the metrics are served. It
// panics if the name is registered already.
func (r *Registry) Counter(name, help string, read func() float64) {
	r.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

// Handler returns the handler that serves the metrics.
func (r *Registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{})
}
