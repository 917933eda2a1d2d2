package metrics_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/metrics"
)

// TestLabeledCountersAreServed guards against counters that are read once, or without their
// labels.
func TestLabeledCountersAreServed(t *testing.T) {
	r := metrics.New()
	value := 0.0
	r.LabeledCounter("runs_total", "Runs.", []string{"kind", "met"}, func(report func(float64, ...string)) {
		value++
		report(value, "stream", "true")
		report(2*value, "stream", "false")
	})
	serve := func() string {
		w := httptest.NewRecorder()
		r.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
		return w.Body.String()
	}
	must.StrContains(t, serve(), `runs_total{kind="stream",met="true"} 1`)
	must.StrContains(t, serve(), `runs_total{kind="stream",met="false"} 4`)
}

// TestSizesAreServed guards against counts by class that are not served, and against a time of 0 for
// requests without a first event.
func TestSizesAreServed(t *testing.T) {
	r := metrics.New()
	r.Sized("s", "largest", "met", 300*time.Millisecond)
	r.Sized("s", "largest", "missed", 0)
	r.SizePredicted("s", "largest", 1.5)
	r.SizePredicted("s", "largest", 0)
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
	for _, line := range []string{
		`medlarslip_size_requests_total{objective="met",service="s",size="largest"} 1`,
		`medlarslip_size_requests_total{objective="missed",service="s",size="largest"} 1`,
		`medlarslip_size_first_event_seconds_count{service="s",size="largest"} 1`,
		`medlarslip_size_first_event_actual_to_predicted_sum{service="s",size="largest"} 1.5`,
		`medlarslip_size_first_event_actual_to_predicted_count{service="s",size="largest"} 1`,
	} {
		must.StrContains(t, w.Body.String(), line)
	}
}
