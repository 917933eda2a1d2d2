package routing

import (
	"time"

	"medlarslip/internal/state/backends"
)

const (
	// breakerFailures is the number of consecutive failures that opens the
	// circuit breaker (Nygard, Release It!, 2007).
	breakerFailures = backends.UnreachableFailures
	// breakerInitialWait is the time from the opening of the breaker to the first
	// probe.
	breakerInitialWait = time.Second
	// breakerMaxWait bounds the time between two probes.
	breakerMaxWait = 30 * time.Second
	// maxProbes is the number of calls in flight that a half-open breaker allows.
	maxProbes = 1
)

// filterBreaker drops a server whose circuit breaker is open. After its wait
// the breaker is half-open and lets one call at a time through as a probe. A
// successful probe closes the breaker; a failed one doubles the wait.
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

// breakerWait returns the time from the last failure to the next probe. It
// doubles with every failure after the one that opened the breaker.
func breakerWait(server *backends.Snapshot) time.Duration {
	wait := breakerInitialWait
	for n := breakerFailures; n < server.Failures && wait < breakerMaxWait; n++ {
		wait *= 2
	}
	return min(wait, breakerMaxWait)
}
