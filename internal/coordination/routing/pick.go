package routing

import "math/rand/v2"

// drawsPerGroup is the number of candidates of each group that are compared by chance.
const drawsPerGroup = 2

// pick takes the best of two random candidates of each group and of those that
// the prefix of the prompt belongs to. Random choice keeps instances that see
// the same lagging report from all choosing the same server (Mitzenmacher, The
// Power of Two Choices, 2001).
func pick(candidates []Candidate, random *rand.Rand) int {
	best := -1
	var own, other reservoir
	for i := range candidates {
		switch {
		case candidates[i].Dropped != "":
			continue
		case candidates[i].OtherGroup:
			other.add(i, random)
		default:
			own.add(i, random)
		}
		if candidates[i].Affine {
			best = better(candidates, best, i)
		}
	}
	for _, drawn := range []*reservoir{&own, &other} {
		for _, i := range drawn.drawn[:min(drawn.seen, drawsPerGroup)] {
			best = better(candidates, best, i)
		}
	}
	return best
}

// reservoir draws different candidates uniformly in one pass.
type reservoir struct {
	drawn [drawsPerGroup]int
	seen  int
}

func (r *reservoir) add(i int, random *rand.Rand) {
	at := r.seen
	if at >= drawsPerGroup {
		at = random.IntN(r.seen + 1)
	}
	if at < drawsPerGroup {
		r.drawn[at] = i
	}
	r.seen++
}

// better returns the index with the lower score; -1 stands for none.
func better(candidates []Candidate, a, b int) int {
	if a < 0 || candidates[b].Score < candidates[a].Score {
		return b
	}
	return a
}
