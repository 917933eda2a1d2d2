package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"medlarslip/internal/coordination/retrybudget"
)

const (
	// escalationShare is the share of the retry budget that runs of stronger
	// models may use. The rest is reserved for retries after failures.
	escalationShare = 0.8
	// valuedEscalationShare is the same where scarce budget is spent by value. The rest
	// covers retries after failures, which are rare while no servers fail.
	valuedEscalationShare = 0.9
	// retryShare is the share of the retry budget that all repeated runs may
	// use. The margin covers requests in flight across the edge of a window.
	retryShare = 0.95
)

// run sends a request to servers until one answers it or no further attempt is
// allowed.
func (g *Gateway) run(ctx context.Context, w http.ResponseWriter, req *request) end {
	e := &end{}
	g.budgetOf(req).CountFirst(time.Now(), &g.boundsNow().Budget)
	for {
		a := g.attempt(ctx, req, "", req.call.LastEventID)
		if a == nil {
			if g.deliverKept(ctx, w, req, e) {
				return *e
			}
			return e.giveUp(ctx, req, g.noServer(ctx, req))
		}
		e.record(a)
		if a.verdict == deliver {
			if g.escalate(ctx, req, a) {
				e.verdicts[len(e.verdicts)-1] = "weak"
				continue
			}
			g.relay(ctx, w, req, a, e)
			return *e
		}
		if ctx.Err() != nil || !g.takeRetry(req, a.verdict) {
			return g.finish(ctx, w, req, a, e)
		}
		a.close()
	}
}

func (g *Gateway) boundsNow() *Bounds {
	bounds := g.Bounds()
	return &bounds
}

func (g *Gateway) budgetOf(req *request) *retrybudget.Budget { return g.budgets.Of(req.service) }

// takeRetry reports whether the request may be sent to another server, and
// charges the retry budget for it.
func (g *Gateway) takeRetry(req *request, v verdict) bool {
	if !retryable(v, req.route.Repeatable()) || !req.attemptsLeft() {
		return false
	}
	if req.sent == 0 {
		// No server has received the request yet, so this is no retry.
		return true
	}
	if req.retryReserved {
		req.retryReserved = false
		return true
	}
	return g.takeRetryBudget(req)
}

// takeRetryBudget charges the retry budget for another attempt of the request, and reports whether it
// allows one.
func (g *Gateway) takeRetryBudget(req *request) bool {
	return g.budgetOf(req).Take(time.Now(), &g.boundsNow().Budget, retryShare, g.Instances())
}

func (r *request) attemptsLeft() bool {
	return r.route.MaxAttempts <= 0 || r.sent < r.route.MaxAttempts
}

// record adds an attempt.
func (e *end) record(a *attempt) {
	e.verdicts = append(e.verdicts, a.verdict.String())
	e.describe(a)
}

// describe sets the attempt whose response ends the request.
func (e *end) describe(a *attempt) {
	e.server, e.model, e.status = a.server(), a.model, a.reply.Status
	e.version, e.confidence = a.version(), a.reply.Confidence
	e.predicted = a.choice.times
}

// finish ends a request whose last attempt gave no deliverable response. An
// error response of the server is forwarded.
func (g *Gateway) finish(ctx context.Context, w http.ResponseWriter, req *request, a *attempt, e *end) end {
	if g.deliverKept(ctx, w, req, e) {
		a.close()
		return *e
	}
	if a.verdict == serverFailed && ctx.Err() == nil {
		g.relay(ctx, w, req, a, e)
		return *e
	}
	a.close()
	return e.giveUp(ctx, req, g.notRun(req))
}

// giveUp ends a request without a response of a server. notRun is the refusal
// to use if no server can have begun to process the request.
func (e *end) giveUp(ctx context.Context, req *request, notRun *refusal) end {
	expired, stopped := errors.Is(context.Cause(ctx), errRequestExpired), errors.Is(context.Cause(ctx), errStopped)
	switch {
	case ctx.Err() != nil && !expired && !stopped:
		e.outcome, e.abort = cancelOutcome(ctx), true
		return *e
	case stopped && !req.mayHaveRun:
		e.refused = &refuseLeaving
	case stopped:
		e.refused = &refuseStopped
	case !req.mayHaveRun && expired:
		e.refused = &refuseLate
	case !req.mayHaveRun:
		e.refused = notRun
	case expired:
		e.refused = &refuseTimeout
	case req.weakDropped:
		refused := refuseStronger
		refused.retryAfter = max(refused.retryAfter, notRun.retryAfter)
		e.refused = &refused
	default:
		e.refused = &refuseLost
	}
	return e.refuseWith(e.refused)
}

func (e *end) refuseWith(refused *refusal) end {
	e.refused, e.outcome = refused, refused.cause
	return *e
}
