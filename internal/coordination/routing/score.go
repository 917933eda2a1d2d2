package routing

import (
	"math"
	"time"

	"medlarslip/internal/state/backends"
)

const (
	// otherDomainPenalty is the score of leaving the own failure domain, in
	// requests in progress.
	otherDomainPenalty = 0.25
	// waitingWeight counts a queued request against a running one.
	waitingWeight = 2.0
	// loadHalfLife is the age at which a load report counts for half.
	loadHalfLife = 3 * time.Second
	// affinityGain is what a warm prefix cache saves beside the time to read the
	// prefix, in requests in progress.
	affinityGain = 6.0
	// affinityLoadFactor bounds the load of a server that is preferred for its
	// prefix cache, as a multiple of the mean (Mirrokni, Thorup and
	// Zadimoghaddam, Consistent Hashing with Bounded Loads, 2018).
	affinityLoadFactor = 1.25
	// prefillUnit is the time of outstanding prompts that counts as one request
	// in progress.
	prefillUnit = 40 * time.Millisecond
	// otherGroupPenalty is the score of a server that is meant for prompts of
	// the other length, in requests in progress: as much as a prompt that takes
	// most of a second, so that a group gives way only where it is overloaded.
	otherGroupPenalty = 20.0
	// badPenalty is the score of a server all of whose recent calls were bad, in
	// requests in progress: more than the load of a busy server.
	badPenalty = 40.0
	// latePenalty is the score of a server that is expected to answer after
	// the deadline, in requests in progress.
	latePenalty = 100.0
)

// scoreAll scores the candidates that the filters left.
func scoreAll(req *Request, candidates []Candidate) {
	total, left := 0.0, 0
	for i := range candidates {
		if candidates[i].Dropped != "" {
			continue
		}
		candidates[i].Score = expectedLoad(req, &candidates[i].Server)
		total += candidates[i].Score
		left++
	}
	if left == 0 {
		return
	}
	bound := affinityLoadFactor*total/float64(left) + 1
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

// prefixOwner returns the index of the candidate that the prefix of the prompt belongs
// to: the first of its homes whose load is within the bound, or -1. A prefix that
// had several at once would be read and kept by each.
func prefixOwner(candidates []Candidate, bound float64) int {
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Affine && candidate.Dropped == "" && candidate.Score <= bound {
			return i
		}
	}
	return -1
}

// expectedLoad estimates the work that the server has before it. Reports lag:
// calls that this instance began or ended since the report are added, and as
// the report ages the estimate moves to what this instance sees itself, taken
// for all entry instances.
func expectedLoad(req *Request, server *backends.Snapshot) float64 {
	own := float64(server.InFlight) * float64(max(req.Entries, 1))
	if server.Load.ReadAt.IsZero() {
		return own
	}
	reported := float64(server.Load.Running) + waitingWeight*float64(server.Load.Waiting)
	since := float64(server.InFlight - server.InFlightAtLoad)
	estimate := max(reported+since, float64(server.InFlight))
	age := max(req.Now.Sub(server.Load.ReadAt), 0)
	trust := math.Exp2(-float64(age) / float64(loadHalfLife))
	return trust*estimate + (1-trust)*own
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

// scorePrefill estimates the wait for prompts that the server reads before, and
// keeps short prompts and long ones apart.
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

// inGroup reports whether a server at the given place among those of its version
// is meant for prompts of the request's length.
func inGroup(req *Request, position float64) bool {
	return (position < req.LongShare) == req.LongPrompt
}
