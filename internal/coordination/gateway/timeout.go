package gateway

import (
	"time"

	"medlarslip/internal/coordination/admission"
	"medlarslip/internal/protocol/routes"
)

const (
	// headerTimeoutFactor is the multiple of the latency objective after which a
	// request that may be repeated is sent to another server.
	headerTimeoutFactor = 2
	// streamHeaderTimeoutFactor is the same for streams. Their servers queue
	// requests, and a request that is cancelled loses its place in the queue.
	streamHeaderTimeoutFactor = 4
	// idleHeaderTimeoutFactor is the multiple of the expected prefill time, of
	// the prompt and of all prompts ahead of it, after which a server without a
	// queue is assumed to have lost the response. It tolerates a server that is
	// several times slower than expected.
	idleHeaderTimeoutFactor = 5
	// idleHeaderTimeoutShare is the lower bound of that timeout, as a share of
	// the latency objective. It leaves another server the same time again.
	idleHeaderTimeoutShare = 0.5
	// minHeaderTimeout is a lower bound of these timeouts. A loaded server
	// usually responds within it.
	minHeaderTimeout = 200 * time.Millisecond
	// noTimeout is used where only the deadline of the request bounds the wait.
	noTimeout = time.Hour
)

// headerTimeout returns how long to wait for the header of a response before
// the request is sent to another server.
func (g *Gateway) headerTimeout(req *request, choice *selection, now time.Time) time.Duration {
	if !req.route.Repeatable() || req.sent+1 >= req.route.MaxAttempts {
		return noTimeout
	}
	timeout := max(headerTimeoutFactor*req.route.Objective, minHeaderTimeout)
	if req.route.Kind == routes.Stream {
		timeout = max(streamHeaderTimeoutFactor*req.route.Objective, minHeaderTimeout)
		if choice.idle(now) {
			timeout = min(timeout, choice.idleHeaderTimeout(req.route.Objective))
		}
	}
	if remaining := req.remaining(now); remaining > 0 {
		timeout = min(timeout, remaining/2)
	}
	return timeout
}

// idle reports whether a fresh load report shows that the server has no queue,
// which could explain a late response. It is false without a prefill estimate.
func (s *selection) idle(now time.Time) bool {
	load := &s.snapshot.Load
	return s.prompt.Time > 0 && !load.ReadAt.IsZero() && now.Sub(load.ReadAt) < admission.MaxReportAge && load.Waiting == 0
}

// idleHeaderTimeout returns how long to wait for the header of a server without
// a queue.
func (s *selection) idleHeaderTimeout(objective time.Duration) time.Duration {
	expected := s.snapshot.Prefill + s.prompt.Time
	return max(idleHeaderTimeoutFactor*expected+minHeaderTimeout, time.Duration(idleHeaderTimeoutShare*float64(objective)))
}
