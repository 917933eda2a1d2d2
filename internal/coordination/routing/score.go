package routing

import (
	"time"

	"medlarslip/internal/state/backends"
)

const (
	// otherDomainPenalty is the score added for a server outside of the entry
	// instance's failure domain, in requests in progress.
	otherDomainPenalty = 0.25
	// waitingWeight is the weight of a queued request relative to a running one.
	waitingWeight = 2.0
	// loadHalfLife is the age at which a load report has half of its weight.
	loadHalfLife = 3 * time.Second
	// affinityGain is the benefit of a warm prefix cache in addition to the time
	// saved on processing the prefix, in requests in progress.
	affinityGain = 6.0
	// affinityLoadFactor bounds the load of a server preferred for its prefix
	// cache, as a multiple of the mean (Mirrokni, Thorup and Zadimoghaddam,
	// Consistent Hashing with Bounded Loads, 2018).
	affinityLoadFactor = 1.25
	// prefillUnit is the expected time of outstanding prompts that counts as one
	// request in progress.
	prefillUnit = 40 * time.Millisecond
	// otherGroupPenalty is the score added for a server assigned to prompts of
	// the other length, in requests in progress: as much as a prompt of most of a
	// second, so that requests leave their group only while it is overloaded.
	otherGroupPenalty = 20.0
	// badPenalty is the score of a server whose recent calls were all bad, in
	// requests in progress: more than the load of a busy server.
	badPenalty = 40.0
	// latePenalty is the score of a server expected to answer after the deadline,
	// in requests in progress.
	latePenalty = 100.0
)

// scoreAll scores the candidates that passed the filters.
func scoreAll(req *Request, candidates []Candidate) {
	total, eligible := 0.0, 0
	for i := range candidates {
		if candidates[i].Dropped != "" {
			continue
		}
		candidates[i].Score = expectedLoad(req, &candidates[i].Server)
		total += candidates[i].Score
		eligible++
	}
	if eligible == 0 {
		return
	}
	bound := affinityLoadFactor*total/float64(eligible) + 1
	owner := prefixOwner(candidates, bound)
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Dropped != "" {
			continue
		}
		candidate.OtherGroup = req.Prefill > 0 && !inGroup(req, candidate.Server.Position)
		candidate.Score += scoreDomain(req, &candidate.Server)
		candidate.Score += scoreDeadline(req, &candidate.Server)
		candidate.Score += scorePrefill(req, candidate)
		candidate.Score += badPenalty * candidate.Server.BadShare * candidate.Server.BadShare
		if i == owner {
			candidate.Score -= affinityGain + float64(req.PrefixPrefill)/float64(prefillUnit)
		}
	}
}

// prefixOwner returns the index of the first owner of the prompt prefix whose
// load is within the bound, or -1. Only one owner is used at a time, since each
// owner in use would process and cache the prefix.
func prefixOwner(candidates []Candidate, bound float64) int {
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Affine && candidate.Dropped == "" && candidate.Score <= bound {
			return i
		}
	}
	return -1
}

// expectedLoad estimates the load of the server. As its report ages, the estimate moves towards
// this instance's own calls in flight, multiplied by the number of entry instances.
func expectedLoad(req *Request, server *backends.Snapshot) float64 {
	own := float64(server.InFlight) * float64(max(req.Entries, 1))
	return server.EstimateLoad(&backends.LoadModel{HalfLife: loadHalfLife, WaitingWeight: waitingWeight, Fallback: own}, req.Now)
}

func scoreDomain(req *Request, server *backends.Snapshot) float64 {
	if server.Server.FailureDomain == req.FailureDomain {
		return 0
	}
	return otherDomainPenalty
}

func scoreDeadline(req *Request, server *backends.Snapshot) float64 {
	if req.Remaining > 0 && server.Latency > req.Remaining {
		return latePenalty
	}
	return 0
}

// scorePrefill estimates the wait for outstanding prompts on the server, and
// keeps short and long prompts apart.
func scorePrefill(req *Request, candidate *Candidate) float64 {
	if req.Prefill <= 0 {
		return 0
	}
	score := float64(candidate.Server.Prefill) / float64(prefillUnit)
	if candidate.OtherGroup {
		score += otherGroupPenalty
	}
	return score
}

// inGroup reports whether a server at the given position among those of its
// version is assigned to prompts of the request's length.
func inGroup(req *Request, position float64) bool {
	return (position < req.LongShare) == req.LongPrompt
}
