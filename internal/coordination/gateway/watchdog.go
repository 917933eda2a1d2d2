package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/coordination/staging"
	"medlarslip/internal/state/backends"
)

// failoverInterval is the pause between two looks for a replacement of a
// silent server: a part of what the shortest wait for a server is.
const failoverInterval = minHeaderTimeout / 2

// watchdog gives up a server that is silent for too long, but only while
// another one could take over: an answer that comes late is better than none.
type watchdog struct {
	attempt *attempt
	wait    time.Duration
	// req is the request as it was when the watch began.
	req   request
	stage staging.Stage

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watch begins to wait for a sign of the attempt's server. Only servers within
// the stage could take over.
func (a *attempt) watch(wait time.Duration, stage staging.Stage) *watchdog {
	w := &watchdog{attempt: a, wait: wait, req: *a.req, stage: stage}
	w.timer = time.AfterFunc(noTimeout, w.fire)
	w.restart()
	return w
}

// restart begins the wait anew, because the server has made progress.
func (w *watchdog) restart() { w.timer.Reset(w.wait) }

// stop ends the watch; the server is not given up after it.
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
	case w.attempt.gateway.canTryAnother(&w.req, w.stage):
		w.attempt.giveUp()
	default:
		w.timer.Reset(failoverInterval)
	}
}

// canTryAnother reports whether the budget and the state of the servers allow the
// request to be sent to another one now.
func (g *Gateway) canTryAnother(req *request, stage staging.Stage) bool {
	now := time.Now()
	if !g.budgetOf(req).Allows(now, &g.boundsNow().Budget, retryShare, g.Instances()) {
		return false
	}
	list := backends.List(g.Servers.Serving(req.service))
	question := g.routingRequest(req, req.index.Service(req.service), g.estimate(req), stage, true, now)
	decision := routing.Decide(question, list, rand.New(random{}))
	return decision.Chosen() != nil
}
