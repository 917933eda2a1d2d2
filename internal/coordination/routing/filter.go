package routing

import "slices"

// Names of the filters, as a decision shows them.
const (
	DroppedVersion   = "serves_another_version"
	DroppedLeaving   = "leaving"
	DroppedDomainOut = "failure_domain_out"
	DroppedExcluded  = "failed_this_request"
	DroppedBreaker   = "breaker_open"
	DroppedProbing   = "breaker_half_open_busy"
	DroppedCold      = "cold_limit"
)

// filters run in this order; the first that names a cause drops the server.
var filters = []func(req *Request, candidate *Candidate) string{
	filterVersion,
	filterLeaving,
	filterDomain,
	filterExcluded,
	filterAdmit,
	filterBreaker,
	filterCold,
}

// filter returns the name of the first filter that excludes the candidate, or
// the empty string.
func filter(req *Request, candidate *Candidate) string {
	for _, f := range filters {
		if dropped := f(req, candidate); dropped != "" {
			return dropped
		}
	}
	return ""
}

// filterVersion guards against a list that changed while the request was on
// its way.
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
	candidate.Cold = true
	candidate.limit(bound)
	return ""
}

// limit lowers the bound that a call must be begun with.
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
