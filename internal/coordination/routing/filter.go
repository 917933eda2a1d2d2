package routing

import "slices"

// Causes for dropping a server, as reported in decisions.
const (
	DroppedVersion   = "serves_another_version"
	DroppedLeaving   = "leaving"
	DroppedDomainOut = "failure_domain_out"
	DroppedExcluded  = "failed_this_request"
	DroppedBreaker   = "breaker_open"
	DroppedProbing   = "breaker_half_open_busy"
	DroppedCold      = "cold_limit"
)

// filters run in this order; the first that returns a cause drops the server.
var filters = []func(req *Request, candidate *Candidate) string{
	filterVersion,
	filterLeaving,
	filterDomain,
	filterExcluded,
	filterAdmit,
	filterBreaker,
	filterCold,
}

// filter returns the cause of the first filter that drops the candidate, or the
// empty string.
func filter(req *Request, candidate *Candidate) string {
	for _, f := range filters {
		if dropped := f(req, candidate); dropped != "" {
			return dropped
		}
	}
	return ""
}

// filterVersion guards against a server list that changed while the request was
// in progress.
func filterVersion(req *Request, candidate *Candidate) string {
	return dropIf(!slices.Contains(candidate.Server.Server.Serves, req.Target), DroppedVersion)
}

func filterLeaving(_ *Request, candidate *Candidate) string {
	return dropIf(candidate.Server.Server.Leaving, DroppedLeaving)
}

func filterDomain(req *Request, candidate *Candidate) string {
	out := req.DomainOut != nil && req.DomainOut(candidate.Server.Server.FailureDomain)
	return dropIf(out, DroppedDomainOut)
}

func filterExcluded(req *Request, candidate *Candidate) string {
	return dropIf(slices.Contains(req.Exclude, candidate.Server.Server.ID), DroppedExcluded)
}

func filterAdmit(req *Request, candidate *Candidate) string {
	if req.Admit == nil {
		return ""
	}
	return req.Admit(&candidate.Server)
}

// filterCold limits the calls in flight to a server that is not warm.
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
	candidate.Cold = true
	candidate.limit(bound)
	return ""
}

// limit lowers the limit of calls in flight under which the call must begin.
func (c *Candidate) limit(bound int) {
	if c.Bound == 0 || bound < c.Bound {
		c.Bound = bound
	}
}

func dropIf(drop bool, name string) string {
	if drop {
		return name
	}
	return ""
}
