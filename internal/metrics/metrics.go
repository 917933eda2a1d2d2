// Package metrics records the metrics of a gateway and serves them in the format
// of Prometheus.
package metrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// latencyBuckets holds the upper bounds, in seconds, of the latency histograms. They
// double from 5 ms, for plain calls, to about 20 s, for the longest streams.
var latencyBuckets = prometheus.ExponentialBuckets(0.005, 2, 13)

// ratioBuckets holds the upper bounds of the ratios of actual to predicted times.
var ratioBuckets = []float64{0.125, 0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.5, 2, 4, 8}

// Registry holds the metrics of one process. It is safe for concurrent use.
type Registry struct {
	registry     *prometheus.Registry
	requests     *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	attempts     *prometheus.CounterVec
	timeToHeader *prometheus.HistogramVec
	placements   *prometheus.CounterVec
	firstRatio   *prometheus.HistogramVec
	endRatio     *prometheus.HistogramVec
	sizes        *prometheus.CounterVec
	sizeFirst    *prometheus.HistogramVec
	sizeRatio    *prometheus.HistogramVec
	admissions   *prometheus.CounterVec
	waits        *prometheus.HistogramVec
	excess       *prometheus.CounterVec
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
		placements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarslip_placements_total", Help: "Choices of a backend server by service and cause.",
		}, []string{"service", "cause"}),
		firstRatio: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "medlarslip_first_event_actual_to_predicted", Help: "Actual divided by predicted time to the first event or the header.", Buckets: ratioBuckets,
		}, []string{"kind"}),
		endRatio: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "medlarslip_end_actual_to_predicted", Help: "Actual divided by predicted time to the end of a run.", Buckets: ratioBuckets,
		}, []string{"kind"}),
		sizes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarslip_size_requests_total", Help: "Requests by class of expected work and by whether they met their objective.",
		}, []string{"service", "size", "objective"}),
		sizeFirst: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "medlarslip_size_first_event_seconds", Help: "Time to the first event by class of expected work.", Buckets: latencyBuckets,
		}, []string{"service", "size"}),
		sizeRatio: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "medlarslip_size_first_event_actual_to_predicted", Help: "Actual divided by predicted time to the first event or the header, by class of expected work.",
			Buckets: ratioBuckets,
		}, []string{"service", "size"}),
		admissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarslip_admissions_total", Help: "Runs of requests by what admission by load did with them.",
		}, []string{"service", "rank", "outcome"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "medlarslip_capacity_wait_seconds", Help: "Time that runs of requests waited for capacity.", Buckets: latencyBuckets,
		}, []string{"service", "rank"}),
		excess: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "medlarslip_excess_requests_total", Help: "Requests above the share of their account.",
		}, []string{"account"}),
	}
	r.registry.MustRegister(r.requests, r.latency, r.attempts, r.timeToHeader, r.placements, r.firstRatio, r.endRatio, r.sizes, r.sizeFirst, r.sizeRatio, r.admissions, r.waits, r.excess, collectors.NewGoCollector())
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

// Placed records the choice of a backend server with its cause.
func (r *Registry) Placed(service, cause string) {
	r.placements.WithLabelValues(service, cause).Inc()
}

// Predicted records the ratios of the actual to the predicted time to the first event and to
// the end of a run; 0 if one is unknown.
func (r *Registry) Predicted(kind string, firstEvent, end float64) {
	if firstEvent > 0 {
		r.firstRatio.WithLabelValues(kind).Observe(firstEvent)
	}
	if end > 0 {
		r.endRatio.WithLabelValues(kind).Observe(end)
	}
}

// Sized records a request of a class of expected work, with whether it met its objective and the time
// to its first event; 0 if there was none.
func (r *Registry) Sized(service, size, objective string, first time.Duration) {
	r.sizes.WithLabelValues(service, size, objective).Inc()
	if first > 0 {
		r.sizeFirst.WithLabelValues(service, size).Observe(first.Seconds())
	}
}

// SizePredicted records the ratio of the actual to the predicted time to the first event of a run of
// a request of a class; 0 if it is unknown.
func (r *Registry) SizePredicted(service, size string, firstEvent float64) {
	if firstEvent > 0 {
		r.sizeRatio.WithLabelValues(service, size).Observe(firstEvent)
	}
}

// Admitted records what admission by load did with a run of a request, and how long it waited.
func (r *Registry) Admitted(service string, rank int, outcome string, waited time.Duration) {
	r.admissions.WithLabelValues(service, strconv.Itoa(rank), outcome).Inc()
	if waited > 0 {
		r.waits.WithLabelValues(service, strconv.Itoa(rank)).Observe(waited.Seconds())
	}
}

// Excess records a request above the share of its account.
func (r *Registry) Excess(account string) { r.excess.WithLabelValues(account).Inc() }

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
