package gateway

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/prefill"
	"medlarslip/internal/coordination/workload"
	"medlarslip/internal/protocol/routes"
)

// sizeMetrics records what is counted by class.
type sizeMetrics struct {
	noMetrics
	counted map[string]int
	firsts  []time.Duration
	ratios  map[string]float64
}

func (m *sizeMetrics) Sized(service, size, objective string, first time.Duration) {
	m.counted[service+" "+size+" "+objective]++
	m.firsts = append(m.firsts, first)
}

func (m *sizeMetrics) SizePredicted(service, size string, ratio float64) {
	m.ratios[service+" "+size] = ratio
}

// sizeFixture is a gateway that chooses servers by expected cost, and a stream.
type sizeFixture struct {
	*Gateway
	counts *sizeMetrics
	log    bytes.Buffer
	route  *routes.Route
}

func newSizeFixture(pressure bool) *sizeFixture {
	f := &sizeFixture{counts: &sizeMetrics{counted: map[string]int{}, ratios: map[string]float64{}}}
	logger := logrus.New()
	logger.SetOutput(&f.log)
	logger.SetFormatter(&logrus.JSONFormatter{})
	f.Gateway = New(Options{Pressure: func() bool { return pressure }, Metrics: f.counts, Log: logrus.NewEntry(logger)})
	f.route = &routes.Route{Name: "r", Kind: routes.Stream, Objective: time.Second}
	return f
}

// request returns a request whose servers were chosen once, with a prompt that takes the given time.
func (f *sizeFixture) request(prompt time.Duration) *request {
	req := &request{service: "s", route: f.route, plan: &cascadePlan{fixed: "m"}, index: routes.Compile(&routes.Table{}), started: time.Now()}
	f.expect(req, prefill.Estimate{Time: prompt}, time.Now())
	return req
}

// learn makes requests after which the classes are known.
func (f *sizeFixture) learn() {
	for i := range 40 {
		f.request(time.Duration(100+i) * time.Millisecond)
	}
}

// TestClassOfARequestStays guards against a class that changes with the runs of a request, against
// runs that count as further requests, and against classes for placement by load and for requests
// that continue a stream.
func TestClassOfARequestStays(t *testing.T) {
	f := newSizeFixture(true)
	for range 20 {
		must.Eq(t, workload.SizeMiddle, f.request(100*time.Millisecond).size)
	}
	f.learn()
	large := f.request(5 * time.Second)
	must.Eq(t, workload.SizeLargest, large.size)
	for range 100 {
		f.expect(large, prefill.Estimate{Time: time.Millisecond}, time.Now())
	}
	must.Eq(t, workload.SizeLargest, large.size)
	// The runs above are no requests, so that a prompt of 50 ms is still one of the smallest.
	must.Eq(t, workload.SizeSmallest, f.request(50*time.Millisecond).size)
	resumed := &request{service: "s", route: f.route, plan: &cascadePlan{fixed: "m"}, call: Call{LastEventID: "3"}}
	f.expect(resumed, prefill.Estimate{Time: time.Second}, time.Now())
	must.Eq(t, workload.SizeUnknown, resumed.size)
	must.Eq(t, workload.SizeUnknown, newSizeFixture(false).request(time.Second).size)
}

// TestEndsAreCountedByClass guards against requests that are left out of the counts of their class,
// such as refused ones, against a log line without the class, and against counts for placement by
// load.
func TestEndsAreCountedByClass(t *testing.T) {
	f := newSizeFixture(true)
	f.learn()
	large := f.request(5 * time.Second)
	f.logEnd(large, &end{outcome: "answered", first: 400 * time.Millisecond})
	must.StrContains(t, f.log.String(), `"size":"largest"`)
	f.logEnd(large, &end{outcome: "answered", first: 2 * time.Second})
	refused := &end{}
	refused.refuseWith(&refuseNoCapacity)
	f.logEnd(large, refused)
	f.logEnd(large, &end{outcome: "client_gone"})
	f.route.Objective = 0
	f.logEnd(large, &end{outcome: "answered", first: time.Second})
	must.Eq(t, map[string]int{"s largest met": 1, "s largest missed": 2, "s largest client_gone": 1, "s largest none": 1}, f.counts.counted)
	must.Eq(t, []time.Duration{400 * time.Millisecond, 2 * time.Second, 0, 0, time.Second}, f.counts.firsts)

	byLoad := newSizeFixture(false)
	byLoad.logEnd(byLoad.request(time.Second), &end{outcome: "answered", first: time.Second})
	must.MapEmpty(t, byLoad.counts.counted)
	must.StrNotContains(t, byLoad.log.String(), `"size"`)
}

// TestPredictionsAreComparedByClass guards against errors of predictions that are not counted by
// class, and against those of runs that continue a stream.
func TestPredictionsAreComparedByClass(t *testing.T) {
	f := newSizeFixture(true)
	f.learn()
	compare := func(resumed bool) {
		a := &attempt{gateway: f.Gateway, req: f.request(5 * time.Second), choice: &selection{}, began: time.Now(), resumed: resumed}
		a.choice.times = workload.Times{FirstEvent: 200 * time.Millisecond, End: time.Second}
		a.times.first = 300 * time.Millisecond
		a.comparePrediction(time.Now())
	}
	compare(true)
	must.MapEmpty(t, f.counts.ratios)
	compare(false)
	must.Eq(t, map[string]float64{"s largest": 1.5}, f.counts.ratios)
}
