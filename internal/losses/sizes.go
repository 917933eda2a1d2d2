package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
)

// unknownSize stands for the class of a request without one: a request that was not placed by expected
// cost, continues a stream, or has no expected work.
const unknownSize = "-"

// sizeOrder holds the classes of expected work in the order in which they are printed.
var sizeOrder = []string{"smallest", "middle", "large", "largest", unknownSize}

// sizeKey identifies requests of one route and class.
type sizeKey struct{ route, size string }

// sizeCounts holds how the requests of one route and class were served.
type sizeCounts struct {
	requests, inTime, late, refused int
	// firstMS holds the times to the first event, and ratios the actual divided by the predicted
	// ones.
	firstMS []int64
	ratios  []float64
}

// notRunStatus holds the statuses that guarantee that a request has not run.
var notRunStatus = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// addSize adds a request that ended to those of its route and class.
func (r *Report) addSize(rec *logRecord) {
	if rec.Event != "request_ended" {
		return
	}
	key := sizeKey{cmp.Or(rec.Route, "-"), cmp.Or(rec.Size, unknownSize)}
	if r.sizes == nil {
		r.sizes = map[sizeKey]*sizeCounts{}
	}
	c := r.sizes[key]
	if c == nil {
		c = &sizeCounts{}
		r.sizes[key] = c
	}
	c.requests++
	switch {
	case rec.Outcome != "answered":
		if slices.Contains(notRunStatus, rec.Status) {
			c.refused++
		}
		return
	case rec.Late != "":
		c.late++
	default:
		c.inTime++
	}
	// An answer that is no stream arrives as a whole.
	actual, predicted := rec.TookMS, rec.PredictedMS
	if rec.FirstMS > 0 {
		actual, predicted = rec.FirstMS, rec.PredictedFirstMS
	}
	c.firstMS = append(c.firstMS, actual)
	// Predictions are for the last run from its start, and times in the log count from the arrival of
	// the request, so that they compare only where one run began at once.
	if rec.Attempts == "answered" && rec.WaitedMS == 0 && rec.QueuedMS == 0 && rec.Resumed == 0 && predicted > 0 {
		c.ratios = append(c.ratios, float64(actual)/float64(predicted))
	}
}

// writeSizes prints a line for each route and class of which requests have ended, if any request has a
// class.
func (r *Report) writeSizes(w io.Writer) error {
	keys := slices.SortedFunc(maps.Keys(r.sizes), func(a, b sizeKey) int {
		return cmp.Or(strings.Compare(a.route, b.route), cmp.Compare(slices.Index(sizeOrder, a.size), slices.Index(sizeOrder, b.size)), strings.Compare(a.size, b.size))
	})
	if !slices.ContainsFunc(keys, func(k sizeKey) bool { return k.size != unknownSize }) {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nroute\tsize\trequests\tin time\tlate\trefused\tfirst event p50\tp90\tp99\tactual/predicted p10\tp50\tp90\tof runs")
	for _, key := range keys {
		c := r.sizes[key]
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d", key.route, key.size, c.requests, c.inTime, c.late, c.refused)
		slices.Sort(c.firstMS)
		for _, q := range []float64{0.5, 0.9, 0.99} {
			fmt.Fprintf(table, "\t%s", quantileText(c.firstMS, q, "%d ms"))
		}
		slices.Sort(c.ratios)
		for _, q := range []float64{0.1, 0.5, 0.9} {
			fmt.Fprintf(table, "\t%s", quantileText(c.ratios, q, "%.2f"))
		}
		fmt.Fprintf(table, "\t%d\n", len(c.ratios))
	}
	return table.Flush()
}

// quantileText formats a quantile of sorted values; "-" without any.
func quantileText[T any](sorted []T, q float64, format string) string {
	if len(sorted) == 0 {
		return "-"
	}
	return fmt.Sprintf(format, sorted[min(int(q*float64(len(sorted))), len(sorted)-1)])
}
