package routing

import "math/rand/v2"

const (
	// maxCandidates is the number of servers that a decision looks at while
	// enough of them are left by the filters.
	maxCandidates = 16
	// minEligible is the number of servers that must be left by the filters
	// before the search ends early.
	minEligible = 2
)

// sample returns the filtered candidates of a decision: every server of a
// small view, and of a large one the two that the prefix of the prompt belongs
// to and a random run. Where the filters leave too few, the search goes on
// through the whole view, so that a server which may take the work is found.
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

// prefixOwners returns the two servers that the prefix belongs to by rendezvous
// hashing (Thaler and Ravishankar, 1998) among those that may take the request,
// or -1 where there is none. A server that leaves moves only its own prefixes.
func prefixOwners(req *Request, view View) (first, second int) {
	first, second = -1, -1
	if req.PrefixHash == 0 {
		return first, second
	}
	var highest, next uint64
	var candidate Candidate
	for i := range view.Len() {
		weight := mix(req.PrefixHash ^ view.Hash(i))
		// Few servers get as far as the filters.
		if (second >= 0 && weight <= next) || !canOwnPrefix(req, view, i, &candidate) {
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

// canOwnPrefix reports whether a server may take the request and is meant for prompts
// of its length. It works in the given candidate, so that none is allocated.
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

// stridePermutation visits every index below count once, in an order that starts anywhere
// and strides by a number without a common divisor, so that it needs no list.
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
