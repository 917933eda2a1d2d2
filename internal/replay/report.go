package replay

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"medlarslip/internal/state/backends"
)

// Report is the result of one replay.
type Report struct {
	Trace, Policy string
	Requests      int
	// Feasible counts the requests that some server could answer before the
	// deadline, InTime those of them that were answered before it.
	Feasible, InTime int
	// Answered counts answers, Met those that meet the quality target.
	Answered, Met int
	// Micros is the cost of all steps, in millionths of a unit.
	Micros int64
	// Exposed counts the answers of the new version below the quality target
	// that callers received after it became bad. From then on, BadNewRuns counts
	// the calls of the new version, except those for sessions pinned to it,
	// which BadPinnedRuns counts.
	Exposed, BadNewRuns, BadPinnedRuns int
	// P50, P95 and P99 are quantiles of the latency of answers.
	P50, P95, P99 time.Duration
	// Violations describes the violated invariants, the first MaxViolations
	// of them.
	Violations []string

	latencies []time.Duration
	open      int
}

// MaxViolations limits the violations that a report lists.
const MaxViolations = 20

func (r *Report) addViolation(format string, args ...any) {
	if len(r.Violations) < MaxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

func (r *Report) countArrival(f *flow) {
	r.Requests++
	r.open++
	if f.feasible {
		r.Feasible++
	}
}

// end completes the request with its final answer; nil means that it is refused.
func (f *flow) end(answer *Answer) {
	w, r := f.w, &f.w.report
	if f.done {
		r.addViolation("request %s was answered twice", f.request.ID)
		return
	}
	f.done = true
	r.open--
	r.Micros += f.micros
	if answer == nil {
		return
	}
	took := w.now.Sub(f.arrived)
	r.Answered++
	r.latencies = append(r.latencies, took)
	if !w.now.After(f.deadline) && f.feasible {
		r.InTime++
	}
	if answer.Rating >= f.plan.QualityTarget {
		r.Met++
	} else if answer.VersionID == newVersion && w.newVersionIsBad() {
		r.Exposed++
	}
	f.pinSession(answer.VersionID)
}

// newVersionIsBad reports whether the new version gives bad answers by now.
func (w *world) newVersionIsBad() bool {
	return w.now.Sub(w.start).Milliseconds() >= w.trace.Header.BadFromMillis
}

// pinSession pins the request's session to the version of its first answer by a
// model.
func (f *flow) pinSession(versionID string) {
	if f.request.Session == "" {
		return
	}
	model := f.w.index.ModelOf(versionID).Name
	kept := f.w.sessions[f.request.Session]
	if kept == nil {
		kept = map[string]string{}
		f.w.sessions[f.request.Session] = kept
	}
	if kept[model] == "" {
		kept[model] = versionID
	}
}

// checkSend checks the invariants of a call to a server, and counts the calls of
// a bad version.
func (w *world) checkSend(f *flow, versionID string, chosen *backends.Snapshot) {
	r := &w.report
	kept := w.sessions[f.request.Session][w.index.ModelOf(versionID).Name]
	if versionID == newVersion && w.newVersionIsBad() {
		if kept == versionID {
			r.BadPinnedRuns++
		} else {
			r.BadNewRuns++
		}
	}
	if !slices.Contains(w.index.Account(f.request.Account).AllowedVersions, versionID) {
		r.addViolation("%s ran on %s, which %s may not use", f.request.ID, versionID, f.request.Account)
	}
	if w.index.Version(versionID).Withdrawn {
		r.addViolation("%s ran on the withdrawn %s", f.request.ID, versionID)
	}
	if !slices.Contains(chosen.Server.Serves, versionID) {
		r.addViolation("%s went to %s, which does not serve %s", f.request.ID, chosen.Server.ID, versionID)
	}
	model := w.index.ModelOf(versionID).Name
	if f.request.Session != "" && kept != "" && kept != versionID && f.planHasPinned(model, kept) {
		r.addViolation("%s of %s ran on %s instead of %s", f.request.ID, f.request.Session, versionID, kept)
	}
	if since, out := w.outSince[chosen.Server.FailureDomain]; out && w.now.After(since) {
		r.addViolation("%s went to %s, whose failure domain is out", f.request.ID, chosen.Server.ID)
	}
	s := w.servers[chosen.Server.ID]
	limit := w.index.ColdLimit(model)
	if !s.down && s.answered < limit.WarmAfterRequests && len(s.calls) >= limit.MaxInFlight {
		r.addViolation("cold server %s got %d requests at once", s.ID, len(s.calls)+1)
	}
}

// planHasPinned reports whether the request's plan uses the version that the
// session is pinned to. It doesn't if an earlier request pinned the session
// only after this plan was made.
func (f *flow) planHasPinned(model, kept string) bool {
	for _, option := range f.plan.Options {
		if option.Step.Model == model {
			return option.Step.VersionID == kept
		}
	}
	return false
}

func (r *Report) finish() {
	if r.open != 0 {
		r.addViolation("%d requests got no final answer", r.open)
	}
	slices.Sort(r.latencies)
	r.P50, r.P95, r.P99 = r.quantile(0.50), r.quantile(0.95), r.quantile(0.99)
}

func (r *Report) quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

// Share returns part as a fraction of whole, or 0 if whole is 0.
func Share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// WriteTable writes a table with one row for each report.
func WriteTable(w io.Writer, reports []*Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "trace\tpolicy\trequests\tcost (units)\tmet target\tin time of feasible\tp50\tp95\tp99\tbad answers given\tnew work to bad version\tof sessions that keep it\tbroken\t")
	for _, r := range reports {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.2f%%\t%.2f%%\t%v\t%v\t%v\t%d\t%d\t%d\t%d\t\n",
			r.Trace, r.Policy, r.Requests, float64(r.Micros)/1e6, 100*Share(r.Met, r.Requests), 100*Share(r.InTime, r.Feasible),
			r.P50, r.P95, r.P99, r.Exposed, r.BadNewRuns, r.BadPinnedRuns, len(r.Violations))
	}
	return table.Flush()
}
