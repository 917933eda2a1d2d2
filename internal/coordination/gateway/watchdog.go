package gateway

import (
	"sync"
	"sync/atomic"
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
// if another server takes over: a late response is better than none.
type watchdog struct {
	attempt *attempt
	wait    time.Duration
	// original is the request, and req a copy of it from the start of the watch.
	original *request
	req      request
	stage    staging.Stage
	// version is the only one whose servers could take over; "" means those of the stage.
	version string
	// progress counts the restarts.
	progress atomic.Int64

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watch starts a watchdog with the timeout wait. Only servers of a version other than "" could take over, or
// else those of the stage of the attempt.
func (a *attempt) watch(wait time.Duration, version string) *watchdog {
	stage := a.choice.stage
	if version != "" {
		stage = staging.Stage{Only: version}
	}
	w := &watchdog{attempt: a, wait: wait, original: a.req, req: *a.req, stage: stage, version: version}
	w.req.capacity.failover = true
	w.timer = time.AfterFunc(noTimeout, w.fire)
	w.restart()
	return w
}

// restart restarts the timeout, because the server has made progress.
func (w *watchdog) restart() {
	w.progress.Add(1)
	w.timer.Reset(w.wait)
}

// stop stops the watchdog. It does not cancel the attempt afterwards.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

func (w *watchdog) fire() {
	progress := w.progress.Load()
	next := w.reserveServer()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case next != nil && !w.stopped && w.progress.Load() == progress && w.attempt.gateway.takeRetryBudget(&w.req):
		// The goroutine of the request does not use these fields before stop.
		w.original.retryReserved = true
		w.original.reserve(next)
		w.attempt.giveUp()
		return
	case next != nil:
		next.backend.Cancel()
	}
	if !w.stopped && w.progress.Load() == progress {
		w.timer.Reset(failoverInterval)
	}
}

// reserveServer begins a call on the server that takes over, or returns nil. Requests that look at the same
// server at the same time can't all have it, and those that don't get it must go on.
func (w *watchdog) reserveServer() *selection {
	g := w.attempt.gateway
	if !g.canTryAnother(&w.req, w.stage) || g.Quarantine.BlockedMeanwhile(w.req.keys) != nil {
		return nil
	}
	// The choice changes its request.
	req := w.req
	return g.choose(w.attempt.ctx, &req, w.version)
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
