package gateway

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

// An instance that has just started has no configuration for a moment.
// Requests that arrive in this time wait for it. A refusal would use up one of
// the client's few attempts, and after a failure many clients retry at the same
// moment.

const (
	// waitPollInterval is the interval between two checks of the configuration.
	waitPollInterval = 20 * time.Millisecond
	// maxWaitShare is the share of its deadline that a request may wait.
	// Clients abandon a request that is not accepted within a third of it.
	maxWaitShare = 0.3
	// maxConfigurationWait bounds the wait of requests with a long deadline
	// or none, for the same reason.
	maxConfigurationWait = 900 * time.Millisecond
	// maxWaiting is the number of requests that may wait at the same time, and
	// maxWaitingBody the size of the body of each in bytes. Together they take
	// a small part of the memory of an instance.
	maxWaiting     = 256
	maxWaitingBody = 64 << 10
)

// mayWait reports whether a request was refused for a missing or stale
// configuration that is expected to arrive soon.
func (g *Gateway) mayWait(refused *refusal) bool {
	return (refused == &refuseNoConfiguration || refused == &refuseStale) && g.ConfigurationExpected() > 0
}

// awaitConfiguration waits until the route of a request can be matched. It
// returns nil then, and otherwise the refusal.
func (g *Gateway) awaitConfiguration(w http.ResponseWriter, req *request, refused *refusal) *refusal {
	if g.waiting.Add(1) > maxWaiting || req.http.ContentLength > maxWaitingBody {
		g.waiting.Add(-1)
		return refused
	}
	defer g.waiting.Add(-1)
	// Clients consider a request accepted once its body has been read.
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
