package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"medlarslip/internal/coordination/workload"
	"medlarslip/internal/state/backends"
)

const (
	// crowdingCost is the cost of each request that runs at a server with free slots, since
	// it makes the tokens of the others slower.
	crowdingCost = 10 * time.Millisecond
	// unknownSlotsCost is the cost of each request at a server of unknown slots: that of
	// placement by load.
	unknownSlotsCost = prefillUnit
	// warmCacheGain is the gain of a warm prefix cache in addition to the time that it
	// saves: each further server that caches the prefix evicts another one.
	warmCacheGain = 60 * time.Millisecond
	// generationWeight is the weight of the time after the first event. Objectives are for
	// the first event, so a wait costs more than a slow stream.
	generationWeight = 0.1
	// costTolerance is the difference of costs within which servers count as equal and one is
	// chosen at random, so that instances that use the same stale reports do not choose alike.
	costTolerance = 5 * time.Millisecond
	// comparedBySenders is the number of compared servers of each group times the number of
	// senders. In simulations 9 senders waited least with eight or more of 16 servers; 40 that
	// compared 16 sent single servers 62 requests at a mean of 10.
	comparedBySenders = 72
	// longPromptFactor is how many times as many servers are compared for a long prompt. Less
	// than half of the requests have one, so no more of them meet at one server; and a slow
	// server costs them most. With four times as many, the loads of many instances were served
	// later than with twice as many.
	longPromptFactor = 2
)

// scoreByCost scores the candidates that passed the filters by their expected cost in
// seconds.
func scoreByCost(req *Request, candidates []Candidate) {
	owner := freeOwner(req, candidates)
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Dropped != "" {
			continue
		}
		candidate.OtherGroup = req.Prefill > 0 && !inGroup(req, candidate.Server.Position)
		candidate.Warm = i == owner
		load := expectedLoad(req, &candidate.Server)
		slots := slotsOf(&candidate.Server)
		candidate.Times = req.Expected.At(&candidate.Server, load, slots, candidate.Warm, req.Now)
		candidate.Late = req.Remaining > 0 && candidate.Times.End > req.Remaining
		cost := costOf(req.Expected, candidate, load, slots) + penalties(req, candidate)
		candidate.Score = cost.Seconds()
	}
}

// costOf returns the expected cost of a run at a server: the time that it takes, with what it
// adds to the others there.
func costOf(expected *workload.Expectation, candidate *Candidate, load float64, slots int) time.Duration {
	times := &candidate.Times
	crowding := load * float64(unknownSlotsCost)
	if slots > 0 {
		crowding = min(load, float64(slots)) * float64(crowdingCost)
	}
	cost := times.FirstEvent + time.Duration(times.Slowdown*(crowding+generationWeight*float64(expected.Generation)))
	if candidate.Warm {
		cost -= warmCacheGain
	}
	return cost
}

// penalties returns the costs that are known in requests in progress.
func penalties(req *Request, candidate *Candidate) time.Duration {
	score := scoreDomain(req, &candidate.Server) + badPenalty*candidate.Server.BadShare*candidate.Server.BadShare
	if candidate.OtherGroup {
		score += otherGroupPenalty
	}
	return time.Duration(score * float64(prefillUnit))
}

// freeOwner returns the index of the first owner of the prompt prefix that has a free slot,
// or -1. One of unknown slots must be within the bound of placement by load.
func freeOwner(req *Request, candidates []Candidate) int {
	total, eligible := 0.0, 0
	for i := range candidates {
		if candidates[i].Dropped == "" {
			total += expectedLoad(req, &candidates[i].Server)
			eligible++
		}
	}
	bound := affinityLoadFactor*total/float64(max(eligible, 1)) + 1
	for i := range candidates {
		candidate := &candidates[i]
		if !candidate.Affine || candidate.Dropped != "" {
			continue
		}
		load := expectedLoad(req, &candidate.Server)
		if slots := slotsOf(&candidate.Server); slots > 0 {
			if load+1 <= float64(slots) {
				return i
			}
		} else if load <= bound {
			return i
		}
	}
	return -1
}

// slotsOf returns the number of slots of a server; 0 if unknown.
func slotsOf(server *backends.Snapshot) int {
	if server.Load.Slots > 0 {
		return server.Load.Slots
	}
	return server.Server.Slots
}

// cheapest returns the index of a candidate of the lowest cost among the owners of the
// prompt prefix and up to limit others of each group, or -1. One that is expected to end after
// the deadline is chosen only if there is no other.
func cheapest(candidates []Candidate, limit int, random *rand.Rand) int {
	if best := cheapestDrawn(candidates, limit, false, random); best >= 0 {
		return best
	}
	return cheapestDrawn(candidates, limit, true, random)
}

func cheapestDrawn(candidates []Candidate, limit int, late bool, random *rand.Rand) int {
	best := -1
	var space [2*maxCandidates + 2]int
	drawn := space[:0]
	draw(candidates, limit, late, random, func(i int) {
		best = better(candidates, best, i)
		drawn = append(drawn, i)
	})
	if best < 0 {
		return best
	}
	chosen := reservoir{limit: 1}
	highest := candidates[best].Score + costTolerance.Seconds()
	for at, i := range drawn {
		if candidates[i].Score <= highest && !slices.Contains(drawn[:at], i) {
			chosen.add(i, random)
		}
	}
	return chosen.drawn[0]
}

// comparedServers returns how many servers of each group are compared. The requests that a
// server of the lowest reported load receives before its next report are proportional to this
// number times the number of senders.
func comparedServers(req *Request) int {
	compared := max(comparedBySenders/max(req.Entries, 1), drawsPerGroup)
	if req.LongPrompt {
		compared *= longPromptFactor
	}
	return min(compared, maxCandidates)
}
