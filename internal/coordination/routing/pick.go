package routing

import "math/rand/v2"

// drawsPerGroup is the number of randomly drawn candidates of each group that
// are compared, and for placement by cost the lowest such number.
const drawsPerGroup = 2

// pick returns the index of the candidate with the lowest score among two
// random candidates of each group and the owners of the prompt prefix, or -1.
// Random choice keeps instances that use the same stale load report from all
// choosing the same server (Mitzenmacher, The Power of Two Choices, 2001).
func pick(candidates []Candidate, random *rand.Rand) int {
	best := -1
	draw(candidates, drawsPerGroup, false, random, func(i int) { best = better(candidates, best, i) })
	return best
}

// draw calls use with the owners of the prompt prefix and up to limit random
// candidates of each group. It considers only candidates that are late, or only
// those that are not. An owner may be drawn as well.
func draw(candidates []Candidate, limit int, late bool, random *rand.Rand, use func(i int)) {
	own, other := reservoir{limit: limit}, reservoir{limit: limit}
	for i := range candidates {
		switch {
		case candidates[i].Dropped != "" || candidates[i].Late != late:
			continue
		case candidates[i].OtherGroup:
			other.add(i, random)
		default:
			own.add(i, random)
		}
		if candidates[i].Affine {
			use(i)
		}
	}
	for _, drawn := range []*reservoir{&own, &other} {
		for _, i := range drawn.drawn[:min(drawn.seen, limit)] {
			use(i)
		}
	}
}

// reservoir draws up to limit distinct candidates uniformly in one pass; limit is
// at most maxCandidates.
type reservoir struct {
	drawn       [maxCandidates]int
	limit, seen int
}

func (r *reservoir) add(i int, random *rand.Rand) {
	at := r.seen
	if at >= r.limit {
		at = random.IntN(r.seen + 1)
	}
	if at < r.limit {
		r.drawn[at] = i
	}
	r.seen++
}

// better returns the index of the candidate with the lower score; a may be -1
// for none.
func better(candidates []Candidate, a, b int) int {
	if a < 0 || candidates[b].Score < candidates[a].Score {
		return b
	}
	return a
}
