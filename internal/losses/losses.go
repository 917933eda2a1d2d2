// Package losses summarizes from the logs of instances why and when requests were
// refused, ended without an answer or were answered late, and how those of each size were served.
package losses

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// logRecord holds the fields of a log line that are evaluated.
type logRecord struct {
	Event    string `json:"event"`
	Time     string `json:"time"`
	Cause    string `json:"cause"`
	Outcome  string `json:"outcome"`
	Route    string `json:"route"`
	Attempts string `json:"attempts"`
	Late     string `json:"late"`
	WaitedMS int64  `json:"waited_ms"`
	// QueuedMS is how long the request waited for capacity, and Excess is true for one above the
	// share of its account.
	QueuedMS int64 `json:"queued_ms"`
	Excess   bool  `json:"excess"`
	// Size is the class of the expected work of the request.
	Size    string `json:"size"`
	Status  int    `json:"status"`
	Resumed int    `json:"resumed"`
	// FirstMS is the time to the first event of a stream, and TookMS that to the end. The predicted
	// times are those of the last run.
	FirstMS          int64 `json:"first_ms"`
	TookMS           int64 `json:"took_ms"`
	PredictedFirstMS int64 `json:"predicted_first_ms"`
	PredictedMS      int64 `json:"predicted_ms"`
}

// cause counts the requests that failed or were late for one reason.
type cause struct {
	name        string
	count       int
	first, last string
	routes      map[string]int
}

// Report counts requests by outcome and cause. The zero value is empty.
type Report struct {
	// Requests counts all requests that ended or were refused, AnsweredInTime the
	// requests that were answered in time.
	Requests, AnsweredInTime int
	causes                   map[string]*cause
	sizes                    map[sizeKey]*sizeCounts
}

// maxLine limits the length of a log line in bytes.
const maxLine = 1 << 20

// Read adds the lines of a log to the report. It ignores text before the JSON
// object of a line, such as the name of an instance, and lines without a valid
// JSON object. It fails at a line longer than maxLine.
func (r *Report) Read(log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line := lines.Bytes()
		begin := bytes.IndexByte(line, '{')
		if begin < 0 {
			continue
		}
		var rec logRecord
		if json.Unmarshal(line[begin:], &rec) == nil {
			r.add(&rec)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("log can't be read to its end: %w; split lines of more than %d bytes", err, maxLine)
	}
	return nil
}

func (r *Report) add(rec *logRecord) {
	r.addSize(rec)
	name := ""
	switch {
	case rec.Event == "request_refused":
		name = "refused: " + rec.Cause
	case rec.Event != "request_ended":
		return
	case rec.Outcome != "answered":
		name = "ended: " + rec.Outcome
		if rec.Excess {
			name += ", above the share of its account"
		}
	case rec.Late != "":
		name = "late: " + rec.Late + ", " + lateCause(rec)
	}
	r.Requests++
	if name == "" {
		r.AnsweredInTime++
		return
	}
	if r.causes == nil {
		r.causes = map[string]*cause{}
	}
	c := r.causes[name]
	if c == nil {
		c = &cause{name: name, first: rec.Time, routes: map[string]int{}}
		r.causes[name] = c
	}
	c.count++
	c.first, c.last = min(c.first, rec.Time), max(c.last, rec.Time)
	c.routes[rec.Route]++
}

// lateCause returns the cause of a late answer.
func lateCause(rec *logRecord) string {
	attempts := strings.Split(rec.Attempts, ",")
	switch {
	case rec.WaitedMS > 0:
		return "waited for the configuration"
	case slices.Contains(attempts, "unknown"), slices.Contains(attempts, "server_failed"):
		return "after a server that failed"
	case slices.Contains(attempts, "not_run"):
		return "after a server that refused"
	case rec.Excess && rec.QueuedMS > 0:
		return "waited for capacity, above the share of its account"
	case rec.QueuedMS > 0:
		return "waited for capacity"
	case rec.Excess:
		return "above the share of its account"
	case slices.Contains(attempts, "weak"):
		return "after a weak answer"
	default:
		return "at its first server"
	}
}

// Write prints a line for each cause, the most frequent first, and one for each route and class of
// expected work.
func (r *Report) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%d requests, %d answered in time\n", r.Requests, r.AnsweredInTime)
	fmt.Fprintln(table, "requests\tshare\tcause\tfrom\tto\tmostly on")
	for _, c := range slices.SortedFunc(maps.Values(r.causes), byCount) {
		share := float64(c.count) / float64(max(r.Requests, 1))
		fmt.Fprintf(table, "%d\t%.2f%%\t%s\t%s\t%s\t%s\n", c.count, 100*share, c.name, c.first, c.last, c.mainRoute())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return r.writeSizes(w)
}

func byCount(a, b *cause) int {
	return cmp.Or(cmp.Compare(b.count, a.count), strings.Compare(a.name, b.name))
}

// mainRoute returns the route with the most requests, or "-" if the requests have
// no route.
func (c *cause) mainRoute() string {
	route := slices.MaxFunc(slices.Sorted(maps.Keys(c.routes)), func(a, b string) int { return cmp.Compare(c.routes[a], c.routes[b]) })
	return cmp.Or(route, "-")
}
