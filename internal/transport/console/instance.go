package console

import (
	"context"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
)

// Metric is one metric that an instance publishes.
type Metric struct {
	Name string
	// Value is the JSON value as published, truncated to maxMetricBytes.
	Value string
}

// metricsView holds the metrics of an instance and when they were read.
type metricsView struct {
	metrics []Metric
	at      time.Time
}

// instanceBody is the content of the page of one instance.
type instanceBody struct {
	Row     fleetRow
	Address string
	Metrics []Metric
	// Age is the age of Metrics; Down is true if they could not be read now.
	Age  string
	Down bool
}

func (s *Server) showInstance(r *request) {
	view := s.fleet.snapshot()
	id := r.query.Get("id")
	i := slices.IndexFunc(view.Entries, func(e entryView) bool { return e.ID == id })
	if i < 0 {
		s.renderMessage(r.ctx, fasthttp.StatusNotFound, "There is no such instance", "It may have left the instance list. Go back to the overview.")
		return
	}
	entry := &view.Entries[i]
	read, err := s.fleet.readMetrics(entry)
	body := instanceBody{Row: s.fleetRow(entry, s.follower.current()), Address: entry.address, Metrics: read.metrics, Down: err != nil}
	body.Age = age(s.opts.Now(), read.at)
	s.render(r, "instance", "Entry instance "+id, body)
}

// readMetrics reads the metrics of an instance. If that fails, it returns the
// error and the metrics that were read last, which are empty if there are none.
func (f *fleetPoller) readMetrics(entry *entryView) (metricsView, error) {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	metrics, err := f.status.Metrics(ctx, entry.address)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.metrics[entry.ID] = metricsView{metrics: metrics, at: f.now()}
	}
	return f.metrics[entry.ID], err
}
