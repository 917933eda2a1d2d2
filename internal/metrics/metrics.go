// Package metrics counts what a gateway does and serves it as text.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// latencyBuckets are the upper bounds, in seconds, of the latency histograms:
// doubling steps from a plain call to the longest stream.
var latencyBuckets = prometheus.ExponentialBuckets(0.005, 2, 13)

// Registry holds the metrics of one process. It is safe for concurrent use.
type Registry struct {
	registry     *prometheus.Registry
	requests     *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	attempts     *prometheus.CounterVec
	timeToHeader *prometheus.HistogramVec
}

// New returns an empty registry.
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

// Answered counts a request of a kind with its outcome and duration.
func (r *Registry) Answered(kind, outcome string, took time.Duration) {
	r.requests.WithLabelValues(kind, outcome).Inc()
	r.latency.WithLabelValues(kind).Observe(took.Seconds())
}

// Attempted counts an attempt with its verdict and the time to the header of
// its response.
func (r *Registry) Attempted(service, verdict string, took time.Duration) {
	r.attempts.WithLabelValues(service, verdict).Inc()
	r.timeToHeader.WithLabelValues(service).Observe(took.Seconds())
}

// Gauge adds a value that is read when the metrics are served.
func (r *Registry) Gauge(name, help string, read func() float64) {
	r.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Counter adds a count that is read when the metrics are served.
func (r *Registry) Counter(name, help string, read func() float64) {
	r.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

// Handler serves the metrics.
func (r *Registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{})
}
