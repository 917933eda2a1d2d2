package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/admission"
	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/state/backends"
)

const (
	// retryAfterShare is the Retry-After as a share of the time for which the
	// service has had no server: a long outage is expected to last longer. It is at most
	// admission.MaxRetryAfter.
	retryAfterShare = 0.5
	// retryAfterJitter is the share by which it varies at random, so that clients
	// that were refused together do not retry together.
	retryAfterJitter = 0.25
)

// shortages holds, for each service without an available server, since when
// that is so.
type shortages struct{ since sync.Map } // service name to time.Time

// begin returns since when the service has had no server, which is now unless
// a shortage is recorded.
func (s *shortages) begin(service string, now time.Time) time.Time {
	since, _ := s.since.LoadOrStore(service, now)
	return since.(time.Time)
}

// end records that the service has a server.
func (s *shortages) end(service string) {
	if _, short := s.since.Load(service); short {
		s.since.Delete(service)
	}
}

// noServer returns the refusal of a request for which no server is available.
// If all servers ask for a backoff or have used up their rate limits, Retry-After
// covers the shortest wait.
func (g *Gateway) noServer(ctx context.Context, req *request) *refusal {
	refused := refuseNoServer
	if ctx.Err() != nil {
		// The choice was abandoned.
		return &refused
	}
	if g.tooLateFor(req) {
		return &refuseLeaving
	}
	if req.capacity.givenUp {
		return g.noCapacity(req)
	}
	if block := g.Quarantine.BlockedMeanwhile(req.keys); block != nil {
		return quarantinedBy(block)
	}
	now := time.Now()
	elapsed := now.Sub(g.shortages.begin(req.service, now))
	if g.Reachability.CutOff() && g.OthersReach() {
		refused = refuseCutOff
		refused.retryAfter = g.jitter(refused.retryAfter)
		return &refused
	}
	refused.retryAfter = g.jitter(max(retrySoon, min(time.Duration(retryAfterShare*float64(elapsed)), admission.MaxRetryAfter)))
	if wait, all := g.shortestBackoff(req.service, now); all {
		refused.retryAfter = max(refused.retryAfter, wait)
	}
	g.Log.WithFields(logrus.Fields{
		"event": "no_server", "request_id": req.call.ID, "service": req.service, "passed_over": g.droppedServers(req, now),
		"for_ms": elapsed.Milliseconds(), "retry_after_ms": refused.retryAfter.Milliseconds(),
	}).Info("no server may take a request")
	return &refused
}

func (g *Gateway) jitter(wait time.Duration) time.Duration {
	return time.Duration((1 + retryAfterJitter*(2*g.random().Float64()-1)) * float64(wait))
}

// shortestBackoff returns the shortest time until a server of a service may be
// sent a request, and whether every server that is neither leaving nor draining is
// in backoff or has used up its rate limit.
func (g *Gateway) shortestBackoff(service string, now time.Time) (shortest time.Duration, all bool) {
	list := backends.List(g.Servers.Serving(service))
	for i := range list {
		server := list.Snapshot(i)
		if server.Server.Leaving || server.Draining {
			continue
		}
		left := max(server.BackoffUntil.Sub(now), g.Limits.Wait(server.Server.ID))
		if left <= 0 {
			return 0, false
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest, shortest > 0
}

// droppedServers counts the servers of the request's service by the cause for
// which they are excluded.
func (g *Gateway) droppedServers(req *request, now time.Time) map[string]int {
	list := backends.List(g.Servers.Serving(req.service))
	stage := g.stage(req).Widened()
	return routing.Dropped(g.routingRequest(req, req.index.Service(req.service), g.estimate(req), stage, true, now), list)
}
