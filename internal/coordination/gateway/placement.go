package gateway

import (
	"time"

	"medlarslip/internal/coordination/prefill"
	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/coordination/workload"
	"medlarslip/internal/protocol/routes"
)

// Causes of the choice of a server, as counted.
const (
	placedByLoad = "load"
	placedByCost = "cost"
	placedWarm   = "warm_cache"
	// placedLate is the choice of a server at which the request is expected to end after its
	// deadline, since there was no other.
	placedLate = "late_everywhere"
)

// byCost reports whether the servers of a service are chosen by expected cost: underPressure, or
// where servers report the slowness of their machines or did so recently. No request waits or is refused because of it.
func (g *Gateway) byCost(service string) bool {
	return g.underPressure() || g.workload.ReportsSlowness(service, g.Clock)
}

// Learned returns the estimates that are learned from the traffic of this instance.
func (g *Gateway) Learned() *workload.Estimators { return &g.workload }

// run describes the run of a model for the estimates.
func (r *request) run(model string, prompt prefill.Estimate) workload.Request {
	return workload.Request{
		Service: r.service, Route: r.route.Name, Model: model, Stream: r.route.Kind == routes.Stream, Long: prompt.Long,
		Prefill: prompt.Time, Shared: r.sharedPrefill(prompt.Time), Hint: r.call.LengthHint, Limit: r.call.MaxOutputTokens,
	}
}

// expect returns what the next run is expected to take, or nil for placement by load.
func (g *Gateway) expect(req *request, prompt prefill.Estimate, now time.Time) *workload.Expectation {
	if !g.byCost(req.service) {
		return nil
	}
	run := req.run(req.plan.model(), prompt)
	expected := g.workload.Expect(&run, now)
	// All runs of a request count to the class of the first one. The expected work of a request
	// that continues a stream is not known.
	if !req.classified && req.call.LastEventID == "" {
		req.size, req.classified = g.workload.Classify(&run, expected), true
	}
	return expected
}

// placementCause returns the cause for which a server was chosen.
func placementCause(byCost bool, chosen *routing.Candidate) string {
	switch {
	case !byCost:
		return placedByLoad
	case chosen.Late:
		return placedLate
	case chosen.Warm:
		return placedWarm
	default:
		return placedByCost
	}
}

// paceEvents is the number of events over which the time between events is observed: long
// enough to average over the prompts that a server processes in between, and short enough for
// several observations of a long stream.
const paceEvents = 8

// runTimes holds the times of one run that the estimates are learned from.
type runTimes struct {
	header time.Duration
	// first is the time to the first event.
	first time.Duration
	// since is when the event of number sinceEvents arrived, from which the next interval is
	// measured.
	since               time.Time
	sinceEvents, events int
	// ended is true once the run is complete.
	ended bool
}

func (a *attempt) observeHeaderTime(took time.Duration) {
	a.times.header = took
	run := a.req.run(a.model, a.choice.prompt)
	a.gateway.workload.ObserveHeader(&run, a.choice.backend, &a.choice.snapshot, took, time.Now())
}

// observeReport records whether the server reports the slowness of its machine.
func (a *attempt) observeReport() {
	if load := a.reply.Load; load != nil && load.Slowness > 0 {
		a.gateway.workload.RecordReport(a.req.service, load.Slowness, a.gateway.Clock())
	}
}

// observeEvent records the arrival of an event of a stream.
func (a *attempt) observeEvent(now time.Time) {
	a.times.events++
	switch {
	case a.times.since.IsZero():
		a.times.first = now.Sub(a.began)
		a.observeFirst(a.times.first, true, now)
		a.times.since, a.times.sinceEvents = now, a.times.events
	case a.times.events-a.times.sinceEvents >= paceEvents:
		a.observeInterval(now)
	}
}

// observeInterval records the mean time between the events since the last observation.
func (a *attempt) observeInterval(now time.Time) {
	count := a.times.events - a.times.sinceEvents
	if count <= 0 {
		return
	}
	run := a.req.run(a.model, a.choice.prompt)
	a.gateway.workload.ObserveEvents(&run, a.choice.backend, now.Sub(a.times.since)/time.Duration(count), now)
	a.times.since, a.times.sinceEvents = now, a.times.events
}

// minPaceEvents is the number of events from which the rest of a stream is observed.
const minPaceEvents = 2

// observeStreamEnd records the length of a complete stream.
func (a *attempt) observeStreamEnd(now time.Time) {
	if a.times.events-a.times.sinceEvents >= minPaceEvents {
		a.observeInterval(now)
	}
	if a.times.events > 0 && a.req.call.LastEventID == "" && !a.resumed {
		run := a.req.run(a.model, a.choice.prompt)
		a.gateway.workload.ObserveLength(&run, a.times.events, now)
	}
}

// observeHold records how long a run held a slot of its server, and whether it was cut short.
func (a *attempt) observeHold(now time.Time) {
	a.observeCensored(now)
	if a.verdict != deliver {
		return
	}
	run := a.req.run(a.model, a.choice.prompt)
	a.gateway.workload.ObserveHold(&run, a.choice.backend, a.times.header, now.Sub(a.began)-a.times.header, now)
}

// comparePrediction records how the times of a complete run compare with the predicted ones.
func (a *attempt) comparePrediction(now time.Time) {
	predicted := &a.choice.times
	if predicted.End <= 0 {
		return
	}
	a.times.ended = true
	a.observeRunEnd(now.Sub(a.began), true, now)
	first := a.times.first
	if first == 0 {
		first = a.times.header
	}
	firstRatio := timeRatio(first, predicted.FirstEvent)
	a.gateway.Metrics.Predicted(a.req.route.Kind.String(), firstRatio, timeRatio(now.Sub(a.began), predicted.End))
	if a.req.size != workload.SizeUnknown && a.predicted() {
		a.gateway.Metrics.SizePredicted(a.req.service, a.req.size.String(), firstRatio)
	}
}

// timeRatio returns the ratio of two times; 0 if one is unknown.
func timeRatio(actual, predicted time.Duration) float64 {
	if actual <= 0 || predicted <= 0 {
		return 0
	}
	return float64(actual) / float64(predicted)
}
