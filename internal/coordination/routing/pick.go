package routing

import "math/rand/v2"

// pick draws two of the candidates that are left and takes the better. Random
// choice keeps instances that see the same lagging report from all choosing
// the same server (Mitzenmacher, The Power of Two Choices, 2001).
func pick(candidates []Candidate, random *rand.Rand) int {
	left := make([]int, 0, len(candidates))
	for i := range candidates {
		if candidates[i].Dropped == "" {
			left = append(left, i)
		}
	}
	if len(left) == 0 {
		return -1
	}
	first := left[random.IntN(len(left))]
	second := left[random.IntN(len(left))]
	if candidates[second].Score < candidates[first].Score {
		return second
	}
	return first
}
