// Package routing decides which backend server runs one attempt of a request.
// A decision filters the candidates, scores those that are left, and picks
// one. It is pure: clock and random source are given, and nothing is changed.
package routing

import (
	"math/rand/v2"
	"time"

	"medlarslip/internal/state/backends"
)

// Request is what a decision needs to know of the work.
type Request struct {
	// Target is a version ID or the name of a plain service.
	Target string
	// FailureDomain is that of the entry instance.
	FailureDomain string
	// Now is the moment of the decision.
	Now time.Time
	// Exclude holds IDs of servers that already failed this request.
	Exclude []string
	// PrefixHash identifies the leading part of the prompt, so that requests
	// which share it meet the same prefix cache; 0 means none.
	PrefixHash uint64
	// DomainOut reports whether operators have taken a failure domain out.
	DomainOut func(failureDomain string) bool
	// ColdBound returns how many calls this instance may have in flight to a
	// server that is not warm; negative means that the server is warm.
	ColdBound func(server *backends.Snapshot) int
}

// Candidate is one backend server as a decision saw it.
type Candidate struct {
	Server backends.Snapshot
	// Dropped names the filter that excluded the server; empty if none did.
	Dropped string
	// Score is the expected cost of the choice; lower is better.
	Score float64
	// ColdBound is the bound that the call must be begun with; 0 means none.
	ColdBound int
}

// Decision is the result with all that led to it.
type Decision struct {
	Candidates []Candidate
	// Picked is the index of the chosen candidate, or -1.
	Picked int
}

// Chosen returns the chosen candidate, or nil.
func (d *Decision) Chosen() *Candidate {
	if d.Picked < 0 {
		return nil
	}
	return &d.Candidates[d.Picked]
}

// Decide filters, scores and picks.
func Decide(req *Request, servers []backends.Snapshot, random *rand.Rand) Decision {
	decision := Decision{Candidates: make([]Candidate, len(servers)), Picked: -1}
	for i := range servers {
		candidate := &decision.Candidates[i]
		candidate.Server = servers[i]
		candidate.Dropped = filter(req, candidate)
		if candidate.Dropped == "" {
			candidate.Score = score(req, &candidate.Server)
		}
	}
	decision.Picked = pick(decision.Candidates, random)
	return decision
}
