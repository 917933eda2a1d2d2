package routing

import "math/rand/v2"

const (
	// maxCandidates is the number of candidates after which the search ends if
	// enough of them are eligible.
	maxCandidates = 16
	// minEligible is the number of candidates that must pass the filters before
	// the search ends early.
	minEligible = 2
)

// sample returns the filtered candidates of a decision: every server of a small
// view; from a large view the two owners of the prompt prefix and random other
// servers. If the filters leave too few, the search continues through the whole
// view, so that an eligible server is always found.
func sample(req *Request, view View, random *rand.Rand) []Candidate {
	count := view.Len()
	if count == 0 {
		return nil
	}
	candidates := make([]Candidate, 0, min(count, maxCandidates))
	first, second := prefixOwners(req, view)
	eligible := 0
	add := func(i int) {
		candidates = append(candidates, Candidate{Index: i, Server: view.Snapshot(i), Affine: i == first || i == second})
		candidate := &candidates[len(candidates)-1]
		candidate.Dropped = filter(req, candidate)
		if candidate.Dropped == "" {
			eligible++
		}
	}
	for _, i := range []int{first, second} {
		if i >= 0 {
			add(i)
		}
	}
	order := newStridePermutation(count, random)
	for range count {
		if len(candidates) >= maxCandidates && eligible >= minEligible {
			break
		}
		if i := order.next(); i != first && i != second {
			add(i)
		}
	}
	return candidates
}

// prefixOwners returns the two servers that own the prompt prefix by rendezvous
// hashing (Thaler and Ravishankar, 1998) among the eligible servers, or -1 for
// none. Removing a server moves only the prefixes that it owns.
func prefixOwners(req *Request, view View) (first, second int) {
	if req.PrefixHash == 0 {
		return -1, -1
	}
	// A server is copied only to check whether it is eligible, which costs more than all
	// weights of a large view. Those of the highest weights are checked first.
	var ranked ranking
	for i := range view.Len() {
		ranked.add(i, mix(req.PrefixHash^view.Hash(i)))
	}
	first, second = -1, -1
	var candidate Candidate
	for _, r := range ranked.highest[:ranked.count] {
		switch {
		case !canOwnPrefix(req, view, r.index, &candidate):
		case first < 0:
			first = r.index
		default:
			return first, r.index
		}
	}
	if ranked.count == view.Len() {
		return first, second
	}
	return prefixOwnersOfAll(req, view, &candidate)
}

// prefixOwnersOfAll is prefixOwners for a view of which most servers are not eligible.
func prefixOwnersOfAll(req *Request, view View, candidate *Candidate) (first, second int) {
	first, second = -1, -1
	var highest, next uint64
	for i := range view.Len() {
		weight := mix(req.PrefixHash ^ view.Hash(i))
		// The filters run for few servers, since the weight of most is too low.
		if (second >= 0 && weight <= next) || !canOwnPrefix(req, view, i, candidate) {
			continue
		}
		switch {
		case first < 0 || weight > highest:
			second, next = first, highest
			first, highest = i, weight
		default:
			second, next = i, weight
		}
	}
	return first, second
}

// ranking holds the servers of the highest weights in descending order; of equal weights the
// first one added comes first. With half of the servers eligible, as for prompts of one length,
// fewer than two of eight are eligible in 9 of 256 cases.
type ranking struct {
	highest [8]weightedServer
	count   int
}

type weightedServer struct {
	index  int
	weight uint64
}

func (r *ranking) add(index int, weight uint64) {
	at := r.count
	if at == len(r.highest) {
		if at--; weight <= r.highest[at].weight {
			return
		}
	} else {
		r.count++
	}
	for ; at > 0 && weight > r.highest[at-1].weight; at-- {
		r.highest[at] = r.highest[at-1]
	}
	r.highest[at] = weightedServer{index, weight}
}

// canOwnPrefix reports whether a server is eligible and assigned to prompts of
// the request's length. It overwrites the given candidate to avoid an
// allocation.
func canOwnPrefix(req *Request, view View, i int, candidate *Candidate) bool {
	*candidate = Candidate{Index: i, Server: view.Snapshot(i)}
	if req.Prefill > 0 && !inGroup(req, candidate.Server.Position) {
		return false
	}
	return filter(req, candidate) == ""
}

// mix spreads the bits of a number (finalizer of SplitMix64: Steele, Lea and
// Flood, 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// stridePermutation visits every index below count once without a list: it
// starts at a random index and advances by a stride that is coprime to count.
type stridePermutation struct {
	at, stride, count int
}

func newStridePermutation(count int, random *rand.Rand) stridePermutation {
	stride := 1 + random.IntN(count)
	for gcd(stride, count) != 1 {
		stride++
	}
	return stridePermutation{at: random.IntN(count), stride: stride, count: count}
}

func (w *stridePermutation) next() int {
	w.at = (w.at + w.stride) % w.count
	return w.at
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
