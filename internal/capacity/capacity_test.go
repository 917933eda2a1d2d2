package capacity

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestFit(t *testing.T) {
	cases := []struct {
		name   string
		points []Point
		want   Line
	}{
		{"none", nil, Line{}},
		{"one size", []Point{{5, 2}, {5, 4}}, Line{Base: 3}},
		{"exact line", []Point{{1, 5}, {2, 7}, {4, 11}}, Line{Slope: 2, Base: 3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, Fit(c.points)) })
	}
	must.Eq(t, 13.0, Line{Slope: 2, Base: 3}.At(5))
}

// TestSmallFleetsAreMeasured runs both designs. A fleet converges only if every
// node has every other node and the load of every server, so a run that ends
// without an error has delivered all messages.
func TestSmallFleetsAreMeasured(t *testing.T) {
	for _, design := range []Design{DesignMedlarslip, DesignNaive} {
		result, err := Run(t.Context(), Plan{Design: design, Nodes: 3, Servers: 4, Window: time.Second, ConvergenceTimeout: time.Minute})
		must.NoError(t, err)
		must.Positive(t, result.ConvergenceTime)
		must.Positive(t, result.UrgentDelay)
		var report strings.Builder
		Report(&report, []*Result{result})
		must.StrContains(t, report.String(), string(design))
	}
}

// TestFleetThatCannotConvergeIsAnError guards against a run that reports figures
// of a fleet that hasn't converged.
func TestFleetThatCannotConvergeIsAnError(t *testing.T) {
	_, err := Run(t.Context(), Plan{Design: DesignMedlarslip, Nodes: 2, Servers: 1, ConvergenceTimeout: time.Nanosecond})
	must.ErrorIs(t, err, ErrNotConverged)
}

func TestRatesArePerNodeAndSecond(t *testing.T) {
	began := time.Now()
	first := counts{at: began, peerBytes: 100, engineBytes: 200, listBytes: 300, peerCalls: 10, engineReads: 20, cpu: time.Second}
	last := counts{at: began.Add(10 * time.Second), peerBytes: 2100, engineBytes: 4200, listBytes: 6300, peerCalls: 110, engineReads: 220, cpu: 3 * time.Second}
	result := Result{Plan: Plan{Nodes: 2}}
	result.setRates(first, last)
	want := Result{Plan: Plan{Nodes: 2}, PeerBytes: 100, EngineBytes: 200, ListBytes: 300, PeerMessages: 5, EngineReads: 10, CPU: 0.1}
	must.Eq(t, want, result)
	must.Eq(t, 600.0, result.Bytes())
}
