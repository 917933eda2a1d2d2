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

func TestSmallFleetsAreMeasured(t *testing.T) {
	for _, design := range []Design{DesignMedlarslip, DesignNaive} {
		result, err := Run(t.Context(), Plan{Design: design, Nodes: 3, Servers: 4, Window: time.Second, Patience: time.Minute})
		must.NoError(t, err)
		must.Positive(t, result.PeerBytes)
		must.Positive(t, result.EngineReads)
		var report strings.Builder
		Report(&report, []*Result{result})
		must.StrContains(t, report.String(), string(design))
	}
}
