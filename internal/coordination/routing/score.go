package routing

import "medlarslip/internal/state/backends"

const (
	// otherDomainPenalty is the score of leaving the own failure domain, in
	// units of one request in progress.
	otherDomainPenalty = 0.25
	// waitingWeight counts a queued request against a running one.
	waitingWeight = 2.0
)

// score adds up the work that the server has before it. Reported load lags,
// so the calls that this instance has in flight count on top of it.
func score(req *Request, server *backends.Snapshot) float64 {
	total := float64(server.Load.Running) + waitingWeight*float64(server.Load.Waiting) + float64(server.InFlight)
	if server.Server.FailureDomain != req.FailureDomain {
		total += otherDomainPenalty
	}
	return total
}
