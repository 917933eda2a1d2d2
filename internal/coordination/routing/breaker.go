package routing

import (
	"time"

	"medlarslip/internal/state/backends"
)

const (
	// breakerFailures is the number of failures in a row that opens the
	// circuit breaker (Nygard, Release It!, 2007).
	breakerFailures = backends.UnreachableFailures
	// breakerInitialWait is the time from opening to the first probe.
	breakerInitialWait = time.Second
	// breakerMaxWait bounds the time between two probes.
	breakerMaxWait = 30 * time.Second
	// maxProbes is the number of calls in flight that a half-open breaker
	// lets through.
	maxProbes = 1
)

// filterBreaker drops a server whose breaker is open. Once its wait is over
// the breaker is half open: one call at a time is let through as a probe. A
// good answer closes it; a failed probe doubles the wait.
func filterBreaker(req *Request, candidate *Candidate) string {
	server := &candidate.Server
	if server.Failures < breakerFailures {
		return ""
	}
	if req.Now.Sub(server.FailedAt) < breakerWait(server) {
		return DroppedBreaker
	}
	if server.InFlight >= maxProbes {
		return DroppedProbing
	}
	candidate.limit(maxProbes)
	return ""
}

// breakerWait doubles with every failure after the one that opened the
// breaker.
func breakerWait(server *backends.Snapshot) time.Duration {
	wait := breakerInitialWait
	for n := breakerFailures; n < server.Failures && wait < breakerMaxWait; n++ {
		wait *= 2
	}
	return min(wait, breakerMaxWait)
}
