// Package requests keeps the explanations of the latest requests, so that an
// operator can look up why a request was routed as it was.
package requests

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Explanation records how one request was routed, executed and billed.
type Explanation struct {
	RequestID string    `json:"request_id"`
	Account   string    `json:"account"`
	Requested string    `json:"asked"`
	Kind      string    `json:"kind"`
	Session   string    `json:"session,omitempty"`
	Started   time.Time `json:"started"`
	TookMS    int64     `json:"took_ms"`
	// Configuration is the number of the configuration document that applied.
	Configuration int64 `json:"configuration"`
	// PlanReason is the reason for the choice of steps among the options.
	PlanReason string    `json:"plan_reason,omitempty"`
	Options    []Option  `json:"options,omitempty"`
	Attempts   []Attempt `json:"attempts"`
	Steps      []Step    `json:"steps"`
	// Micros is the cost of all steps in millionths of the billing currency.
	Micros int64 `json:"micros"`
	// Outcome is answered, not_run or unknown.
	Outcome string `json:"outcome"`
	// Quality is met, unrated or below_target; empty without an answer.
	Quality string `json:"quality,omitempty"`
	Reason  string `json:"reason,omitempty"`
}

// Option is one step that was considered, with its expected results.
type Option struct {
	VersionID string `json:"version_id"`
	Rollout   string `json:"rollout,omitempty"`
	// Acceptance is the expected share of answers that meet the quality target,
	// and AcceptanceLow is the lower end of its one-sided 95% interval.
	Acceptance    float64 `json:"acceptance"`
	AcceptanceLow float64 `json:"acceptance_low"`
	// Ratings is the number of ratings on which Acceptance is based.
	Ratings float64 `json:"ratings"`
	// Price is the price of a thousand tokens in millionths of the billing
	// currency.
	Price int64 `json:"price_micros"`
	// ExpectedMS is the expected time in milliseconds; 0 if unknown.
	ExpectedMS int64 `json:"expected_ms"`
	Chosen     bool  `json:"chosen"`
}

// Attempt is one selection of a backend server and its result.
type Attempt struct {
	Target string `json:"target"`
	Picked string `json:"picked,omitempty"`
	// InView is the number of servers of the target that this instance uses.
	InView     int         `json:"in_view"`
	Candidates []Candidate `json:"candidates"`
	// Omitted counts the candidates that are not listed, by their filter.
	Omitted []OmittedCandidates `json:"left_out,omitempty"`
	Result  string              `json:"result"`
}

// OmittedCandidates counts candidates that an explanation does not list.
type OmittedCandidates struct {
	// Dropped names the filter that excluded them; empty if none did.
	Dropped string `json:"dropped,omitempty"`
	Count   int    `json:"count"`
}

// Candidate is one backend server that was considered.
type Candidate struct {
	ID      string  `json:"id"`
	Dropped string  `json:"dropped,omitempty"`
	Score   float64 `json:"score"`
	// InFlight is the number of calls of this instance in flight at the server.
	InFlight int `json:"in_flight"`
	// PrefixCache is true if the prompt prefix is assigned to the server.
	PrefixCache bool `json:"prefix_cache,omitempty"`
	// Bound is the concurrency limit of this instance at the server while the
	// server is cold or its circuit breaker half-open; 0 means no limit.
	Bound int `json:"bound,omitempty"`
}

// Step is one executed step of a cascade and its result.
type Step struct {
	VersionID string  `json:"version_id"`
	Rollout   string  `json:"rollout,omitempty"`
	Rating    float64 `json:"rating,omitempty"`
	Result    string  `json:"result"`
	Micros    int64   `json:"micros"`
	TookMS    int64   `json:"took_ms,omitempty"`
}

const (
	shardCount           = 16
	explanationsPerShard = 256 // capacity of one shard
	maxCandidates        = 16  // candidates listed per attempt
)

// Log keeps the latest explanations. It is safe for concurrent use.
type Log struct {
	shards [shardCount]shard
}

type shard struct {
	mu    sync.Mutex
	byID  map[string]*Explanation
	order []string
}

// NewLog returns an empty log.
func NewLog() *Log {
	l := &Log{}
	for i := range l.shards {
		l.shards[i].byID = map[string]*Explanation{}
	}
	return l
}

// Add stores an explanation, which must not be changed afterwards. If its shard
// is full, the oldest explanation of the shard is dropped.
func (l *Log) Add(e *Explanation) {
	s := l.shardOf(e.RequestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.order) >= explanationsPerShard {
		delete(s.byID, s.order[0])
		s.order = s.order[1:]
	}
	s.byID[e.RequestID] = e
	s.order = append(s.order, e.RequestID)
}

// Get returns the explanation of a request, or nil if it is not stored.
func (l *Log) Get(requestID string) *Explanation {
	s := l.shardOf(requestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[requestID]
}

func (l *Log) shardOf(requestID string) *shard {
	return &l.shards[xxhash.Sum64String(requestID)%shardCount]
}

// TrimCandidates limits the candidates of an attempt to maxCandidates. The picked
// one is always kept, and the omitted ones are counted by their filter. It may
// reorder the slice.
func TrimCandidates(candidates []Candidate, picked string) ([]Candidate, []OmittedCandidates) {
	if len(candidates) <= maxCandidates {
		return candidates, nil
	}
	kept := candidates[:maxCandidates]
	var omitted []OmittedCandidates
	for _, candidate := range candidates[maxCandidates:] {
		if candidate.ID == picked {
			candidate, kept[maxCandidates-1] = kept[maxCandidates-1], candidate
		}
		omitted = countOmitted(omitted, candidate.Dropped)
	}
	return kept, omitted
}

func countOmitted(omitted []OmittedCandidates, dropped string) []OmittedCandidates {
	for i := range omitted {
		if omitted[i].Dropped == dropped {
			omitted[i].Count++
			return omitted
		}
	}
	return append(omitted, OmittedCandidates{Dropped: dropped, Count: 1})
}
