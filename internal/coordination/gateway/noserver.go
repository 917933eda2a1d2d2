package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/state/backends"
)

const (
	// retryAfterShare is the part of the time for which a service has had no server
	// after which its clients come back: what has lasted long is taken to last.
	retryAfterShare = 0.5
	// maxRetryAfter bounds that time, so that a service which is back is found
	// to be so.
	maxRetryAfter = 5 * time.Second
	// retryAfterJitter is the part by which it varies, so that those who were refused
	// together do not come back together.
	retryAfterJitter = 0.25
)

// shortages holds since when services have had no server for a request.
type shortages struct{ since sync.Map } // service name to time.Time

// begin returns since when the service has had none.
func (s *shortages) begin(service string, now time.Time) time.Time {
	since, _ := s.since.LoadOrStore(service, now)
	return since.(time.Time)
}

// end notes that the service has one.
func (s *shortages) end(service string) {
	if _, short := s.since.Load(service); short {
		s.since.Delete(service)
	}
}

// noServer refuses a request that no server may take now. Where all of them
// want no request for a while, the client is told to come back after it.
func (g *Gateway) noServer(req *request) *refusal {
	refused := refuseNoServer
	now := time.Now()
	elapsed := now.Sub(g.shortages.begin(req.service, now))
	refused.retryAfter = jitter(max(retrySoon, min(time.Duration(retryAfterShare*float64(elapsed)), maxRetryAfter)))
	if wait, all := g.shortestBackoff(req.service, now); all {
		refused.retryAfter = max(refused.retryAfter, wait)
	}
	g.Log.WithFields(logrus.Fields{
		"event": "no_server", "request_id": req.call.ID, "service": req.service, "passed_over": g.droppedServers(req, now),
		"for_ms": elapsed.Milliseconds(), "retry_after_ms": refused.retryAfter.Milliseconds(),
	}).Info("no server may take a request")
	return &refused
}

func jitter(wait time.Duration) time.Duration {
	return time.Duration((1 + retryAfterJitter*(2*rand.Float64()-1)) * float64(wait))
}

// shortestBackoff returns the shortest time for which servers of the service want no
// request, and whether all do that are not leaving.
func (g *Gateway) shortestBackoff(service string, now time.Time) (shortest time.Duration, all bool) {
	list := backends.List(g.Servers.Serving(service))
	for i := range list {
		server := list.Snapshot(i)
		if server.Server.Leaving || server.Draining {
			continue
		}
		if !server.BacksOff(now) {
			return 0, false
		}
		if left := server.BackoffUntil.Sub(now); shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest, shortest > 0
}

// droppedServers counts the servers of the request's service by why they may not take
// it.
func (g *Gateway) droppedServers(req *request, now time.Time) map[string]int {
	list := backends.List(g.Servers.Serving(req.service))
	stage := g.stage(req).Widened()
	return routing.Dropped(g.routingRequest(req, req.index.Service(req.service), g.estimate(req), stage, true, now), list)
}
