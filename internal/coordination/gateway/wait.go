package gateway

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

// An instance that has just started lacks the configuration for a moment. A
// request that arrives meanwhile waits for it: a refusal would cost its client
// one of the few times that it tries, and others that were cut by the same
// failure come back at the same moment.

const (
	// waitPollInterval is the pause between two looks at the configuration.
	waitPollInterval = 20 * time.Millisecond
	// maxWaitShare is the part of the time for its answer that a request may wait:
	// clients give up one that is not taken up in a third.
	maxWaitShare = 0.3
	// maxConfigurationWait bounds the wait for the same reason where a client has long.
	maxConfigurationWait = 900 * time.Millisecond
	// maxWaiting is the number of requests that may wait at the same time, and
	// waitingBytes the size in bytes of the body of each, so that they take a
	// small part of an instance's memory.
	maxWaiting     = 256
	maxWaitingBody = 64 << 10
)

// mayWait reports whether what a request lacks is expected to come soon.
func (g *Gateway) mayWait(refused *refusal) bool {
	return (refused == &refuseNoConfiguration || refused == &refuseStale) && g.ConfigurationExpected() > 0
}

// awaitConfiguration holds a request back until its route is found, or returns
// why it is refused after all.
func (g *Gateway) awaitConfiguration(w http.ResponseWriter, req *request, refused *refusal) *refusal {
	if g.waiting.Add(1) > maxWaiting || req.http.ContentLength > maxWaitingBody {
		g.waiting.Add(-1)
		return refused
	}
	defer g.waiting.Add(-1)
	// Clients take a request whose body is read as taken up.
	if unread := req.readBody(w, maxWaitingBody); unread != nil {
		return unread
	}
	until := req.started.Add(req.maxWait())
	defer func() { req.waited = time.Since(req.started) }()
	for g.mayWait(refused) && time.Now().Before(until) {
		select {
		case <-req.http.Context().Done():
			return refused
		case <-time.After(waitPollInterval):
		}
		refused = g.findRoute(req)
	}
	return refused
}

func (r *request) maxWait() time.Duration {
	if r.call.Deadline <= 0 {
		return maxConfigurationWait
	}
	return min(maxConfigurationWait, time.Duration(maxWaitShare*float64(r.call.Deadline)))
}

func (r *request) logWait(fields logrus.Fields) {
	if r.waited > 0 {
		fields["waited_ms"] = r.waited.Milliseconds()
	}
}
