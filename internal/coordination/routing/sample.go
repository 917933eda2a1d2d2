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
	var dropped indexSet
	s := search{req: req, view: view, dropped: &dropped}
	first, second := prefixOwners(req, view, &dropped)
	for _, i := range []int{first, second} {
		if i >= 0 {
			s.consider(i, true)
		}
	}
	order := newStridePermutation(count, random)
	for range count {
		if s.considered >= maxCandidates && s.eligible >= minEligible {
			break
		}
		if i := order.next(); i != first && i != second {
			s.consider(i, false)
		}
	}
	return s.candidates
}

// search collects the candidates of one decision.
type search struct {
	req  *Request
	view View
	// dropped holds servers that a filter has dropped in this decision.
	dropped              *indexSet
	candidates           []Candidate
	considered, eligible int
	// candidate is the one that is filtered: a field, so that memory is allocated only for those
	// that are kept. While no server has capacity, a decision considers them all.
	candidate Candidate
}

func (s *search) consider(i int, affine bool) {
	s.considered++
	if (s.req.EligibleOnly && s.dropped.has(i)) || s.req.ineligible(i) {
		return
	}
	s.candidate = Candidate{Index: i, Server: s.view.Snapshot(i), Affine: affine}
	s.candidate.Dropped = filter(s.req, &s.candidate)
	if s.candidate.Dropped == "" {
		s.eligible++
	} else if s.req.EligibleOnly {
		return
	}
	if s.candidates == nil {
		s.candidates = make([]Candidate, 0, min(s.view.Len(), maxCandidates))
	}
	s.candidates = append(s.candidates, s.candidate)
}

func (r *Request) ineligible(i int) bool { return r.Ineligible != nil && r.Ineligible(i) }

// indexSet is a set of the indexes of servers. Indexes from its size on are never in it, so
// that it needs no memory for each server.
type indexSet [16]uint64

func (s *indexSet) add(i int) {
	if at := i / 64; at < len(s) {
		s[at] |= 1 << (i % 64)
	}
}

func (s *indexSet) has(i int) bool {
	at := i / 64
	return at < len(s) && s[at]&(1<<(i%64)) != 0
}

// prefixOwners returns the two servers that own the prompt prefix by rendezvous
// hashing (Thaler and Ravishankar, 1998) among the eligible servers, or -1 for
// none. Removing a server moves only the prefixes that it owns. It adds the servers that a
// filter drops to dropped.
func prefixOwners(req *Request, view View, dropped *indexSet) (first, second int) {
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
		case !canOwnPrefix(req, view, r.index, &candidate, dropped):
		case first < 0:
			first = r.index
		default:
			return first, r.index
		}
	}
	if ranked.count == view.Len() {
		return first, second
	}
	return prefixOwnersOfAll(req, view, &candidate, dropped)
}

// prefixOwnersOfAll is prefixOwners for a view of which most servers are not eligible.
func prefixOwnersOfAll(req *Request, view View, candidate *Candidate, dropped *indexSet) (first, second int) {
	first, second = -1, -1
	var highest, next uint64
	for i := range view.Len() {
		weight := mix(req.PrefixHash ^ view.Hash(i))
		// The filters run for few servers, since the weight of most is too low.
		if (second >= 0 && weight <= next) || dropped.has(i) || !canOwnPrefix(req, view, i, candidate, dropped) {
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
// allocation, and adds a server that a filter drops to dropped.
func canOwnPrefix(req *Request, view View, i int, candidate *Candidate, dropped *indexSet) bool {
	if req.ineligible(i) {
		dropped.add(i)
		return false
	}
	*candidate = Candidate{Index: i, Server: view.Snapshot(i)}
	if req.Prefill > 0 && !inGroup(req, candidate.Server.Position) {
		return false
	}
	if filter(req, candidate) != "" {
		dropped.add(i)
		return false
	}
	return true
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
