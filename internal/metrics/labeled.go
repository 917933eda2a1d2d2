package metrics

import "github.com/prometheus/client_golang/prometheus"

// labeledCounter is a collector of counters that differ in their labels and whose values are
// read when the metrics are served.
type labeledCounter struct {
	desc *prometheus.Desc
	read func(report func(value float64, labels ...string))
}

// LabeledCounter registers counters of one name whose values are read when the metrics are
// served: read reports each value with its labels, in the order of the label names. It panics if
// the name is registered already.
func (r *Registry) LabeledCounter(name, help string, labels []string, read func(report func(value float64, labels ...string))) {
	r.registry.MustRegister(&labeledCounter{desc: prometheus.NewDesc(name, help, labels, nil), read: read})
}

// Describe implements prometheus.Collector.
func (c *labeledCounter) Describe(out chan<- *prometheus.Desc) { out <- c.desc }

// Collect implements prometheus.Collector.
func (c *labeledCounter) Collect(out chan<- prometheus.Metric) {
	c.read(func(value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, value, labels...)
	})
}
