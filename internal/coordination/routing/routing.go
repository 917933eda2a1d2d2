// Package routing decides which backend server runs one attempt of a request. A
// decision samples candidates, filters them, scores the remaining ones, and
// picks one. It has no side effects; the clock and the random source are passed
// in.
package routing

import (
	"math/rand/v2"
	"time"

	"medlarslip/internal/coordination/workload"
	"medlarslip/internal/state/backends"
)

// Request holds the inputs of a decision.
type Request struct {
	// Target is a version ID or the name of a plain service.
	Target string
	// FailureDomain is the failure domain of the entry instance.
	FailureDomain string
	// Now is the time of the decision.
	Now time.Time
	// Remaining is the time left for the answer; 0 means no bound.
	Remaining time.Duration
	// Entries is the number of entry instances that share the servers, for placement by
	// cost of those that send requests at present; 0 counts as 1.
	Entries int
	// Exclude holds the IDs of servers on which this request already failed.
	Exclude []string
	// PrefixHash identifies the prompt prefix, so that requests which share it
	// reach the same prefix cache; 0 means none.
	PrefixHash uint64
	// Prefill is the expected time to process the prompt; 0 means none.
	Prefill time.Duration
	// PrefixPrefill is the part of Prefill that a warm prefix cache saves.
	PrefixPrefill time.Duration
	// LongPrompt is true for a prompt that shorter ones should not queue behind.
	LongPrompt bool
	// LongShare is the share of the servers, 0 to 1, that long prompts go to.
	LongShare float64
	// Expected is what the run is expected to take, for placement by cost; nil for
	// placement by load.
	Expected *workload.Expectation
	// DomainOut reports whether operators have taken a failure domain out of
	// service; nil means that none is.
	DomainOut func(failureDomain string) bool
	// ColdBound returns how many calls this instance may have in flight to a
	// server that is not warm; a negative value means that the server is warm.
	// nil means that all servers are warm.
	ColdBound func(server *backends.Snapshot) int
	// Admit returns the cause for which a server must not receive the request, or
	// the empty string. nil admits every server.
	Admit func(server *backends.Snapshot) string
	// Ineligible reports whether the server of an index of the view is known to be refused by
	// Admit, without a copy of its state. Such a server is not listed as a candidate. nil means
	// that none is known.
	Ineligible func(i int) bool
	// EligibleOnly leaves the servers that a filter drops out of the candidates of the
	// decision, whose memory does not grow with the number of servers then.
	EligibleOnly bool
}

// View lists the servers of one target at the time of a decision. Only servers
// that are considered are copied.
type View interface {
	// Len returns the number of servers.
	Len() int
	// Hash returns a hash of the ID of one server.
	Hash(i int) uint64
	// Snapshot returns a copy of the state of one server.
	Snapshot(i int) backends.Snapshot
}

// Candidate is a backend server as considered by a decision.
type Candidate struct {
	// Index is the index of the server in the view.
	Index  int
	Server backends.Snapshot
	// Dropped is the cause for which a filter dropped the server; empty if none
	// did.
	Dropped string
	// Score is the expected load ahead of the request, in requests in progress, or
	// its expected cost in seconds for placement by cost; lower is better.
	Score float64
	// Affine is true if the server owns the prompt prefix by rendezvous hashing.
	Affine bool
	// Times is what the run is expected to take at the server. Late is true if it is
	// expected to end after the deadline, and Warm if the server is expected to have
	// cached the prompt prefix. All three are set only for placement by cost.
	Times workload.Times
	Late  bool
	Warm  bool
	// OtherGroup is true for a server assigned to prompts of the other length.
	OtherGroup bool
	// Cold is true for a server that is not warm.
	Cold bool
	// Bound is the limit of calls in flight under which the call must begin; 0
	// means none.
	Bound int
}

// Decision is the outcome of Decide with the data that it is based on.
type Decision struct {
	// InView is the number of servers in the view.
	InView     int
	Candidates []Candidate
	// Picked is the index of the chosen candidate, or -1.
	Picked int
}

// Chosen returns the chosen candidate, or nil if there is none.
func (d Decision) Chosen() *Candidate {
	if d.Picked < 0 {
		return nil
	}
	return &d.Candidates[d.Picked]
}

// Decide samples, filters and scores candidates and picks one.
func Decide(req *Request, view View, random *rand.Rand) Decision {
	candidates := sample(req, view, random)
	if req.Expected != nil {
		scoreByCost(req, candidates)
		return Decision{InView: view.Len(), Candidates: candidates, Picked: cheapest(candidates, comparedServers(req), random)}
	}
	scoreAll(req, candidates)
	return Decision{InView: view.Len(), Candidates: candidates, Picked: pick(candidates, random)}
}

// Dropped counts the servers of a view by the cause for which a filter drops
// them.
func Dropped(req *Request, view View) map[string]int {
	counts := map[string]int{}
	for i := range view.Len() {
		if dropped := filter(req, &Candidate{Index: i, Server: view.Snapshot(i)}); dropped != "" {
			counts[dropped]++
		}
	}
	return counts
}
