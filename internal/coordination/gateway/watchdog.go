package gateway

import (
	"sync"
	"time"

	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/coordination/staging"
	"medlarslip/internal/state/backends"
)

// failoverInterval is the interval at which the watchdog of a silent server
// checks whether another server is available, as a part of the shortest
// header timeout.
const failoverInterval = minHeaderTimeout / 2

// watchdog cancels an attempt whose server sends nothing for too long, but only
// if another server could take over: a late response is better than none.
type watchdog struct {
	attempt *attempt
	wait    time.Duration
	// original is the request, and req a copy of it from the start of the watch.
	original *request
	req      request
	stage    staging.Stage
	// reservesServer is true for a stream. Its client may have received a part of it and can't be told that
	// the rest is lost, so the attempt goes on unless the server that takes over is reserved.
	reservesServer bool

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watch starts a watchdog with the timeout wait. Only servers within the stage
// could take over.
func (a *attempt) watch(wait time.Duration, stage staging.Stage, reservesServer bool) *watchdog {
	w := &watchdog{attempt: a, wait: wait, original: a.req, req: *a.req, stage: stage, reservesServer: reservesServer}
	w.timer = time.AfterFunc(noTimeout, w.fire)
	w.restart()
	return w
}

// restart restarts the timeout, because the server has made progress.
func (w *watchdog) restart() { w.timer.Reset(w.wait) }

// stop stops the watchdog. It does not cancel the attempt afterwards.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

func (w *watchdog) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
	case w.reserveRetry():
		w.attempt.giveUp()
	default:
		w.timer.Reset(failoverInterval)
	}
}

// reserveRetry charges the retry budget for another attempt of the request and, for a stream, begins a call
// on the server that takes over. It reports whether it did so. Attempts of other requests could otherwise
// use up either before the retry.
func (w *watchdog) reserveRetry() bool {
	g := w.attempt.gateway
	if !g.canTryAnother(&w.req, w.stage) {
		return false
	}
	var next *selection
	if w.reservesServer {
		if g.Quarantine.BlockedMeanwhile(w.req.keys) != nil {
			return false
		}
		if next = g.choose(w.attempt.ctx, &w.req, w.stage.Only); next == nil {
			return false
		}
	}
	if !g.takeRetryBudget(&w.req) {
		if next != nil {
			next.backend.Cancel()
		}
		return false
	}
	// stop guards the request: its goroutine does not use these fields before.
	w.original.retryReserved, w.original.reserved = true, next
	return true
}

// canTryAnother reports whether the retry budget and the state of the servers
// allow the request to be sent to another server now.
func (g *Gateway) canTryAnother(req *request, stage staging.Stage) bool {
	now := time.Now()
	if !g.budgetOf(req).Allows(now, &g.boundsNow().Budget, retryShare, g.Instances()) {
		return false
	}
	list := backends.List(g.Servers.Serving(req.service))
	question := g.routingRequest(req, req.index.Service(req.service), g.estimate(req), stage, true, now)
	decision := routing.Decide(question, list, g.random())
	return decision.Chosen() != nil
}
