package routing

import "math/rand/v2"

// pick takes the best of two random candidates and of those that the prefix of
// the prompt belongs to. Random choice keeps instances that see the same
// lagging report from all choosing the same server (Mitzenmacher, The Power of
// Two Choices, 2001).
func pick(candidates []Candidate, random *rand.Rand) int {
	best := -1
	seen := 0
	var drawn [2]int
	for i := range candidates {
		if candidates[i].Dropped != "" {
			continue
		}
		// Reservoir sampling draws each of the two uniformly in one pass.
		seen++
		for d := range drawn {
			if random.IntN(seen) == 0 {
				drawn[d] = i
			}
		}
		if candidates[i].Affine {
			best = better(candidates, best, i)
		}
	}
	if seen == 0 {
		return -1
	}
	for _, i := range drawn {
		best = better(candidates, best, i)
	}
	return best
}

// better returns the index with the lower score; -1 stands for none.
func better(candidates []Candidate, a, b int) int {
	if a < 0 || candidates[b].Score < candidates[a].Score {
		return b
	}
	return a
}
