package routing

import "slices"

// Names of the filters, as a decision shows them.
const (
	DroppedLeaving   = "leaving"
	DroppedDomainOut = "failure_domain_out"
	DroppedExcluded  = "failed_this_request"
	DroppedBreaker   = "breaker_open"
	DroppedCold      = "cold_limit"
)

// breakerFailures is the number of failures in a row that opens the breaker.
const breakerFailures = 5

// filter returns the name of the first filter that excludes the candidate, or
// the empty string.
func filter(req *Request, candidate *Candidate) string {
	server := &candidate.Server
	switch {
	case server.Server.Leaving:
		return DroppedLeaving
	case req.DomainOut != nil && req.DomainOut(server.Server.FailureDomain):
		return DroppedDomainOut
	case slices.Contains(req.Exclude, server.Server.ID):
		return DroppedExcluded
	case server.Failures >= breakerFailures && server.InFlight > 0:
		return DroppedBreaker
	}
	return filterCold(req, candidate)
}

// filterCold bounds the calls in flight to a server that is not warm.
func filterCold(req *Request, candidate *Candidate) string {
	if req.ColdBound == nil {
		return ""
	}
	bound := req.ColdBound(&candidate.Server)
	if bound < 0 {
		return ""
	}
	if candidate.Server.InFlight >= bound {
		return DroppedCold
	}
	candidate.ColdBound = bound
	return ""
}
