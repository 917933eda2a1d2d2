package gateway

import (
	"context"
	"errors"
	"time"

	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/coordination/workload"
)

// objectiveLeft returns the time that is left for the objective of the request: 0 if it has
// none, negative if it is missed already.
func (r *request) objectiveLeft(now time.Time) time.Duration {
	if r.route.Objective <= 0 {
		return 0
	}
	left := r.started.Add(r.route.Objective).Sub(now)
	if left == 0 {
		left = -1
	}
	return left
}

// chances returns the probabilities that a run at the chosen server meets the objective and the
// deadline of its request; zero for placement by load.
func (r *request) chances(route *routing.Request, chosen *routing.Candidate) workload.Chances {
	if route.Expected == nil {
		return workload.Chances{}
	}
	return route.Expected.Chances(&chosen.Times, r.objectiveLeft(route.Now), route.Remaining)
}

// predicted reports whether the error of the prediction for the run is recorded. Predictions are
// for whole runs, so one that continues a stream is not compared.
func (a *attempt) predicted() bool {
	return a.choice.times.End > 0 && !a.resumed && a.req.call.LastEventID == ""
}

// observeFirst records the time to the first event of a stream relative to the predicted one, or
// the time after which the run was ended without one.
func (a *attempt) observeFirst(took time.Duration, answered bool, now time.Time) {
	if !a.predicted() {
		return
	}
	run := a.req.run(a.model, a.choice.prompt)
	if !run.Stream {
		return
	}
	a.gateway.workload.ObserveFirst(&run, &a.choice.times, took, answered, now)
	a.gateway.workload.ObserveObjective(&run, &a.choice.chances, took, answered)
}

// observeRunEnd records the time to the end of a run relative to the predicted one, or the time
// after which it was ended without an answer. The time of an error response is not that of a run.
func (a *attempt) observeRunEnd(took time.Duration, answered bool, now time.Time) {
	if !a.predicted() {
		return
	}
	if answered && (a.verdict != deliver || !isSuccess(a.reply.Status)) {
		return
	}
	run := a.req.run(a.model, a.choice.prompt)
	a.gateway.workload.ObserveEnd(&run, &a.choice.times, took, answered, now)
	if !run.Stream {
		a.gateway.workload.ObserveObjective(&run, &a.choice.chances, took, answered)
	}
}

// observeCensored records a run that was ended before its first event or its end, by its
// deadline, its client or a time limit, as one that would have taken longer. Without these a
// server that answers late or never would seem better than it is. A run that its server ended
// gives no information about times.
func (a *attempt) observeCensored(now time.Time) {
	if a.ctx == nil || !a.predicted() {
		return
	}
	// Closing an attempt cancels its context, so that a cancellation after the header does not
	// show the cause.
	canceled := a.response == nil && a.ctx.Err() != nil
	if !canceled && !a.timedOut.Load() && !errors.Is(context.Cause(a.ctx), errRequestExpired) {
		return
	}
	took := now.Sub(a.began)
	if a.times.since.IsZero() {
		a.observeFirst(took, false, now)
	}
	if !a.times.ended {
		a.observeRunEnd(took, false, now)
	}
}
