package gateway

import (
	"time"

	"medlarslip/internal/protocol/routes"
)

const (
	// patienceFactor is the number of latency objectives after which another
	// server is asked, where the request may be repeated.
	patienceFactor = 2
	// streamPatienceFactor is the same for streams, whose servers keep a queue:
	// a request that is taken back loses its place there.
	streamPatienceFactor = 4
	// idlePatienceFactor is the multiple of the expected time to read the prompt,
	// and all prompts before it, after which a server without a queue is taken to
	// have lost the answer. It leaves room for one that is slow by several times.
	idlePatienceFactor = 5
	// idlePatiencePart is the part of the latency objective that it is at least:
	// another server then has as much time again.
	idlePatiencePart = 0.5
	// leastPatience keeps these times above what a loaded server usually takes.
	leastPatience = 200 * time.Millisecond
	// noLimit stands for a wait that only the request itself bounds.
	noLimit = time.Hour
)

// patience returns how long to wait for the header of a response.
func (g *Gateway) patience(req *request, choice *selection, now time.Time) time.Duration {
	if !req.route.Repeatable() || req.sent+1 >= req.route.MaxAttempts {
		return noLimit
	}
	patience := max(patienceFactor*req.route.Objective, leastPatience)
	if req.route.Kind == routes.Stream {
		patience = max(streamPatienceFactor*req.route.Objective, leastPatience)
		if choice.idle(now) {
			patience = min(patience, choice.idlePatience(req.route.Objective))
		}
	}
	if remaining := req.remaining(now); remaining > 0 {
		patience = min(patience, remaining/2)
	}
	return patience
}

// idle reports whether the server surely has no queue that would explain a late
// answer.
func (s *selection) idle(now time.Time) bool {
	load := &s.snapshot.Load
	return s.prompt.Time > 0 && !load.ReadAt.IsZero() && now.Sub(load.ReadAt) < reportAge && load.Waiting == 0
}

// idlePatience returns how long to wait for a server without a queue.
func (s *selection) idlePatience(objective time.Duration) time.Duration {
	expected := s.snapshot.Prefill + s.prompt.Time
	return max(idlePatienceFactor*expected+leastPatience, time.Duration(idlePatiencePart*float64(objective)))
}
