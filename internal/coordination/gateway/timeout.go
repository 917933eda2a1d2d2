package gateway

import (
	"time"

	"medlarslip/internal/protocol/routes"
)

const (
	// headerTimeoutFactor is the number of latency objectives after which another
	// server is asked, where the request may be repeated.
	headerTimeoutFactor = 2
	// streamHeaderTimeoutFactor is the same for streams, whose servers keep a queue:
	// a request that is taken back loses its place there.
	streamHeaderTimeoutFactor = 4
	// idleHeaderTimeoutFactor is the multiple of the expected time to read the prompt,
	// and all prompts before it, after which a server without a queue is taken to
	// have lost the answer. It leaves room for one that is slow by several times.
	idleHeaderTimeoutFactor = 5
	// idleHeaderTimeoutShare is the part of the latency objective that it is at least:
	// another server then has as much time again.
	idleHeaderTimeoutShare = 0.5
	// minHeaderTimeout keeps these times above what a loaded server usually takes.
	minHeaderTimeout = 200 * time.Millisecond
	// noTimeout stands for a wait that only the request itself bounds.
	noTimeout = time.Hour
)

// headerTimeout returns how long to wait for the header of a response.
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

// idle reports whether the server surely has no queue that would explain a late
// answer.
func (s *selection) idle(now time.Time) bool {
	load := &s.snapshot.Load
	return s.prompt.Time > 0 && !load.ReadAt.IsZero() && now.Sub(load.ReadAt) < maxReportAge && load.Waiting == 0
}

// idleHeaderTimeout returns how long to wait for a server without a queue.
func (s *selection) idleHeaderTimeout(objective time.Duration) time.Duration {
	expected := s.snapshot.Prefill + s.prompt.Time
	return max(idleHeaderTimeoutFactor*expected+minHeaderTimeout, time.Duration(idleHeaderTimeoutShare*float64(objective)))
}
