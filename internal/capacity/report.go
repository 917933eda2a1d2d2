package capacity

import (
	"fmt"
	"io"
	"time"
)

const (
	kilobyte = 1000
	megabyte = 1000 * kilobyte
	percent  = 100
)

// Report writes a Markdown table with one row for each result.
func Report(w io.Writer, results []*Result) {
	fmt.Fprintln(w, "| design | nodes | servers | peer KB/s | engine KB/s | list KB/s | all KB/s | calls/s | reads/s | CPU % of a core | MB | joined | urgent change everywhere |")
	fmt.Fprintln(w, "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, r := range results {
		fmt.Fprintf(w, "| %s | %d | %d | %.2f | %.2f | %.2f | %.2f | %.1f | %.2f | %.2f | %.2f | %s | %s |\n",
			r.Plan.Design, r.Plan.Nodes, r.Plan.Servers, r.PeerBytes/kilobyte, r.EngineBytes/kilobyte, r.ListBytes/kilobyte,
			r.Bytes()/kilobyte, r.PeerMessages, r.EngineReads, r.CPU*percent, r.Memory/megabyte,
			r.ConvergenceTime.Round(time.Millisecond), r.UrgentDelay.Round(time.Millisecond))
	}
}

// ReportLines writes a Markdown table of the lines fitted to the results of one
// design by number of nodes, with their values at a given size.
func ReportLines(w io.Writer, results []*Result, design Design, size float64) {
	values := []struct {
		name  string
		value func(*Result) float64
	}{
		{"peer KB/s", func(r *Result) float64 { return r.PeerBytes / kilobyte }},
		{"engine KB/s", func(r *Result) float64 { return r.EngineBytes / kilobyte }},
		{"list KB/s", func(r *Result) float64 { return r.ListBytes / kilobyte }},
		{"all KB/s", func(r *Result) float64 { return r.Bytes() / kilobyte }},
		{"calls/s", func(r *Result) float64 { return r.PeerMessages }},
		{"CPU % of a core", func(r *Result) float64 { return r.CPU * percent }},
		{"MB", func(r *Result) float64 { return r.Memory / megabyte }},
		{"urgent change, s", func(r *Result) float64 { return r.UrgentDelay.Seconds() }},
	}
	fmt.Fprintf(w, "\n| %s, per node | at 0 nodes | slope for 100 nodes | fitted at %.0f nodes |\n| --- | ---: | ---: | ---: |\n", design, size)
	for _, v := range values {
		var points []Point
		for _, r := range results {
			if r.Plan.Design == design {
				points = append(points, Point{Size: float64(r.Plan.Nodes), Value: v.value(r)})
			}
		}
		const nodes = 100
		line := Fit(points)
		fmt.Fprintf(w, "| %s | %.3f | %.3f | %.3f |\n", v.name, line.Base, line.Slope*nodes, line.At(size))
	}
}
